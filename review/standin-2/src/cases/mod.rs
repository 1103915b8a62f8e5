//! The cases that are scripts.

mod deadly;
mod flapping;
mod replaced;
mod silent;
mod slow_reader;

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{Verdict, fleet::Fleet, http, record::Record};

/// Runs a case by its name. Without `trouble`, it does the same without the disruption.
pub fn run(name: &str, record: Record, trouble: bool) -> Result<Verdict, String> {
    match name {
        "deadly" => deadly::run(record, trouble),
        "replaced" => replaced::run(record, trouble),
        "silent" => silent::run(record, trouble),
        "slow-reader" => slow_reader::run(record, trouble),
        "flapping" => flapping::run(record, trouble),
        _ => Err(format!("no case {name}")),
    }
}

/// Head of a request of a client for a path of a service.
fn request(service: &str, path: &str, id: &str, deadline: Duration, key: u16) -> String {
    format!(
        "GET /{service}/{path} HTTP/1.1\r\nHost: {service}.example\r\n\
         Camphordale-Request-Id: {id}\r\nCamphordale-Deadline-Ms: {}\r\n\
         Camphordale-Shard-Key: {key}",
        deadline.as_millis()
    )
}

/// Waits until the first front machine answers a request for a service with 200.
fn wait_until_served(fleet: &Fleet, service: &str, key: u16) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(15);
    let deadline = Duration::from_secs(1);
    for number in 0.. {
        let head = request(service, "w20", &format!("first-{number}"), deadline, key);
        let answer = http::call(fleet.front(1), &head, b"", deadline * 2);
        if answer.is_ok_and(|answer| answer.status() == 200) {
            return Ok(());
        }
        if Instant::now() > until {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err(format!("no request for {service} was served"))
}
