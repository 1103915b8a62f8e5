//! Failures of entry VMs, as real processes.

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
    Ask,
    FIRST,
    LIMIT,
    Site,
    holds,
    vm,
    wait_for, //
};

/// Time for a key to be served again after a loss. The design asks for 1 s; the rest is for a
/// machine that runs other tests at the same time.
const SERVED_AGAIN: Duration = Duration::from_secs(3);

fn count(summary: &Summary, outcome: Outcome) -> u64 {
    summary.outcomes.get(&outcome).copied().unwrap_or(0)
}

/// Returns a VM other than the control voter that is a sender.
fn a_sender(site: &Site) -> u8 {
    let (number, _) = wait_for("a sender other than VM 11", LIMIT, || {
        let shards = site.shards(FIRST);
        let mut senders = shards.values().map(|(_, sender)| *sender);
        senders.find(|&sender| sender != 11)
    });
    (number % 10) as u8
}

/// Guards against keys that stay unserved, or that change their owner, when the VM that sends to
/// their target is killed, and against work that runs twice on the way to the next sender.
#[test]
fn keys_of_a_killed_vm_are_served_again_by_the_same_target() {
    let targets = [holds("h1", true), holds("h2", true), holds("h3", false)];
    let mut site = Site::serving("kill", 1, 3, &targets);
    let victim = a_sender(&site);
    let before = site.shards(FIRST);
    let lost = before
        .iter()
        .find(|(_, (_, s))| *s == 10 + u64::from(victim));
    let (&shard, (owner, _)) = lost.unwrap();
    let key = site.key_of(shard);
    let load = site.load("kill", 100.0, Duration::from_secs(4));
    thread::sleep(Duration::from_millis(500));
    site.fleet.kill_daemon(vm(victim));
    let (answer, took) = Ask::get(&key).until_answered(site.callers(FIRST), SERVED_AGAIN);
    println!(
        "kill: the key is served again after {} ms",
        took.as_millis()
    );
    assert_eq!(&answer.target, owner, "the owner changed");
    let (summary, records) = load.finish();
    println!("kill: {summary:?}");
    let owners = |shards: &std::collections::BTreeMap<u64, (String, u64)>| {
        let list = shards.iter().map(|(i, (owner, _))| (*i, owner.clone()));
        list.collect::<Vec<_>>()
    };
    assert_eq!(owners(&site.shards(FIRST)), owners(&before));
    assert!(count(&summary, Outcome::Ok) * 10 > summary.requests * 9);
    let report = site.check(&records);
    assert!(report.holds(), "{report}");
}

/// Guards against a VM that was paused for longer than its lease and acts on it when it goes on:
/// requests that waited in its socket must not reach a target under the old right. Its targets
/// do not check tokens, so nothing but the VM itself stops such a request.
#[test]
fn a_continued_vm_sends_nothing_on_its_old_lease() {
    let targets = [holds("h1", false), holds("h2", false), holds("h3", false)];
    let mut site = Site::serving("stop", 1, 3, &targets);
    let victim = a_sender(&site);
    let number = 10 + u64::from(victim);
    let shards = site.shards(FIRST);
    let keys: Vec<String> = shards
        .iter()
        .filter(|(_, (_, sender))| *sender == number)
        .map(|(&shard, _)| site.key_of(shard))
        .collect();
    let load = site.load("stop", 100.0, Duration::from_secs(4));
    thread::sleep(Duration::from_millis(300));
    let to = site.callers(vm(victim));
    site.fleet
        .daemon(vm(victim))
        .unwrap()
        .signal("STOP")
        .unwrap();
    let stopped = Instant::now();
    // The system accepts these connections for the stopped process.
    let waiting: Vec<_> = (0..12)
        .map(|i| {
            let ask = Ask::post(&keys[i % keys.len()], &format!("stopped-{i}"));
            thread::spawn(move || ask.send(to))
        })
        .collect();
    for key in &keys {
        let (_, took) = Ask::get(key).until_answered(site.callers(FIRST), SERVED_AGAIN);
        println!("stop: served again after {} ms", took.as_millis());
    }
    // A commit under the new right comes before the old VM goes on.
    for (i, key) in keys.iter().enumerate() {
        let answer = Ask::post(key, &format!("new-{i}")).send(site.callers(FIRST));
        assert!(answer.is_answer(), "{answer:?}");
    }
    let over = Duration::from_millis(1_200);
    thread::sleep(over.saturating_sub(stopped.elapsed()));
    site.fleet
        .daemon(vm(victim))
        .unwrap()
        .signal("CONT")
        .unwrap();
    println!("stop: stopped for {} ms", stopped.elapsed().as_millis());
    for (i, thread) in waiting.into_iter().enumerate() {
        let answer = thread.join().unwrap();
        let commits = site.commits(&format!("stopped-{i}")).len();
        println!(
            "stop: {} {} {}, {commits} commits",
            answer.status, answer.outcome, answer.reason
        );
        match (answer.is_answer(), answer.is_not_run()) {
            (true, _) => assert_eq!(commits, 1),
            (_, true) => assert_eq!(commits, 0),
            _ => assert!(commits <= 1),
        }
    }
    let (summary, records) = load.finish();
    println!("stop: {summary:?}");
    let report = site.check(&records);
    assert!(report.holds(), "{report}");
}

