//! Errors of the server and the client, with the operation that failed and the address.

use std::{
    fmt,
    io,
    net::SocketAddr, //
};

/// The operation that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Binding the listening socket.
    Bind,
    /// Starting a thread.
    SpawnThread,
    /// Waiting for a free connection of the pool.
    AcquireConnection,
    /// Opening the connection.
    Connect,
    /// Checking, before anything is written, that the connection is usable and the request valid.
    CheckConnection,
    /// Writing the request.
    WriteRequest,
    /// Waiting for the head of the response, or reading it.
    ReadHead,
    /// Reading the body of the response.
    ReadBody,
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Operation::Bind => "bind",
            Operation::SpawnThread => "thread start",
            Operation::AcquireConnection => "wait for a free connection",
            Operation::Connect => "connect",
            Operation::CheckConnection => "check before sending",
            Operation::WriteRequest => "write of the request",
            Operation::ReadHead => "read of the response head",
            Operation::ReadBody => "read of the response body",
        })
    }
}

/// A server could not be started.
#[derive(Debug, thiserror::Error)]
#[error("cannot start a server on {address}: {operation} failed")]
pub struct ServerError {
    /// The operation that failed.
    pub operation: Operation,
    /// The address to bind.
    pub address: SocketAddr,
    /// Why it failed.
    pub source: io::Error,
}

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientErrorKind {
    /// A socket operation failed.
    #[error("socket error")]
    Io(#[from] io::Error),
    /// The deadline passed before the response was complete.
    #[error("deadline exceeded")]
    Timeout,
    /// The server closed the connection before the response was complete.
    #[error("server closed the connection")]
    Closed,
    /// [`crate::AbortHandle::abort`] was called.
    #[error("exchange was aborted")]
    Aborted,
    /// An earlier exchange failed, or the server announced that it closes the connection.
    #[error("connection cannot be used again")]
    Unusable,
    /// The limit of connections to the address was in use until the deadline.
    #[error("all connections to the server are in use")]
    PoolExhausted,
    /// The named part of the request contains characters that HTTP does not allow.
    #[error("request has an invalid {0}")]
    InvalidRequest(&'static str),
    /// The response is not valid HTTP; the text says which part.
    #[error("response is malformed: {0}")]
    Malformed(&'static str),
    /// The response has no length, so a truncated response could not be detected.
    #[error("response has no Content-Length and is not chunked")]
    MissingLength,
    /// The body of the response is longer than allowed.
    #[error("response body exceeds the limit")]
    TooLarge,
    /// Bytes arrived that belong to no response.
    #[error("unexpected bytes outside of a response")]
    UnexpectedData,
}

/// A request failed.
#[derive(Debug, thiserror::Error)]
#[error("request to {peer} failed during {operation} (written: {})", if *.maybe_written { "possibly" } else { "no" })]
pub struct ClientError {
    /// The operation that failed.
    pub operation: Operation,
    /// The address of the server.
    pub peer: SocketAddr,
    /// Whether any byte of the request may have been written. If false, none was.
    pub maybe_written: bool,
    /// Why it failed.
    #[source]
    pub kind: ClientErrorKind,
}
