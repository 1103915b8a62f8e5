//! Checks the journals of targets against the records of callers.

use std::{
    error::Error,
    io::{
        self,
        Write, //
    },
    path::PathBuf,
    process::ExitCode,
};

use camphordale_standin::{
    AttemptRecord,
    JournalEntry,
    check,
    read_lines, //
};
use gumdrop::Options;

/// Checks journals against records; exits with 0 only if all rules hold.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(required, help = "journal of a target; may be repeated")]
    journal: Vec<PathBuf>,
    #[options(required, help = "records of a caller; may be repeated")]
    records: Vec<PathBuf>,
}

fn main() -> ExitCode {
    match run(&Args::parse_args_default_or_exit()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("standin-check: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<bool, Box<dyn Error>> {
    let mut entries: Vec<JournalEntry> = Vec::new();
    for path in &args.journal {
        entries.extend(read_lines::<JournalEntry>(path)?);
    }
    let mut records: Vec<AttemptRecord> = Vec::new();
    for path in &args.records {
        records.extend(read_lines::<AttemptRecord>(path)?);
    }
    if entries.is_empty() || records.is_empty() {
        return Err("no journal entries or no records, so nothing can be checked".into());
    }
    let report = check(&entries, &records);
    write!(io::stdout(), "{report}")?;
    Ok(report.holds())
}
