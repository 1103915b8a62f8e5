//! Tests of the checker with constructed journals and records.
#![allow(clippy::unwrap_used)]

use camphordale_standin::{
    AttemptRecord,
    JournalEntry,
    Outcome,
    Phase,
    Rule,
    check,
    read_lines, //
};
use rstest::rstest;

/// A run of a request with marker `id` on `target`, from `start` to `commit`.
struct Run {
    target: &'static str,
    checks_tokens: bool,
    id: &'static str,
    token: &'static str,
    start: u64,
    commit: Option<u64>,
}

const A: Run = Run {
    target: "a",
    checks_tokens: true,
    id: "1",
    token: "1.1.1",
    start: 10,
    commit: Some(20),
};

const B: Run = Run {
    target: "b",
    id: "2",
    token: "1.1.2",
    start: 30,
    commit: Some(40),
    ..A
};

fn entries(runs: &[Run]) -> Vec<JournalEntry> {
    let mut entries = Vec::new();
    for (number, run) in runs.iter().enumerate() {
        let entry = JournalEntry {
            at_us: run.start,
            wall_us: run.start,
            target: run.target.into(),
            checks_tokens: run.checks_tokens,
            run: number as u64,
            request: format!("{:032x}", number).into(),
            method: "POST".into(),
            path: "/cat".into(),
            idempotency: Some(format!("k{}", run.id).into()),
            marker: Some(run.id.into()),
            shard: Some("cat/4".into()),
            token: Some(run.token.parse().unwrap()),
            key: None,
            phase: Phase::Start,
        };
        if let Some(wall_us) = run.commit {
            entries.push(JournalEntry {
                wall_us,
                phase: Phase::Commit,
                ..entry.clone()
            });
        }
        entries.insert(0, entry);
    }
    entries
}

/// Returns records of attempts, each given by request id, start and outcome.
fn records(attempts: &[(&str, u64, Outcome)]) -> Vec<AttemptRecord> {
    let record = |(id, start_us, outcome): &(&str, u64, Outcome)| AttemptRecord {
        id: (*id).into(),
        idempotency: Some(format!("k{id}").into()),
        service: "cat".into(),
        key: None,
        method: "POST".into(),
        start_us: *start_us,
        latency_us: 50,
        outcome: *outcome,
        status: None,
        reason: None,
        target: None,
        attempt: 1,
        last: true,
        vm: "127.0.0.1:1".into(),
    };
    attempts.iter().map(record).collect()
}

