//! From the id of a failed request to its cause, by the logs of the VMs alone.

use std::path::Path;

use serde::Serialize;
use serde_json::Value;

use crate::{
    CliError,
    args::TraceArgs,
    console::Console,
    files, //
};

/// State lines up to this many seconds before the last decision are shown.
const CONTEXT_SECONDS: f64 = 6.0;

/// One log line, with what is needed to relate it to others.
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
        read(file, &mut lines)?;
    }
    lines.sort_by(|a, b| a.seconds.total_cmp(&b.seconds));
    let Some(trace) = trace(&lines, &args.request) else {
        let reason =
            "no line names the request: it was answered in time, or its lines were left out";
        return Err(CliError::Usage(format!("{}: {reason}", args.request)));
    };
    console.show(&trace, || describe(&trace))
}

/// Lines may have other text before the JSON, such as the name of the VM.
fn read(file: &Path, lines: &mut Vec<Line>) -> Result<(), CliError> {
    for text in files::read(file)?.lines() {
        let Some(start) = text.find('{') else {
            continue;
        };
        // Lines of other programs may be in the file.
        let Ok(value) = serde_json::from_str::<Value>(&text[start..]) else {
            continue;
        };
        let Some(seconds) = value["ts"].as_str().and_then(seconds) else {
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

/// Seconds of the day of a time stamp such as `2026-01-31T10:20:30.5Z`.
fn seconds(stamp: &str) -> Option<f64> {
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
        (0.0..=CONTEXT_SECONDS).contains(&age) && is_related(&line.value, &last.value)
    };
    let context = lines.iter().filter(related).cloned().collect();
    let cause = cause(last.value["reason"].as_str().unwrap_or_default());
    Some(Trace {
        decisions,
        context,
        cause,
    })
}

/// Whether a state line may explain a decision: it is about the same VM's view, the same target or
/// the same key.
fn is_related(state: &Value, decision: &Value) -> bool {
    let same = |field: &str| state[field].is_string() && state[field] == decision[field];
    let covers = || {
        let (from, to) = (state["from"].as_u64(), state["to"].as_u64());
        let key = decision["key"].as_u64();
        matches!((from, to, key), (Some(from), Some(to), Some(key)) if (from..=to).contains(&key))
    };
    match state["msg"].as_str().unwrap_or_default() {
        "stream from control" | "routing in force" | "stopping" | "start" => same("node"),
        "log lines left out" => same("node"),
        "order not carried out" | "target" => same("target"),
        "keys assigned" | "keys begin to move" => same("service") && covers(),
        "role" | "members" | "storage failed" | "storage opened again" => true,
        _ => false,
    }
}

/// What a reason means, and what to look at next.
fn cause(reason: &str) -> &'static str {
    match reason {
        "no-routing" => "the VM had no routing yet: it had just started, or no control VM leads",
        "no-route" => "no route of the version in force matches host and path",
        "no-key" => "the service divides its requests by key, and the request had none",
        "no-target" => "no target of the service took work: see the lines on targets",
        "full" => "every target would have answered after the objective: see the load",
        "no-holder" => "the key had no holder: it was moving, or its holder's hold had ended",
        "moving" => "the key was between two holders for longer than the request could wait",
        "holder-full" => {
            "the holder of the key had no place: compare load, open and expected_ms of the line"
        }
        "holder-lost" => "the holder of the key did not answer this VM; its hold has to run out",
        "shed" => "the target refused the request, and no repeat was allowed",
        "lost" => "the connection failed after the request was sent; it may have run",
        "unreached" => "no connection to the targets opened",
        "timed-out" => "the target did not answer before the deadline",
        "expired" => "the deadline passed before the request could be sent",
        "failure" => "the target answered with a failure",
        "slow" | "success" => "the target answered late: compare the times of its other requests",
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
