//! Key leases: no two targets may hold a key at the same time, even if orders are lost, or carried
//! out or answered late.

#![allow(clippy::unwrap_used)]

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use camphordale_fleet::{
    Answer, EvacuationOrder, FencingToken, Holder, Key, KeyMap, KeyRange, LeaseTimes, Order,
    OrderId, Target, TargetState, View,
    key_leases::{
        Dispatch,
        LeaseTable,
        OrderConnection,
        SessionId, //
    },
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng,
    seq::IndexedRandom, //
};
use rstest::rstest;

const SERVICE: &str = "s";
const LEASE: Duration = Duration::from_millis(2000);
const TIMES: LeaseTimes = LeaseTimes {
    call: LEASE,
    heartbeat: Duration::from_millis(2740),
    interval: Duration::from_millis(870),
};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn holder(number: usize) -> Holder {
    Holder {
        id: format!("t{number}").into(),
        incarnation: 1,
    }
}

fn target(number: usize) -> Target {
    Target {
        incarnation: 1,
        service: SERVICE.into(),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        domain: "a".into(),
        slots: 4,
        state: TargetState::Ready,
    }
}

fn view(targets: usize) -> View {
    let mut view = View::default();
    for number in 0..targets {
        view.targets.insert(holder(number).id, target(number));
    }
    let mut map = KeyMap::default();
    let width = 65536 / targets as u32;
    for number in 0..targets as u32 {
        let to = if number as usize + 1 == targets {
            65535
        } else {
            (number + 1) * width - 1
        };
        map.assign(KeyRange {
            from: (number * width) as Key,
            to: to as Key,
            holder: Some(holder(number as usize)),
            handover: None,
        });
    }
    view.keys.insert(SERVICE.into(), map);
    view
}

fn grants_of(orders: &[Dispatch]) -> Vec<&Dispatch> {
    let is_grant = |dispatch: &&Dispatch| matches!(dispatch.order, Order::Grant { .. });
    orders.iter().filter(is_grant).collect()
}

#[test]
fn a_lease_is_renewed_before_it_expires() {
    let view = view(1);
    let mut table = LeaseTable::new(TIMES, 1, &view, ms(0));
    let mut last = ms(0);
    for step in 0..500 {
        let now = ms(step * 10);
        for order in table.due_orders(&view, now) {
            assert!(now - last < LEASE / 2);
            last = now;
            table.record_answer(order.id, &Answer::Granted, now);
        }
    }
    assert!(last > ms(4000));
}

/// Guards against a new holder losing its range before the first order is sent to it.
#[test]
fn a_holder_without_an_order_keeps_its_range() {
    let view = view(2);
    let mut table = LeaseTable::new(TIMES, 1, &view, ms(0));
    let range = KeyRange {
        from: 0,
        to: 99,
        holder: Some(holder(1)),
        handover: None,
    };
    table.record_assignment(&SERVICE.into(), &range, &view);
    assert!(
        table
            .due_holder_changes(&view, ms(1), |_, _| Some(holder(0)))
            .is_empty()
    );
}

#[test]
fn a_silent_holder_loses_its_range_only_after_its_lease() {
    let view = view(2);
    let mut table = LeaseTable::new(TIMES, 1, &view, ms(0));
    let mut lost_at = None;
    let mut last_sent = ms(0);
    for step in 0..1000 {
        let now = ms(step * 10);
        if !table
            .due_holder_changes(&view, now, |_, _| Some(holder(1)))
            .is_empty()
        {
            lost_at = lost_at.or(Some(now));
        }
        for order in table.due_orders(&view, now) {
            let silent = order.holder == holder(0) && now >= ms(1000);
            let answer = if silent {
                Answer::Lost { sent: true }
            } else {
                Answer::Granted
            };
            if let (true, Order::Grant { lease, .. }) = (silent, &order.order) {
                last_sent = last_sent.max(now + lease.mul_f64(1.02));
            }
            table.record_answer(order.id, &answer, now);
        }
    }
    let lost_at = lost_at.unwrap();
    assert!(lost_at > last_sent);
    // The holder becomes silent at 1 s. Attempts after that must not extend the lease much.
    assert!(lost_at < ms(1000) + LEASE.mul_f64(1.9), "{lost_at:?}");
}

