//! Tests of the caller with fake servers and targets.
#![allow(clippy::unwrap_used)]

mod common;

use std::{
    collections::HashSet,
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use camphordale_standin::{
    AttemptRecord,
    CallerOptions,
    Delivery,
    Outcome,
    Request,
    RequestMix,
    Response,
    Script,
    Summary,
    Target,
    read_lines,
    run_caller,
    serve, //
};
use common::{
    options,
    send_command, //
};
use rstest::rstest;

fn script(text: &str) -> Script {
    serde_norway::from_str(text).unwrap()
}

fn post_script() -> Script {
    script("services: [{name: cat, path: /cat, post_percent: 100}]")
}

fn call(
    vms: Vec<SocketAddr>,
    change: impl FnOnce(&mut CallerOptions),
) -> (Summary, Vec<AttemptRecord>) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("records");
    let mut options = CallerOptions {
        name: "c".into(),
        vms,
        script: post_script(),
        seed: 1,
        rate: 1000.0,
        threads: 4,
        duration: Duration::from_millis(20),
        attempt_timeout: Duration::from_secs(10),
        deadline_ms: None,
        max_retries: 2,
        retry_delay: Duration::ZERO,
        retry_unknown: false,
        key_shift: (0, Duration::ZERO),
        source_ip: None,
        records: Some(path.clone()),
    };
    change(&mut options);
    let summary = run_caller(options).unwrap();
    (summary, read_lines(&path).unwrap())
}

/// Starts a server that refuses all requests with `status` and `outcome` and records the
/// idempotency keys.
fn start_refusing_server(
    status: u16,
    outcome: &'static str,
) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let seen = Arc::new(Mutex::new(Vec::new()));
    let recorded = seen.clone();
    let handler = move |request: &Request| {
        let key = request.header("idempotency-key").unwrap_or("none");
        recorded.lock().unwrap().push(key.to_owned());
        let mut response = Response {
            status,
            ..Response::default()
        };
        if !outcome.is_empty() {
            response
                .headers
                .push(("camphordale-outcome", outcome.into()));
        }
        response
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    (serve(listener, 64, handler).unwrap().address(), seen)
}

/// Guards against retrying a POST that may have been executed, not retrying one that was not
/// executed, and retrying with another idempotency key.
#[rstest]
#[case(503, "not-run", false, Outcome::NotRun, 3)]
#[case(404, "not-run", false, Outcome::NotRun, 1)]
#[case(502, "unknown", false, Outcome::Unknown, 1)]
#[case(504, "unknown", true, Outcome::Unknown, 3)]
#[case(503, "", true, Outcome::Refused, 1)]
#[case(500, "", false, Outcome::Refused, 1)]
fn posts_are_retried_only_if_safe(
    #[case] status: u16,
    #[case] outcome: &'static str,
    #[case] resend_unknown: bool,
    #[case] expected: Outcome,
    #[case] attempts: usize,
) {
    let (vm, seen) = start_refusing_server(status, outcome);
    let (summary, records) = call(vec![vm], |o| o.retry_unknown = resend_unknown);
    assert_eq!(summary.outcomes.get(&expected), Some(&20));
    assert_eq!(records.len(), 20 * attempts);
    assert!(
        records
            .iter()
            .all(|r| r.status == Some(status) && r.outcome == expected)
    );
    let seen = seen.lock().unwrap();
    let keys: HashSet<&String> = seen.iter().collect();
    assert_eq!((seen.len(), keys.len()), (20 * attempts, 20));
}

/// Guards against a retry at the entry VM that just refused the request.
#[test]
fn retries_at_another_vm() {
    let target = Target::start({
        let mut options = options(&[]);
        options.checks_tokens = false;
        options.slots = 64;
        options
    })
    .unwrap();
    let (refusing, _) = start_refusing_server(503, "not-run");
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let vms = vec![refusing, closed, target.address()];
    let (summary, records) = call(vms, |_| {});
    assert_eq!(summary.outcomes.get(&Outcome::Ok), Some(&20));
    assert!(records.iter().any(|r| r.outcome == Outcome::ConnectFailed));
    assert!(records.iter().any(|r| r.outcome == Outcome::NotRun));
    assert_eq!(send_command(target.address(), "stats")["commits"], 20);
}

