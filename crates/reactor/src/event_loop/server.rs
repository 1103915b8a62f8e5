//! Connections of callers, operators and targets to this process.

use std::{
    io::ErrorKind,
    net::Shutdown,
    time::Duration, //
};

use camphordale_http::Response;

use super::{
    ConnId, EventLoop, IoEvent, ListenerKind, MAX_CALLERS,
    conn::{
        Conn,
        Kind, //
    },
};
use crate::server_connection::{
    RequestError,
    ServerConnection, //
};

/// Time in which the other side may still read a last response before the socket is closed.
const LINGER: Duration = Duration::from_millis(1000);
/// Longest time for which a body may take.
const BODY_TIME: Duration = Duration::from_secs(30);
/// A connection without a request is kept this much longer than callers were told.
const IDLE_SLACK: Duration = Duration::from_millis(500);

impl EventLoop {
    pub(super) fn accept(&mut self, at: usize, now: Duration) {
        loop {
            let (listener, listener_kind) = &self.listeners[at];
            let listener_kind = *listener_kind;
            let (socket, peer) = match listener.accept() {
                Ok(accepted) => accepted,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                // The caller has gone already, or descriptors are short; others may follow.
                Err(_) => {
                    self.stats.refused += 1;
                    return;
                }
            };
            self.stats.accepted += 1;
            let full = listener_kind == ListenerKind::Callers && self.callers >= MAX_CALLERS;
            if full || Conn::configure(&socket).is_err() {
                self.stats.refused += 1;
                continue;
            }
            if listener_kind == ListenerKind::Peers {
                self.accept_peer(socket, now);
                continue;
            }
            let side = ServerConnection::new();
            let kind = Kind::Caller {
                listener_kind,
                side,
                peer,
            };
            if let Some(key) = self.insert(socket, kind) {
                if listener_kind == ListenerKind::Callers {
                    self.callers += 1;
                }
                self.set_deadline(key, Some(now + self.limits.idle_time + IDLE_SLACK));
            }
        }
    }

    pub(super) fn caller_readable(&mut self, key: usize, ended: bool, now: Duration) {
        self.take_request(key, now);
        let Some(conn) = self.conns.get(key) else {
            return;
        };
        if !ended {
            return;
        }
        // A caller that closes its side does not wait for a response any more.
        if conn.output_is_empty() || conn.ending {
            self.close_key(key, "closed by the caller", now);
        }
    }

    /// Parses the next request, if it is there.
    fn take_request(&mut self, key: usize, now: Duration) {
        let conn = &mut self.conns[key];
        if conn.ending {
            conn.input.clear();
            return;
        }
        let Kind::Caller {
            listener_kind,
            side,
            peer,
        } = &mut conn.kind
        else {
            return;
        };
        let (listener_kind, peer) = (*listener_kind, *peer);
        let result = side.advance(&mut conn.input, &mut conn.output, &self.limits, peer, now);
        let started = side.started();
        let id = conn.id;
        match result {
            Ok(Some(request)) => {
                self.set_deadline(key, None);
                self.incoming.push(IoEvent::Request {
                    conn: id,
                    listener_kind,
                    request,
                });
            }
            Ok(None) => {
                if let Some(started) = started {
                    let in_body = self.is_in_body(key);
                    let limit = match in_body {
                        true => BODY_TIME,
                        false => self.limits.header_time,
                    };
                    self.set_deadline(key, Some(started + limit));
                }
                self.flush(key, now);
            }
            Err(refused) => self.refuse(key, refused, now),
        }
    }

    fn is_in_body(&self, key: usize) -> bool {
        let conn = &self.conns[key];
        matches!(&conn.kind, Kind::Caller { side, .. } if side.is_in_body())
    }

    fn refuse(&mut self, key: usize, refused: RequestError, now: Duration) {
        self.stats.malformed += 1;
        let conn = &mut self.conns[key];
        if let Kind::Caller { side, .. } = &mut conn.kind {
            let response = Response::text(refused.status, refused.reason);
            side.respond(&response, true, &mut conn.output);
        }
        conn.ending = true;
        self.flush(key, now);
    }

    pub(super) fn caller_expired(&mut self, key: usize, now: Duration) {
        let conn = &self.conns[key];
        let is_late = matches!(&conn.kind, Kind::Caller { side, .. } if side.started().is_some());
        if is_late && !conn.ending {
            let refused = RequestError {
                status: 408,
                reason: "the request took too long",
            };
            return self.refuse(key, refused, now);
        }
        self.close_key(key, "idle", now);
    }

    /// Responds to the request that awaits it on a connection. Does nothing if the caller has
    /// gone.
    pub fn respond(&mut self, id: ConnId, response: &Response) {
        let Some(key) = self.find(id) else {
            return;
        };
        let now = self.clock.now();
        let close = self.ending;
        let conn = &mut self.conns[key];
        let Kind::Caller { side, .. } = &mut conn.kind else {
            return;
        };
        if !side.is_busy() {
            return;
        }
        conn.ending = side.respond(response, close, &mut conn.output);
        let idle = now + self.limits.idle_time + IDLE_SLACK;
        self.set_deadline(key, Some(idle));
        self.flush(key, now);
        let Some(conn) = self.conns.get(key) else {
            return;
        };
        if !conn.ending && !conn.input.is_empty() {
            // The next request may have come already, and more of it may wait in the socket.
            self.readable(key, false, now);
        }
    }

    /// The last response is written: the connection ends once the caller has closed it too.
    pub(super) fn end_caller(&mut self, key: usize, now: Duration) {
        let shut = self.conns[key].socket.shutdown(Shutdown::Write);
        match shut {
            Ok(()) => self.set_deadline(key, Some(now + LINGER)),
            Err(_) => self.close_key(key, "closed by the caller", now),
        }
    }

    /// Closes connections of callers on which no request is under way.
    pub fn close_idle_callers(&mut self) {
        let idle: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, conn)| {
                let Kind::Caller {
                    listener_kind,
                    side,
                    ..
                } = &conn.kind
                else {
                    return false;
                };
                *listener_kind == ListenerKind::Callers
                    && !side.is_busy()
                    && side.started().is_none()
                    && conn.input.is_empty()
                    && conn.output_is_empty()
                    && !conn.ending
            })
            .map(|(key, _)| key)
            .collect();
        let now = self.clock.now();
        for key in idle {
            self.conns[key].ending = true;
            self.end_caller(key, now);
        }
    }
}
