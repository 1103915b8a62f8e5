//! Tests of a target with a fake entry VM.
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
    FakeEntryVm,
    options,
    post,
    post_keyed,
    send_command,
    wait_until, //
};
use serde_json::json;

fn start_with_grant(entry: &FakeEntryVm) -> Arc<Target> {
    entry.grant(4, "4.2.31");
    let target = Target::start(options(&[entry])).unwrap();
    wait_until("the target has its grant", || {
        send_command(target.address(), "stats")["shards"] == json!(["cat/4"])
    });
    target
}

/// Guards against an announcement that an entry VM cannot parse.
#[test]
fn announces_its_options() {
    let entry = FakeEntryVm::start();
    let target = start_with_grant(&entry);
    let expected = json!({
        "name": "t", "service": "cat", "side": "new", "checks_tokens": true, "slots": 2,
        "address": target.address().to_string(),
    });
    assert_eq!(entry.state().announced, [expected]);
    wait_until("it renews", || entry.state().renewed.len() >= 2);
    let expected = json!({"running": 0, "load": 0.0, "grants_version": 101});
    assert_eq!(entry.state().renewed[1], expected);
}

/// Guards against executing a request of an earlier sender or for a shard that the target does
/// not own.
#[test]
fn refuses_stale_tokens_and_unowned_shards() {
    let entry = FakeEntryVm::start();
    let target = start_with_grant(&entry);
    let response = post_keyed(&target, "4.2.31");
    assert_eq!((response.status, response.outcome.as_deref()), (200, None));
    assert_eq!(
        response.request.as_deref(),
        Some("0d9f3c5be1a24f7788c1b20f6a7e4d13")
    );
    assert_eq!(post_keyed(&target, "4.2.35").status, 200);
    assert!(post_keyed(&target, "4.2.31").not_run());
    let unowned = [
        ("camphordale-shard", "cat/5"),
        ("camphordale-token", "9.9.9"),
    ];
    assert!(post(target.address(), &unowned).unwrap().not_run());
    let without_token = [("camphordale-shard", "cat/4")];
    assert!(post(target.address(), &without_token).unwrap().not_run());
}

/// Guards against a delay of up to one renewal interval before a new grant is used: a request for
/// a shard without a grant makes the target renew immediately.
#[test]
fn renews_early_for_a_new_grant() {
    let entry = FakeEntryVm::start();
    entry.state().renew_ms = 3_600_000;
    entry.state().lease_ms = 7_200_000;
    let target = start_with_grant(&entry);
    entry.grant(7, "4.2.50");
    let headers = [
        ("camphordale-shard", "cat/7"),
        ("camphordale-token", "4.2.50"),
    ];
    wait_until("the new shard is served", || {
        post(target.address(), &headers).unwrap().status == 200
    });
    assert!(
        post_keyed(&target, "4.2.99").not_run(),
        "the former shard is refused"
    );
}

/// Guards against refusing requests for a shard between its assignment and the owner's next
/// renewal.
#[test]
fn accepts_tokens_newer_than_its_grants() {
    let entry = FakeEntryVm::start();
    let target = start_with_grant(&entry);
    let newer = [
        ("camphordale-shard", "cat/9"),
        ("camphordale-token", "4.2.102"),
    ];
    assert_eq!(post(target.address(), &newer).unwrap().status, 200);
    entry.state().version = 103;
    wait_until("the grants without the shard take effect", || {
        post(target.address(), &newer).unwrap().not_run()
    });
}

/// Guards against serving after lease expiry: when entry VMs respond 503, the lease expires, and a
/// request that started before is not committed afterwards.
#[test]
fn refuses_requests_after_lease_expiry() {
    let dir = tempfile::tempdir().unwrap();
    let journal = dir.path().join("journal");
    let entry = FakeEntryVm::start();
    entry.grant(4, "4.2.31");
    let mut options = options(&[&entry]);
    options.journal = Some(journal.clone());
    let target = Target::start(options).unwrap();
    wait_until("the target serves", || {
        post_keyed(&target, "4.2.31").status == 200
    });

    // A request is delayed until the lease, which is not renewed meanwhile, has expired. If the
    // machine stalls, the lease can also expire before the request starts; then it is sent again.
    send_command(target.address(), "slow?ms=3600000");
    let count = |phase| {
        let entries: Vec<JournalEntry> = read_lines(&journal).unwrap();
        entries.iter().filter(|e| e.phase == phase).count()
    };
    let commits = count(Phase::Commit);
    let sender = target.clone();
    let file = journal.clone();
    let pending = thread::spawn(move || {
        loop {
            let response = post_keyed(&sender, "4.2.31");
            let entries: Vec<JournalEntry> = read_lines(&file).unwrap();
            if entries.len() > 2 * commits {
                return response;
            }
        }
    });
    wait_until("the request starts", || count(Phase::Start) > commits);
    entry.state().status = 503;
    wait_until("the lease expires", || {
        send_command(target.address(), "stats")["lease_left_ms"] == 0
    });
    send_command(target.address(), "clear");
    assert!(pending.join().unwrap().not_run(), "the commit is refused");
    assert!(
        post_keyed(&target, "4.2.31").not_run(),
        "the start is refused"
    );
    assert_eq!(count(Phase::Commit), commits);

    entry.state().status = 0;
    wait_until("it serves again", || {
        post_keyed(&target, "4.2.31").status == 200
    });
    assert_eq!(entry.state().announced.len(), 1, "the session was kept");
}

