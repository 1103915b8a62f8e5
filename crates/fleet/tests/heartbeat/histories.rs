//! Random histories with announcements and answers that are delayed, overtaken or lost, restarting
//! targets and changes of leader, beside targets that are called for grants.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_fleet::{
    FencingToken,
    GrantedRange,
    Holder,
    Key,
    View,
    key_leases::LeaseTable, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

use crate::{
    steps::{
        SERVICE,
        TIMES,
        holder,
        ms,
        view, //
    },
    target::{
        Announced,
        Target,
        tested_keys, //
    },
};

const TARGETS: usize = 4;
const STEP: Duration = Duration::from_millis(10);

struct InTransit<Content> {
    at: Duration,
    number: usize,
    content: Content,
}

type Answer = (u64, u64, Option<Vec<GrantedRange>>);

struct History {
    random: StdRng,
    seed: u64,
    now: Duration,
    view: View,
    term: u64,
    table: LeaseTable,
    /// Newest incarnation and sequence number that the leader has seen.
    latest: BTreeMap<usize, (u64, u64)>,
    targets: Vec<Target>,
    faulty: [bool; TARGETS],
    announced: Vec<InTransit<Announced>>,
    answers: Vec<InTransit<Answer>>,
    /// Highest fencing token under which work began, by key.
    fences: BTreeMap<Key, (FencingToken, usize)>,
    moves: usize,
}

impl History {
    fn new(seed: u64) -> History {
        let view = view(TARGETS);
        History {
            random: StdRng::seed_from_u64(seed),
            seed,
            now: ms(0),
            term: 1,
            table: LeaseTable::new(TIMES, 1, &view, ms(0)),
            view,
            latest: BTreeMap::new(),
            targets: (0..TARGETS).map(|_| Target::new(1, ms(0))).collect(),
            faulty: [false; TARGETS],
            announced: Vec::new(),
            answers: Vec::new(),
            fences: BTreeMap::new(),
            moves: 0,
        }
    }

    fn current(&self, number: usize) -> Holder {
        Holder {
            incarnation: self.targets[number].incarnation,
            ..holder(number)
        }
    }

    /// Time on the way, or `None` if the message is lost.
    fn delay(&mut self, number: usize) -> Option<Duration> {
        if !self.faulty[number] {
            return Some(ms(self.random.random_range(0..40)));
        }
        match self.random.random_range(0..10) {
            0..=2 => None,
            3..=6 => Some(ms(self.random.random_range(200..4000))),
            _ => Some(ms(self.random.random_range(0..200))),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.inject_faults();
        for number in 0..TARGETS {
            self.targets[number].work = ms(self.random.random_range(0..400));
            if let Some(content) = self.targets[number].tick(self.now)
                && let Some(delay) = self.delay(number)
            {
                let at = self.now + delay;
                self.announced.push(InTransit {
                    at,
                    number,
                    content,
                });
            }
        }
        let now = self.now;
        let due: Vec<_> = self.announced.extract_if(.., |m| m.at <= now).collect();
        for message in due {
            self.on_announced(message.number, &message.content);
        }
        self.change_holders();
        let due: Vec<_> = self.answers.extract_if(.., |m| m.at <= now).collect();
        for InTransit {
            number, content, ..
        } in due
        {
            let (incarnation, sequence, granted) = content;
            if self.targets[number].incarnation == incarnation {
                let granted = granted.as_ref().map(|rows| (&rows[..], TIMES.heartbeat));
                self.targets[number].on_answer(sequence, granted, now);
            }
        }
        self.check();
    }

    fn inject_faults(&mut self) {
        if self.random.random_bool(0.01) {
            for number in 0..TARGETS {
                self.faulty[number] = self.random.random_bool(0.4);
            }
        }
        if self.random.random_bool(0.003) {
            // The new leader starts after the leader lease of the previous one, whose answers may
            // still be on their way.
            self.term += 1;
            self.table = LeaseTable::new(TIMES, self.term, &self.view, self.now);
            self.latest.clear();
        }
        if self.random.random_bool(0.02) {
            let from: Key = self.random.random();
            let to = from.saturating_add(self.random.random_range(0..9000));
            let number = self.random.random_range(0..TARGETS);
            let next = self.current(number);
            self.table.begin_move(SERVICE, from, to, &next);
        }
        if self.random.random_bool(0.003) {
            let number = self.random.random_range(0..TARGETS);
            let incarnation = self.targets[number].incarnation + 1;
            self.targets[number] = Target::new(incarnation, self.now);
        }
    }

    fn on_announced(&mut self, number: usize, announced: &Announced) {
        let order = (announced.incarnation, announced.sequence);
        let registered = self.view.targets[&holder(number).id].incarnation;
        let is_overtaken = self.latest.get(&number).is_some_and(|seen| *seen >= order);
        let granted = if is_overtaken || announced.incarnation < registered {
            None
        } else {
            self.latest.insert(number, order);
            let id = holder(number).id;
            self.view.targets.get_mut(&id).unwrap().incarnation = announced.incarnation;
            let holder = Holder {
                id,
                incarnation: announced.incarnation,
            };
            self.table
                .record_report(SERVICE, &holder, &announced.report);
            let may_leave = self.random.random_bool(0.8);
            let answer = self
                .table
                .answer_heartbeat(SERVICE, &holder, self.now, |_, next| {
                    may_leave.then(|| next.clone())
                });
            Some(answer.granted)
        };
        if let Some(delay) = self.delay(number) {
            self.answers.push(InTransit {
                at: self.now + delay,
                number,
                content: (announced.incarnation, announced.sequence, granted),
            });
        }
    }

    fn change_holders(&mut self) {
        let number = self.random.random_range(0..TARGETS);
        let fallback = self.current(number);
        let known = self.view.is_current(&fallback).then_some(fallback);
        let changes = self
            .table
            .due_holder_changes(&self.view, self.now, |_, _| known.clone());
        for change in changes {
            self.moves += 1;
            let map = self.view.keys.get_mut(SERVICE).unwrap();
            map.assign(change.range.clone());
            self.table
                .record_assignment(&change.service, &change.range, &self.view);
        }
    }

    fn check(&mut self) {
        let (seed, now) = (self.seed, self.now);
        for key in tested_keys() {
            let fences = self.targets.iter().map(|target| target.fence_of(key, now));
            let holders: Vec<(usize, FencingToken)> = fences
                .enumerate()
                .filter_map(|(number, fence)| Some((number, fence?)))
                .collect();
            assert!(
                holders.len() <= 1,
                "seed {seed} at {now:?}: key {key} held by {holders:?}"
            );
            let Some((number, fence)) = holders.first().copied() else {
                continue;
            };
            let mut others = self.targets.iter().enumerate();
            assert!(
                !others.any(|(other, target)| other != number && target.works_on(key, now)),
                "seed {seed} at {now:?}: key {key} begins elsewhere while work on it goes on"
            );
            if let Some((seen, other)) = self.fences.get(&key) {
                assert!(
                    *other == number || fence > *seen,
                    "seed {seed} at {now:?}: key {key} moved without a higher token"
                );
            }
            self.fences.insert(key, (fence, number));
        }
    }
}

#[test]
fn random_histories_never_give_a_key_two_holders() {
    let mut moves = 0;
    for seed in 0..400 {
        let mut history = History::new(seed);
        for _ in 0..1500 {
            history.step();
        }
        moves += history.moves;
    }
    assert!(moves > 10_000, "only {moves} changes of holder");
}
