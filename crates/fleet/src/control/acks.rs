//! Acknowledgements of changes, leaves and orders of operators, which wait for the entry VMs.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration, //
};

use super::{
    CallToken,
    Control,
    Effect,
    LogEvent,
    Reply,
    heartbeats::LeaseRequest,
    streams::{
        EntryStream,
        Subscription,
        SubscriptionKind, //
    }, //
};
use crate::{
    registry::{
        Holder,
        Target,
        TargetId, //
    },
    routing::{
        Change,
        Version, //
    },
    state::View,
};

/// Maximum time for which a target that leaves waits until the entry VMs know. It takes a reply
/// within a second only.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time that the acknowledgement of a change may take longer for each route that it changes. Operators
/// of the platform allow as much.
const ROUTE_TIME: Duration = Duration::from_millis(3);
/// Longest time for which a change also waits for those before it, without which no entry VM can act on
/// it. Operators of the platform expect an answer within 4 s.
const EARLIER_CHANGE_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time since the last message of an entry VM without a stream for which it may still act on what it
/// has. It covers two failed attempts to subscribe again.
const LOST_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time after an election in which entry VMs of the former leader may not have subscribed yet, and are
/// not known. They notice its end within 900 ms, and an attempt to subscribe takes up to 950 ms; an
/// election takes a part of that.
const SUBSCRIPTION_PERIOD: Duration = Duration::from_millis(1500);

/// The part of the view on which an entry VM acts.
#[derive(Clone, Copy)]
pub(super) struct Held {
    /// Index of the view, apart from the routing.
    pub(super) index: u64,
    /// Version of the routing, if the entry VM takes contents in parts. Others have the one of the
    /// index.
    pub(super) routing: Option<Version>,
}

impl Held {
    /// Whether the entry VM has any view to act on.
    pub(super) fn is_any(&self) -> bool {
        self.index > 0
    }
}

impl From<&EntryStream> for Held {
    fn from(stream: &EntryStream) -> Held {
        Held {
            index: stream.index,
            routing: stream.routing,
        }
    }
}

impl From<&Subscription> for Held {
    fn from(subscription: &Subscription) -> Held {
        Held {
            index: subscription.index,
            routing: match subscription.kind {
                SubscriptionKind::Following(version) => Some(version),
                SubscriptionKind::Whole | SubscriptionKind::Resuming => None,
            },
        }
    }
}

/// An accepted change, leave or order of an operator that is acknowledged once the entry VMs have
/// it.
struct PendingAck {
    token: CallToken,
    index: u64,
    /// Version of the routing, for a change.
    version: Option<Version>,
    committed_at: Duration,
    deadline: Duration,
    /// The announcement of the target that leaves, if it gets leases in the reply.
    leases: Option<Box<LeaseRequest>>,
}

impl PendingAck {
    /// Whether a VM has it that acts on a view of the index with the version of the routing. A
    /// change is no part of the index: its content may arrive later.
    fn is_met_by(&self, index: u64, version: Version) -> bool {
        match self.version {
            Some(awaited) => version >= awaited,
            None => index >= self.index,
        }
    }
}

/// An entry VM without a stream.
struct LostEntry {
    held: Held,
    last_heard: Duration,
}

/// Acknowledgements that wait, and the entry VMs that have lost their streams.
#[derive(Default)]
pub(super) struct Acks {
    pending: Vec<PendingAck>,
    /// By the ids of the processes.
    lost: BTreeMap<u64, LostEntry>,
    /// Versions of the routing whose changes may still be on their way, and until when each of them
    /// is waited for. Every control VM keeps them, as an operator may repeat a change at the next
    /// leader.
    changes: VecDeque<(Version, Duration)>,
    /// Targets that accept no requests any more, and the index since when they do not. It is not known
    /// of those that a snapshot brought.
    stopped: BTreeMap<Holder, u64>,
}

