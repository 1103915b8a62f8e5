//! `serde_with` adapters for durations with units, percentages, hexadecimal keys and key sources.

use std::{
    fmt,
    time::Duration, //
};

use camphordale_types::KeySource;
use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer,
    de::{
        Error,
        MapAccess,
        Visitor,
        value::MapAccessDeserializer, //
    },
    ser::SerializeMap, //
};
use serde_with::{
    DeserializeAs,
    SerializeAs, //
};

use crate::key::{
    parse_hex,
    to_hex, //
};

/// Duration units and their length in milliseconds, in descending order.
const UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("m", 60_000), ("s", 1_000), ("ms", 1)];

/// A duration as an integer with a unit: `250ms`, `2s`, `10m`, `1h`.
pub(crate) struct DurationText;

/// A duration in the format of [`DurationText`], or `none`.
pub(crate) struct DurationOrNone;

/// 32 bytes as hexadecimal digits.
pub(crate) struct HexText;

/// A percentage, with or without the percent sign: `25%` or `25`.
pub(crate) struct Percent;

/// A key source: `none`, `{header: NAME}`, `{segment: N}` or `{query: NAME}`.
pub(crate) struct KeyText;

/// Parses a duration with a unit.
pub(crate) fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let (_, length) = UNITS.iter().find(|(name, _)| *name == unit)?;
    let millis = number.parse::<u64>().ok()?.checked_mul(*length)?;
    Some(Duration::from_millis(millis))
}

/// Formats a duration of whole milliseconds in the longest unit that divides it.
pub(crate) fn format_duration(value: &Duration) -> String {
    let millis = value.as_millis();
    if millis == 0 {
        return "0s".into();
    }
    UNITS
        .iter()
        .find(|(_, length)| millis.is_multiple_of(u128::from(*length)))
        .map_or_else(String::new, |(unit, length)| {
            format!("{}{unit}", millis / u128::from(*length))
        })
}

/// Visitor for a duration. It returns errors itself, so that the parser adds line and field.
struct DurationVisitor;

impl Visitor<'_> for DurationVisitor {
    type Value = Duration;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a duration such as 250ms, 2s, 10m or 1h")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Duration, E> {
        parse_duration(text).ok_or_else(|| {
            E::custom(format_args!(
                "{text:?} is not a duration such as 250ms, 2s, 10m or 1h"
            ))
        })
    }
}

impl<'de> DeserializeAs<'de, Duration> for DurationText {
    fn deserialize_as<D: Deserializer<'de>>(input: D) -> Result<Duration, D::Error> {
        input.deserialize_str(DurationVisitor)
    }
}

impl SerializeAs<Duration> for DurationText {
    fn serialize_as<S: Serializer>(value: &Duration, output: S) -> Result<S::Ok, S::Error> {
        output.serialize_str(&format_duration(value))
    }
}

/// Visitor for a duration or `none`.
struct DurationOrNoneVisitor;

impl Visitor<'_> for DurationOrNoneVisitor {
    type Value = Option<Duration>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("none or a duration such as 250ms, 2s, 10m or 1h")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Self::Value, E> {
        match text {
            "none" => Ok(None),
            _ => DurationVisitor.visit_str(text).map(Some),
        }
    }
}

impl<'de> DeserializeAs<'de, Option<Duration>> for DurationOrNone {
    fn deserialize_as<D: Deserializer<'de>>(input: D) -> Result<Option<Duration>, D::Error> {
        input.deserialize_str(DurationOrNoneVisitor)
    }
}

impl SerializeAs<Option<Duration>> for DurationOrNone {
    fn serialize_as<S: Serializer>(value: &Option<Duration>, output: S) -> Result<S::Ok, S::Error> {
        match value {
            None => output.serialize_str("none"),
            Some(value) => DurationText::serialize_as(value, output),
        }
    }
}

struct HexVisitor;

impl Visitor<'_> for HexVisitor {
    type Value = [u8; 32];

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("64 hexadecimal digits")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<[u8; 32], E> {
        parse_hex(text).map_err(E::custom)
    }
}

impl<'de> DeserializeAs<'de, [u8; 32]> for HexText {
    fn deserialize_as<D: Deserializer<'de>>(input: D) -> Result<[u8; 32], D::Error> {
        input.deserialize_str(HexVisitor)
    }
}

impl SerializeAs<[u8; 32]> for HexText {
    fn serialize_as<S: Serializer>(value: &[u8; 32], output: S) -> Result<S::Ok, S::Error> {
        output.serialize_str(&to_hex(value))
    }
}

struct PercentVisitor;

impl Visitor<'_> for PercentVisitor {
    type Value = u8;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a percentage from 0% to 100%")
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<u8, E> {
        u8::try_from(value)
            .ok()
            .filter(|percent| *percent <= 100)
            .ok_or_else(|| E::custom(format_args!("{value} is not between 0% and 100%")))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<u8, E> {
        let number = text.strip_suffix('%').unwrap_or(text);
        match number.parse::<u64>() {
            Ok(value) => self.visit_u64(value),
            Err(_) => Err(E::custom(format_args!("{text:?} is not a percentage"))),
        }
    }
}

impl<'de> DeserializeAs<'de, u8> for Percent {
    fn deserialize_as<D: Deserializer<'de>>(input: D) -> Result<u8, D::Error> {
        input.deserialize_any(PercentVisitor)
    }
}

impl SerializeAs<u8> for Percent {
    fn serialize_as<S: Serializer>(value: &u8, output: S) -> Result<S::Ok, S::Error> {
        output.collect_str(&format_args!("{value}%"))
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum KeyField {
    Header,
    Segment,
    Query,
}

struct KeyVisitor;

impl<'de> Visitor<'de> for KeyVisitor {
    type Value = KeySource;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("none, {header: NAME}, {segment: N} or {query: NAME}")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<KeySource, E> {
        match text {
            "none" => Ok(KeySource::None),
            _ => Err(E::custom(format_args!("{text:?} is not a key source"))),
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<KeySource, A::Error> {
        let key = match map.next_key()? {
            Some(KeyField::Header) => KeySource::Header(map.next_value()?),
            Some(KeyField::Segment) => KeySource::Segment(map.next_value()?),
            Some(KeyField::Query) => KeySource::Query(map.next_value()?),
            None => return Err(A::Error::custom("the key source is empty")),
        };
        let rest = std::collections::BTreeMap::<String, serde::de::IgnoredAny>::deserialize(
            MapAccessDeserializer::new(map),
        )?;
        if rest.is_empty() {
            Ok(key)
        } else {
            Err(A::Error::custom("a service can have only one key source"))
        }
    }
}

impl<'de> DeserializeAs<'de, KeySource> for KeyText {
    fn deserialize_as<D: Deserializer<'de>>(input: D) -> Result<KeySource, D::Error> {
        input.deserialize_any(KeyVisitor)
    }
}

impl SerializeAs<KeySource> for KeyText {
    fn serialize_as<S: Serializer>(value: &KeySource, output: S) -> Result<S::Ok, S::Error> {
        fn entry<S: Serializer, Value: Serialize + ?Sized>(
            output: S,
            name: &str,
            value: &Value,
        ) -> Result<S::Ok, S::Error> {
            let mut map = output.serialize_map(Some(1))?;
            map.serialize_entry(name, value)?;
            map.end()
        }
        match value {
            KeySource::None => output.serialize_str("none"),
            KeySource::Header(name) => entry(output, "header", name),
            KeySource::Segment(index) => entry(output, "segment", index),
            KeySource::Query(name) => entry(output, "query", name),
        }
    }
}
