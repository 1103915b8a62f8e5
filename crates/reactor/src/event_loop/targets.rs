//! Connections to targets.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use mio::net::TcpStream;
use socket2::SockRef;

use super::{
    ConnId, EventLoop, Exchange, ExchangeError, ExchangeId, IoEvent,
    conn::{
        ActiveExchange,
        Conn,
        ConnKind, //
    },
};
use crate::client_connection::{
    ClientConnection,
    Progress, //
};

/// Time in which a connection must open; a target on the same network answers far sooner, and a
/// lost packet is sent again within it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a connection is kept without a request, if the target does not say.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Part of the time that a target states after which this side closes first.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// Connections to one target.
#[derive(Default)]
pub(super) struct Pool {
    open: usize,
    /// Connections without an exchange, the latest used last.
    idle: Vec<ConnId>,
    waiting: VecDeque<Exchange>,
}

impl EventLoop {
    /// Sends a request to a target. If all connections are in use, it waits for one.
    pub fn start_exchange(&mut self, exchange: Exchange) {
        let now = self.clock.now();
        let address = exchange.address;
        while let Some(id) = self
            .pools
            .get_mut(&address)
            .and_then(|pool| pool.idle.pop())
        {
            if let Some(key) = self.key_of(id) {
                return self.start_on(key, exchange, now);
            }
        }
        let pool = self.pools.entry(address).or_default();
        if pool.open >= exchange.connections {
            pool.waiting.push_back(exchange);
            return;
        }
        self.connect_target(exchange, now);
    }

    fn connect_target(&mut self, exchange: Exchange, now: Duration) {
        let address = exchange.address;
        let socket = match TcpStream::connect(address) {
            Ok(socket) => socket,
            Err(error) => return self.fail_exchange(&exchange, &error.to_string()),
        };
        if let Err(error) = Conn::configure(&socket) {
            return self.fail_exchange(&exchange, &error.to_string());
        }
        self.stats.opened += 1;
        let kind = ConnKind::Target {
            address,
            active: None,
            keep_alive: None,
        };
        let Some(key) = self.insert(socket, kind) else {
            return self.fail_exchange(&exchange, "no descriptor");
        };
        self.pools.entry(address).or_default().open += 1;
        let until = exchange.deadline.min(now + CONNECT_TIMEOUT);
        self.start_on(key, exchange, now);
        if self.conns.contains(key) && !self.conns[key].connected {
            self.set_deadline(key, Some(until));
        }
    }

    fn fail_exchange(&mut self, exchange: &Exchange, reason: &str) {
        self.io_events.push(IoEvent::ExchangeEnded {
            id: exchange.id,
            result: Err(ExchangeError {
                sent: false,
                received: false,
                reason: reason.into(),
            }),
        });
    }

    fn start_on(&mut self, key: usize, exchange: Exchange, now: Duration) {
        self.set_deadline(key, Some(exchange.deadline));
        self.exchanges.insert(exchange.id, key);
        let conn = &mut self.conns[key];
        conn.output.extend_from_slice(&exchange.bytes);
        if let ConnKind::Target { active, .. } = &mut conn.kind {
            *active = Some(ActiveExchange {
                id: exchange.id,
                protocol: ClientConnection::new(exchange.expected),
                sent: false,
                received: false,
                deadline: exchange.deadline,
            });
        }
        self.flush(key, now);
    }

    /// A connection to a target is open: from now on the limit of its exchange counts.
    pub(super) fn on_target_connected(&mut self, key: usize) {
        let ConnKind::Target {
            active: Some(active),
            ..
        } = &self.conns[key].kind
        else {
            return;
        };
        let deadline = active.deadline;
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
            // Nothing was asked, so whatever comes belongs to no request.
            if eof || !conn.input.is_empty() {
                self.close_connection(key, "ended without a request", now);
            }
            return;
        };
        exchange.received |= !conn.input.is_empty();
        match exchange.protocol.advance(&mut conn.input, eof) {
            Progress::Incomplete => {}
            Progress::Invalid(reason) => self.close_connection(key, reason, now),
            Progress::Complete {
                response,
                reusable,
                keep_alive,
            } => {
                let id = exchange.id;
                *active = None;
                *stored = keep_alive.or(*stored);
                // A request that was not written whole cannot be followed by another.
                let reusable = reusable && !eof && conn.output_is_empty();
                self.exchanges.remove(&id);
                self.io_events.push(IoEvent::ExchangeEnded {
                    id,
                    result: Ok(response),
                });
                if reusable {
                    self.release_connection(key, now);
                } else {
                    self.close_connection(key, "not reusable", now);
                }
            }
        }
    }

    /// A connection is free for the next exchange.
    fn release_connection(&mut self, key: usize, now: Duration) {
        let conn = &self.conns[key];
        let id = conn.id;
        let ConnKind::Target {
            address,
            keep_alive,
            ..
        } = &conn.kind
        else {
            return;
        };
        let (address, keep_alive) = (*address, *keep_alive);
        let keep_alive = keep_alive.map_or(MAX_IDLE_TIME, |keep_alive| {
            keep_alive.mul_f64(KEEP_ALIVE_FRACTION).min(MAX_IDLE_TIME)
        });
        if let Some(pool) = self.pools.get_mut(&address) {
            while let Some(next) = pool.waiting.pop_front() {
                if next.deadline > now {
                    return self.start_on(key, next, now);
                }
            }
            pool.idle.push(id);
        }
        self.set_deadline(key, Some(now + keep_alive));
    }

    pub(super) fn on_target_timeout(&mut self, key: usize, now: Duration) {
        let conn = &self.conns[key];
        let reason = if conn.connected {
            "time limit"
        } else {
            "connection did not open"
        };
        self.close_connection(key, reason, now);
    }

    pub(super) fn on_target_closed(&mut self, conn: Conn, reason: &str, now: Duration) {
        let ConnKind::Target {
            address,
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
                    reason: reason.into(),
                }),
            });
        }
        let Some(pool) = self.pools.get_mut(&address) else {
            return;
        };
        pool.open -= 1;
        pool.idle.retain(|id| *id != conn.id);
        let next = pool.waiting.pop_front();
        if pool.open == 0 && next.is_none() {
            self.pools.remove(&address);
        }
        if let Some(next) = next {
            if next.deadline > now {
                self.connect_target(next, now);
            } else {
                self.fail_exchange(&next, "no connection was free");
            }
        }
    }

    /// Gives an exchange up. Its connection is reset; no result follows.
    pub fn abort_exchange(&mut self, id: ExchangeId) {
        let now = self.clock.now();
        if let Some(key) = self.exchanges.remove(&id) {
            let conn = &mut self.conns[key];
            if let ConnKind::Target { active, .. } = &mut conn.kind {
                *active = None;
            }
            // The exchange is gone, so closing tells nobody; the target sees a reset.
            if let Some(conn) = self.conns.get(key)
                && reset_on_drop(conn).is_err()
            {
                self.stats.socket_errors += 1;
            }
            return self.close_connection(key, "given up", now);
        }
        for pool in self.pools.values_mut() {
            pool.waiting.retain(|exchange| exchange.id != id);
        }
    }
}

/// Makes the socket reset its connection when it is dropped, so that what was not delivered yet
/// does not arrive later.
fn reset_on_drop(conn: &Conn) -> std::io::Result<()> {
    SockRef::from(&conn.socket).set_linger(Some(Duration::ZERO))
}
