//! Accepted HTTP connections: callers, operators, targets, readiness probes and metrics scrapes.

use std::{
    io::ErrorKind,
    net::Shutdown,
    time::Duration, //
};

use camphordale_http::Response;

use super::{
    ConnId, EventLoop, FailureCause, IoEvent, ListenerKind, MAX_CALLER_CONNECTIONS,
    conn::{
        Conn,
        ConnKind,
        TCP_USER_TIMEOUT, //
    },
    memory::NO_MEMORY_STATUS,
    pacing::CONNECTION_OVERHEAD_BYTES,
};
use crate::server_connection::{
    RequestError,
    ServerConnection, //
};

/// Time that a client has to read the last response and close the connection. After it the socket
/// is closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time from the first byte of a request within which its body must be complete.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Seconds after which a request that was rejected for want of memory may be sent again. Bodies in
/// progress are passed on within about this time.
const NO_MEMORY_RETRY_AFTER_S: &str = "1";
/// How much longer an idle connection is kept than the idle timeout that clients are told.
const IDLE_SLACK: Duration = Duration::from_millis(500);

impl EventLoop {
    pub(super) fn accept_connections(&mut self, index: usize, now: Duration) {
        loop {
            let (listener, listener_kind) = &self.listeners[index];
            let listener_kind = *listener_kind;
            let (socket, client_address) = match listener.accept() {
                Ok(accepted) => accepted,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                // The client has disconnected already, or file descriptors are exhausted; later
                // connections may succeed.
                Err(_) => {
                    self.stats.refused += 1;
                    return;
                }
            };
            self.stats.accepted += 1;
            self.link_in.spend(CONNECTION_OVERHEAD_BYTES, now);
            self.link_out.spend(CONNECTION_OVERHEAD_BYTES, now);
            let full = listener_kind == ListenerKind::Callers
                && self.caller_connections >= MAX_CALLER_CONNECTIONS;
            // A client may pause while it takes a response, as long as it may be idle.
            let user_timeout = match listener_kind {
                ListenerKind::Peers => TCP_USER_TIMEOUT,
                ListenerKind::Callers
                | ListenerKind::Readiness
                | ListenerKind::Control
                | ListenerKind::Metrics => self.limits.idle_timeout + IDLE_SLACK,
            };
            if full || Conn::configure(&socket, user_timeout).is_err() {
                self.stats.refused += 1;
                continue;
            }
            if listener_kind == ListenerKind::Peers {
                self.accept_peer(socket, now);
                continue;
            }
            let protocol = ServerConnection::new();
            let kind = ConnKind::HttpServer {
                listener_kind,
                protocol,
                client_address,
            };
            if let Some(key) = self.insert(socket, kind) {
                if listener_kind == ListenerKind::Callers {
                    self.caller_connections += 1;
                }
                self.set_deadline(key, Some(now + self.limits.idle_timeout + IDLE_SLACK));
            }
        }
    }

    pub(super) fn on_http_server_readable(&mut self, key: usize, eof: bool, now: Duration) {
        self.parse_request(key, now);
        let Some(conn) = self.conns.get(key) else {
            return;
        };
        if !eof {
            return;
        }
        // A client that has closed its side no longer waits for a response.
        if conn.output_is_empty() || conn.closing {
            self.close_connection(key, FailureCause::Closed, "closed by the client", now);
        }
    }

    /// Parses the next request and reports it once it is complete.
    fn parse_request(&mut self, key: usize, now: Duration) {
        let conn = &mut self.conns[key];
        if conn.closing {
            conn.input.clear();
            return;
        }
        let ConnKind::HttpServer {
            listener_kind,
            protocol,
            client_address,
        } = &mut conn.kind
        else {
            return;
        };
        let (listener_kind, client_address) = (*listener_kind, *client_address);
        let result = protocol.advance(
            &mut conn.input,
            &mut conn.output,
            &self.limits,
            client_address,
            now,
        );
        let started = protocol.request_started();
        let id = conn.id;
        match result {
            Ok(Some(request)) => {
                self.set_deadline(key, None);
                self.io_events.push(IoEvent::Request {
                    conn: id,
                    listener_kind,
                    request,
                });
            }
            Ok(None) => {
                if let Err(error) = self.reserve_body(key) {
                    return self.reject_request(key, error, now);
                }
                if let Some(started) = started {
                    let in_body = self.is_reading_body(key);
                    let limit = match in_body {
                        true => BODY_TIMEOUT,
                        false => self.limits.header_timeout,
                    };
                    self.set_deadline(key, Some(started + limit));
                }
                self.flush(key, now);
            }
            Err(error) => self.reject_request(key, error, now),
        }
    }

