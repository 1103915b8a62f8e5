//! Forwarding of requests to other VMs.

mod common;

use camphordale_route::*;
use camphordale_types::*;
use common::*;
use rstest::rstest;

fn forwards(effects: &[Effect]) -> Vec<(RequestId, VmId, u8)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Forward { id, vm, hops, .. } => Some((*id, *vm, *hops)),
            _ => None,
        })
        .collect()
}

/// Returns a router with all shards homed in another domain.
fn remote() -> Router {
    let mut router = Router::new(RouterConfig::new(VM, "east", 7));
    let Event::Directory { mut homes, vms } = directory() else {
        unreachable!();
    };
    homes[0].domains = vec![Some("west".into()); 4];
    router.step(Event::Bundle(bundle(1)), ms(0));
    router.step(Event::Directory { homes, vms }, ms(0));
    router
}

fn redirect(vm: Option<VmId>) -> AttemptResult {
    AttemptResult::Redirect { vm }
}

/// Guards against a keyed request that this VM sends without being the sender.
#[test]
fn other_sender_gets_the_request() {
    let mut router = router();
    let effects = arrive(&mut router, keyed(1, "POST", 2), 0);
    assert_eq!(forwards(&effects), [(1, 2, 1)]);
    assert_eq!(done(&mut router, 1, responded(), 5), []);
    assert_eq!(router.counters().responses, 1);
}

/// Guards against forwarded requests that are forwarded again instead of redirected.
#[rstest]
#[case(1, Effect::Redirect { id: 1, vm: Some(2) })]
#[case(3, not_run(1, NotRun::TooManyHops))]
fn forwarded_request_is_not_forwarded_again(#[case] hops: u8, #[case] expected: Effect) {
    let mut router = router();
    let mut request = keyed(1, "GET", 2);
    request.origin = Origin::Vm { vm: 4, hops };
    assert_eq!(arrive(&mut router, request, 0), [expected]);
}

/// Guards against an endless chain of redirects.
#[test]
fn redirects_are_followed_three_times() {
    let mut router = remote();
    let first = forwards(&arrive(&mut router, keyed(1, "POST", 0), 0))[0].1;
    assert!([3, 4].contains(&first));
    let effects = done(&mut router, 1, redirect(Some(2)), 1);
    assert_eq!(forwards(&effects), [(1, 2, 2)]);
    let effects = done(&mut router, 1, redirect(Some(4)), 2);
    assert_eq!(forwards(&effects), [(1, 4, 3)]);
    assert_eq!(
        done(&mut router, 1, redirect(Some(3)), 3),
        [not_run(1, NotRun::TooManyHops)]
    );
}

/// Guards against an extra hop for requests of a shard whose sender is known from a redirect.
#[test]
fn redirect_is_remembered() {
    let mut router = remote();
    arrive(&mut router, keyed(1, "GET", 0), 0);
    done(&mut router, 1, redirect(Some(4)), 1);
    done(&mut router, 1, responded(), 2);
    for id in 2..10 {
        assert_eq!(
            forwards(&arrive(&mut router, keyed(id, "GET", 0), 3)),
            [(id, 4, 1)]
        );
    }
}

/// Guards against requests that go to an unreachable VM while another one is reachable.
#[test]
fn unreachable_vm_is_avoided() {
    let mut router = remote();
    let lost = forwards(&arrive(&mut router, keyed(1, "POST", 0), 0))[0].1;
    let effects = done(
        &mut router,
        1,
        AttemptResult::NotRun(NotRun::DomainUnreachable),
        1,
    );
    // Nothing was written, so even a POST is forwarded again; the hop does not count.
    assert_eq!(forwards(&effects), [(1, 7 - lost, 1)]);
    for id in 2..10 {
        let effects = arrive(&mut router, keyed(id, "GET", 0), 2);
        assert_eq!(forwards(&effects), [(id, 7 - lost, 1)]);
    }
}

