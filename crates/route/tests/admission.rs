//! Admission: the key and the deadline of a request, and refusals.

mod common;

use std::time::Duration;

use camphordale_domain::View;
use camphordale_route::*;
use camphordale_types::*;
use common::*;
use rstest::rstest;

fn keyed_by(source: KeySource) -> Router {
    let mut router = router();
    let mut bundle = bundle(2);
    bundle.services[0].key = source;
    put_in_force(&mut router, bundle, 0);
    router
}

/// Guards against a key that differs from the one that the target reads: the request would go to a
/// target that does not own the key.
#[rstest]
#[case::segment(KeySource::Segment(1), "/k/a%2Fb", None, Some("a/b"))]
#[case::segment_before_query(KeySource::Segment(1), "/k/a?x=1", None, Some("a"))]
#[case::no_segment(KeySource::Segment(2), "/k/a", None, None)]
#[case::empty_segment(KeySource::Segment(1), "/k/", None, None)]
#[case::bad_escape(KeySource::Segment(1), "/k/a%2", None, None)]
#[case::not_utf8(KeySource::Segment(1), "/k/%ff", None, None)]
#[case::query(KeySource::Query("id".into()), "/k?x=1&id=a+%62", None, Some("a b"))]
#[case::two_values(KeySource::Query("id".into()), "/k?id=a&id=b", None, None)]
#[case::header(KeySource::Header("X-Key".into()), "/k", Some("50%"), Some("50%"))]
#[case::no_header(KeySource::Header("X-Key".into()), "/k", None, None)]
fn key_is_read(
    #[case] source: KeySource,
    #[case] path: &str,
    #[case] header: Option<&str>,
    #[case] key: Option<&str>,
) {
    let mut router = keyed_by(source);
    let mut request = request(1, "GET", path);
    request.headers = header
        .map(|v| ("x-key".into(), v.into()))
        .into_iter()
        .collect();
    let effects = arrive(&mut router, request, 0);
    let Some(key) = key else {
        assert_eq!(effects, [not_run(1, NotRun::NoKey)]);
        return;
    };
    let shard = router.explain("k", key).unwrap().shard.index;
    match &effects[..] {
        [Effect::Send(send)] => assert_eq!(send.grant.as_ref().unwrap().0.index, shard),
        [Effect::Forward { vm: 2, .. }] => assert_eq!(shard, 2),
        [] => assert_eq!(shard, 3),
        other => panic!("{other:?}"),
    }
}

/// Guards against a deadline beyond what the service or the caller allows.
#[rstest]
#[case(None, 1000)]
#[case(Some(300), 300)]
#[case(Some(5000), 1000)]
fn deadline_is_the_smaller(#[case] allowed: Option<u64>, #[case] expected: u64) {
    let mut router = router();
    let mut request = keyed(1, "GET", 0);
    request.timeout = allowed.map(ms);
    let effects = arrive(&mut router, request, 50);
    let [Effect::Send(send)] = &effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(send.deadline, ms(50 + expected));
}

/// Guards against a panic on durations that a bundle allows but that overflow when added to a time.
#[test]
fn endless_durations_do_not_overflow() {
    let mut router = router();
    let mut bundle = bundle(2);
    bundle.services[0].deadline = Duration::MAX;
    bundle.services[0].domain_lease = Some(Duration::MAX);
    put_in_force(&mut router, bundle, 5);
    write(&mut router, keyed(1, "GET", 0), 11, 5);
    let mut view = change(2, vec![], vec![shard(0, Some(11), 5)]);
    view.bundle_version = 2;
    view.shards[0].releasing = true;
    router.step(Event::View(view), ms(6));
    assert_eq!(done(&mut router, 1, responded(), 7).len(), 1);
}

/// Guards against requests that are served without a bundle, or for a service that the bundle does
/// not have.
#[test]
fn unknown_services_are_refused() {
    let mut router = Router::new(RouterConfig::new(VM, "east", 7));
    let effects = arrive(&mut router, keyed(1, "GET", 0), 0);
    assert_eq!(effects, [not_run(1, NotRun::NoBundle)]);
    router.step(Event::Bundle(bundle(1)), ms(0));
    let effects = arrive(&mut router, request(2, "GET", "/other"), 0);
    assert_eq!(effects, [not_run(2, NotRun::UnconfirmedBundle)]);
    let mut router = common::router();
    let effects = arrive(&mut router, request(3, "GET", "/other"), 0);
    assert_eq!(effects, [not_run(3, NotRun::NoService)]);
    let effects = arrive(&mut router, request(4, "GET", "/k/"), 0);
    assert_eq!(effects, [not_run(4, NotRun::NoKey)]);
}

/// Guards against a caller that is told for good that a service does not exist, or that a key is
/// missing, by a VM that knows of a newer bundle or cannot know of one.
#[rstest]
#[case::newer_bundle_known(&[Event::BundleOutdated(true)])]
#[case::newer_bundle_in_the_view(&[Event::View(View { bundle_version: 2, ..view(2) })])]
#[case::lease_lost(&[Event::LeaseLost])]
#[case::lease_of_another_term(&[Event::Term { term: 2 }])]
#[case::domain_without_control(&[
    Event::Lease { until: Duration::from_secs(90), min_view: 1, control_renewed: ms(0) },
])]
fn only_a_confirmed_bundle_refuses_for_good(#[case] events: &[Event]) {
    let mut router = Router::new(RouterConfig::new(VM, "east", 7));
    let renewal = Event::Lease {
        until: Duration::from_secs(60),
        min_view: 1,
        control_renewed: ms(0),
    };
    for event in [Event::Bundle(bundle(1)), Event::View(view(1)), renewal] {
        router.step(event, ms(0));
    }
    let effects = arrive(&mut router, request(1, "GET", "/other"), 1_000);
    assert_eq!(effects, [not_run(1, NotRun::NoService)]);
    for event in events {
        router.step(event.clone(), ms(1_000));
    }
    let now = match events {
        [Event::Lease { .. }] => 1_001,
        _ => 1_000,
    };
    for (id, path) in [(2, "/other"), (3, "/k/")] {
        let effects = arrive(&mut router, request(id, "GET", path), now);
        assert_eq!(effects, [not_run(id, NotRun::UnconfirmedBundle)], "{path}");
    }
}

