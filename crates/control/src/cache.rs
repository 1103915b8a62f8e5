//! A VM's copy of the directory.

use camphordale_bundle::{
    SignedBundle,
    decode, //
};
use camphordale_types::{
    Bundle,
    Digest,
    DomainName,
    ServiceName,
    ShardIndex,
    VmId,
    VmInfo, //
};

use crate::{
    Directory,
    DomainOrders,
    Group,
    Home,
    HomeRanges,
    Versioned,
    Versions, //
};

/// A VM's copy of the directory. Updates may come from any source and in any order; a part is never
/// replaced by an older version.
///
/// # Examples
///
/// ```
/// use camphordale_control::{Command, DirectoryCache, State};
/// use camphordale_types::{Operators, VmInfo};
///
/// let mut state = State::new(Operators { needed: 1, keys: Vec::new() });
/// state.apply(1, &Command::RegisterVm(VmInfo {
///     vm: 1,
///     incarnation: 7,
///     domain: "north".into(),
///     inner: ([127, 0, 0, 1], 7001).into(),
///     outer: ([127, 0, 0, 1], 7002).into(),
///     entry: true,
/// }));
/// let mut cache = DirectoryCache::new(0);
/// let reply = state.directory(&cache.versions());
/// assert!(cache.merge(reply.clone()).vms);
/// assert_eq!(cache.vm(1), state.vm(1));
/// // A duplicate reply changes nothing, and there is nothing newer to request.
/// assert!(!cache.merge(reply).any());
/// assert!(state.directory(&cache.versions()).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct DirectoryCache {
    versions: Versions,
    /// Lowest bundle version that may be merged.
    min_version: u64,
    signed_bundle: Option<SignedBundle>,
    bundle: Option<Bundle>,
    vms: Vec<VmInfo>,
    groups: Vec<(DomainName, Group)>,
    homes: Vec<(ServiceName, HomeRanges)>,
    orders: DomainOrders,
}

/// Result of merging a directory: which parts were newer and have been merged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// The bundle.
    pub bundle: bool,
    /// The VMs.
    pub vms: bool,
    /// The domain groups.
    pub groups: bool,
    /// The homes.
    pub homes: bool,
    /// The domains declared lost or evacuated.
    pub lost: bool,
    /// Why the directory was rejected as a whole.
    pub rejected: Option<Box<str>>,
}

impl MergeOutcome {
    /// Returns whether any part was merged.
    pub fn any(&self) -> bool {
        self.bundle || self.vms || self.groups || self.homes || self.lost
    }
}

impl DirectoryCache {
    /// Returns an empty cache. `min_version` is the version of the last bundle in force, as
    /// stored on disk; a lower one is rejected.
    pub fn new(min_version: u64) -> Self {
        DirectoryCache {
            min_version,
            ..DirectoryCache::default()
        }
    }

    /// Merges the newer parts of `directory`. If one part is rejected, none is merged, because the
    /// parts depend on each other: the members of a group act only with a bundle at least as new.
    pub fn merge(&mut self, directory: Directory) -> MergeOutcome {
        let mut outcome = MergeOutcome::default();
        let valid = if self.versions.covers(&directory.since) {
            check_homes(&directory)
        } else {
            Err("the directory omits parts that this VM does not have".into())
        };
        if let Err(reason) = valid {
            outcome.rejected = Some(reason);
            return outcome;
        }
        if let Some(part) = directory.bundle
            && part.version > self.versions.bundle
        {
            match self.merge_bundle(part) {
                Ok(()) => outcome.bundle = true,
                Err(reason) => {
                    outcome.rejected = Some(reason);
                    return outcome;
                }
            }
        }
        let versions = &mut self.versions;
        outcome.vms = replace_if_newer(&mut self.vms, &mut versions.vms, directory.vms);
        outcome.groups = replace_if_newer(&mut self.groups, &mut versions.groups, directory.groups);
        outcome.homes = replace_if_newer(&mut self.homes, &mut versions.homes, directory.homes);
        outcome.lost = replace_if_newer(&mut self.orders, &mut versions.lost, directory.lost);
        outcome
    }

