//! A bundle with its signatures.

use camphordale_types::{Digest, OperatorName};
use serde::{Deserialize, Serialize};

/// The canonical bytes of a bundle and the operators' signatures over their digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedBundle {
    /// `postcard` encoding of a `camphordale_types::Bundle`.
    pub bytes: Vec<u8>,
    /// Signatures, one an operator.
    pub signatures: Vec<Signature>,
}

/// The signature of one operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature {
    /// The operator.
    pub operator: OperatorName,
    /// 64 bytes of ed25519 signature over the digest of the canonical bytes.
    pub bytes: Vec<u8>,
}

impl SignedBundle {
    /// Returns the digest of the canonical bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_bundle::SignedBundle;
    /// use camphordale_types::Digest;
    ///
    /// let signed = SignedBundle { bytes: vec![1], signatures: Vec::new() };
    /// assert_eq!(signed.digest(), Digest::of(&[1]));
    /// ```
    pub fn digest(&self) -> Digest {
        Digest::of(&self.bytes)
    }
}
