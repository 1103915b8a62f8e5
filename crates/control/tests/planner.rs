//! Rules of the planner, one at a time, on a simulated clock.

mod common;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_control::{
    Command,
    DomainReport,
    Home,
    HomeChange,
    Outcome,
    Planner,
    PlannerConfig,
    PlannerEvent,
    State, //
};
use camphordale_types::{
    Bundle,
    Service,
    Side, //
};
use common::{
    lost,
    next_bundle,
    operators,
    returned,
    submission,
    vm, //
};
use rstest::rstest;

/// Time between two steps.
const STEP: Duration = Duration::from_millis(50);

/// A control leader whose proposals take effect at once, and domains that report at every step.
struct World {
    state: State,
    planner: Planner,
    index: u64,
    now: Duration,
    /// Slots by domain for the service `berths`; a domain that is missing does not report.
    slots: BTreeMap<&'static str, (u32, u32)>,
    parked: BTreeMap<&'static str, Vec<(u32, u64)>>,
    /// Version of the bundle that reports name; none for the standing one.
    bundle: Option<u64>,
    /// Whether proposals take effect.
    commits: bool,
    proposed: Vec<Command>,
}

impl World {
    /// Three domains of three VMs each; the planner is elected at 1 s.
    fn new() -> Self {
        let mut world = World {
            state: State::new(operators(1, &[1])),
            planner: Planner::new(PlannerConfig::default()),
            index: 0,
            now: Duration::from_secs(1),
            slots: BTreeMap::new(),
            parked: BTreeMap::new(),
            bundle: None,
            commits: true,
            proposed: Vec::new(),
        };
        for (number, domain) in ["east", "north", "west"].into_iter().enumerate() {
            for i in 0..3 {
                world.apply(&Command::RegisterVm(vm(number as u32 * 3 + i, 1, domain)));
            }
        }
        world.event(PlannerEvent::Elected);
        world
    }

    /// As `new`, with a bundle and reports from all domains, until homes are given.
    fn running(edit: impl Fn(&mut Bundle)) -> Self {
        let mut world = World::new();
        world.submit(edit);
        world.slots = [("east", (6, 0)), ("north", (6, 0)), ("west", (6, 0))].into();
        world.run(STEP * 4);
        assert_eq!(world.homes().len(), world.service().shard_count() as usize);
        world.proposed.clear();
        world
    }

    fn submit(&mut self, edit: impl Fn(&mut Bundle)) {
        let mut bundle = next_bundle(&self.state);
        edit(&mut bundle);
        let outcome = self.apply(&submission(&bundle, 1));
        assert!(matches!(outcome, Outcome::Accepted { .. }));
    }

    fn service(&self) -> Service {
        self.state.bundle().expect("a bundle").services[0].clone()
    }

    fn apply(&mut self, command: &Command) -> Outcome {
        self.index += 1;
        self.state.apply(self.index, command)
    }

    fn event(&mut self, event: PlannerEvent) {
        for command in self.planner.step(&self.state, event, self.now) {
            let refused = self.commits && matches!(self.apply(&command), Outcome::Rejected(_));
            assert!(!refused, "{command:?}");
            self.proposed.push(command);
        }
    }

    fn report(&mut self, domain: &str, slots: (u32, u32)) {
        let Some(group) = self.state.group(domain) else {
            return;
        };
        let parked = self.parked.get(domain).into_iter().flatten();
        let parked = parked.map(|(index, since)| ("berths".into(), *index, *since));
        let standing = self
            .state
            .latest_bundle_id()
            .map_or(0, |(version, _)| version);
        let sides = [(Side::Old, slots.0), (Side::New, slots.1)];
        let report = DomainReport {
            domain: domain.into(),
            term: group.term,
            bundle: self.bundle.unwrap_or(standing),
            parked: parked.collect(),
            capacity: sides
                .map(|(side, slots)| ("berths".into(), side, slots))
                .to_vec(),
        };
        self.event(PlannerEvent::Report(report));
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for (domain, slots) in self.slots.clone() {
                self.report(domain, slots);
            }
            self.event(PlannerEvent::Tick);
        }
    }

    /// Runs until a proposal is made, and returns how long that took.
    fn until_proposal(&mut self, limit: Duration) -> Option<Duration> {
        let start = self.now;
        self.proposed.clear();
        while self.proposed.is_empty() && self.now < start + limit {
            self.run(STEP);
        }
        (!self.proposed.is_empty()).then(|| self.now - start)
    }

    fn homes(&self) -> Vec<Home> {
        let homes = self.state.homes("berths").into_iter();
        let homes = homes.flat_map(|homes| homes.iter());
        homes.map(|(_, home)| home.clone()).collect()
    }

    fn count(&self, domain: &str) -> usize {
        let mut homes = self.homes();
        homes.retain(|home| &*home.domain == domain);
        homes.len()
    }

    fn seal(&mut self, vm: u32, incarnation: u64, term: u64) {
        let domain = self.state.vm(vm).expect("registered").domain.clone();
        self.event(PlannerEvent::Leaderless {
            vm,
            incarnation,
            domain,
            term,
            sealed: true,
        });
    }

    fn elect_again(&mut self) {
        self.event(PlannerEvent::SteppedDown);
        self.event(PlannerEvent::Elected);
    }
}

