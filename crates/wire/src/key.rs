//! Cluster keys and key rotation.

use std::fmt;

use crate::mac;

const DATAGRAM_KEY_CONTEXT: &str = "camphordale datagram 1";

/// A secret shared by all VMs of a cluster.
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
    /// Identifies the key on the wire.
    pub id: u8,
    /// The secret.
    pub secret: [u8; 32],
}

impl ClusterKey {
    /// Parses a secret of 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// [`KeyError::Hex`] if `text` has a different length or contains any other character. The
    /// error does not contain the text.
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

/// The keys that a VM accepts, and the key that it sends with.
///
/// Rotate a key in three steps, each on every VM before the next: add the new key, send with the
/// new key, remove the old key.
///
/// # Examples
///
/// ```
/// use camphordale_wire::{ClusterKey, Keyring};
///
/// let old = ClusterKey { id: 1, secret: [1; 32] };
/// let new = ClusterKey { id: 2, secret: [2; 32] };
/// let keyring = Keyring::new(vec![old, new], 2)?;
/// assert_eq!(keyring.send_key_id(), 2);
/// # Ok::<(), camphordale_wire::KeyError>(())
/// ```
#[derive(Clone, Debug)]
pub struct Keyring {
    keys: Vec<KeyringEntry>,
    send_id: u8,
}

#[derive(Clone)]
struct KeyringEntry {
    key: ClusterKey,
    datagram_key: [u8; 32],
}

impl fmt::Debug for KeyringEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.key.fmt(f)
    }
}

/// Why a cluster key or a keyring was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// A secret is not 64 hexadecimal digits.
    #[error("cluster key {id} is not 64 hexadecimal digits")]
    Hex {
        /// Id of the key.
        id: u8,
    },
    /// Two keys have the same id.
    #[error("cluster key {id} is given more than once")]
    Duplicate {
        /// Id of the keys.
        id: u8,
    },
    /// The keyring does not contain the key to send with.
    #[error("cluster key {id} is set as the sending key, but is not in the keyring")]
    Missing {
        /// Id of the missing key.
        id: u8,
    },
}

impl Keyring {
    /// Creates a keyring that sends with the key `send_id`.
    ///
    /// # Errors
    ///
    /// [`KeyError::Duplicate`] if two keys have the same id, [`KeyError::Missing`] if no key has
    /// the id `send_id`.
    pub fn new(keys: Vec<ClusterKey>, send_id: u8) -> Result<Self, KeyError> {
        for (at, key) in keys.iter().enumerate() {
            if keys[..at].iter().any(|other| other.id == key.id) {
                return Err(KeyError::Duplicate { id: key.id });
            }
        }
        if !keys.iter().any(|key| key.id == send_id) {
            return Err(KeyError::Missing { id: send_id });
        }
        let keys = keys
            .into_iter()
            .map(|key| KeyringEntry {
                datagram_key: mac::derive_key(&key.secret, DATAGRAM_KEY_CONTEXT, &[]),
                key,
            })
            .collect();
        Ok(Keyring { keys, send_id })
    }

    /// Returns the id of the key that the VM sends with.
    pub fn send_key_id(&self) -> u8 {
        self.send_id
    }

    /// Returns the secret of key `id`, if the keyring has it.
    pub(crate) fn secret(&self, id: u8) -> Option<&[u8; 32]> {
        self.entry(id).map(|entry| &entry.key.secret)
    }

    /// Returns the datagram key derived from key `id`, if the keyring has it.
    pub(crate) fn datagram_key(&self, id: u8) -> Option<&[u8; 32]> {
        self.entry(id).map(|entry| &entry.datagram_key)
    }

    fn entry(&self, id: u8) -> Option<&KeyringEntry> {
        self.keys.iter().find(|entry| entry.key.id == id)
    }
}
