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
        Carried,
        Conn,
        Kind, //
    },
};
use crate::client_connection::{
    ClientConnection,
    Progress, //
};

/// Time in which a connection must open; a target on the same network answers far sooner, and a
/// lost packet is sent again within it.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// How long a connection is kept without a request, if the target does not say.
const KEEP: Duration = Duration::from_secs(4);
/// Part of the time that a target states after which this side closes first.
const KEEP_PART: f64 = 0.6;

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
    pub fn exchange(&mut self, exchange: Exchange) {
        let now = self.clock.now();
        let address = exchange.address;
        while let Some(id) = self
            .pools
            .get_mut(&address)
            .and_then(|pool| pool.idle.pop())
        {
            if let Some(key) = self.find(id) {
                return self.carry(key, exchange, now);
            }
        }
        let pool = self.pools.entry(address).or_default();
        if pool.open >= exchange.connections {
            pool.waiting.push_back(exchange);
            return;
        }
        self.open_target(exchange, now);
    }

    fn open_target(&mut self, exchange: Exchange, now: Duration) {
        let address = exchange.address;
        let socket = match TcpStream::connect(address) {
            Ok(socket) => socket,
            Err(error) => return self.fail(&exchange, &error.to_string()),
        };
        if let Err(error) = Conn::configure(&socket) {
            return self.fail(&exchange, &error.to_string());
        }
        self.stats.opened += 1;
        let kind = Kind::Target {
            address,
            carried: None,
            keep_alive: None,
        };
        let Some(key) = self.insert(socket, kind) else {
            return self.fail(&exchange, "no descriptor");
        };
        self.pools.entry(address).or_default().open += 1;
        let until = exchange.deadline.min(now + CONNECT_LIMIT);
        self.carry(key, exchange, now);
        if self.conns.contains(key) && !self.conns[key].connected {
            self.set_deadline(key, Some(until));
        }
    }

    fn fail(&mut self, exchange: &Exchange, reason: &str) {
        self.incoming.push(IoEvent::ExchangeEnded {
            id: exchange.id,
            result: Err(ExchangeError {
                sent: false,
                received: false,
                reason: reason.into(),
            }),
        });
    }

    fn carry(&mut self, key: usize, exchange: Exchange, now: Duration) {
        self.set_deadline(key, Some(exchange.deadline));
        self.exchanges.insert(exchange.id, key);
        let conn = &mut self.conns[key];
        conn.output.extend_from_slice(&exchange.bytes);
        if let Kind::Target { carried, .. } = &mut conn.kind {
            *carried = Some(Carried {
                id: exchange.id,
                side: ClientConnection::new(exchange.expected),
                sent: false,
                received: false,
                deadline: exchange.deadline,
            });
        }
        self.flush(key, now);
    }

    /// A connection to a target is open: from now on the limit of its exchange counts.
    pub(super) fn target_connected(&mut self, key: usize) {
        let Kind::Target {
            carried: Some(carried),
            ..
        } = &self.conns[key].kind
        else {
            return;
        };
        let deadline = carried.deadline;
        self.set_deadline(key, Some(deadline));
    }

    pub(super) fn target_readable(&mut self, key: usize, ended: bool, now: Duration) {
        let conn = &mut self.conns[key];
        let Kind::Target {
            carried,
            keep_alive: kept,
            ..
        } = &mut conn.kind
        else {
            return;
        };
        let Some(exchange) = carried else {
            // Nothing was asked, so whatever comes belongs to no request.
            if ended || !conn.input.is_empty() {
                self.close_key(key, "ended without a request", now);
            }
            return;
        };
        exchange.received |= !conn.input.is_empty();
        match exchange.side.advance(&mut conn.input, ended) {
            Progress::Incomplete => {}
            Progress::Invalid(reason) => self.close_key(key, reason, now),
            Progress::Complete {
                response,
                reusable,
                keep_alive,
            } => {
                let id = exchange.id;
                *carried = None;
                *kept = keep_alive.or(*kept);
                // A request that was not written whole cannot be followed by another.
                let reusable = reusable && !ended && conn.output_is_empty();
                self.exchanges.remove(&id);
                self.incoming.push(IoEvent::ExchangeEnded {
                    id,
                    result: Ok(response),
                });
                if reusable {
                    self.rest(key, now);
                } else {
                    self.close_key(key, "not reusable", now);
                }
            }
        }
    }

    /// A connection is free for the next exchange.
    fn rest(&mut self, key: usize, now: Duration) {
        let conn = &self.conns[key];
        let id = conn.id;
        let Kind::Target {
            address,
            keep_alive,
            ..
        } = &conn.kind
        else {
            return;
        };
        let (address, keep_alive) = (*address, *keep_alive);
        let keep_alive =
            keep_alive.map_or(KEEP, |keep_alive| keep_alive.mul_f64(KEEP_PART).min(KEEP));
        if let Some(pool) = self.pools.get_mut(&address) {
            while let Some(next) = pool.waiting.pop_front() {
                if next.deadline > now {
                    return self.carry(key, next, now);
                }
            }
            pool.idle.push(id);
        }
        self.set_deadline(key, Some(now + keep_alive));
    }

    pub(super) fn target_expired(&mut self, key: usize, now: Duration) {
        let conn = &self.conns[key];
        let reason = if conn.connected {
            "time limit"
        } else {
            "connection did not open"
        };
        self.close_key(key, reason, now);
    }

    pub(super) fn target_closed(&mut self, conn: Conn, reason: &str, now: Duration) {
        let Kind::Target {
            address,
            ref carried,
            ..
        } = conn.kind
        else {
            return;
        };
        if let Some(carried) = carried {
            self.exchanges.remove(&carried.id);
            if reset_on_drop(&conn).is_err() {
                self.stats.socket_errors += 1;
            }
            self.incoming.push(IoEvent::ExchangeEnded {
                id: carried.id,
                result: Err(ExchangeError {
                    sent: carried.sent,
                    received: carried.received,
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
                self.open_target(next, now);
            } else {
                self.fail(&next, "no connection was free");
            }
        }
    }

    /// Gives an exchange up. Its connection is reset; no result follows.
    pub fn abort(&mut self, id: ExchangeId) {
        let now = self.clock.now();
        if let Some(key) = self.exchanges.remove(&id) {
            let conn = &mut self.conns[key];
            if let Kind::Target { carried, .. } = &mut conn.kind {
                *carried = None;
            }
            // The exchange is gone, so closing tells nobody; the target sees a reset.
            if let Some(conn) = self.conns.get(key)
                && reset_on_drop(conn).is_err()
            {
                self.stats.socket_errors += 1;
            }
            return self.close_key(key, "given up", now);
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
