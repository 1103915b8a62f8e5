//! One end of a connection between VMs as a state machine without I/O.

use camphordale_fleet::PeerMessage;
use camphordale_wire::{
    FrameKind,
    HELLO_LEN,
    Handshake,
    Keyring,
    NONCE_LEN,
    Role,
    Session, //
};

/// Longest message: a snapshot of the whole state.
const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// One end of a connection: handshake, then sealed messages. Messages that are sent before the
/// handshake is complete are queued.
pub struct PeerConnection {
    role: Role,
    handshake: Option<Handshake>,
    session: Option<Session>,
    ready: bool,
    queue: Vec<Vec<u8>>,
}

/// A protocol error after which the connection must be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("connection between VMs: {0}")]
pub struct PeerError(pub Box<str>);

impl PeerConnection {
    /// Starts a handshake and appends its hello to `output`. `nonce` must be random.
    pub fn new(
        role: Role,
        keyring: &Keyring,
        nonce: [u8; NONCE_LEN],
        output: &mut Vec<u8>,
    ) -> PeerConnection {
        let handshake = Handshake::new(role, 0, keyring, nonce);
        output.extend_from_slice(&handshake.hello());
        PeerConnection {
            role,
            handshake: Some(handshake),
            session: None,
            ready: false,
            queue: Vec::new(),
        }
    }

    /// Whether the handshake is complete.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether a message has been received in part.
    pub fn is_receiving(&self) -> bool {
        let session = self.session.as_ref();
        self.ready && session.is_some_and(|session| session.decoder.pending() > 0)
    }

    /// Number of bytes that wait until the handshake is complete.
    pub fn queued_bytes(&self) -> usize {
        self.queue.iter().map(Vec::len).sum()
    }

    /// Seals an encoded message into `output`, or queues it until the handshake is complete.
    ///
    /// # Errors
    ///
    /// [`PeerError`] if the message is too long.
    pub fn send(&mut self, payload: &[u8], output: &mut Vec<u8>) -> Result<(), PeerError> {
        if !self.ready {
            self.queue.push(payload.to_vec());
            return Ok(());
        }
        self.seal(FrameKind::Cast, payload, output)
    }

    fn seal(
        &mut self,
        kind: FrameKind,
        payload: &[u8],
        output: &mut Vec<u8>,
    ) -> Result<(), PeerError> {
        match &mut self.session {
            Some(session) => session
                .encoder
                .encode(kind, payload, output)
                .map_err(peer_error),
            None => Err(PeerError("session is not established".into())),
        }
    }

    /// Consumes bytes from `input` and returns the complete messages.
    ///
    /// # Errors
    ///
    /// [`PeerError`] if the peer does not hold the cluster key, or a message cannot be decoded.
    pub fn advance(
        &mut self,
        input: &mut Vec<u8>,
        output: &mut Vec<u8>,
        keyring: &Keyring,
    ) -> Result<Vec<PeerMessage>, PeerError> {
        if self.session.is_none() {
            let Some((hello, _)) = input.split_first_chunk::<HELLO_LEN>() else {
                return Ok(Vec::new());
            };
            let Some(handshake) = self.handshake.take() else {
                return Err(PeerError("handshake has failed already".into()));
            };
            let session = handshake
                .finish(hello, keyring, MAX_MESSAGE_BYTES)
                .map_err(peer_error)?;
            self.session = Some(session);
            input.drain(..HELLO_LEN);
            if self.role == Role::Client {
                self.seal(FrameKind::Ready, b"", output)?;
            }
        }
        let mut messages = Vec::new();
        let Some(session) = &mut self.session else {
            return Ok(messages);
        };
        session.decoder.push(input);
        input.clear();
        loop {
            let Some(session) = &mut self.session else {
                return Ok(messages);
            };
            let Some(frame) = session.decoder.next_frame().map_err(peer_error)? else {
                return Ok(messages);
            };
            match frame.kind {
                FrameKind::Ready if !self.ready => self.on_ready(output)?,
                FrameKind::Cast if self.ready => {
                    messages.push(PeerMessage::decode(&frame.payload).map_err(peer_error)?);
                }
                kind => {
                    return Err(PeerError(
                        format!("unexpected frame of kind {kind:?}").into(),
                    ));
                }
            }
        }
    }

    /// Completes the handshake: the peer has proved that it holds the key.
    fn on_ready(&mut self, output: &mut Vec<u8>) -> Result<(), PeerError> {
        self.ready = true;
        if let Some(session) = &mut self.session {
            session.decoder.set_limit(MAX_MESSAGE_BYTES);
        }
        if self.role == Role::Server {
            self.seal(FrameKind::Ready, b"", output)?;
        }
        for payload in std::mem::take(&mut self.queue) {
            self.seal(FrameKind::Cast, &payload, output)?;
        }
        Ok(())
    }
}

fn peer_error<Failure>(failure: Failure) -> PeerError
where
    Failure: std::fmt::Display,
{
    PeerError(failure.to_string().into())
}
