//! Percent-encoding for URLs of the operators' API.

use std::fmt::Write;

/// Percent-encodes all bytes of `text` except unreserved characters, for use in a path segment or
/// a query parameter.
pub(crate) fn encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                out.push(char::from(byte));
            }
            // Writing to a string does not fail.
            _ => drop(write!(out, "%{byte:02X}")),
        }
    }
    out
}