/// Guards against ranges that wander from target to target while the leader is overloaded: orders
/// that it did not send itself counted as failures of their targets.
#[test]
fn an_order_that_was_not_sent_says_nothing_about_its_holder() {
    let view = view(2);
    let mut table = LeaseTable::new(TIMES, 1, &view, ms(0));
    let range = KeyRange {
        from: 0,
        to: 99,
        holder: Some(holder(1)),
        handover: None,
    };
    table.record_assignment(&SERVICE.into(), &range, &view);
    for step in 0..300 {
        let now = ms(step * 20);
        // The leader is busy for 60 ms of each 100 ms, and its lease ends meanwhile.
        let certain = step % 5 >= 3;
        for order in table.due_orders(&view, now) {
            let answer = match certain {
                true => Answer::Granted,
                false => Answer::NotSent,
            };
            table.record_answer(order.id, &answer, now);
        }
        let changes = table.due_holder_changes(&view, now, |_, _| Some(holder(0)));
        assert_eq!(changes, [], "at {now:?}");
    }
    let leases = table.leases(SERVICE).iter();
    assert!(leases.clone().all(|lease| lease.expiry() > ms(6000)));
}

/// Guards against the ranges of a silent holder being reassigned one after the other.
#[test]
fn a_silent_holder_loses_all_ranges_together() {
    let mut view = view(2);
    let map = view.keys.get_mut(SERVICE).unwrap();
    for at in 0..20 {
        map.assign(KeyRange {
            from: at * 100,
            to: at * 100,
            holder: Some(holder(1)),
            handover: None,
        });
    }
    let mut table = LeaseTable::new(TIMES, 1, &view, ms(0));
    let mut reassigned_at = Vec::new();
    for step in 0..1000 {
        let now = ms(step * 10);
        for order in table.due_orders(&view, now) {
            let answer = if order.holder == holder(0) {
                Answer::Lost { sent: false }
            } else {
                Answer::Granted
            };
            table.record_answer(order.id, &answer, now);
        }
        for change in table.due_holder_changes(&view, now, |_, _| Some(holder(1))) {
            assert_eq!(change.range.holder, Some(holder(1)));
            reassigned_at.push(now);
        }
    }
    assert!(reassigned_at.len() >= 20);
    assert!(
        reassigned_at
            .last()
            .unwrap()
            .saturating_sub(reassigned_at[0])
            < ms(500)
    );
}

#[test]
fn a_move_waits_for_the_release() {
    let view = view(2);
    let mut table = LeaseTable::new(TIMES, 1, &view, ms(0));
    for order in table.due_orders(&view, ms(0)) {
        table.record_answer(order.id, &Answer::Granted, ms(5));
    }
    // The previous leader's last grant may still be in effect, but the new fencing token, which was
    // acknowledged, is above it.
    table.begin_move(SERVICE, 100, 199, &holder(1));
    let orders = table.due_orders(&view, ms(10));
    let release = orders.iter().find(|order| {
        matches!(
            order.order,
            Order::Release {
                from: 100,
                to: 199,
                ..
            }
        )
    });
    let release = release.expect("a release order is due");
    assert!(
        table
            .due_holder_changes(&view, ms(20), |_, _| None)
            .is_empty()
    );
    let handover = Some("h".into());
    table.record_answer(release.id, &Answer::Released(handover.clone()), ms(30));
    let changes = table.due_holder_changes(&view, ms(30), |_, _| None);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].range.holder, Some(holder(1)));
    assert_eq!(changes[0].range.handover, handover);
}

/// Guards against a former holder that takes keys of the next one: a second copy of an answer hid that
/// a grant got none, and the target carried it out after the keys had moved.
#[test]
fn a_release_follows_a_grant_whose_answer_is_its_own() {
    let view = view(2);
    let mut table = LeaseTable::new(TIMES, 1, &view, ms(0));
    let mut target = TargetLeases::default();
    for order in table.due_orders(&view, ms(0)) {
        table.record_answer(order.id, &Answer::Granted, ms(5));
        if order.holder == holder(0) {
            target.carry_out(&order.order, ms(0));
        }
    }
    let mut held_up = None;
    for order in table.due_orders(&view, ms(600)) {
        table.record_answer(order.id, &Answer::Granted, ms(601));
        if order.holder == holder(0) {
            held_up = Some(order.order);
        }
    }
    table.begin_move(SERVICE, 0, 32767, &holder(1));
    let mut moved_at = None;
    for step in 0..100 {
        let now = ms(610 + step * 10);
        for order in table.due_orders(&view, now) {
            let answer = match order.holder == holder(0) {
                true => target.carry_out(&order.order, now),
                false => Answer::Granted,
            };
            table.record_answer(order.id, &answer, now);
        }
        if !table.due_holder_changes(&view, now, |_, _| None).is_empty() {
            moved_at = moved_at.or(Some(now));
        }
    }
    assert!(moved_at.expect("the range moves") < ms(700), "{moved_at:?}");
    let late = target.carry_out(&held_up.unwrap(), ms(600));
    assert_eq!(late, Answer::Fenced);
}

