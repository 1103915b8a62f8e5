//! Stand-in target; see `docs/protocols.md`.

use std::{
    error::Error,
    io::{
        self,
        Write, //
    },
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread,
    time::Duration,
};

use camphordale_standin::{
    SideArg,
    Target,
    TargetOptions, //
};
use gumdrop::Options;
use signal_hook::{
    consts::SIGTERM,
    flag, //
};

/// Interval at which the main thread checks for a signal.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs a stand-in target.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(required, help = "name, unique in the failure domain")]
    name: String,
    #[options(required, help = "service that it serves")]
    service: String,
    #[options(required, help = "old or new")]
    side: Option<SideArg>,
    #[options(required, help = "address to listen on; port 0 takes a free one")]
    listen: Option<SocketAddr>,
    #[options(help = "target listener of an entry VM; may be repeated")]
    entry: Vec<SocketAddr>,
    #[options(no_short, help = "bearer key")]
    key: String,
    #[options(no_short, help = "requests that run at a time", default = "4")]
    slots: u32,
    #[options(no_short, help = "connections that are accepted", default = "512")]
    connections: usize,
    #[options(no_short, help = "check tokens and the lease")]
    checks_tokens: bool,
    #[options(no_short, help = "time per request in microseconds", default = "0")]
    work_us: u64,
    #[options(no_short, help = "padding of answers in bytes", default = "0")]
    body_size: usize,
    #[options(no_short, help = "header with the key", default = "x-key")]
    key_header: String,
    #[options(no_short, help = "file for the journal")]
    journal: Option<PathBuf>,
    #[options(no_short, help = "longest time for a drain in ms", default = "10000")]
    drain_ms: u64,
}

fn main() -> ExitCode {
    match run(Args::parse_args_default_or_exit()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin-target: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: Args) -> Result<(), Box<dyn Error>> {
    let stop = Arc::new(AtomicBool::new(false));
    flag::register(SIGTERM, stop.clone())?;
    let target = Target::start(TargetOptions {
        name: args.name.into(),
        service: args.service.into(),
        side: args.side.ok_or("--side is missing")?.0,
        listen: args.listen.ok_or("--listen is missing")?,
        entry_vms: args.entry,
        bearer_key: args.key.into(),
        slots: args.slots,
        max_connections: args.connections,
        checks_tokens: args.checks_tokens,
        work_time: Duration::from_micros(args.work_us),
        padding_size: args.body_size,
        key_header: args.key_header.to_ascii_lowercase().into(),
        journal: args.journal,
    })?;
    let address = target.address();
    writeln!(io::stdout(), "{{\"listening\":\"{address}\"}}")?;
    io::stdout().flush()?;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(SIGNAL_POLL_INTERVAL);
    }
    if !target.drain(Duration::from_millis(args.drain_ms)) {
        eprintln!("standin-target: exiting before the drain completed");
    }
    Ok(())
}