fn members(world: &World, domain: &str) -> usize {
    let group = world.state.group(domain);
    group.map_or(0, |group| group.members.len())
}

/// Too small a first group could not tolerate a loss; waiting for ever would not start at all.
#[rstest]
#[case(1, 1)]
#[case(2, 1)]
#[case(3, 3)]
#[case(4, 3)]
fn a_first_group_waits_for_its_members(#[case] vms: u32, #[case] voters: usize) {
    let mut world = World::new();
    for number in 20..20 + vms {
        world.apply(&Command::RegisterVm(vm(number, 1, "south")));
    }
    world.event(PlannerEvent::Tick);
    assert_eq!(members(&world, "south"), if vms >= 3 { 3 } else { 0 });
    world.run(Duration::from_millis(950));
    assert_eq!(members(&world, "south"), if vms >= 3 { 3 } else { 0 });
    world.run(STEP);
    assert_eq!(members(&world, "south"), voters);
}

#[test]
fn a_proposal_without_effect_is_repeated_after_the_retry_time() {
    let mut world = World::new();
    world.apply(&Command::RegisterVm(vm(20, 1, "south")));
    world.commits = false;
    world.proposed.clear();
    world.run(Duration::from_secs(1) + Duration::from_millis(1600));
    assert_eq!(world.proposed.len(), 4, "at 1.05, 1.55, 2.05 and 2.55 s");
}

/// VMs that sealed a term take no part in it again, so sealing a living group would harm it.
#[test]
fn sealing_starts_after_two_seconds_without_a_report() {
    let mut world = World::running(|_| {});
    let term = world.state.group("east").unwrap().term;
    let heard = world.now;
    world.slots.remove("east");
    while world.now < heard + Duration::from_millis(1950) {
        assert_eq!(world.planner.term_to_seal("east"), None);
        world.run(STEP);
    }
    world.run(STEP);
    assert_eq!(world.planner.term_to_seal("east"), Some(term));
    assert_eq!(world.planner.term_to_seal("west"), None);
    world.report("east", (6, 0));
    assert_eq!(world.planner.term_to_seal("east"), None);
    world.run(Duration::from_secs(3));
    assert_eq!(world.planner.term_to_seal("east"), Some(term));
    // A new leader cannot know when the last report came.
    world.elect_again();
    assert_eq!(world.planner.term_to_seal("east"), None);
    world.run(Duration::from_secs(2));
    assert_eq!(world.planner.term_to_seal("east"), Some(term));
}

/// A run of VM 0, 1 or 2 of the domain, after the group lost its leader.
#[derive(Clone, Copy, PartialEq)]
enum Run {
    Sealed,
    Silent,
    /// Restarted and sealed.
    New,
    /// Restarted, with a seal of the run before only.
    NewUnsealed,
    Removed,
}

use Run::{
    New,
    NewUnsealed,
    Removed,
    Sealed,
    Silent, //
};

/// A replacement while a quorum of the old group could exist would allow two groups.
#[rstest]
#[case([Sealed, Sealed, Sealed], true)]
#[case([Sealed, Sealed, Silent], true)]
#[case([Sealed, Silent, Silent], false)]
#[case([New, New, New], true)]
#[case([New, Sealed, Silent], true)]
#[case([New, Silent, Silent], false)]
#[case([New, NewUnsealed, NewUnsealed], false)]
#[case([New, Sealed, NewUnsealed], true)]
#[case([Sealed, Removed, Removed], true)]
#[case([Sealed, Removed, Silent], true)]
#[case([Silent, Removed, Removed], false)]
#[case([Removed, Removed, Removed], false)]
fn a_group_is_replaced_only_without_a_possible_quorum(
    #[case] runs: [Run; 3],
    #[case] replaced: bool,
) {
    let mut world = World::running(|_| {});
    world.slots.remove("east");
    let term = world.state.group("east").unwrap().term;
    world.run(Duration::from_secs(3));
    for (number, run) in (0..).zip(runs) {
        match run {
            Silent => {}
            Sealed => world.seal(number, 1, term),
            Removed => {
                world.apply(&Command::RemoveVm {
                    vm: number,
                    by: "a".into(),
                    at: 0,
                });
            }
            New | NewUnsealed => {
                world.seal(number, 1, term);
                world.apply(&Command::RegisterVm(vm(number, 2, "east")));
                world.seal(number, if run == New { 2 } else { 1 }, term);
            }
        }
    }
    world.run(Duration::from_millis(1500));
    let group = world.state.group("east").unwrap();
    assert_eq!(group.term != term, replaced);
    assert_eq!(group.recreated, replaced);
}