/// Guards against a request that runs twice because the connection to the other VM was lost.
#[rstest]
#[case("POST", false)]
#[case("GET", true)]
fn lost_vm_leaves_the_outcome_unknown(#[case] method: &str, #[case] again: bool) {
    let mut router = remote();
    arrive(&mut router, keyed(1, method, 0), 0);
    let effects = done(&mut router, 1, AttemptResult::Unknown(Unknown::VmLost), 1);
    if !again {
        assert_eq!(effects, [unknown(1, Unknown::VmLost)]);
        return;
    }
    assert_eq!(forwards(&effects).len(), 1);
    // The first attempt may have run, so the refusal must not be *not run*.
    let effects = done(&mut router, 1, AttemptResult::NotRun(NotRun::QueueFull), 2);
    assert_eq!(effects, [unknown(1, Unknown::VmLost)]);
}

/// Guards against a busy loop of forwards while nobody knows the sender.
#[test]
fn unknown_sender_is_retried_later() {
    let mut router = remote();
    arrive(&mut router, keyed(1, "GET", 0), 0);
    assert_eq!(done(&mut router, 1, redirect(None), 1), []);
    assert_eq!(tick(&mut router, 20), []);
    assert_eq!(forwards(&tick(&mut router, 21)).len(), 1);
}

/// Guards against requests that are queued for a domain without VMs.
#[test]
fn domain_without_vms_is_unreachable() {
    let mut router = remote();
    let homes = vec![ShardHomes {
        service: "k".into(),
        domains: vec![Some("north".into()); 4],
    }];
    router.step(Event::Directory { homes, vms: vec![] }, ms(0));
    assert_eq!(
        arrive(&mut router, keyed(1, "GET", 0), 0),
        [not_run(1, NotRun::DomainUnreachable)]
    );
}

/// Guards against retries that multiply the load of a failing system.
#[test]
fn retries_stay_within_the_budget() {
    let mut router = remote();
    for id in 0..1000 {
        arrive(&mut router, keyed(id, "GET", 0), 0);
        while !forwards(&done(
            &mut router,
            id,
            AttemptResult::NotRun(NotRun::NoLease),
            0,
        ))
        .is_empty()
        {}
        tick(&mut router, 0);
    }
    let retries = router.counters().retries;
    assert!((100..=120).contains(&retries), "{retries} retries");
}

/// Guards against a caller that is told for good that a service does not exist, or that a key is
/// missing, because the VM that the request was forwarded to has another bundle.
#[rstest]
fn other_bundle_of_the_next_vm_is_not_final(
    #[values(NotRun::NoService, NotRun::NoKey)] reason: NotRun,
) {
    let mut router = router();
    let effects = arrive(&mut router, keyed(1, "POST", 2), 0);
    assert_eq!(forwards(&effects), [(1, 2, 1)]);
    let mut refused = Vec::new();
    for now in [5, 305, 605, 905, 1_205] {
        refused.extend(done(&mut router, 1, AttemptResult::NotRun(reason), now));
        refused.extend(tick(&mut router, now + 100));
    }
    refused.retain(|effect| matches!(effect, Effect::Refuse { .. }));
    let [Effect::Refuse { refusal, .. }] = &refused[..] else {
        panic!("{refused:?}");
    };
    let final_reasons = [NotRun::NoService, NotRun::NoKey].map(Refusal::NotRun);
    assert!(!final_reasons.contains(refusal), "{refusal:?}");
    assert!(matches!(refusal, Refusal::NotRun(_)), "{refusal:?}");
}

/// Guards against VMs of an earlier release that cannot decode the refusal of a forwarded request.
#[test]
fn forwarding_vm_gets_the_reason_as_before() {
    let mut router = router();
    router.step(Event::BundleOutdated(true), ms(0));
    let mut request = request(1, "GET", "/other");
    request.origin = Origin::Vm { vm: 4, hops: 1 };
    let effects = arrive(&mut router, request, 0);
    assert_eq!(effects, [not_run(1, NotRun::NoService)]);
}
