//! The camphordale command-line tool.
//!
//! Start with [`run`], which executes one command line. [`Exit`] lists the exit codes.

use std::io::Write;

mod args;
mod client;
mod commands;
mod console;
mod error;
mod files;
mod url;

use args::{Command, Parsed};
use client::Client;
use console::Console;
pub use error::{CliError, Exit};

/// Executes a command line. `args` does not include the program's name.
///
/// Results are written to `out`; errors, notices and progress to `err`.
///
/// # Examples
///
/// ```
/// use camphordale_cli::{Exit, run};
///
/// let (mut out, mut err) = (Vec::new(), Vec::new());
/// assert_eq!(run(&["--help".into()], &mut out, &mut err), Exit::Done);
/// assert!(String::from_utf8_lossy(&out).contains("bundle"));
/// assert_eq!(run(&["paint".into()], &mut out, &mut err), Exit::Usage);
/// ```
pub fn run(args: &[String], out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let mut console = Console::new(out, err);
    match execute(args, &mut console) {
        Ok(()) => Exit::Done,
        Err(error) => {
            console.notice(&format!("camphorctl: {error}"));
            error.exit()
        }
    }
}

fn execute(args: &[String], console: &mut Console<'_>) -> Result<(), CliError> {
    let (options, command) = match args::parse(args)? {
        Parsed::Help(text) => return console.text(&text),
        Parsed::Run(options, command) => (options, command),
    };
    console.set_json(options.json);
    let client = Client::new(&options.server, options.key_file.as_deref())?;
    match command {
        Command::Bundle(group) => commands::bundle::run(group.command, &client, console),
        Command::Vm(group) => commands::show::vms(group.command, &client, console),
        Command::Target(group) => commands::actions::target(group.command, &client, console),
        Command::Shard(group) => commands::actions::shard(group.command, &client, console),
        Command::Domain(group) => commands::actions::domain(group.command, &client, console),
        Command::Member(group) => commands::actions::member(group.command, &client, console),
        Command::Audit(group) => commands::audit::run(group.command, &client, console),
        Command::Key(group) => commands::key::run(group.command, console),
        Command::Explain(args) => commands::show::explain(&args, &client, console),
        Command::Trace(args) => commands::trace::run(&args, console),
        Command::Status(_) => commands::show::status(&client, console),
    }
}
