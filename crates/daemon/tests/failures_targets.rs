//! Failures of targets, as seen through real VMs.

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
    Answer,
    Ask,
    FIRST,
    LIMIT,
    Site,
    holds,
    wait_for, //
};

/// Time for a target without answers to be found, and for its keys to be served by another. A
/// target that checks tokens waits for its lease; one that does not also for deadlines (1 s).
const MOVED: Duration = Duration::from_secs(6);

/// Time in which silent connections are found and replaced.
const REPLACED: Duration = Duration::from_secs(1);

/// Guards against keys that stay with a frozen target, and against work that a target commits
/// when it goes on as if nothing had happened although another one owns the key.
#[rstest]
#[case::checking("freeze", true)]
#[case::other("freeze-other", false)]
fn a_frozen_target_loses_its_keys_and_commits_nothing_late(
    #[case] name: &'static str,
    #[case] checks: bool,
) {
    let targets = [
        holds("h1", checks),
        holds("h2", checks),
        holds("h3", checks),
    ];
    let site = Site::serving(name, 1, 3, &targets);
    let shards = site.shards(FIRST);
    let (&shard, _) = shards.iter().find(|(_, (o, _))| o == "h1").unwrap();
    let key = site.key_of(shard);
    let load = site.load(name, 100.0, Duration::from_secs(6));
    thread::sleep(Duration::from_millis(300));
    site.switch("h1", "freeze");
    let (answer, took) = Ask::get(&key).until_answered(site.callers(FIRST), MOVED);
    println!(
        "{name}: served again by {} after {} ms",
        answer.target,
        took.as_millis()
    );
    assert_ne!(answer.target, "h1");
    let (_, all) = wait_for("all keys elsewhere", MOVED, || {
        let shards = site.shards(FIRST);
        let moved = shards.len() == 8 && shards.values().all(|(owner, _)| owner != "h1");
        moved.then_some(())
    });
    println!(
        "{name}: all keys elsewhere after {} ms more",
        all.as_millis()
    );
    site.switch("h1", "thaw");
    let (_, back) = wait_for("the target owns keys again", LIMIT, || {
        let shards = site.shards(FIRST);
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
    let report = site.check(&records);
    assert!(report.holds(), "{report}");
}

/// Checks that nobody was told more than is known: a request whose answer is unusable is unknown
/// and ran at most once, and one that was held back afterwards did not run. Returns whether it is
/// unknown.
fn is_unknown(site: &Site, answer: &Answer, marker: &str) -> bool {
    let commits = site.commits(marker).len();
    println!(
        "  {marker}: {} {} after {:?}, {commits} commits",
        answer.status, answer.reason, answer.took
    );
    let most = if answer.is_unknown() { 1 } else { 0 };
    assert!(answer.is_unknown() || answer.is_not_run(), "{answer:?}");
    assert!(commits <= most, "{marker} was committed {commits} times");
    answer.is_unknown()
}

/// Guards against an answer that reaches the wrong caller, or is passed on cut, when a target
/// answers late, short or with the answer of another request, and against work that is sent
/// again after such an answer.
#[rstest]
#[case::late("late", "late?share=1&ms=50")]
#[case::short("short", "cut?share=1")]
#[case::wrong_id("wrong-id", "crossed?share=1&mode=wrong-id")]
fn a_bad_answer_is_unknown_and_never_passed_on(
    #[case] name: &'static str,
    #[case] switch: &'static str,
) {
    let site = Site::serving(name, 1, 1, &[holds("h1", true)]);
    let to = site.callers(FIRST);
    // The target may learn of its grant after the VM does, and refuses until then.
    Ask::get("k1").until_answered(to, LIMIT);
    site.switch("h1", switch);
    let mut unknown = 0;
    for i in 0..4 {
        let marker = format!("{name}-{i}");
        let mut ask = Ask::post("k1", &marker);
        ask.deadline_ms = Some(300);
        let seen = is_unknown(&site, &ask.send(to), &marker);
        assert!(seen || i > 0, "the first request reached the target");
        unknown += u32::from(seen);
    }
    println!("{name}: {unknown} of 4 unknown");
    site.switch("h1", "clear");
    for i in 0..20 {
        let mut ask = Ask::get(&format!("k{i}"));
        ask.marker = format!("{name}-after-{i}");
        let (answer, _) = ask.until_answered(to, LIMIT);
        assert_eq!(answer.body["marker"].as_str(), Some(&*ask.marker));
    }
    let report = site.check(&[]);
    assert!(report.holds(), "{report}");
}

/// Guards against the same under load, where answers are swapped between requests in flight and
/// only some are bad, so that pooled connections with leftovers would show.
#[test]
fn callers_under_load_never_see_a_bad_answer() {
    let targets = [holds("h1", true), holds("h2", false)];
    let site = Site::serving("mixed", 1, 2, &targets);
    for switch in ["late?share=0.1&ms=30", "cut?share=0.1", "crossed?share=0.2"] {
        site.switch("h1", switch);
        site.switch("h2", switch);
    }
    let (summary, records) = site.load("mixed", 80.0, Duration::from_secs(4)).finish();
    println!("mixed: {summary:?}");
    let bad = |r: &&camphordale_standin::AttemptRecord| {
        matches!(r.outcome, Outcome::Wrong | Outcome::Short)
    };
    assert_eq!(records.iter().find(bad), None);
    assert!(records.iter().any(|r| r.outcome == Outcome::Unknown));
    let report = site.check(&records);
    assert!(report.holds(), "{report}");
}

/// Guards against pooled connections that went silent for good and are used on and on although
/// new connections work.
#[test]
fn silent_connections_are_found_and_replaced() {
    let site = Site::serving("mute", 1, 1, &[holds("h1", true)]);
    let to = site.callers(FIRST);
    let waiting: Vec<_> = (0..4)
        .map(|i| thread::spawn(move || Ask::get(&format!("k{i}")).send(to)))
        .collect();
    for thread in waiting {
        assert!(thread.join().unwrap().is_answer());
    }
    site.switch("h1", "mute");
    let muted = unix_micros();
    let (summary, records) = site.load("mute", 50.0, Duration::from_secs(4)).finish();
    println!("mute: {summary:?}");
    let failed = records.iter().filter(|r| r.outcome != Outcome::Ok);
    let count = failed.clone().count();
    assert!(count * 20 <= records.len(), "{count} of {}", records.len());
    let last = failed.map(|r| r.start_us - muted).max().unwrap_or(0);
    println!(
        "mute: the last failed attempt began after {} ms",
        last / 1_000
    );
    assert!(last < REPLACED.as_micros() as u64, "{summary:?}");
    let report = site.check(&records);
    assert!(report.holds(), "{report}");
}

/// Guards against new work for a target that is leaving, and against requests that are lost while
/// its keys are handed over.
#[test]
fn a_draining_target_gets_no_new_work_and_loses_no_request() {
    let targets = [holds("h1", true), holds("h2", true), holds("h3", false)];
    let site = Site::serving("drain", 1, 3, &targets);
    let load = site.load("drain", 100.0, Duration::from_secs(5));
    thread::sleep(Duration::from_millis(500));
    let target = site.targets["h1"].clone();
    let drained = thread::spawn(move || target.drain(LIMIT));
    let (_, took) = wait_for("no keys left", Duration::from_secs(4), || {
        let shards = site.shards(FIRST);
        let left = shards.len() == 8 && shards.values().all(|(owner, _)| owner != "h1");
        left.then_some(())
    });
    println!("drain: no keys left after {} ms", took.as_millis());
    assert!(drained.join().unwrap(), "the target was not let go");
    let runs = site.switch("h1", "stats")["runs"].as_u64();
    let (summary, records) = load.finish();
    println!("drain: {summary:?}");
    assert_eq!(
        site.switch("h1", "stats")["runs"].as_u64(),
        runs,
        "new work"
    );
    let ok = summary.outcomes.get(&Outcome::Ok).copied();
    assert_eq!(ok, Some(summary.requests), "{summary:?}");
    let unknown = records.iter().find(|r| r.outcome == Outcome::Unknown);
    assert_eq!(unknown, None);
    let report = site.check(&records);
    assert!(report.holds(), "{report}");
}

/// Guards against a refusal "not run" of work that ran, and against a target that is never tried
/// again after it shed everything for a while.
#[test]
fn requests_that_a_target_sheds_are_not_run() {
    let mut site = Site::serving("shed", 1, 1, &[holds("h1", true)]);
    site.switch("h1", "shed?share=1");
    let to = site.callers(FIRST);
    let answer = Ask::post("k1", "shed-1").send(to);
    println!(
        "shed: {} {} after {:?}",
        answer.status, answer.reason, answer.took
    );
    assert!(answer.is_not_run(), "{answer:?}");
    assert_eq!(site.commits("shed-1").len(), 0);
    site.switch("h1", "clear");
    site.add_target(&holds("h2", true));
    let (_, took) = Ask::get("k1").until_answered(to, LIMIT);
    println!("shed: answered {} ms after the end", took.as_millis());
}