impl Acks {
    /// Records that a change of the routing was applied. An acknowledgement waits for it for `timeout`,
    /// and longer for a change of many routes, or behind one.
    pub(super) fn on_change(&mut self, change: &Change, timeout: Duration, now: Duration) {
        let routes = change.routes.len() + change.removed_routes.len();
        let routes = u32::try_from(routes).unwrap_or(u32::MAX);
        let deadline = now + timeout + ROUTE_TIME.saturating_mul(routes);
        self.changes.retain(|(_, deadline)| now < *deadline);
        let earlier = self.changes.back().map(|(_, deadline)| *deadline);
        let earlier = earlier.map(|earlier| earlier.min(now + EARLIER_CHANGE_TIMEOUT));
        let deadline = earlier.map_or(deadline, |earlier| earlier.max(deadline));
        self.changes.push_back((change.version, deadline));
    }

    /// Records that the registry has a new record of a target.
    pub(super) fn on_target(&mut self, id: &TargetId, target: &Target, index: u64) {
        let incarnation = target.incarnation;
        let id = id.clone();
        let holder = Holder { id, incarnation };
        if target.state.accepts_requests() {
            self.stopped.remove(&holder);
        } else {
            self.stopped.entry(holder).or_insert(index);
        }
    }

    /// Forgets what is known of targets, as a snapshot replaces the registry.
    pub(super) fn on_restored(&mut self) {
        self.stopped.clear();
    }

    /// Forgets targets that are not registered any more.
    pub(super) fn retain_current(&mut self, view: &View) {
        self.stopped.retain(|holder, _| view.is_current(holder));
    }

    /// Until when the entry VMs are waited for that do not act on a version, if its change may still
    /// be on its way.
    fn deadline(&self, version: Version) -> Option<Duration> {
        let mut changes = self.changes.iter();
        let change = changes.find(|change| change.0 == version);
        change.map(|(_, deadline)| *deadline)
    }

    /// Records that an entry VM has no stream any more.
    pub(super) fn on_lost(&mut self, entry_id: u64, held: Held, last_heard: Duration) {
        self.lost.insert(entry_id, LostEntry { held, last_heard });
    }

    /// Records that an entry VM has subscribed.
    pub(super) fn on_subscribed(&mut self, entry_id: u64) {
        self.lost.remove(&entry_id);
    }

    /// Forgets the entry VMs that have been silent for too long.
    pub(super) fn expire(&mut self, now: Duration) {
        self.lost
            .retain(|_, lost| now.saturating_sub(lost.last_heard) < LOST_TIMEOUT);
    }

    /// Ends all waits. Returns their calls.
    pub(super) fn take_calls(&mut self) -> impl Iterator<Item = CallToken> {
        self.lost.clear();
        std::mem::take(&mut self.pending)
            .into_iter()
            .map(|ack| ack.token)
    }
}

/// Versions of the routing on which the entry VMs act, as the leader knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetVersions {
    /// The newest version.
    pub newest: Version,
    /// The oldest version on which an entry VM acts.
    pub oldest: Version,
    /// Number of entry VMs that act on an older version than the newest, including the lost ones.
    pub behind: usize,
    /// Number of entry VMs that lost their stream a short time ago and may act on what they have.
    pub lost: usize,
}

impl Control {
    /// Versions of the routing on which the entry VMs act. All are 0 unless this VM leads.
    ///
    /// # Examples
    ///
    /// ```
    /// # use camphordale_fleet::Control;
    /// fn is_in_force(control: &Control) -> bool {
    ///     control.fleet_versions().behind == 0
    /// }
    /// ```
    pub fn fleet_versions(&self) -> FleetVersions {
        if self.leader_state.is_none() {
            return FleetVersions::default();
        }
        let routing = self.state.view.routing.as_ref();
        let newest = routing.map_or(0, |routing| routing.version);
        let versions = self.held_views().map(|held| self.version_of(held));
        let mut fleet = FleetVersions {
            newest,
            oldest: newest,
            behind: 0,
            lost: self.acks.lost.len(),
        };
        for version in versions {
            fleet.oldest = fleet.oldest.min(version);
            fleet.behind += usize::from(version < newest);
        }
        fleet
    }

