//! Connections to targets, pooled per address.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use mio::net::TcpStream;
use socket2::SockRef;

use super::{
    ConnId, ConnectionUse, EventLoop, Exchange, ExchangeError, ExchangeId, FailureCause, IoEvent,
    conn::{
        ActiveExchange,
        Conn,
        ConnKind,
        TCP_USER_TIMEOUT, //
    },
    pacing::CONNECTION_OVERHEAD_BYTES,
};
use crate::client_connection::{
    ClientConnection,
    Progress, //
};

/// Time within which a connection must open. A target on the same network accepts far sooner, and
/// a lost packet is retransmitted within it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The limit while the queue of the link holds connections back: this multiple of the time that they
/// took lately.
const CONNECT_TIME_FACTOR: u32 = 4;
/// Longest time within which a connection must open.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Weight of one connection in the time that they take.
const CONNECT_TIME_WEIGHT: f64 = 0.1;
/// Longest time that an idle connection is kept, and the default if the target states none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction of the keep-alive time stated by a target after which an idle connection is closed, so
/// that this side closes it first.
const KEEP_ALIVE_FRACTION: f64 = 0.6;
/// Longest time that an idle connection is kept, whatever the target states.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The descriptors divided by this are the idle connections that are kept at most; the others are for
/// callers and for requests under way.
const IDLE_DIVISOR: usize = 4;
/// Fraction of the descriptors in use from which idle connections are closed.
const SCARCE_FRACTION: f64 = 0.75;

/// How long idle connections to targets are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleRetention {
    /// For a few seconds at most.
    Short,
    /// For most of the time that the target states. If few of the descriptors of the process are
    /// free, those that were not used for the longest time are closed first.
    Stated {
        /// File descriptors that the process may have open.
        descriptors: usize,
    },
}

impl IdleRetention {
    /// How long an idle connection is kept to a target that states `keep_alive`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_reactor::IdleRetention;
    ///
    /// let stated = Some(Duration::from_secs(10));
    /// assert_eq!(IdleRetention::Short.timeout(stated), Duration::from_secs(4));
    /// let retention = IdleRetention::Stated { descriptors: 1000 };
    /// assert_eq!(retention.timeout(stated), Duration::from_secs(6));
    /// ```
    pub fn timeout(self, keep_alive: Option<Duration>) -> Duration {
        let max_timeout = match self {
            IdleRetention::Short => IDLE_TIMEOUT,
            IdleRetention::Stated { .. } => MAX_IDLE_TIMEOUT,
        };
        keep_alive.map_or(IDLE_TIMEOUT, |keep_alive| {
            keep_alive.mul_f64(KEEP_ALIVE_FRACTION).min(max_timeout)
        })
    }

    /// Whether a connection is to be closed if `idle` of `open` connections are idle.
    fn is_exceeded(self, idle: usize, open: usize) -> bool {
        match self {
            IdleRetention::Short => false,
            IdleRetention::Stated { descriptors } => {
                let scarce = (descriptors as f64 * SCARCE_FRACTION) as usize;
                idle > descriptors / IDLE_DIVISOR || open > scarce
            }
        }
    }
}

/// Connection pool of one target.
#[derive(Default)]
pub(super) struct Pool {
    open: usize,
    /// Idle connections and since when, the most recently used last.
    idle: Vec<(Duration, ConnId)>,
    queued: VecDeque<Exchange>,
}

impl EventLoop {
    /// Sends a request to a target. The exchange is queued while all pooled connections are in use.
    pub fn start_exchange(&mut self, exchange: Exchange) {
        let now = self.clock.now();
        match exchange.connection {
            ConnectionUse::Pooled { limit } => self.start_pooled_exchange(exchange, limit, now),
            ConnectionUse::Open(_) | ConnectionUse::Single => self.connect_target(exchange, now),
            ConnectionUse::Kept(number) => match self.idle_kept_connection(number) {
                Some(key) => self.start_exchange_on(key, exchange, now),
                None => {
                    let reason = "kept connection is not open";
                    self.fail_exchange(&exchange, FailureCause::Unconnected, reason);
                }
            },
        }
    }

