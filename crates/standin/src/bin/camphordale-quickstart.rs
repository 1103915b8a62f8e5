//! Runs the example deployments as separate processes on loopback; see `scripts/quickstart`.

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use camphordale_standin::{
    fleet::Programs,
    quickstart::{
        EXAMPLES,
        run, //
    },
};
use gumdrop::Options;

/// Runs the example deployments, breaks parts of them and reports what callers saw.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(required, no_short, help = "folder of the programs")]
    programs: PathBuf,
    #[options(required, no_short, help = "folder of the example bundles")]
    bundles: PathBuf,
    #[options(required, no_short, help = "folder for settings, data and logs")]
    folder: PathBuf,
    #[options(no_short, help = "run only this example")]
    only: Option<String>,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let programs = Programs {
        daemon: args.programs.join("camphordaled"),
        target: Some(args.programs.join("standin-target")),
        link: Some(args.programs.join("standin-link")),
    };
    let mut holds = true;
    for example in EXAMPLES {
        if args
            .only
            .as_deref()
            .is_some_and(|only| only != example.name)
        {
            continue;
        }
        match run(&example, &programs, &args.bundles, &args.folder) {
            Ok(report) => {
                report.print();
                holds &= report.holds();
            }
            Err(err) => {
                eprintln!("camphordale-quickstart: {}: {err}", example.name);
                holds = false;
            }
        }
    }
    if holds {
        println!("\nnothing was doubled, lost or crossed");
        ExitCode::SUCCESS
    } else {
        println!("\nFAILED");
        ExitCode::FAILURE
    }
}
