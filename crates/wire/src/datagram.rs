//! Authenticated datagrams.

use crate::{
    FORMAT_VERSION,
    key::Keyring,
    mac::{
        self,
        TAG_LEN, //
    }, //
};

const DATAGRAM_HEADER_LEN: usize = 1 + 1 + 4 + 8 + 8;

/// Length of the header and the tag of a datagram in bytes.
pub const DATAGRAM_OVERHEAD: usize = DATAGRAM_HEADER_LEN + TAG_LEN;

/// Maximum payload of a datagram in bytes. With [`DATAGRAM_OVERHEAD`] and the UDP and IP headers, a
/// packet stays below the usual MTU of 1,500 bytes, so datagrams are not fragmented.
pub const MAX_DATAGRAM_PAYLOAD: usize = 1_200;

/// A message sent over UDP.
///
/// The tag does not cover the receiver: a payload that is only meant for one VM must contain the
/// number of that VM.
///
/// # Examples
///
/// ```
/// use camphordale_wire::{ClusterKey, Datagram, Keyring};
///
/// let keyring = Keyring::new(vec![ClusterKey { id: 1, secret: [7; 32] }], 1)?;
/// let sent = Datagram { vm: 4, incarnation: 9, counter: 1, payload: b"renew".to_vec() };
/// let bytes = sent.encode(&keyring)?;
/// assert_eq!(Datagram::decode(&bytes, &keyring)?, sent);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Number of the sender's VM.
    pub vm: u32,
    /// Incarnation of the sender. Increases with each start of the sender.
    pub incarnation: u64,
    /// Increases with each datagram of an incarnation.
    pub counter: u64,
    /// Payload.
    pub payload: Vec<u8>,
}

/// Why a datagram was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// The datagram is shorter than [`DATAGRAM_OVERHEAD`], or its payload is longer than
    /// [`MAX_DATAGRAM_PAYLOAD`].
    #[error("datagram payload length is not between 0 and {MAX_DATAGRAM_PAYLOAD} bytes")]
    Length,
    /// The sender uses a different format version.
    #[error("datagram has format version {found}, expected {FORMAT_VERSION}")]
    Version {
        /// Format version of the sender.
        found: u8,
    },
    /// The keyring does not contain the sender's key.
    #[error("datagram uses unknown cluster key {id}")]
    UnknownKey {
        /// Id of the key.
        id: u8,
    },
    /// The authentication tag does not match the content.
    #[error("datagram authentication tag does not match")]
    Tag,
}

impl DatagramError {
    /// Returns the label of the error in metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            DatagramError::Length => "length",
            DatagramError::Version { .. } => "version",
            DatagramError::UnknownKey { .. } => "unknown_key",
            DatagramError::Tag => "tag",
        }
    }
}

impl Datagram {
    /// Encodes the datagram and authenticates it with the sending key.
    ///
    /// # Errors
    ///
    /// [`DatagramError::Length`] if the payload is longer than [`MAX_DATAGRAM_PAYLOAD`].
    pub fn encode(&self, keyring: &Keyring) -> Result<Vec<u8>, DatagramError> {
        if self.payload.len() > MAX_DATAGRAM_PAYLOAD {
            return Err(DatagramError::Length);
        }
        let id = keyring.send_key_id();
        let key = keyring
            .datagram_key(id)
            .ok_or(DatagramError::UnknownKey { id })?;
        let mut bytes = Vec::with_capacity(DATAGRAM_OVERHEAD + self.payload.len());
        bytes.extend_from_slice(&[FORMAT_VERSION, id]);
        bytes.extend_from_slice(&self.vm.to_be_bytes());
        bytes.extend_from_slice(&self.incarnation.to_be_bytes());
        bytes.extend_from_slice(&self.counter.to_be_bytes());
        bytes.extend_from_slice(&self.payload);
        let tag = mac::compute(key, &[&bytes]);
        bytes.extend_from_slice(&tag);
        Ok(bytes)
    }

    /// Authenticates and decodes a datagram. Does not detect replays; see
    /// [`crate::ReplayGuard`].
    ///
    /// # Errors
    ///
    /// [`DatagramError`] if the datagram is not in this format, or was not authenticated with a
    /// key of `keyring`.
    pub fn decode(bytes: &[u8], keyring: &Keyring) -> Result<Self, DatagramError> {
        let (Some((header, _)), Some((authenticated, found))) = (
            bytes.split_first_chunk::<DATAGRAM_HEADER_LEN>(),
            bytes.split_last_chunk::<TAG_LEN>(),
        ) else {
            return Err(DatagramError::Length);
        };
        let payload = authenticated
            .get(DATAGRAM_HEADER_LEN..)
            .filter(|payload| payload.len() <= MAX_DATAGRAM_PAYLOAD)
            .ok_or(DatagramError::Length)?;
        let [version, id, v0, v1, v2, v3, numbers @ ..] = *header;
        if version != FORMAT_VERSION {
            return Err(DatagramError::Version { found: version });
        }
        let key = keyring
            .datagram_key(id)
            .ok_or(DatagramError::UnknownKey { id })?;
        if !mac::matches(&mac::compute(key, &[authenticated]), found) {
            return Err(DatagramError::Tag);
        }
        let [i0, i1, i2, i3, i4, i5, i6, i7, counter @ ..] = numbers;
        Ok(Datagram {
            vm: u32::from_be_bytes([v0, v1, v2, v3]),
            incarnation: u64::from_be_bytes([i0, i1, i2, i3, i4, i5, i6, i7]),
            counter: u64::from_be_bytes(counter),
            payload: payload.to_vec(),
        })
    }
}
