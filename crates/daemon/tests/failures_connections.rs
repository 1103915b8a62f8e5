//! Connections to a target after answers that are not usable.

#![allow(clippy::unwrap_used)]

use std::{
    io::{
        BufRead,
        BufReader,
        Write, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::Duration,
};

use camphordale_standin::fleet::{
    TARGET_PORT,
    post_json, //
};
use rstest::rstest;
use serde_json::json;

mod support;

use support::{
    Ask,
    FIRST,
    LIMIT,
    Site, //
};

const PLAIN: &str = "
  - name: plain
    route: {prefix: /plain}
    key: none
    deadline: 1s
    slots: 4
    connections: 16
";

/// Requests by connection: the path of each, in order.
type Seen = Arc<Mutex<Vec<Vec<String>>>>;

/// Answers requests on one connection. A path with `bad` gets the answer of the case.
fn answer(stream: TcpStream, bad: &str, seen: &Seen, number: usize) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut stream = stream;
    loop {
        let (mut path, mut id) = (String::new(), String::new());
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            if path.is_empty() {
                path = line.split(' ').nth(1)?.to_owned();
            }
            if let Some((name, value)) = line.split_once(": ")
                && name.eq_ignore_ascii_case("camphordale-request")
            {
                id = value.trim().to_owned();
            }
            if line == "\r\n" {
                break;
            }
        }
        seen.lock().unwrap()[number].push(path.clone());
        let (id, length) = match (path.contains("bad"), bad) {
            (true, "wrong-id") => ("0".repeat(32), 2),
            // The rest of the body never comes, and the connection stays open.
            (true, "short") => (id, 50),
            (true, "late") => {
                thread::sleep(Duration::from_millis(400));
                (id, 2)
            }
            _ => (id, 2),
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\nCamphordale-Request: {id}\r\nContent-Length: {length}\r\n\r\nok"
        );
        stream.write_all(text.as_bytes()).ok()?;
    }
}

/// Guards against a connection that is used again after an answer that was late, short or of
/// another request: the next caller could get what is left on it. The target keeps the
/// connection open and would answer.
#[rstest]
#[case::late("late")]
#[case::short("short")]
#[case::wrong_id("wrong-id")]
fn a_connection_with_a_bad_answer_is_not_used_again(#[case] bad: &'static str) {
    let mut site = Site::start(bad, 1, 1);
    let version = site.fleet.submit(PLAIN, FIRST).unwrap();
    site.fleet.wait_for_bundle(version, LIMIT).unwrap();
    site.fleet.wait_for_leases(LIMIT).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let seen = Seen::default();
    let shared = seen.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let seen = shared.clone();
            let number = {
                let mut all = seen.lock().unwrap();
                all.push(Vec::new());
                all.len() - 1
            };
            thread::spawn(move || answer(stream, bad, &seen, number));
        }
    });
    let entry = site.fleet.address(FIRST, TARGET_PORT);
    let announce = json!({ "name": "raw", "service": "plain", "side": "old", "address": address,
        "checks_tokens": false, "slots": 4 });
    let session = post_json(entry, "/v1/targets", &announce).unwrap();
    let renew = format!("/v1/targets/{}/renew", session["target"]);
    thread::spawn(move || {
        let body = json!({ "running": 0, "load": 0.0, "grants_version": 0 });
        while post_json(entry, &renew, &body).is_ok() {
            thread::sleep(Duration::from_millis(100));
        }
    });
    let to = site.callers(FIRST);
    let ask = |path: &str| Ask {
        path: path.into(),
        deadline_ms: Some(250),
        ..Ask::get("-")
    };
    ask("/plain/first").until_answered(to, LIMIT);
    for i in 0..3 {
        let mut post = ask(&format!("/plain/bad-{i}"));
        post.post = true;
        let answer = post.send(to);
        println!("{bad}: {} {}", answer.status, answer.reason);
        assert!(!answer.is_answer(), "{answer:?}");
        // Together longer than the late answer takes to arrive.
        for j in 0..5 {
            ask(&format!("/plain/good-{i}-{j}")).until_answered(to, LIMIT);
            thread::sleep(Duration::from_millis(100));
        }
    }
    let seen = seen.lock().unwrap();
    let mut hit = 0;
    for paths in seen.iter() {
        if let Some(at) = paths.iter().position(|path| path.contains("bad")) {
            hit += 1;
            assert_eq!(at + 1, paths.len(), "used again: {paths:?}");
        }
    }
    println!(
        "{bad}: {hit} of {} connections had a bad answer",
        seen.len()
    );
    assert!(hit > 0);
}
