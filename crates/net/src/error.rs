//! Errors, with the step and the peer at which they occurred.

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

/// What was being done when an error occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Opening a socket to listen on.
    Bind,
    /// Starting a thread.
    Spawn,
    /// Waiting for a free connection.
    Acquire,
    /// Connecting.
    Connect,
    /// Exchanging hellos and proofs.
    Handshake,
    /// Writing a request or message.
    Write,
    /// Awaiting a response.
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

/// A server or a datagram socket could not be started.
#[derive(Debug, thiserror::Error)]
#[error("{step} at {address} failed")]
pub struct NetError {
    /// What failed.
    pub step: Operation,
    /// The address to listen on.
    pub address: SocketAddr,
    /// Why it failed.
    pub source: io::Error,
}

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The socket failed.
    #[error("socket failed")]
    Io(#[from] io::Error),
    /// The time limit passed.
    #[error("time limit passed")]
    Timeout,
    /// The peer closed the connection.
    #[error("peer closed the connection")]
    Closed,
    /// The hello of the peer is refused.
    #[error(transparent)]
    Handshake(#[from] HandshakeError),
    /// The bytes of the peer are not a valid frame.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The peer sent a frame of a kind that is not due.
    #[error("frame is not of the kind that is due")]
    Unexpected,
}

impl LinkError {
    /// Returns a short name for counters.
    pub fn reason(&self) -> &'static str {
        match self {
            LinkError::Io(_) => "io",
            LinkError::Timeout => "timeout",
            LinkError::Closed => "closed",
            LinkError::Handshake(error) => error.reason(),
            LinkError::Frame(error) => error.reason(),
            LinkError::Unexpected => "unexpected",
        }
    }
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallErrorKind {
    /// All connections to the peer were in use until the time limit.
    #[error("all connections are in use")]
    Busy,
    /// Another VM than the expected one answered at the address.
    #[error("VM {found} is at the address of VM {expected}")]
    WrongPeer {
        /// The VM that was expected.
        expected: u32,
        /// The VM that answered.
        found: u32,
    },
    /// The connection failed.
    #[error(transparent)]
    Link(#[from] LinkError),
}

/// A call that has no response.
#[derive(Debug, thiserror::Error)]
#[error("call to {peer} failed at {step} (delivered: {})", if *.maybe_delivered { "possibly" } else { "no" })]
pub struct CallError {
    /// What failed.
    pub step: Operation,
    /// The address that was called.
    pub peer: SocketAddr,
    /// False only if certainly no byte of the request was written.
    pub maybe_delivered: bool,
    /// Why it failed.
    #[source]
    pub kind: CallErrorKind,
}

/// A datagram that could not be sent.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The message is too long, or cannot be sealed.
    #[error("datagram to {peer} is refused")]
    Datagram {
        /// The address to send to.
        peer: SocketAddr,
        /// Why it is refused.
        source: DatagramError,
    },
    /// The socket failed.
    #[error("datagram to {peer} could not be sent")]
    Io {
        /// The address to send to.
        peer: SocketAddr,
        /// Why it failed.
        source: io::Error,
    },
}
