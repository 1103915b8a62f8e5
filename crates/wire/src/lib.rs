//! Wire format between camphordale processes: authenticated, versioned frames and datagrams. This
//! crate performs no I/O.
//!
//! Start with [`Keyring`], which holds the cluster keys. A TCP connection begins with a
//! [`Handshake`], which yields a [`FrameEncoder`] and a [`FrameDecoder`] for its two directions. A
//! UDP message is a [`Datagram`]; its receiver rejects replays with a [`ReplayGuard`].

mod datagram;
mod frame;
mod handshake;
mod key;
mod mac;
mod replay;

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
pub use mac::TAG_LEN;
pub use replay::{
    ReplayError,
    ReplayGuard,
    ReplayWindow, //
};

/// Version of the frame and datagram formats. Both peers must use the same version.
pub const FORMAT_VERSION: u8 = 1;
