//! Idempotency records.

mod common;

use camphordale_domain::{RecordKey, StoredResponse};
use camphordale_route::*;
use camphordale_types::*;
use common::*;
use rstest::rstest;

fn idempotent(id: RequestId, value: &str) -> Request {
    let mut request = keyed(id, "POST", 0);
    request.headers = vec![("idempotency-key".into(), value.into())];
    request
}

fn recorded(router: &mut Router, id: RequestId, result: RecordResult, now: u64) -> Vec<Effect> {
    router.step(Event::Recorded { id, result }, ms(now))
}

/// Admits a request and returns the key of the record that the router creates.
fn record(router: &mut Router, request: Request) -> RecordKey {
    match &arrive(router, request, 0)[..] {
        [
            Effect::CreateRecord {
                key,
                token: t,
                shard,
                ..
            },
        ] => {
            assert_eq!((shard, *t), (&ShardRef::new("k", 0), token(5)));
            *key
        }
        other => panic!("{other:?}"),
    }
}

fn stored() -> StoredResponse {
    StoredResponse {
        status: 201,
        headers: vec![],
        body: b"done".to_vec(),
    }
}

/// Guards against a request that runs without a record, and a response that is not stored.
#[test]
fn record_is_created_first_and_stores_the_response() {
    let mut router = router();
    let key = record(&mut router, idempotent(1, "a"));
    assert_eq!(ready(&mut router, 1, 1), []);
    let effects = recorded(&mut router, 1, RecordResult::Recorded, 2);
    assert_eq!(sends(&effects), [(1, 11)]);
    ready(&mut router, 1, 3);
    let response = Some(stored());
    let attempt = AttemptResult::Responded {
        status: 201,
        stored: response.clone(),
    };
    let finish = Effect::FinishRecord {
        key,
        id: 1,
        response,
    };
    assert_eq!(done(&mut router, 1, attempt, 4), [finish]);
}

/// Guards against a duplicate that runs, and one that erases the record of the first request.
#[rstest]
#[case(RecordResult::Replay(stored()), Effect::Replay { id: 1, response: stored() }, false)]
#[case(RecordResult::InProgress, unknown(1, Unknown::Duplicate), false)]
#[case(
    RecordResult::RecordsIncomplete,
    unknown(1, Unknown::RecordsLost),
    false
)]
#[case(RecordResult::Failed, not_run(1, NotRun::Record), false)]
#[case(RecordResult::Uncertain, not_run(1, NotRun::Record), true)]
fn other_results_end_the_request(
    #[case] result: RecordResult,
    #[case] expected: Effect,
    #[case] erased: bool,
) {
    let mut router = router();
    let key = record(&mut router, idempotent(1, "a"));
    let effects = recorded(&mut router, 1, result, 1);
    let erase = erased.then_some(Effect::EraseRecord { key, id: 1 });
    let all: Vec<_> = erase.into_iter().chain([expected]).collect();
    assert_eq!(effects, all);
    assert_eq!(router.status().in_flight, 0);
}

/// Guards against a record that blocks the resend of a request that did not run, and against one
/// that is erased although the request may have run.
#[rstest]
#[case(AttemptResult::NotRun(NotRun::Shed), true)]
#[case(AttemptResult::Unknown(Unknown::Timeout), false)]
fn record_is_erased_only_if_the_request_did_not_run(
    #[case] attempt: AttemptResult,
    #[case] erased: bool,
) {
    let mut router = router();
    let key = record(&mut router, idempotent(1, "a"));
    recorded(&mut router, 1, RecordResult::Recorded, 1);
    ready(&mut router, 1, 1);
    let effects = done(&mut router, 1, attempt, 2);
    assert_eq!(
        effects.contains(&Effect::EraseRecord { key, id: 1 }),
        erased
    );
    assert_eq!(sends(&effects), []);
}

/// Guards against different requests that share a record.
#[test]
fn record_key_covers_the_request() {
    let mut router = router();
    let first = record(&mut router, idempotent(1, "a"));
    assert_eq!(first, record(&mut router, idempotent(2, "a")));
    assert_ne!(first, record(&mut router, idempotent(3, "b")));
    let mut path = idempotent(4, "a");
    path.path = format!("{}/x", path.path).into();
    assert_ne!(first, record(&mut router, path));
    let mut method = idempotent(5, "a");
    method.method = "PUT".into();
    assert_ne!(first, record(&mut router, method));
}

/// Guards against a record for a request that may be retried, which costs two commits.
#[test]
fn retryable_requests_need_no_record() {
    let mut router = router();
    let mut request = idempotent(1, "a");
    request.method = "GET".into();
    assert_eq!(sends(&arrive(&mut router, request, 0)), [(1, 11)]);
}

/// Guards against a send that relies on a record of an earlier group.
#[test]
fn record_of_another_term_is_not_trusted() {
    let mut router = router();
    record(&mut router, idempotent(1, "a"));
    let mut other = view(1);
    other.term = 2;
    for shard in &mut other.shards {
        shard.token.term = 2;
    }
    router.step(Event::View(other), ms(1));
    router.step(lease(ms(9_000_000)), ms(1));
    let effects = recorded(&mut router, 1, RecordResult::Recorded, 2);
    assert!(effects.contains(&not_run(1, NotRun::Record)), "{effects:?}");
}

/// Guards against the forward of a request with a record: the other VM would find the record and
/// refuse the request as a duplicate.
#[test]
fn recorded_request_is_not_forwarded() {
    let mut router = router();
    let key = record(&mut router, idempotent(1, "a"));
    recorded(&mut router, 1, RecordResult::Recorded, 1);
    let moved = Event::View(change(2, vec![], vec![shard(0, Some(12), 9)]));
    router.step(moved, ms(2));
    assert_eq!(
        ready(&mut router, 1, 3),
        [
            Effect::Requeue { id: 1 },
            Effect::EraseRecord { key, id: 1 },
            not_run(1, NotRun::NoOwner)
        ]
    );
}

/// Guards against a send for a caller that has disconnected, and against a record that stays.
#[test]
fn cancelled_request_is_not_sent() {
    let mut router = router();
    let key = record(&mut router, idempotent(1, "a"));
    assert_eq!(router.step(Event::Cancel { id: 1 }, ms(1)), []);
    let effects = recorded(&mut router, 1, RecordResult::Recorded, 2);
    assert_eq!(effects, [Effect::EraseRecord { key, id: 1 }]);
}

/// Guards against an endless loop over the queue of a shard that is being released.
#[test]
fn released_shard_leaves_the_round_robin_of_its_target() {
    let mut router = router();
    write(&mut router, keyed(1, "POST", 0), 11, 0);
    // Nothing is sent to the target for 300 ms while it is probed.
    done(&mut router, 1, AttemptResult::Unknown(Unknown::Timeout), 1);
    router.step(Event::LeaseLost, ms(2));
    let mut other = idempotent(3, "a");
    other.path = keyed(3, "POST", 1).path;
    assert_eq!(arrive(&mut router, keyed(2, "GET", 0), 2), []);
    assert_eq!(arrive(&mut router, other, 2), []);
    router.step(lease(ms(9000)), ms(3));
    let mut released = shard(1, Some(11), 5);
    released.releasing = true;
    let owner = target(11, "k", Some(1));
    let view = change(2, vec![owner], vec![released]);
    let effects = router.step(Event::View(view), ms(400));
    assert_eq!(sends(&effects), [(2, 11)]);
    assert_eq!(router.status().queued, 1);
}
