//! Result tables, rendered as plain text or as Markdown.

use std::fmt::Write;

/// A result table with the conditions needed to reproduce it.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Title.
    pub title: Box<str>,
    /// Conditions of the run, such as the command line, seeds and sizes.
    pub conditions: Vec<Box<str>>,
    /// Column headers.
    pub headers: Vec<Box<str>>,
    /// Rows; each has one cell per column header.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_bench::Table;
    ///
    /// let mut table = Table::new("Bundles", &["run", "ms"]);
    /// table.row(["1", "12"]);
    /// assert!(table.markdown().contains("| 1 | 12 |"));
    /// ```
    pub fn new(title: &str, headers: &[&str]) -> Self {
        Table {
            title: title.into(),
            headers: headers.iter().map(|&head| head.into()).collect(),
            ..Table::default()
        }
    }

    /// Adds a condition under which the results were measured.
    pub fn condition<T>(&mut self, text: T)
    where
        T: Into<Box<str>>,
    {
        self.conditions.push(text.into());
    }

    /// Adds a row.
    pub fn row<R, C>(&mut self, cells: R)
    where
        R: IntoIterator<Item = C>,
        C: Into<String>,
    {
        self.rows.push(cells.into_iter().map(Into::into).collect());
    }

    /// Returns the table as Markdown.
    pub fn markdown(&self) -> String {
        let mut out = format!("**{}**\n\n", self.title);
        for condition in &self.conditions {
            let _ = writeln!(out, "- {condition}");
        }
        if !self.conditions.is_empty() {
            out.push('\n');
        }
        let _ = writeln!(out, "| {} |", self.headers.join(" | "));
        let _ = writeln!(out, "|{}", "---|".repeat(self.headers.len()));
        for row in &self.rows {
            let _ = writeln!(out, "| {} |", row.join(" | "));
        }
        out
    }

    /// Returns the table as plain text with aligned columns.
    pub fn text(&self) -> String {
        let mut widths: Vec<usize> = self.headers.iter().map(|head| head.len()).collect();
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.len());
            }
        }
        let mut out = format!("{}\n", self.title);
        for condition in &self.conditions {
            let _ = writeln!(out, "  {condition}");
        }
        let line = |out: &mut String, cells: &mut dyn Iterator<Item = &str>| {
            for (column, (cell, &width)) in cells.zip(&widths).enumerate() {
                let _ = match column {
                    0 => write!(out, "  {cell:<width$}"),
                    _ => write!(out, "  {cell:>width$}"),
                };
            }
            out.push('\n');
        };
        line(&mut out, &mut self.headers.iter().map(|head| &**head));
        for row in &self.rows {
            line(&mut out, &mut row.iter().map(|cell| &**cell));
        }
        out
    }
}
