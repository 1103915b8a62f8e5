//! Reuse of connections to a target after invalid responses.

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
    Deployment,
    FIRST_VM,
    STEP_TIMEOUT,
    TestRequest, //
};

const PLAIN: &str = "
  - name: plain
    route: {prefix: /plain}
    key: none
    deadline: 1s
    slots: 4
    connections: 16
";

/// The paths of the requests on each connection, in order.
type PathsByConnection = Arc<Mutex<Vec<Vec<String>>>>;

/// Serves the requests on one connection. A path with `bad` gets the invalid response of the case.
fn serve_connection(
    stream: TcpStream,
    bad: &str,
    seen: &PathsByConnection,
    number: usize,
) -> Option<()> {
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
        let earlier = |paths: &[String]| paths.iter().filter(|other| **other == path).count() - 1;
        let (anywhere, here) = {
            let seen = seen.lock().unwrap();
            (earlier(&seen.concat()), earlier(&seen[number]))
        };
        if bad == "copy" && path.contains("bad") && (anywhere != 1 || here > 0) {
            // The request is run when it comes for the second time only. If that is on the connection
            // of the first, a second copy of the refusal is written before the answer.
            let text = format!(
                "HTTP/1.1 503 Full\r\nCamphordale-Request: {id}\r\n\
                 Camphordale-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(text.as_bytes()).ok()?;
            if anywhere != 1 {
                continue;
            }
            thread::sleep(Duration::from_millis(20));
        }
        let (id, length) = match (path.contains("bad"), bad) {
            (true, "wrong-id") => ("0".repeat(32), 2),
            // The rest of the body is never sent, and the connection stays open.
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

/// Guards against reusing a connection after a response that was late, truncated or for another
/// request: the next caller could get the unread bytes. The target keeps the connection open and
/// would serve further requests.
#[rstest]
#[case::late("late")]
#[case::short("short")]
#[case::wrong_id("wrong-id")]
fn a_connection_with_an_invalid_response_is_not_reused(#[case] bad: &'static str) {
    let (deployment, seen) = start_with_target(bad);
    let to = deployment.caller_address(FIRST_VM);
    request("/plain/first").send_until_served(to, STEP_TIMEOUT);
    for i in 0..3 {
        let mut post = request(&format!("/plain/bad-{i}"));
        post.post = true;
        let response = post.send(to);
        println!("{bad}: {} {}", response.status, response.reason);
        assert!(!response.is_from_target(), "{response:?}");
        // In total longer than the delay of the late response.
        for j in 0..5 {
            request(&format!("/plain/good-{i}-{j}")).send_until_served(to, STEP_TIMEOUT);
            thread::sleep(Duration::from_millis(100));
        }
    }
    let seen = seen.lock().unwrap();
    let mut affected = 0;
    for paths in seen.iter() {
        if let Some(at) = paths.iter().position(|path| path.contains("bad")) {
            affected += 1;
            assert_eq!(at + 1, paths.len(), "used again: {paths:?}");
        }
    }
    println!(
        "{bad}: {affected} of {} connections had an invalid response",
        seen.len()
    );
    assert!(affected > 0);
}

fn request(path: &str) -> TestRequest {
    TestRequest {
        path: path.into(),
        deadline_ms: Some(250),
        ..TestRequest::get("-")
    }
}

/// A deployment with one target, which answers as `bad` says, and the requests that it got.
fn start_with_target(bad: &'static str) -> (Deployment, PathsByConnection) {
    let mut deployment = Deployment::start(bad, 1, 1);
    let version = deployment.fleet.submit(PLAIN, FIRST_VM).unwrap();
    deployment
        .fleet
        .wait_for_bundle(version, STEP_TIMEOUT)
        .unwrap();
    deployment.fleet.wait_for_leases(STEP_TIMEOUT).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let seen = PathsByConnection::default();
    let shared = seen.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let seen = shared.clone();
            let number = {
                let mut all = seen.lock().unwrap();
                all.push(Vec::new());
                all.len() - 1
            };
            thread::spawn(move || serve_connection(stream, bad, &seen, number));
        }
    });
    let entry = deployment.fleet.address(FIRST_VM, TARGET_PORT);
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
    (deployment, seen)
}

/// Guards against a caller that is told that its request was not run while the target runs it: the
/// second copy of a refusal arrives late, on the connection that carries the next attempt of the same
/// request, and both have one id.
#[test]
fn a_copy_of_a_refusal_answers_no_later_attempt() {
    let (deployment, seen) = start_with_target("copy");
    let to = deployment.caller_address(FIRST_VM);
    request("/plain/first").send_until_served(to, STEP_TIMEOUT);
    // More requests than the retry budget allows to be sent again.
    let mut sent_again = 0;
    for number in 0..60 {
        let path = format!("/plain/bad-{number}");
        let response = request(&path).send(to);
        let received = seen.lock().unwrap().concat();
        let received = received.iter().filter(|other| **other == path).count();
        assert!(received == 1 || !response.is_not_run(), "{path} was run");
        sent_again += usize::from(received > 1);
    }
    assert!(sent_again > 8, "{sent_again} requests were sent again");
}
