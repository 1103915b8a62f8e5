//! Relays TCP connections between failure domains and simulates network partitions.

use std::{
    error::Error,
    io::{
        self,
        Write, //
    },
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
};

use camphordale_standin::{
    Link,
    LinkFile,
    handle_link_command, //
};
use gumdrop::Options;
use rouille::Server;
use serde_json::json;

/// Relays TCP connections between failure domains.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(required, help = "YAML or JSON file with domains and links")]
    file: Option<PathBuf>,
    #[options(required, help = "address for commands; port 0 takes a free one")]
    control: Option<SocketAddr>,
}

fn main() -> ExitCode {
    match run(&Args::parse_args_default_or_exit()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin-link: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<(), Box<dyn Error>> {
    let file = LinkFile::read(args.file.as_deref().ok_or("--file is missing")?)?;
    let link = Link::start(file)?;
    let control = args.control.ok_or("--control is missing")?;
    let listening = link.addresses().to_vec();
    let server = Server::new(control, move |request| handle_link_command(&link, request))
        .map_err(|e| format!("listen on {control}: {e}"))?;
    let line = json!({ "control": server.server_addr(), "listening": listening });
    writeln!(io::stdout(), "{line}")?;
    io::stdout().flush()?;
    server.run();
    Ok(())
}
