//! Failures of targets, with VMs as real processes.

#![allow(clippy::unwrap_used)]

use std::{
    thread,
    time::Duration, //
};

use camphordale_standin::{
    Outcome,
    unix_micros, //
};
use rstest::rstest;

mod support;

use support::{
    Deployment,
    FIRST_VM,
    STEP_TIMEOUT,
    TestRequest,
    TestResponse,
    holds_target,
    wait_for, //
};

/// Maximum time until a target that does not respond is detected and another target serves its
/// keys. The keys move after its lease has expired and, if the target does not check fencing
/// tokens, after the deadlines of its requests (1 s).
const REASSIGN_TIMEOUT: Duration = Duration::from_secs(6);

/// Maximum time until connections without responses are detected and replaced.
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Guards against keys that stay assigned to a frozen target, and against work that the target
/// commits after it resumes although another target owns the key.
#[rstest]
#[case::checking("freeze", true)]
#[case::not_checking("freeze-other", false)]
fn a_frozen_target_loses_its_keys_and_commits_nothing_late(
    #[case] name: &'static str,
    #[case] checks: bool,
) {
    let targets = [
        holds_target("h1", checks),
        holds_target("h2", checks),
        holds_target("h3", checks),
    ];
    let deployment = Deployment::serving(name, 1, 3, &targets);
    let shards = deployment.shards(FIRST_VM);
    let (&shard, _) = shards.iter().find(|(_, (o, _))| o == "h1").unwrap();
    let key = deployment.key_in_shard(shard);
    let load = deployment.load(name, 100.0, Duration::from_secs(6));
    thread::sleep(Duration::from_millis(300));
    deployment.send_command("h1", "freeze");
    let (response, took) = TestRequest::get(&key)
        .send_until_served(deployment.caller_address(FIRST_VM), REASSIGN_TIMEOUT);
    println!(
        "{name}: served again by {} after {} ms",
        response.target,
        took.as_millis()
    );
    assert_ne!(response.target, "h1");
    let (_, all) = wait_for("all keys elsewhere", REASSIGN_TIMEOUT, || {
        let shards = deployment.shards(FIRST_VM);
        let moved = shards.len() == 8 && shards.values().all(|(owner, _)| owner != "h1");
        moved.then_some(())
    });
    println!(
        "{name}: all keys elsewhere after {} ms more",
        all.as_millis()
    );
    deployment.send_command("h1", "thaw");
    let (_, back) = wait_for("the target owns keys again", STEP_TIMEOUT, || {
        let shards = deployment.shards(FIRST_VM);
        shards
            .values()
            .any(|(owner, _)| owner == "h1")
            .then_some(())
    });
    println!(
        "{name}: owns keys again {} ms after the thaw",
        back.as_millis()
    );
    let (summary, records) = load.finish();
    println!("{name}: {summary:?}");
    let report = deployment.check(&records);
    assert!(report.holds(), "{report}");
}

/// Checks that the outcome matches the journals: a request with an invalid response is unknown and
/// was committed at most once; one that was not sent because of an earlier failure is "not run" and
/// was not committed. Returns whether the outcome is unknown.
fn is_unknown(deployment: &Deployment, response: &TestResponse, marker: &str) -> bool {
    let commits = deployment.commits(marker).len();
    println!(
        "  {marker}: {} {} after {:?}, {commits} commits",
        response.status, response.reason, response.took
    );
    let most = if response.is_unknown() { 1 } else { 0 };
    assert!(
        response.is_unknown() || response.is_not_run(),
        "{response:?}"
    );
    assert!(commits <= most, "{marker} was committed {commits} times");
    response.is_unknown()
}

/// Guards against a response that is forwarded to the wrong caller or forwarded truncated, and
/// against a retry after such a response. The target responds late, truncated, or with the id of
/// another request.
#[rstest]
#[case::late("late", "late?share=1&ms=50")]
#[case::short("short", "cut?share=1")]
#[case::wrong_id("wrong-id", "crossed?share=1&mode=wrong-id")]
fn an_invalid_response_is_unknown_and_not_forwarded(
    #[case] name: &'static str,
    #[case] switch: &'static str,
) {
    let deployment = Deployment::serving(name, 1, 1, &[holds_target("h1", true)]);
    let to = deployment.caller_address(FIRST_VM);
    // The target may learn of its grant later than the VM, and refuses requests until then.
    TestRequest::get("k1").send_until_served(to, STEP_TIMEOUT);
    deployment.send_command("h1", switch);
    let mut unknown = 0;
    for i in 0..4 {
        let marker = format!("{name}-{i}");
        let mut request = TestRequest::post("k1", &marker);
        request.deadline_ms = Some(300);
        let seen = is_unknown(&deployment, &request.send(to), &marker);
        assert!(seen || i > 0, "the first request reached the target");
        unknown += u32::from(seen);
    }
    println!("{name}: {unknown} of 4 unknown");
    deployment.send_command("h1", "clear");
    for i in 0..20 {
        let mut request = TestRequest::get(&format!("k{i}"));
        request.marker = format!("{name}-after-{i}");
        let (response, _) = request.send_until_served(to, STEP_TIMEOUT);
        assert_eq!(response.body["marker"].as_str(), Some(&*request.marker));
    }
    let report = deployment.check(&[]);
    assert!(report.holds(), "{report}");
}

