//! A request crashes each upstream that runs it and comes again, while heartbeats arrive late.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use super::{request, wait_until_served};
use crate::{
    Verdict,
    fleet::{Fleet, config, route, service},
    http,
    proxy::pass_late,
    record::Record,
};

const UPSTREAMS: u8 = 8;
/// By how much heartbeats are late.
const LATE: Duration = Duration::from_secs(4);
const CONTACT: Duration = Duration::from_secs(3);
/// Time after which an upstream that crashed is back, as another incarnation.
const BACK_AFTER: Duration = Duration::from_secs(3);
/// Time between two retries of the request.
const RETRY_AFTER: Duration = Duration::from_secs(3);
const RETRIES: u32 = 20;
const ALLOWED: usize = 3;
const CLIENTS: usize = 2;
const PAUSE: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_secs(1);

pub fn run(record: Record, trouble: bool) -> Result<Verdict, String> {
    let mut fleet = Fleet::new(record.clone(), &["zone-a"])?;
    let entries = [route("pages", "safe", 1000, 2), service("pages", false, 62)];
    let mut controls = fleet.controls();
    if trouble {
        for (control, number) in controls.iter_mut().zip(20..) {
            let at = SocketAddr::new(fleet.ip(number), control.port());
            pass_late(at, *control, LATE).map_err(|e| e.to_string())?;
            *control = at;
        }
    }
    let controls: Vec<String> = controls.iter().map(ToString::to_string).collect();
    let controls = format!("controls={}", controls.join(","));
    for number in 1..=UPSTREAMS {
        fleet.start_upstream(number, "pages", &[&controls]);
    }
    fleet.found(2, &config(1, &entries))?;
    wait_until_served(&fleet, "pages", 1)?;
    thread::sleep(Duration::from_secs(7));

    let start = Instant::now();
    let end = start + RETRY_AFTER * RETRIES;
    let fronts = [fleet.front(1), fleet.front(2)];
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || ask(client, fronts, end, &record))
        })
        .collect();
    let mut retries = 0;
    let mut lives = 0;
    let mut back: Vec<(Instant, u8)> = Vec::new();
    while Instant::now() < end {
        if start.elapsed() >= RETRY_AFTER * retries {
            let head = request("pages", "c50", &format!("deadly-{retries}"), DEADLINE, 1);
            let answer = http::call(fronts[retries as usize % 2], &head, b"", DEADLINE * 2);
            let status = answer.as_ref().map_or(0, http::Message::status);
            record.add(format!("client deadly-{retries} answer {status}"));
            retries += 1;
        }
        for number in 1..=UPSTREAMS {
            let is_waiting = back.iter().any(|(_, other)| *other == number);
            if !is_waiting && !fleet.is_running(&format!("upstream-{number}")) {
                back.push((Instant::now() + BACK_AFTER, number));
            }
        }
        for (_, number) in back.extract_if(.., |(at, _)| Instant::now() >= *at) {
            lives += 1;
            fleet.kill(&format!("upstream-{number}"));
            let id = format!("id=i-{number}-{lives}");
            fleet.start_upstream(number, "pages", &[&controls, &id]);
        }
        thread::sleep(Duration::from_millis(20));
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let all = record.find("upstream-");
    let crashes = all
        .iter()
        .filter(|(_, line)| line.contains(" crash deadly-"));
    let third = crashes.clone().nth(2).map(|(at, _)| *at);
    let late: BTreeSet<&str> = all
        .iter()
        .filter(|(at, _)| third.is_some_and(|third| *at > third + CONTACT))
        .filter_map(|(_, line)| line.split(" run ").nth(1)?.split(' ').next())
        .filter(|id| id.starts_with("deadly-"))
        .collect();
    record.add(format!(
        "{retries} requests, {} crashes, the third at {third:?}; {} retries reached upstreams later \
         than {CONTACT:?} after it, allowed {ALLOWED}",
        crashes.count(),
        late.len()
    ));
    Ok(match late.len() > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Asks for other pages until `end`, at both front machines by turns.
fn ask(client: usize, fronts: [SocketAddr; 2], end: Instant, record: &Record) {
    for number in 0.. {
        if Instant::now() > end {
            return;
        }
        let id = format!("page-{client}-{number}");
        let path = format!("w20/{client}-{number}");
        let head = request("pages", &path, &id, DEADLINE, 1);
        let answer = http::call(fronts[(client + number) % 2], &head, b"", DEADLINE * 2);
        let status = answer.as_ref().map_or(0, http::Message::status);
        record.add(format!("client {id} answer {status}"));
        thread::sleep(PAUSE);
    }
}