    fn merge_bundle(&mut self, part: Versioned<SignedBundle>) -> Result<(), Box<str>> {
        let bundle = decode(&part.content.bytes).map_err(|error| error.to_string())?;
        if bundle.version < self.min_version {
            let lowest = self.min_version;
            return Err(format!("bundle {} is older than {lowest}", bundle.version).into());
        }
        if let (Some(known), Some(signed)) = (&self.bundle, &self.signed_bundle) {
            if bundle.version == known.version && part.content.digest() != signed.digest() {
                return Err(format!("bundle {} has different content", known.version).into());
            }
            // If versions were skipped, the operators that had to sign this one are unknown here.
            if bundle.version == known.version + 1 {
                if bundle.previous != Some(signed.digest()) {
                    return Err(format!(
                        "bundle {} does not follow the previous one",
                        bundle.version
                    )
                    .into());
                }
                let verified = part.content.verify(&known.operators);
                verified.map_err(|error| error.to_string())?;
            }
        }
        self.min_version = bundle.version;
        self.versions.bundle = part.version;
        self.bundle = Some(bundle);
        self.signed_bundle = Some(part.content);
        Ok(())
    }

    /// Returns the versions of the cached parts, to request newer ones.
    pub fn versions(&self) -> Versions {
        self.versions
    }

    /// Returns the newest bundle.
    pub fn bundle(&self) -> Option<&Bundle> {
        self.bundle.as_ref()
    }

    /// Returns the newest bundle with its signatures.
    pub fn signed_bundle(&self) -> Option<&SignedBundle> {
        self.signed_bundle.as_ref()
    }

    /// Returns the digest of the newest bundle.
    pub fn digest(&self) -> Option<Digest> {
        self.signed_bundle.as_ref().map(SignedBundle::digest)
    }

    /// Returns the registered VMs in order.
    pub fn vms(&self) -> &[VmInfo] {
        &self.vms
    }

    /// Returns a registered VM.
    pub fn vm(&self, vm: VmId) -> Option<&VmInfo> {
        let index = self.vms.binary_search_by_key(&vm, |info| info.vm).ok()?;
        self.vms.get(index)
    }

    /// Returns all domain groups, ordered by domain.
    pub fn groups(&self) -> &[(DomainName, Group)] {
        &self.groups
    }

    /// Returns the group of a domain.
    pub fn group(&self, domain: &str) -> Option<&Group> {
        let mut groups = self.groups.iter();
        groups
            .find(|(name, _)| &**name == domain)
            .map(|(_, group)| group)
    }

    /// Returns the homes of the shards of all services.
    pub fn all_homes(&self) -> &[(ServiceName, HomeRanges)] {
        &self.homes
    }

    /// Returns the homes of a service's shards.
    pub fn homes(&self, service: &str) -> Option<&HomeRanges> {
        let mut homes = self.homes.iter();
        homes
            .find(|(name, _)| &**name == service)
            .map(|(_, ranges)| ranges)
    }

    /// Returns the home of a shard.
    pub fn home(&self, service: &str, index: ShardIndex) -> Option<&Home> {
        self.homes(service)?.get(index)
    }

    /// Returns the domains declared lost.
    pub fn lost(&self) -> &[DomainName] {
        &self.orders.lost
    }

    /// Returns the domains under evacuation.
    pub fn evacuated(&self) -> &[DomainName] {
        &self.orders.evacuated
    }

    /// Returns the parts that are newer than `have`, for a VM that requests them from this one.
    ///
    /// The cached parts are consistent with each other, because a directory carries all newer parts
    /// as of one log index.
    pub fn directory(&self, have: &Versions) -> Directory {
        let own = &self.versions;
        let newer = |own: u64, have: u64| own > have;
        Directory {
            since: *have,
            bundle: self
                .signed_bundle
                .as_ref()
                .filter(|_| newer(own.bundle, have.bundle))
                .map(|signed| versioned(own.bundle, signed)),
            vms: newer(own.vms, have.vms).then(|| versioned(own.vms, &self.vms)),
            groups: newer(own.groups, have.groups).then(|| versioned(own.groups, &self.groups)),
            homes: newer(own.homes, have.homes).then(|| versioned(own.homes, &self.homes)),
            lost: newer(own.lost, have.lost).then(|| versioned(own.lost, &self.orders)),
        }
    }
}

fn check_homes(directory: &Directory) -> Result<(), Box<str>> {
    let mut services = directory.homes.iter().flat_map(|part| &part.content);
    match services.find(|(_, ranges)| !ranges.is_valid()) {
        Some((service, _)) => {
            Err(format!("the home ranges of service {service} are invalid").into())
        }
        None => Ok(()),
    }
}

fn versioned<Content>(version: u64, content: &Content) -> Versioned<Content>
where
    Content: Clone,
{
    Versioned {
        version,
        content: content.clone(),
    }
}

/// Replaces `content` and `version` if `part` is newer; returns whether it was.
fn replace_if_newer<Content>(
    content: &mut Content,
    version: &mut u64,
    part: Option<Versioned<Content>>,
) -> bool {
    match part {
        Some(part) if part.version > *version => {
            *version = part.version;
            *content = part.content;
            true
        }
        _ => false,
    }
}
