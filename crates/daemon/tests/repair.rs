//! Successive losses of domain leaders, with a repair of the group after each.

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

const STEP_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum time until a restarted VM is a voter of its domain group again.
const REPAIR_TIMEOUT: Duration = Duration::from_secs(3);

fn leader(fleet: &Fleet, from: VmLocation) -> Option<(u64, VmLocation)> {
    let status = get_json(fleet.address(from, OPERATOR_PORT), "/v1/status").ok()?;
    let number = status["group"]["leader"].as_u64()? as u8;
    let term = status["group"]["term"].as_u64()?;
    let (domain, vm) = (number / 10, number % 10);
    Some((term, VmLocation { domain, vm }))
}

/// Guards against a restarted voter that does not replace its earlier incarnation in the domain
/// group: the loss of a second VM would then lose the quorum.
#[test]
fn the_group_survives_the_loss_of_a_leader_after_each_repair() {
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
    fleet.wait_for_leader(STEP_TIMEOUT).unwrap();
    let first = VmLocation { domain: 1, vm: 1 };
    let services = "  - {name: a, route: {prefix: /a}, key: none, slots: 4, connections: 9}\n";
    let version = fleet.submit(services, first).unwrap();
    fleet.wait_for_bundle(version, STEP_TIMEOUT).unwrap();
    fleet.wait_for_leases(STEP_TIMEOUT).unwrap();
    let (term, _) = leader(&fleet, first).unwrap();
    for round in 0..3 {
        let survivor = VmLocation { domain: 1, vm: 2 };
        let (_, lost) = leader(&fleet, survivor).unwrap();
        fleet.kill_daemon(lost);
        let start = Instant::now();
        fleet.wait_for_leases(STEP_TIMEOUT).unwrap();
        println!(
            "round {round}: {lost:?} lost, leases after {:?}",
            start.elapsed()
        );
        fleet.start_daemon(lost).unwrap();
        fleet.wait_for_leases(STEP_TIMEOUT).unwrap();
        fleet.wait_for_voters(REPAIR_TIMEOUT).unwrap();
        for location in fleet.vms() {
            let (now, _) = leader(&fleet, location).unwrap();
            assert_eq!(now, term, "VM {} is in another group", location.number());
        }
    }
}
