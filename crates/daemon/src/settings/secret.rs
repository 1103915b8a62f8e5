//! Keys in the settings, which are hidden in debug output, and key files.

use std::{fmt, fs, io, path::Path};

use camphordale_types::Digest;
use serde::{Deserialize, Serialize, Serializer};

/// Minimum length of a bearer key, in hexadecimal digits.
const MIN_BEARER_DIGITS: usize = 32;

/// Text of a key in the settings. Debug output and serialization hide it.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct SecretText(Box<str>);

impl SecretText {
    /// Wraps `text`.
    pub fn new(text: &str) -> Self {
        SecretText(text.trim().into())
    }

    /// Decodes the text as a 32-byte key in hexadecimal.
    pub(crate) fn decode(&self) -> Option<[u8; 32]> {
        if !self.is_hex() {
            return None;
        }
        let digest: Digest = self.0.parse().ok()?;
        Some(digest.0)
    }

    /// Returns the text as a bearer key, if it is one.
    pub(crate) fn to_bearer_key(&self) -> Option<BearerKey> {
        (self.is_hex() && self.0.len() >= MIN_BEARER_DIGITS).then(|| BearerKey::new(&self.0))
    }

    fn is_hex(&self) -> bool {
        self.0.bytes().all(|b| b.is_ascii_hexdigit())
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("<hidden>")
    }
}

impl Serialize for SecretText {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str("<hidden>")
    }
}

/// A 32-byte key that VMs share. Debug output hides it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(pub [u8; 32]);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(<hidden>)")
    }
}

/// A bearer key. Only its digest is stored, and the comparison takes constant time.
///
/// # Examples
///
/// ```
/// use camphordale_daemon::settings::BearerKey;
///
/// let key = BearerKey::new("00112233445566778899aabbccddeeff");
/// assert!(key.accepts("Bearer 00112233445566778899AABBCCDDEEFF"));
/// assert!(!key.accepts("Bearer 00112233445566778899aabbccddee00"));
/// assert!(!key.accepts("00112233445566778899aabbccddeeff"));
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct BearerKey(blake3::Hash);

impl BearerKey {
    /// Returns the key with the hexadecimal digits `text`.
    pub fn new(text: &str) -> Self {
        BearerKey(blake3::hash(text.trim().to_ascii_lowercase().as_bytes()))
    }

    /// Tells whether the value of an `Authorization` header carries this key.
    pub fn accepts(&self, header: &str) -> bool {
        match header.split_once(' ') {
            Some((scheme, key)) if scheme.eq_ignore_ascii_case("bearer") => {
                BearerKey::new(key) == *self
            }
            _ => false,
        }
    }
}

impl fmt::Debug for BearerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("BearerKey(<hidden>)")
    }
}

/// Reads the keys in `file`, one per line. Empty lines and lines that start with `#` are skipped.
///
/// # Errors
///
/// Fails if the file cannot be read, contains no key, or is accessible to other users.
pub(crate) fn read_keys(file: &Path) -> Result<Vec<SecretText>, io::Error> {
    check_private(file)?;
    let keys: Vec<_> = fs::read_to_string(file)?
        .lines()
        .map(str::trim)
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
        .map(SecretText::new)
        .collect();
    if keys.is_empty() {
        return Err(io::Error::other("the file contains no key"));
    }
    Ok(keys)
}

/// Checks that only the owner of `file` can access it.
///
/// # Errors
///
/// Fails if the file does not exist or its mode gives permissions to the group or to others.
pub(crate) fn check_private(file: &Path) -> Result<(), io::Error> {
    let metadata = fs::metadata(file)?;
    #[cfg(unix)]
    {
        use std::os::unix::fs::PermissionsExt;

        let mode = metadata.permissions().mode() & 0o777;
        if mode & 0o077 != 0 {
            return Err(io::Error::new(
                io::ErrorKind::PermissionDenied,
                format!("mode {mode:04o} lets others than the owner use the file; set it to 0600"),
            ));
        }
    }
    #[cfg(not(unix))]
    let _ = metadata;
    Ok(())
}
