//! Failures of entry VMs, with real processes.

#![allow(clippy::unwrap_used)]

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use camphordale_standin::{
    Outcome,
    Summary, //
};

mod support;

use support::{
    Deployment,
    FIRST_VM,
    STEP_TIMEOUT,
    TestRequest,
    holds_target,
    vm,
    wait_for, //
};

/// Maximum time until a key is served again after the loss of a VM. The requirement is 1 s; the
/// margin is for machines that run other tests at the same time.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(3);

fn count(summary: &Summary, outcome: Outcome) -> u64 {
    summary.outcomes.get(&outcome).copied().unwrap_or(0)
}

/// Returns the number of a VM that is a sender, other than the control voter.
fn other_sender(deployment: &Deployment) -> u8 {
    let (number, _) = wait_for("a sender other than VM 11", STEP_TIMEOUT, || {
        let shards = deployment.shards(FIRST_VM);
        let mut senders = shards.values().map(|(_, sender)| *sender);
        senders.find(|&sender| sender != 11)
    });
    (number % 10) as u8
}

/// Guards against keys that stay without service or change their owner when the VM that sends to
/// their target is killed, and against requests that run twice when the sender changes.
#[test]
fn keys_of_a_killed_vm_are_served_again_by_the_same_target() {
    let targets = [
        holds_target("h1", true),
        holds_target("h2", true),
        holds_target("h3", false),
    ];
    let mut deployment = Deployment::serving("kill", 1, 3, &targets);
    let victim = other_sender(&deployment);
    let before = deployment.shards(FIRST_VM);
    let lost = before
        .iter()
        .find(|(_, (_, s))| *s == 10 + u64::from(victim));
    let (&shard, (owner, _)) = lost.unwrap();
    let key = deployment.key_in_shard(shard);
    let load = deployment.load("kill", 100.0, Duration::from_secs(4));
    thread::sleep(Duration::from_millis(500));
    deployment.fleet.kill_daemon(vm(victim));
    let (response, took) = TestRequest::get(&key)
        .send_until_served(deployment.caller_address(FIRST_VM), FAILOVER_TIMEOUT);
    println!(
        "kill: the key is served again after {} ms",
        took.as_millis()
    );
    assert_eq!(&response.target, owner, "the owner changed");
    let (summary, records) = load.finish();
    println!("kill: {summary:?}");
    let owners = |shards: &std::collections::BTreeMap<u64, (String, u64)>| {
        let list = shards.iter().map(|(i, (owner, _))| (*i, owner.clone()));
        list.collect::<Vec<_>>()
    };
    assert_eq!(owners(&deployment.shards(FIRST_VM)), owners(&before));
    assert!(count(&summary, Outcome::Ok) * 10 > summary.requests * 9);
    let report = deployment.check(&records);
    assert!(report.holds(), "{report}");
}

/// Guards against a VM that was paused for longer than its lease and uses the lease after it
/// resumes: requests that waited in its sockets must not reach a target. The targets do not check
/// fencing tokens, so only the VM itself can prevent this.
#[test]
fn a_resumed_vm_sends_nothing_with_an_expired_lease() {
    let targets = [
        holds_target("h1", false),
        holds_target("h2", false),
        holds_target("h3", false),
    ];
    let mut deployment = Deployment::serving("stop", 1, 3, &targets);
    let victim = other_sender(&deployment);
    let number = 10 + u64::from(victim);
    let shards = deployment.shards(FIRST_VM);
    let keys: Vec<String> = shards
        .iter()
        .filter(|(_, (_, sender))| *sender == number)
        .map(|(&shard, _)| deployment.key_in_shard(shard))
        .collect();
    let load = deployment.load("stop", 100.0, Duration::from_secs(4));
    thread::sleep(Duration::from_millis(300));
    let to = deployment.caller_address(vm(victim));
    deployment
        .fleet
        .daemon(vm(victim))
        .unwrap()
        .signal("STOP")
        .unwrap();
    let stopped = Instant::now();
    // The operating system accepts these connections for the stopped process.
    let waiting: Vec<_> = (0..12)
        .map(|i| {
            let request = TestRequest::post(&keys[i % keys.len()], &format!("stopped-{i}"));
            thread::spawn(move || request.send(to))
        })
        .collect();
    for key in &keys {
        let (_, took) = TestRequest::get(key)
            .send_until_served(deployment.caller_address(FIRST_VM), FAILOVER_TIMEOUT);
        println!("stop: served again after {} ms", took.as_millis());
    }
    // Requests are committed through the new sender before the stopped VM resumes.
    for (i, key) in keys.iter().enumerate() {
        let response =
            TestRequest::post(key, &format!("new-{i}")).send(deployment.caller_address(FIRST_VM));
        assert!(response.is_from_target(), "{response:?}");
    }
    let min_pause = Duration::from_millis(1_200);
    thread::sleep(min_pause.saturating_sub(stopped.elapsed()));
    deployment
        .fleet
        .daemon(vm(victim))
        .unwrap()
        .signal("CONT")
        .unwrap();
    println!("stop: stopped for {} ms", stopped.elapsed().as_millis());
    for (i, thread) in waiting.into_iter().enumerate() {
        let response = thread.join().unwrap();
        let commits = deployment.commits(&format!("stopped-{i}")).len();
        println!(
            "stop: {} {} {}, {commits} commits",
            response.status, response.outcome, response.reason
        );
        match (response.is_from_target(), response.is_not_run()) {
            (true, _) => assert_eq!(commits, 1),
            (_, true) => assert_eq!(commits, 0),
            _ => assert!(commits <= 1),
        }
    }
    let (summary, records) = load.finish();
    println!("stop: {summary:?}");
    let report = deployment.check(&records);
    assert!(report.holds(), "{report}");
}

