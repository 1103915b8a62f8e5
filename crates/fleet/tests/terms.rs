//! Orders of two terms of one leader: what belongs to the former one must not act in the later one.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use camphordale_fleet::{
    Answer,
    Dispatch,
    Holder,
    Key,
    KeyMap,
    KeyRange,
    LeaseTimes,
    Order,
    Target,
    TargetState,
    View,
    key_leases::LeaseTable, //
};

const SERVICE: &str = "s";
const TIMES: LeaseTimes = LeaseTimes {
    call: Duration::from_millis(2000),
    heartbeat: Duration::from_millis(2740),
    interval: Duration::from_millis(870),
};
const HALF: Key = 1 << 15;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn holder(number: u8) -> Holder {
    Holder {
        id: format!("t{number}").into(),
        incarnation: 1,
    }
}

fn view() -> View {
    let mut view = View::default();
    let mut map = KeyMap::default();
    for number in 0..2u8 {
        let target = Target {
            incarnation: 1,
            service: SERVICE.into(),
            address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
            domain: "a".into(),
            slots: 4,
            state: TargetState::Ready,
        };
        view.targets.insert(holder(number).id, target);
        map.assign(KeyRange {
            from: u16::from(number) * HALF,
            to: u16::from(number) * HALF + (HALF - 1),
            holder: Some(holder(number)),
            handover: None,
        });
    }
    view.keys.insert(SERVICE.into(), map);
    view
}

/// A leader whose first grants were acknowledged, and the release that it sends to `from`.
fn releasing(term: u64, view: &View, from: u8, now: Duration) -> (LeaseTable, Dispatch) {
    let mut table = LeaseTable::new(TIMES, term, view, now);
    for dispatch in table.due_orders(view, now) {
        table.record_answer(dispatch.id, &Answer::Granted, now);
    }
    let first = u16::from(from) * HALF;
    assert!(table.begin_move(SERVICE, first, first + (HALF - 1), &holder(1 - from)));
    let orders = table.due_orders(view, now);
    let release = orders
        .into_iter()
        .find(|dispatch| matches!(dispatch.order, Order::Release { .. }));
    (table, release.unwrap())
}

/// A release may be answered after 2.5 s. If its sender leads again by then, the answer must not
/// count for an order of the later term to another target (OWNER).
#[test]
fn an_answer_to_the_former_term_frees_no_range() {
    let view = view();
    let (_, former) = releasing(1, &view, 0, ms(0));
    let (mut table, later) = releasing(2, &view, 1, ms(1000));
    assert_ne!(former.holder, later.holder);
    table.record_answer(former.id, &Answer::Released(None), ms(1100));
    let changes = table.due_holder_changes(&view, ms(1100), |_, _| None);
    assert!(changes.is_empty(), "t1 still holds its keys: {changes:?}");
}

/// The numbers of kept connections are known to the event loop across terms.
#[test]
fn connections_of_two_terms_have_different_numbers() {
    let view = view();
    let first = |term| LeaseTable::new(TIMES, term, &view, ms(0)).due_orders(&view, ms(0));
    let (former, later) = (first(1), first(2));
    assert_ne!(former[0].connection, later[0].connection);
}

/// A leader sends far more orders than it draws tokens. Their numbers must not reach those of a later
/// term either.
#[test]
fn orders_stay_below_those_of_the_next_term() {
    let view = view();
    let mut table = LeaseTable::new(TIMES, 1, &view, ms(0));
    let mut now = ms(0);
    let mut highest = 0;
    for _ in 0..600_000 {
        now += ms(500);
        for dispatch in table.due_orders(&view, now) {
            highest = dispatch.id;
            table.record_answer(dispatch.id, &Answer::Granted, now);
        }
    }
    let later = LeaseTable::new(TIMES, 2, &view, now).due_orders(&view, now);
    assert!(later[0].id > highest, "{} and {highest}", later[0].id);
}

/// However long a leader leads, its tokens stay below those of the next one.
#[test]
fn tokens_stay_below_those_of_the_next_term() {
    let view = view();
    let mut table = LeaseTable::new(TIMES, 1, &view, ms(0));
    let mut now = ms(0);
    let mut highest = 0;
    for _ in 0..600_000 {
        now += ms(500);
        for dispatch in table.due_orders(&view, now) {
            if let Order::Grant { fence, .. } = dispatch.order {
                highest = highest.max(fence);
            }
            table.record_answer(dispatch.id, &Answer::Granted, now);
        }
    }
    let range = KeyRange {
        from: 0,
        to: 9,
        holder: Some(holder(1)),
        handover: None,
    };
    table.record_assignment(&SERVICE.into(), &range, &view);
    for dispatch in table.due_orders(&view, now + ms(1)) {
        if let Order::Grant { fence, .. } = dispatch.order {
            highest = highest.max(fence);
        }
    }
    let mut next = LeaseTable::new(TIMES, 2, &view, now);
    for dispatch in next.due_orders(&view, now) {
        if let Order::Grant { fence, .. } = dispatch.order {
            assert!(fence > highest, "{fence} is not above {highest}");
        }
    }
}
