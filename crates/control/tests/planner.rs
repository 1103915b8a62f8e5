//! Tests of single rules of the planner on a simulated clock.

mod common;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_control::{
    Command,
    DomainReport,
    EvacuationOrder,
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
    declare_lost,
    evacuate,
    next_bundle,
    operators,
    return_domain,
    submission,
    vm, //
};
use rstest::rstest;

/// Time between two steps.
const STEP: Duration = Duration::from_millis(50);

/// A control leader whose proposals are applied immediately, and domains that report at every step.
struct World {
    state: State,
    planner: Planner,
    index: u64,
    now: Duration,
    /// Slots for the service `berths` by domain and side; a domain that is missing does not report.
    slots: BTreeMap<&'static str, (u32, u32)>,
    parked: BTreeMap<&'static str, Vec<(u32, u64)>>,
    /// Bundle version in the reports; `None` for the latest one.
    bundle: Option<u64>,
    /// Whether proposals are applied.
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

    /// Like `new`, with a bundle and reports from all domains, and runs until all shards have
    /// homes.
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
        let latest = self
            .state
            .latest_bundle_id()
            .map_or(0, |(version, _)| version);
        let sides = [(Side::Old, slots.0), (Side::New, slots.1)];
        let report = DomainReport {
            domain: domain.into(),
            term: group.term,
            bundle: self.bundle.unwrap_or(latest),
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

    /// Runs until a command is proposed and returns how long that took.
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

    fn change_leader(&mut self) {
        self.event(PlannerEvent::SteppedDown);
        self.event(PlannerEvent::Elected);
    }
}

fn members(world: &World, domain: &str) -> usize {
    let group = world.state.group(domain);
    group.map_or(0, |group| group.members.len())
}

/// A group that is formed too early is too small to tolerate a failure; a domain with few VMs must
/// still get a group after `form_wait`.
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
fn a_proposal_without_effect_is_repeated_after_the_retry_interval() {
    let mut world = World::new();
    world.apply(&Command::RegisterVm(vm(20, 1, "south")));
    world.commits = false;
    world.proposed.clear();
    world.run(Duration::from_secs(1) + Duration::from_millis(1600));
    assert_eq!(world.proposed.len(), 4, "at 1.05, 1.55, 2.05 and 2.55 s");
}

/// VMs that sealed a term take no part in it again, so a healthy group must not be sealed.
#[test]
fn sealing_starts_after_two_seconds_without_a_report() {
    let mut world = World::running(|_| {});
    let term = world.state.group("east").unwrap().term;
    let last_report = world.now;
    world.slots.remove("east");
    while world.now < last_report + Duration::from_millis(1950) {
        assert_eq!(world.planner.sealing_term("east"), None);
        world.run(STEP);
    }
    world.run(STEP);
    assert_eq!(world.planner.sealing_term("east"), Some(term));
    assert_eq!(world.planner.sealing_term("west"), None);
    world.report("east", (6, 0));
    assert_eq!(world.planner.sealing_term("east"), None);
    world.run(Duration::from_secs(3));
    assert_eq!(world.planner.sealing_term("east"), Some(term));
    // A new leader does not know when the last report arrived.
    world.change_leader();
    assert_eq!(world.planner.sealing_term("east"), None);
    world.run(Duration::from_secs(2));
    assert_eq!(world.planner.sealing_term("east"), Some(term));
}

/// State of VM 0, 1 or 2 of the domain after the group lost its leader.
#[derive(Clone, Copy, PartialEq)]
enum VmState {
    Sealed,
    Unreachable,
    /// Restarted and sealed.
    Restarted,
    /// Restarted; only the previous incarnation had sealed.
    RestartedUnsealed,
    Removed,
}

use VmState::{
    Removed,
    Restarted,
    RestartedUnsealed,
    Sealed,
    Unreachable, //
};

/// Replacing a group that could still have a quorum would allow two groups to commit.
#[rstest]
#[case([Sealed, Sealed, Sealed], true)]
#[case([Sealed, Sealed, Unreachable], true)]
#[case([Sealed, Unreachable, Unreachable], false)]
#[case([Restarted, Restarted, Restarted], true)]
#[case([Restarted, Sealed, Unreachable], true)]
#[case([Restarted, Unreachable, Unreachable], false)]
#[case([Restarted, RestartedUnsealed, RestartedUnsealed], false)]
#[case([Restarted, Sealed, RestartedUnsealed], true)]
#[case([Sealed, Removed, Removed], true)]
#[case([Sealed, Removed, Unreachable], true)]
#[case([Unreachable, Removed, Removed], false)]
#[case([Removed, Removed, Removed], false)]
fn a_group_is_replaced_only_without_a_possible_quorum(
    #[case] vms: [VmState; 3],
    #[case] replaced: bool,
) {
    let mut world = World::running(|_| {});
    world.slots.remove("east");
    let term = world.state.group("east").unwrap().term;
    world.run(Duration::from_secs(3));
    for (number, vm_state) in (0..).zip(vms) {
        match vm_state {
            Unreachable => {}
            Sealed => world.seal(number, 1, term),
            Removed => {
                world.apply(&Command::RemoveVm {
                    vm: number,
                    by: "a".into(),
                    at: 0,
                });
            }
            Restarted | RestartedUnsealed => {
                world.seal(number, 1, term);
                world.apply(&Command::RegisterVm(vm(number, 2, "east")));
                world.seal(number, if vm_state == Restarted { 2 } else { 1 }, term);
            }
        }
    }
    world.run(Duration::from_millis(1500));
    let group = world.state.group("east").unwrap();
    assert_eq!(group.term != term, replaced);
    assert_eq!(group.recreated, replaced);
}

/// A group formed with one member can commit with that member alone, even if others joined later.
#[test]
fn a_group_formed_with_one_member_is_replaced_only_after_every_seal() {
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
        "the planner must wait for domains that have no targets of a side"
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
    world.change_leader();
    world.run(Duration::from_secs(60));
    assert_eq!(world.proposed, []);
}

/// Two domains would own a shard that moved before its home had released it.
#[test]
fn a_shard_moves_only_after_a_home_without_targets_released_it() {
    let mut world = World::running(|_| {});
    world.slots.insert("east", (0, 0));
    let wait = world.until_proposal(Duration::from_secs(10)).unwrap();
    assert_eq!(wait, Duration::from_secs(5) + STEP);
    let requested: Vec<Home> = world
        .homes()
        .into_iter()
        .filter(|h| &*h.domain == "east")
        .collect();
    assert!(!requested.is_empty() && requested.iter().all(|home| home.next.is_some()));
    let since = requested[0].since;
    // Reports for an earlier or a later home are ignored.
    world.parked.insert(
        "east",
        (0..8)
            .flat_map(|i| [(i, since - 1), (i, since + 1)])
            .collect(),
    );
    world.run(Duration::from_secs(20));
    assert_eq!(world.count("east"), requested.len());
    world.parked.insert("east", vec![(0, since)]);
    world.run(STEP);
    assert_eq!(world.count("east"), requested.len() - 1);
    let home = world.state.home("berths", 0).unwrap();
    assert!(home.moved && home.next.is_none() && home.since > since);
    assert!(
        world.planner.renews_lease("east"),
        "the lease must still be renewed after a move of a released shard"
    );
}

/// If no other domain can serve any more, a parked shard returns to its home with a new `since`.
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

/// Domain lease 10 s, a tenth of it for clock drift, VM lease 0.5 s, deadline 1 s and margin 0.5 s.
const LOSS_TIMEOUT: Duration = Duration::from_secs(13);

#[rstest]
#[case::new_leader(true)]
#[case::same_leader(false)]
fn an_unreachable_domain_keeps_its_shards_until_all_leases_have_expired(#[case] elected: bool) {
    let mut world = World::running(|_| {});
    world.slots.remove("east");
    if elected {
        world.run(Duration::from_secs(9));
        world.change_leader();
    }
    let wait = world.until_proposal(Duration::from_secs(60)).unwrap();
    assert_eq!(wait, LOSS_TIMEOUT);
    assert_eq!(world.count("east"), 0);
    assert!(world.homes().iter().all(|home| home.next.is_none()));
    // The domain returns, but no shards move back: the imbalance is below the threshold.
    world.proposed.clear();
    world.slots.insert("east", (1, 0));
    world.run(Duration::from_secs(60));
    assert_eq!(world.proposed, []);
    assert!(world.planner.renews_lease("east"));
}

/// A renewal while a move may still take effect would let the domain keep serving the shard.
#[test]
fn a_domain_lease_is_not_renewed_while_its_shards_are_moved_away() {
    let mut world = World::running(|_| {});
    world.slots.remove("east");
    world.run(LOSS_TIMEOUT - STEP);
    world.commits = false;
    world.run(STEP);
    let proposed = world.proposed.clone();
    assert!(matches!(&proposed[..], [Command::SetHomes { .. }]));
    world.report("east", (6, 0));
    assert!(!world.planner.renews_lease("east"));
    world.run(Duration::from_secs(2));
    world.report("east", (6, 0));
    assert!(!world.planner.renews_lease("east"));
    assert!(
        world.proposed.iter().all(|command| *command == proposed[0]),
        "the repeated command must be identical"
    );
    world.commits = true;
    world.apply(&proposed[0]);
    world.report("east", (6, 0));
    assert!(world.planner.renews_lease("east"));
}

#[test]
fn only_the_leader_of_the_current_group_gets_a_renewal() {
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

/// A partitioned domain follows the domain lease of the bundle it has, not that of the latest one.
#[rstest]
#[case::in_force(None, Some(LOSS_TIMEOUT))]
#[case::older_bundle_in_force(Some(1), Some(LOSS_TIMEOUT + Duration::from_secs(11)))]
fn the_domain_lease_of_the_bundle_in_force_applies(
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
    // The version in force is replicated, so a new leader has it too.
    world.change_leader();
    assert_eq!(world.until_proposal(Duration::from_secs(60)), expected);
}

/// Until it was replaced, the old group may have served under an older bundle without a domain
/// lease.
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
    assert_eq!(wait, Some(LOSS_TIMEOUT + STEP));
}

/// Without a domain lease the domain keeps serving, so its shards move only after an operator
/// declares it lost.
#[test]
fn without_a_domain_lease_only_a_declared_loss_moves_shards() {
    let mut world = World::running(|bundle| bundle.services[0].domain_lease = None);
    world.slots.remove("east");
    assert_eq!(world.until_proposal(Duration::from_secs(3600)), None);
    let (declare, readmit) = (declare_lost("east"), return_domain("east"));
    world.apply(&declare);
    world.run(Duration::from_millis(1500));
    // A second declaration restarts the wait.
    world.apply(&readmit);
    world.apply(&declare);
    // VM lease 0.5 s, deadline 1 s and margin 0.5 s, from the first step that sees it.
    let wait = world.until_proposal(Duration::from_secs(60)).unwrap();
    assert_eq!(wait, Duration::from_secs(2) + STEP);
    assert_eq!(world.count("east"), 0);
    world.report("east", (6, 0));
    assert!(!world.planner.renews_lease("east"));
}

/// Requests for a key use its old or its new shard until the change is in force on all VMs, so both
/// must have the same home.
#[test]
fn hot_keys_stay_with_the_shard_they_hash_to() {
    let hot = |keys: &'static [&'static str]| {
        move |bundle: &mut Bundle| {
            bundle.services[0].hot_keys = keys.iter().map(|key| (*key).into()).collect();
        }
    };
    let mut world = World::running(hot(&["pier-3", "pier-4"]));
    let colocated = |world: &World| {
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
    assert!(colocated(&world));
    let names: Vec<String> = (0..20).map(|i| format!("quay-{i}")).collect();
    for name in names {
        world.submit(move |bundle| {
            bundle.services[0].hot_keys = vec!["pier-4".into(), name.as_str().into()]
        });
        for _ in 0..4 {
            world.run(Duration::from_millis(600));
            // Domains release the shards that are requested to move.
            for domain in ["east", "north", "west"] {
                let homes = world.state.homes("berths").unwrap();
                let requested = homes
                    .iter()
                    .filter(|(_, h)| &*h.domain == domain && h.next.is_some());
                let parked = requested.map(|(index, home)| (index, home.since)).collect();
                world.parked.insert(domain, parked);
            }
        }
        assert!(colocated(&world));
    }
}

/// Moves cause churn, so they require a persistent imbalance and weights that allow them.
#[rstest]
#[case(1.0, 1.0, true)]
#[case(1.0, 2.0, false)]
fn a_persistent_imbalance_moves_shards_if_weights_allow(
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

/// The homes of a large service are assigned by several commands of bounded size.
#[test]
fn commands_have_a_bounded_size() {
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
    let ranges = world.state.homes("berths").unwrap().ranges().len();
    assert!(ranges <= 20, "{ranges} ranges");
}

/// The shards of `domain` with a requested move, as its group reports them once it has released
/// them.
fn requested(world: &World, domain: &str) -> Vec<(u32, u64)> {
    let homes = world.state.homes("berths").expect("a service");
    homes
        .iter()
        .filter(|(_, home)| &*home.domain == domain && home.next.is_some())
        .map(|(index, home)| (index, home.since))
        .collect()
}

/// Guards against an evacuation that takes shards from a domain without its release, which would
/// lose idempotency records, that skips the shards of hot keys or of the new side, or that stops
/// with a change of the control leader.
#[test]
fn an_evacuated_domain_releases_all_its_shards_to_other_domains() {
    let mut world = World::new();
    world.submit(|bundle| {
        bundle.services[0].new_percent = 50;
        bundle.services[0].hot_keys = vec!["pier-3".into(), "pier-4".into()];
    });
    world.slots = [("east", (6, 6)), ("north", (6, 6)), ("west", (6, 6))].into();
    world.run(STEP * 4);
    let before = world.count("east");
    assert!(before > 0);
    world.apply(&evacuate("east", EvacuationOrder::Start));
    world.proposed.clear();
    world.run(STEP);
    assert_eq!(requested(&world, "east").len(), before);
    for command in &world.proposed {
        let Command::SetHomes { changes, .. } = command else {
            panic!("{command:?}");
        };
        let planned = |change: &HomeChange| !change.immediate && &*change.to != "east";
        assert!(changes.iter().all(planned), "{changes:?}");
    }
    assert!(world.planner.renews_lease("east"));
    world.change_leader();
    world.parked.insert("east", requested(&world, "east"));
    world.run(Duration::from_secs(4));
    assert_eq!(world.count("east"), 0);
    // It stays empty, also when the others are imbalanced and have few slots.
    world.slots = [("east", (600, 600)), ("north", (1, 1)), ("west", (6, 6))].into();
    world.run(Duration::from_secs(60));
    assert_eq!(world.count("east"), 0);
}

/// Guards against first homes, shards of lost domains and released shards that are placed in a
/// domain under evacuation.
#[test]
fn no_shard_is_placed_in_an_evacuated_domain() {
    let mut world = World::new();
    world.apply(&evacuate("east", EvacuationOrder::Start));
    world.submit(|_| {});
    world.slots = [("east", (60, 0)), ("north", (6, 0)), ("west", (6, 0))].into();
    // The domain is not waited for, unlike one that has not reported targets yet.
    world.run(STEP * 4);
    let shards = world.service().shard_count() as usize;
    assert_eq!(world.homes().len(), shards);
    assert_eq!(world.count("east"), 0);
    // Shards that north releases were to go to west, which is evacuated meanwhile.
    world.slots.insert("north", (0, 0));
    world.until_proposal(Duration::from_secs(10)).unwrap();
    world.apply(&evacuate("west", EvacuationOrder::Start));
    world.slots.insert("north", (6, 0));
    world.parked.insert("north", requested(&world, "north"));
    world.run(STEP * 4);
    assert!(requested(&world, "north").is_empty());
    world.parked.clear();
    world.parked.insert("west", requested(&world, "west"));
    world.run(Duration::from_secs(1));
    assert_eq!(world.count("north"), shards);
    // The only domain that is not under evacuation is lost.
    world.slots.remove("north");
    world.run(Duration::from_secs(60));
    assert_eq!(world.count("north"), shards);
}

/// Guards against moves in circles while every domain is under evacuation, and against a domain
/// that gets no shards after its evacuation has ended.
#[test]
fn a_domain_takes_part_again_after_its_evacuation() {
    let mut world = World::running(|bundle| bundle.services[0].shards = 120);
    let domains = ["east", "north", "west"];
    for domain in domains {
        world.apply(&evacuate(domain, EvacuationOrder::Start));
    }
    world.run(Duration::from_secs(30));
    assert_eq!(world.proposed, []);
    for domain in ["east", "north"] {
        world.apply(&evacuate(domain, EvacuationOrder::End));
    }
    for _ in 0..4 {
        world.parked.insert("west", requested(&world, "west"));
        world.run(STEP);
    }
    assert_eq!((world.count("west"), world.count("east")), (0, 60));
    world.parked.clear();
    world.apply(&evacuate("west", EvacuationOrder::End));
    world.slots.insert("west", (60, 0));
    world.until_proposal(Duration::from_secs(60)).unwrap();
    for domain in ["east", "north"] {
        world.parked.insert(domain, requested(&world, domain));
    }
    world.run(STEP);
    assert_eq!(world.count("west"), 100);
}

/// Guards against a hot key whose shard goes to another domain than the shard to which the key
/// hashes, because one command cannot move all shards of a large service.
#[test]
fn hot_keys_of_a_large_service_leave_an_evacuated_domain_together() {
    let names: Vec<Box<str>> = (0..20).map(|i| format!("quay-{i}").into()).collect();
    let mut world = World::new();
    world.submit(|bundle| {
        bundle.services[0].shards = 20_000;
        bundle.services[0].hot_keys = names.clone();
    });
    world.slots = [("east", (6, 0)), ("north", (6, 0)), ("west", (6, 0))].into();
    world.run(Duration::from_secs(2));
    let before = world.count("east");
    assert!(before > 6_000);
    // Most shards go to west, the last candidate.
    world.slots = [("east", (6, 0)), ("north", (1, 0)), ("west", (60, 0))].into();
    world.run(STEP);
    world.apply(&evacuate("east", EvacuationOrder::Start));
    world.run(Duration::from_secs(2));
    assert_eq!(requested(&world, "east").len(), before);
    let service = world.service();
    let home = |index| world.state.home("berths", index).unwrap();
    for (key, index) in names.iter().zip(service.shards..) {
        let base = home(service.hashed_shard(key));
        assert_eq!(
            (&home(index).domain, &home(index).next),
            (&base.domain, &base.next),
            "{key}"
        );
    }
}
