//! A non-blocking connection with its buffers.

use std::{
    io::{
        self,
        ErrorKind,
        Read,
        Write, //
    },
    net::SocketAddr,
    time::Duration,
};

use mio::net::TcpStream;
use socket2::SockRef;

use super::{
    ConnId,
    ExchangeId,
    ListenerKind, //
};
use crate::{
    client_connection::ClientConnection,
    peer_connection::PeerConnection,
    server_connection::ServerConnection, //
};

/// Bytes of input buffered while a request awaits its response; further input stays in the socket.
const MAX_PIPELINED_INPUT_BYTES: usize = 128 << 10;
/// Bytes of capacity that an empty output buffer keeps; a larger buffer is shrunk to it.
const MAX_IDLE_BUFFER_BYTES: usize = 32 << 10;
/// Time after which unacknowledged data breaks a connection (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1500);

/// The exchange in progress on a connection to a target.
pub(super) struct ActiveExchange {
    pub(super) id: ExchangeId,
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
        active: Option<ActiveExchange>,
        /// How long the target keeps an idle connection open, if it stated a time.
        keep_alive: Option<Duration>,
    },
    /// Opened or accepted between VMs.
    Peer {
        protocol: PeerConnection,
        /// The peer's address, if this process uses the connection to send messages to it.
        outbound: Option<SocketAddr>,
    },
}

/// A connection of any kind.
pub(super) struct Conn {
    pub(super) id: ConnId,
    pub(super) socket: TcpStream,
    pub(super) kind: ConnKind,
    pub(super) connected: bool,
    /// Whether the connection is closed after its output is written.
    pub(super) closing: bool,
    pub(super) input: Vec<u8>,
    pub(super) output: Vec<u8>,
    /// Number of bytes at the start of `output` that are already written.
    written: usize,
    /// When the connection times out, if it can.
    pub(super) deadline: Option<Duration>,
}

impl Conn {
    pub(super) fn new(id: ConnId, socket: TcpStream, kind: ConnKind) -> Conn {
        Conn {
            id,
            socket,
            connected: matches!(kind, ConnKind::HttpServer { .. }),
            kind,
            closing: false,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            deadline: None,
        }
    }

    /// Sets the socket options that every connection needs.
    pub(super) fn configure(socket: &TcpStream) -> io::Result<()> {
        let socket = SockRef::from(socket);
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
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
        self.written == self.output.len()
    }

    pub(super) fn flush(&mut self) -> io::Result<()> {
        while self.written < self.output.len() {
            match self.socket.write(&self.output[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.written += count;
                    if let ConnKind::Target {
                        active: Some(active),
                        ..
                    } = &mut self.kind
                    {
                        active.sent = true;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.output.clear();
        self.output.shrink_to(MAX_IDLE_BUFFER_BYTES);
        self.written = 0;
        Ok(())
    }

    /// Reads until the socket would block. Returns whether the end of the stream was reached. If
    /// `read_closed` is set, the end of the stream is pending, so reading continues after a short
    /// read.
    pub(super) fn read(&mut self, scratch: &mut [u8], read_closed: bool) -> io::Result<bool> {
        while self.input.len() < MAX_PIPELINED_INPUT_BYTES || !self.awaits_response() {
            match self.socket.read(scratch) {
                Ok(0) => return Ok(true),
                Ok(count) => {
                    self.input.extend_from_slice(&scratch[..count]);
                    if count < scratch.len() && !read_closed {
                        return Ok(false);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(false)
    }

    fn awaits_response(&self) -> bool {
        matches!(
            &self.kind,
            ConnKind::HttpServer { protocol, .. } if protocol.is_awaiting_response()
        )
    }
}
