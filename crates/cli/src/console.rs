//! Output: tables for people, or JSON.

use std::io::Write;

use serde::Serialize;

use crate::CliError;

/// Where results, notices and progress go.
pub(crate) struct Console<'a> {
    out: &'a mut dyn Write,
    err: &'a mut dyn Write,
    json: bool,
}

impl<'a> Console<'a> {
    pub(crate) fn new(out: &'a mut dyn Write, err: &'a mut dyn Write) -> Self {
        Console {
            out,
            err,
            json: false,
        }
    }

    pub(crate) fn set_json(&mut self, json: bool) {
        self.json = json;
    }

    /// Writes `value` as JSON, or else the text that `human` returns.
    pub(crate) fn show<T, F>(&mut self, value: &T, human: F) -> Result<(), CliError>
    where
        T: Serialize,
        F: FnOnce() -> String,
    {
        if !self.json {
            return self.text(&human());
        }
        let text = serde_json::to_string_pretty(value)
            .map_err(|e| CliError::Output(std::io::Error::other(e)))?;
        self.text(&text)
    }

    /// Writes `text` and a line break, unless it ends with one.
    pub(crate) fn text(&mut self, text: &str) -> Result<(), CliError> {
        let end = if text.ends_with('\n') { "" } else { "\n" };
        write!(self.out, "{text}{end}")
            .and_then(|()| self.out.flush())
            .map_err(CliError::Output)
    }

    /// Writes a line for people. A closed terminal is no reason to stop, so failures are ignored.
    pub(crate) fn notice(&mut self, line: &str) {
        let _ = writeln!(self.err, "{line}").and_then(|()| self.err.flush());
    }
}

/// A table with aligned columns.
pub(crate) struct Table<const N: usize> {
    rows: Vec<[String; N]>,
}

impl<const N: usize> Table<N> {
    pub(crate) fn new(head: [&str; N]) -> Self {
        Table {
            rows: vec![head.map(String::from)],
        }
    }

    pub(crate) fn row(&mut self, cells: [String; N]) {
        self.rows.push(cells);
    }

    pub(crate) fn text(&self) -> String {
        let width = |column: usize| {
            let cells = self.rows.iter().map(|row| row[column].chars().count());
            cells.max().unwrap_or(0)
        };
        let widths: [usize; N] = std::array::from_fn(width);
        let line = |row: &[String; N]| {
            let cells = row.iter().zip(widths);
            let padded: Vec<String> = cells.map(|(cell, w)| format!("{cell:w$}")).collect();
            format!("{}\n", padded.join("  ").trim_end())
        };
        self.rows.iter().map(line).collect()
    }
}

/// Returns the text of a value that may be absent.
pub(crate) fn or_dash<T>(value: Option<T>) -> String
where
    T: ToString,
{
    value.map_or("-".into(), |value| value.to_string())
}

/// Returns "yes" or "no".
pub(crate) fn yes(value: bool) -> String {
    if value { "yes" } else { "no" }.into()
}
