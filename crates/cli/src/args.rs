//! The command line.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use gumdrop::Options;

use crate::CliError;

// Doc comments on these types would become part of the help.

// Options that apply to all commands; they come before the command.
#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct Global {
    #[options(help = "show this text, or the text of a command after its name")]
    pub(crate) help: bool,
    #[options(help = "show the version of the program")]
    pub(crate) version: bool,
    #[options(
        help = "operator address of a VM; may be given several times, they are tried in turn",
        meta = "IP:PORT"
    )]
    pub(crate) server: Vec<SocketAddr>,
    #[options(help = "file with the operators' bearer key", meta = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
    #[options(help = "write JSON")]
    pub(crate) json: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

// The commands and command groups.
#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "make, check, sign, submit and roll back bundles")]
    Bundle(Group<Bundle>),
    #[options(help = "list VMs")]
    Vm(Group<Vm>),
    #[options(help = "list and drain targets")]
    Target(Group<Target>),
    #[options(help = "show and move shards")]
    Shard(Group<Shard>),
    #[options(help = "declare a failure domain lost, or let it return")]
    Domain(Group<Domain>),
    #[options(help = "list and change the members of the control group")]
    Member(Group<Member>),
    #[options(help = "show and verify the audit trail")]
    Audit(Group<Audit>),
    #[options(help = "make keys")]
    Key(Group<Key>),
    #[options(help = "say where a key is served and why")]
    Explain(ExplainArgs),
    #[options(help = "show the state of the VM that answers")]
    Status(NoArgs),
    #[options(help = "find the cause of a failed request in log files")]
    Trace(TraceArgs),
}

// A group of commands.
#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct Group<C>
where
    C: Options,
{
    #[options(help = "show this text")]
    pub(crate) help: bool,
    #[options(command, required)]
    pub(crate) command: Option<C>,
}

#[derive(Debug, Options)]
pub(crate) enum Bundle {
    #[options(help = "write a bundle: a first one, or one that follows the standing bundle")]
    New(NewArgs),
    #[options(help = "check a bundle and show its version and digest")]
    Check(FileArgs),
    #[options(help = "show what a bundle changes against another or the standing one")]
    Diff(DiffArgs),
    #[options(help = "sign a bundle; adds to the signatures in its .signed file")]
    Sign(SignArgs),
    #[options(help = "submit a .signed file and wait until it is in force on every VM")]
    Submit(SubmitArgs),
    #[options(help = "show which version is in force on each VM")]
    Status(NoArgs),
    #[options(help = "write a bundle with the services of an earlier version")]
    Rollback(RollbackArgs),
}

#[derive(Debug, Options)]
pub(crate) enum Vm {
    #[options(help = "list the VMs")]
    List(NoArgs),
}

#[derive(Debug, Options)]
pub(crate) enum Target {
    #[options(help = "list the targets of the domain")]
    List(TargetListArgs),
    #[options(help = "let a target leave: it gets no new work, and its shards move")]
    Drain(DrainArgs),
}

#[derive(Debug, Options)]
pub(crate) enum Shard {
    #[options(help = "show the shards of a service")]
    Show(ShardShowArgs),
    #[options(help = "move a shard to another failure domain")]
    Move(ShardMoveArgs),
}

#[derive(Debug, Options)]
pub(crate) enum Domain {
    #[options(help = "declare that a failure domain is lost and runs nothing any more")]
    DeclareLost(DomainArgs),
    #[options(help = "let a failure domain that was declared lost take part again")]
    Return(DomainArgs),
    #[options(
        help = "send nothing new to the targets of a failure domain; its shards move to others"
    )]
    Evacuate(DomainArgs),
    #[options(help = "end the evacuation of a failure domain, so that it takes part again")]
    Readmit(DomainArgs),
}

#[derive(Debug, Options)]
pub(crate) enum Member {
    #[options(help = "list the members of the control group")]
    List(NoArgs),
    #[options(help = "add a voter; it votes once it has caught up")]
    Add(MemberAddArgs),
    #[options(help = "remove a voter")]
    Remove(MemberRemoveArgs),
}

#[derive(Debug, Options)]
pub(crate) enum Audit {
    #[options(help = "show the audit trail")]
    Show(AuditShowArgs),
    #[options(help = "check that no record was changed or removed")]
    Verify(AuditVerifyArgs),
}

