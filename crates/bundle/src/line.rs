//! Line number of a field in YAML text.
//!
//! The parser reports positions only in errors, so the text is parsed again with a visitor that
//! fails on purpose at the requested field.

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

use crate::error::PathStep;

/// Returns the line, counted from 1, of the value at `path`, or of the longest prefix of the path
/// that exists.
pub(crate) fn line_of(yaml: &str, path: &[PathStep]) -> usize {
    (0..=path.len())
        .rev()
        .find_map(|length| {
            let probe = PathProbe(&path[..length]);
            let error = probe
                .deserialize(serde_norway::Deserializer::from_str(yaml))
                .err()?;
            error.location().map(|location| location.line())
        })
        .unwrap_or(1)
}

/// Visitor that fails at the value of a path.
struct PathProbe<'a>(&'a [PathStep]);

impl<'de> DeserializeSeed<'de> for PathProbe<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, input: D) -> Result<(), D::Error> {
        input.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for PathProbe<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("another value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let Some((PathStep::Field(expected), rest)) = self.0.split_first() else {
            return Err(A::Error::custom("found"));
        };
        while let Some(name) = map.next_key::<String>()? {
            if name == *expected {
                return map.next_value_seed(PathProbe(rest));
            }
            map.next_value::<IgnoredAny>()?;
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        let Some((PathStep::Item(expected), rest)) = self.0.split_first() else {
            return Err(A::Error::custom("found"));
        };
        for _ in 0..*expected {
            if seq.next_element::<IgnoredAny>()?.is_none() {
                return Ok(());
            }
        }
        seq.next_element_seed(PathProbe(rest)).map(|_| ())
    }
}
