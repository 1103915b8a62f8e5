//! Connections between VMs.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use camphordale_fleet::PeerMessage;
use camphordale_wire::Role;
use mio::net::TcpStream;

use super::{
    ConnId, EventLoop, IoEvent,
    conn::{
        Conn,
        Kind, //
    },
};
use crate::peer_connection::PeerConnection;

/// Time in which a connection between VMs must open and finish its handshake: one retransmission
/// of a lost packet. The first packet to a VM that starts just then is repeated only after a second.
const OPEN_LIMIT: Duration = Duration::from_millis(250);
/// Time without a message after which a connection between VMs is closed.
const SILENCE: Duration = Duration::from_secs(10);
/// Bytes that may wait to be written to another VM; a VM that does not read is dropped.
const MAX_OUTPUT: usize = 48 << 20;

impl EventLoop {
    pub(super) fn accept_peer(&mut self, socket: TcpStream, now: Duration) {
        let mut output = Vec::new();
        let side = PeerConnection::new(Role::Server, &self.keyring, rand::random(), &mut output);
        let kind = Kind::Peer {
            side,
            outbound: None,
        };
        if let Some(key) = self.insert(socket, kind) {
            self.conns[key].connected = true;
            self.conns[key].output = output;
            self.set_deadline(key, Some(now + OPEN_LIMIT));
            self.flush(key, now);
        }
    }

    fn open_peer(&mut self, to: SocketAddr, outbound: bool, now: Duration) -> Option<usize> {
        let socket = TcpStream::connect(to).ok()?;
        Conn::configure(&socket).ok()?;
        let mut output = Vec::new();
        let side = PeerConnection::new(Role::Client, &self.keyring, rand::random(), &mut output);
        let kind = Kind::Peer {
            side,
            outbound: outbound.then_some(to),
        };
        let key = self.insert(socket, kind)?;
        self.conns[key].output = output;
        self.set_deadline(key, Some(now + OPEN_LIMIT));
        Some(key)
    }

    /// Opens a connection to another VM. Returns `None` if that fails at once.
    pub fn dial(&mut self, to: SocketAddr) -> Option<ConnId> {
        let now = self.clock.now();
        let key = self.open_peer(to, false, now)?;
        Some(self.conns[key].id)
    }

    /// Sends a message to a VM, on a connection that is opened if there is none. The message may
    /// be lost.
    pub fn send_to(&mut self, to: SocketAddr, message: &PeerMessage) {
        let now = self.clock.now();
        let known = self.outbound.get(&to).copied();
        let key = match known.and_then(|id| self.find(id)) {
            Some(key) => key,
            None => {
                let Some(key) = self.open_peer(to, true, now) else {
                    self.stats.socket_errors += 1;
                    return;
                };
                self.outbound.insert(to, self.conns[key].id);
                key
            }
        };
        self.send_on(key, message, now);
    }

    /// Sends a message on a connection. Does nothing if it is closed.
    pub fn send(&mut self, id: ConnId, message: &PeerMessage) {
        if let Some(key) = self.find(id) {
            let now = self.clock.now();
            self.send_on(key, message, now);
        }
    }

    fn send_on(&mut self, key: usize, message: &PeerMessage, now: Duration) {
        let conn = &mut self.conns[key];
        let Kind::Peer { side, .. } = &mut conn.kind else {
            return;
        };
        let result = side.send(message, &mut conn.output);
        if result.is_err() || conn.output.len() > MAX_OUTPUT {
            self.stats.socket_errors += 1;
            return self.close_key(key, "message cannot be sent", now);
        }
        self.flush(key, now);
    }

    pub(super) fn peer_readable(&mut self, key: usize, ended: bool, now: Duration) {
        let conn = &mut self.conns[key];
        let id = conn.id;
        let Kind::Peer { side, outbound } = &mut conn.kind else {
            return;
        };
        match side.advance(&mut conn.input, &mut conn.output, &self.keyring) {
            Ok(messages) => {
                // On a connection for sending only, nothing comes after the handshake.
                let is_ready = side.is_ready();
                let only_sends = outbound.is_some();
                if is_ready {
                    let until = (!only_sends).then_some(now + SILENCE);
                    self.set_deadline(key, until);
                }
                let messages = messages.into_iter();
                self.incoming
                    .extend(messages.map(|message| IoEvent::PeerMessage { conn: id, message }));
                self.flush(key, now);
            }
            Err(error) => {
                self.stats.socket_errors += 1;
                return self.close_key(key, &error.0, now);
            }
        }
        if ended && self.conns.contains(key) {
            self.close_key(key, "closed by the peer", now);
        }
    }
}
