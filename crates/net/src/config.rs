//! Configuration of servers and clients.

use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    time::Duration, //
};

use camphordale_wire::Keyring;

const KIB: usize = 1024;

/// Limits of a [`crate::PeerServer`].
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Maximum number of authenticated connections.
    pub max_connections: usize,
    /// Maximum number of connections whose handshake is in progress.
    pub max_handshakes: usize,
    /// Maximum number of connections from one IP address whose handshake is in progress.
    pub ip_limit: usize,
    /// Timeout of the handshake.
    pub handshake_timeout: Duration,
    /// Maximum payload of a frame in bytes.
    pub max_payload: usize,
    /// Time without a byte from the client after which a connection is closed. It exceeds the idle
    /// timeout of clients (5 s), so that servers rarely close a connection that a client is about
    /// to use.
    pub idle_timeout: Duration,
    /// Time without progress after which the writing of a frame is given up.
    pub write_timeout: Duration,
    /// Maximum delay from the arrival of a cast, or of a part of one, to an acknowledgement.
    pub ack_interval: Duration,
    /// Stack size of the thread of a connection, which runs the handler, in bytes.
    pub stack_size: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        ServerLimits {
            max_connections: 1_024,
            max_handshakes: 256,
            ip_limit: 32,
            handshake_timeout: Duration::from_secs(2),
            max_payload: 4 * KIB * KIB,
            idle_timeout: Duration::from_secs(15),
            write_timeout: Duration::from_secs(5),
            ack_interval: Duration::from_millis(100),
            stack_size: 512 * KIB,
        }
    }
}

/// Configuration of a [`crate::PeerServer`].
#[derive(Clone, Debug)]
pub struct PeerServerConfig {
    /// Address to listen on.
    pub bind: SocketAddr,
    /// Number of this VM.
    pub vm: u32,
    /// Cluster keys.
    pub keyring: Keyring,
    /// Limits.
    pub limits: ServerLimits,
}

/// Configuration of a [`crate::PeerClient`].
#[derive(Clone, Debug)]
pub struct PeerClientConfig {
    /// Number of this VM.
    pub vm: u32,
    /// Cluster keys.
    pub keyring: Keyring,
    /// Local address of connections. `None` leaves the choice to the operating system.
    pub bind_ip: Option<IpAddr>,
    /// Maximum number of connections for calls to one peer, in use and idle.
    pub max_connections: usize,
    /// Maximum payload of a frame in bytes.
    pub max_payload: usize,
    /// Timeout for connecting and for the handshake, within the timeout of the call.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is no longer used.
    pub idle_timeout: Duration,
    /// Age from which a connection is no longer used.
    pub max_age: Duration,
    /// Maximum number of casts queued for one peer. When it is exceeded, the oldest is dropped.
    pub cast_queue: usize,
    /// Maximum bytes of casts queued for one peer. When it is exceeded, the oldest are dropped.
    pub cast_bytes: usize,
    /// Time without a cast after which the writer thread of a peer exits.
    pub writer_timeout: Duration,
    /// Time without an acknowledgement, while casts are outstanding, after which a connection is
    /// replaced.
    pub ack_timeout: Duration,
    /// Time without progress after which the writing of a batch of casts is given up.
    pub write_timeout: Duration,
    /// Delay after the first failed connection attempt of a writer. It doubles with each further
    /// failure.
    pub backoff_min: Duration,
    /// Maximum delay between connection attempts of a writer.
    pub backoff_max: Duration,
}

impl PeerClientConfig {
    /// Creates a configuration with default limits.
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
