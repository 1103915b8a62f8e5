//! The core machines are replaced one after the other. Later one of them loses its disk, and when it
//! is back for long, another one.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{Fleet, config, route, service},
    http,
    record::Record,
};

/// Time from the start of a new core machine to the SIGTERM of the one that it replaces, and from there
/// to the next event: longer than `catch_up_s` (4 s), after which a machine counts as back.
const CATCH_UP: Duration = Duration::from_secs(6);
/// Time from the return of the machine that lost its disk to the next loss.
const LATER: Duration = Duration::from_secs(15);
/// Time for which a machine that loses its disk is down.
const DOWN: Duration = Duration::from_secs(1);
/// `recovery_s`.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time for which the operator reads the configuration back, which is at least `contact_ms`.
const READ_BACK: Duration = Duration::from_secs(8);

pub fn run(record: Record, trouble: bool) -> Result<Verdict, String> {
    let mut fleet = Fleet::new(record.clone(), &["zone-a", "zone-b", "zone-c"])?;
    let entries = [route("pages", "safe", 1000, 2), service("pages", false, 62)];
    fleet.found(1, &config(1, &entries))?;
    thread::sleep(CATCH_UP);
    let mut cores = [1, 2, 3];
    for at in 0..cores.len() {
        let (old, new) = (cores[at], cores[at] + 3);
        fleet.start_core(new, false);
        thread::sleep(CATCH_UP);
        fleet.terminate(&format!("core-{old}"));
        cores[at] = new;
        fleet.list_cores(&cores);
        thread::sleep(CATCH_UP);
    }
    put(&fleet, 2, &entries)?;
    lose_disk(&mut fleet, 4, trouble);
    thread::sleep(LATER);
    put(&fleet, 3, &entries)?;
    lose_disk(&mut fleet, 5, trouble);
    thread::sleep(RECOVERY);
    let start = Instant::now();
    let (mut reads, mut answers) = (0, 0);
    while start.elapsed() < READ_BACK {
        reads += 1;
        let read = fleet.operate("GET /Config.Get HTTP/1.1\r\nHost: control", b"");
        let status = read.as_ref().map_or(0, http::Message::status);
        let is_newest = read.is_some_and(|read| read.text().contains("\"00000003\""));
        record.add(format!(
            "operator read at every core machine: {status}, newest {is_newest}"
        ));
        answers += u32::from(is_newest);
        thread::sleep(Duration::from_millis(300));
    }
    for core in cores {
        let name = format!("core-{core}");
        if !fleet.is_running(&name) {
            return Err(format!("{name} has ended"));
        }
        let log = fleet.log(&name);
        let last = log
            .lines()
            .rfind(|line| line.contains("\"msg\":\"members\""));
        record.add(format!(
            "{name} runs; members that it knows: {}",
            last.unwrap_or("-")
        ));
    }
    record.add(format!(
        "{reads} rounds of reads, {answers} gave the newest configuration"
    ));
    Ok(match answers {
        0 => Verdict::Broken,
        _ => Verdict::Held,
    })
}

fn put(fleet: &Fleet, version: u32, entries: &[String]) -> Result<(), String> {
    match fleet.put(version - 1, version, &config(version, entries)) {
        Some(200) => Ok(()),
        other => Err(format!("version {version} was not acknowledged: {other:?}")),
    }
}

/// Kills a core machine. It comes back, with an empty disk if `trouble` is set.
fn lose_disk(fleet: &mut Fleet, core: u8, trouble: bool) {
    let name = format!("core-{core}");
    fleet.kill(&name);
    if trouble {
        fleet.wipe(&name);
    }
    thread::sleep(DOWN);
    fleet.start_core(core, false);
}
