//! Authenticated, versioned frames and datagrams between camphordale processes, without I/O.
//!
//! Start with [`Keyring`], which holds the cluster keys. A TCP connection begins with a
//! [`Handshake`], which yields a [`FrameEncoder`] and a [`FrameDecoder`] for its two directions. A
//! UDP message is a [`Datagram`]; its receiver checks repeats with a [`ReplayGuard`].

mod datagram;
mod frame;
mod handshake;
mod key;
mod replay;
mod tag;

pub use datagram::{
    DATAGRAM_OVERHEAD,
    Datagram,
    DatagramError,
    MAX_DATAGRAM_PAYLOAD, //
};
pub use frame::{
    FRAME_OVERHEAD,
    Frame,
    FrameDecoder,
    FrameEncoder,
    FrameError,
    FrameKind,
    HEADER_LEN, //
};
pub use handshake::{
    HELLO_LEN,
    Handshake,
    HandshakeError,
    NONCE_LEN,
    Role,
    Session, //
};
pub use key::{
    ClusterKey,
    KeyError,
    Keyring, //
};
pub use replay::{
    ReplayError,
    ReplayGuard,
    ReplayWindow, //
};
pub use tag::TAG_LEN;

/// Version of the formats of frames and datagrams. Both sides must have the same one.
pub const FORMAT_VERSION: u8 = 1;