/// Guards against requests that are aborted by the graceful shutdown of a VM under load, or that
/// end without a response that permits a retry.
#[test]
fn a_graceful_shutdown_cuts_no_request_off() {
    if support::is_known_red("a_graceful_shutdown_cuts_no_request_off") {
        return;
    }
    let targets = [
        holds_target("h1", true),
        holds_target("h2", true),
        holds_target("h3", false),
    ];
    let mut deployment = Deployment::serving("term", 1, 3, &targets);
    for target in ["h1", "h2", "h3"] {
        deployment.send_command(target, "slow?ms=20");
    }
    let victim = other_sender(&deployment);
    let load = deployment.load("term", 100.0, Duration::from_secs(4));
    thread::sleep(Duration::from_millis(800));
    let started = Instant::now();
    let daemon = deployment.fleet.daemon(vm(victim)).unwrap();
    daemon.signal("TERM").unwrap();
    let ended = daemon.wait(STEP_TIMEOUT);
    println!("term: ended after {} ms", started.elapsed().as_millis());
    assert_eq!(ended, Some(true), "{}", daemon.log_text());
    let (summary, records) = load.finish();
    println!("term: {summary:?}");
    if count(&summary, Outcome::Ok) != summary.requests {
        deployment.print_failures(&records);
    }
    let cut: Vec<_> = records
        .iter()
        .filter(|record| record.outcome != Outcome::Ok && !record.outcome.is_not_executed())
        .collect();
    assert!(cut.is_empty(), "{} requests: {:?}", cut.len(), cut.first());
    assert_eq!(
        count(&summary, Outcome::Ok),
        summary.requests,
        "{summary:?}"
    );
    let report = deployment.check(&records);
    assert!(report.holds(), "{report}");
}

/// Guards against committing a request with an `Idempotency-Key` twice if copies of it reach
/// several VMs at the same time, or if it is sent again after its sender was killed.
#[test]
fn copies_of_an_idempotent_request_commit_once() {
    let targets = [
        holds_target("h1", true),
        holds_target("h2", true),
        holds_target("h3", false),
    ];
    let mut deployment = Deployment::serving("copies", 1, 3, &targets);
    for target in ["h1", "h2", "h3"] {
        deployment.send_command(target, "slow?ms=150");
    }
    let victim = other_sender(&deployment);
    let number = 10 + u64::from(victim);
    let shards = deployment.shards(FIRST_VM);
    let keys: Vec<String> = shards
        .iter()
        .filter(|(_, (_, sender))| *sender == number)
        .map(|(&shard, _)| deployment.key_in_shard(shard))
        .collect();
    let request = |i: usize| {
        let name = format!("copy-{i}");
        TestRequest::post(&keys[i % keys.len()], &name).idempotent(&name)
    };
    let locations = [vm(1), vm(2), vm(3)];
    // These requests end before the kill, so their responses are stored in idempotency records.
    let done: Vec<_> = (10..14)
        .map(|i| {
            let (response, _) =
                request(i).send_until_served(deployment.caller_address(FIRST_VM), STEP_TIMEOUT);
            (i, response.body["run"].clone())
        })
        .collect();
    let mut first = Vec::new();
    for i in 0..6 {
        for location in locations {
            let (request, to) = (request(i), deployment.caller_address(location));
            first.push(thread::spawn(move || request.send(to)));
        }
    }
    // Some requests have started at the targets and none has ended.
    thread::sleep(Duration::from_millis(100));
    deployment.fleet.kill_daemon(vm(victim));
    let responses: Vec<_> = first.into_iter().map(|t| t.join().unwrap()).collect();
    let left: Vec<_> = locations.into_iter().filter(|p| p.vm != victim).collect();
    for i in 0..6 {
        for &location in &left {
            let to = deployment.caller_address(location);
            let (response, took) =
                wait_for("a response or an unknown outcome", STEP_TIMEOUT, || {
                    let response = request(i).send(to);
                    (response.is_from_target() || response.is_unknown()).then_some(response)
                });
            println!(
                "copies: {i} through VM {}: {} {} after {} ms",
                location.vm,
                response.status,
                response.reason,
                took.as_millis()
            );
            let commits = deployment.commits(&format!("copy-{i}")).len();
            assert!(commits <= 1, "copy-{i} was committed {commits} times");
            assert!(
                !response.is_from_target() || commits == 1,
                "answered without a commit"
            );
        }
    }
    println!(
        "copies: first round {:?}",
        responses.iter().map(|a| a.status).collect::<Vec<_>>()
    );
    for (i, run) in done {
        for &location in &left {
            let (response, _) =
                request(i).send_until_served(deployment.caller_address(location), STEP_TIMEOUT);
            assert_eq!(response.body["run"], run, "not the recorded response");
        }
        assert_eq!(deployment.commits(&format!("copy-{i}")).len(), 1);
    }
    let report = deployment.check(&[]);
    assert!(report.holds(), "{report}");
}