#[derive(Debug, Options)]
pub(crate) enum Key {
    #[options(help = "write a new key to a file that only its owner can read")]
    New(KeyNewArgs),
}

#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct NoArgs {
    #[options(help = "show this text")]
    pub(crate) help: bool,
}

#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct TraceArgs {
    #[options(help = "show this text")]
    pub(crate) help: bool,
    #[options(free, required, help = "id of the request")]
    pub(crate) request: String,
    #[options(free, required, help = "log files of VMs, as JSON lines")]
    pub(crate) files: Vec<PathBuf>,
}

#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct FileArgs {
    #[options(help = "show this text")]
    pub(crate) help: bool,
    #[options(free, required, help = "bundle, in YAML or with signatures")]
    pub(crate) file: PathBuf,
}

#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct NewArgs {
    #[options(help = "show this text")]
    pub(crate) help: bool,
    #[options(free, required, help = "file to write; it must not exist")]
    pub(crate) file: PathBuf,
    #[options(
        help = "make a first bundle with this operator and public key; may be given several times",
        meta = "NAME=KEY"
    )]
    pub(crate) operator: Vec<String>,
    #[options(
        help = "signatures that the next bundle needs; half of the operators and one by default",
        meta = "N"
    )]
    pub(crate) needed: Option<u32>,
}

#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct DiffArgs {
    #[options(help = "show this text")]
    pub(crate) help: bool,
    #[options(free, required, help = "bundle")]
    pub(crate) file: PathBuf,
    #[options(help = "earlier bundle; the standing one by default", meta = "FILE")]
    pub(crate) from: Option<PathBuf>,
}

#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct SignArgs {
    #[options(help = "show this text")]
    pub(crate) help: bool,
    #[options(free, required, help = "bundle, in YAML or with signatures")]
    pub(crate) file: PathBuf,
    #[options(
        required,
        help = "required: name of the operator who signs",
        meta = "NAME"
    )]
    pub(crate) operator: String,
    #[options(
        required,
        help = "required: file with the operator's key",
        meta = "FILE"
    )]
    pub(crate) key_file: PathBuf,
}

#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct SubmitArgs {
    #[options(help = "show this text")]
    pub(crate) help: bool,
    #[options(free, required, help = "file with signatures")]
    pub(crate) file: PathBuf,
    #[options(
        help = "time to wait until the bundle is in force on every VM",
        meta = "TIME",
        default = "12s",
        parse(try_from_str = "parse_time")
    )]
    pub(crate) wait: Duration,
}

#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct RollbackArgs {
    #[options(help = "show this text")]
    pub(crate) help: bool,
    #[options(free, required, help = "file to write; it must not exist")]
    pub(crate) file: PathBuf,
    #[options(
        required,
        help = "required: version whose services come back",
        meta = "VERSION"
    )]
    pub(crate) to: u64,
    #[options(help = "bring back the operators of that version too")]
    pub(crate) with_operators: bool,
}

#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct TargetListArgs {
    #[options(help = "show this text")]
    pub(crate) help: bool,
    #[options(help = "only targets of this service", meta = "SERVICE")]
    pub(crate) service: Option<String>,
}

#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct DrainArgs {
    #[options(help = "show this text")]
    pub(crate) help: bool,
    #[options(free, required, help = "id of the target, from `target list`")]
    pub(crate) id: u64,
    #[options(
        required,
        help = "required: your name, for the audit trail",
        meta = "NAME"
    )]
    pub(crate) operator: String,
}

#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct ShardShowArgs {
    #[options(help = "show this text")]
    pub(crate) help: bool,
    #[options(required, help = "required: service", meta = "SERVICE")]
    pub(crate) service: String,
    #[options(help = "only this shard", meta = "N")]
    pub(crate) shard: Option<u32>,
}

#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct ShardMoveArgs {
    #[options(help = "show this text")]
    pub(crate) help: bool,
    #[options(required, help = "required: service", meta = "SERVICE")]
    pub(crate) service: String,
    #[options(required, help = "required: shard", meta = "N")]
    pub(crate) shard: u32,
    #[options(required, help = "required: new home domain", meta = "DOMAIN")]
    pub(crate) to: String,
    #[options(
        required,
        help = "required: your name, for the audit trail",
        meta = "NAME"
    )]
    pub(crate) operator: String,
}

#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct DomainArgs {
    #[options(help = "show this text")]
    pub(crate) help: bool,
    #[options(free, required, help = "failure domain")]
    pub(crate) domain: String,
    #[options(
        required,
        help = "required: your name, for the audit trail",
        meta = "NAME"
    )]
    pub(crate) operator: String,
}

