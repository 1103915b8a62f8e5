//! Runs a case of the review: `review-case CASE RECORD`. Exits with 1 if the rule was broken, 0 if
//! it held and 2 if the case could not run.

mod cases;
mod client;
mod fleet;
mod further;
mod http;
mod record;
mod upstream;

use std::{process::ExitCode, thread, time::Duration};

/// A case that takes longer is given up.
const LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if let [mode, rest @ ..] = &args[..]
        && mode == "upstream"
    {
        let result = upstream::Spec::from_args(rest).map(upstream::main);
        return match result {
            Some(Ok(())) => ExitCode::SUCCESS,
            _ => ExitCode::from(2),
        };
    }
    let [case, path] = &args[..] else {
        eprintln!("review-case CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").unwrap_or_default();
    let (case, path) = (case.clone(), path.clone());
    let worker = thread::spawn(move || cases::run(&case, &path, &trouble));
    let begun = std::time::Instant::now();
    while !worker.is_finished() {
        if begun.elapsed() > LIMIT {
            eprintln!("the case takes too long");
            cases::give_up();
            return ExitCode::from(2);
        }
        thread::sleep(Duration::from_millis(50));
    }
    match worker.join() {
        Ok(Ok(false)) => ExitCode::SUCCESS,
        Ok(Ok(true)) => ExitCode::from(1),
        Ok(Err(error)) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
        Err(_) => ExitCode::from(2),
    }
}
