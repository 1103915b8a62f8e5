//! Signing keys of operators. A key file has one line of hexadecimal digits.

use ed25519_dalek::{
    SigningKey,
    VerifyingKey, //
};
use rand::TryRngCore;

use crate::BundleError;

/// Generates a signing key with the random number generator of the operating system.
///
/// # Errors
///
/// [`BundleError::Key`] if the operating system returns no random bytes.
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
        .map_err(|_| BundleError::Key("the operating system returned no random bytes"))?;
    Ok(SigningKey::from_bytes(&secret))
}

/// Formats `key` as the text of a key file. The text contains the secret.
pub fn key_to_text(key: &SigningKey) -> String {
    let mut text = to_hex(key.as_bytes());
    text.push('\n');
    text
}

/// Parses the text of a key file. Errors never contain the text.
///
/// # Errors
///
/// [`BundleError::Key`] if the text is not 64 hexadecimal digits.
pub fn key_from_text(text: &str) -> Result<SigningKey, BundleError> {
    Ok(SigningKey::from_bytes(&parse_hex(text)?))
}

/// Formats the public key of `key` as in a bundle.
pub fn public_to_text(key: &SigningKey) -> String {
    to_hex(key.verifying_key().as_bytes())
}

/// Parses a public key as in a bundle.
///
/// # Errors
///
/// [`BundleError::Key`] if the text is not 64 hexadecimal digits, or not an ed25519 point of large
/// order.
pub fn public_from_text(text: &str) -> Result<[u8; 32], BundleError> {
    let bytes = parse_hex(text)?;
    if is_usable(&bytes) {
        Ok(bytes)
    } else {
        Err(BundleError::Key("not a usable ed25519 public key"))
    }
}

/// Whether `key` is an ed25519 point of large order. For a point of small order, anyone can forge
/// signatures that verify.
pub(crate) fn is_usable(key: &[u8; 32]) -> bool {
    VerifyingKey::from_bytes(key).is_ok_and(|key| !key.is_weak())
}

pub(crate) fn to_hex(bytes: &[u8; 32]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

pub(crate) fn parse_hex(text: &str) -> Result<[u8; 32], BundleError> {
    let invalid = BundleError::Key("not 64 hexadecimal digits");
    let text = text.trim();
    if text.len() != 64 || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        return Err(invalid);
    }
    let mut bytes = [0; 32];
    for (i, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| invalid.clone())?;
    }
    Ok(bytes)
}
