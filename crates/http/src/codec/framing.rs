//! Message body framing, and helpers for header fields.

use crate::message::Headers;

/// How the end of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body is chunked.
    Chunked,
    /// No header field states the length.
    Unspecified,
}

/// Why the framing of a body cannot be determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FramingError {
    /// The fields contradict each other, or one is malformed. Two parties could interpret them
    /// differently, which would allow request smuggling.
    Ambiguous,
    /// The transfer coding is not `chunked`.
    UnsupportedCoding,
}

/// Determines the framing from the header fields. Repeated fields are rejected even if they are
/// equal.
pub(crate) fn body_framing(headers: &Headers, http_10: bool) -> Result<Framing, FramingError> {
    let mut found = Framing::Unspecified;
    for (name, value) in headers {
        let framing = match &**name {
            "content-length" => {
                Framing::Length(parse_content_length(value).ok_or(FramingError::Ambiguous)?)
            }
            "transfer-encoding" if http_10 => return Err(FramingError::Ambiguous),
            "transfer-encoding" if value.eq_ignore_ascii_case("chunked") => Framing::Chunked,
            "transfer-encoding" => return Err(FramingError::UnsupportedCoding),
            _ => continue,
        };
        if found != Framing::Unspecified {
            return Err(FramingError::Ambiguous);
        }
        found = framing;
    }
    Ok(found)
}

/// Parses a length that consists of digits only.
fn parse_content_length(value: &str) -> Option<u64> {
    if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    value.parse().ok()
}

/// Reports whether a comma-separated list field contains an item, ignoring case.
pub(crate) fn list_contains(headers: &Headers, name: &str, item: &str) -> bool {
    headers
        .iter()
        .filter(|(found, _)| &**found == name)
        .flat_map(|(_, value)| value.split(','))
        .any(|found| found.trim().eq_ignore_ascii_case(item))
}

/// Reports whether every line of a head ends in CR LF. `httparse` also accepts a lone LF, which
/// another party may not take for a line end.
pub(crate) fn has_crlf_lines(head: &[u8]) -> bool {
    head.iter()
        .zip(head.iter().skip(1))
        .all(|(before, byte)| *byte != b'\n' || *before == b'\r')
        && head.first() != Some(&b'\n')
}

/// Converts parsed fields to [`Headers`]. Returns `None` if a value is not UTF-8.
pub(crate) fn to_headers(parsed: &[httparse::Header<'_>]) -> Option<Headers> {
    parsed
        .iter()
        .map(|header| {
            let value = std::str::from_utf8(header.value).ok()?;
            let name = header.name.to_ascii_lowercase().into_boxed_str();
            Some((name, value.trim_matches([' ', '\t']).into()))
        })
        .collect()
}
