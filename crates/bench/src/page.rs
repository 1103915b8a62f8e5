//! Replaces the results of one section in a Markdown page. Marker comments enclose each section, so
//! that the others stay unchanged.

use std::{
    fs,
    path::Path, //
};

use crate::MeasureError;

/// Replaces the text between the markers of `section` in `page`. Returns `None` if the markers
/// are missing.
///
/// # Examples
///
/// ```
/// use camphordale_bench::replace_section;
///
/// let page = "a\n<!-- begin x -->\nold\n<!-- end x -->\nb\n";
/// let next = replace_section(page, "x", "new\n").unwrap_or_default();
/// assert_eq!(next, "a\n<!-- begin x -->\nnew\n<!-- end x -->\nb\n");
/// assert!(replace_section(page, "y", "new\n").is_none());
/// ```
pub fn replace_section(page: &str, section: &str, text: &str) -> Option<String> {
    let begin = format!("<!-- begin {section} -->\n");
    let end = format!("<!-- end {section} -->");
    let from = page.find(&begin)? + begin.len();
    let to = from + page[from..].find(&end)?;
    Some(format!("{}{text}{}", &page[..from], &page[to..]))
}

/// Replaces one section in a page file.
///
/// # Errors
///
/// Fails when the file cannot be read or written, or lacks the section's markers.
pub fn write_section(file: &Path, section: &str, text: &str) -> Result<(), MeasureError> {
    let name = file.display().to_string();
    let page = fs::read_to_string(file).map_err(MeasureError::file(&name))?;
    let Some(page) = replace_section(&page, section, text) else {
        let reason = format!("{name} has no markers for {section}");
        return Err(MeasureError::unexpected("write a section", reason));
    };
    fs::write(file, page).map_err(MeasureError::file(&name))
}
