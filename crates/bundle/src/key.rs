//! Key files of operators: one line of hexadecimal digits.

use ed25519_dalek::{
    SigningKey,
    VerifyingKey, //
};
use rand::TryRngCore;

use crate::BundleError;

/// Makes a new key from the operating system's randomness.
///
/// # Errors
///
/// [`BundleError::Key`] if the operating system gives no random bytes.
///
/// # Examples
///
/// ```
/// use camphordale_bundle::{generate_key, key_from_text, key_to_text};
///
/// let key = generate_key()?;
/// assert_eq!(key_from_text(&key_to_text(&key))?, key);
/// # Ok::<(), camphordale_bundle::BundleError>(())
/// ```
pub fn generate_key() -> Result<SigningKey, BundleError> {
    let mut secret = [0; 32];
    rand::rngs::OsRng
        .try_fill_bytes(&mut secret)
        .map_err(|_| BundleError::Key("the operating system gives no random bytes"))?;
    Ok(SigningKey::from_bytes(&secret))
}

/// Returns the text of the file that keeps `key`. It contains the secret.
pub fn key_to_text(key: &SigningKey) -> String {
    let mut text = hex_text(key.as_bytes());
    text.push('\n');
    text
}

/// Reads the text of a key file. Errors never contain the text.
///
/// # Errors
///
/// [`BundleError::Key`] if the text is not 64 hexadecimal digits.
pub fn key_from_text(text: &str) -> Result<SigningKey, BundleError> {
    Ok(SigningKey::from_bytes(&hex_bytes(text)?))
}

/// Returns the public half of `key` as it is written in a bundle.
pub fn public_to_text(key: &SigningKey) -> String {
    hex_text(key.verifying_key().as_bytes())
}

/// Reads a public key as it is written in a bundle.
///
/// # Errors
///
/// [`BundleError::Key`] if the text is not 64 hexadecimal digits or not a usable ed25519 point.
pub fn public_from_text(text: &str) -> Result<[u8; 32], BundleError> {
    let bytes = hex_bytes(text)?;
    if is_usable(&bytes) {
        Ok(bytes)
    } else {
        Err(BundleError::Key("not a usable ed25519 public key"))
    }
}

/// Tells whether `key` is an ed25519 point of large order. With a point of small order, anyone
/// can make signatures that verify.
pub(crate) fn is_usable(key: &[u8; 32]) -> bool {
    VerifyingKey::from_bytes(key).is_ok_and(|key| !key.is_weak())
}

pub(crate) fn hex_text(bytes: &[u8; 32]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

pub(crate) fn hex_bytes(text: &str) -> Result<[u8; 32], BundleError> {
    let bad = BundleError::Key("not 64 hexadecimal digits");
    let text = text.trim();
    if text.len() != 64 || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        return Err(bad);
    }
    let mut bytes = [0; 32];
    for (i, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| bad.clone())?;
    }
    Ok(bytes)
}