#[test]
fn a_move_waits_for_an_unanswered_grant() {
    let view = view(2);
    let mut table = LeaseTable::new(TIMES, 1, &view, ms(0));
    for order in table.due_orders(&view, ms(0)) {
        table.record_answer(order.id, &Answer::Granted, ms(5));
    }
    let orders = table.due_orders(&view, ms(600));
    for order in grants_of(&orders) {
        table.record_answer(order.id, &Answer::Lost { sent: true }, ms(700));
    }
    table.begin_move(SERVICE, 100, 199, &holder(1));
    let mut moved_at = None;
    for step in 71..600 {
        let now = ms(step * 10);
        for order in table.due_orders(&view, now) {
            let answer = match order.order {
                Order::Grant { .. } => Answer::Granted,
                Order::Release { .. } => Answer::Released(None),
            };
            table.record_answer(order.id, &answer, now);
        }
        if !table.due_holder_changes(&view, now, |_, _| None).is_empty() {
            moved_at = moved_at.or(Some(now));
        }
    }
    assert!(moved_at.unwrap() >= ms(700) + LEASE.mul_f64(1.02));
}

/// Guards against keys without a holder until the registry forgets a target that ended while its only
/// range was being released.
#[test]
fn a_range_moves_when_its_holder_ends_during_the_release() {
    let view = view(2);
    let mut table = LeaseTable::new(TIMES, 1, &view, ms(0));
    for order in table.due_orders(&view, ms(0)) {
        table.record_answer(order.id, &Answer::Granted, ms(5));
    }
    table.begin_move(SERVICE, 0, 32767, &holder(1));
    let mut moved_at = None;
    for step in 1..600 {
        let now = ms(step * 10);
        for order in table.due_orders(&view, now) {
            let answer = match order.holder == holder(0) {
                true => Answer::Lost { sent: false },
                false => Answer::Granted,
            };
            table.record_answer(order.id, &answer, now);
        }
        if !table.due_holder_changes(&view, now, |_, _| None).is_empty() {
            moved_at = moved_at.or(Some(now));
        }
    }
    let moved_at = moved_at.expect("the range moves");
    assert!(moved_at >= LEASE.mul_f64(1.02));
    assert!(moved_at < LEASE.mul_f64(1.5), "{moved_at:?}");
}

/// Guards against keys that wait for the lease of a target that has certainly ended, because another
/// one answers at its address.
#[test]
fn a_range_moves_at_once_when_another_target_has_the_address() {
    let view = view(2);
    let mut table = LeaseTable::new(TIMES, 1, &view, ms(0));
    for order in table.due_orders(&view, ms(0)) {
        table.record_answer(order.id, &Answer::Granted, ms(5));
    }
    let renewal = |table: &mut LeaseTable, now| {
        let orders = table.due_orders(&view, now).into_iter();
        let mut renewals = orders.filter(|order| order.holder == holder(0));
        renewals.next().expect("a renewal is due")
    };
    let changes = |table: &mut LeaseTable| {
        let changes = table.due_holder_changes(&view, ms(610), |_, _| Some(holder(1)));
        changes.len()
    };
    // The connection ended with the former target.
    let order = renewal(&mut table, ms(600));
    table.record_answer(order.id, &Answer::Lost { sent: false }, ms(601));
    let order = renewal(&mut table, ms(605));
    assert!(matches!(order.connection, OrderConnection::Open(_)));
    assert_eq!(changes(&mut table), 0);
    table.record_answer(order.id, &Answer::OtherTarget, ms(610));
    assert_eq!(changes(&mut table), 1);
}

