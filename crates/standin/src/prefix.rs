//! IP prefixes.

use std::{
    net::IpAddr,
    str::FromStr, //
};

use serde::Deserialize;

/// A range of IP addresses, `ip/bits`.
///
/// # Examples
///
/// ```
/// use camphordale_standin::Prefix;
///
/// let prefix: Prefix = "127.0.1.0/24".parse()?;
/// assert!(prefix.contains("127.0.1.9".parse()?));
/// assert!(!prefix.contains("127.0.2.9".parse()?));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "Box<str>")]
pub struct Prefix {
    address: IpAddr,
    bits: u32,
}

/// The text is not a valid IP prefix.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not an IP prefix of the form IP/BITS")]
pub struct PrefixError(Box<str>);

impl Prefix {
    /// Returns whether `address` is in the range.
    pub fn contains(&self, address: IpAddr) -> bool {
        let (network, other, width) = match (self.address, address) {
            (IpAddr::V4(network), IpAddr::V4(other)) => (
                u128::from(network.to_bits()),
                u128::from(other.to_bits()),
                32,
            ),
            (IpAddr::V6(network), IpAddr::V6(other)) => (network.to_bits(), other.to_bits(), 128),
            _ => return false,
        };
        let host_bits = width - self.bits;
        (network ^ other).checked_shr(host_bits).unwrap_or(0) == 0
    }
}

impl FromStr for Prefix {
    type Err = PrefixError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || PrefixError(text.into());
        let (address, bits) = text.split_once('/').ok_or_else(invalid)?;
        let address: IpAddr = address.parse().map_err(|_| invalid())?;
        let bits = bits.parse().map_err(|_| invalid())?;
        if bits > if address.is_ipv4() { 32 } else { 128 } {
            return Err(invalid());
        }
        Ok(Prefix { address, bits })
    }
}

impl TryFrom<Box<str>> for Prefix {
    type Error = PrefixError;

    fn try_from(text: Box<str>) -> Result<Self, Self::Error> {
        text.parse()
    }
}
