//! Connections between VMs.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use camphordale_fleet::PeerMessage;
use camphordale_wire::Role;
use mio::net::TcpStream;

use super::{
    ConnId, EventLoop, FailureCause, IoEvent,
    conn::{
        Conn,
        ConnKind,
        TCP_USER_TIMEOUT, //
    },
};
use crate::peer_connection::PeerConnection;

/// Time within which a connection between VMs must open and complete its handshake; enough for one
/// retransmission of a lost packet. A lost first packet (SYN), for example to a VM that is just
/// starting, is retransmitted only after one second, so opening a new connection is faster.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(250);
/// The same limit for accepted connections, whose other end has its own.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time without a byte from the other VM after which a connection is closed. It does not apply to
/// connections that this process opened only to send.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of bytes of output buffered for another VM. If it is exceeded, the VM is assumed
/// to have stopped reading, and the connection is closed.
const MAX_OUTPUT_BYTES: usize = 48 << 20;
/// The output for all VMs is checked after this part of its limit was added.
const OUTPUT_CHECK_DIVISOR: usize = 16;

impl EventLoop {
    pub(super) fn accept_peer(&mut self, socket: TcpStream, now: Duration) {
        let mut output = Vec::new();
        let protocol =
            PeerConnection::new(Role::Server, &self.keyring, rand::random(), &mut output);
        let kind = ConnKind::Peer {
            protocol,
            outbound: None,
        };
        if let Some(key) = self.insert(socket, kind) {
            self.conns[key].connected = true;
            self.conns[key].output = output;
            self.set_deadline(key, Some(now + ACCEPT_TIMEOUT));
            self.flush(key, now);
        }
    }

    fn open_peer_connection(
        &mut self,
        to: SocketAddr,
        outbound: bool,
        timeout: Duration,
        now: Duration,
    ) -> Option<usize> {
        let socket = TcpStream::connect(to).ok()?;
        Conn::configure(&socket, TCP_USER_TIMEOUT).ok()?;
        let mut output = Vec::new();
        let protocol =
            PeerConnection::new(Role::Client, &self.keyring, rand::random(), &mut output);
        let kind = ConnKind::Peer {
            protocol,
            outbound: outbound.then_some(to),
        };
        let key = self.insert(socket, kind)?;
        self.conns[key].output = output;
        self.set_deadline(key, Some(now + timeout));
        Some(key)
    }

    /// Opens a connection to another VM, which must complete its handshake within `timeout`. Returns
    /// `None` if it fails immediately.
    pub fn connect_peer(&mut self, to: SocketAddr, timeout: Duration) -> Option<ConnId> {
        let now = self.clock.now();
        let key = self.open_peer_connection(to, false, timeout, now)?;
        Some(self.conns[key].id)
    }

    /// Sends a message to a VM, over a connection that is opened on demand. Delivery is not
    /// guaranteed.
    pub fn send_to(&mut self, to: SocketAddr, message: &PeerMessage) {
        let now = self.clock.now();
        let id = self.outbound.get(&to).copied();
        let key = match id.and_then(|id| self.key_of(id)) {
            Some(key) => key,
            None => {
                let Some(key) = self.open_peer_connection(to, true, HANDSHAKE_TIMEOUT, now) else {
                    self.stats.socket_errors += 1;
                    return;
                };
                self.outbound.insert(to, self.conns[key].id);
                key
            }
        };
        self.send_message(key, message, now);
    }

    /// Sends a message on a connection. Has no effect if the connection is closed.
    pub fn send(&mut self, id: ConnId, message: &PeerMessage) {
        if let Some(key) = self.key_of(id) {
            let now = self.clock.now();
            self.send_message(key, message, now);
        }
    }

    /// Sends the same message on several connections, and encodes it once. Closed connections are
    /// left out.
    pub fn send_all(&mut self, ids: &[ConnId], message: &PeerMessage) {
        let now = self.clock.now();
        let Ok(payload) = message.encode() else {
            self.stats.socket_errors += 1;
            return;
        };
        for id in ids {
            if let Some(key) = self.key_of(*id) {
                self.send_payload(key, &payload, now);
            }
        }
    }

