//! Stand-ins for callers, targets and the operator, and the scripts of the second review.

mod cases;
mod fleet;
mod http;
mod proxy;
mod record;
mod upstream;

use std::{path::PathBuf, process::ExitCode};

use crate::record::Record;

/// What a case shows.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some((verb, rest)) = arguments.split_first() else {
        eprintln!("usage: review-standin-2 CASE RECORD | upstream NAME=VALUE...");
        return ExitCode::from(2);
    };
    if verb == "upstream" {
        return match upstream::run(rest) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("upstream: {error}");
                ExitCode::FAILURE
            }
        };
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let path = rest
        .first()
        .map_or_else(|| PathBuf::from("record.txt"), PathBuf::from);
    let record = match Record::new(&path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return ExitCode::from(2);
        }
    };
    match cases::run(verb, record.clone(), trouble) {
        Ok(Verdict::Held) => {
            record.add("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.add("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.add(format!("verdict: the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
