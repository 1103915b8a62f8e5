//! Client side of the stream from the control leader.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use camphordale_fleet::{
    ContentKind,
    Domain,
    EntryCounts,
    KeyLoad,
    PeerMessage,
    TargetLatency,
    Version,
    View, //
};

/// Interval between pings.
pub(crate) const PING_INTERVAL: Duration = Duration::from_millis(300);
/// Time without progress after which another control VM is tried: three pings, or three round
/// trips if these take longer on a loaded link. A new stream would wait in the same queue.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time without progress, however long round trips take.
const MAX_SILENCE_TIMEOUT: Duration = Duration::from_millis(3000);
/// Weight of one round trip in their mean while they get shorter; a longer one counts at once.
const ROUND_TRIP_WEIGHT: f64 = 0.125;
/// Time without progress after which a subscription is given up. It doubles with each attempt that
/// failed, since the queue of a narrow link may hold a connection back for longer.
const SUBSCRIBE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit for opening a connection, which doubles likewise: enough for one retransmission of a
/// lost packet. A lost first packet (SYN), for example to a VM that is just starting, is
/// retransmitted only after one second, so opening a new connection is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of times that these limits double at most.
const MAX_DOUBLINGS: u32 = 2;
/// Rejected requests after which a control VM is taken to be of an older version.
const REJECTIONS_OF_OLDER_VERSION: u32 = 2;
/// Rejected requests after which the forms of requests are tried from the first one on.
const REJECTION_CYCLE: u32 = 3;
/// Delay before the next control VM is tried. A control VM that knows no leader replies only after
/// a wait.
const RECONNECT_DELAY: Duration = Duration::from_millis(30);

/// An action on the connection to a control VM, for the process to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlStreamEffect {
    /// Open a connection to a control VM, replacing any other.
    Connect {
        /// The control VM.
        to: SocketAddr,
        /// Time within which it must open and complete its handshake.
        timeout: Duration,
    },
    /// Send on the open connection.
    Send(PeerMessage),
    /// Close the connection.
    Close,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Idle {
        until: Duration,
    },
    Subscribing {
        /// When the request was sent, or bytes of the reply were last received.
        progress_at: Duration,
        /// Whether the reply is being received.
        answered: bool,
    },
    /// The whole view is being received.
    Receiving {
        progress_at: Duration,
    },
    Established {
        progress_at: Duration,
    },
}

/// How the leader is asked for its updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Request {
    /// Long updates in parts, from the view on.
    Follow,
    /// The whole view, and each update in one message, as control VMs of an older version send them.
    Subscribe,
}

/// From where an entry VM follows the leader.
///
/// ```
/// use camphordale_entry::Position;
/// use camphordale_fleet::View;
///
/// let view = View { index: 7, ..View::default() };
/// assert_eq!(Position::from(&view), Position { index: 7, version: 0 });
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Index of the view; 0 if the VM needs a whole one.
    pub index: u64,
    /// Version of its routing; 0 for none.
    pub version: Version,
}

impl From<&View> for Position {
    fn from(view: &View) -> Position {
        let routing = view.routing.as_ref();
        Position {
            index: view.index,
            version: routing.map_or(0, |routing| routing.version),
        }
    }
}

/// Subscription to the view of the control leader.
#[derive(Debug)]
pub struct ControlStream {
    entry_id: u64,
    domain: Domain,
    seeds: Vec<SocketAddr>,
    next: usize,
    leader_hint: Option<SocketAddr>,
    phase: Phase,
    next_ping: Duration,
    /// Consecutive attempts without an established stream.
    failures: u32,
    /// Consecutive requests on which a control VM closed the connection.
    rejections: u32,
    /// Form of the last request.
    request: Request,
    /// Recent time from a ping to its reply.
    round_trip: Duration,
    /// When the leader was last heard from.
    last_heard: Duration,
    /// Number of VMs that share the targets.
    pub entries: EntryCounts,
}

impl ControlStream {
    /// Starts without a connection. `entry_id` is a random id of this process.
    pub fn new(entry_id: u64, domain: Domain, seeds: Vec<SocketAddr>) -> ControlStream {
        ControlStream {
            entry_id,
            domain,
            seeds,
            next: entry_id as usize,
            leader_hint: None,
            phase: Phase::Idle {
                until: Duration::ZERO,
            },
            next_ping: Duration::ZERO,
            failures: 0,
            rejections: 0,
            request: Request::Follow,
            round_trip: Duration::ZERO,
            last_heard: Duration::ZERO,
            entries: EntryCounts::default(),
        }
    }

