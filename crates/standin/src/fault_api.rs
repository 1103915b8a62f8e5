//! Control endpoints of a target under `/standin/`, for tests.

use std::sync::atomic::Ordering;

use serde_json::{
    Value,
    json, //
};

use crate::{
    Delivery,
    Fault,
    Reply,
    target::Target, //
};

/// Milliseconds past the deadline at which a late answer is sent, unless given.
const LATE_MS: u64 = 100;

/// Carries out `command`, which is what follows `/standin/` in the path.
pub(crate) fn answer(target: &Target, command: &str) -> Reply {
    let (status, value) = match apply(target, command) {
        Ok(value) => (200, value),
        Err(error) => (400, json!({ "error": error })),
    };
    Reply {
        status,
        headers: vec![("content-type", "application/json".into())],
        body: value.to_string().into_bytes(),
        delivery: Delivery::Always,
    }
}

fn apply(target: &Target, command: &str) -> Result<Value, String> {
    let (name, query) = command.split_once('?').unwrap_or((command, ""));
    let switches = &target.switches;
    let number = |name| number_of(query, name);
    let share = || Ok::<_, String>(number("share")?.unwrap_or(1.0));
    match name {
        "freeze" => switches.set(|settings| settings.frozen = true),
        "thaw" => switches.set(|settings| settings.frozen = false),
        "slow" => {
            let ms = number("ms")?.unwrap_or(0.0) as u64;
            switches.set(|settings| settings.slow_ms = ms);
        }
        "shed" => switches.set_share(Fault::Shed, share()?),
        "cut" => switches.set_share(Fault::Cut, share()?),
        "late" => {
            let ms = number("ms")?.map_or(LATE_MS, |ms| ms as u64);
            switches.set(|settings| settings.late_ms = ms);
            switches.set_share(Fault::Late, share()?);
        }
        "crossed" => {
            let fault = match parameter(query, "mode").unwrap_or("swap") {
                "swap" => Fault::Swap,
                "wrong-id" => Fault::WrongId,
                other => return Err(format!("mode {other:?} is neither swap nor wrong-id")),
            };
            switches.set_share(fault, share()?);
        }
        "lie" => {
            let on = number("on")?.unwrap_or(1.0) != 0.0;
            switches.set(|settings| settings.lie = on);
        }
        "mute" => target.silence(),
        "clear" => switches.clear(),
        "drain" => target.begin_drain(),
        "stats" => {}
        other => return Err(format!("unknown switch {other:?}")),
    }
    Ok(stats(target))
}

fn stats(target: &Target) -> Value {
    let fence = target.fence();
    let now = target.clock.now();
    // Rounded up, so that 0 means that the lease has run out.
    let left = fence.lease_until().saturating_sub(now).as_micros();
    let left = left.div_ceil(1000) as u64;
    json!({
        "target": target.options.name,
        "running": target.running.load(Ordering::SeqCst),
        "runs": target.runs.load(Ordering::SeqCst),
        "commits": target.commits.load(Ordering::SeqCst),
        "refused": target.refused.load(Ordering::SeqCst),
        "draining": target.draining.load(Ordering::SeqCst),
        "lease_left_ms": left,
        "grants_version": fence.version(),
        "shards": fence.shards(),
        "switches": target.switches.settings(),
    })
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(n, _)| *n == name);
    values.next().map(|(_, value)| value)
}

fn number_of(query: &str, name: &str) -> Result<Option<f64>, String> {
    let Some(text) = parameter(query, name) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(value) if value >= 0.0 => Ok(Some(value)),
        _ => Err(format!("{name}={text:?} is not a number of at least 0")),
    }
}
