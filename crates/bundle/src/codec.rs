//! Canonical bytes of a bundle.

use camphordale_types::Bundle;

use crate::{
    BundleError,
    validate::check_decoded, //
};

/// Returns the canonical bytes of `bundle`, which its digest and signatures cover.
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
    postcard::to_stdvec(bundle).expect("all parts of a bundle have a postcard encoding")
}

/// Reads canonical bytes and checks the content again.
///
/// # Errors
///
/// [`BundleError::Bytes`] if the bytes cannot be read, are followed by others or are not the ones
/// that [`encode`] makes of the content; [`BundleError::Content`] if the content fails a check.
pub fn decode(bytes: &[u8]) -> Result<Bundle, BundleError> {
    let bad = |reason: &str| BundleError::Bytes(reason.into());
    let (bundle, rest) =
        postcard::take_from_bytes::<Bundle>(bytes).map_err(|error| bad(&error.to_string()))?;
    if !rest.is_empty() {
        return Err(bad("bytes follow the bundle"));
    }
    check_decoded(&bundle).map_err(|fault| BundleError::Content {
        field: fault.field(),
        reason: fault.reason,
    })?;
    // Variable-length integers have more than one encoding; only the shortest is canonical.
    if encode(&bundle) != bytes {
        return Err(bad("the content has another canonical encoding"));
    }
    Ok(bundle)
}
