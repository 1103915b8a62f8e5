//! Single steps of the lease table with delivery by heartbeat.

use std::time::Duration;

use camphordale_fleet::{
    ConfigResource, FreedRange, HeldRange, Holder, Key, KeyDelivery, KeyMap, KeyRange, LeaseReport,
    LeaseTimes, MAX_GRANTED_RANGES, Routing, Service, Target, TargetState, View,
    key_leases::LeaseTable,
};

pub(crate) const SERVICE: &str = "s";
pub(crate) const TIMES: LeaseTimes = LeaseTimes {
    call: Duration::from_millis(2000),
    heartbeat: Duration::from_millis(2740),
    interval: Duration::from_millis(870),
};

pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(crate) fn holder(number: usize) -> Holder {
    Holder {
        id: format!("t{number}").into(),
        incarnation: 1,
    }
}

/// A view with `targets` targets that share the keys evenly.
pub(crate) fn view(targets: usize) -> View {
    let mut routing = Routing::default();
    let service = Service {
        health_path: "/health".into(),
        max_connections: 10,
        keys: KeyDelivery::Heartbeat,
        warm_up: ms(2000),
        cold: None,
    };
    let document = "{}".into();
    let item = ConfigResource {
        spec: service,
        document,
    };
    routing.services.insert(SERVICE.into(), item);
    let mut view = View {
        routing: Some(routing.into()),
        ..View::default()
    };
    let mut map = KeyMap::default();
    let width = 65536 / targets;
    for number in 0..targets {
        let target = Target {
            incarnation: 1,
            service: SERVICE.into(),
            address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
            domain: "a".into(),
            slots: 4,
            state: TargetState::Ready,
        };
        view.targets.insert(holder(number).id, target);
        let last = number + 1 == targets;
        map.assign(KeyRange {
            from: (number * width) as Key,
            to: if last {
                Key::MAX
            } else {
                ((number + 1) * width - 1) as Key
            },
            holder: Some(holder(number)),
            handover: None,
        });
    }
    view.keys.insert(SERVICE.into(), map);
    view
}

/// The report of a target that holds what it was granted.
fn report_of(granted: &[camphordale_fleet::GrantedRange]) -> LeaseReport {
    let held = granted.iter().map(|row| HeldRange {
        from: row.from,
        to: row.to,
        fence: row.fence,
    });
    LeaseReport {
        held: held.collect(),
        freed: Vec::new(),
    }
}

/// A table in which target 0 has acknowledged its range under the present leader.
fn acknowledged(view: &View) -> (LeaseTable, LeaseReport) {
    let mut table = LeaseTable::new(TIMES, 1, view, ms(0));
    let answer = table.answer_heartbeat(SERVICE, &holder(0), ms(0), |_, _| None);
    let report = report_of(&answer.granted);
    table.record_report(SERVICE, &holder(0), &report);
    (table, report)
}

#[test]
fn no_target_is_called() {
    let view = view(2);
    let mut table = LeaseTable::new(TIMES, 1, &view, ms(0));
    assert!(table.due_orders(&view, ms(10)).is_empty());
}

#[test]
fn an_answer_contains_all_ranges_of_the_target() {
    let view = view(2);
    let mut table = LeaseTable::new(TIMES, 3, &view, ms(0));
    let answer = table.answer_heartbeat(SERVICE, &holder(1), ms(10), |_, _| None);
    let rows: Vec<_> = answer
        .granted
        .iter()
        .map(|row| (row.from, row.to))
        .collect();
    assert_eq!(rows, [(32768, 65535)]);
    assert_eq!(answer.granted[0].fence >> 20, 3);
}

