//! Streams of the view to entry VMs.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use postcard::ser_flavors::Size;

use super::{
    Control,
    Effect,
    LogEvent,
    acks::Held,
    contents::FIRST_PART_BYTES,
    loads::LoadReport,
    statements::TargetStatements, //
};
use crate::{
    content::{
        Content,
        KeptChange, //
    },
    keys::Key,
    message::{
        EntryCounts,
        PeerMessage, //
    },
    routing::{
        Change,
        Domain,
        ServiceName,
        Version, //
    },
    state::{
        Command,
        View, //
    },
};

/// Time without a byte from an entry VM after which its stream is closed.
const STREAM_TIMEOUT: Duration = Duration::from_millis(2000);

/// Maximum time for which a subscription waits for a leader to become known, before the entry VM is
/// told to ask another control VM.
const LEADER_WAIT_TIMEOUT: Duration = Duration::from_millis(250);

/// Entry VMs that are sent the whole view at once between two ticks. Further ones wait for the tick.
const MAX_SINGLE_VIEWS: u32 = 4;

/// Entry VMs that are sent the whole view in one tick.
const MAX_VIEWS_PER_TICK: usize = 32;

/// Views that may be under way to entry VMs however long they are.
const MIN_VIEWS_UNDER_WAY: usize = 2;

/// Updates that are kept for entry VMs that subscribe again: more than a fleet makes while a leader
/// is replaced.
const MAX_RECENT_UPDATES: usize = 1024;

/// Bytes of updates that are kept even if the view has fewer.
const MIN_RECENT_BYTES: usize = 256 << 10;

/// An update that is kept, with its encoded command.
#[derive(Clone, Debug)]
enum KeptUpdate {
    /// A change of the routing. Entry VMs that take contents in parts do not need the command.
    Change(Arc<[u8]>),
    Other(Arc<[u8]>),
}

impl KeptUpdate {
    fn bytes(&self) -> &[u8] {
        match self {
            KeptUpdate::Change(bytes) | KeptUpdate::Other(bytes) => bytes,
        }
    }

    fn command(&self) -> Option<Box<Command>> {
        postcard::from_bytes(self.bytes()).ok().map(Box::new)
    }
}

/// An update that an entry VM has missed which takes contents in parts.
pub(super) enum MissedUpdate {
    /// A change of the routing, which has a content.
    Change,
    Other(Box<Command>),
}

/// The last updates of the view. Every control VM keeps them, so that a new leader need not send the
/// whole view to each entry VM.
///
/// Commands stay encoded, as the log shares them. Those that take more bytes than the view are
/// dropped, as the whole view is shorter.
pub(super) struct RecentUpdates {
    /// The updates after this index are kept.
    from: u64,
    /// Indexes and encoded commands.
    updates: VecDeque<(u64, KeptUpdate)>,
    /// Bytes of these commands.
    bytes: usize,
    /// Bytes of the view.
    view_bytes: usize,
}

impl RecentUpdates {
    /// Starts with the view at `index`.
    pub(super) fn new(index: u64, view: &View) -> RecentUpdates {
        RecentUpdates {
            from: index,
            updates: VecDeque::new(),
            bytes: 0,
            view_bytes: encoded_length(view),
        }
    }

    /// Takes note of the length of the view after its routing has changed, which is the part that
    /// takes most bytes.
    fn measure(&mut self, view: &View) {
        self.view_bytes = encoded_length(view);
    }

    /// Encoded bytes of the updates that are kept.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds the encoded command at `index`.
    fn push(&mut self, index: u64, update: KeptUpdate) {
        self.bytes += update.bytes().len();
        self.updates.push_back((index, update));
        let max_bytes = self.view_bytes.max(MIN_RECENT_BYTES);
        while (self.updates.len() > MAX_RECENT_UPDATES || self.bytes > max_bytes)
            && let Some((dropped, update)) = self.updates.pop_front()
        {
            self.bytes -= update.bytes().len();
            self.from = dropped;
        }
    }

    /// The index after which all updates are kept.
    pub(super) fn first_index(&self) -> u64 {
        self.from
    }

