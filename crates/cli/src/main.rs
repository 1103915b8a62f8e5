//! The camphordale command-line tool.

use std::{io, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let (mut out, mut err) = (io::stdout().lock(), io::stderr().lock());
    camphordale_cli::run(&args, &mut out, &mut err).into()
}