/// Guards against accepting a response that is truncated or belongs to another request.
#[rstest]
#[case(
    r#"{"target":"t","marker":"c-M","echo":"c-M","pad_bytes":1,"pad":"x"}"#,
    Outcome::Ok
)]
#[case(
    r#"{"target":"t","marker":"c-9","echo":"c-M","pad_bytes":1,"pad":"x"}"#,
    Outcome::Wrong
)]
#[case(
    r#"{"target":"t","marker":"c-M","echo":"c-9","pad_bytes":1,"pad":"x"}"#,
    Outcome::Wrong
)]
#[case(
    r#"{"target":"t","marker":"c-M","echo":"","pad_bytes":1,"pad":"x"}"#,
    Outcome::Wrong
)]
#[case(
    r#"{"target":"t","marker":"c-M","echo":"c-M","pad_bytes":2,"pad":"x"}"#,
    Outcome::Short
)]
#[case(r#"{"target":"t","marker":"c-M","echo":"c-"#, Outcome::Short)]
fn responses_are_checked(#[case] body: &'static str, #[case] expected: Outcome) {
    let handler = move |request: &Request| {
        let id = request.header("x-standin-marker").unwrap_or_default();
        Response {
            status: 200,
            body: body.replace("c-M", id).into_bytes(),
            ..Response::default()
        }
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let vm = serve(listener, 64, handler).unwrap().address();
    let (summary, _) = call(vec![vm], |o| {
        // Five requests, so that the ids have one digit and none of them is 9.
        o.duration = Duration::from_millis(5);
    });
    assert_eq!(summary.outcomes.get(&expected), Some(&5));
}

/// Guards against accepting a response whose connection broke before its end.
#[test]
fn truncated_responses_are_reported_as_short() {
    let handler = |_: &Request| Response {
        status: 200,
        body: b"{\"target\":\"t\"}".to_vec(),
        delivery: Delivery::Truncated,
        ..Response::default()
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let vm = serve(listener, 64, handler).unwrap().address();
    let (summary, _) = call(vec![vm], |_| {});
    assert_eq!(summary.outcomes.get(&Outcome::Short), Some(&20));
}

/// Guards against a mix that depends on anything but its seed, and against a shift that moves
/// other keys than the hottest ones and their counterparts, or none.
#[test]
fn shifts_the_hottest_keys() {
    let keyed = "services: [{name: cat, path: '/cat/{key}', keys: 1000}]";
    let mix = RequestMix::new(&script(keyed), 7);
    let requests = |hot| (0..20_000).map(move |n| (n, hot));
    let key = |(n, hot)| mix.sample(n, hot).key.unwrap();
    let before: Vec<usize> = requests(0).map(key).collect();
    let after: Vec<usize> = requests(3).map(key).collect();
    assert_eq!(before, requests(0).map(key).collect::<Vec<_>>());
    for (old, new) in before.iter().zip(&after) {
        let expected = match old {
            0..11 => old + 33,
            33..44 => old - 33,
            _ => *old,
        };
        assert_eq!(*new, expected);
    }
    let hottest = before.iter().filter(|key| **key < 11).count();
    assert!(
        hottest > 20_000 / 3,
        "{hottest} requests for the hottest keys"
    );
}

/// Guards against an invalid script that is detected only during a run.
#[rstest]
#[case("services: []", "no services")]
#[case("services: [{name: a, path: a}]", "begin with /")]
#[case("services: [{name: a, path: /, keys: 5}]", "key_header")]
#[case("services: [{name: a, path: /, weight: 0}]", "weight")]
#[case("services: [{name: a, path: /, odd: 1}]", "unknown field")]
fn invalid_scripts_are_refused(#[case] text: &str, #[case] expected: &str) {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    let error = Script::read(file.path()).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}
