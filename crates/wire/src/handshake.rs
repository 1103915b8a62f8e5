//! Handshake of a TCP connection.

use crate::{
    FORMAT_VERSION,
    frame::{
        FrameDecoder,
        FrameEncoder, //
    },
    key::Keyring,
    mac, //
};

const MAGIC: [u8; 4] = *b"CmpD";
const FRAME_KEY_CONTEXT: &str = "camphordale frames 1";

/// Length of the random part of a hello in bytes.
pub const NONCE_LEN: usize = 16;

/// Length of a hello: magic, format version, VM number, key id and nonce.
pub const HELLO_LEN: usize = 4 + 1 + 4 + 1 + NONCE_LEN;

/// Side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The side that opened the connection.
    Client,
    /// The side that accepted the connection.
    Server,
}

/// Why a hello was rejected. The connection must be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandshakeError {
    /// The hello does not start with the magic number of the protocol.
    #[error("hello does not start with the magic number")]
    Magic,
    /// The peer uses a different format version.
    #[error("hello has format version {found}, expected {FORMAT_VERSION}")]
    Version {
        /// Format version of the peer.
        found: u8,
    },
    /// The keyring does not contain the key that the peer sends with.
    #[error("hello uses unknown cluster key {id}")]
    UnknownKey {
        /// Id of the key.
        id: u8,
    },
}

impl HandshakeError {
    /// Returns the label of the error in metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            HandshakeError::Magic => "magic",
            HandshakeError::Version { .. } => "version",
            HandshakeError::UnknownKey { .. } => "unknown_key",
        }
    }
}

/// One side of a handshake, from its hello until it has received the hello of the peer.
///
/// Both sides send a hello. The key of each direction is derived from the sender's cluster key,
/// the direction and both hellos, so a valid tag authenticates the VM number and is valid for this
/// connection only. The client then sends a [`crate::FrameKind::Ready`] frame. The server verifies
/// it, decides whether to accept the connection, and replies with its own `Ready` frame. The client
/// sends nothing else before it has verified that frame, so a rejected connection never carries a
/// request.
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
    key_id: u8,
}

/// Keys and state of a connection after the exchange of hellos. The peer is authenticated only
/// after `decoder` has returned its first frame.
pub struct Session {
    /// VM number in the hello of the peer.
    pub vm: u32,
    /// Encodes frames to the peer.
    pub encoder: FrameEncoder,
    /// Decodes frames from the peer. Its payload limit is 0, which admits
    /// [`crate::FrameKind::Ready`] only, until the caller raises it.
    pub decoder: FrameDecoder,
}

impl Handshake {
    /// Starts a handshake. `nonce` must be random and must never be reused.
    pub fn new(role: Role, vm: u32, keyring: &Keyring, nonce: [u8; NONCE_LEN]) -> Self {
        let key_id = keyring.send_key_id();
        let mut hello = [0; HELLO_LEN];
        hello[..4].copy_from_slice(&MAGIC);
        hello[4] = FORMAT_VERSION;
        hello[5..9].copy_from_slice(&vm.to_be_bytes());
        hello[9] = key_id;
        hello[10..].copy_from_slice(&nonce);
        Handshake {
            role,
            hello,
            key_id,
        }
    }

    /// Returns the bytes to send to the peer.
    pub fn hello(&self) -> [u8; HELLO_LEN] {
        self.hello
    }

    /// Checks the hello of the peer and derives the keys of both directions. `max_payload` limits
    /// the payload of frames to the peer in bytes.
    ///
    /// # Errors
    ///
    /// [`HandshakeError`] if the peer is not a camphordale process, uses a different format version
    /// or a key that is not in `keyring`.
    pub fn finish(
        self,
        peer: &[u8; HELLO_LEN],
        keyring: &Keyring,
        max_payload: usize,
    ) -> Result<Session, HandshakeError> {
        let [m0, m1, m2, m3, version, v0, v1, v2, v3, id, ..] = *peer;
        if [m0, m1, m2, m3] != MAGIC {
            return Err(HandshakeError::Magic);
        }
        if version != FORMAT_VERSION {
            return Err(HandshakeError::Version { found: version });
        }
        let unknown = |id| HandshakeError::UnknownKey { id };
        let peer_secret = keyring.secret(id).ok_or(unknown(id))?;
        let own_secret = keyring.secret(self.key_id).ok_or(unknown(self.key_id))?;
        let (hellos, own_role, peer_role): ([&[u8]; 2], &[u8], &[u8]) = match self.role {
            Role::Client => ([&self.hello, peer], b"client", b"server"),
            Role::Server => ([peer, &self.hello], b"server", b"client"),
        };
        let [first, second] = hellos;
        let send_key = mac::derive_key(own_secret, FRAME_KEY_CONTEXT, &[own_role, first, second]);
        let receive_key =
            mac::derive_key(peer_secret, FRAME_KEY_CONTEXT, &[peer_role, first, second]);
        Ok(Session {
            vm: u32::from_be_bytes([v0, v1, v2, v3]),
            encoder: FrameEncoder::new(send_key, max_payload),
            decoder: FrameDecoder::new(receive_key, 0),
        })
    }
}
