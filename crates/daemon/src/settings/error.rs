//! Errors of the settings and the search for the line they belong to.

use std::{
    fmt, io,
    path::{Path, PathBuf},
};

use serde::de::{self, DeserializeSeed, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// The settings could not be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("settings file {}: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// What went wrong.
        source: io::Error,
    },
    /// The content is not valid.
    #[error("{0}")]
    Invalid(Problem),
}

/// One mistake in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file, if the settings came from one.
    pub file: Option<PathBuf>,
    /// Line, counted from 1; that of the nearest enclosing field if the field is missing.
    pub line: Option<usize>,
    /// Path of the field, such as `control.voters[1].address`.
    pub field: Box<str>,
    /// What is wrong.
    pub message: Box<str>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.file {
            Some(file) => write!(f, "{}", file.display())?,
            None => f.write_str("settings")?,
        }
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.field.is_empty() {
            write!(f, ": {}", self.field)?;
        }
        write!(f, ": {}", self.message)
    }
}

impl SettingsError {
    /// Returns the mistake, unless the file could not be read.
    pub fn problem(&self) -> Option<&Problem> {
        match self {
            SettingsError::Invalid(problem) => Some(problem),
            SettingsError::Read { .. } => None,
        }
    }

    /// Returns the error for a mistake in `field`.
    pub(crate) fn field(field: impl Into<Box<str>>, message: impl fmt::Display) -> Self {
        SettingsError::Invalid(Problem {
            file: None,
            line: None,
            field: field.into(),
            message: message.to_string().into(),
        })
    }

    /// Returns the error for YAML that could not be read.
    pub(crate) fn yaml(error: &serde_norway::Error) -> Self {
        let text = error.to_string();
        let line = error.location().map(|l| l.line());
        let text = match text.rfind(" at line ") {
            Some(end) => &text[..end],
            None => &text,
        };
        let (path, message) = match text.split_once(": ") {
            Some((path, message)) if is_path(path) => (path, message),
            _ => ("", text),
        };
        SettingsError::Invalid(Problem {
            file: None,
            line,
            field: with_named_field(path, message),
            message: message.into(),
        })
    }

    /// Adds the file, and the line of the field in `text` if it is not known yet.
    pub(crate) fn located(self, file: Option<&Path>, text: &str) -> Self {
        match self {
            SettingsError::Invalid(mut problem) => {
                problem.file = problem.file.or_else(|| file.map(Path::to_path_buf));
                problem.line = problem.line.or_else(|| line_of(text, &problem.field));
                SettingsError::Invalid(problem)
            }
            error => error,
        }
    }
}

fn is_path(text: &str) -> bool {
    text.bytes()
        .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'.' | b'[' | b']' | b'?'))
}

/// Appends the field that a message of serde names to the path of the mapping it belongs to.
fn with_named_field(path: &str, message: &str) -> Box<str> {
    let named = ["missing field `", "unknown field `", "duplicate field `"]
        .iter()
        .find_map(|start| message.strip_prefix(start))
        .and_then(|rest| rest.split('`').next());
    match named {
        Some(name) if path.ends_with(name) => path.into(),
        Some(name) if path.is_empty() => name.into(),
        Some(name) => format!("{path}.{name}").into(),
        None => path.into(),
    }
}

/// Returns the line of `field` in `text`, or else that of the nearest enclosing field.
fn line_of(text: &str, field: &str) -> Option<usize> {
    let steps: Vec<Step<'_>> = field.split(['.', '[']).filter_map(Step::parse).collect();
    (1..=steps.len())
        .rev()
        .find_map(|end| {
            let seed = Find(&steps[..end]);
            let error = seed.deserialize(serde_norway::Deserializer::from_str(text));
            error.err()?.location().map(|l| l.line())
        })
        .or(Some(1))
}

/// One step of a field's path.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step<'a> {
    Name(&'a str),
    Index(usize),
}

impl<'a> Step<'a> {
    fn parse(part: &'a str) -> Option<Self> {
        match part.strip_suffix(']') {
            Some(index) => index.parse().ok().map(Step::Index),
            None if part.is_empty() => None,
            None => Some(Step::Name(part)),
        }
    }
}

/// Walks the document along a path and fails on purpose at its end, because the parser states
/// positions only in errors.
#[derive(Clone, Copy)]
struct Find<'a>(&'a [Step<'a>]);

impl<'de> DeserializeSeed<'de> for Find<'_> {
    type Value = ();

    fn deserialize<D>(self, deserializer: D) -> Result<(), D::Error>
    where
        D: de::Deserializer<'de>,
    {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Find<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a field")
    }

    fn visit_map<A>(self, mut map: A) -> Result<(), A::Error>
    where
        A: MapAccess<'de>,
    {
        let Some((Step::Name(name), rest)) = self.0.split_first() else {
            return Err(de::Error::custom("found"));
        };
        let stop = rest.is_empty();
        while let Some(hit) = map.next_key_seed(Key { name, stop })? {
            match hit {
                true => map.next_value_seed(Find(rest))?,
                false => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(())
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<(), A::Error>
    where
        A: SeqAccess<'de>,
    {
        let Some((Step::Index(index), rest)) = self.0.split_first() else {
            return Err(de::Error::custom("found"));
        };
        for _ in 0..*index {
            if seq.next_element::<IgnoredAny>()?.is_none() {
                return Ok(());
            }
        }
        seq.next_element_seed(Find(rest))?;
        while seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(())
    }

    fn visit_str<E>(self, _: &str) -> Result<(), E>
    where
        E: de::Error,
    {
        match self.0 {
            [] => Err(E::custom("found")),
            _ => Ok(()),
        }
    }

    fn visit_u64<E>(self, _: u64) -> Result<(), E>
    where
        E: de::Error,
    {
        self.visit_str("")
    }

    fn visit_bool<E>(self, _: bool) -> Result<(), E>
    where
        E: de::Error,
    {
        self.visit_str("")
    }
}

/// Tells whether a key is `name`; fails on purpose at a hit if the path ends there.
struct Key<'a> {
    name: &'a str,
    stop: bool,
}

impl<'de> DeserializeSeed<'de> for Key<'_> {
    type Value = bool;

    fn deserialize<D>(self, deserializer: D) -> Result<bool, D::Error>
    where
        D: de::Deserializer<'de>,
    {
        deserializer.deserialize_str(self)
    }
}

impl Visitor<'_> for Key<'_> {
    type Value = bool;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a field name")
    }

    fn visit_str<E>(self, name: &str) -> Result<bool, E>
    where
        E: de::Error,
    {
        match name == self.name {
            true if self.stop => Err(E::custom("found")),
            hit => Ok(hit),
        }
    }
}
