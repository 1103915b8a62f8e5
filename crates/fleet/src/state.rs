//! The replicated state machine.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    sync::Arc,
};

use camphordale_raft::MemberId;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    keys::{
        KeyMap,
        KeyRange, //
    },
    message::Member,
    registry::{
        Holder,
        Incarnation,
        Target,
        TargetId, //
    },
    routing::{
        Change,
        Digest,
        Invalid,
        RouteName,
        Routing,
        ServiceName,
        Version, //
    },
};

/// Accepted changes that the audit trail keeps: those of a day.
const MAX_HISTORY: usize = 1500;
/// Names of routes that the audit trail keeps of one change.
const MAX_NAMES: usize = 20;

/// A command of the state machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Notes where a control VM is.
    Member(Member),
    /// Forgets a control VM.
    Forget(MemberId),
    /// Changes the routing.
    Change(Box<Change>),
    /// Notes what a target says of itself.
    Announce {
        /// Id of the target.
        id: TargetId,
        /// Its record.
        target: Target,
    },
    /// Forgets one life of a target.
    Remove {
        /// Id of the target.
        id: TargetId,
        /// The life.
        incarnation: Incarnation,
    },
    /// Gives a range of keys to a holder, if all of it still has the former one.
    Assign {
        /// The service.
        service: ServiceName,
        /// Who had the keys when the change was decided.
        former: Option<Holder>,
        /// The range and its holder.
        range: KeyRange,
    },
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is in force.
    Done,
    /// The same change was accepted before.
    Repeated,
    /// The change builds on a version that is not the current one.
    Stale {
        /// The current version.
        current: Version,
    },
    /// The change was refused.
    Invalid(Invalid),
    /// A younger life is known; nothing changed.
    Outdated,
}

/// The part of the state that entry VMs follow.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Index of the last command contained.
    pub index: u64,
    /// The routing, once an operator has sent one.
    pub routing: Option<Arc<Routing>>,
    /// Targets by id.
    pub targets: BTreeMap<TargetId, Target>,
    /// Holders of keys by service.
    pub keys: BTreeMap<ServiceName, KeyMap>,
    /// Control VMs.
    pub members: BTreeMap<MemberId, Member>,
}

impl View {
    /// Whether `holder` is the life that the directory has.
    pub fn is_current(&self, holder: &Holder) -> bool {
        let target = self.targets.get(&holder.id);
        target.is_some_and(|target| target.incarnation == holder.incarnation)
    }

    /// Whether a younger life than `holder` is known under its id.
    pub fn is_replaced(&self, holder: &Holder) -> bool {
        let target = self.targets.get(&holder.id);
        target.is_some_and(|target| target.incarnation > holder.incarnation)
    }

    /// Whether the service divides its requests by key.
    pub fn is_keyed(&self, service: &str) -> bool {
        let routing = self.routing.as_ref();
        let item = routing.and_then(|routing| routing.services.get(service));
        item.is_some_and(|item| item.spec.keyed)
    }

    /// Applies the command at `index`. An entry VM follows the leader with the same method.
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        self.index = index;
        match command {
            Command::Member(member) => {
                self.members.insert(member.id, member.clone());
                Outcome::Done
            }
            Command::Forget(id) => {
                self.members.remove(id);
                Outcome::Done
            }
            Command::Change(change) => self.change(change),
            Command::Announce { id, target } => self.announce(id, target),
            Command::Remove { id, incarnation } => {
                let known = self.targets.get(id);
                if known.is_none_or(|known| known.incarnation != *incarnation) {
                    return Outcome::Outdated;
                }
                self.targets.remove(id);
                Outcome::Done
            }
            Command::Assign {
                service,
                former,
                range,
            } => {
                let map = self.keys.entry(service.clone()).or_default();
                let same = |old: &KeyRange| old.holder == *former;
                if !map.overlapping(range.from, range.to).all(same) {
                    return Outcome::Outdated;
                }
                map.assign(range.clone());
                Outcome::Done
            }
        }
    }

    fn change(&mut self, change: &Change) -> Outcome {
        let empty = Arc::default();
        let routing = self.routing.as_ref().unwrap_or(&empty);
        if change.base_version != routing.version {
            return Outcome::Stale {
                current: routing.version,
            };
        }
        match routing.with_change(change) {
            Ok(next) => {
                self.routing = Some(Arc::new(next));
                Outcome::Done
            }
            Err(error) => Outcome::Invalid(error),
        }
    }

    /// Takes a record unless a younger life is known under its id or at its address. An older
    /// life at the address has ended, because two processes cannot listen there.
    fn announce(&mut self, id: &TargetId, target: &Target) -> Outcome {
        let newer = |known: &Target| known.incarnation > target.incarnation;
        if self.targets.get(id).is_some_and(newer) {
            return Outcome::Outdated;
        }
        let other = self
            .targets
            .iter()
            .find(|(other, known)| *other != id && known.address == target.address)
            .map(|(other, known)| (other.clone(), newer(known)));
        match other {
            Some((_, true)) => return Outcome::Outdated,
            Some((other, false)) => {
                self.targets.remove(&other);
            }
            None => {}
        }
        self.targets.insert(id.clone(), target.clone());
        Outcome::Done
    }
}

/// An accepted change, for the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Index of the command.
    pub index: u64,
    /// When a control VM received it, in milliseconds of its clock since 1970.
    pub received: u64,
    /// Version that it builds on.
    pub base: Version,
    /// Version after it.
    pub version: Version,
    /// Whether it replaced the whole routing.
    pub whole: bool,
    /// Names of the routes that it set.
    pub routes: Vec<RouteName>,
    /// Names of the routes that it removed.
    pub dropped: Vec<RouteName>,
    /// Digest of the operator's bytes.
    pub digest: Digest,
}

impl Accepted {
    fn new(index: u64, change: &Change) -> Accepted {
        let names = change.routes.iter().map(|(name, _)| name.clone());
        Accepted {
            index,
            received: change.received_ms,
            base: change.base_version,
            version: change.version,
            whole: change.replace_all,
            routes: names.take(MAX_NAMES).collect(),
            dropped: change
                .removed_routes
                .iter()
                .take(MAX_NAMES)
                .cloned()
                .collect(),
            digest: change.digest,
        }
    }
}

/// All that is replicated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The part that entry VMs follow.
    pub view: View,
    /// The last accepted changes, oldest first.
    pub history: VecDeque<Accepted>,
    /// Digests of accepted changes.
    accepted: BTreeSet<Digest>,
}

impl State {
    /// Applies the command at `index`.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_fleet::{Command, Outcome, State};
    ///
    /// let mut state = State::default();
    /// let command = Command::Remove { id: "t1".into(), incarnation: 7 };
    /// assert_eq!(state.apply(1, &command), Outcome::Outdated);
    /// assert_eq!(state.view.index, 1);
    /// ```
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        let Command::Change(change) = command else {
            return self.view.apply(index, command);
        };
        if self.accepted.contains(&change.digest) {
            self.view.index = index;
            return Outcome::Repeated;
        }
        let outcome = self.view.apply(index, command);
        if outcome == Outcome::Done {
            self.accepted.insert(change.digest);
            self.history.push_back(Accepted::new(index, change));
            if self.history.len() > MAX_HISTORY {
                self.history.pop_front();
            }
        }
        outcome
    }
}
