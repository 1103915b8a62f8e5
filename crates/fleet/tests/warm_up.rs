//! Cold targets: limits, suspicions and proofs.

#![allow(clippy::unwrap_used)]

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use camphordale_fleet::{
    COLD_FALLBACK_FRACTION, COLD_RIGHT_LIFETIME, ConfigResource, Holder, KeyDelivery, LimitLedger,
    RequestRate, RightRequest, Routing, Service, Target, TargetState, View, WarmUp, WarmUpBounds,
    warm_up::{
        ColdTargets,
        Suspicion, //
    },
};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn rate(value: f64) -> RequestRate {
    RequestRate::try_from(value).unwrap()
}

fn holder(id: &str, incarnation: u64) -> Holder {
    let id = id.into();
    Holder { id, incarnation }
}

/// A view of one cold and one other service, with a target of each in each of two domains.
fn view() -> View {
    let mut routing = Routing::default();
    let mut targets = BTreeMap::new();
    for (service, cold) in [("cold", Some(())), ("other", None)] {
        let time = ms(3000);
        let spec = Service {
            health_path: "/health".into(),
            max_connections: 10,
            keys: KeyDelivery::Unkeyed,
            warm_up: ms(0),
            cold: cold.map(|()| WarmUp {
                time,
                rate: rate(6.0),
            }),
        };
        let document = "{}".into();
        let item = ConfigResource { spec, document };
        routing.services.insert(service.into(), item);
        for (number, domain) in [(1, "a"), (2, "b")] {
            let target = Target {
                incarnation: 7,
                service: service.into(),
                address: format!("10.0.{number}.1:80").parse().unwrap(),
                domain: domain.into(),
                slots: 4,
                state: TargetState::Ready,
            };
            targets.insert(format!("{service}-{domain}").into(), target);
        }
    }
    View {
        routing: Some(Arc::new(routing)),
        targets,
        ..View::default()
    }
}

/// Guards against a limit whose rights and fallback shares add up to more than the bound, and against
/// one of 0, with which a target never warms up.
#[test]
fn the_limit_keeps_any_bound() {
    for slack in [0.0, 0.4, 1.0, 2.9, 8.0, 40.0] {
        for per_second in [0.0, 0.3, 1.0, 5.7, 33.0] {
            let bounds = WarmUpBounds::try_from((1.5, slack)).unwrap();
            let limit = f64::from(bounds.limit(rate(per_second)));
            let bound = (per_second * 1.5 + slack).floor().max(1.0);
            let window = 1.1 + COLD_RIGHT_LIFETIME.as_secs_f64();
            let granted = (1.0 + limit * (window + 0.15)).floor();
            assert!(limit > 0.0);
            assert!(granted <= bound, "{granted} of {bound}");
            assert!(limit * (window + 0.15 + COLD_FALLBACK_FRACTION) <= bound);
        }
    }
}

/// Guards against rights that are lost because a VM asked a moment too early, and against a bucket
/// that a target takes along when it turns cold.
#[test]
fn entry_vms_wait_for_rights_to_a_cold_target() {
    let target = holder("t1", 1);
    let mut ledger = LimitLedger::default();
    let ask = |conn, at| RightRequest {
        conn,
        sent: at,
        wanted: 1,
    };
    ledger.set_cold(&target, Some(rate(10.0)), ms(1000));
    assert_eq!(ledger.grant_or_wait(&target, ask(1, ms(995)), ms(1000)), 0);
    assert_eq!(ledger.grant_or_wait(&target, ask(2, ms(1015)), ms(1020)), 0);
    assert_eq!(ledger.serve_waiting(ms(1080)), []);
    let served = ledger.serve_waiting(ms(1101));
    assert_eq!(served, [(target.clone(), ask(2, ms(1015)))]);
    // The request of the other one has gone.
    assert_eq!(ledger.serve_waiting(ms(1300)), []);
    ledger.set_cold(&target, None, ms(1300));
    ledger.set_cold(&target, Some(rate(10.0)), ms(5000));
    assert_eq!(ledger.grant(&target, 1, ms(5000)), 0);
}

/// Guards against an announcement that was sent before the failure, and against a suspicion that
/// never ends.
#[test]
fn a_suspicion_ends_with_a_later_announcement_or_in_time() {
    let view = view();
    let target = holder("cold-a", 7);
    let mut cold = ColdTargets::default();
    assert_eq!(cold.suspect(&target, ms(1000), ms(1005)), Suspicion::New);
    assert_eq!(cold.suspect(&target, ms(1300), ms(1310)), Suspicion::Known);
    assert!(!cold.refute(&target, ms(1320)));
    assert!(cold.is_suspected(&target));
    assert!(cold.refute(&target, ms(2000)));
    cold.announced(&target, true, None, ms(2000));
    let late = cold.suspect(&target, ms(1500), ms(2100));
    assert_eq!(late, Suspicion::Refuted(ms(100)));
    assert_eq!(cold.suspect(&target, ms(2100), ms(2110)), Suspicion::New);
    assert_eq!(cold.expire(&view, ms(870), ms(6800)), []);
    assert_eq!(cold.expire(&view, ms(870), ms(6900)), [target]);
}

/// Guards against requests at the usual rate at the end of an evacuation: targets of the domain may
/// have turned cold in the meantime, and their last announcement may be older.
#[test]
fn targets_of_a_domain_are_cold_until_two_announcements_say_otherwise() {
    let mut view = view();
    view.mark_domain_cold("a");
    assert_eq!(view.targets["cold-a"].state, TargetState::Cold);
    for other in ["cold-b", "other-a", "other-b"] {
        assert_eq!(view.targets[other].state, TargetState::Ready);
    }
    let mut cold = ColdTargets::default();
    let target = &holder("cold-a", 7);
    let state = cold.announced(target, true, Some(TargetState::Ready), ms(500));
    assert_eq!(state, TargetState::Ready);
    cold.require_proof(target);
    let expected = [
        (true, TargetState::Cold),
        (false, TargetState::Cold),
        (true, TargetState::Cold),
        (true, TargetState::Ready),
        (true, TargetState::Ready),
    ];
    for (number, (is_warm, state)) in expected.into_iter().enumerate() {
        let at = ms(1000 + 870 * number as u64);
        let recorded = Some(TargetState::Cold);
        assert_eq!(
            cold.announced(target, is_warm, recorded, at),
            state,
            "{number}"
        );
    }
}

/// Guards against records of earlier versions that cannot be read any more.
#[test]
fn earlier_states_keep_their_encoding() {
    let states = [
        TargetState::Ready,
        TargetState::Draining,
        TargetState::Left,
        TargetState::Cold,
    ];
    for (number, state) in states.into_iter().enumerate() {
        let encoded = postcard::to_stdvec(&state).unwrap();
        assert_eq!(encoded, [number as u8]);
    }
}
