//! How the end of a body is found.

use crate::message::Headers;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body is chunked.
    Chunked,
    /// No header field states the length.
    Unspecified,
}

/// Header fields that do not state a length reliably.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FramingError {
    /// The fields contradict each other, or one is malformed. Two parties could read them
    /// differently, which allows a request to be smuggled past one of them.
    Conflict,
    /// The transfer coding is not `chunked`.
    Coding,
}

/// Finds the framing that the header fields state. Repeated fields are refused even if they are
/// equal.
pub(crate) fn framing(headers: &Headers, http_10: bool) -> Result<Framing, FramingError> {
    let mut found = Framing::Unspecified;
    for (name, value) in headers {
        let framing = match &**name {
            "content-length" => Framing::Length(length(value).ok_or(FramingError::Conflict)?),
            "transfer-encoding" if http_10 => return Err(FramingError::Conflict),
            "transfer-encoding" if value.eq_ignore_ascii_case("chunked") => Framing::Chunked,
            "transfer-encoding" => return Err(FramingError::Coding),
            _ => continue,
        };
        if found != Framing::Unspecified {
            return Err(FramingError::Conflict);
        }
        found = framing;
    }
    Ok(found)
}

/// Parses a length that consists of digits only.
fn length(value: &str) -> Option<u64> {
    if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    value.parse().ok()
}

/// Reports whether a field that holds a list contains an item.
pub(crate) fn lists(headers: &Headers, name: &str, item: &str) -> bool {
    headers
        .iter()
        .filter(|(found, _)| &**found == name)
        .flat_map(|(_, value)| value.split(','))
        .any(|found| found.trim().eq_ignore_ascii_case(item))
}

/// Reports whether every line of a head ends in CR LF. `httparse` accepts a lone LF, at which
/// another party may not see a line end.
pub(crate) fn has_strict_lines(head: &[u8]) -> bool {
    head.iter()
        .zip(head.iter().skip(1))
        .all(|(before, byte)| *byte != b'\n' || *before == b'\r')
        && head.first() != Some(&b'\n')
}

/// Copies the fields, with names in lower case. Returns `None` if a value is not UTF-8.
pub(crate) fn collect(parsed: &[httparse::Header<'_>]) -> Option<Headers> {
    parsed
        .iter()
        .map(|header| {
            let value = std::str::from_utf8(header.value).ok()?;
            let name = header.name.to_ascii_lowercase().into_boxed_str();
            Some((name, value.trim_matches([' ', '\t']).into()))
        })
        .collect()
}
