//! One upstream of a keyed service goes down and up by turns, while clients ask for a page.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use super::{request, wait_until_served};
use crate::{
    Verdict,
    fleet::{Fleet, config, route, service},
    http,
    record::Record,
};

/// Number of upstreams: one that flaps is a tenth.
const UPSTREAMS: u8 = 10;
/// Time between two steps of the upstream, and for how long it goes down and up.
const GAP: Duration = Duration::from_millis(1400);
const FLAPS: Duration = Duration::from_millis(6500);
/// Time after the disruption from which answers count: longer than `contact_ms`.
const SETTLE: Duration = Duration::from_secs(5);
/// Time in which answers count.
const COUNTED: Duration = Duration::from_secs(25);
const CLIENTS: usize = 4;
/// Time between two requests of a client.
const PAUSE: Duration = Duration::from_millis(400);
const DEADLINE: Duration = Duration::from_secs(3);
/// The key of the page.
const KEY: u16 = 7;

pub fn run(record: Record, trouble: bool) -> Result<Verdict, String> {
    let mut fleet = Fleet::new(record.clone(), &["zone-a"])?;
    let entries = [route("pages", "safe", 3000, 2), service("pages", true, 62)];
    let given = ["sharded=1", "cold=1"];
    for number in 1..=UPSTREAMS {
        fleet.start_upstream(number, "pages", &given);
    }
    fleet.found(2, &config(1, &entries))?;
    wait_until_served(&fleet, "pages", KEY)?;
    thread::sleep(Duration::from_millis(5000));
    let runs = record.find("upstream-");
    let last = runs.iter().rfind(|(_, line)| line.contains(" run first-"));
    let holder = last.and_then(|(_, line)| line.strip_prefix("upstream-")?.split(' ').next());
    let holder: u8 = holder
        .and_then(|text| text.parse().ok())
        .ok_or("no holder of the key")?;
    record.add(format!("upstream-{holder} holds the key of the page"));

    let start = Instant::now();
    let end = start + Duration::from_secs(1) + FLAPS + GAP + SETTLE + COUNTED;
    let fronts = [fleet.front(1), fleet.front(2)];
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || ask(client, fronts, end, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let begin = Instant::now();
    let mut is_up = true;
    while trouble && (begin.elapsed() < FLAPS || !is_up) {
        match is_up {
            true => fleet.kill(&format!("upstream-{holder}")),
            false => fleet.start_upstream(holder, "pages", &given),
        }
        is_up = !is_up;
        thread::sleep(GAP);
    }
    record.add("the upstream is up and stays up");
    let counted_from = record.now() + SETTLE;
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let all = record.find("client page-");
    let counted = || all.iter().filter(|(at, _)| *at >= counted_from);
    let denied = counted()
        .filter(|(_, line)| line.contains(" answer 400"))
        .count();
    let served = counted()
        .filter(|(_, line)| line.contains(" answer 200"))
        .count();
    // 5 and one in 500 of all requests.
    let allowed = 5 + all.len() / 500;
    record.add(format!(
        "{} requests; after the upstream was up for {SETTLE:?}: {served} served, {denied} answered \
         400, allowed {allowed}",
        all.len()
    ));
    Ok(match denied > allowed {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Asks for the page until `end`, at both front machines by turns. A request that is refused is sent
/// again once, after the time that the answer states.
fn ask(client: usize, fronts: [SocketAddr; 2], end: Instant, record: &Record) {
    for number in 0.. {
        if Instant::now() > end {
            return;
        }
        let sent = Instant::now();
        for attempt in 0..2 {
            let left = DEADLINE.saturating_sub(sent.elapsed());
            let id = format!("page-{client}-{number}-{attempt}");
            let head = request("pages", "w500/list", &id, left, KEY);
            let front = fronts[(client + number + attempt) % 2];
            let answer = http::call(front, &head, b"", left + Duration::from_millis(500));
            let status = answer.as_ref().map_or(0, http::Message::status);
            let wait = answer.ok().and_then(|answer| {
                let wait: f64 = answer.header("retry-after")?.parse().ok()?;
                Some(Duration::from_secs_f64(wait))
            });
            record.add(format!("client {id} answer {status}"));
            let may_retry = matches!(status, 429 | 502 | 503 | 504);
            if !may_retry || wait.is_some_and(|wait| wait > left / 3) {
                break;
            }
            thread::sleep(wait.unwrap_or_default());
        }
        thread::sleep(PAUSE);
    }
}
