//! Authenticated datagrams.

use crate::{
    FORMAT_VERSION,
    key::Keyring,
    tag::{
        self,
        TAG_LEN, //
    }, //
};

const DATAGRAM_HEADER: usize = 1 + 1 + 4 + 8 + 8;

/// Bytes that a datagram adds to its payload.
pub const DATAGRAM_OVERHEAD: usize = DATAGRAM_HEADER + TAG_LEN;

/// Longest payload of a datagram in bytes. With the overhead and the headers of UDP and IP it
/// stays below 1,500 bytes, so datagrams are not fragmented.
pub const MAX_DATAGRAM_PAYLOAD: usize = 1_200;

/// One message over UDP.
///
/// A datagram is not bound to its receiver: a payload that means something else to another VM
/// must name the VM it is for.
///
/// # Examples
///
/// ```
/// use camphordale_wire::{ClusterKey, Datagram, Keyring};
///
/// let keyring = Keyring::new(vec![ClusterKey { id: 1, secret: [7; 32] }], 1)?;
/// let sent = Datagram { vm: 4, incarnation: 9, counter: 1, payload: b"renew".to_vec() };
/// let bytes = sent.seal(&keyring)?;
/// assert_eq!(Datagram::open(&bytes, &keyring)?, sent);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Number of the sending VM.
    pub vm: u32,
    /// Rises each time the sender starts.
    pub incarnation: u64,
    /// Rises with each datagram of the incarnation.
    pub counter: u64,
    /// Content.
    pub payload: Vec<u8>,
}

/// A datagram that is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// The datagram is shorter than its fixed parts, or its payload is longer than allowed.
    #[error("datagram has a payload outside 0 to {MAX_DATAGRAM_PAYLOAD} bytes")]
    Length,
    /// The sender has another format version.
    #[error("datagram has format version {found}, expected {FORMAT_VERSION}")]
    Version {
        /// Version of the sender.
        found: u8,
    },
    /// The sender uses a key that is not accepted here.
    #[error("datagram names cluster key {id}, which is not accepted")]
    UnknownKey {
        /// Id of the key.
        id: u8,
    },
    /// The tag does not fit the content.
    #[error("datagram has a wrong tag")]
    Tag,
}

impl DatagramError {
    /// Returns a short name for counters.
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
    /// Encodes the datagram with the sending key.
    ///
    /// # Errors
    ///
    /// [`DatagramError::Length`] if the payload is longer than [`MAX_DATAGRAM_PAYLOAD`].
    pub fn seal(&self, keyring: &Keyring) -> Result<Vec<u8>, DatagramError> {
        if self.payload.len() > MAX_DATAGRAM_PAYLOAD {
            return Err(DatagramError::Length);
        }
        let id = keyring.sending();
        let key = keyring
            .datagram_key(id)
            .ok_or(DatagramError::UnknownKey { id })?;
        let mut bytes = Vec::with_capacity(DATAGRAM_OVERHEAD + self.payload.len());
        bytes.extend_from_slice(&[FORMAT_VERSION, id]);
        bytes.extend_from_slice(&self.vm.to_be_bytes());
        bytes.extend_from_slice(&self.incarnation.to_be_bytes());
        bytes.extend_from_slice(&self.counter.to_be_bytes());
        bytes.extend_from_slice(&self.payload);
        let tag = tag::tag(key, &[&bytes]);
        bytes.extend_from_slice(&tag);
        Ok(bytes)
    }

    /// Checks and decodes a datagram. Repeats are not noticed here; see
    /// [`crate::ReplayGuard`].
    ///
    /// # Errors
    ///
    /// [`DatagramError`] if the datagram was not sealed with an accepted key in this format.
    pub fn open(bytes: &[u8], keyring: &Keyring) -> Result<Self, DatagramError> {
        let (Some((header, _)), Some((signed, found))) = (
            bytes.split_first_chunk::<DATAGRAM_HEADER>(),
            bytes.split_last_chunk::<TAG_LEN>(),
        ) else {
            return Err(DatagramError::Length);
        };
        let payload = signed
            .get(DATAGRAM_HEADER..)
            .filter(|payload| payload.len() <= MAX_DATAGRAM_PAYLOAD)
            .ok_or(DatagramError::Length)?;
        let [version, id, v0, v1, v2, v3, numbers @ ..] = *header;
        if version != FORMAT_VERSION {
            return Err(DatagramError::Version { found: version });
        }
        let key = keyring
            .datagram_key(id)
            .ok_or(DatagramError::UnknownKey { id })?;
        if !tag::matches(&tag::tag(key, &[signed]), found) {
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
