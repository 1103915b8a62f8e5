//! `trace`: finds the cause of a failed request in the logs of the VMs.

use std::path::Path;

use serde::Serialize;
use serde_json::Value;

use crate::{
    CliError,
    args::TraceArgs,
    console::Console,
    files, //
};

/// Period before the last decision from which lines on state changes are shown.
const CONTEXT_SECONDS: f64 = 6.0;

/// A log line, with its time in seconds of the day.
#[derive(Clone, Debug, Serialize)]
struct Line {
    seconds: f64,
    text: String,
    #[serde(skip)]
    value: Value,
}

#[derive(Debug, Serialize)]
struct Trace {
    decisions: Vec<Line>,
    context: Vec<Line>,
    cause: &'static str,
}

pub(crate) fn run(args: &TraceArgs, console: &mut Console<'_>) -> Result<(), CliError> {
    let mut lines = Vec::new();
    for file in &args.files {
        read_lines(file, &mut lines)?;
    }
    lines.sort_by(|a, b| a.seconds.total_cmp(&b.seconds));
    let Some(trace) = trace(&lines, &args.request) else {
        let reason =
            "no line names the request: it was answered in time, or its lines were left out";
        return Err(CliError::Usage(format!("{}: {reason}", args.request)));
    };
    console.show(&trace, || describe(&trace))
}

/// Reads the JSON lines of a log file. A line may have text before the JSON, such as the name of
/// the VM.
fn read_lines(file: &Path, lines: &mut Vec<Line>) -> Result<(), CliError> {
    for text in files::read(file)?.lines() {
        let Some(start) = text.find('{') else {
            continue;
        };
        // The file may contain lines of other programs.
        let Ok(value) = serde_json::from_str::<Value>(&text[start..]) else {
            continue;
        };
        let Some(seconds) = value["ts"].as_str().and_then(seconds_of_day) else {
            continue;
        };
        lines.push(Line {
            seconds,
            text: text[start..].to_owned(),
            value,
        });
    }
    Ok(())
}

/// Returns the seconds since midnight of a time stamp such as `2026-01-31T10:20:30.5Z`.
fn seconds_of_day(stamp: &str) -> Option<f64> {
    let (_, time) = stamp.split_once('T')?;
    let mut parts = time.trim_end_matches('Z').split(':');
    let mut next = || parts.next()?.parse::<f64>().ok();
    let (hours, minutes, seconds) = (next()?, next()?, next()?);
    Some((hours * 60.0 + minutes) * 60.0 + seconds)
}

fn trace(lines: &[Line], request: &str) -> Option<Trace> {
    let decisions: Vec<Line> = lines
        .iter()
        .filter(|line| line.value["request"] == request)
        .cloned()
        .collect();
    let last = decisions.last()?;
    let related = |line: &&Line| {
        let age = last.seconds - line.seconds;
        let recent = (0.0..=CONTEXT_SECONDS).contains(&age) && is_related(&line.value, &last.value);
        recent || (age >= 0.0 && is_evidence(&line.value, &last.value))
    };
    let context = lines.iter().filter(related).cloned().collect();
    let cause = cause(last.value["reason"].as_str().unwrap_or_default());
    Some(Trace {
        decisions,
        context,
        cause,
    })
}

/// Tells whether a line on a state change may explain a decision: it is about the same VM, the
/// same target or the same key.
fn is_related(state: &Value, decision: &Value) -> bool {
    let is_equal = |field: &str| state[field].is_string() && state[field] == decision[field];
    let covers_key = || {
        let (from, to) = (state["from"].as_u64(), state["to"].as_u64());
        let key = decision["key"].as_u64();
        matches!((from, to, key), (Some(from), Some(to), Some(key)) if (from..=to).contains(&key))
    };
    match state["msg"].as_str().unwrap_or_default() {
        "stream from control" | "routing in force" | "stopping" | "start" => is_equal("node"),
        "log lines left out" => is_equal("node"),
        "order not carried out" | "target" => is_equal("target"),
        "keys assigned" | "keys begin to move" => is_equal("service") && covers_key(),
        "role" | "members" | "storage failed" | "storage opened again" => true,
        _ => false,
    }
}

/// Tells whether a line is evidence for a refusal because of crashes: an earlier decision about the
/// same request under another id, or a change of a target that crashed. It may be older than other
/// context.
fn is_evidence(line: &Value, decision: &Value) -> bool {
    let Some(crashed) = decision["crashed"].as_str() else {
        return false;
    };
    let is_repetition = line["fingerprint"].is_string()
        && line["fingerprint"] == decision["fingerprint"]
        && line["request"] != decision["request"];
    let target = line["target"].as_str().unwrap_or_default();
    is_repetition || (line["msg"] == "target" && crashed.split(',').any(|name| name == target))
}

/// Returns what a reason means and which lines to check next.
fn cause(reason: &str) -> &'static str {
    match reason {
        "no-routing" => {
            "the VM had no routing table yet: it had just started, or there was no control leader"
        }
        "no-route" => "no route of the version in force matches host and path",
        "no-key" => "the service needs a key to route a request, and the request had none",
        "link-full" => "the VM's link had no room for a long response: see its rate and the route",
        "no-target" => "no target of the service accepted requests: see the lines on targets",
        "full" => "every target would have responded later than the objective: see the load",
        "no-holder" => {
            "the key had no holder: it was moving, or its holder's key lease had expired"
        }
        "moving" => "the key was between two holders for longer than the request could wait",
        "holder-full" => {
            "the holder of the key had no free slot: compare load, open and expected_ms of the line"
        }
        "holder-lost" => {
            "the holder of the key did not respond to this VM; its key lease has to expire"
        }
        "unproved" => "the target answered with a status that means not run, but did not state it",
        "shed" => "the target refused the request, and no retry was allowed",
        "lost" => "the connection failed after the request was sent; it may have run",
        "unreached" => "no connection to a target could be opened",
        "timed-out" => "the target did not respond before the deadline",
        "expired" => "the deadline passed before the request could be sent",
        "suspected" => {
            "targets closed the connection while they had this request; whether they ended was not \
             certain yet"
        }
        "quarantined" => {
            "targets crashed while they ran this request: see the lines with its fingerprint"
        }
        "failure" => "the target responded with a failure",
        "slow" | "success" => "the target responded late: compare the times of its other requests",
        _ => "the reason is not known to this version of the tool",
    }
}

fn describe(trace: &Trace) -> String {
    let mut out = String::from("decisions:\n");
    for line in &trace.decisions {
        out.push_str(&format!("  {}\n", line.text));
    }
    out.push_str("state before the last of them:\n");
    for line in &trace.context {
        out.push_str(&format!("  {}\n", line.text));
    }
    out.push_str(&format!("cause: {}\n", trace.cause));
    out
}
