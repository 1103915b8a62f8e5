//! Failures of the control group and of operators, as real processes.

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
    FIRST,
    KEYED,
    LIMIT,
    Site,
    wait_for, //
};

/// Time for a bundle to be in force everywhere, from the design.
const IN_FORCE: Duration = Duration::from_secs(12);

fn voter(domain: u8) -> VmLocation {
    VmLocation { domain, vm: 1 }
}

/// Returns the services with a deadline of `ms`, to tell bundles apart.
fn services(ms: u64) -> String {
    KEYED.replace("deadline: 1s", &format!("deadline: {ms}ms"))
}

/// Submits until it is accepted, as an operator does who got no answer.
fn submit(fleet: &mut Fleet, text: &str, to: VmLocation, limit: Duration) -> (u64, Duration) {
    let signed = fleet.sign(text).unwrap();
    let began = Instant::now();
    loop {
        match fleet.submit_signed(&signed, to) {
            Ok(answer) => return (answer["version"].as_u64().unwrap(), began.elapsed()),
            Err(err) => assert!(began.elapsed() < limit, "{err}"),
        }
        thread::sleep(Duration::from_millis(50));
    }
}

fn members(fleet: &Fleet, at: VmLocation) -> Option<Value> {
    get_json(fleet.address(at, OPERATOR_PORT), "/v1/members").ok()
}

/// Guards against two bundles with one version in force, and against an operator who is not told
/// which one stands.
#[test]
fn of_two_bundles_with_one_version_one_wins() {
    let mut site = Site::start("race", 3, 1);
    let (version, _) = submit(&mut site.fleet, KEYED, FIRST, LIMIT);
    site.fleet.wait_for_bundle(version, IN_FORCE).unwrap();
    for round in 0..5 {
        let bundles = [
            site.fleet.sign(&services(1_100 + round)),
            site.fleet.sign(&services(1_200 + round)),
        ];
        let bundles = bundles.map(Result::unwrap);
        let posted: Vec<_> = bundles
            .iter()
            .zip([voter(1), voter(2)])
            .map(|(signed, to)| {
                let to = site.fleet.address(to, OPERATOR_PORT);
                let signed = signed.clone();
                thread::spawn(move || support::post_bundle(to, &signed))
            })
            .collect();
        let answers: Vec<(u16, Value)> = posted.into_iter().map(|t| t.join().unwrap()).collect();
        let mut statuses: Vec<u16> = answers.iter().map(|(status, _)| *status).collect();
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409], "{answers:?}");
        let winner = answers
            .iter()
            .position(|(status, _)| *status == 200)
            .unwrap();
        let digest = &answers[winner].1["digest"];
        assert_eq!(&answers[1 - winner].1["standing_digest"], digest);
        // The winner's operator sends it again through another VM, as after a lost answer.
        let again = site
            .fleet
            .submit_signed(&bundles[winner], voter(3))
            .unwrap();
        assert_eq!(&again["digest"], digest);
        let version = again["version"].as_u64().unwrap();
        let took = site.fleet.wait_for_bundle(version, IN_FORCE).unwrap();
        println!(
            "race: round {round}, in force after {} ms",
            took.as_millis()
        );
        for domain in 1..=3 {
            let at = site.fleet.address(voter(domain), OPERATOR_PORT);
            let status = get_json(at, "/v1/status").unwrap();
            assert_eq!(&status["bundle_digest"], digest);
        }
        // The loser is refused also when it comes again.
        let to = site.fleet.address(voter(3), OPERATOR_PORT);
        assert_eq!(support::post_bundle(to, &bundles[1 - winner]).0, 409);
    }
}

