//! Canonical encoding of a bundle.

use camphordale_types::Bundle;

use crate::{
    BundleError,
    validate::validate_decoded, //
};

/// Returns the canonical bytes of `bundle`. The digest and the signatures cover them.
///
/// # Examples
///
/// ```
/// use camphordale_bundle::{decode, encode, parse_bundle};
///
/// let bundle = parse_bundle(include_str!("../../../examples/bundles/kilimo.yaml"))?;
/// assert_eq!(decode(&encode(&bundle))?, bundle);
/// # Ok::<(), camphordale_bundle::BundleError>(())
/// ```
pub fn encode(bundle: &Bundle) -> Vec<u8> {
    postcard::to_stdvec(bundle).expect("every bundle can be encoded with postcard")
}

/// Decodes canonical bytes and validates the content.
///
/// # Errors
///
/// [`BundleError::Bytes`] if the bytes cannot be decoded, have trailing bytes or differ from the
/// output of [`encode`] for the same content; [`BundleError::Content`] if the content is invalid.
pub fn decode(bytes: &[u8]) -> Result<Bundle, BundleError> {
    let invalid = |reason: &str| BundleError::Bytes(reason.into());
    let (bundle, rest) =
        postcard::take_from_bytes::<Bundle>(bytes).map_err(|error| invalid(&error.to_string()))?;
    if !rest.is_empty() {
        return Err(invalid("trailing bytes after the bundle"));
    }
    validate_decoded(&bundle).map_err(|error| BundleError::Content {
        field: error.field(),
        reason: error.reason,
    })?;
    // A variable-length integer has several encodings. Only the shortest is canonical.
    if encode(&bundle) != bytes {
        return Err(invalid("the content has a different canonical encoding"));
    }
    Ok(bundle)
}
