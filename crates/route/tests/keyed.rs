//! Keyed requests: leases, owners, senders, slots and queues.

mod common;

use camphordale_domain::{ShardView, View};
use camphordale_route::*;
use camphordale_types::*;
use common::*;
use rstest::rstest;

/// Guards against a request with an older fencing token than the newest one, which a target
/// refuses.
#[rstest]
#[case(3, 5)]
#[case(8, 8)]
fn request_carries_the_larger_token(#[case] right: u64, #[case] expected: u64) {
    let mut router = router();
    let mut owner = target(11, "k", Some(1));
    owner.token = token(right);
    router.step(Event::View(change(2, vec![owner], vec![])), ms(0));
    let effects = arrive(&mut router, keyed(1, "GET", 0), 0);
    let [Effect::Send(send)] = &effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(send.grant, Some((ShardRef::new("k", 0), token(expected))));
    assert_eq!(send.connections, 60);
}

fn grant(until: u64, min_view: u64) -> Event {
    Event::Lease {
        until: ms(until),
        min_view,
        control_renewed: ms(100),
    }
}

/// Returns a view in which shard 0 of target 11 has changed.
fn changed(change_shard: impl Fn(&mut ShardView)) -> Event {
    let mut held = shard(0, Some(11), 5);
    change_shard(&mut held);
    Event::View(change(2, vec![], vec![held]))
}

/// Guards against a write after the lease or the ownership ended between the choice of the target
/// and the write.
#[rstest]
#[case::lease_lost(Event::LeaseLost, 20, false)]
#[case::lease_over(Event::Tick, 500, false)]
#[case::min_view(grant(600, 2), 20, false)]
#[case::releasing(changed(|s| s.releasing = true), 20, false)]
#[case::other_owner(changed(|s| s.owner = None), 20, false)]
#[case::new_token(changed(|s| s.token = token(6)), 20, true)]
#[case::term(Event::Term { term: 2 }, 20, false)]
#[case::domain_lease(grant(900, 1), 500, false)]
fn final_check_requeues_the_request(#[case] event: Event, #[case] now: u64, #[case] again: bool) {
    let mut router = Router::new(RouterConfig::new(VM, "east", 7));
    let mut bundle = bundle(1);
    bundle.services[0].domain_lease = Some(ms(400));
    let setup = [Event::Bundle(bundle), directory(), Event::View(view(1))];
    for event in setup.into_iter().chain([grant(500, 1)]) {
        router.step(event, ms(0));
    }
    let effects = arrive(&mut router, keyed(1, "GET", 0), 10);
    assert_eq!(sends(&effects), [(1, 11)]);
    router.step(event, ms(20));
    let effects = ready(&mut router, 1, now);
    assert_eq!(effects.first(), Some(&Effect::Requeue { id: 1 }));
    // With a new token the request is sent again under it.
    assert_eq!(!sends(&effects).is_empty(), again, "{effects:?}");
}

/// Guards against a queued request that is dropped while its shard moves.
#[test]
fn queued_request_follows_the_owner() {
    let mut router = router();
    assert_eq!(arrive(&mut router, keyed(1, "GET", 3), 0), []);
    let assigned = Event::View(change(2, vec![], vec![shard(3, Some(11), 6)]));
    assert_eq!(sends(&router.step(assigned, ms(5))), [(1, 11)]);
}

/// Guards against requests that stay queued beyond their deadline, and against a wrong reason of
/// the refusal.
#[test]
fn queueing_ends_before_the_deadline() {
    let mut router = router();
    assert_eq!(arrive(&mut router, keyed(1, "GET", 3), 0), []);
    assert_eq!(tick(&mut router, 979), []);
    assert_eq!(tick(&mut router, 980), [not_run(1, NotRun::NoOwner)]);
    router.step(Event::LeaseLost, ms(981));
    assert_eq!(arrive(&mut router, keyed(2, "GET", 0), 981), []);
    assert_eq!(tick(&mut router, 1981), [not_run(2, NotRun::NoLease)]);
}

/// Guards against a lease of one group that is used with a view of another.
#[test]
fn lease_is_bound_to_its_group() {
    let mut router = router();
    let mut other = view(1);
    other.term = 2;
    router.step(Event::View(other), ms(1));
    assert_eq!(arrive(&mut router, keyed(1, "GET", 0), 2), []);
    let effects = router.step(lease(ms(4_000_000)), ms(3));
    assert_eq!(sends(&effects), [(1, 11)]);
}

