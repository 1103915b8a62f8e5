//! Cluster keys and their rotation.

use std::fmt;

use crate::tag;

const DATAGRAM_PURPOSE: &str = "camphordale datagram 1";

/// A secret that all VMs of a cluster share.
///
/// # Examples
///
/// ```
/// use camphordale_wire::ClusterKey;
///
/// let key = ClusterKey::from_hex(3, &"ab".repeat(32))?;
/// assert_eq!(key.secret, [0xab; 32]);
/// assert_eq!(format!("{key:?}"), "ClusterKey { id: 3, .. }");
/// # Ok::<(), camphordale_wire::KeyError>(())
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterKey {
    /// Number that names the key on the wire.
    pub id: u8,
    /// The secret.
    pub secret: [u8; 32],
}

impl ClusterKey {
    /// Parses a secret of 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// [`KeyError::Hex`] if `text` has another length or another character. The error does not
    /// contain the text.
    pub fn from_hex(id: u8, text: &str) -> Result<Self, KeyError> {
        let digits = text.as_bytes();
        let mut secret = [0; 32];
        if digits.len() != 2 * secret.len() {
            return Err(KeyError::Hex { id });
        }
        for (byte, pair) in secret.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = match (nibble(pair[0]), nibble(pair[1])) {
                (Some(high), Some(low)) => high << 4 | low,
                _ => return Err(KeyError::Hex { id }),
            };
        }
        Ok(ClusterKey { id, secret })
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClusterKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

fn nibble(digit: u8) -> Option<u8> {
    char::from(digit).to_digit(16).map(|value| value as u8)
}

/// The keys that a VM accepts, and the one it sends with.
///
/// Keys rotate in three steps: add the new key everywhere, send with it everywhere, remove the
/// old key everywhere.
///
/// # Examples
///
/// ```
/// use camphordale_wire::{ClusterKey, Keyring};
///
/// let old = ClusterKey { id: 1, secret: [1; 32] };
/// let new = ClusterKey { id: 2, secret: [2; 32] };
/// let keyring = Keyring::new(vec![old, new], 2)?;
/// assert_eq!(keyring.sending(), 2);
/// # Ok::<(), camphordale_wire::KeyError>(())
/// ```
#[derive(Clone, Debug)]
pub struct Keyring {
    keys: Vec<Entry>,
    send: u8,
}

#[derive(Clone)]
struct Entry {
    key: ClusterKey,
    datagram: [u8; 32],
}

impl fmt::Debug for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.key.fmt(f)
    }
}

/// Keys that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// A secret is not 64 hexadecimal digits.
    #[error("cluster key {id} is not 64 hexadecimal digits")]
    Hex {
        /// Id of the key.
        id: u8,
    },
    /// Two keys have the same id.
    #[error("cluster key {id} is given twice")]
    Duplicate {
        /// Id of the keys.
        id: u8,
    },
    /// The key to send with is not among the keys.
    #[error("cluster key {id} is to be sent with, but is not given")]
    Missing {
        /// Id of the missing key.
        id: u8,
    },
}

impl Keyring {
    /// Checks the ids of the keys.
    ///
    /// # Errors
    ///
    /// [`KeyError::Duplicate`] if two keys have one id, [`KeyError::Missing`] if no key has the
    /// id `send`.
    pub fn new(keys: Vec<ClusterKey>, send: u8) -> Result<Self, KeyError> {
        for (at, key) in keys.iter().enumerate() {
            if keys[..at].iter().any(|other| other.id == key.id) {
                return Err(KeyError::Duplicate { id: key.id });
            }
        }
        if !keys.iter().any(|key| key.id == send) {
            return Err(KeyError::Missing { id: send });
        }
        let keys = keys
            .into_iter()
            .map(|key| Entry {
                datagram: tag::derive(&key.secret, DATAGRAM_PURPOSE, &[]),
                key,
            })
            .collect();
        Ok(Keyring { keys, send })
    }

    /// Returns the id of the key that is used to send.
    pub fn sending(&self) -> u8 {
        self.send
    }

    /// Returns the secret of a key, if the key is accepted.
    pub(crate) fn secret(&self, id: u8) -> Option<&[u8; 32]> {
        self.entry(id).map(|entry| &entry.key.secret)
    }

    /// Returns the datagram key that is derived from a key, if the key is accepted.
    pub(crate) fn datagram_key(&self, id: u8) -> Option<&[u8; 32]> {
        self.entry(id).map(|entry| &entry.datagram)
    }

    fn entry(&self, id: u8) -> Option<&Entry> {
        self.keys.iter().find(|entry| entry.key.id == id)
    }
}
