//! Leases of entry VMs and the bundle in force, under faults between a few VMs.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use camphordale_node::{
    ControlReply,
    EntryEvent, //
};
use rand::Rng;

mod sim;

use sim::{
    Kind,
    Setup,
    Sim,
    ms,
    one_domain, //
};

/// Time in which everything works again after all faults have ended.
const RECOVERY: Duration = Duration::from_secs(25);

/// Returns the seeds of a test: `fast` of them, CAMPHORDALE_HISTORIES of them, or the one in
/// CAMPHORDALE_SEED.
fn seeds(fast: u64) -> std::ops::Range<u64> {
    let one = std::env::var("CAMPHORDALE_SEED").ok();
    if let Some(seed) = one.and_then(|text| text.parse().ok()) {
        return seed..seed + 1;
    }
    let count = std::env::var("CAMPHORDALE_HISTORIES").ok();
    0..count.and_then(|text| text.parse().ok()).unwrap_or(fast)
}

/// Returns a leader and the other entry VMs.
fn leader_and_others(sim: &Sim) -> (u32, Vec<u32>) {
    let leader = sim.domain_leader().unwrap();
    let others = sim.all().into_iter().filter(|&vm| vm != leader).collect();
    (leader, others)
}

/// Makes one random fault, or ends some.
fn fault(sim: &mut Sim) {
    let all = sim.all();
    let vm = all[sim.rng.random_range(0..all.len())];
    let other = all[sim.rng.random_range(0..all.len())];
    match sim.rng.random_range(0..10) {
        0 => sim.isolate(vm),
        1 if vm != other => {
            sim.cuts.insert((vm, other, Kind::All));
        }
        2 | 3 if sim.vms[&vm].run.is_some() => sim.pause(vm),
        4 | 5 => {
            sim.kill(vm);
            sim.start(vm);
        }
        6 => sim.loss = sim.rng.random_range(0..10),
        7 => sim.delay = sim.rng.random_range(1..40),
        8 => {
            if let Some(leader) = sim.control_leader().filter(|l| sim.awake().contains(l)) {
                let signed = sim.next_bundle(leader, 3);
                let command = camphordale_control::Command::SubmitBundle { signed, at: 0 };
                let call = camphordale_node::ControlCall::Execute(command);
                sim.ask(leader, camphordale_node::Call::Control(call));
            }
        }
        _ => sim.cuts.clear(),
    }
    let paused: Vec<u32> = all.into_iter().filter(|vm| sim.vms[vm].paused).collect();
    for vm in paused {
        if sim.rng.random_bool(0.5) {
            sim.resume(vm);
        }
    }
}

/// Guards against a VM that acts on a lease after another session took over its rights, against
/// a lower bundle version in force on a VM than before (across restarts, with and without a
/// saved bundle, with directories from VMs that lag behind), and against a VM that takes part in
/// a term that it sealed. The simulation checks all three after every millisecond.
#[test]
fn random_faults_never_give_rights_to_two_vms() {
    for seed in seeds(16) {
        let mut sim = Sim::serving(seed, one_domain(5, 3), 3);
        for _ in 0..40 {
            fault(&mut sim);
            let time = sim.rng.random_range(20..900);
            sim.advance(ms(time));
        }
        sim.cuts.clear();
        (sim.loss, sim.delay) = (0, 2);
        for vm in sim.all() {
            if sim.vms[&vm].paused {
                sim.resume(vm);
            }
        }
        let took = sim.until("leases after the faults", RECOVERY, Sim::all_leased);
        let highest = sim.in_force.iter().map(|&(_, version)| version).max();
        let all = |sim: &Sim| sim.vms.values().all(|one| Some(one.acted) >= highest);
        let more = sim.until("the newest bundle everywhere", RECOVERY, all);
        println!("seed {seed}: leases after {took} ms, bundle {highest:?} {more} ms later");
    }
}

/// Guards against a VM that goes on with its lease after a pause that was shorter than the
/// lease, or gets it back by answers to renewals from before the pause.
#[test]
fn a_paused_vm_treats_its_lease_as_void() {
    let mut sim = Sim::serving(1, one_domain(3, 3), 2);
    let (leader, others) = leader_and_others(&sim);
    for vm in [others[0], leader] {
        sim.until("leases", RECOVERY, Sim::all_leased);
        let voided = sim.run(vm).holder.voided;
        sim.pause(vm);
        sim.advance(ms(270));
        // Only the answers of before the pause arrive from now on.
        sim.isolate(vm);
        sim.resume(vm);
        sim.advance(ms(12));
        assert_eq!(sim.run(vm).holder.voided, voided + 1);
        assert!(!sim.leased(vm), "VM {vm} kept its lease");
        sim.advance(ms(200));
        assert!(
            !sim.leased(vm),
            "VM {vm} got its lease back without a renewal"
        );
        sim.cuts.clear();
    }
    let took = sim.until("leases again", RECOVERY, Sim::all_leased);
    println!("leases again after {took} ms");
}

/// Guards against requests that are sent under a bundle that the group has replaced: a VM that
/// cannot fetch the newer one gets no lease.
#[test]
fn a_vm_with_an_older_bundle_gets_no_lease() {
    let mut sim = Sim::serving(2, one_domain(5, 3), 2);
    let slow = 5;
    // Datagrams still pass, so the VM asks for its lease and is answered.
    for other in 1..=4 {
        sim.cuts.insert((slow, other, Kind::Calls));
    }
    let voter = sim.control_leader().unwrap();
    let reply = sim.submit(voter, 3);
    assert!(matches!(reply, ControlReply::Applied(_)), "{reply:?}");
    sim.until("bundle 2 on the others", RECOVERY, |sim| {
        (1..=4).all(|vm| sim.vms[&vm].acted == 2)
    });
    sim.advance(ms(600));
    for _ in 0..100 {
        sim.advance(ms(20));
        assert_eq!(sim.vms[&slow].acted, 1);
        assert!(!sim.leased(slow), "a lease under the replaced bundle");
    }
    assert!((1..=4).all(|vm| sim.leased(vm)));
    sim.cuts.clear();
    let took = sim.until("the lease again", RECOVERY, Sim::all_leased);
    println!("lease again after {took} ms");
    assert_eq!(sim.vms[&slow].acted, 2);
}