    /// What the entry VMs act on that have a stream, wait for a view, or lost their stream a short
    /// time ago.
    fn held_views(&self) -> impl Iterator<Item = Held> {
        let streams = self.streams.values().map(Held::from);
        let lost = self.acks.lost.values().map(|lost| lost.held);
        streams.chain(self.waiting_views()).chain(lost)
    }

    /// What the entry VMs act on that wait for the whole view.
    fn waiting_views(&self) -> impl Iterator<Item = Held> {
        let waiting = self.awaiting_view.iter().chain(self.contents.pulling());
        let waiting = waiting.map(Held::from);
        waiting.filter(Held::is_any)
    }

    /// Version of the routing on which an entry VM acts.
    fn version_of(&self, held: Held) -> Version {
        let history = &self.state.history;
        held.routing.unwrap_or_else(|| {
            let later = history.partition_point(|change| change.index <= held.index);
            let last = later.checked_sub(1).and_then(|last| history.get(last));
            last.map_or(0, |change| change.version)
        })
    }

    /// Acknowledges the change to a version of the routing, or another order, when the entry VMs have
    /// it.
    pub(super) fn acknowledge_order(
        &mut self,
        token: CallToken,
        (index, version): (u64, Option<Version>),
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let deadline = now + self.config.apply_timeout;
        let change = version.and_then(|version| self.acks.deadline(version));
        self.acks.pending.push(PendingAck {
            token,
            index,
            version,
            committed_at: now,
            deadline: change.map_or(deadline, |change| change.max(deadline)),
            leases: None,
        });
        self.acknowledge_changes(now, out);
    }

    /// Acknowledges a call of a target that is registered as leaving.
    pub(super) fn acknowledge_known_leave(
        &mut self,
        token: CallToken,
        holder: &Holder,
        leases: Option<LeaseRequest>,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let leases = leases.map(Box::new);
        let index = self.acks.stopped.get(holder).copied();
        let index = index.unwrap_or(self.recent_updates.first_index());
        self.acknowledge_leave(token, index, leases, now, out);
    }

    /// Acknowledges the leave of a target when the entry VMs know of it: from then on, none may
    /// send requests to it for long.
    pub(super) fn acknowledge_leave(
        &mut self,
        token: CallToken,
        index: u64,
        leases: Option<Box<LeaseRequest>>,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        self.acks.pending.push(PendingAck {
            token,
            index,
            version: None,
            committed_at: now,
            deadline: now + LEAVE_TIMEOUT,
            leases,
        });
        self.acknowledge_changes(now, out);
    }

    /// Acknowledges changes on which all entry VMs act, leaves and orders of operators that they have,
    /// and those whose wait has timed out. A VM that lost its stream a short time ago counts too, as
    /// it serves on. So do VMs of the former leader, which a new one does not know.
    pub(super) fn acknowledge_changes(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let Some(leader) = &self.leader_state else {
            return;
        };
        if self.acks.pending.is_empty() {
            return;
        }
        let is_new = now < leader.elected_at + SUBSCRIPTION_PERIOD;
        let (mut index, mut version) = (u64::MAX, Version::MAX);
        for held in self.held_views() {
            index = index.min(held.index);
            version = version.min(self.version_of(held));
        }
        let due: Vec<PendingAck> = self
            .acks
            .pending
            .extract_if(.., |ack| {
                let is_earned = !is_new && ack.is_met_by(index, version);
                is_earned || now >= ack.deadline
            })
            .collect();
        for ack in due {
            out.push(Effect::Log(self.log_ack(&ack, is_new, now)));
            match ack.leases {
                Some(request) => self.answer_announcement(ack.token, &request, now, out),
                None => out.push(Effect::Reply {
                    token: ack.token,
                    reply: Reply::Done { is_leader: true },
                }),
            }
        }
    }

    fn log_ack(&self, ack: &PendingAck, is_new: bool, now: Duration) -> LogEvent {
        let is_behind = |held: &Held| !ack.is_met_by(held.index, self.version_of(*held));
        LogEvent::Acknowledged {
            index: ack.index,
            version: ack.version,
            waited: now.saturating_sub(ack.committed_at),
            behind: self.held_views().filter(is_behind).count(),
            oldest: self.fleet_versions().oldest,
            is_new,
        }
    }
}