    /// Replaces the addresses from the settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Whether the stream from a leader is established.
    pub fn is_established(&self) -> bool {
        matches!(self.phase, Phase::Established { .. })
    }

    /// Time since the leader was last heard from.
    pub fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_heard)
    }

    /// Time at which the next tick is due.
    pub fn next_deadline(&self) -> Duration {
        match self.phase {
            Phase::Idle { until } => until,
            Phase::Subscribing {
                progress_at,
                answered,
            } => {
                let end = progress_at + self.stretched(SUBSCRIBE_TIMEOUT);
                match answered {
                    true => self.next_ping.min(end),
                    false => end,
                }
            }
            Phase::Receiving { progress_at } | Phase::Established { progress_at } => {
                self.next_ping.min(progress_at + self.silence_timeout())
            }
        }
    }

    fn silence_timeout(&self) -> Duration {
        (self.round_trip * 3).clamp(SILENCE_TIMEOUT, MAX_SILENCE_TIMEOUT)
    }

    fn record_round_trip(&mut self, took: Duration) {
        let smoothed =
            self.round_trip.mul_f64(1.0 - ROUND_TRIP_WEIGHT) + took.mul_f64(ROUND_TRIP_WEIGHT);
        self.round_trip = smoothed.max(took);
    }

    /// A time limit after the attempts that failed.
    fn stretched(&self, limit: Duration) -> Duration {
        limit * 2u32.pow(self.failures.min(MAX_DOUBLINGS))
    }

    /// Reconnects when the current phase has timed out. `view` names the control VMs.
    pub fn tick(
        &mut self,
        (view, position): (&View, Position),
        now: Duration,
        out: &mut Vec<ControlStreamEffect>,
    ) {
        match self.phase {
            Phase::Idle { until } if now >= until => self.connect((view, position), now, out),
            Phase::Subscribing { progress_at, .. }
                if now.saturating_sub(progress_at) >= self.stretched(SUBSCRIBE_TIMEOUT) =>
            {
                self.failures += 1;
                self.reconnect_later(now, out);
            }
            Phase::Receiving { progress_at } | Phase::Established { progress_at }
                if now.saturating_sub(progress_at) >= self.silence_timeout() =>
            {
                self.reconnect_later(now, out);
            }
            _ => {}
        }
    }

    /// Whether a ping is due. The leader gives up a VM from which it hears nothing, also while the VM
    /// receives a long reply.
    pub fn ping_due(&self, now: Duration) -> bool {
        let is_heard = match self.phase {
            Phase::Idle { .. } => false,
            Phase::Subscribing { answered, .. } => answered,
            Phase::Receiving { .. } | Phase::Established { .. } => true,
        };
        is_heard && now >= self.next_ping
    }

    /// Sends a ping with the view index and the reports.
    pub fn ping(
        &mut self,
        index: u64,
        (load, latencies): (Vec<KeyLoad>, Vec<TargetLatency>),
        now: Duration,
        out: &mut Vec<ControlStreamEffect>,
    ) {
        self.next_ping = now + PING_INTERVAL;
        out.push(ControlStreamEffect::Send(PeerMessage::Ping {
            sent: now,
            index,
            load,
            latencies,
        }));
    }

    fn connect(
        &mut self,
        (view, position): (&View, Position),
        now: Duration,
        out: &mut Vec<ControlStreamEffect>,
    ) {
        let mut known: Vec<SocketAddr> = view.members.values().map(|m| m.peer).collect();
        known.extend(self.seeds.iter().filter(|seed| {
            let seed: &SocketAddr = seed;
            view.members.values().all(|m| m.peer != *seed)
        }));
        let to = match self.leader_hint.take() {
            Some(leader_hint) => leader_hint,
            None if known.is_empty() => {
                self.phase = Phase::Idle {
                    until: now + RECONNECT_DELAY,
                };
                return;
            }
            None => {
                self.next = self.next.wrapping_add(1);
                known[self.next % known.len()]
            }
        };
        self.phase = Phase::Subscribing {
            progress_at: now,
            answered: false,
        };
        let timeout = self.stretched(CONNECT_TIMEOUT);
        out.push(ControlStreamEffect::Connect { to, timeout });
        self.request = match self.rejections % REJECTION_CYCLE {
            REJECTIONS_OF_OLDER_VERSION => Request::Subscribe,
            _ => Request::Follow,
        };
        let subscription = match self.request {
            Request::Follow => self.follow_message(position),
            Request::Subscribe => PeerMessage::Subscribe {
                entry_id: self.entry_id,
                domain: self.domain.clone(),
                index: position.index,
            },
        };
        out.push(ControlStreamEffect::Send(subscription));
    }

    fn follow_message(&self, position: Position) -> PeerMessage {
        PeerMessage::Follow {
            entry_id: self.entry_id,
            domain: self.domain.clone(),
            index: position.index,
            version: position.version,
        }
    }

    /// Asks for the updates after a view on the open connection.
    pub fn follow(
        &mut self,
        position: Position,
        now: Duration,
        out: &mut Vec<ControlStreamEffect>,
    ) {
        self.phase = Phase::Subscribing {
            progress_at: now,
            answered: false,
        };
        out.push(ControlStreamEffect::Send(self.follow_message(position)));
    }

    /// Whether the stream is established and the leader sends long updates in parts.
    pub fn follows(&self) -> bool {
        self.is_established() && self.request == Request::Follow
    }

    /// Whether parts of contents may be asked for.
    pub fn is_open(&self) -> bool {
        matches!(
            self.phase,
            Phase::Receiving { .. } | Phase::Established { .. }
        )
    }

    fn reconnect_later(&mut self, now: Duration, out: &mut Vec<ControlStreamEffect>) {
        self.phase = Phase::Idle {
            until: now + RECONNECT_DELAY,
        };
        out.push(ControlStreamEffect::Close);
    }

    /// Takes note of bytes of a message that is not complete yet. They keep the stream, but do not
    /// confirm the view.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_entry::{ControlStream, Position};
    /// use camphordale_fleet::View;
    ///
    /// let seeds = vec!["10.0.0.1:7000".parse()?];
    /// let mut stream = ControlStream::new(1, "a".into(), seeds);
    /// stream.tick((&View::default(), Position::default()), Duration::ZERO, &mut Vec::new());
    /// let deadline = stream.next_deadline();
    /// let now = Duration::from_millis(500);
    /// stream.on_progress(now);
    /// stream.ping(0, Default::default(), now, &mut Vec::new());
    /// assert!(stream.next_deadline() > deadline);
    /// assert_eq!(stream.silence(now), now);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn on_progress(&mut self, now: Duration) {
        match &mut self.phase {
            Phase::Idle { .. } => {}
            Phase::Subscribing {
                progress_at,
                answered,
            } => {
                *progress_at = now;
                *answered = true;
            }
            Phase::Receiving { progress_at } | Phase::Established { progress_at } => {
                *progress_at = now;
            }
        }
    }

    /// Handles the end of the connection.
    pub fn on_closed(&mut self, now: Duration) {
        if matches!(self.phase, Phase::Subscribing { .. }) {
            self.failures += 1;
        }
        if !matches!(self.phase, Phase::Idle { .. }) {
            self.phase = Phase::Idle {
                until: now + RECONNECT_DELAY,
            };
        }
    }

    /// Handles a connection that the control VM closed after the handshake. One of an older version
    /// does so on each request that it does not know, one that ends does so once.
    pub fn on_rejected(&mut self, now: Duration) {
        if matches!(self.phase, Phase::Subscribing { .. }) {
            self.rejections += 1;
        }
        self.on_closed(now);
    }

    /// Handles a message. Returns whether it belongs to an established stream.
    pub fn on_message(
        &mut self,
        message: &PeerMessage,
        now: Duration,
        out: &mut Vec<ControlStreamEffect>,
    ) -> bool {
        self.on_progress(now);
        match message {
            PeerMessage::NotLeader { leader } => {
                self.leader_hint = *leader;
                self.phase = Phase::Idle {
                    until: if leader.is_some() {
                        now
                    } else {
                        now + RECONNECT_DELAY
                    },
                };
                out.push(ControlStreamEffect::Close);
                false
            }
            PeerMessage::Snapshot(_) | PeerMessage::Resume { .. } => {
                self.failures = 0;
                self.rejections = 0;
                self.phase = Phase::Established { progress_at: now };
                self.last_heard = now;
                true
            }
            PeerMessage::Part(part) if matches!(part.content.kind, ContentKind::View { .. }) => {
                self.failures = 0;
                self.rejections = 0;
                self.phase = Phase::Receiving { progress_at: now };
                true
            }
            PeerMessage::Pong { entries, sent } => {
                self.entries = *entries;
                self.record_round_trip(now.saturating_sub(*sent));
                if self.is_established() {
                    self.last_heard = now;
                }
                true
            }
            _ => self.is_established(),
        }
    }
}