/// Guards against a view that is applied with a gap before it, or after a newer one.
#[test]
fn views_apply_in_order() {
    let mut router = router();
    let mut gap = change(9, vec![], vec![shard(0, None, 9)]);
    gap.since = 8;
    router.step(Event::View(gap), ms(0));
    assert_eq!(router.status().view_index, 1);
    router.step(
        Event::View(change(2, vec![], vec![shard(0, None, 6)])),
        ms(0),
    );
    // An old view of index 1, in which shard 0 still has its owner.
    router.step(Event::View(view(1)), ms(0));
    assert_eq!(arrive(&mut router, keyed(1, "GET", 0), 0), []);
    let explanation = router.explain("k", &key(0)).unwrap();
    assert_eq!(explanation.blocked, Some(BlockReason::NoOwner));
}

/// Guards against more requests at a target than it has slots.
#[test]
fn slots_bound_requests_in_flight() {
    let mut router = router();
    write(&mut router, keyed(1, "GET", 0), 11, 0);
    write(&mut router, keyed(2, "GET", 1), 11, 0);
    assert_eq!(arrive(&mut router, keyed(3, "GET", 0), 0), []);
    assert_eq!(sends(&done(&mut router, 1, responded(), 1)), [(3, 11)]);
    // The end of a request that is not in flight any more frees nothing.
    assert_eq!(arrive(&mut router, keyed(4, "GET", 0), 1), []);
    assert_eq!(done(&mut router, 1, responded(), 2), []);
}

/// Guards against a hot shard that starves the others of its target.
#[test]
fn queue_is_fair_between_shards() {
    let mut router = router();
    write(&mut router, keyed(1, "GET", 0), 11, 0);
    write(&mut router, keyed(2, "GET", 0), 11, 0);
    for id in 3..9 {
        assert_eq!(arrive(&mut router, keyed(id, "GET", 0), 0), []);
    }
    assert_eq!(
        arrive(&mut router, keyed(9, "GET", 0), 0),
        [not_run(9, NotRun::QueueFull)]
    );
    // The newest request of the long queue is refused, and the other shard is next but one.
    assert_eq!(
        arrive(&mut router, keyed(10, "GET", 1), 0),
        [not_run(8, NotRun::QueueFull)]
    );
    assert_eq!(sends(&done(&mut router, 1, responded(), 1)), [(3, 11)]);
    assert_eq!(sends(&done(&mut router, 2, responded(), 1)), [(10, 11)]);
    assert_eq!(sends(&done(&mut router, 3, responded(), 1)), [(4, 11)]);
}

/// Guards against a request that is queued although it cannot be served in time.
#[test]
fn request_that_cannot_start_in_time_is_refused_at_once() {
    let mut router = router();
    write(&mut router, keyed(1, "GET", 0), 11, 0);
    done(&mut router, 1, responded(), 600);
    write(&mut router, keyed(2, "GET", 0), 11, 600);
    write(&mut router, keyed(3, "GET", 0), 11, 600);
    assert_eq!(arrive(&mut router, keyed(4, "GET", 0), 600), []);
    assert_eq!(arrive(&mut router, keyed(5, "GET", 0), 600), []);
    let mut short = keyed(6, "GET", 0);
    short.timeout = Some(ms(200));
    assert_eq!(
        arrive(&mut router, short, 600),
        [not_run(6, NotRun::Deadline)]
    );
}

/// Guards against a request that is written with no time left for a response.
#[test]
fn connection_that_opens_too_late_is_not_used() {
    let mut router = router();
    arrive(&mut router, keyed(1, "POST", 0), 0);
    assert_eq!(ready(&mut router, 1, 985), [not_run(1, NotRun::Deadline)]);
}

/// Guards against an explanation with a wrong reason.
#[test]
fn explain_names_the_block_reason() {
    let mut router = router();
    let blocked = |router: &Router, index| router.explain("k", &key(index)).unwrap().blocked;
    assert_eq!(blocked(&router, 0), None);
    assert_eq!(blocked(&router, 2), Some(BlockReason::OtherSender(2)));
    assert_eq!(blocked(&router, 3), Some(BlockReason::NoOwner));
    let mut held = shard(0, Some(11), 5);
    held.releasing = true;
    router.step(Event::View(change(2, vec![], vec![held])), ms(0));
    assert_eq!(blocked(&router, 0), Some(BlockReason::Releasing));
    router.step(Event::LeaseLost, ms(0));
    assert_eq!(blocked(&router, 1), Some(BlockReason::NoLease));
    let view = View {
        removed_shards: vec![("k".into(), 1)],
        ..change(3, vec![], vec![])
    };
    router.step(Event::View(view), ms(0));
    assert_eq!(blocked(&router, 1), Some(BlockReason::NoOwner));
}
