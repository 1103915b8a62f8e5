//! Transport between VMs: authenticated TCP connections and UDP datagrams, on blocking sockets.
//!
//! Start with [`Handler`], which receives what peers send to a [`PeerServer`] or
//! [`DatagramSocket`]. [`PeerClient`] sends: `call` awaits a response, `cast` does not.

mod cast;
mod client;
mod config;
mod counters;
mod datagrams;
mod error;
mod handler;
mod link;
mod pool;
mod server;
mod slots;

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
pub use datagrams::DatagramSocket;
pub use error::{
    CallError,
    CallErrorKind,
    LinkError,
    NetError,
    Operation, //
    SendError,
};
pub use handler::Handler;
pub use server::PeerServer;
