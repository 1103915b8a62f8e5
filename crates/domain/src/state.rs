//! The replicated state of a domain group.

mod apply;
mod diff;
mod records;
mod shards;

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    time::Duration, //
};

use camphordale_types::{
    Incarnation,
    Service,
    ServiceName,
    SessionId,
    ShardIndex,
    ShardRef,
    TargetId,
    TargetInfo,
    TargetState,
    Token,
    VmId, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use self::records::Records;

pub use self::records::Record;

/// The replicated state: sessions, shard owners, senders, fencing tokens and idempotency records.
///
/// It is deterministic: two states that applied the same commands are equal.
///
/// # Examples
///
/// ```
/// use camphordale_domain::{Command, Outcome, State};
///
/// let mut state = State::new(7, false);
/// let command = Command::OpenVmSession { vm: 1, incarnation: 11 };
/// assert_eq!(state.apply(1, 1, &command), Outcome::Done);
/// assert_eq!(state.vms().next().map(|(vm, session)| (vm, session.id)), Some((1, 1)));
/// assert_eq!(State::decode(&state.encode()?)?, state);
/// # Ok::<(), camphordale_domain::StateError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    term: u64,
    recreated: bool,
    index: u64,
    epoch: u64,
    /// Log index of the last change of anything but records.
    layout_index: u64,
    bundle_version: u64,
    services: BTreeMap<ServiceName, Service>,
    /// Longest deadline that each service has had, because requests under an older bundle may still
    /// run.
    max_deadlines: BTreeMap<ServiceName, Duration>,
    /// Services of which this group has assigned a shard.
    assigned_services: BTreeSet<ServiceName>,
    vms: BTreeMap<VmId, VmSession>,
    /// The latest session of each VM, open or ended.
    last_sessions: BTreeMap<VmId, SessionId>,
    targets: BTreeMap<TargetId, TargetEntry>,
    homes: BTreeMap<ServiceName, Homes>,
    /// Shards whose keys were changed by a bundle; a service's entry is removed once none of them
    /// has an owner.
    remapping: BTreeMap<ServiceName, BTreeSet<ShardIndex>>,
    records: Records,
    removals: VecDeque<(u64, Removal)>,
    /// Log index of the latest removal that is no longer kept in `removals`.
    trimmed_index: u64,
}

/// Session of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSession {
    /// Log index of its `OpenVmSession`.
    pub id: SessionId,
    /// Incarnation of the VM's process.
    pub incarnation: Incarnation,
    /// The VM's previous session, whose process may still run.
    pub previous: Option<SessionId>,
}

/// A target with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The target.
    pub info: TargetInfo,
    /// The only VM that may send keyed requests to it; none after that VM's session has ended.
    pub sender: Option<VmId>,
    /// Session that was made sender last.
    pub sender_session: Option<SessionId>,
    /// Session that was sender before `sender_session`.
    pub previous_session: Option<SessionId>,
    /// Fencing token of the sender.
    pub token: Token,
    /// Number of shards that it owns.
    pub owned_shards: u32,
    /// Log index of its last change.
    pub changed: u64,
}

/// A shard whose home is this domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardEntry {
    /// Index in the control log at which it got this home.
    pub since: u64,
    /// Whether it is to be released to another domain.
    pub leaving: bool,
    /// Whether the latest list of homes contains it.
    pub listed: bool,
    /// Whether none of its idempotency records can be missing.
    pub records_complete: bool,
    /// Log index at which the group learned of this home.
    pub homed_at: u64,
    /// Owner and phase of ownership.
    pub phase: Phase,
    /// Its fencing token.
    pub token: Token,
    /// Log index of its last change.
    pub changed: u64,
}

/// Phase of a shard's ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It has no owner.
    Free,
    /// It has an owner.
    Held(TargetId),
    /// It has an owner, and its sender stops sending and drains it.
    Releasing(TargetId),
    /// It has no owner and is about to move to another domain.
    Parked,
}

impl Phase {
    /// Returns the owner.
    pub fn owner(self) -> Option<TargetId> {
        match self {
            Phase::Held(owner) | Phase::Releasing(owner) => Some(owner),
            Phase::Free | Phase::Parked => None,
        }
    }
}

/// The shards of one service whose home is this domain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Homes {
    version: u64,
    /// Largest `since` of any home seen.
    max_since: u64,
    shards: BTreeMap<ShardIndex, ShardEntry>,
}

/// A removed item, which views have to report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Removal {
    Target(TargetId),
    Shard(ShardRef),
}

/// Failure to encode or decode a state.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// The state could not be encoded.
    #[error("domain state cannot be encoded: {0}")]
    Encode(postcard::Error),
    /// The bytes are not an encoded state.
    #[error("domain state cannot be decoded: {0}")]
    Decode(postcard::Error),
}