    /// Whether all updates after `index` are kept.
    pub(super) fn reaches(&self, index: u64) -> bool {
        index >= self.from
    }

    /// The updates after `index`, or `None` if they are not all kept. A view without any state has
    /// index 0.
    fn since(&self, index: u64) -> Option<Vec<(u64, Box<Command>)>> {
        if index == 0 {
            return None;
        }
        let updates = self.after(index)?;
        updates
            .map(|(at, update)| Some((*at, update.command()?)))
            .collect()
    }

    /// The updates after `index` for an entry VM that takes contents in parts, or `None` if they are
    /// not all kept.
    pub(super) fn missed_since(&self, index: u64) -> Option<Vec<(u64, MissedUpdate)>> {
        let updates = self.after(index)?;
        updates
            .map(|(at, update)| {
                let missed = match update {
                    KeptUpdate::Change(_) => MissedUpdate::Change,
                    KeptUpdate::Other(_) => MissedUpdate::Other(update.command()?),
                };
                Some((*at, missed))
            })
            .collect()
    }

    fn after(&self, index: u64) -> Option<impl Iterator<Item = &(u64, KeptUpdate)>> {
        let first = self.updates.partition_point(|(at, _)| *at <= index);
        self.reaches(index).then(|| self.updates.range(first..))
    }
}

/// Bytes of the encoded view. Counting fails only for a view that cannot be encoded, which is never
/// sent; the event loop reports that.
fn encoded_length(view: &View) -> usize {
    postcard::serialize_with_flavor(view, Size::default()).unwrap_or(0)
}

/// How an entry VM subscribes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SubscriptionKind {
    /// It needs the whole view.
    Whole,
    /// It can go on from its view.
    Resuming,
    /// It takes contents in parts, and acts on the routing of this version.
    Following(Version),
}

/// A subscription of an entry VM.
pub(super) struct Subscription {
    pub(super) conn: u64,
    pub(super) entry_id: u64,
    pub(super) domain: Domain,
    /// Index of the entry VM's view.
    pub(super) index: u64,
    pub(super) kind: SubscriptionKind,
}

/// A subscription received while no leader was known.
pub(super) struct WaitingSubscription {
    subscription: Subscription,
    deadline: Duration,
}

/// The stream of one entry VM.
pub(super) struct EntryStream {
    pub(super) entry_id: u64,
    pub(super) domain: Domain,
    /// Index of the entry VM's view.
    pub(super) index: u64,
    /// Index of the whole view that was sent and that the entry VM has not confirmed.
    awaits: Option<u64>,
    /// Version of the routing on which the entry VM acts, if it takes contents in parts.
    pub(super) routing: Option<Version>,
    pub(super) last_heard: Duration,
    /// Whether the entry VM takes evidence on requests that crash their targets.
    pub(super) takes_evidence: bool,
    /// Whether the entry VM takes statements of targets and rights to send.
    pub(super) takes_statements: bool,
    /// Whether the entry VM takes summaries of the load of targets.
    pub(super) takes_summaries: bool,
}