/// A group formed with one member can commit with that member alone, whoever joined later.
#[test]
fn a_group_formed_small_needs_every_seal() {
    let mut world = World::new();
    world.apply(&Command::RegisterVm(vm(20, 1, "south")));
    world.run(Duration::from_secs(2));
    let term = world.state.group("south").unwrap().term;
    for number in 21..23 {
        world.apply(&Command::RegisterVm(vm(number, 1, "south")));
    }
    world.run(Duration::from_secs(3));
    for number in 21..23 {
        world.seal(number, 1, term);
    }
    world.run(Duration::from_millis(1500));
    assert_eq!(world.state.group("south").unwrap().term, term);
    for number in 20..23 {
        world.seal(number, 1, term);
    }
    assert_eq!(members(&world, "south"), 3);
}

#[test]
fn first_homes_are_in_proportion_to_slots_by_side() {
    let mut world = World::new();
    world.submit(|bundle| {
        bundle.services[0].shards = 400;
        bundle.services[0].new_percent = 50;
    });
    world.slots = [("east", (30, 10)), ("north", (10, 0)), ("west", (0, 30))].into();
    world.run(Duration::from_millis(2900));
    assert!(
        world.homes().is_empty(),
        "a domain without targets of a side is waited for"
    );
    world.run(Duration::from_secs(1));
    let service = world.service();
    let mut counts: BTreeMap<(Box<str>, Side), usize> = BTreeMap::new();
    for (index, home) in world.state.homes("berths").unwrap().iter() {
        assert!(!home.moved);
        *counts
            .entry((home.domain.clone(), service.side_of(index)))
            .or_default() += 1;
    }
    let count = |domain: &str, side| counts.get(&(domain.into(), side)).copied().unwrap_or(0);
    let old = count("east", Side::Old) + count("north", Side::Old);
    assert_eq!(
        (count("west", Side::Old), count("north", Side::New)),
        (0, 0)
    );
    assert!(count("east", Side::Old).abs_diff(old * 3 / 4) <= 1);
    let new = count("east", Side::New) + count("west", Side::New);
    assert!(count("west", Side::New).abs_diff(new * 3 / 4) <= 1);
    assert_eq!(old + new, 400);
}

#[test]
fn nothing_is_proposed_while_nothing_changes() {
    let mut world = World::running(|_| {});
    world.run(Duration::from_secs(60));
    assert_eq!(world.proposed, []);
    world.elect_again();
    world.run(Duration::from_secs(60));
    assert_eq!(world.proposed, []);
}

/// Two domains own a shard if it moves before its home has released it.
#[test]
fn a_home_without_targets_releases_before_the_shard_moves() {
    let mut world = World::running(|_| {});
    world.slots.insert("east", (0, 0));
    let wait = world.until_proposal(Duration::from_secs(10)).unwrap();
    assert_eq!(wait, Duration::from_secs(5) + STEP);
    let asked: Vec<Home> = world
        .homes()
        .into_iter()
        .filter(|h| &*h.domain == "east")
        .collect();
    assert!(!asked.is_empty() && asked.iter().all(|home| home.next.is_some()));
    let since = asked[0].since;
    // Reports about an earlier or a later home do not count.
    world.parked.insert(
        "east",
        (0..8)
            .flat_map(|i| [(i, since - 1), (i, since + 1)])
            .collect(),
    );
    world.run(Duration::from_secs(20));
    assert_eq!(world.count("east"), asked.len());
    world.parked.insert("east", vec![(0, since)]);
    world.run(STEP);
    assert_eq!(world.count("east"), asked.len() - 1);
    let home = world.state.home("berths", 0).unwrap();
    assert!(home.moved && home.next.is_none() && home.since > since);
    assert!(
        world.planner.renews_lease("east"),
        "a move by consent does not stop the renewal"
    );
}

