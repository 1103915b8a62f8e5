//! Journal of the requests that a target executes, one JSON object per line.

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

/// Phase of executing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Execution started.
    Start,
    /// The effect of the request was committed.
    Commit,
}

/// One line of a journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Monotonic time since the target started, in microseconds.
    pub at_us: u64,
    /// Wall clock, microseconds since the Unix epoch.
    pub wall_us: u64,
    /// Name of the target.
    pub target: Box<str>,
    /// Whether the target checks fencing tokens.
    pub checks_tokens: bool,
    /// Sequence number of the execution within the target process.
    pub run: u64,
    /// Request id assigned by the router.
    pub request: Box<str>,
    /// HTTP method.
    pub method: Box<str>,
    /// Path with query.
    pub path: Box<str>,
    /// Value of the `Idempotency-Key` header.
    pub idempotency: Option<Box<str>>,
    /// Marker sent by the stand-in caller.
    pub marker: Option<Box<str>>,
    /// Shard, `service/index`.
    pub shard: Option<Box<str>>,
    /// Fencing token.
    pub token: Option<Token>,
    /// Value of the key header.
    pub key: Option<Box<str>>,
    /// Phase that this entry records.
    pub phase: Phase,
}

/// Appends JSON lines to a file.
#[derive(Debug)]
pub struct JsonLineWriter(File);

impl JsonLineWriter {
    /// Opens `path` for appending.
    ///
    /// # Errors
    ///
    /// Returns the I/O error.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(JsonLineWriter(file))
    }

    /// Writes `value` as one line with a single write call, so that lines are neither interleaved
    /// by concurrent threads nor cut off when the process is killed.
    ///
    /// # Errors
    ///
    /// Returns the I/O error.
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
/// Returns an error that contains the path and, if a line is malformed, its number.
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
