//! Errors, with the step and the peer at which they occurred.

use std::{
    fmt,
    io,
    net::SocketAddr, //
};

/// What was being done when an error occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Opening a socket to listen on.
    Bind,
    /// Starting a thread.
    Spawn,
    /// Waiting for a free connection.
    Acquire,
    /// Connecting.
    Connect,
    /// Checking that the connection can be used and the request can be sent.
    Check,
    /// Writing the request.
    Write,
    /// Awaiting or reading the head of the response.
    Head,
    /// Reading the body of the response.
    Body,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Step::Bind => "bind",
            Step::Spawn => "thread start",
            Step::Acquire => "wait for a connection",
            Step::Connect => "connect",
            Step::Check => "check before the request",
            Step::Write => "write of the request",
            Step::Head => "head of the response",
            Step::Body => "body of the response",
        })
    }
}

/// A server could not be started.
#[derive(Debug, thiserror::Error)]
#[error("{step} at {address} failed")]
pub struct ServerError {
    /// What failed.
    pub step: Step,
    /// The address to listen on.
    pub address: SocketAddr,
    /// Why it failed.
    pub source: io::Error,
}

/// Why a request has no response.
#[derive(Debug, thiserror::Error)]
pub enum ClientErrorKind {
    /// The socket failed.
    #[error("socket failed")]
    Io(#[from] io::Error),
    /// The deadline passed.
    #[error("deadline passed")]
    Timeout,
    /// The peer closed the connection before the response was complete.
    #[error("peer closed the connection")]
    Closed,
    /// [`crate::AbortHandle::abort`] was called.
    #[error("exchange was aborted")]
    Aborted,
    /// The connection had an error before.
    #[error("connection failed before")]
    Dead,
    /// As many connections as allowed were in use until the deadline.
    #[error("all connections are in use")]
    Busy,
    /// The request contains characters that may not be sent.
    #[error("request has an invalid {0}")]
    Request(&'static str),
    /// The response is not valid HTTP.
    #[error("response is malformed: {0}")]
    Malformed(&'static str),
    /// The response does not state its length, so it cannot be known to be complete.
    #[error("response does not state its length")]
    Length,
    /// The response is longer than allowed.
    #[error("response is too long")]
    TooLarge,
    /// Bytes arrived that no request asked for.
    #[error("bytes arrived outside of a response")]
    Extra,
}

/// A request that has no response.
#[derive(Debug, thiserror::Error)]
#[error("request to {peer} failed at {step} (written: {})", if *.maybe_written { "possibly" } else { "no" })]
pub struct ClientError {
    /// What failed.
    pub step: Step,
    /// The address of the server.
    pub peer: SocketAddr,
    /// False only if certainly no byte of the request was written.
    pub maybe_written: bool,
    /// Why it failed.
    #[source]
    pub kind: ClientErrorKind,
}
