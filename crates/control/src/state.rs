//! The replicated state of the control group.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use camphordale_bundle::SignedBundle;
use camphordale_types::{
    Bundle,
    Digest,
    DomainName,
    Incarnation,
    Operators,
    ShardIndex,
    VmId,
    VmInfo, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    AuditTrail,
    Command,
    Directory,
    Group,
    Home,
    HomeChange,
    HomeRanges,
    Outcome,
    Rejection,
    Versioned,
    Versions,
    chain::{
        Chain,
        ServingBound,
        Submitted, //
    },
    homes::Layouts,
    registry::Registry, //
};

/// First byte of an encoded state.
const FORMAT: u8 = 1;
/// Most voters of a domain group.
const MAX_VOTERS: usize = 5;
/// Longest text of an operator's note, in bytes.
const MAX_NOTE: usize = 4096;

/// A snapshot cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("control snapshot: {0}")]
pub struct SnapshotError(Box<str>);

/// The replicated state of the control group. Equal logs lead to equal states.
///
/// # Examples
///
/// ```
/// use camphordale_control::{Command, Outcome, State};
/// use camphordale_types::{Operators, VmInfo};
///
/// let mut state = State::new(Operators { needed: 1, keys: Vec::new() });
/// let info = VmInfo {
///     vm: 1,
///     incarnation: 7,
///     domain: "north".into(),
///     inner: ([127, 0, 0, 1], 7001).into(),
///     outer: ([127, 0, 0, 1], 7002).into(),
///     entry: true,
/// };
/// assert_eq!(state.apply(1, &Command::RegisterVm(info.clone())), Outcome::Done);
/// let form = Command::FormGroup { domain: "north".into(), replaces: 0, members: vec![(1, 7)] };
/// assert_eq!(state.apply(2, &form), Outcome::Done);
/// assert_eq!(state.group("north").map(|group| group.term), Some(2));
/// assert_eq!(State::decode(&state.encode())?, state);
/// # Ok::<(), camphordale_control::SnapshotError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    index: u64,
    versions: Versions,
    chain: Chain,
    registry: Registry,
    groups: BTreeMap<DomainName, Group>,
    layouts: Layouts,
    /// Domains declared lost, with the log index of the declaration.
    lost: BTreeMap<DomainName, u64>,
    /// Lowest version of the bundle that each domain's group may have in force.
    in_force: BTreeMap<DomainName, u64>,
    audit: AuditTrail,
}

impl State {
    /// Returns the empty state. `operators` sign the first bundle.
    pub fn new(operators: Operators) -> Self {
        State {
            index: 0,
            versions: Versions::default(),
            chain: Chain::new(operators),
            registry: Registry::default(),
            groups: BTreeMap::new(),
            layouts: Layouts::default(),
            lost: BTreeMap::new(),
            in_force: BTreeMap::new(),
            audit: AuditTrail::new(),
        }
    }

