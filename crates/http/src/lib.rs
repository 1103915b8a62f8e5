//! HTTP/1.1 server and client with bounded resources.
//!
//! The server limits connections, sizes and times, so that untrusted callers cannot exhaust it.
//! The client reports whether any byte of a failed request may have been sent.
//!
//! Start with [`Server`] and [`Handler`] to serve requests, and with [`Pool`] and [`Conn`] to send
//! them. [`codec`] holds the encoders and decoders, which do no I/O.

mod address_pool;
mod client;
pub mod codec;
mod connection;
mod encode;
mod error;
mod linger;
mod message;
mod pool;
mod server;
mod slots;
mod socket;

pub use client::{
    AbortHandle,
    Conn, //
};
pub use error::{
    ClientError,
    ClientErrorKind,
    Operation,
    ServerError, //
};
pub use message::{
    Handler,
    Headers,
    OutgoingRequest,
    Request,
    Response, //
};
pub use pool::{
    Pool,
    PoolConfig,
    PoolStats, //
};
pub use server::{
    Limits,
    Server,
    ServerStats, //
};
