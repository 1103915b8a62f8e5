//! Finds the line of a field in YAML text.
//!
//! The parser reports a position only with an error, so the text is read once more and the read
//! fails on purpose at the wanted field.

use std::fmt;

use serde::{
    Deserializer,
    de::{
        DeserializeSeed,
        Error,
        IgnoredAny,
        MapAccess,
        SeqAccess,
        Visitor, //
    }, //
};

use crate::error::Step;

/// Returns the line, counted from 1, of the value at `path`, or of the innermost part of the path
/// that exists.
pub(crate) fn line_of(yaml: &str, path: &[Step]) -> usize {
    (0..=path.len())
        .rev()
        .find_map(|length| {
            let probe = Probe(&path[..length]);
            let error = probe
                .deserialize(serde_norway::Deserializer::from_str(yaml))
                .err()?;
            error.location().map(|location| location.line())
        })
        .unwrap_or(1)
}

/// Reads up to a path and fails there.
struct Probe<'a>(&'a [Step]);

impl<'de> DeserializeSeed<'de> for Probe<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, input: D) -> Result<(), D::Error> {
        input.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Probe<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("another value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let Some((Step::Field(wanted), rest)) = self.0.split_first() else {
            return Err(A::Error::custom("found"));
        };
        while let Some(name) = map.next_key::<String>()? {
            if name == *wanted {
                return map.next_value_seed(Probe(rest));
            }
            map.next_value::<IgnoredAny>()?;
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        let Some((Step::Item(wanted), rest)) = self.0.split_first() else {
            return Err(A::Error::custom("found"));
        };
        for _ in 0..*wanted {
            if seq.next_element::<IgnoredAny>()?.is_none() {
                return Ok(());
            }
        }
        seq.next_element_seed(Probe(rest)).map(|_| ())
    }
}
