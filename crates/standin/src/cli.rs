//! Option types for the command lines.

use std::str::FromStr;

use camphordale_types::Side;

/// Command-line option that selects the old or the new system.
#[derive(Clone, Copy, Debug)]
pub struct SideArg(pub Side);

impl FromStr for SideArg {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "old" => Ok(SideArg(Side::Old)),
            "new" => Ok(SideArg(Side::New)),
            _ => Err("a side is old or new"),
        }
    }
}

/// Command-line option for an HTTP header, `name: value`.
#[derive(Clone, Debug)]
pub struct HeaderArg(pub Box<str>, pub Box<str>);

impl FromStr for HeaderArg {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, value) = text.split_once(':').ok_or("a header is NAME: VALUE")?;
        if name.is_empty() || text.contains(['\r', '\n']) {
            return Err("a header is NAME: VALUE on one line");
        }
        Ok(HeaderArg(name.into(), value.trim().into()))
    }
}