    fn send_message(&mut self, key: usize, message: &PeerMessage, now: Duration) {
        match message.encode() {
            Ok(payload) => self.send_payload(key, &payload, now),
            Err(_) => {
                self.stats.socket_errors += 1;
                self.close_connection(key, FailureCause::Local, "message cannot be encoded", now);
            }
        }
    }

    /// Queues a message. All that is queued for a connection is written by the next
    /// [`EventLoop::wait`], in one system call.
    fn send_payload(&mut self, key: usize, payload: &[u8], now: Duration) {
        let conn = &mut self.conns[key];
        let was_empty = conn.output_is_empty();
        let ConnKind::Peer { protocol, .. } = &mut conn.kind else {
            return;
        };
        let result = protocol.send(payload, &mut conn.output);
        if result.is_err() || conn.output_length() > MAX_OUTPUT_BYTES {
            self.stats.socket_errors += 1;
            return self.close_connection(
                key,
                FailureCause::Local,
                "too much output is buffered",
                now,
            );
        }
        if was_empty {
            self.unflushed.push((key, conn.id));
        }
        self.unchecked_output += payload.len();
        if self.unchecked_output > self.peer_output_limit / OUTPUT_CHECK_DIVISOR {
            self.limit_peer_output(now);
        }
    }

    /// Closes the connections with the most output while all have too much together. Their VMs read
    /// more slowly than others, and subscribe again.
    fn limit_peer_output(&mut self, now: Duration) {
        self.unchecked_output = 0;
        let mut total = self.peer_output();
        while total > self.peer_output_limit {
            let peers = self.conns.iter();
            let longest = peers.max_by_key(|(_, conn)| conn.peer_output());
            let Some((key, length)) = longest.map(|(key, conn)| (key, conn.peer_output())) else {
                return;
            };
            total = total.saturating_sub(length.max(1));
            self.stats.socket_errors += 1;
            let reason = "too much output is buffered for all VMs";
            self.close_connection(key, FailureCause::Local, reason, now);
        }
    }

    /// Number of bytes that are queued for other VMs.
    pub fn peer_output(&self) -> usize {
        self.conns.iter().map(|(_, conn)| conn.peer_output()).sum()
    }

    /// Largest number of bytes that are queued for one other VM.
    pub fn longest_peer_output(&self) -> usize {
        let lengths = self.conns.iter().map(|(_, conn)| conn.peer_output());
        lengths.max().unwrap_or(0)
    }

    /// Writes what was queued for other VMs.
    pub(super) fn flush_peers(&mut self, now: Duration) {
        for (key, id) in std::mem::take(&mut self.unflushed) {
            if self.conns.get(key).is_some_and(|conn| conn.id == id) {
                self.flush(key, now);
            }
        }
    }

    pub(super) fn on_peer_readable(&mut self, key: usize, eof: bool, now: Duration) {
        let conn = &mut self.conns[key];
        let id = conn.id;
        let ConnKind::Peer { protocol, outbound } = &mut conn.kind else {
            return;
        };
        match protocol.advance(&mut conn.input, &mut conn.output, &self.keyring) {
            Ok(messages) => {
                // The peer sends nothing on a send-only connection after the handshake, so no
                // idle timeout applies.
                let is_ready = protocol.is_ready();
                let is_receiving = protocol.is_receiving();
                let send_only = outbound.is_some();
                if is_ready {
                    let until = (!send_only).then_some(now + IDLE_TIMEOUT);
                    self.set_deadline(key, until);
                }
                let messages = messages.into_iter();
                self.io_events
                    .extend(messages.map(|message| IoEvent::PeerMessage { conn: id, message }));
                if is_receiving {
                    self.io_events.push(IoEvent::PeerProgress(id));
                }
                self.flush(key, now);
            }
            Err(error) => {
                self.stats.socket_errors += 1;
                return self.close_connection(key, FailureCause::Invalid, &error.0, now);
            }
        }
        if eof && self.conns.contains(key) {
            self.close_connection(key, FailureCause::Closed, "closed by the peer", now);
        }
    }
}
