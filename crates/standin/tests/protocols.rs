//! Compares `docs/protocols.md` with the code.
#![allow(clippy::unwrap_used)]

use camphordale_standin::protocol::{
    Announce,
    Announced,
    Draining,
    Renew,
    Renewed, //
};
use serde_json::Value;

const PROTOCOL_DOC: &str = include_str!("../../../docs/protocols.md");
const OUTCOME_SOURCE: &str = include_str!("../../types/src/outcome.rs");

fn objects() -> Vec<&'static str> {
    PROTOCOL_DOC
        .lines()
        .filter(|line| line.starts_with('{'))
        .collect()
}

/// Guards against examples with a wrong `Content-Length`.
#[test]
fn content_lengths_match() {
    let lines: Vec<&str> = PROTOCOL_DOC.lines().collect();
    let mut checked = 0;
    for (at, line) in lines.iter().enumerate() {
        let Some(length) = line.strip_prefix("Content-Length: ") else {
            continue;
        };
        let blank = at + lines[at..].iter().position(|line| line.is_empty()).unwrap();
        let body = lines[blank + 1];
        // If the code block ends after the blank line, the body is empty.
        let size = if body == "```" { 0 } else { body.len() };
        assert_eq!(size.to_string(), length, "line {}", at + 1);
        checked += 1;
    }
    assert!(checked >= 8);
}

/// Guards against examples that do not match the message types.
#[test]
fn example_messages_parse() {
    let objects = objects();
    let parsed = [
        objects
            .iter()
            .filter(|o| serde_json::from_str::<Announce>(o).is_ok())
            .count(),
        objects
            .iter()
            .filter(|o| serde_json::from_str::<Announced>(o).is_ok())
            .count(),
        objects
            .iter()
            .filter(|o| serde_json::from_str::<Renew>(o).is_ok())
            .count(),
        objects
            .iter()
            .filter(|o| serde_json::from_str::<Renewed>(o).is_ok())
            .count(),
        objects
            .iter()
            .filter(|o| serde_json::from_str::<Draining>(o).is_ok())
            .count(),
    ];
    // A response to a renewal also parses as a response to a drain.
    assert_eq!(parsed, [2, 2, 2, 2, 4], "{objects:#?}");
    for object in objects {
        assert!(serde_json::from_str::<Value>(object).is_ok(), "{object}");
    }
}

/// Guards against reason codes that are in the code but not in the document, or the reverse.
#[test]
fn reason_codes_are_complete() {
    let mut outcome = "";
    let mut expected = Vec::new();
    for line in OUTCOME_SOURCE.lines() {
        if line.starts_with("pub enum") {
            outcome = match line {
                "pub enum NotRun {" => "not-run",
                "pub enum Unknown {" => "unknown",
                _ => "",
            };
        }
        let Some(name) = line.trim().strip_suffix(',') else {
            continue;
        };
        if outcome.is_empty() || !name.chars().all(char::is_alphanumeric) {
            continue;
        }
        let mut code = String::new();
        for (at, letter) in name.chars().enumerate() {
            if letter.is_uppercase() && at > 0 {
                code.push('-');
            }
            code.push(letter.to_ascii_lowercase());
        }
        expected.push(format!("| `{code}` | {outcome} |"));
    }
    assert_eq!(expected.len(), 21);
    let rows = |line: &&str| line.contains(" | not-run | ") || line.contains(" | unknown | ");
    let rows: Vec<&str> = PROTOCOL_DOC.lines().filter(rows).collect();
    assert_eq!(rows.len(), expected.len());
    for row in expected {
        assert!(
            rows.iter().any(|line| line.starts_with(&row)),
            "no row {row}"
        );
    }
}
