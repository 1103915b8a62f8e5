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
    DomainOrders,
    EvacuationOrder,
    Group,
    Home,
    HomeChange,
    HomeRanges,
    Outcome,
    Rejection,
    Versioned,
    Versions,
    chain::{
        BundleChain,
        ServingBound,
        Submission, //
    },
    homes::ServiceHistories,
    registry::Registry, //
};

/// Format version, the first byte of an encoded state.
const SNAPSHOT_FORMAT: u8 = 1;
/// Tag before the evacuations, which follow the other parts of an encoded state if any evacuation
/// was ever ordered.
const EVACUATIONS_TAG: u8 = 1;
/// Maximum number of voters of a domain group.
const MAX_VOTERS: usize = 5;
/// Maximum length of a recorded operator action, in bytes.
const MAX_ACTION_BYTES: usize = 4096;

/// Error returned when a snapshot cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("control snapshot: {0}")]
pub struct SnapshotError(Box<str>);

/// The replicated state of the control group, a deterministic function of its log.
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
    chain: BundleChain,
    registry: Registry,
    groups: BTreeMap<DomainName, Group>,
    histories: ServiceHistories,
    /// Domains declared lost, with the control log index of the declaration.
    lost: BTreeMap<DomainName, u64>,
    /// Lowest bundle version that each domain's group may have in force.
    in_force: BTreeMap<DomainName, u64>,
    audit: AuditTrail,
    /// Domains for which an evacuation was ever ordered, with the last order. Ended evacuations are
    /// kept, because their end must be acknowledged again if it is repeated.
    ///
    /// They are not part of the derived encoding, so that a state without them keeps the encoding
    /// of the version that knew none.
    #[serde(skip)]
    evacuations: BTreeMap<DomainName, EvacuationOrder>,
}

impl State {
    /// Returns the initial state. `operators` sign the first bundle.
    pub fn new(operators: Operators) -> Self {
        State {
            index: 0,
            versions: Versions::default(),
            chain: BundleChain::new(operators),
            registry: Registry::default(),
            groups: BTreeMap::new(),
            histories: ServiceHistories::default(),
            lost: BTreeMap::new(),
            in_force: BTreeMap::new(),
            audit: AuditTrail::new(),
            evacuations: BTreeMap::new(),
        }
    }

