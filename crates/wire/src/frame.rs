//! Frames of an established connection, and their encoder and decoder.

use crate::mac::{
    self,
    TAG_LEN, //
};

/// Length of a frame header in bytes: payload length, kind and sequence number.
pub const HEADER_LEN: usize = 4 + 1 + 8;

/// Length of the header and the tag of a frame in bytes.
pub const FRAME_OVERHEAD: usize = HEADER_LEN + TAG_LEN;

/// Capacity in bytes to which an empty buffer is shrunk after a long frame.
const RETAINED_CAPACITY: usize = 64 * 1024;

/// Type of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FrameKind {
    /// Proves knowledge of the key at the end of the handshake. Has an empty payload.
    Ready,
    /// A request that expects a [`FrameKind::Reply`].
    Call,
    /// The reply to the preceding [`FrameKind::Call`].
    Reply,
    /// A one-way message.
    Cast,
    /// Acknowledges casts: the number received on the connection so far (`u64`, big endian).
    Ack,
}

impl FrameKind {
    fn code(self) -> u8 {
        match self {
            FrameKind::Ready => 0,
            FrameKind::Call => 1,
            FrameKind::Reply => 2,
            FrameKind::Cast => 3,
            FrameKind::Ack => 4,
        }
    }

    fn from_code(code: u8) -> Option<Self> {
        [
            FrameKind::Ready,
            FrameKind::Call,
            FrameKind::Reply,
            FrameKind::Cast,
            FrameKind::Ack,
        ]
        .into_iter()
        .find(|kind| kind.code() == code)
    }
}

/// A frame whose tag and sequence number were verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Type of the frame.
    pub kind: FrameKind,
    /// Payload.
    pub payload: Vec<u8>,
}

/// Why a frame cannot be sent, or why received bytes are not the next frame. After an error of
/// [`FrameDecoder::next_frame`] the connection must be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The payload exceeds the limit.
    #[error("frame payload of {length} bytes exceeds the limit of {limit} bytes")]
    Length {
        /// Length of the payload in bytes.
        length: usize,
        /// Maximum payload in bytes.
        limit: usize,
    },
    /// The kind of the frame is unknown.
    #[error("unknown frame kind {0}")]
    Kind(u8),
    /// The sequence number is not the next one.
    #[error("unexpected frame sequence number {found}, expected {expected}")]
    Sequence {
        /// The expected sequence number.
        expected: u64,
        /// The sequence number in the frame.
        found: u64,
    },
    /// The authentication tag does not match the content.
    #[error("authentication tag of frame {sequence} does not match")]
    Tag {
        /// Sequence number of the frame.
        sequence: u64,
    },
}

impl FrameError {
    /// Returns the label of the error in metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            FrameError::Length { .. } => "length",
            FrameError::Kind(_) => "kind",
            FrameError::Sequence { .. } => "sequence",
            FrameError::Tag { .. } => "tag",
        }
    }
}

/// Encodes and authenticates the frames of one direction of a connection.
pub struct FrameEncoder {
    key: [u8; 32],
    sequence: u64,
    max_payload: usize,
}

impl FrameEncoder {
    pub(crate) fn new(key: [u8; 32], max_payload: usize) -> Self {
        FrameEncoder {
            key,
            sequence: 0,
            max_payload,
        }
    }

    /// Appends a frame to `output`.
    ///
    /// # Errors
    ///
    /// [`FrameError::Length`] if the payload exceeds the limit. Nothing is appended in that case,
    /// and the connection remains usable.
    pub fn encode(
        &mut self,
        kind: FrameKind,
        payload: &[u8],
        output: &mut Vec<u8>,
    ) -> Result<(), FrameError> {
        let length = match u32::try_from(payload.len()) {
            Ok(length) if payload.len() <= self.max_payload => length,
            _ => {
                return Err(FrameError::Length {
                    length: payload.len(),
                    limit: self.max_payload,
                });
            }
        };
        let mut header = [0; HEADER_LEN];
        header[..4].copy_from_slice(&length.to_be_bytes());
        header[4] = kind.code();
        header[5..].copy_from_slice(&self.sequence.to_be_bytes());
        self.sequence += 1;
        output.reserve(FRAME_OVERHEAD + payload.len());
        output.extend_from_slice(&header);
        output.extend_from_slice(payload);
        output.extend_from_slice(&mac::compute(&self.key, &[&header, payload]));
        Ok(())
    }
}

/// Buffers received bytes and decodes frames from them.
///
/// The buffer never holds more than two frames of the maximum length plus the bytes of one
/// [`FrameDecoder::push`], provided that the caller takes all frames between pushes.
pub struct FrameDecoder {
    key: [u8; 32],
    sequence: u64,
    max_payload: usize,
    buffer: Vec<u8>,
    consumed: usize,
}

impl FrameDecoder {
    pub(crate) fn new(key: [u8; 32], max_payload: usize) -> Self {
        FrameDecoder {
            key,
            sequence: 0,
            max_payload,
            buffer: Vec::new(),
            consumed: 0,
        }
    }

    /// Sets the maximum payload in bytes.
    pub fn set_limit(&mut self, max_payload: usize) {
        self.max_payload = max_payload;
    }

    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        // Compacts only if at least as many bytes were consumed as have to be moved, so the
        // amortized cost per byte is constant.
        if 2 * self.consumed >= self.buffer.len() {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of buffered bytes that were not yet returned as a frame.
    pub fn pending(&self) -> usize {
        self.buffer.len() - self.consumed
    }

    /// Returns the kind of the frame of which a part was received. It is not authenticated before
    /// the whole frame is.
    pub fn pending_kind(&self) -> Option<FrameKind> {
        let header = self.buffer[self.consumed..].first_chunk::<HEADER_LEN>()?;
        FrameKind::from_code(header[4])
    }

    /// Returns the next frame, if all of it was received. The header is checked as soon as it is
    /// complete, before the payload has arrived.
    ///
    /// # Errors
    ///
    /// [`FrameError`] if the bytes are not the next frame. The connection must be closed.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let rest = &self.buffer[self.consumed..];
        let Some((header, rest)) = rest.split_first_chunk::<HEADER_LEN>() else {
            return Ok(None);
        };
        let [l0, l1, l2, l3, code, sequence @ ..] = *header;
        let length = u32::from_be_bytes([l0, l1, l2, l3]) as usize;
        let sequence = u64::from_be_bytes(sequence);
        if length > self.max_payload {
            return Err(FrameError::Length {
                length,
                limit: self.max_payload,
            });
        }
        let kind = FrameKind::from_code(code).ok_or(FrameError::Kind(code))?;
        if sequence != self.sequence {
            return Err(FrameError::Sequence {
                expected: self.sequence,
                found: sequence,
            });
        }
        if rest.len() < length + TAG_LEN {
            return Ok(None);
        }
        let (payload, rest) = rest.split_at(length);
        let expected = mac::compute(&self.key, &[header, payload]);
        if !mac::matches(&expected, &rest[..TAG_LEN]) {
            return Err(FrameError::Tag { sequence });
        }
        let payload = payload.to_vec();
        self.sequence += 1;
        self.consumed += FRAME_OVERHEAD + length;
        if self.consumed == self.buffer.len() {
            self.buffer.clear();
            self.consumed = 0;
            self.buffer.shrink_to(RETAINED_CAPACITY);
        }
        Ok(Some(Frame { kind, payload }))
    }
}
