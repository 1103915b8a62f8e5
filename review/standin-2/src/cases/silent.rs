//! The open connections between the core machines go silent for good, while new ones work.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::{request, wait_until_served};
use crate::{
    Verdict,
    fleet::{Fleet, config, route, service},
    http,
    proxy::Network,
    record::Record,
};

/// Time after the disruption in which the core may settle: several times `contact_ms`, and longer than
/// every timeout between machines of the system.
const SETTLE: Duration = Duration::from_secs(40);
/// Time for which the operator reads the configuration back, which is at least `contact_ms`.
const READ_BACK: Duration = Duration::from_secs(15);
const KEY: u16 = 7;

/// Offset of a machine's internal ports. They differ, so that a proxy can stand between two machines:
/// what a machine calls at the address of another has the caller's port numbers.
fn port_offset(host: u8) -> u16 {
    match host {
        1..=3 => u16::from(host) * 20,
        _ => 80,
    }
}

pub fn run(record: Record, trouble: bool) -> Result<Verdict, String> {
    let mut fleet = Fleet::new(record.clone(), &["zone-a"])?;
    fleet.port_offset = port_offset;
    let network = Network::default();
    for core in 1..=3 {
        for caller in [1, 2, 3, 11].into_iter().filter(|caller| *caller != core) {
            let at = (fleet.ip(core), fleet.internal_port(caller)).into();
            let to = (fleet.ip(core), fleet.internal_port(core)).into();
            network.pass(at, to).map_err(|error| error.to_string())?;
        }
    }
    for number in 1..=3 {
        fleet.start_upstream(number, "pages", &["sharded=1"]);
    }
    let entries = [route("pages", "safe", 1000, 2), service("pages", true, 62)];
    fleet.found(1, &config(1, &entries))?;
    wait_until_served(&fleet, "pages", KEY)?;
    thread::sleep(Duration::from_secs(5));
    record.add(format!(
        "connections through the proxy so far: {}",
        network.opened()
    ));
    record.add(format!(
        "requests served before: {} of 10",
        served(&fleet, "before")
    ));
    if trouble {
        network.go_silent();
        record.add("the connections that are open now are silent from now on; new ones work");
    }
    thread::sleep(SETTLE);
    record.add(format!(
        "requests served after: {} of 10",
        served(&fleet, "after")
    ));
    let start = Instant::now();
    let (mut reads, mut answers) = (0, 0);
    while start.elapsed() < READ_BACK {
        reads += 1;
        let read = fleet.operate("GET /Config.Get HTTP/1.1\r\nHost: control", b"");
        let status = read.as_ref().map_or(0, http::Message::status);
        let is_newest = read.is_some_and(|read| read.text().contains("\"00000001\""));
        record.add(format!(
            "operator read at every core machine: {status}, newest {is_newest}"
        ));
        answers += u32::from(is_newest);
        thread::sleep(Duration::from_millis(300));
    }
    record.add(format!(
        "{reads} rounds of reads, {answers} gave the configuration"
    ));
    record.add(format!(
        "connections through the proxy: {}",
        network.opened()
    ));
    for core in 1..=3 {
        let name = format!("core-{core}");
        if !fleet.is_running(&name) {
            return Err(format!("{name} has ended"));
        }
        let roles = fleet.log(&name);
        let last = roles
            .lines()
            .rfind(|line| line.contains("\"msg\":\"role\""));
        record.add(format!(
            "{name} runs; its last change of role: {}",
            last.unwrap_or("-")
        ));
    }
    Ok(match answers {
        0 => Verdict::Broken,
        _ => Verdict::Held,
    })
}

/// Sends ten requests to the front machine and returns how many are served.
fn served(fleet: &Fleet, name: &str) -> usize {
    let deadline = Duration::from_secs(1);
    let ids = (0..10).map(|number| format!("{name}-{number}"));
    let answers = ids.map(|id| {
        let head = request("pages", "w20", &id, deadline, KEY);
        let status = http::call(fleet.front(1), &head, b"", deadline * 2);
        let status = status.map_or(0, |answer| answer.status());
        fleet.record.add(format!("client {id} answer {status}"));
        status
    });
    answers.filter(|status| *status == 200).count()
}
