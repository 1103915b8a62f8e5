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

/// The replicated state: sessions, owners, senders, tokens and idempotency records.
///
/// Two states that applied the same commands are equal.
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
    /// Index of the last change of anything but records.
    layout: u64,
    version: u64,
    services: BTreeMap<ServiceName, Service>,
    /// Longest deadline that each service has had; requests under an older bundle may still run.
    deadlines: BTreeMap<ServiceName, Duration>,
    /// Services of which a shard was assigned by this group.
    opened: BTreeSet<ServiceName>,
    vms: BTreeMap<VmId, VmSession>,
    /// The newest session that each VM has had.
    last_sessions: BTreeMap<VmId, SessionId>,
    targets: BTreeMap<TargetId, TargetEntry>,
    homes: BTreeMap<ServiceName, Homes>,
    /// Shards whose keys a bundle changed, until none of a service's has an owner.
    remapping: BTreeMap<ServiceName, BTreeSet<ShardIndex>>,
    records: Records,
    removed: VecDeque<(u64, Removed)>,
    /// Index of the newest removal that is no longer remembered.
    forgotten: u64,
}

/// Session of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSession {
    /// Log index of its `OpenVmSession`.
    pub id: SessionId,
    /// The run of the VM's process.
    pub incarnation: Incarnation,
    /// The VM's session before this one. Its process may still run.
    pub earlier: Option<SessionId>,
}

/// A target with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The target.
    pub info: TargetInfo,
    /// The VM that alone may send keyed requests to it; none once its session ended.
    pub sender: Option<VmId>,
    /// Session that was last given the right to send.
    pub sender_session: Option<SessionId>,
    /// Session that had the right before `holder`.
    pub previous_session: Option<SessionId>,
    /// Token of the sender's right.
    pub token: Token,
    /// Number of shards it owns.
    pub owned_shards: u32,
    /// Log index of its last change.
    pub changed: u64,
}

/// A shard that is homed in the domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardEntry {
    /// Control log index at which it got this home.
    pub since: u64,
    /// Whether it shall be released to another domain.
    pub leaving: bool,
    /// Whether it is still homed here by the newest list of homes.
    pub listed: bool,
    /// Whether all its idempotency records are present.
    pub records_complete: bool,
    /// Log index at which this home arrived.
    pub homed_at: u64,
    /// Owner and progress.
    pub phase: Phase,
    /// Its token.
    pub token: Token,
    /// Log index of its last change.
    pub changed: u64,
}

/// Ownership of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It has no owner.
    Free,
    /// It has an owner.
    Held(TargetId),
    /// Its sender stops and drains it.
    Releasing(TargetId),
    /// It has no owner and waits for its move to another domain.
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

/// The shards of one service that are homed here.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Homes {
    version: u64,
    /// Largest `since` of any home seen.
    newest: u64,
    shards: BTreeMap<ShardIndex, ShardEntry>,
}

/// Something that a view has to report as gone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Removed {
    Target(TargetId),
    Shard(ShardRef),
}

/// A state could not be encoded or decoded.
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
    /// Creates the state of a group formed at control log index `term`. `recreated` tells whether
    /// it replaces a group, so that idempotency records may be missing.
    pub fn new(term: u64, recreated: bool) -> Self {
        State {
            term,
            recreated,
            index: 0,
            epoch: 0,
            layout: 0,
            version: 0,
            services: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            opened: BTreeSet::new(),
            vms: BTreeMap::new(),
            last_sessions: BTreeMap::new(),
            targets: BTreeMap::new(),
            homes: BTreeMap::new(),
            remapping: BTreeMap::new(),
            records: Records::default(),
            removed: VecDeque::new(),
            forgotten: 0,
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

    /// Returns the term of the group.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Tells whether the group replaced another.
    pub fn recreated(&self) -> bool {
        self.recreated
    }

    /// Returns the log index of the last command applied.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the epoch of the last command applied.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the log index of the last change of anything but records.
    pub fn layout_index(&self) -> u64 {
        self.layout
    }

    /// Returns the version of the bundle in force, 0 for none.
    pub fn bundle_version(&self) -> u64 {
        self.version
    }

    /// Returns the latest bundle version under whose mapping from keys to shards every owner got
    /// its shards. It is one below [`State::bundle_version`] while shards with changed keys drain.
    pub fn mapping_version(&self) -> u64 {
        self.version - u64::from(!self.remapping.is_empty())
    }

    /// Tells whether a shard may not be assigned yet, because its keys changed and an owner under
    /// the mapping before may still act.
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
    /// that this group never had in force, it is the longest of all.
    pub fn deadline(&self, name: &str) -> Duration {
        let longest = || self.deadlines.values().max();
        self.deadlines
            .get(name)
            .or_else(longest)
            .copied()
            .unwrap_or_default()
    }

    /// Tells whether this group has assigned a shard of service `name`.
    pub fn opened(&self, name: &str) -> bool {
        self.opened.contains(name)
    }

    /// Returns the VMs with a session, in order.
    pub fn vms(&self) -> impl Iterator<Item = (VmId, VmSession)> {
        self.vms.iter().map(|(&vm, &session)| (vm, session))
    }

    /// Returns the session of `vm`.
    pub fn vm(&self, vm: VmId) -> Option<VmSession> {
        self.vms.get(&vm).copied()
    }

    /// Returns all targets, in order of their sessions.
    pub fn targets(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values()
    }

    /// Returns the target with session `id`.
    pub fn target(&self, id: TargetId) -> Option<&TargetEntry> {
        self.targets.get(&id)
    }

    /// Returns the names of services with shards homed here, whether or not they are in force.
    pub fn homed_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.homes.keys()
    }

    /// Returns the shards of service `name` homed here, in order.
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

    /// Returns the token that a request for `shard` carries: the larger of the shard's token and
    /// the token of its owner's sender.
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

    /// Returns up to `limit` records of service `name` made up to log index `index`, oldest first.
    pub fn records_until(
        &self,
        name: &str,
        index: u64,
        limit: usize,
    ) -> Vec<(crate::RecordKey, camphordale_types::RequestId)> {
        self.records.until(name, index, limit)
    }

    /// Returns the token of a grant made by the command that is being applied.
    ///
    /// Its term is not below the `since` of any home of the service, so that all tokens of the
    /// service in this group grow with the log, those of shards and those of senders alike. A
    /// home that moved on has a larger `since` than any in the lists that named it here.
    fn new_token(&self, service: &str) -> Token {
        let newest = self.homes.get(service).map_or(0, |homes| homes.newest);
        Token {
            term: self.term.max(newest),
            epoch: self.epoch,
            seq: self.index,
        }
    }

    fn touch(&mut self) {
        self.layout = self.index;
    }

    /// Removes a lost target that owns no shard any more.
    fn collect(&mut self, id: TargetId) {
        let unused = self
            .targets
            .get(&id)
            .is_some_and(|t| t.info.state == TargetState::Lost && t.owned_shards == 0);
        if unused {
            self.targets.remove(&id);
            self.forget(Removed::Target(id));
        }
    }
}