#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct MemberAddArgs {
    #[options(help = "show this text")]
    pub(crate) help: bool,
    #[options(required, help = "required: VM", meta = "N")]
    pub(crate) vm: u32,
    #[options(
        help = "its address for other VMs, if it has not registered",
        meta = "IP:PORT"
    )]
    pub(crate) address: Option<SocketAddr>,
    #[options(
        required,
        help = "required: your name, for the audit trail",
        meta = "NAME"
    )]
    pub(crate) operator: String,
}

#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct MemberRemoveArgs {
    #[options(help = "show this text")]
    pub(crate) help: bool,
    #[options(required, help = "required: VM", meta = "N")]
    pub(crate) vm: u32,
    #[options(
        required,
        help = "required: your name, for the audit trail",
        meta = "NAME"
    )]
    pub(crate) operator: String,
}

#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct AuditShowArgs {
    #[options(help = "show this text")]
    pub(crate) help: bool,
    #[options(help = "number of the first record", meta = "N", default = "1")]
    pub(crate) from: u64,
}

#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct AuditVerifyArgs {
    #[options(help = "show this text")]
    pub(crate) help: bool,
    #[options(
        help = "hash that an earlier check showed; it must still be in the trail",
        meta = "HASH"
    )]
    pub(crate) hash: Option<camphordale_types::Digest>,
}

#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct KeyNewArgs {
    #[options(help = "show this text")]
    pub(crate) help: bool,
    #[options(free, required, help = "file to write; it must not exist")]
    pub(crate) file: PathBuf,
}

#[derive(Debug, Options)]
#[options(no_short)]
pub(crate) struct ExplainArgs {
    #[options(help = "show this text")]
    pub(crate) help: bool,
    #[options(required, help = "required: service", meta = "SERVICE")]
    pub(crate) service: String,
    #[options(required, help = "required: key", meta = "KEY")]
    pub(crate) key: String,
}

/// A valid command line.
pub(crate) enum Parsed {
    /// Print this text: the help or the version.
    Help(String),
    /// Execute a command.
    Run(Global, Command),
}

/// Parses a command line.
pub(crate) fn parse(args: &[String]) -> Result<Parsed, CliError> {
    let mut options =
        Global::parse_args_default(args).map_err(|e| CliError::Usage(e.to_string()))?;
    if options.version {
        let text = format!("camphorctl {}", env!("CARGO_PKG_VERSION"));
        return Ok(Parsed::Help(text));
    }
    if options.help_requested() {
        return Ok(Parsed::Help(help(&options)));
    }
    match options.command.take() {
        Some(command) => Ok(Parsed::Run(options, command)),
        None => Err(CliError::Usage(
            "a command is required; see camphorctl --help".into(),
        )),
    }
}

/// Returns the help of the innermost command on the command line.
fn help(options: &Global) -> String {
    let mut line = String::from("camphorctl");
    let mut innermost: &dyn Options = options;
    while let Some(command) = innermost.command() {
        line.push(' ');
        line.push_str(command.command_name().unwrap_or_default());
        innermost = command;
    }
    let mut text = format!("Usage: {line} [OPTIONS]\n\n{}\n", innermost.self_usage());
    if let Some(list) = innermost.self_command_list() {
        text.push_str(&format!("\nCommands:\n{list}\n"));
    }
    if line == "camphorctl" {
        text.push_str(
            "\nExit codes: 0 done, 1 refused, 2 usage, 3 unreachable or outcome unknown,\n\
             4 accepted and not yet in force everywhere.\n",
        );
    }
    text
}

/// Parses a duration such as `12s`, `500ms` or `2m`.
fn parse_time(text: &str) -> Result<Duration, &'static str> {
    const INVALID: &str = "a time has a unit, such as `12s`, `500ms` or `2m`";
    let end = text.find(|c: char| !c.is_ascii_digit()).ok_or(INVALID)?;
    let (number, unit) = text.split_at(end);
    let number: u32 = number.parse().map_err(|_| INVALID)?;
    match unit {
        "ms" => Ok(Duration::from_millis(number.into())),
        "s" => Ok(Duration::from_secs(number.into())),
        "m" => Ok(Duration::from_secs(u64::from(number) * 60)),
        _ => Err(INVALID),
    }
}
