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
    Deserializer,
    Serialize,
    Serializer, //
};

use crate::{
    evacuation::{
        self,
        EvacuationOrder,
        Evacuations, //
    },
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
        Domain,
        Invalid,
        KeyDelivery,
        RouteName,
        Routing,
        ServiceName,
        Version, //
    },
};

/// Accepted changes kept in the audit trail: about one day's worth.
const MAX_AUDIT_ENTRIES: usize = 1500;
/// Route names kept per change in the audit trail.
const MAX_AUDIT_NAMES: usize = 20;

/// A command of the state machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Adds a control VM or updates its addresses.
    Member(Member),
    /// Removes a control VM.
    Forget(MemberId),
    /// Changes the routing.
    Change(Box<Change>),
    /// Registers a target or updates its record.
    Announce {
        /// Id of the target.
        id: TargetId,
        /// Its record.
        target: Target,
    },
    /// Removes one incarnation of a target.
    Remove {
        /// Id of the target.
        id: TargetId,
        /// The incarnation.
        incarnation: Incarnation,
    },
    /// Assigns a key range to a holder, provided that all of it still has the previous holder.
    Assign {
        /// The service.
        service: ServiceName,
        /// Holder of the keys at the time of the decision.
        previous: Option<Holder>,
        /// The range and its new holder.
        range: KeyRange,
    },
    /// Starts or ends the evacuation of a failure domain.
    Evacuate {
        /// The domain.
        domain: Domain,
        /// The operator's order.
        order: EvacuationOrder,
    },
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The command was applied.
    Done,
    /// The same change was accepted earlier, or the order has taken effect already.
    Repeated,
    /// The change is based on a version that is not the current one.
    Stale {
        /// The current version.
        current: Version,
    },
    /// The change was rejected.
    Invalid(Invalid),
    /// The command is outdated: a newer incarnation or holder is known. Nothing changed.
    Outdated,
    /// The order ends an evacuation that never began. Nothing changed.
    NotEvacuated,
}

/// The part of the state that is streamed to entry VMs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Index of the last applied command.
    pub index: u64,
    /// The routing, once an operator has submitted one.
    pub routing: Option<Arc<Routing>>,
    /// Targets by id.
    pub targets: BTreeMap<TargetId, Target>,
    /// Holders of keys by service.
    pub keys: BTreeMap<ServiceName, KeyMap>,
    /// Control VMs.
    pub members: BTreeMap<MemberId, Member>,
    /// Evacuated failure domains. [`State`] and [`crate::PeerMessage::Snapshot`] encode them at
    /// their ends.
    #[serde(skip)]
    pub evacuations: Evacuations,
}

impl View {
    /// Whether `holder` is the registered incarnation of its target.
    pub fn is_current(&self, holder: &Holder) -> bool {
        let target = self.targets.get(&holder.id);
        target.is_some_and(|target| target.incarnation == holder.incarnation)
    }

    /// Whether a newer incarnation than `holder` is registered under its id.
    pub fn is_replaced(&self, holder: &Holder) -> bool {
        let target = self.targets.get(&holder.id);
        target.is_some_and(|target| target.incarnation > holder.incarnation)
    }

    /// The registered later incarnation of the holder's target, if it belongs to the service.
    pub fn successor(&self, holder: &Holder, service: &str) -> Option<Holder> {
        let target = self.targets.get(&holder.id)?;
        let succeeds = target.incarnation > holder.incarnation && &*target.service == service;
        succeeds.then(|| Holder {
            id: holder.id.clone(),
            incarnation: target.incarnation,
        })
    }

    /// Whether requests of the service are assigned to targets by key.
    pub fn is_keyed(&self, service: &str) -> bool {
        self.key_delivery(service).is_keyed()
    }

    /// How the targets of the service get their key leases.
    pub fn key_delivery(&self, service: &str) -> KeyDelivery {
        let routing = self.routing.as_ref();
        let item = routing.and_then(|routing| routing.services.get(service));
        item.map_or(KeyDelivery::Unkeyed, |item| item.spec.keys)
    }

