//! HTTP endpoints under `/standin/` that inject faults into a target and return its statistics.

use std::sync::atomic::Ordering;

use serde_json::{
    Value,
    json, //
};

use crate::{
    Delivery,
    Fault,
    Response,
    target::Target, //
};

/// Default delay of a late response past its deadline, in milliseconds.
const DEFAULT_LATE_MS: u64 = 100;

/// Executes `command`, the part of the path after `/standin/`.
pub(crate) fn handle_command(target: &Target, command: &str) -> Response {
    let (status, value) = match apply(target, command) {
        Ok(value) => (200, value),
        Err(error) => (400, json!({ "error": error })),
    };
    Response {
        status,
        headers: vec![("content-type", "application/json".into())],
        body: value.to_string().into_bytes(),
        delivery: Delivery::Forced,
    }
}

fn apply(target: &Target, command: &str) -> Result<Value, String> {
    let (name, query) = command.split_once('?').unwrap_or((command, ""));
    let faults = &target.faults;
    let number = |name| parse_number(query, name);
    let share = || Ok::<_, String>(number("share")?.unwrap_or(1.0));
    match name {
        "freeze" => faults.update(|settings| settings.frozen = true),
        "thaw" => faults.update(|settings| settings.frozen = false),
        "slow" => {
            let ms = number("ms")?.unwrap_or(0.0) as u64;
            faults.update(|settings| settings.slow_ms = ms);
        }
        "shed" => faults.set_share(Fault::Shed, share()?),
        "cut" => faults.set_share(Fault::Truncate, share()?),
        "late" => {
            let ms = number("ms")?.map_or(DEFAULT_LATE_MS, |ms| ms as u64);
            faults.update(|settings| settings.late_ms = ms);
            faults.set_share(Fault::Late, share()?);
        }
        "crossed" => {
            let fault = match parameter(query, "mode").unwrap_or("swap") {
                "swap" => Fault::Swap,
                "wrong-id" => Fault::WrongId,
                other => return Err(format!("mode {other:?} is neither swap nor wrong-id")),
            };
            faults.set_share(fault, share()?);
        }
        "lie" => {
            let on = number("on")?.unwrap_or(1.0) != 0.0;
            faults.update(|settings| settings.hide_load = on);
        }
        "mute" => target.mute_connections(),
        "clear" => faults.clear(),
        "drain" => target.start_drain(),
        "stats" => {}
        other => return Err(format!("unknown switch {other:?}")),
    }
    Ok(stats(target))
}

fn stats(target: &Target) -> Value {
    let fencing = target.fencing();
    let now = target.clock.now();
    // Rounded up, so that 0 means that the lease has expired.
    let lease_left = fencing.lease_expiry().saturating_sub(now).as_micros();
    let lease_left_ms = lease_left.div_ceil(1000) as u64;
    json!({
        "target": target.options.name,
        "running": target.running.load(Ordering::SeqCst),
        "runs": target.runs.load(Ordering::SeqCst),
        "commits": target.commits.load(Ordering::SeqCst),
        "refused": target.refused.load(Ordering::SeqCst),
        "draining": target.draining.load(Ordering::SeqCst),
        "lease_left_ms": lease_left_ms,
        "grants_version": fencing.grants_version(),
        "shards": fencing.granted_shards(),
        "switches": target.faults.settings(),
    })
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(n, _)| *n == name);
    values.next().map(|(_, value)| value)
}

fn parse_number(query: &str, name: &str) -> Result<Option<f64>, String> {
    let Some(text) = parameter(query, name) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(value) if value >= 0.0 => Ok(Some(value)),
        _ => Err(format!("{name}={text:?} is not a number of at least 0")),
    }
}