    fn is_reading_body(&self, key: usize) -> bool {
        let conn = &self.conns[key];
        matches!(&conn.kind, ConnKind::HttpServer { protocol, .. } if protocol.is_reading_body())
    }

    fn reject_request(&mut self, key: usize, error: RequestError, now: Duration) {
        self.stats.malformed += 1;
        let conn = &mut self.conns[key];
        if let ConnKind::HttpServer { protocol, .. } = &mut conn.kind {
            let mut response = Response::text(error.status, error.reason);
            if error.status == NO_MEMORY_STATUS {
                response = response.with_header("Retry-After", NO_MEMORY_RETRY_AFTER_S);
            }
            protocol.respond(&response, true, &mut conn.output);
        }
        conn.closing = true;
        self.release_reservation(key);
        self.flush(key, now);
    }

    pub(super) fn on_http_server_timeout(&mut self, key: usize, now: Duration) {
        let conn = &self.conns[key];
        let in_request = matches!(
            &conn.kind,
            ConnKind::HttpServer { protocol, .. } if protocol.request_started().is_some()
        );
        if in_request && !conn.closing {
            let error = RequestError {
                status: 408,
                reason: "the request took too long",
            };
            return self.reject_request(key, error, now);
        }
        // A client that takes its response slowly is not idle.
        let idle_at = conn.written_at + self.limits.idle_timeout + IDLE_SLACK;
        if now < idle_at {
            return self.set_deadline(key, Some(idle_at));
        }
        self.close_connection(key, FailureCause::TimedOut, "idle", now);
    }

    /// Sends the response to the pending request of a connection. Has no effect if the client has
    /// disconnected.
    pub fn respond(&mut self, id: ConnId, response: &Response) {
        let Some(key) = self.key_of(id) else {
            return;
        };
        let now = self.clock.now();
        let close = self.close_after;
        let conn = &mut self.conns[key];
        let ConnKind::HttpServer { protocol, .. } = &mut conn.kind else {
            return;
        };
        if !protocol.is_awaiting_response() {
            return;
        }
        conn.closing = protocol.respond(response, close, &mut conn.output);
        let idle = now + self.limits.idle_timeout + IDLE_SLACK;
        self.set_deadline(key, Some(idle));
        self.release_reservation(key);
        self.flush(key, now);
        self.account(key, now);
        let Some(conn) = self.conns.get(key) else {
            return;
        };
        if !conn.closing && !conn.input.is_empty() {
            // The next request may be buffered already, and the rest of it may be in the socket.
            self.on_readable(key, false, now);
        }
    }

    /// Shuts down the write side after the last response. The connection is closed when the client
    /// has closed its side, at the latest after [`LINGER_TIMEOUT`].
    pub(super) fn shut_down_write(&mut self, key: usize, now: Duration) {
        // A client that goes on sending must not extend the time.
        if std::mem::replace(&mut self.conns[key].write_closed, true) {
            return;
        }
        let result = self.conns[key].socket.shutdown(Shutdown::Write);
        match result {
            Ok(()) => self.set_deadline(key, Some(now + LINGER_TIMEOUT)),
            Err(_) => self.close_connection(key, FailureCause::Closed, "closed by the client", now),
        }
    }

    /// Closes caller connections that have no request in progress. A request that has arrived is
    /// read first. One that crosses the close is not read, so its caller can tell that it was not
    /// processed.
    pub fn close_idle_callers(&mut self) {
        let is_idle = |conn: &Conn| match &conn.kind {
            ConnKind::HttpServer {
                listener_kind,
                protocol,
                ..
            } => {
                *listener_kind == ListenerKind::Callers
                    && !protocol.is_awaiting_response()
                    && protocol.request_started().is_none()
                    && conn.input.is_empty()
                    && conn.output_is_empty()
                    && !conn.closing
            }
            ConnKind::Target { .. } | ConnKind::Peer { .. } => false,
        };
        let idle: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, conn)| is_idle(conn))
            .map(|(key, _)| key)
            .collect();
        let now = self.clock.now();
        for key in idle {
            self.on_readable(key, true, now);
            if self.conns.get(key).is_some_and(is_idle) {
                self.close_connection(key, FailureCause::Local, "idle", now);
            }
        }
    }
}
