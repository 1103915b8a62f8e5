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
    Group,
    Home,
    HomeRanges,
    Versioned,
    Versions, //
};

/// A VM's copy of the directory. Parts come from any source and in any order; none goes back.
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
/// let answer = state.directory(&cache.versions());
/// assert!(cache.merge(answer.clone()).vms);
/// assert_eq!(cache.vm(1), state.vm(1));
/// // A repeated answer is not new, and there is nothing more to ask for.
/// assert!(!cache.merge(answer).any());
/// assert!(state.directory(&cache.versions()).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct DirectoryCache {
    versions: Versions,
    /// Lowest bundle version that may be taken.
    floor: u64,
    signed: Option<SignedBundle>,
    bundle: Option<Bundle>,
    vms: Vec<VmInfo>,
    groups: Vec<(DomainName, Group)>,
    homes: Vec<(ServiceName, HomeRanges)>,
    lost: Vec<DomainName>,
}

/// Which parts of a directory were new.
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
    /// The lost domains.
    pub lost: bool,
    /// Why nothing of the directory was taken.
    pub rejected: Option<Box<str>>,
}

impl MergeOutcome {
    /// Tells whether any part was new.
    pub fn any(&self) -> bool {
        self.bundle || self.vms || self.groups || self.homes || self.lost
    }
}

impl DirectoryCache {
    /// Returns an empty cache. `floor` is the version of the last bundle acted on, as kept on
    /// disk; a lower one is refused.
    pub fn new(floor: u64) -> Self {
        DirectoryCache {
            floor,
            ..DirectoryCache::default()
        }
    }

    /// Merges the newer parts of `directory`. If one part has to be refused, none is taken,
    /// because parts rely on each other: a group's members act only with a bundle at least as new.
    pub fn merge(&mut self, directory: Directory) -> MergeOutcome {
        let mut taken = MergeOutcome::default();
        let fits = if self.versions.covers(&directory.since) {
            check_homes(&directory)
        } else {
            Err("the directory builds on parts that are not known here".into())
        };
        if let Err(reason) = fits {
            taken.rejected = Some(reason);
            return taken;
        }
        if let Some(part) = directory.bundle
            && part.version > self.versions.bundle
        {
            match self.take_bundle(part) {
                Ok(()) => taken.bundle = true,
                Err(reason) => {
                    taken.rejected = Some(reason);
                    return taken;
                }
            }
        }
        let versions = &mut self.versions;
        taken.vms = replace(&mut self.vms, &mut versions.vms, directory.vms);
        taken.groups = replace(&mut self.groups, &mut versions.groups, directory.groups);
        taken.homes = replace(&mut self.homes, &mut versions.homes, directory.homes);
        taken.lost = replace(&mut self.lost, &mut versions.lost, directory.lost);
        taken
    }

    fn take_bundle(&mut self, part: Versioned<SignedBundle>) -> Result<(), Box<str>> {
        let bundle = decode(&part.content.bytes).map_err(|error| error.to_string())?;
        if bundle.version < self.floor {
            let floor = self.floor;
            return Err(format!("bundle {} is older than {floor}", bundle.version).into());
        }
        if let (Some(known), Some(signed)) = (&self.bundle, &self.signed) {
            if bundle.version == known.version && part.content.digest() != signed.digest() {
                return Err(format!("bundle {} has another content", known.version).into());
            }
            // With bundles in between, the operators who had to sign are not known here.
            if bundle.version == known.version + 1 {
                if bundle.previous != Some(signed.digest()) {
                    return Err(format!("bundle {} follows another one", bundle.version).into());
                }
                let verified = part.content.verify(&known.operators);
                verified.map_err(|error| error.to_string())?;
            }
        }
        self.floor = bundle.version;
        self.versions.bundle = part.version;
        self.bundle = Some(bundle);
        self.signed = Some(part.content);
        Ok(())
    }

    /// Returns the versions of the parts, to ask for newer ones.
    pub fn versions(&self) -> Versions {
        self.versions
    }

    /// Returns the newest bundle.
    pub fn bundle(&self) -> Option<&Bundle> {
        self.bundle.as_ref()
    }

    /// Returns the newest bundle with its signatures.
    pub fn signed_bundle(&self) -> Option<&SignedBundle> {
        self.signed.as_ref()
    }

    /// Returns the digest of the newest bundle.
    pub fn digest(&self) -> Option<Digest> {
        self.signed.as_ref().map(SignedBundle::digest)
    }

    /// Returns the registered VMs in order.
    pub fn vms(&self) -> &[VmInfo] {
        &self.vms
    }

    /// Returns a registered VM.
    pub fn vm(&self, vm: VmId) -> Option<&VmInfo> {
        let at = self.vms.binary_search_by_key(&vm, |info| info.vm).ok()?;
        self.vms.get(at)
    }

    /// Returns all domain groups in order of their domains.
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

    /// Returns the homes of all services.
    pub fn all_homes(&self) -> &[(ServiceName, HomeRanges)] {
        &self.homes
    }

    /// Returns the homes of a service's shards.
    pub fn homes(&self, service: &str) -> Option<&HomeRanges> {
        let mut homes = self.homes.iter();
        homes
            .find(|(name, _)| &**name == service)
            .map(|(_, runs)| runs)
    }

    /// Returns the home of a shard.
    pub fn home(&self, service: &str, index: ShardIndex) -> Option<&Home> {
        self.homes(service)?.get(index)
    }

    /// Returns the domains declared lost.
    pub fn lost(&self) -> &[DomainName] {
        &self.lost
    }

    /// Returns the parts that are newer than `have`, for a VM that asks this one.
    ///
    /// All parts here are at least as new as every other part's version requires, because
    /// directories carry all newer parts as of one index.
    pub fn directory(&self, have: &Versions) -> Directory {
        let own = &self.versions;
        let newer = |own: u64, have: u64| own > have;
        Directory {
            since: *have,
            bundle: self
                .signed
                .as_ref()
                .filter(|_| newer(own.bundle, have.bundle))
                .map(|signed| part(own.bundle, signed)),
            vms: newer(own.vms, have.vms).then(|| part(own.vms, &self.vms)),
            groups: newer(own.groups, have.groups).then(|| part(own.groups, &self.groups)),
            homes: newer(own.homes, have.homes).then(|| part(own.homes, &self.homes)),
            lost: newer(own.lost, have.lost).then(|| part(own.lost, &self.lost)),
        }
    }
}

fn check_homes(directory: &Directory) -> Result<(), Box<str>> {
    let mut services = directory.homes.iter().flat_map(|part| &part.content);
    match services.find(|(_, runs)| !runs.is_valid()) {
        Some((service, _)) => {
            Err(format!("the homes of service {service} are not in order").into())
        }
        None => Ok(()),
    }
}

fn part<Content>(version: u64, content: &Content) -> Versioned<Content>
where
    Content: Clone,
{
    Versioned {
        version,
        content: content.clone(),
    }
}

/// Takes a part that is newer; tells whether it is.
fn replace<Content>(
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