impl State {
    /// Creates the state of a group formed at index `term` of the control log. `recreated` tells
    /// whether it replaces a lost group, so that idempotency records may be missing.
    pub fn new(term: u64, recreated: bool) -> Self {
        State {
            term,
            recreated,
            index: 0,
            epoch: 0,
            layout_index: 0,
            bundle_version: 0,
            services: BTreeMap::new(),
            max_deadlines: BTreeMap::new(),
            assigned_services: BTreeSet::new(),
            vms: BTreeMap::new(),
            last_sessions: BTreeMap::new(),
            targets: BTreeMap::new(),
            homes: BTreeMap::new(),
            remapping: BTreeMap::new(),
            records: Records::default(),
            removals: VecDeque::new(),
            trimmed_index: 0,
        }
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the state cannot be serialised.
    pub fn encode(&self) -> Result<Vec<u8>, StateError> {
        postcard::to_stdvec(self).map_err(StateError::Encode)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when `bytes` are not an encoded state.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        postcard::from_bytes(bytes).map_err(StateError::Decode)
    }

    /// Returns the term of the group: the control log index at which it was formed.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns whether the group was recreated after its predecessor was lost.
    pub fn recreated(&self) -> bool {
        self.recreated
    }

    /// Returns the log index of the last command applied.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the Raft term of the last command applied.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the log index of the last change of anything but records.
    pub fn layout_index(&self) -> u64 {
        self.layout_index
    }

    /// Returns the version of the bundle in force, 0 for none.
    pub fn bundle_version(&self) -> u64 {
        self.bundle_version
    }

    /// Returns the latest bundle version whose mapping from keys to shards every owner follows. It
    /// is one below [`State::bundle_version`] while shards with changed keys drain.
    pub fn mapping_version(&self) -> u64 {
        self.bundle_version - u64::from(!self.remapping.is_empty())
    }

    /// Returns whether a shard may not be assigned yet because its keys changed and an owner under
    /// the previous mapping may still handle requests.
    pub fn is_remapping(&self, service: &str, index: ShardIndex) -> bool {
        let shards = self.remapping.get(service);
        shards.is_some_and(|shards| shards.contains(&index))
    }

    /// Returns the services in force, in order of their names.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the longest deadline that service `name` has had under this group. For a service
    /// that this group never had in force, it is the longest of all services.
    pub fn max_deadline(&self, name: &str) -> Duration {
        let longest = || self.max_deadlines.values().max();
        self.max_deadlines
            .get(name)
            .or_else(longest)
            .copied()
            .unwrap_or_default()
    }

    /// Returns whether this group has assigned a shard of service `name`.
    pub fn has_assigned(&self, name: &str) -> bool {
        self.assigned_services.contains(name)
    }

    /// Returns the VMs with a session, in order.
    pub fn vms(&self) -> impl Iterator<Item = (VmId, VmSession)> {
        self.vms.iter().map(|(&vm, &session)| (vm, session))
    }

    /// Returns the session of `vm`.
    pub fn vm(&self, vm: VmId) -> Option<VmSession> {
        self.vms.get(&vm).copied()
    }

    /// Returns all targets, ordered by session id.
    pub fn targets(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values()
    }

    /// Returns the target with session `id`.
    pub fn target(&self, id: TargetId) -> Option<&TargetEntry> {
        self.targets.get(&id)
    }

    /// Returns the names of services with shards whose home is this domain, whether or not the
    /// services are in force.
    pub fn homed_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.homes.keys()
    }

    /// Returns the shards of service `name` whose home is this domain, in order.
    pub fn shards(&self, name: &str) -> impl Iterator<Item = (ShardIndex, &ShardEntry)> {
        self.homes
            .get(name)
            .into_iter()
            .flat_map(|homes| homes.shards.iter().map(|(&index, shard)| (index, shard)))
    }

    /// Returns one shard.
    pub fn shard(&self, shard: &ShardRef) -> Option<&ShardEntry> {
        self.homes.get(&shard.service)?.shards.get(&shard.index)
    }

    /// Returns the fencing token that a request for `shard` carries: the larger of the shard's
    /// token and the token of its owner's sender.
    pub fn request_token(&self, shard: &ShardRef) -> Option<Token> {
        let entry = self.shard(shard)?;
        let owner = self.targets.get(&entry.phase.owner()?)?;
        Some(entry.token.max(owner.token))
    }

    /// Returns the record with `key`.
    pub fn record(&self, key: &crate::RecordKey) -> Option<&Record> {
        self.records.get(key)
    }

    /// Returns the number of records.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Returns up to `limit` records of service `name` created up to log index `index`, oldest
    /// first.
    pub fn records_until(
        &self,
        name: &str,
        index: u64,
        limit: usize,
    ) -> Vec<(crate::RecordKey, camphordale_types::RequestId)> {
        self.records.created_until(name, index, limit)
    }

    /// Returns the fencing token of a grant made by the command that is being applied.
    ///
    /// Its term is not below the `since` of any home of the service, so that within this group all
    /// tokens of the service, of shards and of senders, increase with the log. When a home has
    /// moved on, the other domain's tokens are larger, because its `since` is larger than any that
    /// this group has seen.
    fn new_token(&self, service: &str) -> Token {
        let newest = self.homes.get(service).map_or(0, |homes| homes.max_since);
        Token {
            term: self.term.max(newest),
            epoch: self.epoch,
            seq: self.index,
        }
    }

    fn mark_layout_changed(&mut self) {
        self.layout_index = self.index;
    }

    /// Removes a lost target that no longer owns a shard.
    fn remove_if_unused(&mut self, id: TargetId) {
        let unused = self
            .targets
            .get(&id)
            .is_some_and(|t| t.info.state == TargetState::Lost && t.owned_shards == 0);
        if unused {
            self.targets.remove(&id);
            self.push_removal(Removal::Target(id));
        }
    }
}
