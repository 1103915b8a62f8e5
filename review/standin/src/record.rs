//! The record of a case, with times in milliseconds since its start.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::{SystemTime, UNIX_EPOCH},
};

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub start: u64,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: unix_ms(),
        })
    }

    /// Milliseconds since the start of the case.
    pub fn now(&self) -> u64 {
        unix_ms().saturating_sub(self.start)
    }

    pub fn write(&self, text: &str) {
        self.write_at(self.now(), text);
    }

    pub fn write_at(&self, at: u64, text: &str) {
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:>8.3} {text}", at as f64 / 1000.0);
        }
    }
}
