//! A target against a scripted entry VM.
#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::{
        BufRead,
        BufReader, //
    },
    process::{
        Command,
        Stdio, //
    },
    sync::Arc,
    thread,
    time::Duration,
};

use camphordale_standin::{
    JournalEntry,
    Phase,
    Target,
    read_lines, //
};
use common::{
    FakeEntry,
    keyed,
    options,
    post,
    switch,
    until, //
};
use serde_json::json;

fn started(entry: &FakeEntry) -> Arc<Target> {
    entry.grant(4, "4.2.31");
    let target = Target::start(options(&[entry])).unwrap();
    until("the target has its grant", || {
        switch(target.address(), "stats")["shards"] == json!(["cat/4"])
    });
    target
}

/// Guards against an announcement that an entry VM cannot read.
#[test]
fn announces_itself() {
    let entry = FakeEntry::start();
    let target = started(&entry);
    let want = json!({
        "name": "t", "service": "cat", "side": "new", "checks_tokens": true, "slots": 2,
        "address": target.address().to_string(),
    });
    assert_eq!(entry.state().announced, [want]);
    until("it renews", || entry.state().renewed.len() >= 2);
    let want = json!({"running": 0, "load": 0.0, "grants_version": 101});
    assert_eq!(entry.state().renewed[1], want);
}

/// Guards against running the request of an earlier sender, and one for a shard that the target
/// does not own.
#[test]
fn refuses_stale_tokens_and_foreign_shards() {
    let entry = FakeEntry::start();
    let target = started(&entry);
    let got = keyed(&target, "4.2.31");
    assert_eq!((got.status, got.outcome.as_deref()), (200, None));
    assert_eq!(
        got.request.as_deref(),
        Some("0d9f3c5be1a24f7788c1b20f6a7e4d13")
    );
    assert_eq!(keyed(&target, "4.2.35").status, 200);
    assert!(keyed(&target, "4.2.31").not_run());
    let foreign = [
        ("camphordale-shard", "cat/5"),
        ("camphordale-token", "9.9.9"),
    ];
    assert!(post(target.address(), &foreign).unwrap().not_run());
    let alone = [("camphordale-shard", "cat/4")];
    assert!(post(target.address(), &alone).unwrap().not_run());
}

/// Guards against a grant that is used up to one renewal late: a request for a shard without a
/// grant makes the target renew at once.
#[test]
fn learns_of_a_new_grant() {
    let entry = FakeEntry::start();
    entry.state().renew_ms = 3_600_000;
    entry.state().lease_ms = 7_200_000;
    let target = started(&entry);
    entry.grant(7, "4.2.50");
    let headers = [
        ("camphordale-shard", "cat/7"),
        ("camphordale-token", "4.2.50"),
    ];
    until("the new shard is served", || {
        post(target.address(), &headers).unwrap().status == 200
    });
    assert!(keyed(&target, "4.2.99").not_run(), "the old shard is gone");
}

/// Guards against a shard that is refused between its assignment and the owner's next renewal.
#[test]
fn runs_what_was_assigned_after_the_grants_were_read() {
    let entry = FakeEntry::start();
    let target = started(&entry);
    let newer = [
        ("camphordale-shard", "cat/9"),
        ("camphordale-token", "4.2.102"),
    ];
    assert_eq!(post(target.address(), &newer).unwrap().status, 200);
    entry.state().version = 103;
    until("the list without the shard decides", || {
        post(target.address(), &newer).unwrap().not_run()
    });
}

/// Guards against acting after the lease: entry VMs that answer 503 leave the lease to run out,
/// and a run that started before is not committed after.
#[test]
fn stops_when_the_lease_runs_out() {
    let dir = tempfile::tempdir().unwrap();
    let journal = dir.path().join("journal");
    let entry = FakeEntry::start();
    entry.grant(4, "4.2.31");
    let mut options = options(&[&entry]);
    options.journal = Some(journal.clone());
    let target = Target::start(options).unwrap();
    until("the target serves", || {
        keyed(&target, "4.2.31").status == 200
    });

    // A run is held until the lease, which is not renewed meanwhile, has run out. The lease
    // can also run out before the start, if the machine stalls; then the request is sent again.
    switch(target.address(), "slow?ms=3600000");
    let count = |phase| {
        let entries: Vec<JournalEntry> = read_lines(&journal).unwrap();
        entries.iter().filter(|e| e.phase == phase).count()
    };
    let commits = count(Phase::Commit);
    let sender = target.clone();
    let file = journal.clone();
    let held = thread::spawn(move || {
        loop {
            let got = keyed(&sender, "4.2.31");
            let entries: Vec<JournalEntry> = read_lines(&file).unwrap();
            if entries.len() > 2 * commits {
                return got;
            }
        }
    });
    until("the run starts", || count(Phase::Start) > commits);
    entry.state().status = 503;
    until("the lease runs out", || {
        switch(target.address(), "stats")["lease_left_ms"] == 0
    });
    switch(target.address(), "clear");
    assert!(held.join().unwrap().not_run(), "the commit is refused");
    assert!(keyed(&target, "4.2.31").not_run(), "the start is refused");
    assert_eq!(count(Phase::Commit), commits);

    entry.state().status = 0;
    until("it serves again", || keyed(&target, "4.2.31").status == 200);
    assert_eq!(entry.state().announced.len(), 1, "the session was kept");
}

