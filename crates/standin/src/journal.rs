//! Journal of the runs of a target: one JSON object per line.

use std::{
    fs::{
        File,
        OpenOptions, //
    },
    io::{
        self,
        BufRead,
        BufReader,
        Write, //
    },
    path::Path,
};

use camphordale_types::Token;
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};

/// Step of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The request began to run.
    Start,
    /// Its effect was committed.
    Commit,
}

/// One line of a journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Microseconds since the target started, monotonic.
    pub at_us: u64,
    /// Wall clock, microseconds since the Unix epoch.
    pub wall_us: u64,
    /// Name of the target.
    pub target: Box<str>,
    /// Whether the target checks tokens.
    pub checks_tokens: bool,
    /// Number of the run within the target.
    pub run: u64,
    /// Id that the router gave to the request.
    pub request: Box<str>,
    /// HTTP method.
    pub method: Box<str>,
    /// Path with query.
    pub path: Box<str>,
    /// Idempotency key.
    pub idempotency: Option<Box<str>>,
    /// Marker of the stand-in caller.
    pub marker: Option<Box<str>>,
    /// Shard, `service/index`.
    pub shard: Option<Box<str>>,
    /// Fencing token.
    pub token: Option<Token>,
    /// Key header.
    pub key: Option<Box<str>>,
    /// Step of the run.
    pub phase: Phase,
}

/// Appends lines to a file.
#[derive(Debug)]
pub struct JsonLineWriter(File);

impl JsonLineWriter {
    /// Opens `path` for appending.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(JsonLineWriter(file))
    }

    /// Writes `value` as one line with a single call, so that lines of several threads and a
    /// kill of the process leave whole lines.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    pub fn write<T: Serialize>(&self, value: &T) -> io::Result<()> {
        let mut line = serde_json::to_vec(value)?;
        line.push(b'\n');
        (&self.0).write_all(&line)
    }
}

/// Reads a file of JSON lines.
///
/// # Errors
///
/// Names the file and, if a line is malformed, its number.
///
/// # Examples
///
/// ```no_run
/// use camphordale_standin::{JournalEntry, read_lines};
///
/// let entries: Vec<JournalEntry> = read_lines("cat-1.jsonl".as_ref())?;
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn read_lines<T: DeserializeOwned>(path: &Path) -> io::Result<Vec<T>> {
    let failed = |kind, text: String| {
        let text = format!("{}: {text}", path.display());
        io::Error::new(kind, text)
    };
    let file = File::open(path).map_err(|e| failed(e.kind(), e.to_string()))?;
    let mut values = Vec::new();
    for (i, line) in BufReader::new(file).lines().enumerate() {
        let line = line.map_err(|e| failed(e.kind(), e.to_string()))?;
        let value = serde_json::from_str(&line)
            .map_err(|e| failed(io::ErrorKind::InvalidData, format!("line {}: {e}", i + 1)))?;
        values.push(value);
    }
    Ok(values)
}
