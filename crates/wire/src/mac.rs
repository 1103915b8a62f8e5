//! Message authentication with keyed BLAKE3, truncated to [`TAG_LEN`] bytes.

/// Length of an authentication tag in bytes.
pub const TAG_LEN: usize = 16;

/// Computes the tag of the concatenation of `parts`.
pub(crate) fn compute(key: &[u8; 32], parts: &[&[u8]]) -> [u8; TAG_LEN] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        hasher.update(part);
    }
    let mut tag = [0; TAG_LEN];
    hasher.finalize_xof().fill(&mut tag);
    tag
}

/// Compares two tags in constant time.
pub(crate) fn matches(expected: &[u8; TAG_LEN], found: &[u8]) -> bool {
    found.len() == TAG_LEN
        && expected
            .iter()
            .zip(found)
            .fold(0, |difference, (a, b)| difference | (a ^ b))
            == 0
}

/// Derives a key from a secret for one purpose, bound to `context`.
pub(crate) fn derive_key(secret: &[u8; 32], purpose: &str, context: &[&[u8]]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new_keyed(secret);
    hasher.update(purpose.as_bytes());
    for part in context {
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}