/// Guards against a control group that accepts no bundle with one voter lost.
#[test]
fn bundles_are_accepted_with_one_voter_lost() {
    let mut site = Site::start("voter", 3, 1);
    let (version, _) = submit(&mut site.fleet, KEYED, FIRST, LIMIT);
    site.fleet.wait_for_bundle(version, IN_FORCE).unwrap();
    let leader = members(&site.fleet, FIRST).unwrap();
    println!("voter: {leader}");
    let lost = leader_of(&leader);
    site.fleet.kill_daemon(lost);
    let left = voter(if lost.domain == 1 { 2 } else { 1 });
    let (version, took) = submit(&mut site.fleet, &services(1_100), left, LIMIT);
    println!(
        "voter: accepted {} ms after the leader was killed",
        took.as_millis()
    );
    let took = site.fleet.wait_for_bundle(version, IN_FORCE).unwrap();
    println!("voter: in force after {} ms", took.as_millis());
    site.fleet.start_daemon(lost).unwrap();
    let took = site.fleet.wait_for_bundle(version, IN_FORCE).unwrap();
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

/// Guards against a repair that counts as finished before the new voter counts: the loss of a
/// second voter right after it must not stop the group.
#[test]
fn a_second_voter_is_lost_right_after_a_repair() {
    let mut site = Site::start("repair", 3, 1);
    let (version, _) = submit(&mut site.fleet, KEYED, FIRST, LIMIT);
    site.fleet.wait_for_bundle(version, IN_FORCE).unwrap();
    let lost = voter(3);
    site.fleet.kill_daemon(lost);
    site.fleet.remove_data(lost).unwrap();
    site.fleet.start_daemon(lost).unwrap();
    let before = support::voters(&site.fleet, FIRST).unwrap();
    let (after, took) = wait_for("the repair", LIMIT, || {
        let voters = support::voters(&site.fleet, FIRST)?;
        let repaired = voters.len() == 3 && voters != before;
        repaired.then_some(voters)
    });
    println!(
        "repair: {before:?} -> {after:?} after {} ms",
        took.as_millis()
    );
    site.fleet.kill_daemon(voter(2));
    let (version, took) = submit(&mut site.fleet, &services(1_100), FIRST, LIMIT);
    println!(
        "repair: accepted {} ms after the second loss",
        took.as_millis()
    );
    let took = site.fleet.wait_for_bundle(version, IN_FORCE).unwrap();
    println!("repair: in force after {} ms", took.as_millis());
}

/// Guards against state that does not survive a restart of all voters, and against a VM that
/// comes back with an older bundle after hundreds of changes.
#[test]
fn all_voters_restart_after_300_bundles() {
    let mut site = Site::start("restart", 3, 1);
    let began = Instant::now();
    let mut last = 0;
    for i in 0..300 {
        (last, _) = submit(&mut site.fleet, &services(1_000 + i), FIRST, LIMIT);
    }
    println!(
        "restart: {last} bundles in {} ms",
        began.elapsed().as_millis()
    );
    assert_eq!(last, 300);
    site.fleet.wait_for_bundle(last, IN_FORCE).unwrap();
    let homes = |site: &Site| {
        let at = site.fleet.address(FIRST, OPERATOR_PORT);
        get_json(at, "/v1/shards?service=holds").map(|shards| {
            let list = shards.as_array().unwrap().iter();
            list.map(|s| s["home"].clone()).collect::<Vec<_>>()
        })
    };
    let before = homes(&site).unwrap();
    for domain in 1..=3 {
        site.fleet.kill_daemon(voter(domain));
    }
    for domain in 1..=3 {
        site.fleet.start_daemon(voter(domain)).unwrap();
    }
    let began = Instant::now();
    let mut seen = Vec::new();
    wait_for("the last bundle on all VMs", IN_FORCE, || {
        let mut done = true;
        for domain in 1..=3 {
            let at = site.fleet.address(voter(domain), OPERATOR_PORT);
            let status = get_json(at, "/v1/status").ok();
            let version = status.and_then(|status| status["bundle_version"].as_u64());
            seen.extend(version.filter(|&version| version > 0));
            done &= version == Some(last);
        }
        done.then_some(())
    });
    println!("restart: in force after {} ms", began.elapsed().as_millis());
    assert!(seen.iter().all(|&version| version == last), "{seen:?}");
    let (_, took) = wait_for("the homes", LIMIT, || {
        homes(&site).ok().filter(|now| *now == before).map(|_| ())
    });
    println!("restart: homes are back after {} ms more", took.as_millis());
    let (version, took) = submit(&mut site.fleet, KEYED, voter(2), LIMIT);
    println!(
        "restart: version {version} accepted after {} ms",
        took.as_millis()
    );
    site.fleet.wait_for_bundle(version, IN_FORCE).unwrap();
}
