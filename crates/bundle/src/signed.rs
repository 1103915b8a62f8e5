//! Signed bundles.

use std::collections::BTreeSet;

use camphordale_types::{
    Bundle,
    Digest,
    OperatorName,
    Operators, //
};
use ed25519_dalek::{
    Signer,
    SigningKey,
    VerifyingKey, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    BundleError,
    codec::{
        decode,
        encode, //
    }, //
};

/// Prefix of the digest in the signed message, so that a bundle signature is never valid for
/// another purpose.
const SIGNING_CONTEXT: &[u8] = b"camphordale bundle signature v1\0";

/// The canonical bytes of a bundle and the operators' signatures over their digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedBundle {
    /// `postcard` encoding of a `camphordale_types::Bundle`.
    pub bytes: Vec<u8>,
    /// Signatures, one per operator.
    pub signatures: Vec<Signature>,
}

/// The signature of one operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature {
    /// The operator.
    pub operator: OperatorName,
    /// The ed25519 signature (64 bytes) over a fixed prefix and the digest of the canonical bytes.
    pub bytes: Vec<u8>,
}

impl SignedBundle {
    /// Encodes `bundle` in canonical form, without signatures.
    pub fn new(bundle: &Bundle) -> Self {
        SignedBundle {
            bytes: encode(bundle),
            signatures: Vec::new(),
        }
    }

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

    /// Adds the signature of `operator`, or replaces an existing one.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_bundle::{SignedBundle, generate_key, parse_bundle};
    /// use camphordale_types::{Operator, Operators};
    ///
    /// let key = generate_key()?;
    /// let operators = Operators {
    ///     needed: 1,
    ///     keys: vec![Operator { name: "asha".into(), key: key.verifying_key().to_bytes() }],
    /// };
    /// let bundle = parse_bundle(include_str!("../../../examples/bundles/kilimo.yaml"))?;
    /// let mut signed = SignedBundle::new(&bundle);
    /// assert!(signed.verify(&operators).is_err());
    /// signed.sign("asha", &key);
    /// assert_eq!(signed.verify(&operators)?, bundle);
    /// # Ok::<(), camphordale_bundle::BundleError>(())
    /// ```
    pub fn sign(&mut self, operator: &str, key: &SigningKey) {
        let signature = Signature {
            operator: operator.into(),
            bytes: key.sign(&self.signing_message()).to_bytes().to_vec(),
        };
        self.signatures.retain(|s| &*s.operator != operator);
        self.signatures.push(signature);
    }

    /// Verifies the signatures, validates the content and returns the bundle.
    ///
    /// # Errors
    ///
    /// [`BundleError::Signatures`] if fewer than `operators.needed` different operators signed;
    /// the errors of [`decode`] if the content is not a valid bundle in canonical form.
    pub fn verify(&self, operators: &Operators) -> Result<Bundle, BundleError> {
        let valid = self.signers(operators).len() as u32;
        if valid < operators.needed.max(1) {
            return Err(BundleError::Signatures {
                valid,
                needed: operators.needed,
            });
        }
        decode(&self.bytes)
    }

    /// Returns the operators with a valid signature, without duplicates, sorted by name.
    pub fn signers(&self, operators: &Operators) -> Vec<OperatorName> {
        let message = self.signing_message();
        // Deduplicated by public key, so that a person listed under two names counts once.
        let mut counted_keys = BTreeSet::new();
        let mut names = BTreeSet::new();
        for signature in &self.signatures {
            let Some(operator) = operators.keys.iter().find(|o| o.name == signature.operator)
            else {
                continue;
            };
            if !counted_keys.contains(&operator.key)
                && is_valid(&operator.key, &message, &signature.bytes)
            {
                counted_keys.insert(operator.key);
                names.insert(operator.name.clone());
            }
        }
        names.into_iter().collect()
    }

    fn signing_message(&self) -> Vec<u8> {
        [SIGNING_CONTEXT, &self.digest().0].concat()
    }
}

/// Verifies a signature strictly, which also rejects points of small order and non-canonical
/// encodings.
fn is_valid(key: &[u8; 32], message: &[u8], signature: &[u8]) -> bool {
    let Ok(key) = VerifyingKey::from_bytes(key) else {
        return false;
    };
    ed25519_dalek::Signature::from_slice(signature)
        .is_ok_and(|signature| key.verify_strict(message, &signature).is_ok())
}
