//! Frames of an established connection.

use crate::tag::{
    self,
    TAG_LEN, //
};

/// Length of the header of a frame: payload length, kind and sequence number.
pub const HEADER_LEN: usize = 4 + 1 + 8;

/// Bytes that a frame adds to its payload.
pub const FRAME_OVERHEAD: usize = HEADER_LEN + TAG_LEN;

/// An empty buffer that grew beyond this for a long frame is given back.
const KEEP: usize = 64 * 1024;

/// What a frame is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FrameKind {
    /// Proves knowledge of the key at the end of the handshake. Has no payload.
    Ready,
    /// A request that awaits a [`FrameKind::Reply`].
    Call,
    /// The response to the [`FrameKind::Call`] before it.
    Reply,
    /// A message without response.
    Cast,
    /// Number of casts received on the connection so far (`u64`, big endian).
    Pong,
}

impl FrameKind {
    fn code(self) -> u8 {
        match self {
            FrameKind::Ready => 0,
            FrameKind::Call => 1,
            FrameKind::Reply => 2,
            FrameKind::Cast => 3,
            FrameKind::Pong => 4,
        }
    }

    fn from_code(code: u8) -> Option<Self> {
        [
            FrameKind::Ready,
            FrameKind::Call,
            FrameKind::Reply,
            FrameKind::Cast,
            FrameKind::Pong,
        ]
        .into_iter()
        .find(|kind| kind.code() == code)
    }
}

/// A frame whose tag and sequence number were right.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// What the frame is for.
    pub kind: FrameKind,
    /// Content.
    pub payload: Vec<u8>,
}

/// A frame that cannot be sent, or bytes that are not the next frame. The connection must be
/// closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The payload is longer than allowed.
    #[error("frame of {length} bytes is over the limit of {limit}")]
    Length {
        /// Length of the payload in bytes.
        length: usize,
        /// Longest payload in bytes.
        limit: usize,
    },
    /// The kind of the frame is not known.
    #[error("frame of unknown kind {0}")]
    Kind(u8),
    /// The sequence number is not the next one.
    #[error("frame has sequence number {found}, expected {expected}")]
    Sequence {
        /// The next sequence number.
        expected: u64,
        /// The sequence number in the frame.
        found: u64,
    },
    /// The tag does not fit the content.
    #[error("frame {sequence} has a wrong tag")]
    Tag {
        /// Sequence number of the frame.
        sequence: u64,
    },
}

impl FrameError {
    /// Returns a short name for counters.
    pub fn reason(&self) -> &'static str {
        match self {
            FrameError::Length { .. } => "length",
            FrameError::Kind(_) => "kind",
            FrameError::Sequence { .. } => "sequence",
            FrameError::Tag { .. } => "tag",
        }
    }
}

/// Seals the frames of one direction of a connection.
pub struct FrameEncoder {
    key: [u8; 32],
    sequence: u64,
    limit: usize,
}

impl FrameEncoder {
    pub(crate) fn new(key: [u8; 32], limit: usize) -> Self {
        FrameEncoder {
            key,
            sequence: 0,
            limit,
        }
    }

    /// Appends a frame to `out`.
    ///
    /// # Errors
    ///
    /// [`FrameError::Length`] if the payload is over the limit. Nothing is appended then, and
    /// the connection stays usable.
    pub fn encode(
        &mut self,
        kind: FrameKind,
        payload: &[u8],
        out: &mut Vec<u8>,
    ) -> Result<(), FrameError> {
        let length = match u32::try_from(payload.len()) {
            Ok(length) if payload.len() <= self.limit => length,
            _ => {
                return Err(FrameError::Length {
                    length: payload.len(),
                    limit: self.limit,
                });
            }
        };
        let mut header = [0; HEADER_LEN];
        header[..4].copy_from_slice(&length.to_be_bytes());
        header[4] = kind.code();
        header[5..].copy_from_slice(&self.sequence.to_be_bytes());
        self.sequence += 1;
        out.reserve(FRAME_OVERHEAD + payload.len());
        out.extend_from_slice(&header);
        out.extend_from_slice(payload);
        out.extend_from_slice(&tag::tag(&self.key, &[&header, payload]));
        Ok(())
    }
}

/// Collects received bytes and takes frames out of them.
///
/// The buffer never holds more than twice a frame of the greatest length plus the bytes of one
/// [`FrameDecoder::push`], provided that the caller takes all frames out between pushes.
pub struct FrameDecoder {
    key: [u8; 32],
    sequence: u64,
    limit: usize,
    buffer: Vec<u8>,
    start: usize,
}

impl FrameDecoder {
    pub(crate) fn new(key: [u8; 32], limit: usize) -> Self {
        FrameDecoder {
            key,
            sequence: 0,
            limit,
            buffer: Vec::new(),
            start: 0,
        }
    }

    /// Sets the longest payload in bytes.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        // At least as many bytes are consumed as are moved, so the cost per byte is constant.
        if 2 * self.start >= self.buffer.len() {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of received bytes that are not yet part of a frame.
    pub fn pending(&self) -> usize {
        self.buffer.len() - self.start
    }

    /// Takes the next frame out, if all of it was received. The header is checked as soon as it
    /// is there, before the payload is awaited.
    ///
    /// # Errors
    ///
    /// [`FrameError`] if the bytes are not the next frame. The connection must be closed.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let rest = &self.buffer[self.start..];
        let Some((header, rest)) = rest.split_first_chunk::<HEADER_LEN>() else {
            return Ok(None);
        };
        let [l0, l1, l2, l3, code, sequence @ ..] = *header;
        let length = u32::from_be_bytes([l0, l1, l2, l3]) as usize;
        let sequence = u64::from_be_bytes(sequence);
        if length > self.limit {
            return Err(FrameError::Length {
                length,
                limit: self.limit,
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
        let expected = tag::tag(&self.key, &[header, payload]);
        if !tag::matches(&expected, &rest[..TAG_LEN]) {
            return Err(FrameError::Tag { sequence });
        }
        let payload = payload.to_vec();
        self.sequence += 1;
        self.start += FRAME_OVERHEAD + length;
        if self.start == self.buffer.len() {
            self.buffer.clear();
            self.start = 0;
            self.buffer.shrink_to(KEEP);
        }
        Ok(Some(Frame { kind, payload }))
    }
}
