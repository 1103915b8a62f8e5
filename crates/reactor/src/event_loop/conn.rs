//! One non-blocking connection with its buffers.

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

/// Input that is kept while a request awaits its response; more is left in the socket.
const MAX_PIPELINED_INPUT: usize = 128 << 10;
/// An empty buffer larger than this is given back.
const MAX_IDLE_BUFFER: usize = 32 << 10;
/// Time after which data that the other end does not confirm breaks the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1500);

/// The exchange that a connection to a target carries.
pub(super) struct ActiveExchange {
    pub(super) id: ExchangeId,
    pub(super) protocol: ClientConnection,
    /// Whether a byte of the request was written.
    pub(super) sent: bool,
    /// Whether a byte of a response came.
    pub(super) received: bool,
    /// When the exchange is given up.
    pub(super) deadline: Duration,
}

/// What a connection is for.
pub(super) enum ConnKind {
    /// Accepted; carries requests to this process.
    Caller {
        listener_kind: ListenerKind,
        protocol: ServerConnection,
        peer: SocketAddr,
    },
    /// Opened to a target.
    Target {
        address: SocketAddr,
        active: Option<ActiveExchange>,
        /// How long the target keeps the connection without a request.
        keep_alive: Option<Duration>,
    },
    /// Between VMs.
    Peer {
        protocol: PeerConnection,
        /// The address, if messages for it are sent on this connection.
        outbound: Option<SocketAddr>,
    },
}

/// One connection.
pub(super) struct Conn {
    pub(super) id: ConnId,
    pub(super) socket: TcpStream,
    pub(super) kind: ConnKind,
    pub(super) connected: bool,
    /// Whether the connection is closed once the output is written.
    pub(super) closing: bool,
    pub(super) input: Vec<u8>,
    pub(super) output: Vec<u8>,
    written: usize,
    pub(super) deadline: Option<Duration>,
}

impl Conn {
    pub(super) fn new(id: ConnId, socket: TcpStream, kind: ConnKind) -> Conn {
        Conn {
            id,
            socket,
            connected: matches!(kind, ConnKind::Caller { .. }),
            kind,
            closing: false,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            deadline: None,
        }
    }

    /// Sets what every connection needs.
    pub(super) fn configure(socket: &TcpStream) -> io::Result<()> {
        let socket = SockRef::from(socket);
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
    }

    /// Reports whether the connection is open now.
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
        self.output.shrink_to(MAX_IDLE_BUFFER);
        self.written = 0;
        Ok(())
    }

    /// Reads what is there. Returns whether the other side has ended in order. `read_closed` tells that
    /// the end is near, so a short read is not taken for the last one.
    pub(super) fn read(&mut self, scratch: &mut [u8], read_closed: bool) -> io::Result<bool> {
        while self.input.len() < MAX_PIPELINED_INPUT || !self.awaits_response() {
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
        matches!(&self.kind, ConnKind::Caller { protocol, .. } if protocol.is_awaiting_response())
    }
}
