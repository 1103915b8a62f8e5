//! Bounded HTTP/1.1: a listener that no stranger can exhaust, and client connections that state
//! whether a byte of a request may have left.
//!
//! Start with [`Server`] and [`Handler`] for the listener, and with [`Pool`] and [`Conn`] for
//! requests to others. [`codec`] holds the parts without I/O.

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
    ServerError,
    Step, //
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
    PoolCounts, //
};
pub use server::{
    Limits,
    Server,
    ServerStats, //
};
