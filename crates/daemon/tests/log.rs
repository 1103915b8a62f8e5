//! Tests of the root logger.

#![allow(clippy::unwrap_used)]

use std::{
    io,
    sync::{Arc, Mutex},
};

use camphordale_daemon::{
    log::Log,
    settings::{self, Format, Level},
};
use rstest::rstest;

#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// Guards against losing lines that are queued when the logger is dropped, and against a level that
// cannot be changed.
#[rstest]
fn level_changes_while_running(#[values(Format::Text, Format::Json)] format: Format) {
    let out = Lines::default();
    let level = Level::Warning;
    let log = Log::to_writer(settings::Log { format, level }, out.clone());
    let child = log.root().new(slog::o!("vm" => 7));
    slog::info!(child, "hidden");
    log.set_level(Level::Info);
    slog::info!(child, "Lease renewed"; "term" => 3);
    drop(child);
    drop(log);
    let text = String::from_utf8(out.0.lock().unwrap().clone()).unwrap();
    assert_eq!(text.lines().count(), 1, "{text}");
    match format {
        Format::Text => assert!(text.contains("Lease renewed, vm: 7, term: 3"), "{text}"),
        Format::Json => {
            let value: serde_json::Value = serde_json::from_str(&text).unwrap();
            assert_eq!(
                (&value["msg"], &value["vm"]),
                (&"Lease renewed".into(), &7.into())
            );
        }
    }
}