    /// Key of the connection that is kept under `number`, if it can carry an exchange.
    fn idle_kept_connection(&self, number: u64) -> Option<usize> {
        let key = self.key_of(*self.kept.get(&number)?)?;
        match &self.conns[key].kind {
            ConnKind::Target { active: None, .. } => Some(key),
            _ => None,
        }
    }

    fn start_pooled_exchange(&mut self, exchange: Exchange, limit: usize, now: Duration) {
        let address = exchange.address;
        while let Some((since, id)) = self
            .pools
            .get_mut(&address)
            .and_then(|pool| pool.idle.pop())
        {
            self.idle.remove(&(since, id));
            if let Some(key) = self.key_of(id) {
                return self.start_exchange_on(key, exchange, now);
            }
        }
        let pool = self.pools.entry(address).or_default();
        if pool.open >= limit {
            pool.queued.push_back(exchange);
            return;
        }
        self.connect_target(exchange, now);
    }

    fn connect_target(&mut self, exchange: Exchange, now: Duration) {
        let address = exchange.address;
        let socket = match TcpStream::connect(address) {
            Ok(socket) => socket,
            Err(error) => {
                let cause = FailureCause::Unconnected;
                return self.fail_exchange(&exchange, cause, &error.to_string());
            }
        };
        if let Err(error) = Conn::configure(&socket, TCP_USER_TIMEOUT) {
            return self.fail_exchange(&exchange, FailureCause::Local, &error.to_string());
        }
        self.stats.opened += 1;
        self.link_in.spend(CONNECTION_OVERHEAD_BYTES, now);
        self.link_out.spend(CONNECTION_OVERHEAD_BYTES, now);
        let connection = exchange.connection;
        let kind = ConnKind::Target {
            address,
            connection,
            active: None,
            keep_alive: None,
            opened_at: now,
            used: false,
        };
        let Some(key) = self.insert(socket, kind) else {
            return self.fail_exchange(
                &exchange,
                FailureCause::Local,
                "socket cannot be registered for events",
            );
        };
        match connection {
            ConnectionUse::Pooled { .. } => self.pools.entry(address).or_default().open += 1,
            ConnectionUse::Open(number) => {
                self.kept.insert(number, self.conns[key].id);
            }
            ConnectionUse::Kept(_) | ConnectionUse::Single => {}
        }
        let timeout =
            (self.connect_time * CONNECT_TIME_FACTOR).clamp(CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT);
        let until = exchange.deadline.min(now + timeout);
        self.start_exchange_on(key, exchange, now);
        if self.conns.contains(key) && !self.conns[key].connected {
            self.set_deadline(key, Some(until));
        }
    }

    fn fail_exchange(&mut self, exchange: &Exchange, cause: FailureCause, reason: &str) {
        self.io_events.push(IoEvent::ExchangeEnded {
            id: exchange.id,
            result: Err(ExchangeError {
                sent: false,
                received: false,
                cause,
                reason: reason.into(),
            }),
            reused: false,
        });
    }

    fn start_exchange_on(&mut self, key: usize, exchange: Exchange, now: Duration) {
        self.set_deadline(key, Some(exchange.deadline));
        self.exchanges.insert(exchange.id, key);
        let conn = &mut self.conns[key];
        conn.push_request(&exchange.bytes, exchange.body);
        if let ConnKind::Target { active, used, .. } = &mut conn.kind {
            let reused = std::mem::replace(used, true);
            self.stats.reused += u64::from(reused);
            *active = Some(ActiveExchange {
                id: exchange.id,
                reused,
                protocol: ClientConnection::new(exchange.expected),
                sent: false,
                received: false,
                deadline: exchange.deadline,
            });
        }
        self.flush(key, now);
    }

