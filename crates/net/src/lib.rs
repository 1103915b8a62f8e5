//! Transport between VMs: authenticated TCP connections and UDP datagrams, on blocking sockets.
//!
//! Start with [`Handler`], which handles what peers send to a [`PeerServer`] or
//! [`DatagramSocket`]. [`PeerClient`] sends requests: `call` waits for a reply, `cast` does not.

mod cast_queue;
mod client;
mod config;
mod connection;
mod connections;
mod counters;
mod datagram_socket;
mod error;
mod handler;
mod pool;
mod server;

pub use client::PeerClient;
pub use config::{
    PeerClientConfig,
    PeerServerConfig,
    ServerLimits, //
};
pub use counters::{
    ClientStats,
    DatagramStats,
    ServerStats, //
};
pub use datagram_socket::DatagramSocket;
pub use error::{
    CallError,
    CallErrorKind,
    ConnectionError,
    NetError,
    Operation,
    SendError, //
};
pub use handler::Handler;
pub use server::PeerServer;
