//! YAML format of bundles.

use camphordale_types::Bundle;

use crate::{
    BundleError,
    error::ValidationError,
    line::line_of,
    raw::RawBundle, //
};

/// Maximum size of a YAML text in bytes.
const MAX_TEXT_BYTES: usize = 4 << 20;

/// Parses and validates a bundle in YAML.
///
/// The services of the returned bundle are sorted by name, so that equal content has equal
/// canonical bytes. These fields may be omitted:
///
/// | field | default |
/// |---|---|
/// | `key` | `none` |
/// | `shards` | 256 with a key source, otherwise 0 |
/// | `hot_keys` | none |
/// | `repeat` | `by-method` |
/// | `deadline` | `10s` |
/// | `domain_lease` | `none` |
/// | `record_life` | `10m` |
/// | `new_percent` | `0%` |
/// | `queue` | 4 per slot |
/// | `warm_up` | `10s` |
/// | `weights` | 1 for each weight |
///
/// # Errors
///
/// [`BundleError::Yaml`] with the line and the field of the first error.
///
/// # Examples
///
/// ```
/// use camphordale_bundle::parse_bundle;
///
/// let text = "
/// version: 1
/// operators:
///   needed: 1
///   keys:
///     - {name: asha, key: d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a}
/// services:
///   - {name: berths, route: {prefix: /berths}, key: {segment: 1}, slots: 6, connections: 60}
/// ";
/// let bundle = parse_bundle(text)?;
/// assert_eq!(bundle.services[0].shards, 256);
///
/// let error = parse_bundle(&text.replace("slots: 6", "slots: 61")).unwrap_err();
/// assert!(error.to_string().starts_with("line 8, services[0].connections: "));
/// # Ok::<(), camphordale_bundle::BundleError>(())
/// ```
pub fn parse_bundle(yaml: &str) -> Result<Bundle, BundleError> {
    if yaml.len() > MAX_TEXT_BYTES {
        return Err(BundleError::Yaml {
            line: 1,
            field: "bundle".into(),
            reason: format!("the text is longer than {MAX_TEXT_BYTES} bytes").into(),
        });
    }
    let raw: RawBundle = serde_norway::from_str(yaml).map_err(|error| convert_error(&error))?;
    Bundle::try_from(raw).map_err(|error: ValidationError| BundleError::Yaml {
        line: line_of(yaml, &error.path),
        field: error.field(),
        reason: error.reason,
    })
}

/// Formats `bundle` as YAML with all fields. [`parse_bundle`] returns an equal bundle.
///
/// # Examples
///
/// ```
/// use camphordale_bundle::{parse_bundle, to_yaml};
///
/// let bundle = parse_bundle(include_str!("../../../examples/bundles/wiratama.yaml"))?;
/// assert_eq!(parse_bundle(&to_yaml(&bundle))?, bundle);
/// # Ok::<(), camphordale_bundle::BundleError>(())
/// ```
pub fn to_yaml(bundle: &Bundle) -> String {
    serde_norway::to_string(&RawBundle::from(bundle))
        .expect("every bundle can be serialized as YAML")
}

/// Converts a parser error, whose message is `PATH: REASON at line L column C`.
fn convert_error(error: &serde_norway::Error) -> BundleError {
    let text = error.to_string();
    let is_path = |part: &str| {
        !part.is_empty()
            && part
                .bytes()
                .all(|b| b.is_ascii_alphanumeric() || b"_-.[]".contains(&b))
    };
    let (field, reason) = match text.split_once(": ") {
        Some((path, reason)) if is_path(path) => (path, reason),
        _ => ("bundle", &*text),
    };
    let reason = match reason.rfind(" at line ") {
        Some(end) => &reason[..end],
        None => reason,
    };
    BundleError::Yaml {
        line: error.location().map_or(1, |location| location.line()),
        field: field.into(),
        reason: reason.into(),
    }
}
