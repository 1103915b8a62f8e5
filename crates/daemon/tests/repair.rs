//! Losses of domain leaders one after the other, with a repair in between.

#![allow(clippy::unwrap_used)]

use std::time::{
    Duration,
    Instant, //
};

use camphordale_standin::fleet::{
    Fleet,
    FleetOptions,
    OPERATOR_PORT,
    Programs,
    VmLocation,
    get_json, //
};

const LIMIT: Duration = Duration::from_secs(15);

/// Time for a restarted VM to be a voter of its domain group again.
const REPAIR: Duration = Duration::from_secs(3);

fn leader(fleet: &Fleet, asked: VmLocation) -> Option<(u64, VmLocation)> {
    let status = get_json(fleet.address(asked, OPERATOR_PORT), "/v1/status").ok()?;
    let number = status["group"]["leader"].as_u64()? as u8;
    let term = status["group"]["term"].as_u64()?;
    let (domain, vm) = (number / 10, number % 10);
    Some((term, VmLocation { domain, vm }))
}

/// Guards against a domain group whose restarted voter does not take the place of its earlier
/// run, so that the loss of a second VM after the repair takes the quorum.
#[test]
fn a_second_leader_is_lost_after_the_first_came_back() {
    let folder = tempfile::tempdir().unwrap();
    let mut fleet = Fleet::start(FleetOptions {
        programs: Programs {
            daemon: env!("CARGO_BIN_EXE_camphordaled").into(),
            target: None,
            link: None,
        },
        folder: folder.path().into(),
        domains: 1,
        vms: 3,
        extra_settings: String::new(),
    })
    .unwrap();
    fleet.wait_for_leader(LIMIT).unwrap();
    let first = VmLocation { domain: 1, vm: 1 };
    let services = "  - {name: a, route: {prefix: /a}, key: none, slots: 4, connections: 9}\n";
    let version = fleet.submit(services, first).unwrap();
    fleet.wait_for_bundle(version, LIMIT).unwrap();
    fleet.wait_for_leases(LIMIT).unwrap();
    let (term, _) = leader(&fleet, first).unwrap();
    for round in 0..3 {
        let alive = VmLocation { domain: 1, vm: 2 };
        let (_, lost) = leader(&fleet, alive).unwrap();
        fleet.kill_daemon(lost);
        let start = Instant::now();
        fleet.wait_for_leases(LIMIT).unwrap();
        println!(
            "round {round}: {lost:?} lost, leases after {:?}",
            start.elapsed()
        );
        fleet.start_daemon(lost).unwrap();
        fleet.wait_for_leases(LIMIT).unwrap();
        fleet.wait_for_voters(REPAIR).unwrap();
        for place in fleet.vms() {
            let (now, _) = leader(&fleet, place).unwrap();
            assert_eq!(now, term, "VM {} is in another group", place.number());
        }
    }
}