/// A target that does not announce itself loses its keys when its last lease has ended, and not
/// before: its clock may be slow and it counts from the sending.
#[test]
fn a_silent_target_loses_its_range_after_its_lease() {
    let view = view(2);
    let (mut table, _) = acknowledged(&view);
    table.answer_heartbeat(SERVICE, &holder(0), ms(800), |_, _| None);
    let mut lost_at = None;
    for at in (800..6000).step_by(10) {
        table.answer_heartbeat(SERVICE, &holder(1), ms(at), |_, _| None);
        let changes = table.due_holder_changes(&view, ms(at), |_, _| Some(holder(1)));
        if !changes.is_empty() {
            lost_at = lost_at.or(Some(ms(at)));
        }
    }
    let lost_at = lost_at.unwrap();
    assert!(lost_at >= ms(800) + TIMES.heartbeat.mul_f64(1.02));
    assert!(lost_at <= ms(800) + TIMES.heartbeat.mul_f64(1.02) + ms(150));
}

#[test]
fn a_move_waits_until_the_target_reports_the_range_as_free() {
    let view = view(2);
    let (mut table, mut report) = acknowledged(&view);
    table.begin_move(SERVICE, 100, 199, &holder(1));
    let answer = table.answer_heartbeat(SERVICE, &holder(0), ms(800), |_, next| Some(next.clone()));
    assert_eq!(answer.withheld, [((100, 199), holder(1))]);
    assert!(
        answer
            .granted
            .iter()
            .all(|row| row.to < 100 || row.from > 199)
    );
    // Its requests still run.
    table.record_report(SERVICE, &holder(0), &report);
    assert!(
        table
            .due_holder_changes(&view, ms(850), |_, _| None)
            .is_empty()
    );
    let fence = report.held[0].fence;
    report = report_of(&answer.granted);
    report.freed = vec![FreedRange {
        from: 100,
        to: 199,
        handover: "h".into(),
    }];
    table.record_report(SERVICE, &holder(0), &report);
    let changes = table.due_holder_changes(&view, ms(900), |_, _| None);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].range.holder, Some(holder(1)));
    assert_eq!(changes[0].range.handover.as_deref(), Some("h"));
    table.record_assignment(&SERVICE.into(), &changes[0].range, &view);
    let next = table.answer_heartbeat(SERVICE, &holder(1), ms(910), |_, _| None);
    let row = next.granted.iter().find(|row| row.from == 100).unwrap();
    assert!(row.fence > fence);
    assert_eq!(row.handover.as_deref(), Some("h"));
    assert_eq!(next.confirmed, [(100, 199)]);
}

/// The report of a target may have been sent before it received the answer of the previous leader,
/// so a range that it does not mention may still be granted to it.
#[test]
fn a_range_that_was_not_reported_under_this_leader_is_not_withheld() {
    let view = view(2);
    let mut table = LeaseTable::new(TIMES, 2, &view, ms(0));
    table.begin_move(SERVICE, 0, 99, &holder(1));
    let old = LeaseReport {
        held: vec![HeldRange {
            from: 0,
            to: 32767,
            fence: 1 << 20 | 5,
        }],
        freed: Vec::new(),
    };
    for report in [&LeaseReport::default(), &old] {
        table.record_report(SERVICE, &holder(0), report);
        let answer =
            table.answer_heartbeat(SERVICE, &holder(0), ms(10), |_, next| Some(next.clone()));
        assert!(answer.withheld.is_empty());
        assert!(answer.granted.iter().any(|row| row.from == 0));
    }
    assert!(
        table
            .due_holder_changes(&view, ms(20), |_, _| None)
            .is_empty()
    );
}

/// Parts of a withheld range that the target let go separately keep their own handover data.
#[test]
fn parts_that_are_freed_separately_keep_their_handover_data() {
    let view = view(2);
    let (mut table, _) = acknowledged(&view);
    table.begin_move(SERVICE, 100, 199, &holder(1));
    let answer = table.answer_heartbeat(SERVICE, &holder(0), ms(800), |_, next| Some(next.clone()));
    let freed = |from, to, handover: &str| FreedRange {
        from,
        to,
        handover: handover.into(),
    };
    let mut report = report_of(&answer.granted);
    report.freed = vec![freed(100, 149, "low"), freed(150, 199, "high")];
    table.record_report(SERVICE, &holder(0), &report);
    let changes = table.due_holder_changes(&view, ms(900), |_, _| None);
    let found: Vec<_> = changes
        .iter()
        .map(|change| (change.range.from, change.range.handover.as_deref()))
        .collect();
    assert_eq!(found, [(100, Some("low")), (150, Some("high"))]);
}

