//! Closed-loop load generator for one address; prints the result as JSON.

use std::{
    error::Error,
    io::{
        self,
        Write, //
    },
    net::SocketAddr,
    process::ExitCode,
    time::Duration,
};

use camphordale_standin::{
    HeaderArg,
    LoadOptions,
    run_load, //
};
use gumdrop::Options;

/// Loads one address.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(required, help = "address to load")]
    address: Option<SocketAddr>,
    #[options(help = "connections", default = "32")]
    connections: usize,
    #[options(help = "seconds to send", default = "5")]
    seconds: f64,
    #[options(help = "HTTP method", default = "GET")]
    method: String,
    #[options(help = "path with query", default = "/")]
    path: String,
    #[options(short = "H", help = "header, NAME: VALUE; may be repeated")]
    header: Vec<HeaderArg>,
    #[options(no_short, help = "size of the body in bytes", default = "0")]
    body_size: usize,
}

fn main() -> ExitCode {
    match run(Args::parse_args_default_or_exit()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin-load: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: Args) -> Result<(), Box<dyn Error>> {
    let headers = args.header.into_iter().map(|HeaderArg(n, v)| (n, v));
    let report = run_load(&LoadOptions {
        address: args.address.ok_or("--address is missing")?,
        connections: args.connections,
        duration: Duration::try_from_secs_f64(args.seconds)?,
        method: args.method.into(),
        path: args.path.into(),
        headers: headers.collect(),
        body_size: args.body_size,
    })?;
    writeln!(io::stdout(), "{}", serde_json::to_string(&report)?)?;
    Ok(())
}
