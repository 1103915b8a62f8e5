//! Unkeyed requests: shares of slots, load balancing, sides.

mod common;

use std::collections::BTreeMap;

use camphordale_domain::{TargetView, View};
use camphordale_route::*;
use camphordale_types::*;
use common::*;

fn plain(id: RequestId) -> Request {
    request(id, "GET", "/u/list")
}

/// Sends `count` requests, each completed after the latency of its target, with as many in flight
/// as the router allows, and returns the number per target.
fn run(
    router: &mut Router,
    count: u128,
    start: u64,
    latency: impl Fn(TargetId) -> u64,
) -> BTreeMap<TargetId, u32> {
    let mut numbers = BTreeMap::new();
    let mut ends: Vec<(u64, RequestId)> = Vec::new();
    for i in 0..count {
        let now = start + 2 * i as u64;
        let mut effects = Vec::new();
        ends.sort_unstable();
        while ends.first().is_some_and(|(at, _)| *at <= now) {
            let (at, id) = ends.remove(0);
            effects.extend(done(router, id, responded(), at));
        }
        effects.extend(arrive(router, plain((u128::from(start) << 32) + i), now));
        for (id, target) in sends(&effects) {
            assert_eq!(ready(router, id, now), [Effect::Proceed { id }]);
            *numbers.entry(target).or_default() += 1;
            ends.push((now + latency(target), id));
        }
    }
    for (at, id) in ends {
        for (id, _) in sends(&done(router, id, responded(), at)) {
            done(router, id, AttemptResult::NotRun(NotRun::Connect), at);
        }
    }
    numbers
}

/// Guards against VMs that use more slots in total than a target has.
#[test]
fn share_of_slots_is_exact() {
    for slots in 1..6 {
        let mut total = BTreeMap::new();
        for vm in [1, 2, 3] {
            let mut router = Router::new(RouterConfig::new(vm, "east", 7));
            let mut bundle = bundle(1);
            bundle.services[1].slots = slots;
            let mut view = view(1);
            view.vms = vec![1, 2, 3];
            router.step(Event::Bundle(bundle), ms(0));
            router.step(Event::View(view), ms(0));
            router.step(lease(ms(1000)), ms(0));
            for id in 0..20 {
                for (_, target) in sends(&arrive(&mut router, plain(id), 0)) {
                    *total.entry(target).or_default() += 1;
                }
            }
        }
        assert_eq!(total, BTreeMap::from([(21, slots), (22, slots)]));
    }
}

/// Guards against a VM that refuses all requests because a target has fewer slots than VMs.
#[test]
fn vm_without_share_forwards() {
    let mut router = router();
    let mut bundle = bundle(2);
    bundle.services[1].slots = 1;
    router.step(Event::Bundle(bundle), ms(0));
    let view = View {
        removed_targets: vec![22],
        ..change(2, vec![], vec![])
    };
    router.step(Event::View(view), ms(0));
    let effects = arrive(&mut router, plain(1), 0);
    let forwarded = matches!(effects[..], [Effect::Forward { id: 1, vm: 2, .. }]);
    // Target 21 has one slot, which `divide_slots` gives to the second VM by rotating over the VMs.
    assert!(forwarded, "{effects:?}");
}

/// Guards against a slow target that gets as many requests as a fast one.
#[test]
fn slow_target_gets_less() {
    let mut router = router();
    let numbers = run(&mut router, 500, 0, |id| if id == 21 { 80 } else { 4 });
    assert!(numbers[&21] * 5 < numbers[&22], "{numbers:?}");
}

/// Guards against equal targets with unequal load.
#[test]
fn equal_targets_share_evenly() {
    let mut router = router();
    let numbers = run(&mut router, 2000, 0, |_| 3);
    let most = f64::from(numbers[&21].max(numbers[&22]));
    assert!(most / 1000.0 < 1.15, "{numbers:?}");
}

/// Guards against a target whose wrong load report attracts or repels all requests.
#[test]
fn reported_load_has_limited_weight() {
    for load in [1.0, f32::NAN, f32::INFINITY, -5.0] {
        let mut router = router();
        router.step(Event::TargetLoad { target: 21, load }, ms(0));
        let numbers = run(&mut router, 500, 0, |_| 3);
        assert!(numbers.values().all(|n| *n >= 50), "{load}: {numbers:?}");
    }
}

/// Guards against a cold target that gets a full share at once.
#[test]
fn new_target_warms_up() {
    let mut router = router();
    let mut bundle = bundle(2);
    bundle.services[1].warm_up = ms(10_000);
    bundle.services[1].slots = 16;
    router.step(Event::Bundle(bundle), ms(0));
    let joined = target(23, "u", None);
    router.step(Event::View(change(2, vec![joined], vec![])), ms(0));
    let early = run(&mut router, 200, 0, |_| 8);
    let late = run(&mut router, 200, 20_000, |_| 8);
    let part = |numbers: &BTreeMap<_, u32>| numbers.get(&23).copied().unwrap_or(0);
    assert!(part(&early) <= 20, "{early:?}");
    assert!((50..90).contains(&part(&late)), "{late:?}");
}

/// Guards against requests that go to the wrong side of the traffic split.
#[test]
fn sides_are_kept() {
    let mut router = router();
    let mut bundle = bundle(2);
    bundle.services[1].new_percent = 50;
    let service = bundle.services[1].clone();
    router.step(Event::Bundle(bundle), ms(0));
    let mut sent = [0, 0];
    for id in 0..200u128 {
        let hash = xxhash_rust::xxh3::xxh3_64(&id.to_le_bytes());
        for (id, _) in sends(&arrive(&mut router, plain(id), 0)) {
            sent[service.side_by_hash(hash) as usize] += 1;
            done(&mut router, id, responded(), 0);
        }
    }
    assert!((70..130).contains(&sent[0]) && sent[1] == 0, "{sent:?}");
    // The new side has no target, so its requests were queued.
    let effects = tick(&mut router, 1000);
    let no_target = Refusal::NotRun(NotRun::NoTarget);
    let refused = |e: &Effect| matches!(e, Effect::Refuse { refusal, .. } if *refusal == no_target);
    assert!(!effects.is_empty() && effects.iter().all(refused));
}

/// Guards against new requests to a leaving target, and against aborting those in flight there.
#[test]
fn leaving_target_gets_nothing_new() {
    let mut router = router();
    let (id, chosen) = sends(&arrive(&mut router, plain(1), 0))[0];
    ready(&mut router, id, 0);
    let mut leaving: TargetView = target(chosen, "u", None);
    leaving.info.state = TargetState::Leaving;
    let effects = router.step(Event::View(change(2, vec![leaving], vec![])), ms(1));
    assert_eq!(effects, []);
    let numbers = run(&mut router, 50, 2, |_| 1);
    assert!(!numbers.contains_key(&chosen), "{numbers:?}");
    assert_eq!(done(&mut router, 1, responded(), 200), []);
}

/// Guards against idempotency keys that are accepted without a record.
#[test]
fn idempotency_needs_a_key() {
    let mut router = router();
    let mut request = request(1, "POST", "/u/list");
    request.headers = vec![("idempotency-key".into(), "a".into())];
    assert_eq!(
        arrive(&mut router, request, 0),
        [not_run(1, NotRun::Record)]
    );
}
