//! The record of a case: what was sent, answered and run, with times since its start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Lines>>,
}

struct Lines {
    file: File,
    all: Vec<(Duration, String)>,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Record> {
        let lines = Lines {
            file: File::create(path)?,
            all: Vec::new(),
        };
        Ok(Record {
            start: Instant::now(),
            lines: Arc::new(Mutex::new(lines)),
        })
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Adds a line with the present time.
    pub fn add(&self, text: impl Into<String>) {
        let (text, at) = (text.into(), self.now());
        let mut lines = self.lines.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(lines.file, "{:9.3} {text}", at.as_secs_f64());
        lines.all.push((at, text));
    }

    /// The lines that begin with `prefix`, with their times.
    pub fn find(&self, prefix: &str) -> Vec<(Duration, String)> {
        let lines = self.lines.lock().unwrap_or_else(|e| e.into_inner());
        let found = lines
            .all
            .iter()
            .filter(|(_, text)| text.starts_with(prefix));
        found.cloned().collect()
    }
}
