//! The stream from the control leader.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use camphordale_fleet::{
    Domain,
    KeyLoad,
    PeerMessage,
    Share,
    TargetTimes,
    View, //
};

/// Time between pings.
const PING_PERIOD: Duration = Duration::from_millis(300);
/// Time without a message after which another control VM is tried: three pings.
const SILENCE: Duration = Duration::from_millis(900);
/// Time in which a control VM must answer a subscription.
const ANSWER_LIMIT: Duration = Duration::from_millis(700);
/// Pause before the next control VM is tried; one that knows no leader answers only after a while.
const PAUSE: Duration = Duration::from_millis(30);

/// What the link wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlStreamEffect {
    /// Open a connection to this control VM, in place of any other.
    Connect(SocketAddr),
    /// Send on the open connection.
    Send(PeerMessage),
    /// Close the connection.
    Close,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Idle { until: Duration },
    Waiting { since: Duration },
    Live { heard: Duration },
}

/// Which control VM this VM follows.
#[derive(Debug)]
pub struct ControlStream {
    entry: u64,
    domain: Domain,
    seeds: Vec<SocketAddr>,
    next: usize,
    hint: Option<SocketAddr>,
    phase: Phase,
    next_ping: Duration,
    /// When the leader was last heard.
    heard: Duration,
    /// How many VMs share the targets.
    pub share: Share,
}

impl ControlStream {
    /// Starts without a connection. `entry` is a random id of this process.
    pub fn new(entry: u64, domain: Domain, seeds: Vec<SocketAddr>) -> ControlStream {
        ControlStream {
            entry,
            domain,
            seeds,
            next: entry as usize,
            hint: None,
            phase: Phase::Idle {
                until: Duration::ZERO,
            },
            next_ping: Duration::ZERO,
            heard: Duration::ZERO,
            share: Share::default(),
        }
    }

    /// Replaces the addresses from the settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Whether the view comes from a leader now.
    pub fn is_live(&self) -> bool {
        matches!(self.phase, Phase::Live { .. })
    }

    /// Time since the leader was last heard.
    pub fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.heard)
    }

    /// When the next tick is needed.
    pub fn next_deadline(&self) -> Duration {
        match self.phase {
            Phase::Idle { until } => until,
            Phase::Waiting { since } => since + ANSWER_LIMIT,
            Phase::Live { heard } => self.next_ping.min(heard + SILENCE),
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, view: &View, now: Duration, out: &mut Vec<ControlStreamEffect>) {
        match self.phase {
            Phase::Idle { until } if now >= until => self.connect(view, now, out),
            Phase::Waiting { since } if now.saturating_sub(since) >= ANSWER_LIMIT => {
                self.retreat(now, out);
            }
            Phase::Live { heard } if now.saturating_sub(heard) >= SILENCE => {
                self.retreat(now, out);
            }
            _ => {}
        }
    }

    /// Whether a ping is due.
    pub fn wants_ping(&self, now: Duration) -> bool {
        self.is_live() && now >= self.next_ping
    }

    /// Tells the leader that this VM is alive, and which view it has.
    pub fn ping(
        &mut self,
        index: u64,
        (load, times): (Vec<KeyLoad>, Vec<TargetTimes>),
        now: Duration,
        out: &mut Vec<ControlStreamEffect>,
    ) {
        self.next_ping = now + PING_PERIOD;
        out.push(ControlStreamEffect::Send(PeerMessage::Ping {
            sent: now,
            index,
            load,
            times,
        }));
    }

    fn connect(&mut self, view: &View, now: Duration, out: &mut Vec<ControlStreamEffect>) {
        let mut known: Vec<SocketAddr> = view.members.values().map(|m| m.peer).collect();
        known.extend(self.seeds.iter().filter(|seed| {
            let seed: &SocketAddr = seed;
            view.members.values().all(|m| m.peer != *seed)
        }));
        let to = match self.hint.take() {
            Some(hint) => hint,
            None if known.is_empty() => {
                self.phase = Phase::Idle { until: now + PAUSE };
                return;
            }
            None => {
                self.next = self.next.wrapping_add(1);
                known[self.next % known.len()]
            }
        };
        self.phase = Phase::Waiting { since: now };
        out.push(ControlStreamEffect::Connect(to));
        out.push(ControlStreamEffect::Send(PeerMessage::Subscribe {
            entry: self.entry,
            domain: self.domain.clone(),
            index: view.index,
        }));
    }

    fn retreat(&mut self, now: Duration, out: &mut Vec<ControlStreamEffect>) {
        self.phase = Phase::Idle { until: now + PAUSE };
        out.push(ControlStreamEffect::Close);
    }

    /// The connection ended.
    pub fn ended(&mut self, now: Duration) {
        if !matches!(self.phase, Phase::Idle { .. }) {
            self.phase = Phase::Idle { until: now + PAUSE };
        }
    }

    /// Notes a message. Returns whether it belongs to a stream that this VM follows.
    pub fn heard(
        &mut self,
        message: &PeerMessage,
        now: Duration,
        out: &mut Vec<ControlStreamEffect>,
    ) -> bool {
        match message {
            PeerMessage::NotLeader { leader } => {
                self.hint = *leader;
                self.phase = Phase::Idle {
                    until: if leader.is_some() { now } else { now + PAUSE },
                };
                out.push(ControlStreamEffect::Close);
                false
            }
            PeerMessage::Snapshot(_) => {
                self.phase = Phase::Live { heard: now };
                self.heard = now;
                true
            }
            PeerMessage::Pong { share, .. } => {
                self.share = *share;
                if self.is_live() {
                    self.phase = Phase::Live { heard: now };
                    self.heard = now;
                }
                true
            }
            _ => self.is_live(),
        }
    }
}
