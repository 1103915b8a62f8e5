//! Failures of control voters, and conflicting bundles, with real processes.

#![allow(clippy::unwrap_used)]

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use camphordale_standin::fleet::{
    Fleet,
    OPERATOR_PORT,
    VmLocation,
    get_json, //
};
use serde_json::Value;

mod support;

use support::{
    Deployment,
    FIRST_VM,
    KEYED_SERVICE,
    STEP_TIMEOUT,
    wait_for, //
};

/// Maximum time, by the design, until an accepted bundle is in force on all VMs.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(12);

fn voter(domain: u8) -> VmLocation {
    VmLocation { domain, vm: 1 }
}

/// Returns services with a deadline of `ms`, which makes bundles differ.
fn services(ms: u64) -> String {
    KEYED_SERVICE.replace("deadline: 1s", &format!("deadline: {ms}ms"))
}

/// Submits a signed bundle repeatedly until it is accepted, as an operator does who gets no
/// response. Returns the accepted version and the time that this took.
fn submit(fleet: &mut Fleet, text: &str, to: VmLocation, limit: Duration) -> (u64, Duration) {
    let signed = fleet.sign(text).unwrap();
    let started = Instant::now();
    loop {
        match fleet.submit_signed(&signed, to) {
            Ok(response) => return (response["version"].as_u64().unwrap(), started.elapsed()),
            Err(err) => assert!(started.elapsed() < limit, "{err}"),
        }
        thread::sleep(Duration::from_millis(50));
    }
}

fn members(fleet: &Fleet, at: VmLocation) -> Option<Value> {
    get_json(fleet.address(at, OPERATOR_PORT), "/v1/members").ok()
}

/// Guards against two bundles of the same version in force, and against a conflict response that
/// does not name the accepted one.
#[test]
fn only_one_of_two_bundles_with_the_same_version_is_accepted() {
    let mut deployment = Deployment::start("race", 3, 1);
    let (version, _) = submit(&mut deployment.fleet, KEYED_SERVICE, FIRST_VM, STEP_TIMEOUT);
    deployment
        .fleet
        .wait_for_bundle(version, IN_FORCE_TIMEOUT)
        .unwrap();
    for round in 0..5 {
        let bundles = [
            deployment.fleet.sign(&services(1_100 + round)),
            deployment.fleet.sign(&services(1_200 + round)),
        ];
        let bundles = bundles.map(Result::unwrap);
        let posted: Vec<_> = bundles
            .iter()
            .zip([voter(1), voter(2)])
            .map(|(signed, to)| {
                let to = deployment.fleet.address(to, OPERATOR_PORT);
                let signed = signed.clone();
                thread::spawn(move || support::post_bundle(to, &signed))
            })
            .collect();
        let responses: Vec<(u16, Value)> = posted.into_iter().map(|t| t.join().unwrap()).collect();
        let mut statuses: Vec<u16> = responses.iter().map(|(status, _)| *status).collect();
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409], "{responses:?}");
        let winner = responses
            .iter()
            .position(|(status, _)| *status == 200)
            .unwrap();
        let digest = &responses[winner].1["digest"];
        assert_eq!(&responses[1 - winner].1["standing_digest"], digest);
        // The accepted bundle is submitted again to another VM, as after a lost response.
        let again = deployment
            .fleet
            .submit_signed(&bundles[winner], voter(3))
            .unwrap();
        assert_eq!(&again["digest"], digest);
        let version = again["version"].as_u64().unwrap();
        let took = deployment
            .fleet
            .wait_for_bundle(version, IN_FORCE_TIMEOUT)
            .unwrap();
        println!(
            "race: round {round}, in force after {} ms",
            took.as_millis()
        );
        for domain in 1..=3 {
            let at = deployment.fleet.address(voter(domain), OPERATOR_PORT);
            let status = get_json(at, "/v1/status").unwrap();
            assert_eq!(&status["bundle_digest"], digest);
        }
        // The other bundle is refused also when it is submitted again.
        let to = deployment.fleet.address(voter(3), OPERATOR_PORT);
        assert_eq!(support::post_bundle(to, &bundles[1 - winner]).0, 409);
    }
}

/// Guards against a control group that accepts no bundle after the loss of one voter.
#[test]
fn bundles_are_accepted_with_one_voter_lost() {
    let mut deployment = Deployment::start("voter", 3, 1);
    let (version, _) = submit(&mut deployment.fleet, KEYED_SERVICE, FIRST_VM, STEP_TIMEOUT);
    deployment
        .fleet
        .wait_for_bundle(version, IN_FORCE_TIMEOUT)
        .unwrap();
    let leader = members(&deployment.fleet, FIRST_VM).unwrap();
    println!("voter: {leader}");
    let lost = leader_of(&leader);
    deployment.fleet.kill_daemon(lost);
    let left = voter(if lost.domain == 1 { 2 } else { 1 });
    let (version, took) = submit(&mut deployment.fleet, &services(1_100), left, STEP_TIMEOUT);
    println!(
        "voter: accepted {} ms after the leader was killed",
        took.as_millis()
    );
    let took = deployment
        .fleet
        .wait_for_bundle(version, IN_FORCE_TIMEOUT)
        .unwrap();
    println!("voter: in force after {} ms", took.as_millis());
    deployment.fleet.start_daemon(lost).unwrap();
    let took = deployment
        .fleet
        .wait_for_bundle(version, IN_FORCE_TIMEOUT)
        .unwrap();
    println!(
        "voter: in force on the restarted VM after {} ms",
        took.as_millis()
    );
}