impl Control {
    pub(super) fn on_stream_message(
        &mut self,
        conn: u64,
        message: PeerMessage,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        self.record_progress(conn, now);
        match message {
            PeerMessage::Subscribe {
                entry_id,
                domain,
                index,
            } => {
                let subscription = Subscription {
                    conn,
                    entry_id,
                    domain,
                    index,
                    kind: SubscriptionKind::Whole,
                };
                self.subscribe(subscription, now, out);
            }
            PeerMessage::Resubscribe {
                entry_id,
                domain,
                index,
            } => {
                let subscription = Subscription {
                    conn,
                    entry_id,
                    domain,
                    index,
                    kind: SubscriptionKind::Resuming,
                };
                self.subscribe(subscription, now, out);
            }
            PeerMessage::Follow {
                entry_id,
                domain,
                index,
                version,
            } => {
                let subscription = Subscription {
                    conn,
                    entry_id,
                    domain,
                    index,
                    kind: SubscriptionKind::Following(version),
                };
                self.subscribe(subscription, now, out);
            }
            PeerMessage::Pull {
                wanted,
                offset,
                length,
            } => self.on_pull(conn, wanted, (offset, length), now, out),
            PeerMessage::RoutingInForce(version) => {
                if let Some(stream) = self.streams.get_mut(&conn) {
                    stream.routing = Some(version);
                    self.acknowledge_changes(now, out);
                }
            }
            PeerMessage::Ping {
                sent,
                index,
                load,
                latencies,
            } => {
                let Some(stream) = self.streams.get_mut(&conn) else {
                    return;
                };
                stream.index = index;
                stream.awaits = stream.awaits.filter(|awaited| index < *awaited);
                let domain = stream.domain.clone();
                let message = PeerMessage::Pong {
                    sent,
                    entries: self.entry_counts(&domain),
                };
                out.push(Effect::Stream { conn, message });
                if let Some(leader) = &mut self.leader_state {
                    leader.load_stats.record(load, now);
                    leader.load_stats.record_latencies(latencies);
                }
                self.acknowledge_changes(now, out);
            }
            PeerMessage::CrashEvidence {
                records, trials, ..
            } => {
                self.on_crash_evidence(conn, &records, &trials, now, out);
            }
            PeerMessage::TargetStatements {
                sent,
                stated,
                leaving,
                rights,
            } => {
                let statements = TargetStatements {
                    stated: &stated,
                    leaving: &leaving,
                    wanted: &rights,
                };
                self.on_target_statements(conn, sent, statements, now, out);
            }
            PeerMessage::TargetLoads {
                loads,
                covered_ms,
                demand,
                work,
                unreachable,
            } => {
                let report = LoadReport {
                    loads: &loads,
                    covered: Duration::from_millis(u64::from(covered_ms)),
                    demand: &demand,
                    work: &work,
                    unreachable: &unreachable,
                };
                self.on_target_loads(conn, report, now);
            }
            PeerMessage::ColdTargets { suspected, .. } => {
                self.on_cold_targets(conn, &suspected, now, out);
            }
            // Other messages are for control VMs; a peer may send them on any connection.
            other => self.on_peer_message(other, now, out),
        }
    }

    fn subscribe(&mut self, subscription: Subscription, now: Duration, out: &mut Vec<Effect>) {
        let Subscription { conn, index, .. } = subscription;
        let is_behind = self.state.view.index < index;
        if self.leader_state.is_none() || is_behind {
            let leader = self.other_leader();
            if leader.is_none() && !is_behind {
                self.waiting
                    .retain(|waiting| waiting.subscription.conn != conn);
                self.waiting.push(WaitingSubscription {
                    subscription,
                    deadline: now + LEADER_WAIT_TIMEOUT,
                });
                return;
            }
            let message = PeerMessage::NotLeader { leader };
            out.push(Effect::Stream { conn, message });
            return;
        }
        let entry_id = subscription.entry_id;
        self.acks.on_subscribed(entry_id);
        self.streams.retain(|_, stream| stream.entry_id != entry_id);
        self.awaiting_view
            .retain(|other| other.entry_id != entry_id);
        let updates = match subscription.kind {
            SubscriptionKind::Following(version) => {
                return self.follow(subscription, version, now, out);
            }
            SubscriptionKind::Resuming => self.recent_updates.since(index),
            SubscriptionKind::Whole => None,
        };
        let Some(updates) = updates else {
            self.awaiting_view.push_back(subscription);
            if self.single_views < MAX_SINGLE_VIEWS {
                self.single_views += 1;
                self.send_views(1, now, out);
            }
            return;
        };
        let message = PeerMessage::Resume { index };
        out.push(Effect::Stream { conn, message });
        out.extend(updates.into_iter().map(|(index, command)| {
            let message = PeerMessage::Update { index, command };
            Effect::Stream { conn, message }
        }));
        self.open_stream(subscription, None, now);
        out.push(Effect::Log(LogEvent::Entries(self.streams.len())));
    }