/// Guards against a cut-off domain leader that goes on granting leases when another leader may
/// exist: it grants nothing later than the least election time after its last contact.
#[test]
fn a_cut_off_leader_grants_nothing_after_its_quorum_time() {
    for seed in seeds(8) {
        let mut sim = Sim::serving(100 + seed, one_domain(3, 3), 2);
        let (leader, others) = leader_and_others(&sim);
        // It still hears from the others, so their renewals reach it.
        for &other in &others {
            sim.cuts.insert((leader, other, Kind::All));
        }
        let cut = sim.now;
        let took = sim.until("another leader", ms(3_000), |sim| {
            let status = |vm: u32| sim.run(vm).entry.status(sim.local(vm)).leader;
            others.iter().any(|&vm| status(vm) == Some(vm))
        });
        sim.advance(ms(2_000));
        // 1 ms for the drift of its clock.
        let grants = sim.grants.iter().filter(|&&(_, by, _)| by == leader);
        let last = grants.map(|&(at, _, _)| at).max().unwrap();
        println!(
            "seed {seed}: last grant {} ms after the cut, another leader after {took} ms",
            last.saturating_sub(cut)
        );
        assert!(last <= cut + 151, "granted {} ms after the cut", last - cut);
        assert!(!sim.leased(leader), "a lease of its own");
    }
}

/// Guards against a VM that takes part in a term that it promised to leave: three VMs that reach
/// only the control group form a new term, and none speaks for the old one again.
#[test]
fn sealed_vms_leave_their_term() {
    let mut setups = one_domain(3, 0);
    setups.extend((11..=13).map(|vm| Setup {
        vm,
        domain: "control",
        entry: false,
        control: true,
    }));
    let mut sim = Sim::serving(3, setups, 2);
    let term = |sim: &Sim, vm| sim.run(vm).entry.status(sim.local(vm)).group_term;
    let old = term(&sim, 1);
    for (a, b) in [(1, 2), (1, 3), (2, 3)] {
        sim.cuts.insert((a, b, Kind::All));
        sim.cuts.insert((b, a, Kind::All));
    }
    let took = sim.until("a seal of all", RECOVERY, |sim| {
        (1..=3)
            .filter(|&vm| sim.run(vm).sealed.values().any(|&term| term >= old))
            .count()
            >= 2
    });
    println!("sealed after {took} ms");
    sim.cuts.clear();
    let took = sim.until("a new term", RECOVERY, |sim| {
        (1..=3).all(|vm| term(sim, vm) > old)
    });
    println!("new term after {took} ms");
    let took = sim.until("leases in the new term", RECOVERY, Sim::all_leased);
    println!("leases after {took} ms");
}

/// Guards against a VM that stays without a lease for good because it sealed the term of a group
/// that lives on: it comes back under a new identity.
#[test]
fn a_vm_that_sealed_a_living_term_comes_back() {
    let mut setups = one_domain(3, 0);
    setups.extend((11..=13).map(|vm| Setup {
        vm,
        domain: "control",
        entry: false,
        control: true,
    }));
    let mut sim = Sim::serving(4, setups, 2);
    let (leader, others) = leader_and_others(&sim);
    let alone = *others.iter().find(|&&vm| vm < 10).unwrap();
    let group: Vec<u32> = (1..=3).filter(|&vm| vm != alone).collect();
    let term = sim.run(leader).entry.status(sim.local(leader)).group_term;
    let first = sim.run(alone).entry.incarnation();
    // The group reaches neither the control group nor the VM, which reaches the control group.
    for &vm in &group {
        for other in [alone, 11, 12, 13] {
            sim.cuts.insert((vm, other, Kind::All));
            sim.cuts.insert((other, vm, Kind::All));
        }
    }
    let took = sim.until("the seal", RECOVERY, |sim| {
        sim.run(alone).sealed.values().any(|&sealed| sealed == term)
    });
    println!("sealed after {took} ms");
    assert!(group.iter().all(|&vm| sim.leased(vm)), "the group lives on");
    sim.cuts.clear();
    let took = sim.until("leases", RECOVERY, Sim::all_leased);
    println!("lease again after {took} ms");
    assert_eq!(
        sim.run(alone).entry.status(sim.local(alone)).group_term,
        term
    );
    assert!(sim.run(alone).entry.incarnation() > first);
}

/// Guards against a VM that gets new rights to send after it gave its lease up for a shutdown:
/// requests forwarded to it would wait there until their deadlines.
#[test]
fn a_vm_that_left_gets_no_rights_again() {
    let mut sim = Sim::serving(3, one_domain(3, 3), 2);
    let (leader, others) = leader_and_others(&sim);
    let gone = others[0];
    sim.entry(gone, EntryEvent::Leave { busy: true });
    sim.entry(gone, EntryEvent::Leave { busy: false });
    let has_session = |sim: &Sim| {
        let state = sim.run(leader).entry.domain_state().unwrap();
        let sends = state.targets().any(|target| target.sender == Some(gone));
        state.vm(gone).is_some() || sends
    };
    sim.until("the end of its session", ms(1_000), |sim| !has_session(sim));
    for _ in 0..300 {
        sim.advance(ms(10));
        assert!(!has_session(&sim), "VM {gone} has a session again");
    }
}
