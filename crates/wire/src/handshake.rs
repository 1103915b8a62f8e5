//! Handshake of a TCP connection.

use crate::{
    FORMAT_VERSION,
    frame::{
        FrameDecoder,
        FrameEncoder, //
    },
    key::Keyring,
    tag, //
};

const MAGIC: [u8; 4] = *b"CmpD";
const FRAME_PURPOSE: &str = "camphordale frames 1";

/// Length of the random part of a hello in bytes.
pub const NONCE_LEN: usize = 16;

/// Length of a hello: magic, format version, VM number, key id and nonce.
pub const HELLO_LEN: usize = 4 + 1 + 4 + 1 + NONCE_LEN;

/// Which side of a connection a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Opened the connection.
    Client,
    /// Accepted the connection.
    Server,
}

/// A hello that is refused. The connection must be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandshakeError {
    /// The first bytes are not those of a camphordale peer.
    #[error("hello does not start with the magic number")]
    Magic,
    /// The peer has another format version.
    #[error("hello has format version {found}, expected {FORMAT_VERSION}")]
    Version {
        /// Version of the peer.
        found: u8,
    },
    /// The peer sends with a key that is not accepted here.
    #[error("hello names cluster key {id}, which is not accepted")]
    UnknownKey {
        /// Id of the key.
        id: u8,
    },
}

impl HandshakeError {
    /// Returns a short name for counters.
    pub fn reason(&self) -> &'static str {
        match self {
            HandshakeError::Magic => "magic",
            HandshakeError::Version { .. } => "version",
            HandshakeError::UnknownKey { .. } => "unknown_key",
        }
    }
}

/// One side of a handshake that has sent its hello.
///
/// Both sides send a hello. The key of each direction is derived from the sender's cluster key,
/// the direction and both hellos, so a tag proves the VM number and belongs to this connection
/// alone. The client then sends a [`crate::FrameKind::Ready`] frame; the server checks it, decides
/// whether it takes the connection, and answers with its own. The client sends nothing else
/// before it has checked that frame, so a refusal always comes before the first request.
///
/// # Examples
///
/// ```
/// use camphordale_wire::{ClusterKey, FrameKind, Handshake, Keyring, Role};
///
/// let keyring = Keyring::new(vec![ClusterKey { id: 1, secret: [7; 32] }], 1)?;
/// let client = Handshake::new(Role::Client, 10, &keyring, [1; 16]);
/// let server = Handshake::new(Role::Server, 20, &keyring, [2; 16]);
/// let (to_server, to_client) = (client.hello(), server.hello());
/// let mut client = client.finish(&to_client, &keyring, 1024)?;
/// let mut server = server.finish(&to_server, &keyring, 1024)?;
/// assert_eq!((client.vm, server.vm), (20, 10));
///
/// let mut bytes = Vec::new();
/// client.encoder.encode(FrameKind::Ready, b"", &mut bytes)?;
/// server.decoder.push(&bytes);
/// assert_eq!(server.decoder.next_frame()?.map(|frame| frame.kind), Some(FrameKind::Ready));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub struct Handshake {
    role: Role,
    hello: [u8; HELLO_LEN],
    key: u8,
}

/// A connection whose hellos were exchanged. The peer is authenticated only once its first frame
/// has been accepted by `decoder`.
pub struct Session {
    /// VM number that the peer claims.
    pub vm: u32,
    /// Seals frames to the peer.
    pub encoder: FrameEncoder,
    /// Opens frames of the peer. Its limit is 0, enough for [`crate::FrameKind::Ready`], until the
    /// caller raises it.
    pub decoder: FrameDecoder,
}

impl Handshake {
    /// Starts a handshake. `nonce` must be random and must not be used again.
    pub fn new(role: Role, vm: u32, keyring: &Keyring, nonce: [u8; NONCE_LEN]) -> Self {
        let key = keyring.sending();
        let mut hello = [0; HELLO_LEN];
        hello[..4].copy_from_slice(&MAGIC);
        hello[4] = FORMAT_VERSION;
        hello[5..9].copy_from_slice(&vm.to_be_bytes());
        hello[9] = key;
        hello[10..].copy_from_slice(&nonce);
        Handshake { role, hello, key }
    }

    /// Returns the bytes to send to the peer.
    pub fn hello(&self) -> [u8; HELLO_LEN] {
        self.hello
    }

    /// Checks the hello of the peer and derives the keys of both directions. `limit` bounds the
    /// payload of frames to the peer in bytes.
    ///
    /// # Errors
    ///
    /// [`HandshakeError`] if the peer is not a camphordale process, has another format version or
    /// uses a key that is not in `keyring`.
    pub fn finish(
        self,
        peer: &[u8; HELLO_LEN],
        keyring: &Keyring,
        limit: usize,
    ) -> Result<Session, HandshakeError> {
        let [m0, m1, m2, m3, version, v0, v1, v2, v3, id, ..] = *peer;
        if [m0, m1, m2, m3] != MAGIC {
            return Err(HandshakeError::Magic);
        }
        if version != FORMAT_VERSION {
            return Err(HandshakeError::Version { found: version });
        }
        let unknown = |id| HandshakeError::UnknownKey { id };
        let theirs = keyring.secret(id).ok_or(unknown(id))?;
        let ours = keyring.secret(self.key).ok_or(unknown(self.key))?;
        let (hellos, out, into): ([&[u8]; 2], &[u8], &[u8]) = match self.role {
            Role::Client => ([&self.hello, peer], b"client", b"server"),
            Role::Server => ([peer, &self.hello], b"server", b"client"),
        };
        let [first, second] = hellos;
        let sealing = tag::derive(ours, FRAME_PURPOSE, &[out, first, second]);
        let opening = tag::derive(theirs, FRAME_PURPOSE, &[into, first, second]);
        Ok(Session {
            vm: u32::from_be_bytes([v0, v1, v2, v3]),
            encoder: FrameEncoder::new(sealing, limit),
            decoder: FrameDecoder::new(opening, 0),
        })
    }
}
