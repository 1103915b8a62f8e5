//! Requests while failure domains are under evacuation.

mod common;

use camphordale_domain::View;
use camphordale_route::*;
use camphordale_types::*;
use common::*;
use rstest::rstest;

fn plain(id: RequestId) -> Request {
    request(id, "POST", "/u/list")
}

fn evacuate(router: &mut Router, domains: &[&str], now: u64) -> Vec<Effect> {
    let domains = domains.iter().map(|domain| (*domain).into()).collect();
    router.step(Event::Evacuated { domains }, ms(now))
}

fn forwarded_to(effects: &[Effect]) -> Option<VmId> {
    match effects {
        [Effect::Forward { vm, .. }] => Some(*vm),
        _ => None,
    }
}

/// Guards against requests without a key that go on to targets of an evacuated domain: new ones,
/// those that wait for a slot, and those that wait for a connection.
#[test]
fn unkeyed_requests_leave_an_evacuated_domain() {
    let mut router = router();
    let mut opening = Vec::new();
    let mut id = 0;
    // The slots are taken until one request waits.
    let waiting = loop {
        id += 1;
        match sends(&arrive(&mut router, plain(id), 0)).first() {
            Some(_) => opening.push(id),
            None => break id,
        }
    };
    let effects = evacuate(&mut router, &["east"], 1);
    let [Effect::Forward { id, vm, .. }] = effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(id, waiting);
    assert!([3, 4].contains(&vm));
    for id in opening {
        let effects = ready(&mut router, id, 2);
        let [Effect::Requeue { .. }, rest @ ..] = &effects[..] else {
            panic!("{effects:?}");
        };
        assert!(forwarded_to(rest).is_some(), "{effects:?}");
    }
    assert!(forwarded_to(&arrive(&mut router, plain(100), 3)).is_some());
    // A request that another VM of the domain has forwarded is sent back with a better VM.
    let origin = Origin::Vm { vm: 2, hops: 1 };
    let request = Request {
        origin,
        ..plain(101)
    };
    let effects = arrive(&mut router, request, 3);
    let redirected = matches!(
        effects[..],
        [Effect::Redirect {
            vm: Some(3 | 4),
            ..
        }]
    );
    assert!(redirected, "{effects:?}");
    assert_eq!(evacuate(&mut router, &[], 4), []);
    assert_eq!(sends(&arrive(&mut router, plain(102), 4)).len(), 1);
}

/// Guards against requests that wait or move in circles while no domain may serve them.
#[test]
fn without_another_domain_unkeyed_requests_are_refused_at_once() {
    let mut router = router();
    evacuate(&mut router, &["east", "west"], 0);
    let refused = [not_run(1, NotRun::NoTarget)];
    assert_eq!(arrive(&mut router, plain(1), 1), refused);
    // The only other domain has no target of the service; it is asked again a second later.
    evacuate(&mut router, &["east"], 2);
    let vm = forwarded_to(&arrive(&mut router, plain(2), 2));
    assert!([Some(3), Some(4)].contains(&vm));
    let no_target = AttemptResult::NotRun(NotRun::NoTarget);
    let refused = [not_run(2, NotRun::NoTarget)];
    assert_eq!(done(&mut router, 2, no_target, 3), refused);
    let refused = [not_run(3, NotRun::NoTarget)];
    assert_eq!(arrive(&mut router, plain(3), 900), refused);
    assert!(forwarded_to(&arrive(&mut router, plain(4), 1100)).is_some());
}

/// Guards against a VM without targets that lets requests of an evacuated domain wait until their
/// deadline, and against a change for requests of its own domain, which wait for a target.
#[rstest]
#[case::other_domain(3, true)]
#[case::own_domain(2, false)]
fn without_targets_requests_of_other_domains_are_refused_at_once(
    #[case] vm: VmId,
    #[case] refused: bool,
) {
    let mut router = router();
    let view = View {
        removed_targets: vec![21, 22],
        ..change(2, vec![], vec![])
    };
    router.step(Event::View(view), ms(0));
    let origin = Origin::Vm { vm, hops: 1 };
    let effects = arrive(&mut router, Request { origin, ..plain(1) }, 0);
    match refused {
        true => assert_eq!(effects, [not_run(1, NotRun::NoTarget)]),
        false => assert_eq!(effects, []),
    }
}

/// Guards against keys without a target while their shards are released, and against keys that are
/// served in an evacuated domain for ever because they have nowhere to go.
#[test]
fn keyed_requests_are_served_until_the_release_has_timed_out() {
    let mut router = router();
    evacuate(&mut router, &["east"], 1000);
    // A further change, of another domain, does not extend the time.
    evacuate(&mut router, &["east", "west"], 3000);
    assert_eq!(
        sends(&arrive(&mut router, keyed(1, "GET", 0), 4999)).len(),
        1
    );
    let refused = [not_run(2, NotRun::NoTarget)];
    assert_eq!(arrive(&mut router, keyed(2, "GET", 0), 5000), refused);
    // The connection for the first request opens too late.
    let effects = ready(&mut router, 1, 5000);
    assert!(
        effects.contains(&not_run(1, NotRun::NoTarget)),
        "{effects:?}"
    );
    evacuate(&mut router, &[], 6000);
    assert_eq!(
        sends(&arrive(&mut router, keyed(3, "GET", 0), 6000)).len(),
        1
    );
}

/// Guards against a VM that restarts often and sends to an evacuated domain after each start.
#[test]
fn a_vm_that_starts_during_an_evacuation_sends_nothing() {
    let mut router = Router::new(RouterConfig::new(1, "east", 7));
    evacuate(&mut router, &["east"], 0);
    router.step(directory(), ms(0));
    router.step(Event::Bundle(bundle(1)), ms(0));
    router.step(Event::View(view(1)), ms(0));
    router.step(lease(ms(60_000)), ms(0));
    let refused = [not_run(1, NotRun::NoTarget)];
    assert_eq!(arrive(&mut router, keyed(1, "GET", 0), 1), refused);
    assert!(forwarded_to(&arrive(&mut router, plain(2), 1)).is_some());
}