/// Guards against a range that moves while its holder has it, because an answer to a renewal that the
/// holder carried out was taken for a proof that it did not. What accepted a connection as the target
/// is that target until the connection ends.
#[rstest]
#[case::unavailable(Answer::Unproved(503))]
#[case::timed_out(Answer::Unproved(408))]
#[case::misdirected(Answer::OtherTarget)]
fn an_answer_without_proof_leaves_a_range_to_its_holder(#[case] answer: Answer) {
    let view = view(2);
    let mut table = LeaseTable::new(TIMES, 1, &view, ms(0));
    for order in table.due_orders(&view, ms(0)) {
        table.record_answer(order.id, &Answer::Granted, ms(5));
    }
    let carried_out = ms(600);
    for order in table.due_orders(&view, carried_out) {
        assert!(matches!(order.connection, OrderConnection::Kept(_)));
        let answer = match order.holder == holder(0) {
            true => answer.clone(),
            false => Answer::Granted,
        };
        table.record_answer(order.id, &answer, ms(610));
    }
    let mut moved_at = None;
    for step in 61..600 {
        let now = ms(step * 10);
        for order in table.due_orders(&view, now) {
            let answer = match order.holder == holder(0) {
                true => Answer::Lost { sent: false },
                false => Answer::Granted,
            };
            table.record_answer(order.id, &answer, now);
        }
        let changes = table.due_holder_changes(&view, now, |_, _| Some(holder(1)));
        if !changes.is_empty() {
            moved_at = moved_at.or(Some(now));
        }
    }
    let moved_at = moved_at.expect("the range moves in the end");
    assert!(
        moved_at >= carried_out + LEASE.mul_f64(1.02),
        "{moved_at:?}"
    );
}

/// A target that states that it did not carry out a renewal keeps what it had before, and no more.
#[test]
fn a_refused_renewal_does_not_extend_a_lease() {
    let view = view(1);
    let mut table = LeaseTable::new(TIMES, 1, &view, ms(0));
    for order in table.due_orders(&view, ms(0)) {
        table.record_answer(order.id, &Answer::Granted, ms(5));
    }
    let expiry = |table: &LeaseTable| table.leases(SERVICE)[0].expiry();
    let before = expiry(&table);
    for order in table.due_orders(&view, ms(600)) {
        table.record_answer(order.id, &Answer::Refused(503), ms(610));
    }
    assert_eq!(expiry(&table), before);
}

/// A newer incarnation proves that the previous one holds nothing.
#[test]
fn a_newer_incarnation_frees_the_range_at_once() {
    let mut view = view(2);
    let mut table = LeaseTable::new(TIMES, 1, &view, ms(0));
    for order in table.due_orders(&view, ms(0)) {
        table.record_answer(order.id, &Answer::Granted, ms(5));
    }
    view.targets.get_mut("t0").unwrap().incarnation = 2;
    let changes = table.due_holder_changes(&view, ms(10), |_, _| Some(holder(1)));
    assert_eq!(changes.len(), 1);
}

/// Guards against a range that is given to a target whose domain was evacuated during the move. The
/// range waits where no other target accepts it.
#[test]
fn a_released_range_does_not_go_to_an_evacuated_domain() {
    let mut view = view(3);
    let mut table = LeaseTable::new(TIMES, 1, &view, ms(0));
    for order in table.due_orders(&view, ms(0)) {
        table.record_answer(order.id, &Answer::Granted, ms(5));
    }
    table.begin_move(SERVICE, 100, 199, &holder(1));
    let orders = table.due_orders(&view, ms(10));
    let is_release = |order: &&Dispatch| matches!(order.order, Order::Release { .. });
    let release = orders.iter().find(is_release).unwrap();
    view.targets.get_mut("t1").unwrap().domain = "b".into();
    view.evacuations
        .apply(1, &"b".into(), EvacuationOrder::Start);
    table.record_answer(release.id, &Answer::Released(Some("h".into())), ms(30));
    assert_eq!(table.due_holder_changes(&view, ms(30), |_, _| None), []);
    let changes = table.due_holder_changes(&view, ms(31), |_, _| Some(holder(2)));
    let range = &changes[0].range;
    assert_eq!(
        (&range.holder, &range.handover),
        (&Some(holder(2)), &Some("h".into()))
    );
}