/// Guards against requests that are cut off, or lost without the answer that allows to send them
/// again, when a VM is shut down under load.
#[test]
fn a_graceful_shutdown_cuts_no_request_off() {
    if support::is_known_red("a_graceful_shutdown_cuts_no_request_off") {
        return;
    }
    let targets = [holds("h1", true), holds("h2", true), holds("h3", false)];
    let mut site = Site::serving("term", 1, 3, &targets);
    for target in ["h1", "h2", "h3"] {
        site.switch(target, "slow?ms=20");
    }
    let victim = a_sender(&site);
    let load = site.load("term", 100.0, Duration::from_secs(4));
    thread::sleep(Duration::from_millis(800));
    let began = Instant::now();
    let daemon = site.fleet.daemon(vm(victim)).unwrap();
    daemon.signal("TERM").unwrap();
    let ended = daemon.wait(LIMIT);
    println!("term: ended after {} ms", began.elapsed().as_millis());
    assert_eq!(ended, Some(true), "{}", daemon.log_text());
    let (summary, records) = load.finish();
    println!("term: {summary:?}");
    if count(&summary, Outcome::Ok) != summary.requests {
        site.explain(&records);
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
    let report = site.check(&records);
    assert!(report.holds(), "{report}");
}

/// Guards against work with an `Idempotency-Key` that is committed twice when copies of it reach
/// several VMs at once, and again after the VM that sent it was killed.
#[test]
fn copies_of_an_idempotent_request_commit_once() {
    let targets = [holds("h1", true), holds("h2", true), holds("h3", false)];
    let mut site = Site::serving("copies", 1, 3, &targets);
    for target in ["h1", "h2", "h3"] {
        site.switch(target, "slow?ms=150");
    }
    let victim = a_sender(&site);
    let number = 10 + u64::from(victim);
    let shards = site.shards(FIRST);
    let keys: Vec<String> = shards
        .iter()
        .filter(|(_, (_, sender))| *sender == number)
        .map(|(&shard, _)| site.key_of(shard))
        .collect();
    let ask = |i: usize| {
        let name = format!("copy-{i}");
        Ask::post(&keys[i % keys.len()], &name).idempotent(&name)
    };
    let places = [vm(1), vm(2), vm(3)];
    // These are answered before the kill, so their answers are on record.
    let done: Vec<_> = (10..14)
        .map(|i| {
            let (answer, _) = ask(i).until_answered(site.callers(FIRST), LIMIT);
            (i, answer.body["run"].clone())
        })
        .collect();
    let mut first = Vec::new();
    for i in 0..6 {
        for place in places {
            let (ask, to) = (ask(i), site.callers(place));
            first.push(thread::spawn(move || ask.send(to)));
        }
    }
    // Some runs have started at the targets and none has ended.
    thread::sleep(Duration::from_millis(100));
    site.fleet.kill_daemon(vm(victim));
    let answers: Vec<_> = first.into_iter().map(|t| t.join().unwrap()).collect();
    let left: Vec<_> = places.into_iter().filter(|p| p.vm != victim).collect();
    for i in 0..6 {
        for &place in &left {
            let to = site.callers(place);
            let (answer, took) = wait_for("an answer or unknown", LIMIT, || {
                let answer = ask(i).send(to);
                (answer.is_answer() || answer.is_unknown()).then_some(answer)
            });
            println!(
                "copies: {i} through VM {}: {} {} after {} ms",
                place.vm,
                answer.status,
                answer.reason,
                took.as_millis()
            );
            let commits = site.commits(&format!("copy-{i}")).len();
            assert!(commits <= 1, "copy-{i} was committed {commits} times");
            assert!(
                !answer.is_answer() || commits == 1,
                "answered without a commit"
            );
        }
    }
    println!(
        "copies: first round {:?}",
        answers.iter().map(|a| a.status).collect::<Vec<_>>()
    );
    for (i, run) in done {
        for &place in &left {
            let (answer, _) = ask(i).until_answered(site.callers(place), LIMIT);
            assert_eq!(answer.body["run"], run, "not the recorded answer");
        }
        assert_eq!(site.commits(&format!("copy-{i}")).len(), 1);
    }
    let report = site.check(&[]);
    assert!(report.holds(), "{report}");
}
