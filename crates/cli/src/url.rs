//! Paths of the operator interface with their parameters.

use std::fmt::Write;

/// Returns `text` with all bytes but unreserved ones percent-encoded, for path segments and
/// parameters.
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
