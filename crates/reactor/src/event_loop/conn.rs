//! A non-blocking connection with its buffers.

use std::{
    io::{
        self,
        ErrorKind,
        Read,
        Write, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use mio::net::TcpStream;
use socket2::SockRef;

use super::{
    ConnId, ConnectionUse, ExchangeId, ListenerKind,
    pacing::{
        MAX_PACED_REQUEST_TIME,
        UNPACED_BYTES, //
    },
};
use crate::{
    client_connection::ClientConnection,
    held_body::HeldBody,
    peer_connection::PeerConnection,
    server_connection::ServerConnection, //
};

/// Bytes of input buffered while a request awaits its response; further input stays in the socket.
const MAX_PIPELINED_INPUT_BYTES: usize = 128 << 10;
/// Bytes of capacity that an empty output buffer keeps; a larger buffer is shrunk to it.
const MAX_IDLE_BUFFER_BYTES: usize = 32 << 10;
/// Time after which unacknowledged data breaks a connection to a target or another VM
/// (`TCP_USER_TIMEOUT`).
pub(super) const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1500);

/// The exchange in progress on a connection to a target.
pub(super) struct ActiveExchange {
    pub(super) id: ExchangeId,
    /// Whether the connection carried exchanges before.
    pub(super) reused: bool,
    pub(super) protocol: ClientConnection,
    /// Whether any byte of the request was written.
    pub(super) sent: bool,
    /// Whether any byte of a response was received.
    pub(super) received: bool,
    /// When the exchange fails.
    pub(super) deadline: Duration,
}

/// Kind of a connection, with its protocol state.
pub(super) enum ConnKind {
    /// Accepted from an HTTP client, such as a caller, an operator or a target; carries requests to
    /// this process.
    HttpServer {
        listener_kind: ListenerKind,
        protocol: ServerConnection,
        client_address: SocketAddr,
    },
    /// Opened to a target; carries requests to it.
    Target {
        address: SocketAddr,
        connection: ConnectionUse,
        active: Option<ActiveExchange>,
        /// How long the target keeps an idle connection open, if it stated a time.
        keep_alive: Option<Duration>,
        /// When the connection was begun to be opened.
        opened_at: Duration,
        /// Whether an exchange was started on it.
        used: bool,
    },
    /// Opened or accepted between VMs.
    Peer {
        protocol: PeerConnection,
        /// The peer's address, if this process uses the connection to send messages to it.
        outbound: Option<SocketAddr>,
    },
}

impl ConnKind {
    /// Whether the connection stays open after an exchange.
    pub(super) fn is_kept(&self) -> bool {
        !matches!(
            self,
            ConnKind::Target {
                connection: ConnectionUse::Single,
                ..
            }
        )
    }
}

/// A connection of any kind.
pub(super) struct Conn {
    pub(super) id: ConnId,
    pub(super) socket: TcpStream,
    pub(super) kind: ConnKind,
    pub(super) connected: bool,
    /// Whether the connection is closed after its output is written.
    pub(super) closing: bool,
    /// Whether the write side is shut down.
    pub(super) write_closed: bool,
    pub(super) input: Vec<u8>,
    pub(super) output: Vec<u8>,
    /// What follows `output`, and how much of it is written.
    output_body: Option<(Arc<HeldBody>, usize)>,
    /// Number of bytes at the start of `output` that are already written.
    written: usize,
    /// When output was last written.
    pub(super) written_at: Duration,
    /// When the request to a target that is being written was begun.
    request_begun_at: Option<Duration>,
    /// When the connection times out, if it can.
    pub(super) deadline: Option<Duration>,
    /// Whether reading goes on later, in turn.
    pub(super) read_deferred: bool,
    /// Whether writing goes on later, in turn.
    pub(super) write_deferred: bool,
    /// Number of bytes that the event loop has counted for this connection.
    pub(super) accounted: usize,
    /// Number of bytes reserved for the body of the request that is received or in progress.
    pub(super) reserved: usize,
}

/// Result of reading from a socket.
pub(super) struct ReadOutcome {
    /// Bytes read.
    pub(super) bytes: usize,
    /// Whether the end of the stream was reached.
    pub(super) eof: bool,
    /// Whether reading stopped at the allowance, so that more may be in the socket.
    pub(super) has_more: bool,
}

impl Conn {
    pub(super) fn new(id: ConnId, socket: TcpStream, kind: ConnKind) -> Conn {
        Conn {
            id,
            socket,
            connected: matches!(kind, ConnKind::HttpServer { .. }),
            kind,
            closing: false,
            write_closed: false,
            input: Vec::new(),
            output: Vec::new(),
            output_body: None,
            written: 0,
            written_at: Duration::ZERO,
            request_begun_at: None,
            deadline: None,
            read_deferred: false,
            write_deferred: false,
            accounted: 0,
            reserved: 0,
        }
    }

    /// Sets the socket options that every connection needs. The system breaks the connection if
    /// data is not acknowledged, or the other side has no room for it, for `user_timeout`.
    pub(super) fn configure(socket: &TcpStream, user_timeout: Duration) -> io::Result<()> {
        let socket = SockRef::from(socket);
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_user_timeout(Some(user_timeout))
    }

    /// Checks whether the connection is established.
    pub(super) fn check_connected(&mut self) -> io::Result<bool> {
        if let Some(error) = self.socket.take_error()? {
            return Err(error);
        }
        match self.socket.peer_addr() {
            Ok(_) => {
                self.connected = true;
                Ok(true)
            }
            Err(error) if error.kind() == ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    pub(super) fn output_is_empty(&self) -> bool {
        self.output_length() == 0
    }

    /// Appends a request to the output.
    pub(super) fn push_request(&mut self, bytes: &[u8], body: Option<Arc<HeldBody>>) {
        self.output.extend_from_slice(bytes);
        self.output_body = body.map(|body| (body, 0));
        self.request_begun_at = None;
    }

    /// Whether the output is written in portions.
    pub(super) fn is_paced(&mut self, now: Duration) -> bool {
        if self.output_length() <= UNPACED_BYTES {
            return false;
        }
        match self.kind {
            ConnKind::HttpServer { .. } => true,
            ConnKind::Target { .. } => {
                let begun_at = *self.request_begun_at.get_or_insert(now);
                now.saturating_sub(begun_at) < MAX_PACED_REQUEST_TIME
            }
            ConnKind::Peer { .. } => false,
        }
    }

    /// Number of bytes that are to be written.
    pub(super) fn output_length(&self) -> usize {
        let body = self.output_body.as_ref();
        let body = body.map_or(0, |(body, written)| body.len() - written);
        self.output.len() - self.written + body
    }

    /// Number of bytes that are queued for another VM; none on a connection of another kind.
    pub(super) fn peer_output(&self) -> usize {
        match &self.kind {
            ConnKind::Peer { protocol, .. } => self.output_length() + protocol.queued_bytes(),
            ConnKind::HttpServer { .. } | ConnKind::Target { .. } => 0,
        }
    }

    /// Number of bytes that the connection holds for an incomplete message and for a caller that takes
    /// its response slowly. A body for which memory is reserved is not among them.
    pub(super) fn buffered(&self) -> usize {
        let body = match &self.kind {
            ConnKind::HttpServer { protocol, .. } if self.reserved == 0 => {
                protocol.buffered_bytes() + self.output_length()
            }
            ConnKind::HttpServer { .. } => self.output_length(),
            ConnKind::Target { active, .. } => active
                .as_ref()
                .map_or(0, |active| active.protocol.buffered_bytes()),
            ConnKind::Peer { .. } => 0,
        };
        self.input.len() + body
    }

    /// Number of bytes that have been read of an incomplete message of a caller or a target.
    pub(super) fn incoming_bytes(&self) -> usize {
        let body = match &self.kind {
            ConnKind::HttpServer { protocol, .. } => protocol.buffered_bytes(),
            ConnKind::Target { active, .. } => active
                .as_ref()
                .map_or(0, |active| active.protocol.buffered_bytes()),
            ConnKind::Peer { .. } => return 0,
        };
        self.input.len() + body
    }

    /// Number of bytes that the connection may hold before its message is complete.
    pub(super) fn claimed(&self) -> usize {
        match &self.kind {
            ConnKind::HttpServer { protocol, .. } if self.reserved == 0 => {
                protocol.claimed_bytes() + self.output_length()
            }
            ConnKind::HttpServer { .. } => self.output_length(),
            ConnKind::Target { active, .. } => active
                .as_ref()
                .map_or(0, |active| active.protocol.claimed_bytes()),
            ConnKind::Peer { .. } => 0,
        }
    }

    /// Writes at most `allowance` bytes, until the socket would block. Returns the number of bytes
    /// written.
    pub(super) fn flush(&mut self, allowance: usize) -> io::Result<usize> {
        let length = self.output_length();
        let end = length - length.min(allowance);
        while self.output_length() > end {
            let allowed = self.output_length() - end;
            let (bytes, written) = match &mut self.output_body {
                Some((body, written)) if self.written == self.output.len() => (&body[..], written),
                _ => (&self.output[..], &mut self.written),
            };
            let part = &bytes[*written..];
            match self.socket.write(&part[..part.len().min(allowed)]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    *written += count;
                    if let ConnKind::Target {
                        active: Some(active),
                        ..
                    } = &mut self.kind
                    {
                        active.sent = true;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        let count = length - self.output_length();
        if self.output_is_empty() {
            self.output_body = None;
            self.output.clear();
            self.output.shrink_to(MAX_IDLE_BUFFER_BYTES);
            self.written = 0;
        } else if self.written > MAX_IDLE_BUFFER_BYTES.max(self.output.len() - self.written) {
            // A slow reader may never empty the buffer.
            self.output.drain(..self.written);
            self.written = 0;
        }
        Ok(count)
    }

    /// Reads at most `allowance` bytes, until the socket would block. If `read_closed` is set, the
    /// end of the stream is pending, so reading continues after a short read.
    pub(super) fn read(
        &mut self,
        scratch: &mut [u8],
        read_closed: bool,
        allowance: usize,
    ) -> io::Result<ReadOutcome> {
        let mut outcome = ReadOutcome {
            bytes: 0,
            eof: false,
            has_more: false,
        };
        while self.input.len() < MAX_PIPELINED_INPUT_BYTES || !self.awaits_response() {
            let length = scratch.len().min(allowance - outcome.bytes);
            if length == 0 {
                outcome.has_more = true;
                break;
            }
            match self.socket.read(&mut scratch[..length]) {
                Ok(0) => {
                    outcome.eof = true;
                    break;
                }
                Ok(count) => {
                    outcome.bytes += count;
                    self.input.extend_from_slice(&scratch[..count]);
                    if count < length && !read_closed {
                        break;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(outcome)
    }

    fn awaits_response(&self) -> bool {
        matches!(
            &self.kind,
            ConnKind::HttpServer { protocol, .. } if protocol.is_awaiting_response()
        )
    }
}
