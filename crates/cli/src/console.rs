//! Output of the commands, as text or JSON.

use std::io::Write;

use serde::Serialize;

use crate::CliError;

/// Writers for results, and for notices and progress.
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

    /// Writes `value` as JSON if `--json` is set, and otherwise the text that `to_text` returns.
    pub(crate) fn show<T, F>(&mut self, value: &T, to_text: F) -> Result<(), CliError>
    where
        T: Serialize,
        F: FnOnce() -> String,
    {
        if !self.json {
            return self.text(&to_text());
        }
        let text = serde_json::to_string_pretty(value)
            .map_err(|e| CliError::Output(std::io::Error::other(e)))?;
        self.text(&text)
    }

    /// Writes `text`, with a line break at its end.
    pub(crate) fn text(&mut self, text: &str) -> Result<(), CliError> {
        let end = if text.ends_with('\n') { "" } else { "\n" };
        write!(self.out, "{text}{end}")
            .and_then(|()| self.out.flush())
            .map_err(CliError::Output)
    }

    /// Writes a notice. Failures are ignored, so that a closed terminal does not stop a command.
    pub(crate) fn notice(&mut self, line: &str) {
        let _ = writeln!(self.err, "{line}").and_then(|()| self.err.flush());
    }
}

/// A table with aligned columns.
pub(crate) struct Table<const N: usize> {
    rows: Vec<[String; N]>,
}

impl<const N: usize> Table<N> {
    pub(crate) fn new(header: [&str; N]) -> Self {
        Table {
            rows: vec![header.map(String::from)],
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

/// Formats an optional value; a hyphen if it is absent.
pub(crate) fn or_dash<T>(value: Option<T>) -> String
where
    T: ToString,
{
    value.map_or("-".into(), |value| value.to_string())
}

pub(crate) fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.into()
}
