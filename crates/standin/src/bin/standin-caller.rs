//! Sends a mix of requests at a fixed rate and verifies the responses.

use std::{
    error::Error,
    io::{
        self,
        Write, //
    },
    net::{
        IpAddr,
        SocketAddr, //
    },
    path::PathBuf,
    process::{
        self,
        ExitCode, //
    },
    time::Duration,
};

use camphordale_standin::{
    CallerOptions,
    Script,
    run_caller,
    unix_micros, //
};
use gumdrop::Options;

/// Sends a mix of requests at a fixed rate, records every attempt and prints a summary.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(required, help = "YAML or JSON file with the services to call")]
    script: Option<PathBuf>,
    #[options(required, help = "caller listener of an entry VM; may be repeated")]
    vm: Vec<SocketAddr>,
    #[options(no_short, help = "begins all ids; unique by default")]
    name: Option<String>,
    #[options(no_short, help = "seed of the mix", default = "1")]
    seed: u64,
    #[options(help = "requests per second", default = "100")]
    rate: f64,
    #[options(help = "threads, which bound the requests in flight", default = "32")]
    threads: usize,
    #[options(no_short, help = "seconds to send", default = "10")]
    seconds: f64,
    #[options(no_short, help = "limit of an attempt in ms", default = "3000")]
    timeout_ms: u64,
    #[options(no_short, help = "deadline sent with each request in ms")]
    deadline_ms: Option<u64>,
    #[options(no_short, help = "most further attempts", default = "0")]
    resend: u32,
    #[options(
        no_short,
        help = "pause before a further attempt in ms",
        default = "20"
    )]
    resend_pause_ms: u64,
    #[options(no_short, help = "send a POST again after an unknown outcome")]
    resend_unknown: bool,
    #[options(
        no_short,
        help = "how often the hottest keys change places",
        default = "0"
    )]
    hot: usize,
    #[options(no_short, help = "seconds after which they do", default = "0")]
    hot_after: f64,
    #[options(no_short, help = "IP address that connections come from")]
    source: Option<IpAddr>,
    #[options(no_short, help = "file for the records")]
    records: Option<PathBuf>,
}

fn main() -> ExitCode {
    match run(Args::parse_args_default_or_exit()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin-caller: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: Args) -> Result<(), Box<dyn Error>> {
    if !(args.rate > 0.0 && args.rate.is_finite()) {
        return Err("--rate must be above 0".into());
    }
    let unique = || format!("c{:x}-{:x}", process::id(), unix_micros());
    let summary = run_caller(CallerOptions {
        name: args.name.unwrap_or_else(unique).into(),
        vms: args.vm,
        script: Script::read(&args.script.ok_or("--script is missing")?)?,
        seed: args.seed,
        rate: args.rate,
        threads: args.threads,
        duration: Duration::try_from_secs_f64(args.seconds)?,
        attempt_timeout: Duration::from_millis(args.timeout_ms),
        deadline_ms: args.deadline_ms,
        max_retries: args.resend,
        retry_delay: Duration::from_millis(args.resend_pause_ms),
        retry_unknown: args.resend_unknown,
        key_shift: (args.hot, Duration::try_from_secs_f64(args.hot_after)?),
        source_ip: args.source,
        records: args.records,
    })?;
    writeln!(io::stdout(), "{}", serde_json::to_string_pretty(&summary)?)?;
    Ok(())
}