fn leader_of(members: &Value) -> VmLocation {
    let number = members["leader"].as_u64();
    let number = number.unwrap_or_else(|| panic!("no leader in {members}"));
    voter((number / 10) as u8)
}

/// Guards against a repair that is reported as finished before the new voter counts for the quorum:
/// the group must survive the loss of a second voter right after it.
#[test]
fn the_group_survives_the_loss_of_a_second_voter_after_a_repair() {
    let mut deployment = Deployment::start("repair", 3, 1);
    let (version, _) = submit(&mut deployment.fleet, KEYED_SERVICE, FIRST_VM, STEP_TIMEOUT);
    deployment
        .fleet
        .wait_for_bundle(version, IN_FORCE_TIMEOUT)
        .unwrap();
    let lost = voter(3);
    deployment.fleet.kill_daemon(lost);
    deployment.fleet.remove_data(lost).unwrap();
    deployment.fleet.start_daemon(lost).unwrap();
    let before = support::control_voters(&deployment.fleet, FIRST_VM).unwrap();
    let (after, took) = wait_for("the repair", STEP_TIMEOUT, || {
        let voters = support::control_voters(&deployment.fleet, FIRST_VM)?;
        let repaired = voters.len() == 3 && voters != before;
        repaired.then_some(voters)
    });
    println!(
        "repair: {before:?} -> {after:?} after {} ms",
        took.as_millis()
    );
    deployment.fleet.kill_daemon(voter(2));
    let (version, took) = submit(
        &mut deployment.fleet,
        &services(1_100),
        FIRST_VM,
        STEP_TIMEOUT,
    );
    println!(
        "repair: accepted {} ms after the second loss",
        took.as_millis()
    );
    let took = deployment
        .fleet
        .wait_for_bundle(version, IN_FORCE_TIMEOUT)
        .unwrap();
    println!("repair: in force after {} ms", took.as_millis());
}

/// Guards against state that is lost when all voters restart, and against a VM that puts an older
/// bundle in force after the restart. 300 bundles make the log large.
#[test]
fn state_survives_a_restart_of_all_voters() {
    let mut deployment = Deployment::start("restart", 3, 1);
    let started = Instant::now();
    let mut last = 0;
    for i in 0..300 {
        (last, _) = submit(
            &mut deployment.fleet,
            &services(1_000 + i),
            FIRST_VM,
            STEP_TIMEOUT,
        );
    }
    println!(
        "restart: {last} bundles in {} ms",
        started.elapsed().as_millis()
    );
    assert_eq!(last, 300);
    deployment
        .fleet
        .wait_for_bundle(last, IN_FORCE_TIMEOUT)
        .unwrap();
    let homes = |deployment: &Deployment| {
        let at = deployment.fleet.address(FIRST_VM, OPERATOR_PORT);
        get_json(at, "/v1/shards?service=holds").map(|shards| {
            let list = shards.as_array().unwrap().iter();
            list.map(|s| s["home"].clone()).collect::<Vec<_>>()
        })
    };
    let before = homes(&deployment).unwrap();
    for domain in 1..=3 {
        deployment.fleet.kill_daemon(voter(domain));
    }
    for domain in 1..=3 {
        deployment.fleet.start_daemon(voter(domain)).unwrap();
    }
    let started = Instant::now();
    let mut seen = Vec::new();
    wait_for("the last bundle on all VMs", IN_FORCE_TIMEOUT, || {
        let mut done = true;
        for domain in 1..=3 {
            let at = deployment.fleet.address(voter(domain), OPERATOR_PORT);
            let status = get_json(at, "/v1/status").ok();
            let version = status.and_then(|status| status["bundle_version"].as_u64());
            seen.extend(version.filter(|&version| version > 0));
            done &= version == Some(last);
        }
        done.then_some(())
    });
    println!(
        "restart: in force after {} ms",
        started.elapsed().as_millis()
    );
    assert!(seen.iter().all(|&version| version == last), "{seen:?}");
    let (_, took) = wait_for("the homes", STEP_TIMEOUT, || {
        homes(&deployment)
            .ok()
            .filter(|now| *now == before)
            .map(|_| ())
    });
    println!("restart: homes are back after {} ms more", took.as_millis());
    let (version, took) = submit(&mut deployment.fleet, KEYED_SERVICE, voter(2), STEP_TIMEOUT);
    println!(
        "restart: version {version} accepted after {} ms",
        took.as_millis()
    );
    deployment
        .fleet
        .wait_for_bundle(version, IN_FORCE_TIMEOUT)
        .unwrap();
}