    /// Replaces the connect timeout by the deadline of the exchange once the connection is open.
    pub(super) fn on_target_connected(&mut self, key: usize, now: Duration) {
        let ConnKind::Target {
            active: Some(active),
            opened_at,
            ..
        } = &self.conns[key].kind
        else {
            return;
        };
        let took = now.saturating_sub(*opened_at);
        let deadline = active.deadline;
        self.connect_time = self.connect_time.mul_f64(1.0 - CONNECT_TIME_WEIGHT)
            + took.mul_f64(CONNECT_TIME_WEIGHT);
        self.set_deadline(key, Some(deadline));
    }

    pub(super) fn on_target_readable(&mut self, key: usize, eof: bool, now: Duration) {
        let conn = &mut self.conns[key];
        let ConnKind::Target {
            active,
            keep_alive: stored,
            ..
        } = &mut conn.kind
        else {
            return;
        };
        let Some(exchange) = active else {
            // No request is outstanding, so received data belongs to none.
            if eof || !conn.input.is_empty() {
                let cause = match eof {
                    true => FailureCause::Closed,
                    false => FailureCause::Invalid,
                };
                self.close_connection(key, cause, "closed or sent data without a request", now);
            }
            return;
        };
        exchange.received |= !conn.input.is_empty();
        match exchange.protocol.advance(&mut conn.input, eof) {
            Progress::Incomplete => {}
            Progress::Invalid(reason) => {
                self.close_connection(key, FailureCause::Invalid, reason, now);
            }
            Progress::Truncated(reason) => {
                self.close_connection(key, FailureCause::Closed, reason, now);
            }
            Progress::Complete {
                response,
                reusable,
                keep_alive,
            } => {
                let (id, reused) = (exchange.id, exchange.reused);
                *active = None;
                *stored = keep_alive.or(*stored);
                // No request can follow one that was written only partially.
                let reusable = reusable && !eof && conn.output_is_empty();
                self.exchanges.remove(&id);
                self.io_events.push(IoEvent::ExchangeEnded {
                    id,
                    result: Ok(response),
                    reused,
                });
                if reusable && conn.kind.is_kept() {
                    self.release_connection(key, now);
                } else {
                    self.close_connection(key, FailureCause::Local, "not reusable", now);
                }
            }
        }
    }

    /// Starts the next queued exchange on a free connection, or returns it to the pool.
    fn release_connection(&mut self, key: usize, now: Duration) {
        let conn = &self.conns[key];
        let id = conn.id;
        let ConnKind::Target {
            address,
            connection,
            keep_alive,
            ..
        } = &conn.kind
        else {
            return;
        };
        let (address, connection, keep_alive) = (*address, *connection, *keep_alive);
        let timeout = self.idle_retention.timeout(keep_alive);
        if matches!(connection, ConnectionUse::Pooled { .. })
            && let Some(pool) = self.pools.get_mut(&address)
        {
            while let Some(next) = pool.queued.pop_front() {
                if next.deadline > now {
                    return self.start_exchange_on(key, next, now);
                }
            }
            pool.idle.push((now, id));
            self.idle.insert((now, id));
        }
        self.set_deadline(key, Some(now + timeout));
        self.limit_idle_connections(now);
    }

    /// Closes idle connections to targets while there are too many, those that were not used for the
    /// longest time first.
    fn limit_idle_connections(&mut self, now: Duration) {
        while self
            .idle_retention
            .is_exceeded(self.idle.len(), self.conns.len())
            && let Some((_, id)) = self.idle.pop_first()
        {
            if let Some(key) = self.key_of(id) {
                self.close_connection(key, FailureCause::Local, "too many idle connections", now);
            }
        }
    }

    /// Sets how long idle connections to targets are kept.
    pub fn set_idle_retention(&mut self, retention: IdleRetention) {
        self.idle_retention = retention;
    }