/// Guards against a second holder: a grant may have reached the later incarnation of a holder in an
/// evacuated domain, so the range has to go there first.
#[test]
fn a_later_incarnation_in_an_evacuated_domain_gets_the_range_before_it_moves() {
    let mut view = view(2);
    let mut table = LeaseTable::new(TIMES, 1, &view, ms(0));
    for order in table.due_orders(&view, ms(0)) {
        table.record_answer(order.id, &Answer::Granted, ms(5));
    }
    let target = view.targets.get_mut("t0").unwrap();
    (target.incarnation, target.domain) = (2, "b".into());
    view.evacuations
        .apply(1, &"b".into(), EvacuationOrder::Start);
    let changes = table.due_holder_changes(&view, ms(10), |_, _| Some(holder(1)));
    let next = changes[0].range.holder.as_ref().unwrap();
    assert_eq!((&*next.id, next.incarnation), ("t0", 2));
}

/// A target that carries out orders according to the platform's protocol.
#[derive(Default)]
struct TargetLeases {
    /// Highest fencing token seen and end of the lease, by key.
    keys: BTreeMap<Key, (FencingToken, Duration)>,
}

impl TargetLeases {
    /// `arrived` is the time of arrival; the order is carried out later.
    fn carry_out(&mut self, order: &Order, arrived: Duration) -> Answer {
        match order {
            Order::Grant {
                from,
                to,
                fence,
                lease,
                ..
            } => {
                let tested = tested_keys(*from, *to);
                let seen = |key: &Key| self.keys.get(key).is_some_and(|(seen, _)| seen > fence);
                if tested.iter().any(seen) {
                    return Answer::Fenced;
                }
                for key in tested {
                    // The target's clock is 2 % slow.
                    self.keys
                        .insert(key, (*fence, arrived + lease.mul_f64(1.02)));
                }
                Answer::Granted
            }
            Order::Release { from, to, .. } => {
                for key in tested_keys(*from, *to) {
                    if let Some((_, until)) = self.keys.get_mut(&key) {
                        *until = Duration::ZERO;
                    }
                }
                Answer::Released(Some("h".into()))
            }
        }
    }

    fn holds(&self, key: Key, now: Duration) -> bool {
        self.keys.get(&key).is_some_and(|(_, until)| *until > now)
    }
}

/// Keys that the random histories check.
fn tested_keys(from: Key, to: Key) -> Vec<Key> {
    (0..64u16)
        .map(|at| at * 1024 + 7)
        .filter(|key| (from..=to).contains(key))
        .collect()
}

/// An order on its way to a target.
struct PendingOrder {
    number: usize,
    id: OrderId,
    order: Order,
    /// From when the target counts the lease.
    counts_from: Duration,
    /// When the target carries the order out, if it arrives.
    arrives_at: Option<Duration>,
    /// Whether the answer reaches the leader.
    answer_arrives: bool,
    /// When the leader aborts the exchange.
    deadline: Duration,
}

/// Random histories with orders that are lost, read late, carried out late or answered late, answers
/// that come twice, restarting targets and changes of leader. No two targets may hold a key at the same time.
#[test]
fn random_histories_never_give_a_key_two_holders() {
    for seed in 0..400 {
        history(seed);
    }
}