    /// Applies the command at `index`. Entry VMs apply the leader's updates with the same method.
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
            Command::Change(change) => self.change_routing(change),
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
                previous,
                range,
            } => {
                let map = self.keys.entry(service.clone()).or_default();
                let same = |old: &KeyRange| old.holder == *previous;
                if !map.overlapping(range.from, range.to).all(same) {
                    return Outcome::Outdated;
                }
                map.assign(range.clone());
                Outcome::Done
            }
            Command::Evacuate { domain, order } => {
                let outcome = self.evacuations.apply(index, domain, *order);
                if outcome == Outcome::Done && *order == EvacuationOrder::End {
                    self.mark_domain_cold(domain);
                }
                outcome
            }
        }
    }

    /// Applies a change of the routing. The index stays as it is.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_fleet::{Change, Outcome, View};
    ///
    /// let change = Change {
    ///     base_version: 3,
    ///     version: 4,
    ///     replace_all: false,
    ///     routes: Vec::new(),
    ///     services: Vec::new(),
    ///     limits: None,
    ///     removed_routes: Vec::new(),
    ///     removed_services: Vec::new(),
    ///     digest: [0; 16],
    ///     received_ms: 0,
    /// };
    /// assert_eq!(View::default().change_routing(&change), Outcome::Stale { current: 0 });
    /// ```
    pub fn change_routing(&mut self, change: &Change) -> Outcome {
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

    /// Registers a target unless a newer incarnation is known under its id or at its address. An
    /// older incarnation at the address has ended, because two processes cannot listen there.
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

/// An accepted change in the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Index of the command.
    pub index: u64,
    /// When a control VM received it, in milliseconds since 1970 by its clock.
    pub received: u64,
    /// Version that the change is based on.
    pub base: Version,
    /// Version after the change.
    pub version: Version,
    /// Whether it is recorded as a complete routing. Most are recorded by what they change.
    pub whole: bool,
    /// Names of the routes that it added or replaced.
    pub routes: Vec<RouteName>,
    /// Names of the routes that it removed.
    pub dropped: Vec<RouteName>,
    /// Digest of the operator's request.
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
            routes: names.take(MAX_AUDIT_NAMES).collect(),
            dropped: change
                .removed_routes
                .iter()
                .take(MAX_AUDIT_NAMES)
                .cloned()
                .collect(),
            digest: change.digest,
        }
    }
}

/// The complete replicated state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// The part that is streamed to entry VMs.
    pub view: View,
    /// The last accepted changes, oldest first.
    pub history: VecDeque<Accepted>,
    /// Digests of accepted changes.
    accepted_digests: BTreeSet<Digest>,
}

impl Serialize for State {
    fn serialize<Sink>(&self, serializer: Sink) -> Result<Sink::Ok, Sink::Error>
    where
        Sink: Serializer,
    {
        let body = (&self.view, &self.history, &self.accepted_digests);
        evacuation::serialize_after(&body, &self.view.evacuations, serializer)
    }
}

impl<'de> Deserialize<'de> for State {
    fn deserialize<Source>(deserializer: Source) -> Result<State, Source::Error>
    where
        Source: Deserializer<'de>,
    {
        let (body, evacuations) = evacuation::deserialize_after(deserializer)?;
        let (mut view, history, accepted_digests): (View, _, _) = body;
        view.evacuations = evacuations;
        Ok(State {
            view,
            history,
            accepted_digests,
        })
    }
}

impl State {
    /// Returns a change as it is proposed: without what the routing has already, and without any
    /// content if it was accepted before.
    ///
    /// # Errors
    ///
    /// Returns the outcome of a change that cannot be accepted any more, whatever was proposed
    /// before it. Versions only increase, and a version stands for one routing, so a later state
    /// has the same verdict.
    pub(crate) fn review(&self, change: Change) -> Result<Change, Outcome> {
        if self.accepted_digests.contains(&change.digest) {
            return Ok(change.without_content());
        }
        let empty = Arc::default();
        let routing = self.view.routing.as_ref().unwrap_or(&empty);
        if change.base_version < routing.version {
            return Err(Outcome::Stale {
                current: routing.version,
            });
        }
        if change.base_version > routing.version {
            return Ok(change);
        }
        match routing.with_change(&change) {
            Ok(_) => Ok(change.relative_to(routing)),
            Err(error) => Err(Outcome::Invalid(error)),
        }
    }

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
        if self.accepted_digests.contains(&change.digest) {
            self.view.index = index;
            return Outcome::Repeated;
        }
        let outcome = self.view.apply(index, command);
        if outcome == Outcome::Done {
            self.accepted_digests.insert(change.digest);
            self.history.push_back(Accepted::new(index, change));
            if self.history.len() > MAX_AUDIT_ENTRIES {
                self.history.pop_front();
            }
        }
        outcome
    }
}
