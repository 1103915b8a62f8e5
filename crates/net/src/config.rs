//! Settings of servers and clients.

use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    time::Duration, //
};

use camphordale_wire::Keyring;

const KIB: usize = 1024;

/// Bounds of a [`crate::PeerServer`].
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Connections of authenticated peers.
    pub max_connections: usize,
    /// Connections that have not finished the handshake, of all sources.
    pub max_handshakes: usize,
    /// Connections that have not finished the handshake, of one source IP address.
    pub handshakes_per_ip: usize,
    /// Time for the whole handshake.
    pub handshake_timeout: Duration,
    /// Longest payload of a frame in bytes.
    pub max_payload: usize,
    /// Time after which a connection without a complete message is closed. It exceeds the 5 s after which
    /// clients give up idle connections, so that servers rarely close one that is about to be
    /// used.
    pub idle_timeout: Duration,
    /// Time for one frame to be written.
    pub write_timeout: Duration,
    /// Longest time from the arrival of a cast to the confirmation that the connection is alive.
    pub ack_interval: Duration,
    /// Stack of a connection's thread in bytes. The handler runs on it.
    pub stack_size: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        ServerLimits {
            max_connections: 1_024,
            max_handshakes: 256,
            handshakes_per_ip: 32,
            handshake_timeout: Duration::from_secs(2),
            max_payload: 4 * KIB * KIB,
            idle_timeout: Duration::from_secs(15),
            write_timeout: Duration::from_secs(5),
            ack_interval: Duration::from_millis(100),
            stack_size: 512 * KIB,
        }
    }
}

/// Settings of a [`crate::PeerServer`].
#[derive(Clone, Debug)]
pub struct PeerServerConfig {
    /// Address to listen on.
    pub bind: SocketAddr,
    /// Number of this VM.
    pub vm: u32,
    /// Cluster keys.
    pub keyring: Keyring,
    /// Bounds.
    pub limits: ServerLimits,
}

/// Settings of a [`crate::PeerClient`].
#[derive(Clone, Debug)]
pub struct PeerClientConfig {
    /// Number of this VM.
    pub vm: u32,
    /// Cluster keys.
    pub keyring: Keyring,
    /// Source address of connections, if it matters.
    pub bind_ip: Option<IpAddr>,
    /// Connections for calls to one peer, in use and idle.
    pub max_connections: usize,
    /// Longest payload of a frame in bytes.
    pub max_payload: usize,
    /// Longest time for connection and handshake, within the time limit of the call.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is not used any more.
    pub idle_timeout: Duration,
    /// Age at which a connection is not used any more.
    pub max_age: Duration,
    /// Casts that wait for one peer. The oldest is dropped for a further one.
    pub cast_queue: usize,
    /// Bytes of casts that wait for one peer. The oldest are dropped for further ones.
    pub cast_bytes: usize,
    /// Time without a cast after which a peer's writer ends.
    pub writer_timeout: Duration,
    /// Time without a confirmation, while casts are sent, after which a connection is replaced.
    pub ack_timeout: Duration,
    /// Time for one write of casts.
    pub write_timeout: Duration,
    /// Pause after the first failed connection of a writer; it doubles with each further one.
    pub backoff_min: Duration,
    /// Longest pause between connections of a writer.
    pub backoff_max: Duration,
}

impl PeerClientConfig {
    /// Settings with default bounds.
    pub fn new(vm: u32, keyring: Keyring) -> Self {
        PeerClientConfig {
            vm,
            keyring,
            bind_ip: None,
            max_connections: 64,
            max_payload: 4 * KIB * KIB,
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(5),
            max_age: Duration::from_secs(60),
            cast_queue: 1_024,
            cast_bytes: 16 * KIB * KIB,
            writer_timeout: Duration::from_secs(10),
            ack_timeout: Duration::from_secs(1),
            write_timeout: Duration::from_secs(1),
            backoff_min: Duration::from_millis(20),
            backoff_max: Duration::from_secs(1),
        }
    }
}