/// Handover data comes from outside: data that would not fit into an answer is dropped.
#[test]
fn long_or_unprintable_handover_data_is_dropped() {
    for handover in [
        "x".repeat(41),
        "a\"b".into(),
        "a\u{1}".into(),
        String::new(),
    ] {
        let view = view(2);
        let (mut table, _) = acknowledged(&view);
        table.begin_move(SERVICE, 100, 199, &holder(1));
        let answer =
            table.answer_heartbeat(SERVICE, &holder(0), ms(800), |_, next| Some(next.clone()));
        let mut report = report_of(&answer.granted);
        report.freed = vec![FreedRange {
            from: 100,
            to: 199,
            handover: handover.into(),
        }];
        table.record_report(SERVICE, &holder(0), &report);
        let changes = table.due_holder_changes(&view, ms(900), |_, _| None);
        assert_eq!(changes[0].range.handover, None);
    }
}

/// A target that starts again under its id holds nothing of before.
#[test]
fn a_newer_incarnation_frees_the_range_at_once() {
    let mut view = view(2);
    let (mut table, _) = acknowledged(&view);
    view.targets.get_mut("t0").unwrap().incarnation = 2;
    let changes = table.due_holder_changes(&view, ms(10), |_, _| Some(holder(1)));
    assert_eq!(changes.len(), 1);
}

/// A next holder that does not announce itself would leave the range without a holder for good.
#[test]
fn a_range_that_is_not_claimed_goes_to_another_target() {
    let view = view(2);
    let (mut table, _) = acknowledged(&view);
    let range = KeyRange {
        from: 0,
        to: 99,
        holder: Some(holder(1)),
        handover: None,
    };
    table.record_assignment(&SERVICE.into(), &range, &view);
    assert!(
        table
            .due_holder_changes(&view, ms(10), |_, _| Some(holder(0)))
            .is_empty()
    );
    let changes = table.due_holder_changes(&view, ms(1800), |_, _| Some(holder(0)));
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].range.from, changes[0].range.to), (0, 99));
}

/// An answer of more than 4 KiB would not acknowledge the announcement.
#[test]
fn an_answer_has_a_bounded_number_of_ranges() {
    let mut view = view(2);
    let map = view.keys.get_mut(SERVICE).unwrap();
    for at in 0..200 {
        map.assign(KeyRange {
            from: at * 100,
            to: at * 100,
            holder: Some(holder(1)),
            handover: None,
        });
    }
    let mut table = LeaseTable::new(TIMES, 1, &view, ms(0));
    let answer = table.answer_heartbeat(SERVICE, &holder(0), ms(0), |_, _| None);
    assert_eq!(answer.granted.len(), MAX_GRANTED_RANGES);
}

/// Adjacent ranges of one target become one row, also for a new leader.
#[test]
fn adjacent_ranges_are_one_row() {
    let mut view = view(2);
    let map = view.keys.get_mut(SERVICE).unwrap();
    for at in 0..200 {
        map.assign(KeyRange {
            from: at * 100,
            to: at * 100 + 99,
            holder: Some(holder(0)),
            handover: None,
        });
    }
    let mut table = LeaseTable::new(TIMES, 1, &view, ms(0));
    let answer = table.answer_heartbeat(SERVICE, &holder(0), ms(0), |_, _| None);
    assert_eq!(answer.granted.len(), 1);
}

/// State that an older version stored has `false` or `true` in the place of the delivery.
#[test]
fn the_encoding_of_the_delivery_continues_that_of_a_flag() {
    for (flag, delivery) in [(false, KeyDelivery::Unkeyed), (true, KeyDelivery::Call)] {
        let old = postcard::to_stdvec(&flag).unwrap();
        assert_eq!(postcard::from_bytes::<KeyDelivery>(&old).unwrap(), delivery);
        assert_eq!(postcard::to_stdvec(&delivery).unwrap(), old);
    }
}
