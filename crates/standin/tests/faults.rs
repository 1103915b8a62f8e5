//! Tests of the effects of injected faults on clients of a target.
#![allow(clippy::unwrap_used)]

mod common;

use std::{
    collections::HashSet,
    net::TcpStream,
    sync::Arc,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use camphordale_standin::Target;
use common::{
    FakeEntryVm,
    options,
    post,
    send_command,
    wait_until, //
};
use rstest::rstest;
use ureq::Agent;

const ID: &str = "0d9f3c5be1a24f7788c1b20f6a7e4d13";

fn start_standalone() -> Arc<Target> {
    let mut options = options(&[]);
    options.checks_tokens = false;
    options.slots = 8;
    options.padding_size = 1000;
    Target::start(options).unwrap()
}

fn agent(timeout_ms: u64) -> Agent {
    camphordale_standin::agent(None, Duration::from_millis(timeout_ms))
}

/// Guards against a frozen target that still responds, or refuses connections.
#[test]
fn freeze_and_thaw() {
    let target = start_standalone();
    send_command(target.address(), "freeze");
    assert!(TcpStream::connect(target.address()).is_ok());
    let url = format!("http://{}/", target.address());
    assert!(agent(100).get(&url).call().is_err());
    assert_eq!(send_command(target.address(), "stats")["runs"], 0);
    send_command(target.address(), "thaw");
    assert_eq!(post(target.address(), &[]).unwrap().status, 200);
}

/// Guards against a frozen target that still renews its lease.
#[test]
fn freeze_stops_renewals() {
    let entry = FakeEntryVm::start();
    let target = Target::start(options(&[&entry])).unwrap();
    wait_until("it renews", || !entry.state().renewed.is_empty());
    send_command(target.address(), "freeze");
    wait_until("the lease expires", || {
        send_command(target.address(), "stats")["lease_left_ms"] == 0
    });
    let renewed = entry.state().renewed.len();
    send_command(target.address(), "thaw");
    wait_until("it renews", || entry.state().renewed.len() > renewed);
    assert_eq!(entry.state().announced.len(), 1);
}

/// Guards against reporting the actual load while the fault is active.
#[test]
fn lie_hides_the_load() {
    let entry = FakeEntryVm::start();
    entry.state().lease_ms = 3_600_000;
    let target = Target::start(options(&[&entry])).unwrap();
    let address = target.address();
    wait_until("it serves", || post(address, &[]).unwrap().status == 200);
    send_command(address, "slow?ms=3600000");
    let pending = thread::spawn(move || post(address, &[]).unwrap());
    let last = || {
        entry
            .state()
            .renewed
            .last()
            .map(|body| body["running"].clone())
    };
    wait_until("the load is reported", || last() == Some(1.into()));
    send_command(address, "lie");
    wait_until("no load is reported", || last() == Some(0.into()));
    assert_eq!(send_command(address, "stats")["running"], 1);
    send_command(address, "clear");
    assert_eq!(pending.join().unwrap().status, 200);
}

/// Guards against a fault that affects another share of the requests than specified.
#[rstest]
#[case("shed?share=0.25", 5)]
#[case("cut?share=0.5", 10)]
#[case("crossed?share=0.1&mode=wrong-id", 2)]
fn faults_hit_their_share(#[case] command: &str, #[case] expected: usize) {
    let target = start_standalone();
    send_command(target.address(), command);
    let failed = (0..20).filter(
        |_| match post(target.address(), &[("camphordale-request", ID)]) {
            Ok(response) => response.status != 200 || response.request.as_deref() != Some(ID),
            Err(_) => true,
        },
    );
    assert_eq!(failed.count(), expected);
    send_command(target.address(), "clear");
    assert_eq!(post(target.address(), &[]).unwrap().status, 200);
}

/// Guards against executing a request that is refused as shed.
#[test]
fn shed_requests_do_not_run() {
    let target = start_standalone();
    send_command(target.address(), "shed");
    assert!(post(target.address(), &[]).unwrap().not_run());
    assert_eq!(send_command(target.address(), "stats")["runs"], 0);
}

/// Guards against a truncated response that a client accepts as complete.
#[test]
fn cut_responses_are_committed_and_truncated() {
    let target = start_standalone();
    send_command(target.address(), "cut");
    assert!(post(target.address(), &[]).is_err());
    assert_eq!(send_command(target.address(), "stats")["commits"], 1);
}

/// Guards against a late response that is sent before its deadline.
#[test]
fn late_responses_exceed_the_deadline() {
    let target = start_standalone();
    send_command(target.address(), "late?ms=30");
    let started = Instant::now();
    let response = post(target.address(), &[("camphordale-deadline", "400")]).unwrap();
    assert_eq!(response.status, 200);
    assert!(started.elapsed() >= Duration::from_millis(430));
}

/// Guards against a swap without effect: two requests must get each other's complete response.
#[test]
fn crossed_responses_are_swapped() {
    let target = start_standalone();
    let address = target.address();
    send_command(address, "crossed");
    let post_until_swapped = move |id: &'static str| {
        loop {
            // A swap waits for a second request only for a bounded time, so it may not happen.
            let response = post(address, &[("camphordale-request", id)]).unwrap();
            if response.request.as_deref() != Some(id) {
                return response;
            }
        }
    };
    let other = thread::spawn(move || post_until_swapped("bb"));
    let responses = [post_until_swapped("aa"), other.join().unwrap()];
    let ids: HashSet<_> = responses
        .iter()
        .map(|response| response.request.clone())
        .collect();
    assert_eq!(ids, HashSet::from([Some("aa".into()), Some("bb".into())]));
    for response in responses {
        assert_eq!(
            response.body["request"].as_str(),
            response.request.as_deref()
        );
    }
}

/// Guards against muted connections that recover, and new connections that do not work.
#[test]
fn mute_affects_open_connections_only() {
    let target = start_standalone();
    let url = format!("http://{}/", target.address());
    let old = agent(300);
    assert!(
        old.get(&url)
            .call()
            .unwrap()
            .body_mut()
            .read_to_vec()
            .is_ok()
    );
    send_command(target.address(), "mute");
    let muted = old.get(&url).call();
    assert!(matches!(muted, Err(ureq::Error::Timeout(_))), "{muted:?}");
    assert_eq!(send_command(target.address(), "stats")["runs"], 1);
    assert!(agent(10_000).get(&url).call().is_ok());
}

/// Guards against a mistyped command that has no effect without an error.
#[rstest]
#[case("nothing")]
#[case("shed?share=many")]
#[case("crossed?mode=odd")]
fn unknown_commands_are_refused(#[case] command: &str) {
    let target = start_standalone();
    let url = format!("http://{}/standin/{command}", target.address());
    assert_eq!(agent(10_000).get(url).call().unwrap().status(), 400);
}