fn history(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let targets = 4;
    let mut view = view(targets);
    let mut target_leases: Vec<TargetLeases> =
        (0..targets).map(|_| TargetLeases::default()).collect();
    let mut highest_fences: BTreeMap<Key, (FencingToken, usize)> = BTreeMap::new();
    let mut term = 1;
    let mut table = LeaseTable::new(TIMES, term, &view, ms(0));
    let mut pending: Vec<PendingOrder> = Vec::new();
    let mut faulty: BTreeSet<usize> = BTreeSet::new();
    // Connections on which a second copy of an answer is taken for the answer to the next order.
    let mut copies: BTreeSet<SessionId> = BTreeSet::new();
    for step in 0..1500u64 {
        let now = ms(step * 10);
        if random.random_bool(0.01) {
            faulty = (0..targets).filter(|_| random.random_bool(0.4)).collect();
        }
        if random.random_bool(0.002) {
            // A new leader starts after the lease of the previous one, whose orders may still be in
            // flight.
            term += 1;
            table = LeaseTable::new(TIMES, term, &view, now);
            for order in &mut pending {
                order.answer_arrives = false;
            }
        }
        if random.random_bool(0.01) {
            let from: Key = random.random();
            let to = from.saturating_add(random.random_range(0..9000));
            let next = holder(random.random_range(0..targets));
            let next = Holder {
                incarnation: view.targets[&next.id].incarnation,
                ..next
            };
            table.begin_move(SERVICE, from, to, &next);
        }
        if random.random_bool(0.003) {
            let number = random.random_range(0..targets);
            view.targets
                .get_mut(&holder(number).id)
                .unwrap()
                .incarnation += 1;
            target_leases[number] = TargetLeases::default();
            pending.retain(|order| order.number != number);
        }
        for dispatch in table.due_orders(&view, now) {
            let number: usize = dispatch.holder.id[1..].parse().unwrap();
            let is_faulty = faulty.contains(&number);
            let session = match dispatch.connection {
                OrderConnection::Open(session) | OrderConnection::Kept(session) => Some(session),
                OrderConnection::Single => None,
            };
            let is_kept = matches!(dispatch.connection, OrderConnection::Kept(_));
            if is_kept && session.is_some_and(|session| copies.remove(&session)) {
                table.record_answer(dispatch.id, &Answer::Granted, now);
            }
            copies.extend(session.filter(|_| is_faulty && random.random_bool(0.2)));
            let arrives = !(is_faulty && random.random_bool(0.3));
            let late = is_faulty && random.random_bool(0.4);
            // The first order on a connection may wait before the target reads it.
            let waits = is_faulty && !is_kept && random.random_bool(0.3);
            let delay = if waits {
                random.random_range(0..1450)
            } else if late {
                random.random_range(400..6000)
            } else {
                random.random_range(0..60)
            };
            pending.push(PendingOrder {
                number,
                id: dispatch.id,
                order: dispatch.order,
                counts_from: if waits { now + ms(delay) } else { now },
                arrives_at: arrives.then_some(now + ms(delay)),
                answer_arrives: arrives && !late && !(is_faulty && random.random_bool(0.3)),
                deadline: dispatch.deadline,
            });
        }
        let mut index = 0;
        while index < pending.len() {
            let order = &pending[index];
            let due = order.arrives_at.is_some_and(|arrives_at| now >= arrives_at);
            if due {
                let order = pending.remove(index);
                let answer = target_leases[order.number].carry_out(&order.order, order.counts_from);
                if let (
                    Order::Grant {
                        from,
                        to,
                        fence,
                        lease,
                        ..
                    },
                    Answer::Granted,
                ) = (&order.order, &answer)
                    && order.counts_from + lease.mul_f64(1.02) > now
                {
                    check_fencing(&mut highest_fences, *from, *to, *fence, order.number, seed);
                }
                if order.answer_arrives {
                    table.record_answer(order.id, &answer, now);
                } else if now < order.deadline {
                    table.record_answer(order.id, &Answer::Lost { sent: true }, now);
                }
            } else if order.arrives_at.is_none() && now >= order.deadline {
                let order = pending.remove(index);
                table.record_answer(order.id, &Answer::Lost { sent: true }, now);
            } else {
                if now >= order.deadline && now < order.deadline + ms(10) {
                    table.record_answer(order.id, &Answer::Lost { sent: true }, now);
                }
                index += 1;
            }
        }
        let others: Vec<Holder> = (0..targets)
            .filter(|number| !faulty.contains(number))
            .map(holder)
            .map(|holder| Holder {
                incarnation: view.targets[&holder.id].incarnation,
                ..holder
            })
            .collect();
        let changes =
            table.due_holder_changes(&view, now, |_, _| others.choose(&mut random).cloned());
        for change in changes {
            view.keys
                .get_mut(SERVICE)
                .unwrap()
                .assign(change.range.clone());
            table.record_assignment(&change.service, &change.range, &view);
        }
        for key in tested_keys(0, Key::MAX) {
            let holders: Vec<usize> = (0..targets)
                .filter(|n| target_leases[*n].holds(key, now))
                .collect();
            assert!(
                holders.len() <= 1,
                "seed {seed} at {now:?}: key {key} held by {holders:?}"
            );
        }
    }
}

/// Checks that a key moves to another target only with a higher fencing token.
fn check_fencing(
    highest_fences: &mut BTreeMap<Key, (FencingToken, usize)>,
    from: Key,
    to: Key,
    fence: FencingToken,
    number: usize,
    seed: u64,
) {
    for key in tested_keys(from, to) {
        if let Some((seen, other)) = highest_fences.get(&key) {
            assert!(*other == number || fence > *seen, "seed {seed}: key {key}");
        }
        highest_fences.insert(key, (fence, number));
    }
}