    pub(super) fn open_stream(
        &mut self,
        subscription: Subscription,
        awaits: Option<u64>,
        now: Duration,
    ) {
        let stream = EntryStream {
            entry_id: subscription.entry_id,
            domain: subscription.domain,
            index: subscription.index,
            awaits,
            routing: match subscription.kind {
                SubscriptionKind::Following(version) => Some(version),
                SubscriptionKind::Whole | SubscriptionKind::Resuming => None,
            },
            last_heard: now,
            takes_evidence: false,
            takes_statements: false,
            takes_summaries: false,
        };
        self.streams.insert(subscription.conn, stream);
    }

    /// Sends the whole view to entry VMs that need it. Those that subscribe together, as after a
    /// restart of the fleet, share one copy, which is encoded once. Their number is limited, so that
    /// the leader's heartbeats are not late.
    pub(super) fn send_waiting_views(&mut self, now: Duration, out: &mut Vec<Effect>) {
        self.single_views = 0;
        if !self.awaiting_view.is_empty() {
            self.send_views(MAX_VIEWS_PER_TICK, now, out);
        }
    }

    /// Number of views that may be sent in addition to those under way. Each takes its length in
    /// the output for an entry VM until it is read.
    fn free_views(&self) -> usize {
        let max_views = self.config.view_limit / self.recent_updates.view_bytes.max(1);
        let under_way = self.streams.values().filter(|s| s.awaits.is_some()).count();
        max_views.max(MIN_VIEWS_UNDER_WAY).saturating_sub(under_way)
    }

    fn send_views(&mut self, max_count: usize, now: Duration, out: &mut Vec<Effect>) {
        let waiting = self.awaiting_view.len();
        let count = waiting.min(max_count).min(self.free_views());
        if count == 0 {
            return;
        }
        let index = self.state.view.index;
        let subscriptions: Vec<Subscription> = self.awaiting_view.drain(..count).collect();
        let conns = subscriptions.iter().map(|subscription| subscription.conn);
        let conns: Box<[u64]> = conns.collect();
        // A VM that has just started sends requests as soon as it has a view.
        if let Some(message) = self.suspicions(now) {
            let conns = conns.clone();
            out.push(Effect::Broadcast { conns, message });
        }
        out.push(Effect::Broadcast {
            conns,
            message: PeerMessage::Snapshot(Box::new(self.state.view.clone())),
        });
        for subscription in subscriptions {
            self.open_stream(subscription, Some(index), now);
        }
        out.push(Effect::Log(LogEvent::Entries(self.streams.len())));
    }

    fn other_leader(&self) -> Option<SocketAddr> {
        let leader = self.leader_member().map(|member| member.peer);
        leader.filter(|leader| *leader != self.config.member.peer)
    }

    /// Answers waiting subscriptions once a leader is known or their time limit has passed.
    pub(super) fn retry_waiting_subscriptions(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if self.waiting.is_empty() {
            return;
        }
        let known = self.leader_state.is_some() || self.other_leader().is_some();
        for waiting in std::mem::take(&mut self.waiting) {
            if known {
                self.subscribe(waiting.subscription, now, out);
            } else if now < waiting.deadline {
                self.waiting.push(waiting);
            } else {
                let conn = waiting.subscription.conn;
                let message = PeerMessage::NotLeader { leader: None };
                out.push(Effect::Stream { conn, message });
            }
        }
    }

    /// Takes note of bytes from an entry VM.
    pub(super) fn record_progress(&mut self, conn: u64, now: Duration) {
        if let Some(stream) = self.streams.get_mut(&conn) {
            stream.last_heard = now;
        }
        self.contents.record_progress(conn, now);
    }

    pub(super) fn on_stream_closed(&mut self, conn: u64, now: Duration, out: &mut Vec<Effect>) {
        self.waiting
            .retain(|waiting| waiting.subscription.conn != conn);
        let awaiting = self
            .awaiting_view
            .iter()
            .position(|other| other.conn == conn);
        let awaiting = awaiting.and_then(|at| self.awaiting_view.remove(at));
        let pulling = self.contents.on_stream_closed(conn);
        for (lost, last_heard) in awaiting.map(|lost| (lost, now)).into_iter().chain(pulling) {
            let held = Held::from(&lost);
            if held.is_any() {
                self.acks.on_lost(lost.entry_id, held, last_heard);
            }
        }
        if let Some(stream) = self.streams.remove(&conn) {
            let held = Held::from(&stream);
            self.acks.on_lost(stream.entry_id, held, stream.last_heard);
            out.push(Effect::Log(LogEvent::Entries(self.streams.len())));
        }
    }

