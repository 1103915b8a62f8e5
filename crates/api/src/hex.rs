//! Bytes and digests as hexadecimal text.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Bytes that are serialized as hexadecimal text.
///
/// # Examples
///
/// ```
/// use camphordale_api::Hex;
///
/// let bytes = Hex(vec![0, 255]);
/// assert_eq!(bytes.to_string(), "00ff");
/// assert_eq!(Hex::parse("00FF"), Some(bytes));
/// assert_eq!(Hex::parse("0"), None);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hex(pub Vec<u8>);

impl Hex {
    /// Parses pairs of hexadecimal digits; returns `None` if `text` is anything else.
    pub fn parse(text: &str) -> Option<Self> {
        let digit = |c: u8| char::from(c).to_digit(16).map(|d| d as u8);
        if !text.len().is_multiple_of(2) {
            return None;
        }
        let pairs = text.as_bytes().chunks_exact(2);
        let bytes = pairs.map(|pair| Some(digit(pair[0])? << 4 | digit(pair[1])?));
        bytes.collect::<Option<Vec<u8>>>().map(Hex)
    }
}

impl fmt::Display for Hex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl Serialize for Hex {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Hex {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        Hex::parse(&text).ok_or_else(|| de::Error::custom("bytes are not pairs of hex digits"))
    }
}

/// Serde adapter for digests.
pub(crate) mod digest {
    use camphordale_types::Digest;
    use serde::{Deserialize, Deserializer, Serializer, de};

    pub(crate) fn serialize<S>(digest: &Digest, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(digest)
    }

    pub(crate) fn deserialize<'de, D>(deserializer: D) -> Result<Digest, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

/// Serde adapter for digests that may be absent.
pub(crate) mod digest_option {
    use camphordale_types::Digest;
    use serde::{Deserialize, Deserializer, Serializer, de};

    pub(crate) fn serialize<S>(digest: &Option<Digest>, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        match digest {
            Some(digest) => serializer.collect_str(digest),
            None => serializer.serialize_none(),
        }
    }

    pub(crate) fn deserialize<'de, D>(deserializer: D) -> Result<Option<Digest>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = Option::<String>::deserialize(deserializer)?;
        text.map(|text| text.parse().map_err(de::Error::custom))
            .transpose()
    }
}

/// Serde adapter for fencing tokens that may be absent.
pub(crate) mod token_option {
    use camphordale_types::Token;
    use serde::{Deserialize, Deserializer, Serializer, de};

    pub(crate) fn serialize<S>(token: &Option<Token>, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        match token {
            Some(token) => serializer.collect_str(token),
            None => serializer.serialize_none(),
        }
    }

    pub(crate) fn deserialize<'de, D>(deserializer: D) -> Result<Option<Token>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = Option::<String>::deserialize(deserializer)?;
        text.map(|text| text.parse().map_err(de::Error::custom))
            .transpose()
    }
}