/// Guards against serving on with the grants of a session that is gone.
#[test]
fn announces_again_without_a_session() {
    let entry = FakeEntry::start();
    let target = started(&entry);
    entry.state().grants.clear();
    entry.state().session = 70;
    until("it announces again", || entry.state().announced.len() == 2);
    until("the old grants are gone", || {
        keyed(&target, "4.2.31").not_run()
    });
    assert_eq!(entry.state().session, 71);
}

/// Guards against serving on without a session while no new one is opened.
#[test]
fn drops_its_grants_with_the_session() {
    let entry = FakeEntry::start();
    entry.state().lease_ms = 3_600_000;
    let target = started(&entry);
    assert_eq!(keyed(&target, "4.2.31").status, 200);
    entry.state().status = 404;
    until("the grants are gone", || keyed(&target, "4.2.31").not_run());
}

/// Guards against a target that is lost with the first entry VM on its list.
#[test]
fn tries_the_next_entry_vm() {
    let (down, up) = (FakeEntry::start(), FakeEntry::start());
    down.state().status = 503;
    up.grant(4, "4.2.31");
    let target = Target::start(options(&[&down, &up])).unwrap();
    until("the target serves", || {
        keyed(&target, "4.2.31").status == 200
    });
    assert!(down.state().announced.is_empty());
}

/// Guards against queueing beyond the slots and against starting work that is too late.
#[test]
fn sheds_beyond_its_slots_and_after_the_deadline() {
    let entry = FakeEntry::start();
    entry.state().renew_ms = 60_000;
    entry.state().lease_ms = 3_600_000;
    let target = started(&entry);
    let late = post(target.address(), &[("camphordale-deadline", "0")]).unwrap();
    assert!(late.not_run());
    switch(target.address(), "slow?ms=3600000");
    let address = target.address();
    let send = |_| thread::spawn(move || post(address, &[]).unwrap());
    let held: Vec<_> = (0..2).map(send).collect();
    until("both slots are in use", || {
        switch(address, "stats")["running"] == 2
    });
    assert!(post(address, &[]).unwrap().not_run());
    switch(address, "clear");
    for thread in held {
        assert_eq!(thread.join().unwrap().status, 200);
    }
    assert_eq!(post(address, &[]).unwrap().status, 200);
}

/// Guards against a target that ends while it owns shards, or hangs when it owns none.
#[test]
fn ends_on_sigterm_after_its_shards_left() {
    let entry = FakeEntry::start();
    entry.grant(4, "4.2.31");
    let mut child = Command::new(env!("CARGO_BIN_EXE_standin-target"))
        .args([
            "--name",
            "t",
            "--service",
            "cat",
            "--side",
            "new",
            "--checks-tokens",
        ])
        .args(["--listen", "127.0.0.1:0", "--key", "k", "--entry"])
        .arg(entry.address.to_string())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let mut output = BufReader::new(child.stdout.take().unwrap());
    output.read_line(&mut line).unwrap();
    assert!(line.contains("listening"));
    until("it renews", || !entry.state().renewed.is_empty());

    let kill = Command::new("kill").arg(child.id().to_string()).status();
    assert!(kill.unwrap().success());
    until("it drains", || entry.state().leaving);
    let renewed = entry.state().renewed.len();
    until("it renews while it drains", || {
        entry.state().renewed.len() > renewed + 1
    });
    assert!(child.try_wait().unwrap().is_none(), "it still owns a shard");
    let mut state = entry.state();
    state.version += 1;
    state.grants.clear();
    drop(state);
    assert!(child.wait().unwrap().success());
}

/// Guards against a drain in the library that returns early.
#[test]
fn drain_is_bounded() {
    let entry = FakeEntry::start();
    let target = started(&entry);
    assert!(!target.drain(Duration::from_millis(50)));
    entry.state().grants.clear();
    assert!(target.drain(Duration::from_secs(10)));
}