    pub(super) fn on_target_timeout(&mut self, key: usize, now: Duration) {
        let conn = &self.conns[key];
        let (cause, reason) = match conn.connected {
            true => (
                FailureCause::TimedOut,
                "no complete response before the deadline",
            ),
            false => (FailureCause::Unconnected, "connect timed out"),
        };
        self.close_connection(key, cause, reason, now);
    }

    pub(super) fn on_target_closed(
        &mut self,
        conn: Conn,
        cause: FailureCause,
        reason: &str,
        now: Duration,
    ) {
        let ConnKind::Target {
            address,
            connection,
            ref active,
            ..
        } = conn.kind
        else {
            return;
        };
        if let Some(active) = active {
            self.exchanges.remove(&active.id);
            if reset_on_drop(&conn).is_err() {
                self.stats.socket_errors += 1;
            }
            self.io_events.push(IoEvent::ExchangeEnded {
                id: active.id,
                result: Err(ExchangeError {
                    sent: active.sent,
                    received: active.received,
                    cause,
                    reason: reason.into(),
                }),
                reused: active.reused,
            });
        }
        match connection {
            ConnectionUse::Pooled { .. } => {}
            ConnectionUse::Open(number) => {
                if self.kept.get(&number) == Some(&conn.id) {
                    self.kept.remove(&number);
                }
                return;
            }
            ConnectionUse::Kept(_) | ConnectionUse::Single => return,
        }
        let Some(pool) = self.pools.get_mut(&address) else {
            return;
        };
        pool.open -= 1;
        let idle = &mut self.idle;
        pool.idle.retain(|(since, id)| {
            let closed = *id == conn.id;
            if closed {
                idle.remove(&(*since, *id));
            }
            !closed
        });
        let next = pool.queued.pop_front();
        if pool.open == 0 && next.is_none() {
            self.pools.remove(&address);
        }
        if let Some(next) = next {
            if next.deadline > now {
                self.connect_target(next, now);
            } else {
                self.fail_exchange(
                    &next,
                    FailureCause::TimedOut,
                    "deadline passed while queued for a connection",
                );
            }
        }
    }

    /// Fails an exchange that waits for a connection, so that nothing of it is sent. One that has a
    /// connection goes on.
    pub fn withdraw_exchange(&mut self, id: ExchangeId) {
        if let Some(key) = self.exchanges.get(&id).copied() {
            if !self.conns[key].connected {
                let reason = "withdrawn while its connection was opened";
                self.close_connection(key, FailureCause::Local, reason, self.clock.now());
            }
            return;
        }
        let queued = self.pools.values_mut().find_map(|pool| {
            let at = pool.queued.iter().position(|exchange| exchange.id == id)?;
            pool.queued.remove(at)
        });
        if let Some(exchange) = queued {
            let reason = "withdrawn while queued for a connection";
            self.fail_exchange(&exchange, FailureCause::Local, reason);
        }
    }

    /// Aborts an exchange and resets its connection. No [`IoEvent::ExchangeEnded`] follows.
    pub fn abort_exchange(&mut self, id: ExchangeId) {
        let now = self.clock.now();
        if let Some(key) = self.exchanges.remove(&id) {
            let conn = &mut self.conns[key];
            if let ConnKind::Target { active, .. } = &mut conn.kind {
                *active = None;
            }
            // The exchange is detached, so closing reports no event; the target sees a reset.
            if let Some(conn) = self.conns.get(key)
                && reset_on_drop(conn).is_err()
            {
                self.stats.socket_errors += 1;
            }
            return self.close_connection(key, FailureCause::Local, "exchange aborted", now);
        }
        for pool in self.pools.values_mut() {
            pool.queued.retain(|exchange| exchange.id != id);
        }
    }
}

/// Makes the socket reset its connection when it is dropped, so that undelivered data does not
/// arrive later.
fn reset_on_drop(conn: &Conn) -> std::io::Result<()> {
    SockRef::from(&conn.socket).set_linger(Some(Duration::ZERO))
}