/// Guards against serving with the grants of a lost session after a new one was opened.
#[test]
fn announces_again_after_session_loss() {
    let entry = FakeEntryVm::start();
    let target = start_with_grant(&entry);
    entry.state().grants.clear();
    entry.state().session = 70;
    wait_until("it announces again", || entry.state().announced.len() == 2);
    wait_until("the old grants are dropped", || {
        post_keyed(&target, "4.2.31").not_run()
    });
    assert_eq!(entry.state().session, 71);
}

/// Guards against serving without a session while no new one can be opened.
#[test]
fn drops_its_grants_on_session_loss() {
    let entry = FakeEntryVm::start();
    entry.state().lease_ms = 3_600_000;
    let target = start_with_grant(&entry);
    assert_eq!(post_keyed(&target, "4.2.31").status, 200);
    entry.state().status = 404;
    wait_until("the grants are dropped", || {
        post_keyed(&target, "4.2.31").not_run()
    });
}

/// Guards against a target that fails when the first entry VM on its list is unavailable.
#[test]
fn tries_the_next_entry_vm() {
    let (unavailable, available) = (FakeEntryVm::start(), FakeEntryVm::start());
    unavailable.state().status = 503;
    available.grant(4, "4.2.31");
    let target = Target::start(options(&[&unavailable, &available])).unwrap();
    wait_until("the target serves", || {
        post_keyed(&target, "4.2.31").status == 200
    });
    assert!(unavailable.state().announced.is_empty());
}

/// Guards against queueing requests beyond the slots and starting requests after their deadline.
#[test]
fn refuses_requests_without_slot_or_past_deadline() {
    let entry = FakeEntryVm::start();
    entry.state().renew_ms = 60_000;
    entry.state().lease_ms = 3_600_000;
    let target = start_with_grant(&entry);
    let late = post(target.address(), &[("camphordale-deadline", "0")]).unwrap();
    assert!(late.not_run());
    send_command(target.address(), "slow?ms=3600000");
    let address = target.address();
    let send = |_| thread::spawn(move || post(address, &[]).unwrap());
    let pending: Vec<_> = (0..2).map(send).collect();
    wait_until("both slots are in use", || {
        send_command(address, "stats")["running"] == 2
    });
    assert!(post(address, &[]).unwrap().not_run());
    send_command(address, "clear");
    for thread in pending {
        assert_eq!(thread.join().unwrap().status, 200);
    }
    assert_eq!(post(address, &[]).unwrap().status, 200);
}

/// Guards against a target that exits while it owns shards, or does not exit when it owns none.
#[test]
fn exits_on_sigterm_after_draining() {
    let entry = FakeEntryVm::start();
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
    wait_until("it renews", || !entry.state().renewed.is_empty());

    let kill = Command::new("kill").arg(child.id().to_string()).status();
    assert!(kill.unwrap().success());
    wait_until("it drains", || entry.state().leaving);
    let renewed = entry.state().renewed.len();
    wait_until("it renews while it drains", || {
        entry.state().renewed.len() > renewed + 1
    });
    assert!(child.try_wait().unwrap().is_none(), "it still owns a shard");
    let mut state = entry.state();
    state.version += 1;
    state.grants.clear();
    drop(state);
    assert!(child.wait().unwrap().success());
}

/// Guards against a drain that reports completion while the target still owns a shard.
#[test]
fn drain_times_out() {
    let entry = FakeEntryVm::start();
    let target = start_with_grant(&entry);
    assert!(!target.drain(Duration::from_millis(50)));
    entry.state().grants.clear();
    assert!(target.drain(Duration::from_secs(10)));
}
