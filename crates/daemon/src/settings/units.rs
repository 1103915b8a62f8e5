//! Serde adapters for durations, sizes and addresses written as text.

use std::{fmt, net::SocketAddr, time::Duration};

use serde::{Deserializer, Serializer, de};
use serde_with::{DeserializeAs, SerializeAs};

const TIME_UNITS: [(&str, u64); 5] = [
    ("us", 1),
    ("ms", 1_000),
    ("s", 1_000_000),
    ("m", 60_000_000),
    ("h", 3_600_000_000),
];

const SIZE_UNITS: [(&str, u64); 4] = [
    ("B", 1),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];

/// A [`Duration`] as an integer with a unit: `us`, `ms`, `s`, `m` or `h`.
#[derive(Debug)]
pub(crate) struct DurationText;

/// A number of bytes as an integer with a unit: `B`, `KiB`, `MiB` or `GiB`.
#[derive(Debug)]
pub(crate) struct SizeText;

/// A [`SocketAddr`] as `IP:PORT`. Host names are refused.
#[derive(Debug)]
pub(crate) struct AddressText;

/// Parses a duration with a unit. Returns none if `text` is not valid or too large.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use camphordale_daemon::settings::parse_duration;
///
/// assert_eq!(parse_duration("250ms"), Some(Duration::from_millis(250)));
/// assert_eq!(parse_duration("250"), None);
/// ```
pub fn parse_duration(text: &str) -> Option<Duration> {
    parse_amount(text, &TIME_UNITS).map(Duration::from_micros)
}

/// Parses a number of bytes with a unit. Returns none if `text` is not valid or too large.
///
/// # Examples
///
/// ```
/// use camphordale_daemon::settings::parse_size;
///
/// assert_eq!(parse_size("16KiB"), Some(16_384));
/// assert_eq!(parse_size("16kb"), None);
/// ```
pub fn parse_size(text: &str) -> Option<usize> {
    parse_amount(text, &SIZE_UNITS).and_then(|n| n.try_into().ok())
}

/// Formats a duration as an integer with the largest possible unit.
pub(crate) fn format_duration(time: Duration) -> String {
    format_amount(
        u64::try_from(time.as_micros()).unwrap_or(u64::MAX),
        &TIME_UNITS,
    )
}

/// Formats a number of bytes as an integer with the largest possible unit.
pub(crate) fn format_size(size: usize) -> String {
    format_amount(size as u64, &SIZE_UNITS)
}

fn parse_amount(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let end = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(end);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    number.parse::<u64>().ok()?.checked_mul(*factor)
}

fn format_amount(amount: u64, units: &[(&str, u64)]) -> String {
    let (name, factor) = units
        .iter()
        .rev()
        .find(|(_, factor)| amount >= *factor && amount.is_multiple_of(*factor))
        .unwrap_or(&units[0]);
    format!("{}{name}", amount / factor)
}

/// Parses a string with `parse`; error messages continue "expected" with `expected`.
struct TextVisitor<T> {
    parse: fn(&str) -> Option<T>,
    expected: &'static str,
}

impl<T> de::Visitor<'_> for TextVisitor<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.expected)
    }

    fn visit_str<E>(self, text: &str) -> Result<T, E>
    where
        E: de::Error,
    {
        (self.parse)(text).ok_or_else(|| E::invalid_value(de::Unexpected::Str(text), &self))
    }
}

impl<'de> DeserializeAs<'de, Duration> for DurationText {
    fn deserialize_as<D>(deserializer: D) -> Result<Duration, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_str(TextVisitor {
            parse: parse_duration,
            expected: "a time with a unit, such as `250ms` or `2s`",
        })
    }
}

impl SerializeAs<Duration> for DurationText {
    fn serialize_as<S>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&format_duration(*source))
    }
}

impl<'de> DeserializeAs<'de, usize> for SizeText {
    fn deserialize_as<D>(deserializer: D) -> Result<usize, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_str(TextVisitor {
            parse: parse_size,
            expected: "a size with a unit, such as `16KiB` or `1MiB`",
        })
    }
}

impl SerializeAs<usize> for SizeText {
    fn serialize_as<S>(source: &usize, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&format_size(*source))
    }
}

impl<'de> DeserializeAs<'de, SocketAddr> for AddressText {
    fn deserialize_as<D>(deserializer: D) -> Result<SocketAddr, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_str(TextVisitor {
            parse: |text| text.parse().ok(),
            expected: "an address of the form IP:PORT (host names are not resolved)",
        })
    }
}

impl SerializeAs<SocketAddr> for AddressText {
    fn serialize_as<S>(source: &SocketAddr, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(source)
    }
}
