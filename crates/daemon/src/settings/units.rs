//! Adapters for times, sizes and addresses written with their units.

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

/// A [`Duration`] written as a whole number with a unit: `us`, `ms`, `s`, `m` or `h`.
#[derive(Debug)]
pub(crate) struct DurationText;

/// A number of bytes written as a whole number with a unit: `B`, `KiB`, `MiB` or `GiB`.
#[derive(Debug)]
pub(crate) struct SizeText;

/// A [`SocketAddr`] written as `IP:PORT`; host names are refused.
#[derive(Debug)]
pub(crate) struct AddressText;

/// Returns the time that `text` states.
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
    with_unit(text, &TIME_UNITS).map(Duration::from_micros)
}

/// Returns the number of bytes that `text` states.
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
    with_unit(text, &SIZE_UNITS).and_then(|n| n.try_into().ok())
}

/// Returns `time` with the largest unit that needs no fraction.
pub(crate) fn show_duration(time: Duration) -> String {
    show(
        u64::try_from(time.as_micros()).unwrap_or(u64::MAX),
        &TIME_UNITS,
    )
}

/// Returns `size` with the largest unit that needs no fraction.
pub(crate) fn show_size(size: usize) -> String {
    show(size as u64, &SIZE_UNITS)
}

fn with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let end = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(end);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    number.parse::<u64>().ok()?.checked_mul(*factor)
}

fn show(amount: u64, units: &[(&str, u64)]) -> String {
    let (name, factor) = units
        .iter()
        .rev()
        .find(|(_, factor)| amount >= *factor && amount.is_multiple_of(*factor))
        .unwrap_or(&units[0]);
    format!("{}{name}", amount / factor)
}

/// Reads a string through `parse`; `expected` completes "expected ..." in errors.
struct Text<T> {
    parse: fn(&str) -> Option<T>,
    expected: &'static str,
}

impl<T> de::Visitor<'_> for Text<T> {
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
        deserializer.deserialize_str(Text {
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
        serializer.serialize_str(&show_duration(*source))
    }
}

impl<'de> DeserializeAs<'de, usize> for SizeText {
    fn deserialize_as<D>(deserializer: D) -> Result<usize, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_str(Text {
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
        serializer.serialize_str(&show_size(*source))
    }
}

impl<'de> DeserializeAs<'de, SocketAddr> for AddressText {
    fn deserialize_as<D>(deserializer: D) -> Result<SocketAddr, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_str(Text {
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