/// If no other domain can serve any more, a parked shard goes back, under a new `since`.
#[test]
fn a_parked_shard_returns_if_only_its_home_can_serve() {
    let mut world = World::running(|_| {});
    let since = world.state.home("berths", 0).unwrap().since;
    world.slots.insert("east", (0, 0));
    world.until_proposal(Duration::from_secs(10)).unwrap();
    world.slots = [("east", (6, 0))].into();
    world.run(Duration::from_secs(3));
    world.parked.insert("east", vec![(0, since)]);
    world.run(STEP);
    let home = world.state.home("berths", 0).unwrap();
    assert_eq!(
        (&*home.domain, home.moved, &home.next),
        ("east", false, &None)
    );
    assert!(home.since > since);
}

/// Lease 10 s, a tenth for drift, VM lease 0.5 s, deadline 1 s and margin 0.5 s.
const AWAY: Duration = Duration::from_secs(13);

#[rstest]
#[case::new_leader(true)]
#[case::same_leader(false)]
fn a_silent_domain_keeps_its_shards_until_every_lease_has_run_out(#[case] elected: bool) {
    let mut world = World::running(|_| {});
    world.slots.remove("east");
    if elected {
        world.run(Duration::from_secs(9));
        world.elect_again();
    }
    let wait = world.until_proposal(Duration::from_secs(60)).unwrap();
    assert_eq!(wait, AWAY);
    assert_eq!(world.count("east"), 0);
    assert!(world.homes().iter().all(|home| home.next.is_none()));
    // The domain returns and takes nothing back: the others are not imbalanced enough.
    world.proposed.clear();
    world.slots.insert("east", (1, 0));
    world.run(Duration::from_secs(60));
    assert_eq!(world.proposed, []);
    assert!(world.planner.renews_lease("east"));
}

/// While a move may still take effect, a renewal would let the domain serve on.
#[test]
fn a_domain_is_not_renewed_while_its_shards_are_being_taken() {
    let mut world = World::running(|_| {});
    world.slots.remove("east");
    world.run(AWAY - STEP);
    world.commits = false;
    world.run(STEP);
    let taken = world.proposed.clone();
    assert!(matches!(&taken[..], [Command::SetHomes { .. }]));
    world.report("east", (6, 0));
    assert!(!world.planner.renews_lease("east"));
    world.run(Duration::from_secs(2));
    world.report("east", (6, 0));
    assert!(!world.planner.renews_lease("east"));
    assert!(
        world.proposed.iter().all(|again| *again == taken[0]),
        "repeated alike"
    );
    world.commits = true;
    world.apply(&taken[0]);
    world.report("east", (6, 0));
    assert!(world.planner.renews_lease("east"));
}

#[test]
fn only_the_leader_of_the_standing_group_is_renewed() {
    let mut world = World::running(|_| {});
    let report = |term| {
        PlannerEvent::Report(DomainReport {
            domain: "east".into(),
            term,
            ..DomainReport::default()
        })
    };
    let term = world.state.group("east").unwrap().term;
    world.event(report(term - 1));
    assert!(!world.planner.renews_lease("east"));
    world.event(report(term));
    assert!(world.planner.renews_lease("east"));
    world.event(PlannerEvent::SteppedDown);
    world.event(report(term));
    assert!(!world.planner.renews_lease("east"));
}

/// A cut-off domain follows the lease of the bundle it has, not that of the standing one.
#[rstest]
#[case::in_force(None, Some(AWAY))]
#[case::older_bundle_in_force(Some(1), Some(AWAY + Duration::from_secs(11)))]
fn the_lease_of_the_bundle_in_force_counts(
    #[case] reported: Option<u64>,
    #[case] expected: Option<Duration>,
) {
    let mut world = World::running(|bundle| {
        bundle.services[0].domain_lease = Some(Duration::from_secs(20));
    });
    world.bundle = reported;
    world.submit(|bundle| bundle.services[0].domain_lease = Some(Duration::from_secs(10)));
    world.run(Duration::from_secs(2));
    world.slots.remove("east");
    // The knowledge is replicated: a new leader has it too.
    world.elect_again();
    assert_eq!(world.until_proposal(Duration::from_secs(60)), expected);
}

/// The replaced group may have served by an older bundle without a lease until it was replaced.
#[test]
fn a_replacing_group_has_a_full_lease_from_its_formation() {
    let mut world = World::running(|bundle| bundle.services[0].domain_lease = None);
    let term = world.state.group("east").unwrap().term;
    world.slots.remove("east");
    world.submit(|bundle| bundle.services[0].domain_lease = Some(Duration::from_secs(10)));
    world.run(Duration::from_secs(2));
    assert_eq!(world.until_proposal(Duration::from_secs(60)), None);
    for number in 0..3 {
        world.seal(number, 1, term);
    }
    assert!(world.state.group("east").unwrap().recreated);
    let wait = world.until_proposal(Duration::from_secs(60));
    assert_eq!(wait, Some(AWAY + STEP));
}