/// Guards against the same under load. Only a share of the responses is invalid, and some are
/// swapped between requests in flight, so that unread bytes on pooled connections would reach other
/// callers.
#[test]
fn callers_under_load_never_get_an_invalid_response() {
    let targets = [holds_target("h1", true), holds_target("h2", false)];
    let deployment = Deployment::serving("mixed", 1, 2, &targets);
    for switch in ["late?share=0.1&ms=30", "cut?share=0.1", "crossed?share=0.2"] {
        deployment.send_command("h1", switch);
        deployment.send_command("h2", switch);
    }
    let (summary, records) = deployment
        .load("mixed", 80.0, Duration::from_secs(4))
        .finish();
    println!("mixed: {summary:?}");
    let bad = |r: &&camphordale_standin::AttemptRecord| {
        matches!(r.outcome, Outcome::Wrong | Outcome::Short)
    };
    assert_eq!(records.iter().find(bad), None);
    assert!(records.iter().any(|r| r.outcome == Outcome::Unknown));
    let report = deployment.check(&records);
    assert!(report.holds(), "{report}");
}

/// Guards against reusing pooled connections on which no response arrives any more although new
/// connections work.
#[test]
fn unresponsive_connections_are_replaced() {
    let deployment = Deployment::serving("mute", 1, 1, &[holds_target("h1", true)]);
    let to = deployment.caller_address(FIRST_VM);
    let waiting: Vec<_> = (0..4)
        .map(|i| thread::spawn(move || TestRequest::get(&format!("k{i}")).send(to)))
        .collect();
    for thread in waiting {
        assert!(thread.join().unwrap().is_from_target());
    }
    deployment.send_command("h1", "mute");
    let muted = unix_micros();
    let (summary, records) = deployment
        .load("mute", 50.0, Duration::from_secs(4))
        .finish();
    println!("mute: {summary:?}");
    let failed = records.iter().filter(|r| r.outcome != Outcome::Ok);
    let count = failed.clone().count();
    assert!(count * 20 <= records.len(), "{count} of {}", records.len());
    let last = failed.map(|r| r.start_us - muted).max().unwrap_or(0);
    println!(
        "mute: the last failed attempt started after {} ms",
        last / 1_000
    );
    assert!(last < RECONNECT_TIMEOUT.as_micros() as u64, "{summary:?}");
    let report = deployment.check(&records);
    assert!(report.holds(), "{report}");
}

/// Guards against new requests to a draining target, and against requests that are lost while its
/// keys move to other targets.
#[test]
fn a_draining_target_gets_no_new_requests_and_loses_none() {
    let targets = [
        holds_target("h1", true),
        holds_target("h2", true),
        holds_target("h3", false),
    ];
    let deployment = Deployment::serving("drain", 1, 3, &targets);
    let load = deployment.load("drain", 100.0, Duration::from_secs(5));
    thread::sleep(Duration::from_millis(500));
    let target = deployment.targets["h1"].clone();
    let drained = thread::spawn(move || target.drain(STEP_TIMEOUT));
    let (_, took) = wait_for("no keys left", Duration::from_secs(4), || {
        let shards = deployment.shards(FIRST_VM);
        let left = shards.len() == 8 && shards.values().all(|(owner, _)| owner != "h1");
        left.then_some(())
    });
    println!("drain: no keys left after {} ms", took.as_millis());
    assert!(drained.join().unwrap(), "the target was not let go");
    let runs = deployment.send_command("h1", "stats")["runs"].as_u64();
    let (summary, records) = load.finish();
    println!("drain: {summary:?}");
    assert_eq!(
        deployment.send_command("h1", "stats")["runs"].as_u64(),
        runs,
        "new work"
    );
    let ok = summary.outcomes.get(&Outcome::Ok).copied();
    assert_eq!(ok, Some(summary.requests), "{summary:?}");
    let unknown = records.iter().find(|r| r.outcome == Outcome::Unknown);
    assert_eq!(unknown, None);
    let report = deployment.check(&records);
    assert!(report.holds(), "{report}");
}

/// Guards against the outcome "not run" for a request that ran, and against a target that gets no
/// requests any more after a period in which it shed all of them.
#[test]
fn shed_requests_are_not_run() {
    let mut deployment = Deployment::serving("shed", 1, 1, &[holds_target("h1", true)]);
    deployment.send_command("h1", "shed?share=1");
    let to = deployment.caller_address(FIRST_VM);
    let response = TestRequest::post("k1", "shed-1").send(to);
    println!(
        "shed: {} {} after {:?}",
        response.status, response.reason, response.took
    );
    assert!(response.is_not_run(), "{response:?}");
    assert_eq!(deployment.commits("shed-1").len(), 0);
    deployment.send_command("h1", "clear");
    deployment.add_target(&holds_target("h2", true));
    let (_, took) = TestRequest::get("k1").send_until_served(to, STEP_TIMEOUT);
    println!("shed: answered {} ms after the end", took.as_millis());
}
