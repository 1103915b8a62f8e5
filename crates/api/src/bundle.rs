//! Submission of bundles to the control group.

use camphordale_types::{Digest, OperatorName};
use serde::{Deserialize, Serialize};

use crate::{Hex, hex};

/// Length of an Ed25519 signature in bytes.
const SIGNATURE_BYTES: usize = 64;

/// A bundle with its signatures: the content of a `.signed` file and the body of
/// `POST /v1/bundle`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedBundleBody {
    /// Canonical bytes of the bundle.
    pub bytes: Hex,
    /// Signatures, one per operator.
    pub signatures: Vec<SignatureBody>,
}

/// The signature of one operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignatureBody {
    /// The operator.
    pub operator: OperatorName,
    /// Ed25519 signature (64 bytes) over the digest of the canonical bytes.
    pub bytes: Hex,
}

/// Error returned when a body is malformed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The bundle has no content.
    #[error("the bundle is empty")]
    Empty,
    /// A signature has the wrong length.
    #[error("the signature of {operator} has {found} bytes instead of 64")]
    SignatureLength {
        /// The operator.
        operator: OperatorName,
        /// Its length in bytes.
        found: usize,
    },
    /// An operator signed twice.
    #[error("{0} signed twice")]
    DuplicateSignature(OperatorName),
}

/// Canonical bytes of a bundle, and its signatures by operator.
pub type BundleParts = (Vec<u8>, Vec<(OperatorName, Vec<u8>)>);

impl SignedBundleBody {
    /// Returns the digest of the canonical bytes.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.bytes.0)
    }
}

impl From<BundleParts> for SignedBundleBody {
    fn from((bytes, signatures): BundleParts) -> Self {
        let signatures = signatures
            .into_iter()
            .map(|(operator, bytes)| SignatureBody {
                operator,
                bytes: Hex(bytes),
            });
        SignedBundleBody {
            bytes: Hex(bytes),
            signatures: signatures.collect(),
        }
    }
}

impl TryFrom<SignedBundleBody> for BundleParts {
    type Error = BodyError;

    /// Checks the format only; the bundle crate verifies the signatures.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_api::{BodyError, BundleParts, SignedBundleBody};
    ///
    /// let plain: BundleParts = (vec![1, 2], vec![("amina".into(), vec![7; 64])]);
    /// let body = SignedBundleBody::from(plain.clone());
    /// assert_eq!(BundleParts::try_from(body), Ok(plain));
    ///
    /// let empty = SignedBundleBody::from((Vec::new(), Vec::new()));
    /// assert_eq!(BundleParts::try_from(empty), Err(BodyError::Empty));
    /// ```
    fn try_from(body: SignedBundleBody) -> Result<Self, BodyError> {
        if body.bytes.0.is_empty() {
            return Err(BodyError::Empty);
        }
        let mut signatures: Vec<(OperatorName, Vec<u8>)> = Vec::new();
        for SignatureBody { operator, bytes } in body.signatures {
            let found = bytes.0.len();
            if found != SIGNATURE_BYTES {
                return Err(BodyError::SignatureLength { operator, found });
            }
            if signatures.iter().any(|(other, _)| *other == operator) {
                return Err(BodyError::DuplicateSignature(operator));
            }
            signatures.push((operator, bytes.0));
        }
        Ok((body.bytes.0, signatures))
    }
}

/// Response to `POST /v1/bundle`. The status is 200 if the submitted bundle was accepted, now or
/// before, and 409 if another bundle is the latest one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitReply {
    /// Version submitted.
    pub version: u64,
    /// Digest submitted.
    #[serde(with = "hex::digest")]
    pub digest: Digest,
    /// Version of the latest bundle.
    pub standing_version: u64,
    /// Digest of the latest bundle; absent while there is none.
    #[serde(with = "hex::digest_option", default)]
    pub standing_digest: Option<Digest>,
    /// Whether the same bundle had been accepted before.
    pub resent: bool,
}

impl SubmitReply {
    /// Returns whether the submitted bundle has been accepted, now or before.
    pub fn accepted(&self) -> bool {
        self.resent || self.standing_digest == Some(self.digest)
    }
}