/// Guards against undetected violations and against false reports. The cases without expected
/// rules are correct histories.
#[rstest]
#[case::successive_owners(&[A, B], &[("1", 0, Outcome::Ok), ("2", 5, Outcome::Ok)], &[])]
#[case::unknown_may_be_committed(&[A], &[("1", 0, Outcome::Unknown)], &[])]
#[case::unknown_may_be_uncommitted(&[], &[("1", 0, Outcome::Unknown)], &[])]
#[case::refused_then_answered(
    &[Run { start: 60, commit: Some(70), ..A }],
    &[("1", 0, Outcome::NotRun), ("1", 55, Outcome::Ok)],
    &[]
)]
#[case::answered_by_record(&[A], &[("1", 0, Outcome::Unknown), ("1", 55, Outcome::Ok)], &[])]
#[case::refused_by_the_token_check(
    &[B, Run { start: 25, commit: None, ..A }],
    &[("2", 0, Outcome::Ok), ("1", 0, Outcome::NotRun)],
    &[]
)]
#[case::later_sender_of_one_owner(
    &[A, Run { target: "a", start: 15, commit: Some(25), ..B }],
    &[],
    &[]
)]
#[case::unchecked_owner_ends_an_earlier_senders_request(
    &[
        Run { checks_tokens: false, commit: Some(45), ..A },
        Run { target: "a", checks_tokens: false, ..B },
    ],
    &[],
    &[]
)]
#[case::committed_twice(
    &[A, Run { target: "b", start: 30, commit: Some(40), ..A }],
    &[("1", 0, Outcome::Ok)],
    &[Rule::IdempotencyKeyOnce, Rule::OkCommitted]
)]
#[case::answered_without_commit(&[A], &[("9", 0, Outcome::Ok)], &[Rule::OkCommitted])]
#[case::started_only(
    &[Run { commit: None, ..A }],
    &[("1", 0, Outcome::Ok)],
    &[Rule::OkCommitted]
)]
#[case::refused_but_committed(&[A], &[("1", 0, Outcome::NotRun)], &[Rule::NotRunUncommitted])]
#[case::unsent_but_committed(
    &[A],
    &[("1", 0, Outcome::ConnectFailed)],
    &[Rule::NotRunUncommitted]
)]
#[case::refused_but_committed_before_the_next_attempt(
    &[A],
    &[("1", 0, Outcome::NotRun), ("1", 55, Outcome::Ok)],
    &[Rule::NotRunUncommitted]
)]
#[case::stale_owner(
    &[B, Run { start: 50, commit: Some(60), ..A }],
    &[],
    &[Rule::CheckedOrder]
)]
#[case::stale_sender(
    &[Run { target: "a", ..B }, Run { start: 50, commit: Some(60), ..A }],
    &[],
    &[Rule::CheckedOrder]
)]
#[case::stale_unchecked_owner(
    &[
        Run { checks_tokens: false, ..B },
        Run { checks_tokens: false, start: 50, commit: Some(60), ..A },
    ],
    &[],
    &[Rule::UncheckedOrder]
)]
#[case::two_owners(
    &[A, Run { start: 15, commit: Some(25), ..B }],
    &[],
    &[Rule::CheckedOverlap]
)]
#[case::two_unchecked_owners(
    &[
        Run { checks_tokens: false, ..A },
        Run { checks_tokens: false, start: 15, commit: Some(25), ..B },
    ],
    &[],
    &[Rule::UncheckedOverlap]
)]
#[case::two_owners_with_a_short_run_in_between(
    &[
        Run { commit: Some(90), ..A },
        Run { id: "3", start: 12, commit: Some(18), ..A },
        Run { start: 50, commit: Some(95), ..B },
    ],
    &[],
    &[Rule::CheckedOverlap]
)]
#[case::an_unchecked_owner_within_a_checked_one(
    &[
        Run { checks_tokens: false, start: 12, commit: Some(18), ..A },
        Run { start: 10, commit: Some(25), ..B },
    ],
    &[],
    &[Rule::CheckedOverlap]
)]
#[case::wrong_response(&[], &[("1", 0, Outcome::Wrong)], &[Rule::NoWrongResponse])]
#[case::truncated_response(&[], &[("1", 0, Outcome::Short)], &[Rule::NoTruncatedResponse])]
fn detects_each_violation(
    #[case] runs: &[Run],
    #[case] attempts: &[(&str, u64, Outcome)],
    #[case] expected: &[Rule],
) {
    let report = check(&entries(runs), &records(attempts));
    assert_eq!(report.violated(), expected, "{report}");
    assert_eq!(report.holds(), expected.is_empty());
}

/// Guards against one request id committed by two targets, unless the method may be retried.
#[rstest]
#[case("POST", &[Rule::RequestOnce])]
#[case("GET", &[])]
fn request_ids_are_committed_once(#[case] method: &str, #[case] expected: &[Rule]) {
    let mut list = entries(&[A, B]);
    for entry in &mut list {
        entry.request = "0d9f".into();
        entry.method = method.into();
    }
    assert_eq!(check(&list, &[]).violated(), expected);
}

/// Guards against accepting a truncated journal as complete.
#[test]
fn malformed_lines_are_reported() {
    let file = tempfile::NamedTempFile::new().unwrap();
    let line = serde_json::to_string(&entries(&[A])[0]).unwrap();
    std::fs::write(file.path(), format!("{line}\n{}", &line[..40])).unwrap();
    let error = read_lines::<JournalEntry>(file.path()).unwrap_err();
    assert!(error.to_string().contains("line 2"), "{error}");
}