    /// Applies the command at log index `index`. A refused command changes only the index.
    ///
    /// # Examples
    ///
    /// A bundle that is resubmitted after a lost reply gets the original outcome. A different
    /// bundle of the same version is refused with the version and digest of the latest one.
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
    /// let latest = state.latest_bundle_id().map(|(_, digest)| digest);
    /// assert_eq!(refused, Outcome::Rejected(Rejection::Conflict {
    ///     version: 1,
    ///     latest_version: 1,
    ///     latest_digest: latest,
    /// }));
    /// # Ok::<(), camphordale_bundle::BundleError>(())
    /// ```
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        if index <= self.index {
            return precondition_failed(format!("log index {index} was applied before"));
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
            Command::SubmitBundle { signed, at } => self.submit_bundle(signed, *at),
            Command::FormGroup {
                domain,
                replaces,
                members,
            } => self.form_group(domain, *replaces, members),
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
            } => self.record_in_force(domain, *term, *version),
            Command::RecordAction { action, by, at } => self.record_action(action, by, *at),
            Command::Evacuate {
                domain,
                order,
                by,
                at,
            } => self.evacuate(domain, *order, by, *at),
        }
    }

    fn submit_bundle(&mut self, signed: &SignedBundle, at: u64) -> Outcome {
        let before = self.chain.digest();
        match self.chain.submit(signed, &self.histories) {
            Submission::Unchanged(outcome) => outcome,
            Submission::Accepted { outcome, signers } => {
                if let Some(bundle) = self.chain.bundle() {
                    self.histories.record_bundle(bundle);
                }
                self.versions.bundle = self.index;
                let action = format!("bundle {} accepted", self.chain.version());
                let digests = (before, self.chain.digest());
                self.audit.append(at, &signers.join(","), action, digests);
                outcome
            }
        }
    }

    fn form_group(
        &mut self,
        domain: &DomainName,
        replaces: u64,
        members: &[(VmId, Incarnation)],
    ) -> Outcome {
        let current = self.groups.get(domain).map_or(0, |group| group.term);
        if replaces != current {
            return precondition_failed(format!("domain {domain} has the group of term {current}"));
        }
        if self.is_lost(domain) {
            return precondition_failed(format!("domain {domain} is declared lost"));
        }
        let vms: BTreeSet<VmId> = members.iter().map(|(vm, _)| *vm).collect();
        if vms.len() != members.len() || !(1..=MAX_VOTERS).contains(&members.len()) {
            return precondition_failed(format!("a group has 1 to {MAX_VOTERS} different members"));
        }
        let eligible = |(vm, incarnation): &(VmId, Incarnation)| {
            self.registry.get(*vm).is_some_and(|info| {
                info.incarnation == *incarnation && info.domain == *domain && info.entry
            })
        };
        if !members.iter().all(eligible) {
            return precondition_failed(format!(
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
        // Members receive the group together with the current latest bundle.
        self.in_force.insert(domain.clone(), self.chain.version());
        Outcome::Done
    }

    fn set_homes(&mut self, service: &str, bundle: u64, changes: &[HomeChange]) -> Outcome {
        let latest = self.chain.version();
        if bundle != latest {
            return precondition_failed(format!("decided on bundle {bundle}, but {latest} stands"));
        }
        let Some(service) = self.chain.bundle().and_then(|b| b.service(service)) else {
            return precondition_failed(format!("no service {service} in the standing bundle"));
        };
        if self.histories.apply_changes(self.index, service, changes) {
            self.versions.homes = self.index;
        }
        Outcome::Done
    }

    fn record_in_force(&mut self, domain: &DomainName, term: u64, version: u64) -> Outcome {
        if self
            .groups
            .get(domain)
            .is_none_or(|group| group.term != term)
        {
            return precondition_failed(format!("term {term} is not the group of domain {domain}"));
        }
        if version > self.chain.version() {
            return precondition_failed(format!("bundle {version} was not accepted"));
        }
        let recorded = self.in_force.entry(domain.clone()).or_default();
        *recorded = version.max(*recorded);
        Outcome::Done
    }

    fn remove_vm(&mut self, vm: VmId, by: &str, at: u64) -> Outcome {
        if self.registry.remove(vm) {
            self.versions.vms = self.index;
            self.append_audit(at, by, format!("VM {vm} removed"));
        }
        Outcome::Done
    }

    fn declare_lost(&mut self, domain: &DomainName, by: &str, at: u64) -> Outcome {
        if !self.domains().contains(domain) {
            return precondition_failed(format!("domain {domain} is not known"));
        }
        if !self.is_lost(domain) {
            self.lost.insert(domain.clone(), self.index);
            self.versions.lost = self.index;
            self.append_audit(at, by, format!("domain {domain} declared lost"));
        }
        Outcome::Done
    }

    fn return_domain(&mut self, domain: &DomainName, by: &str, at: u64) -> Outcome {
        if self.lost.remove(domain).is_some() {
            self.versions.lost = self.index;
            self.append_audit(at, by, format!("domain {domain} returned"));
        }
        Outcome::Done
    }

    fn evacuate(
        &mut self,
        domain: &DomainName,
        order: EvacuationOrder,
        by: &str,
        at: u64,
    ) -> Outcome {
        let last = self.evacuations.get(domain).copied();
        if last == Some(order) {
            return Outcome::Done;
        }
        let known = !domain.is_empty() && self.domains().contains(domain);
        if last.is_none() && !known {
            return precondition_failed(format!("domain {domain} is not known"));
        }
        if last.is_none() && order == EvacuationOrder::End {
            return precondition_failed(format!("domain {domain} was never evacuated"));
        }
        self.evacuations.insert(domain.clone(), order);
        self.versions.lost = self.index;
        let action = match order {
            EvacuationOrder::Start => "evacuated",
            EvacuationOrder::End => "readmitted",
        };
        self.append_audit(at, by, format!("domain {domain} {action}"));
        Outcome::Done
    }

    fn record_action(&mut self, action: &str, by: &str, at: u64) -> Outcome {
        if action.len() > MAX_ACTION_BYTES {
            return precondition_failed(format!("a note has at most {MAX_ACTION_BYTES} bytes"));
        }
        self.append_audit(at, by, action.to_owned());
        Outcome::Done
    }

    fn append_audit(&mut self, at: u64, by: &str, action: String) {
        let digest = self.chain.digest();
        self.audit.append(at, by, action, (digest, digest));
    }

    /// Returns the parts that are newer than `have`.
    pub fn directory(&self, have: &Versions) -> Directory {
        fn newer<Content>(
            current: u64,
            have: u64,
            content: impl FnOnce() -> Content,
        ) -> Option<Versioned<Content>> {
            (current > have).then(|| Versioned {
                version: current,
                content: content(),
            })
        }
        let own = &self.versions;
        let signed = self.chain.latest();
        Directory {
            since: *have,
            bundle: signed.and_then(|signed| newer(own.bundle, have.bundle, || signed.clone())),
            vms: newer(own.vms, have.vms, || {
                self.registry.iter().cloned().collect()
            }),
            groups: newer(own.groups, have.groups, || {
                let groups = self.groups.iter();
                groups
                    .map(|(name, group)| (name.clone(), group.clone()))
                    .collect()
            }),
            homes: newer(own.homes, have.homes, || {
                let histories = self.histories.iter();
                histories
                    .map(|(name, history)| (name.clone(), history.homes.clone()))
                    .collect()
            }),
            lost: newer(own.lost, have.lost, || DomainOrders {
                lost: self.lost.keys().cloned().collect(),
                evacuated: self.evacuated().cloned().collect(),
            }),
        }
    }

    /// Returns the log index of the last applied command.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the log index of the last change of each part of the directory.
    pub fn versions(&self) -> Versions {
        self.versions
    }

    /// Returns the latest bundle.
    pub fn bundle(&self) -> Option<&Bundle> {
        self.chain.bundle()
    }

    /// Returns the accepted bundle with this version. Only the most recent ones are kept.
    pub fn signed_bundle_at(&self, version: u64) -> Option<&SignedBundle> {
        self.chain.signed_at(version)
    }

    /// Returns the latest bundle with its signatures.
    pub fn signed_bundle(&self) -> Option<&SignedBundle> {
        self.chain.latest()
    }

    /// Returns the version and digest of the latest bundle.
    pub fn latest_bundle_id(&self) -> Option<(u64, Digest)> {
        Some((self.chain.version(), self.chain.digest()?))
    }

    /// Returns the operators that must sign the next bundle.
    pub fn operators(&self) -> &Operators {
        self.chain.operators()
    }

    /// Returns the newest registration of a VM.
    pub fn vm(&self, vm: VmId) -> Option<&VmInfo> {
        self.registry.get(vm)
    }

    /// Returns the registered VMs, ordered by id.
    pub fn vms(&self) -> impl Iterator<Item = &VmInfo> {
        self.registry.iter()
    }

    /// Returns the group of a domain.
    pub fn group(&self, domain: &str) -> Option<&Group> {
        self.groups.get(domain)
    }

    /// Returns the homes of a service's shards.
    pub fn homes(&self, service: &str) -> Option<&HomeRanges> {
        Some(&self.histories.get(service)?.homes)
    }

    /// Returns the home of a shard.
    pub fn home(&self, service: &str, index: ShardIndex) -> Option<&Home> {
        self.homes(service)?.get(index)
    }

    /// Returns the log index of the last change of the service's homes.
    pub(crate) fn homes_index(&self, service: &str) -> u64 {
        self.histories
            .get(service)
            .map_or(0, |history| history.homes_index)
    }

    /// Returns whether a domain is declared lost.
    pub fn is_lost(&self, domain: &str) -> bool {
        self.lost_since(domain).is_some()
    }

    /// Returns the log index at which a domain was declared lost.
    pub(crate) fn lost_since(&self, domain: &str) -> Option<u64> {
        self.lost.get(domain).copied()
    }

    /// Returns whether a domain is under evacuation.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuations.get(domain) == Some(&EvacuationOrder::Start)
    }

    /// Returns the domains under evacuation, in order.
    pub fn evacuated(&self) -> impl Iterator<Item = &DomainName> {
        let orders = self.evacuations.iter();
        orders
            .filter(|(_, order)| **order == EvacuationOrder::Start)
            .map(|(domain, _)| domain)
    }

    /// Returns all domains with a registered VM, a group or a home.
    pub fn domains(&self) -> BTreeSet<DomainName> {
        let vms = self.registry.iter().map(|info| &info.domain);
        let homes = self
            .histories
            .iter()
            .flat_map(|(_, history)| history.homes.ranges());
        let homes = homes.filter_map(|range| range.home.as_ref().map(|home| &home.domain));
        vms.chain(self.groups.keys())
            .chain(homes)
            .cloned()
            .collect()
    }

    /// Returns the lowest bundle version that the domain's group may have in force, or 0.
    pub fn in_force(&self, domain: &str) -> u64 {
        self.in_force.get(domain).copied().unwrap_or(0)
    }

    /// Returns how long `domain` may serve shards of `service` while it is partitioned, under any
    /// bundle that it may have in force. A service that was never part of a bundle has no bound.
    pub fn serving_bound(&self, domain: &str, service: &str) -> Option<ServingBound> {
        self.histories.serving_bound(service, self.in_force(domain))
    }

    /// Returns the retained part of the audit trail.
    pub fn audit(&self) -> &AuditTrail {
        &self.audit
    }

    /// Encodes a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        const ENCODABLE: &str = "all parts of the state have an encoding";
        let mut bytes = postcard::to_extend(self, vec![SNAPSHOT_FORMAT]).expect(ENCODABLE);
        if !self.evacuations.is_empty() {
            bytes.push(EVACUATIONS_TAG);
            bytes = postcard::to_extend(&self.evacuations, bytes).expect(ENCODABLE);
        }
        bytes
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// [`SnapshotError`] if the bytes have another format version, are malformed, are followed by
    /// other bytes, or are inconsistent.
    pub fn decode(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let error = |reason: &str| SnapshotError(reason.into());
        let Some((&SNAPSHOT_FORMAT, bytes)) = bytes.split_first() else {
            return Err(error("unknown format version"));
        };
        let (state, rest) =
            postcard::take_from_bytes::<State>(bytes).map_err(|cause| error(&cause.to_string()))?;
        let (evacuations, rest) = match rest.split_first() {
            Some((&EVACUATIONS_TAG, rest)) => {
                postcard::take_from_bytes(rest).map_err(|cause| error(&cause.to_string()))?
            }
            _ => (BTreeMap::new(), rest),
        };
        if !rest.is_empty() {
            return Err(error("trailing bytes after the state"));
        }
        state
            .audit
            .verify()
            .map_err(|cause| error(&cause.to_string()))?;
        if !state.histories.is_valid() {
            return Err(error("the home ranges are invalid"));
        }
        let chain = state.chain.restore();
        Ok(State {
            chain: chain
                .ok_or_else(|| error("the latest bundle does not match its version and digest"))?,
            evacuations,
            ..state
        })
    }
}

fn precondition_failed(reason: String) -> Outcome {
    Outcome::Rejected(Rejection::PreconditionFailed(reason.into()))
}
