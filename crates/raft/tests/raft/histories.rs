//! Random histories with faults of every kind.

use std::{
    env,
    time::Instant, //
};

use camphordale_raft::{
    Event,
    MemberId,
    MembershipChange,
    RecoveredState, //
};
use rstest::rstest;

use crate::sim::{
    Sim,
    ms, //
};

/// Histories per case unless `CAMPHORDALE_HISTORIES` says otherwise.
const HISTORIES: u64 = 500;
/// Actions of clients, operators and faults in one history.
const ACTIONS: u32 = 300;
const MOST_NODES: usize = 7;
const LEAST_VOTERS: usize = 3;

/// A member that lost its state, and the member that takes its place.
type Repair = Option<(MemberId, MemberId)>;

/// Guards against any loss of safety under random faults: two leaders in a term, diverging logs,
/// lost acknowledged commands, applied refused commands, stale reads and overlapping leases. At
/// the end of each history the group must work again.
#[rstest]
#[case::three_on_disk(3, false, 1_000_000)]
#[case::five_on_disk(5, false, 2_000_000)]
#[case::seven_on_disk(7, false, 3_000_000)]
#[case::three_in_memory(3, true, 4_000_000)]
#[case::five_in_memory(5, true, 5_000_000)]
fn random_histories_keep_the_invariants(
    #[case] voters: u64,
    #[case] volatile: bool,
    #[case] first: u64,
) {
    let count = env::var("CAMPHORDALE_HISTORIES").ok();
    let count = count
        .and_then(|count| count.parse().ok())
        .unwrap_or(HISTORIES);
    let started = Instant::now();
    let (mut acked, mut restored) = (0, 0);
    for seed in first..first + count {
        let sim = history(seed, voters, volatile);
        acked += sim.acked;
        restored += sim.restored;
    }
    println!(
        "seeds {first}..{}: {acked} entries acknowledged, {restored} snapshots installed, {:?}",
        first + count,
        started.elapsed()
    );
}

/// Guards against the return of faults that only a few seeds reached: a standstill in which only a
/// learner had the complete log, and one in which only a member with its own removal had it.
#[rstest]
#[case(3, true, 4_003_084)]
#[case(5, false, 2_001_647)]
#[case(3, false, 1_000_409)]
#[case(5, true, 5_000_354)]
fn seeds_that_failed_before_pass(#[case] voters: u64, #[case] volatile: bool, #[case] seed: u64) {
    history(seed, voters, volatile);
}

fn history(seed: u64, voters: u64, volatile: bool) -> Sim {
    let mut sim = Sim::new(seed, voters);
    let mut repair = None;
    sim.loss = sim.draw(200);
    sim.twice = sim.draw(200);
    sim.delay = [3_000, 20_000, 100_000][sim.draw(3) as usize];
    for _ in 0..ACTIONS {
        let pause = sim.draw(25);
        sim.run(ms(pause));
        act(&mut sim, volatile, &mut repair);
    }
    sim.cuts.clear();
    // Messages are still lost, and an election may need an answer of every member that is left.
    for _ in 0..1_500 {
        if repair.is_none() {
            break;
        }
        sim.run(ms(20));
        continue_repair(&mut sim, &mut repair);
    }
    assert!(repair.is_none(), "repair does not end");
    sim.settle();
    sim
}

fn act(sim: &mut Sim, volatile: bool, repair: &mut Repair) {
    let ids: Vec<MemberId> = sim.nodes.keys().copied().collect();
    let id = ids[sim.draw(ids.len() as u64) as usize];
    let leader = sim.leader().filter(|_| sim.draw(10) > 0);
    let server = leader.unwrap_or(id);
    match sim.draw(100) {
        0..35 => drop(sim.propose(server)),
        35..50 => drop(sim.ask(server, |id| Event::Read { id })),
        50..65 => continue_repair(sim, repair),
        65..70 => change_members(sim, server, repair),
        70..75 => sim.compact(id),
        75..82 => {
            let other = ids[sim.draw(ids.len() as u64) as usize];
            sim.cuts.insert((id, other));
        }
        82..84 => sim.isolate(server),
        84..88 => sim.cuts.clear(),
        88..92 => {
            let time = 20 + sim.draw(580);
            sim.pause(server, ms(time));
        }
        92..98 if !volatile => {
            if sim.draw(5) == 0 {
                sim.step(id, Event::StorageFailed);
            }
            let down = sim.draw(300);
            sim.crash(id, ms(down));
        }
        _ => {
            // One loss at a time: the next may come as soon as the repair is committed.
            let voters = &sim.members.voters;
            if repair.is_none() && voters.contains(&id) && voters.len() >= LEAST_VOTERS {
                sim.lose(id);
                *repair = Some((id, sim.add(RecoveredState::default())));
            }
        }
    }
}

fn continue_repair(sim: &mut Sim, repair: &mut Repair) {
    let Some((old, new)) = *repair else { return };
    if sim.members.voters.contains(&new) && !sim.members.voters.contains(&old) {
        *repair = None;
        return;
    }
    let Some(leader) = sim.leader() else { return };
    let members = sim.raft(leader).members();
    let change = if members.learners.contains(&new) {
        MembershipChange::Promote(new)
    } else if !members.voters.contains(&new) {
        MembershipChange::AddLearner(new)
    } else {
        MembershipChange::Remove(old)
    };
    sim.change(leader, change);
}

/// Changes the members at random, with live members and at least three voters.
fn change_members(sim: &mut Sim, server: MemberId, repair: &Repair) {
    let Some(raft) = &sim.nodes[&server].raft else {
        return;
    };
    let members = raft.members().clone();
    let ids = sim.nodes.keys().copied();
    let outside: Vec<MemberId> = ids.filter(|id| !members.voters.contains(id)).collect();
    let busy = |id| repair.is_some_and(|(old, new)| id == old || id == new);
    let change = match (sim.draw(4), sim.pick(&outside)) {
        (0, _) if sim.nodes.len() < MOST_NODES => {
            MembershipChange::AddLearner(sim.add(RecoveredState::default()))
        }
        (0 | 1, Some(id)) if !members.learners.contains(&id) => MembershipChange::AddLearner(id),
        (0..3, Some(id)) => MembershipChange::Promote(id),
        (0..3, None) => return,
        _ => {
            let voters: Vec<MemberId> = members.voters.iter().copied().collect();
            match sim.pick(&voters) {
                Some(id) if voters.len() > LEAST_VOTERS && !busy(id) => {
                    MembershipChange::Remove(id)
                }
                _ => return,
            }
        }
    };
    sim.change(server, change);
}
