//! Limits on how much is transferred at once: fairness between connections, and pacing of long
//! messages.
//!
//! A long request or response would fill the queue of the VM's link, so that connects, requests and
//! short responses wait behind it: a body of 60 kB takes 0.2 s on a link of 2.2 Mbit/s. Beyond its
//! first bytes it is therefore transferred in portions, below the rate of the link. A connection that has more to transfer than it may is deferred, and
//! resumed in turn.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    ConnId,
    EventLoop, //
};

/// Bytes of a message that are transferred without pacing. Most messages are shorter.
pub(super) const UNPACED_BYTES: usize = 16 << 10;
/// Bytes that one connection reads before the others get their turn.
pub(super) const READ_TURN_BYTES: usize = 256 << 10;
/// Fraction of the link's rate that is used, in each direction. What short messages leave of it is
/// for long ones.
const LINK_FRACTION: f64 = 0.9;
/// Bytes that a transfer adds on the link: packet headers and acknowledgements.
const TRANSFER_OVERHEAD_BYTES: usize = 120;
/// Bytes that opening and closing a connection adds on the link.
pub(super) const CONNECTION_OVERHEAD_BYTES: usize = 300;
/// Time for which short messages at most hold long ones back.
const MAX_DEBT: Duration = Duration::from_millis(500);
/// Time in which a portion passes the link, which is how long short messages wait behind it.
const PORTION_TIME: Duration = Duration::from_millis(20);

/// Time for which a request is paced. A target that leaves takes requests for two seconds after it is
/// known, and the rest of a body of 360 kB needs 1.3 s on a link of 2.2 Mbit/s.
pub(super) const MAX_PACED_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Direction of a deferred transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Direction {
    Read,
    Write,
}

/// Token bucket for one direction of the link. Short messages take their tokens without a wait, so
/// that long ones get what is left.
#[derive(Debug, Default)]
pub(super) struct Pacer {
    /// Bytes per second; zero for no limit.
    rate: f64,
    tokens: f64,
    updated: Duration,
}

impl Pacer {
    /// Limits long messages on a link with `rate` bytes per second.
    pub(super) fn new(rate: f64) -> Pacer {
        Pacer {
            rate: rate * LINK_FRACTION,
            ..Pacer::default()
        }
    }

    fn portion(&self) -> f64 {
        self.rate * PORTION_TIME.as_secs_f64()
    }

    /// Number of bytes that may be transferred now.
    pub(super) fn allowance(&mut self, now: Duration) -> usize {
        if self.rate == 0.0 {
            return usize::MAX;
        }
        self.refill(now);
        // Less than half a portion is not worth a system call.
        match self.tokens >= self.portion() / 2.0 {
            true => self.tokens as usize,
            false => 0,
        }
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        self.tokens = (self.tokens + passed * self.rate).min(self.portion());
    }

    /// Counts a transfer.
    pub(super) fn spend(&mut self, bytes: usize, now: Duration) {
        if bytes > 0 && self.rate > 0.0 {
            self.refill(now);
            self.tokens -= (bytes + TRANSFER_OVERHEAD_BYTES) as f64;
            self.tokens = self.tokens.max(-self.rate * MAX_DEBT.as_secs_f64());
        }
    }

    /// When the next portion may be transferred.
    pub(super) fn ready_at(&self, now: Duration) -> Duration {
        if self.rate == 0.0 {
            return now;
        }
        let missing = (self.portion() - self.tokens).max(0.0);
        now + Duration::from_secs_f64(missing / self.rate)
    }
}

/// Connections that have more to transfer, in the order of their turns.
#[derive(Debug, Default)]
pub(super) struct Deferred {
    next_turn: u64,
    turns: BTreeMap<u64, (Duration, Direction, usize, ConnId)>,
}

impl Deferred {
    fn push(&mut self, at: Duration, direction: Direction, key: usize, id: ConnId) {
        self.next_turn += 1;
        self.turns.insert(self.next_turn, (at, direction, key, id));
    }

    /// When the next turn begins.
    pub(super) fn next_at(&self) -> Option<Duration> {
        self.turns.values().map(|(at, ..)| *at).min()
    }
}

impl EventLoop {
    /// Paces long messages on a link with `rate` bytes per second in each direction. Without a
    /// rate they are not paced.
    pub fn set_link_rate(&mut self, rate: Option<f64>) {
        self.link_in = Pacer::new(rate.unwrap_or_default());
        self.link_out = Pacer::new(rate.unwrap_or_default());
    }

    /// Lets a connection go on later. It is resumed once, however often it is deferred before.
    pub(super) fn defer(&mut self, key: usize, direction: Direction, paced: bool, now: Duration) {
        let at = match (paced, direction) {
            (false, _) => now,
            (true, Direction::Read) => self.link_in.ready_at(now),
            (true, Direction::Write) => self.link_out.ready_at(now),
        };
        let conn = &mut self.conns[key];
        let deferred = match direction {
            Direction::Read => &mut conn.read_deferred,
            Direction::Write => &mut conn.write_deferred,
        };
        if !std::mem::replace(deferred, true) {
            let id = conn.id;
            self.deferred.push(at, direction, key, id);
        }
    }

    /// Resumes the connections whose turn has come.
    pub(super) fn resume_deferred(&mut self, now: Duration) {
        let is_due = |_: &u64, turn: &mut (Duration, Direction, usize, ConnId)| turn.0 <= now;
        let due: Vec<_> = self.deferred.turns.extract_if(.., is_due).collect();
        for (_, (_, direction, key, id)) in due {
            let Some(conn) = self.conns.get_mut(key).filter(|conn| conn.id == id) else {
                continue;
            };
            match direction {
                Direction::Read => {
                    conn.read_deferred = false;
                    self.on_readable(key, true, now);
                }
                Direction::Write => {
                    conn.write_deferred = false;
                    self.flush(key, now);
                }
            }
        }
    }
}