/// Without a domain lease the domain serves on, so only an operator's word moves its shards.
#[test]
fn without_a_domain_lease_only_declared_loss_moves_shards() {
    let mut world = World::running(|bundle| bundle.services[0].domain_lease = None);
    world.slots.remove("east");
    assert_eq!(world.until_proposal(Duration::from_secs(3600)), None);
    let (lost, back) = (lost("east"), returned("east"));
    world.apply(&lost);
    world.run(Duration::from_millis(1500));
    // Declared again, the wait starts again.
    world.apply(&back);
    world.apply(&lost);
    // VM lease 0.5 s, deadline 1 s and margin 0.5 s, from the first step that sees it.
    let wait = world.until_proposal(Duration::from_secs(60)).unwrap();
    assert_eq!(wait, Duration::from_secs(2) + STEP);
    assert_eq!(world.count("east"), 0);
    world.report("east", (6, 0));
    assert!(!world.planner.renews_lease("east"));
}

/// Requests for a key use its old and its new shard until the change is in force everywhere.
#[test]
fn hot_keys_stay_with_the_shard_they_hash_to() {
    let hot = |keys: &'static [&'static str]| {
        move |bundle: &mut Bundle| {
            bundle.services[0].hot_keys = keys.iter().map(|key| (*key).into()).collect();
        }
    };
    let mut world = World::running(hot(&["pier-3", "pier-4"]));
    let joined = |world: &World| {
        let service = world.service();
        let domain = |index| {
            world
                .state
                .home("berths", index)
                .map(|home| home.domain.clone())
        };
        let hot = service.hot_keys.iter();
        hot.zip(service.shards..).all(|(key, index)| {
            domain(index).is_some() && domain(index) == domain(service.hashed_shard(key))
        })
    };
    assert!(joined(&world));
    let names: Vec<String> = (0..20).map(|i| format!("quay-{i}")).collect();
    for name in names {
        world.submit(move |bundle| {
            bundle.services[0].hot_keys = vec!["pier-4".into(), name.as_str().into()]
        });
        for _ in 0..4 {
            world.run(Duration::from_millis(600));
            // Domains release what they are asked to.
            for domain in ["east", "north", "west"] {
                let homes = world.state.homes("berths").unwrap();
                let asked = homes
                    .iter()
                    .filter(|(_, h)| &*h.domain == domain && h.next.is_some());
                let parked = asked.map(|(index, home)| (index, home.since)).collect();
                world.parked.insert(domain, parked);
            }
        }
        assert!(joined(&world));
    }
}

/// Moves cost churn, so they need a lasting imbalance and weights that allow them.
#[rstest]
#[case(1.0, 1.0, true)]
#[case(1.0, 2.0, false)]
fn a_lasting_imbalance_moves_shards_if_weights_allow(
    #[case] imbalance: f64,
    #[case] churn: f64,
    #[case] moves: bool,
) {
    let mut world = World::running(|bundle| {
        let service = &mut bundle.services[0];
        service.shards = 120;
        service.weights.imbalance = imbalance;
        service.weights.churn = churn;
    });
    world.slots.insert("east", (60, 0));
    world.run(Duration::from_secs(9));
    assert_eq!(world.proposed, []);
    let wait = world.until_proposal(Duration::from_secs(60));
    assert_eq!(wait.is_some(), moves);
    if moves {
        let Some(Command::SetHomes { changes, .. }) = world.proposed.first() else {
            panic!("{:?}", world.proposed);
        };
        let to_east = |change: &HomeChange| &*change.to == "east" && !change.immediate;
        assert!(changes.iter().all(to_east));
        // 120 shards over 60, 6 and 6 slots: 100, 10 and 10.
        assert_eq!(changes.len(), 60);
    }
}

/// A large service is given homes in several commands of bounded size.
#[test]
fn commands_stay_small() {
    let mut world = World::new();
    world.submit(|bundle| bundle.services[0].shards = 20_000);
    world.slots = [("east", (6, 0)), ("north", (6, 0)), ("west", (6, 0))].into();
    world.run(Duration::from_secs(1));
    assert_eq!(world.homes().len(), 20_000);
    let largest = world.proposed.iter().map(|command| match command {
        Command::SetHomes { changes, .. } => changes.len(),
        _ => 0,
    });
    assert_eq!(largest.max(), Some(4096));
    let runs = world.state.homes("berths").unwrap().ranges().len();
    assert!(runs <= 20, "{runs} runs");
}