    /// Applies the command at log index `index`. A refused command changes nothing but the index.
    ///
    /// # Examples
    ///
    /// A bundle that is sent again after a lost answer gets the first answer; another bundle of
    /// the same version learns which one stands.
    ///
    /// ```
    /// use camphordale_bundle::{SignedBundle, generate_key, parse_bundle};
    /// use camphordale_control::{Command, Outcome, Rejection, State};
    /// use camphordale_types::{Operator, Operators};
    ///
    /// let key = generate_key()?;
    /// let mut state = State::new(Operators {
    ///     needed: 1,
    ///     keys: vec![Operator { name: "asha".into(), key: key.verifying_key().to_bytes() }],
    /// });
    /// let submission = |new_percent| {
    ///     let text = include_str!("../../../examples/bundles/kilimo.yaml");
    ///     let mut bundle = parse_bundle(text)?;
    ///     bundle.services[0].new_percent = new_percent;
    ///     let mut signed = SignedBundle::new(&bundle);
    ///     signed.sign("asha", &key);
    ///     Ok::<_, camphordale_bundle::BundleError>(Command::SubmitBundle { signed, at: 0 })
    /// };
    /// let accepted = state.apply(1, &submission(0)?);
    /// assert!(matches!(accepted, Outcome::Accepted { version: 1, .. }));
    /// assert_eq!(state.apply(2, &submission(0)?), accepted);
    /// let refused = state.apply(3, &submission(10)?);
    /// let standing = state.latest_bundle_id().map(|(_, digest)| digest);
    /// assert_eq!(refused, Outcome::Rejected(Rejection::Conflict {
    ///     version: 1,
    ///     standing_version: 1,
    ///     standing,
    /// }));
    /// # Ok::<(), camphordale_bundle::BundleError>(())
    /// ```
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        if index <= self.index {
            return stale(format!("log index {index} was applied before"));
        }
        self.index = index;
        match command {
            Command::RegisterVm(info) => match self.registry.register(info) {
                Ok(changed) => {
                    if changed {
                        self.versions.vms = index;
                    }
                    Outcome::Done
                }
                Err(reason) => Outcome::Rejected(Rejection::PreconditionFailed(reason)),
            },
            Command::RemoveVm { vm, by, at } => self.remove_vm(*vm, by, *at),
            Command::SubmitBundle { signed, at } => self.submit(signed, *at),
            Command::FormGroup {
                domain,
                replaces,
                members,
            } => self.form(domain, *replaces, members),
            Command::SetHomes {
                service,
                bundle,
                changes,
            } => self.set_homes(service, *bundle, changes),
            Command::DeclareLost { domain, by, at } => self.declare_lost(domain, by, *at),
            Command::ReturnDomain { domain, by, at } => self.return_domain(domain, by, *at),
            Command::InForce {
                domain,
                term,
                version,
            } => self.set_force(domain, *term, *version),
            Command::RecordAction { action, by, at } => self.note(action, by, *at),
        }
    }

    fn submit(&mut self, signed: &SignedBundle, at: u64) -> Outcome {
        let before = self.chain.digest();
        match self.chain.submit(signed, &self.layouts) {
            Submitted::Settled(outcome) => outcome,
            Submitted::New { outcome, signers } => {
                if let Some(bundle) = self.chain.content() {
                    self.layouts.accept(bundle);
                }
                self.versions.bundle = self.index;
                let action = format!("bundle {} accepted", self.chain.version());
                let digests = (before, self.chain.digest());
                self.audit.push(at, &signers.join(","), action, digests);
                outcome
            }
        }
    }

    fn form(
        &mut self,
        domain: &DomainName,
        replaces: u64,
        members: &[(VmId, Incarnation)],
    ) -> Outcome {
        let current = self.groups.get(domain).map_or(0, |group| group.term);
        if replaces != current {
            return stale(format!("domain {domain} has the group of term {current}"));
        }
        if self.is_lost(domain) {
            return stale(format!("domain {domain} is declared lost"));
        }
        let vms: BTreeSet<VmId> = members.iter().map(|(vm, _)| *vm).collect();
        if vms.len() != members.len() || !(1..=MAX_VOTERS).contains(&members.len()) {
            return stale(format!("a group has 1 to {MAX_VOTERS} different members"));
        }
        let fits = |(vm, incarnation): &(VmId, Incarnation)| {
            self.registry.get(*vm).is_some_and(|info| {
                info.incarnation == *incarnation && info.domain == *domain && info.entry
            })
        };
        if !members.iter().all(fits) {
            return stale(format!(
                "a member is not a registered entry VM of domain {domain}"
            ));
        }
        let group = Group {
            term: self.index,
            recreated: replaces != 0,
            members: members.to_vec(),
        };
        self.groups.insert(domain.clone(), group);
        self.versions.groups = self.index;
        // Members learn of the group together with the bundle that stands now.
        self.in_force.insert(domain.clone(), self.chain.version());
        Outcome::Done
    }

    fn set_homes(&mut self, service: &str, bundle: u64, changes: &[HomeChange]) -> Outcome {
        let standing = self.chain.version();
        if bundle != standing {
            return stale(format!("decided on bundle {bundle}, but {standing} stands"));
        }
        let Some(service) = self.chain.content().and_then(|b| b.service(service)) else {
            return stale(format!("no service {service} in the standing bundle"));
        };
        if self.layouts.change(self.index, service, changes) {
            self.versions.homes = self.index;
        }
        Outcome::Done
    }

    fn set_force(&mut self, domain: &DomainName, term: u64, version: u64) -> Outcome {
        if self
            .groups
            .get(domain)
            .is_none_or(|group| group.term != term)
        {
            return stale(format!("term {term} is not the group of domain {domain}"));
        }
        if version > self.chain.version() {
            return stale(format!("bundle {version} was not accepted"));
        }
        let known = self.in_force.entry(domain.clone()).or_default();
        *known = version.max(*known);
        Outcome::Done
    }

    fn remove_vm(&mut self, vm: VmId, by: &str, at: u64) -> Outcome {
        if self.registry.remove(vm) {
            self.versions.vms = self.index;
            self.record(at, by, format!("VM {vm} removed"));
        }
        Outcome::Done
    }

    fn declare_lost(&mut self, domain: &DomainName, by: &str, at: u64) -> Outcome {
        if !self.domains().contains(domain) {
            return stale(format!("domain {domain} is not known"));
        }
        if !self.is_lost(domain) {
            self.lost.insert(domain.clone(), self.index);
            self.versions.lost = self.index;
            self.record(at, by, format!("domain {domain} declared lost"));
        }
        Outcome::Done
    }

    fn return_domain(&mut self, domain: &DomainName, by: &str, at: u64) -> Outcome {
        if self.lost.remove(domain).is_some() {
            self.versions.lost = self.index;
            self.record(at, by, format!("domain {domain} returned"));
        }
        Outcome::Done
    }

    fn note(&mut self, action: &str, by: &str, at: u64) -> Outcome {
        if action.len() > MAX_NOTE {
            return stale(format!("a note has at most {MAX_NOTE} bytes"));
        }
        self.record(at, by, action.to_owned());
        Outcome::Done
    }

    fn record(&mut self, at: u64, by: &str, action: String) {
        let digest = self.chain.digest();
        self.audit.push(at, by, action, (digest, digest));
    }

    /// Returns the parts that are newer than `have`.
    pub fn directory(&self, have: &Versions) -> Directory {
        fn part<Content>(
            own: u64,
            have: u64,
            content: impl FnOnce() -> Content,
        ) -> Option<Versioned<Content>> {
            (own > have).then(|| Versioned {
                version: own,
                content: content(),
            })
        }
        let own = &self.versions;
        let signed = self.chain.standing();
        Directory {
            since: *have,
            bundle: signed.and_then(|signed| part(own.bundle, have.bundle, || signed.clone())),
            vms: part(own.vms, have.vms, || {
                self.registry.iter().cloned().collect()
            }),
            groups: part(own.groups, have.groups, || {
                let groups = self.groups.iter();
                groups
                    .map(|(name, group)| (name.clone(), group.clone()))
                    .collect()
            }),
            homes: part(own.homes, have.homes, || {
                let layouts = self.layouts.iter();
                layouts
                    .map(|(name, layout)| (name.clone(), layout.runs.clone()))
                    .collect()
            }),
            lost: part(own.lost, have.lost, || self.lost.keys().cloned().collect()),
        }
    }

    /// Returns the log index of the last applied command.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the log index of the last change of each part.
    pub fn versions(&self) -> Versions {
        self.versions
    }

    /// Returns the standing bundle.
    pub fn bundle(&self) -> Option<&Bundle> {
        self.chain.content()
    }

    /// Returns the accepted bundle with this version. Only the last ones are kept.
    pub fn signed_bundle_at(&self, version: u64) -> Option<&SignedBundle> {
        self.chain.at(version)
    }

    /// Returns the standing bundle with its signatures.
    pub fn signed_bundle(&self) -> Option<&SignedBundle> {
        self.chain.standing()
    }

    /// Returns version and digest of the standing bundle.
    pub fn latest_bundle_id(&self) -> Option<(u64, Digest)> {
        Some((self.chain.version(), self.chain.digest()?))
    }

    /// Returns the operators whose signatures the next bundle needs.
    pub fn operators(&self) -> &Operators {
        self.chain.operators()
    }

    /// Returns the newest registration of a VM.
    pub fn vm(&self, vm: VmId) -> Option<&VmInfo> {
        self.registry.get(vm)
    }

    /// Returns the registered VMs in order.
    pub fn vms(&self) -> impl Iterator<Item = &VmInfo> {
        self.registry.iter()
    }

    /// Returns the group of a domain.
    pub fn group(&self, domain: &str) -> Option<&Group> {
        self.groups.get(domain)
    }

    /// Returns the homes of a service's shards.
    pub fn homes(&self, service: &str) -> Option<&HomeRanges> {
        Some(&self.layouts.get(service)?.runs)
    }

    /// Returns the home of a shard.
    pub fn home(&self, service: &str, index: ShardIndex) -> Option<&Home> {
        self.homes(service)?.get(index)
    }

    /// Returns the log index at which a home of the service changed last.
    pub(crate) fn homes_changed(&self, service: &str) -> u64 {
        self.layouts.get(service).map_or(0, |layout| layout.changed)
    }

    /// Tells whether a domain is declared lost.
    pub fn is_lost(&self, domain: &str) -> bool {
        self.lost_since(domain).is_some()
    }

    /// Returns the log index at which a domain was declared lost.
    pub(crate) fn lost_since(&self, domain: &str) -> Option<u64> {
        self.lost.get(domain).copied()
    }

    /// Returns all domains with a registered VM, a group or a home.
    pub fn domains(&self) -> BTreeSet<DomainName> {
        let vms = self.registry.iter().map(|info| &info.domain);
        let homes = self
            .layouts
            .iter()
            .flat_map(|(_, layout)| layout.runs.ranges());
        let homes = homes.filter_map(|run| run.home.as_ref().map(|home| &home.domain));
        vms.chain(self.groups.keys())
            .chain(homes)
            .cloned()
            .collect()
    }

    /// Returns the version of the bundle that the domain's group is known to have in force, or 0.
    pub fn in_force(&self, domain: &str) -> u64 {
        self.in_force.get(domain).copied().unwrap_or(0)
    }

    /// Returns how long `domain`, when cut off, may serve shards of `service`, by any bundle that
    /// it may have in force. A service that no bundle named has none.
    pub fn serving_bound(&self, domain: &str, service: &str) -> Option<ServingBound> {
        self.layouts.reach(service, self.in_force(domain))
    }

    /// Returns the kept part of the audit trail.
    pub fn audit(&self) -> &AuditTrail {
        &self.audit
    }

    /// Returns the bytes of a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![FORMAT]).expect("all parts of the state have an encoding")
    }

    /// Reads a snapshot.
    ///
    /// # Errors
    ///
    /// [`SnapshotError`] if the bytes are of another format, cannot be read, are followed by
    /// others, or their parts do not fit each other.
    pub fn decode(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let bad = |reason: &str| SnapshotError(reason.into());
        let Some((&FORMAT, bytes)) = bytes.split_first() else {
            return Err(bad("unknown format"));
        };
        let (state, rest) =
            postcard::take_from_bytes::<State>(bytes).map_err(|error| bad(&error.to_string()))?;
        if !rest.is_empty() {
            return Err(bad("bytes follow the state"));
        }
        state
            .audit
            .check()
            .map_err(|error| bad(&error.to_string()))?;
        if !state.layouts.is_valid() {
            return Err(bad("the homes are not in order"));
        }
        let chain = state.chain.restore();
        Ok(State {
            chain: chain.ok_or_else(|| bad("the bundle does not fit its version and digest"))?,
            ..state
        })
    }
}

fn stale(reason: String) -> Outcome {
    Outcome::Rejected(Rejection::PreconditionFailed(reason.into()))
}
