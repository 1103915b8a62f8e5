//! Errors, with the operation and the peer address for which they occurred.

use std::{
    fmt,
    io,
    net::SocketAddr, //
};

use camphordale_wire::{
    DatagramError,
    FrameError,
    HandshakeError, //
};

/// Operation during which an error occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Binding a socket.
    Bind,
    /// Starting a thread.
    Spawn,
    /// Waiting for a connection from the pool.
    Acquire,
    /// Connecting.
    Connect,
    /// Authenticating both sides.
    Handshake,
    /// Writing a request or message.
    Write,
    /// Waiting for a reply.
    Read,
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Operation::Bind => "bind",
            Operation::Spawn => "thread start",
            Operation::Acquire => "wait for a connection",
            Operation::Connect => "connect",
            Operation::Handshake => "handshake",
            Operation::Write => "write",
            Operation::Read => "read",
        })
    }
}

/// Why a server or a datagram socket could not be started.
#[derive(Debug, thiserror::Error)]
#[error("{operation} at {address} failed")]
pub struct NetError {
    /// The operation that failed.
    pub operation: Operation,
    /// The local address.
    pub address: SocketAddr,
    /// The error of the operating system.
    pub source: io::Error,
}

/// Why a connection failed.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The socket returned an error.
    #[error("socket error")]
    Io(#[from] io::Error),
    /// The deadline passed.
    #[error("timed out")]
    Timeout,
    /// The peer closed the connection.
    #[error("peer closed the connection")]
    Closed,
    /// The hello of the peer was rejected.
    #[error(transparent)]
    Handshake(#[from] HandshakeError),
    /// The peer sent an invalid frame, or a frame could not be encoded.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The peer sent a frame of a kind that is not expected in this state.
    #[error("unexpected kind of frame")]
    Unexpected,
}

impl ConnectionError {
    /// Returns the label of the error in metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            ConnectionError::Io(_) => "io",
            ConnectionError::Timeout => "timeout",
            ConnectionError::Closed => "closed",
            ConnectionError::Handshake(error) => error.reason(),
            ConnectionError::Frame(error) => error.reason(),
            ConnectionError::Unexpected => "unexpected",
        }
    }
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallErrorKind {
    /// All connections to the peer stayed in use until the deadline.
    #[error("all connections to the peer are in use")]
    Busy,
    /// The peer at the address is not the expected VM.
    #[error("expected VM {expected} at the address, found VM {found}")]
    WrongPeer {
        /// The expected VM.
        expected: u32,
        /// The VM that the peer authenticated as.
        found: u32,
    },
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
}

/// A call that failed before a reply was received.
#[derive(Debug, thiserror::Error)]
#[error("call to {peer} failed at {operation} (delivered: {})", if *.maybe_delivered { "possibly" } else { "no" })]
pub struct CallError {
    /// The operation that failed.
    pub operation: Operation,
    /// The address of the peer.
    pub peer: SocketAddr,
    /// Whether the peer may have received the request. False only if no byte of it was written.
    pub maybe_delivered: bool,
    /// Why the call failed.
    #[source]
    pub kind: CallErrorKind,
}

/// Why a datagram could not be sent.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The message is too long or cannot be encoded.
    #[error("cannot encode datagram to {peer}")]
    Datagram {
        /// The address of the peer.
        peer: SocketAddr,
        /// Why the message cannot be encoded.
        source: DatagramError,
    },
    /// The socket returned an error.
    #[error("cannot send datagram to {peer}")]
    Io {
        /// The address of the peer.
        peer: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}