/// Guards against callers who are told that there is no such service, or that the key is missing, by a
/// VM whose bundle may have been replaced: the leader renews no lease of one that is behind.
#[rstest]
#[case::no_service("/other", NotRun::NoService)]
#[case::no_key("/k/", NotRun::NoKey)]
fn nothing_is_refused_for_good_by_an_old_bundle(#[case] path: &str, #[case] final_reason: NotRun) {
    let ask = |router: &mut Router, at| arrive(router, request(1, "GET", path), at);
    let mut without_lease = Router::new(RouterConfig::new(VM, "east", 7));
    without_lease.step(Event::Bundle(bundle(1)), ms(0));
    let unconfirmed = [not_run(1, NotRun::UnconfirmedBundle)];
    assert_eq!(ask(&mut without_lease, 0), unconfirmed);

    let mut router = router();
    assert_eq!(ask(&mut router, 3_599_999), [not_run(1, final_reason)]);
    assert_eq!(
        ask(&mut router, 3_600_000),
        unconfirmed,
        "its lease is over"
    );

    let mut router = common::router();
    let mut newer = change(2, vec![], vec![]);
    newer.bundle_version = 2;
    router.step(Event::View(newer), ms(1));
    assert_eq!(
        ask(&mut router, 2),
        unconfirmed,
        "the group has a newer bundle"
    );
    router.step(Event::Bundle(bundle(2)), ms(3));
    assert_eq!(ask(&mut router, 4), [not_run(1, final_reason)]);
}

/// Guards against a service that stays unconfirmed after the newer bundle has come into force.
#[test]
fn newest_bundle_refuses_for_good_again() {
    let mut router = router();
    router.step(Event::BundleOutdated(true), ms(0));
    put_in_force(&mut router, bundle(2), 0);
    router.step(Event::BundleOutdated(false), ms(0));
    let effects = arrive(&mut router, request(1, "GET", "/other"), 0);
    assert_eq!(effects, [not_run(1, NotRun::NoService)]);
}

/// Guards against an older bundle that comes into force again.
#[test]
fn older_bundle_is_ignored() {
    let mut router = router();
    put_in_force(&mut router, bundle(5), 0);
    let mut old = bundle(4);
    old.services.clear();
    router.step(Event::Bundle(old), ms(0));
    assert_eq!(router.status().bundle, Some(5));
    assert_eq!(
        sends(&arrive(&mut router, keyed(1, "GET", 0), 0)),
        [(1, 11)]
    );
}

/// Guards against a drain that admits new requests of callers, or refuses requests that other VMs
/// still forward.
#[test]
fn drain_refuses_callers_only() {
    let mut router = router();
    write(&mut router, keyed(1, "POST", 0), 11, 0);
    assert_eq!(router.step(Event::Drain, ms(1)), []);
    let effects = arrive(&mut router, keyed(2, "GET", 0), 1);
    assert_eq!(effects, [not_run(2, NotRun::ShuttingDown)]);
    let mut forwarded = keyed(3, "GET", 0);
    forwarded.origin = Origin::Vm { vm: 2, hops: 1 };
    assert_eq!(sends(&arrive(&mut router, forwarded, 1)), [(3, 11)]);
    assert_eq!(done(&mut router, 1, responded(), 2), []);
}

/// Guards against a queued request that stays in its old shard after a bundle has mapped the key to
/// a dedicated shard.
#[test]
fn queued_requests_follow_a_new_bundle() {
    let mut router = router();
    assert_eq!(arrive(&mut router, keyed(1, "GET", 3), 0), []);
    let mut next = bundle(2);
    next.services[0].hot_keys = vec![key(3).into()];
    router.step(Event::Bundle(next), ms(1));
    let mut view = change(2, vec![], vec![shard(4, Some(11), 9)]);
    view.bundle_version = 2;
    let effects = router.step(Event::View(view), ms(2));
    let [Effect::Send(send)] = &effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(send.grant, Some((ShardRef::new("k", 4), token(9))));
}

/// Guards against a key with two owners while a bundle that maps it to a dedicated shard comes into
/// force: a view and a bundle of different versions map the key to different shards.
#[test]
fn nothing_keyed_is_sent_under_another_mapping() {
    let mut router = router();
    let mut next = bundle(2);
    next.services[0].hot_keys = vec![key(0).into()];
    router.step(Event::Bundle(next), ms(1));
    assert_eq!(arrive(&mut router, keyed(1, "GET", 0), 2), []);
    assert_eq!(arrive(&mut router, keyed(2, "GET", 1), 2), []);
    let mut view = change(2, vec![], vec![shard(4, None, 9)]);
    view.bundle_version = 2;
    let effects = router.step(Event::View(view), ms(3));
    assert!(matches!(&effects[..], [Effect::Send(send)] if send.id == 2));
}