    /// Streams the command at `index`. `encoded` is its encoding.
    pub(super) fn stream_update(
        &mut self,
        index: u64,
        command: Command,
        encoded: Arc<[u8]>,
        out: &mut Vec<Effect>,
    ) {
        let notified = match &command {
            Command::Change(change) => {
                // The limit of what is kept follows the view, of which the change is a part now.
                self.recent_updates.measure(&self.state.view);
                self.recent_updates.push(index, KeptUpdate::Change(encoded));
                self.stream_change(index, change, out)
            }
            _ => {
                self.recent_updates.push(index, KeptUpdate::Other(encoded));
                false
            }
        };
        let streams = self.streams.iter();
        let streams = streams.filter(|(_, stream)| !notified || stream.routing.is_none());
        let conns: Box<[u64]> = streams.map(|(conn, _)| *conn).collect();
        if !conns.is_empty() {
            let command = Box::new(command);
            let message = PeerMessage::Update { index, command };
            out.push(Effect::Broadcast { conns, message });
        }
    }

    /// Sends a notice of the change at `index` to the entry VMs that take contents in parts. Returns
    /// whether it has a content.
    fn stream_change(&mut self, index: u64, change: &Change, out: &mut Vec<Effect>) -> bool {
        let content = match Content::of_change(change) {
            Ok(content) => content,
            Err(_) => {
                out.push(Effect::Log(LogEvent::Codec("change cannot be encoded")));
                self.contents.changes.clear();
                return false;
            }
        };
        let part = content.part(0, FIRST_PART_BYTES);
        self.contents.changes.push(KeptChange {
            index,
            base: change.base_version,
            version: change.version,
            content,
        });
        let streams = self.streams.iter();
        let following = streams.filter(|(_, stream)| stream.routing.is_some());
        let conns: Box<[u64]> = following.map(|(conn, _)| *conn).collect();
        if !conns.is_empty() {
            let message = PeerMessage::RoutingNotice { index, part };
            out.push(Effect::Broadcast { conns, message });
        }
        true
    }

    /// Notifies the entry VMs that a range started or finished moving, so that they delay its
    /// requests in between.
    pub(super) fn stream_handover(
        &self,
        service: &ServiceName,
        (from, to): (Key, Key),
        done: bool,
        out: &mut Vec<Effect>,
    ) {
        let message = PeerMessage::Handover {
            service: service.clone(),
            from,
            to,
            done,
        };
        self.broadcast(message, out);
    }

    pub(super) fn broadcast(&self, message: PeerMessage, out: &mut Vec<Effect>) {
        if !self.streams.is_empty() {
            out.push(Effect::Broadcast {
                conns: self.streams.keys().copied().collect(),
                message,
            });
        }
    }

    /// Closes streams of entry VMs that have sent nothing for a time.
    pub(super) fn close_silent_streams(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let silent = |stream: &EntryStream| now.saturating_sub(stream.last_heard) >= STREAM_TIMEOUT;
        let conns: Vec<u64> = self
            .streams
            .iter()
            .filter(|(_, stream)| silent(stream))
            .map(|(conn, _)| *conn)
            .collect();
        let pulling = self.contents.silent_pullers(now, STREAM_TIMEOUT);
        for conn in conns.into_iter().chain(pulling) {
            self.on_stream_closed(conn, now, out);
            out.push(Effect::CloseStream(conn));
        }
    }

    /// Whether an entry VM of a failure domain has a stream.
    pub(super) fn has_entry_in(&self, domain: &Domain) -> bool {
        self.streams.values().any(|stream| stream.domain == *domain)
    }

    fn entry_counts(&self, domain: &Domain) -> EntryCounts {
        let same = self.streams.values().filter(|s| s.domain == *domain);
        EntryCounts {
            all: self.streams.len() as u32,
            domain: same.count() as u32,
        }
    }
}
