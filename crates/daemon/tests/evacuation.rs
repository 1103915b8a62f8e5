//! Evacuation of a failure domain with real processes.

#![allow(clippy::unwrap_used)]

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use camphordale_standin::fleet::{
    OPERATOR_PORT,
    VmLocation,
    domain_name,
    get_json,
    post_json, //
};
use serde_json::json;

mod support;

use support::{
    Deployment,
    FIRST_VM,
    KEYED_SERVICE,
    STEP_TIMEOUT,
    TargetParams,
    TestRequest,
    holds_target,
    wait_for, //
};

const UNKEYED_SERVICE: &str = "
  - {name: pages, route: {prefix: /pages}, key: none, deadline: 1s, slots: 4, connections: 64}
";

/// Time after the acknowledgement from which nothing is sent to the targets of the domain.
const EVACUATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against an evacuation that does not reach the VMs of its domain, that leaves keys or
/// requests without a key at its targets, or that a VM of the domain forgets when it restarts. It is a
/// control voter, and often the leader.
#[test]
fn an_evacuated_domain_gets_nothing_new() {
    let mut deployment = Deployment::start("evacuation", 3, 1);
    let services = format!("{KEYED_SERVICE}{UNKEYED_SERVICE}");
    let version = deployment.fleet.submit(&services, FIRST_VM).unwrap();
    let fleet = &deployment.fleet;
    fleet.wait_for_bundle(version, STEP_TIMEOUT).unwrap();
    fleet.wait_for_leases(STEP_TIMEOUT).unwrap();
    // Domain 3 has no target, so requests without a key are to find domain 2.
    for (holds, pages, domain) in [("h1", "p1", 1), ("h2", "p2", 2)] {
        for (name, service) in [(holds, "holds"), (pages, "pages")] {
            deployment.add_target(&TargetParams {
                domain,
                service,
                ..holds_target(name, true)
            });
        }
    }
    deployment
        .fleet
        .wait_for_owners(&["holds"], STEP_TIMEOUT)
        .unwrap();
    wait_for("shards in domain 1", STEP_TIMEOUT, || {
        (!deployment.shards(FIRST_VM).is_empty()).then_some(())
    });
    let to = deployment
        .fleet
        .address(VmLocation { domain: 3, vm: 1 }, OPERATOR_PORT);
    let order = |domain: u8, order: &str| {
        let path = format!("/v1/domains/{}/{order}", domain_name(domain));
        let body = json!({"by": "asha"});
        post_json(to, &path, &body)
    };
    assert!(order(9, "evacuate").is_err());
    assert!(order(1, "readmit").is_err());

    let first = order(1, "evacuate").unwrap();
    let acknowledged = Instant::now();
    assert_eq!(order(1, "evacuate").unwrap(), first);
    wait_for("an empty domain", EVACUATION_TIMEOUT, || {
        deployment.shards(FIRST_VM).is_empty().then_some(())
    });
    let empty = acknowledged.elapsed();
    println!("evacuation: no shards left after {} ms", empty.as_millis());
    thread::sleep(EVACUATION_TIMEOUT.saturating_sub(empty));
    let caller = deployment.caller_address(FIRST_VM);
    let plain = TestRequest {
        path: "/pages".into(),
        ..TestRequest::default()
    };
    for i in 0..40 {
        let keyed = TestRequest::get(&format!("k{i}"));
        for (request, target) in [(keyed, "h2"), (plain.clone(), "p2")] {
            let response = request.send(caller);
            assert!(response.is_from_target(), "{request:?}: {response:?}");
            assert_eq!(response.target, target);
        }
    }

    deployment.fleet.kill_daemon(FIRST_VM);
    deployment.fleet.start_daemon(FIRST_VM).unwrap();
    let (response, took) = plain.send_until_served(caller, STEP_TIMEOUT);
    assert_eq!(response.target, "p2");
    println!("evacuation: served again after {} ms", took.as_millis());
    let operators = deployment.fleet.address(FIRST_VM, OPERATOR_PORT);
    wait_for("p1 in the restarted VM", STEP_TIMEOUT, || {
        assert_ne!(plain.send(caller).target, "p1");
        let targets = get_json(operators, "/v1/targets").ok()?;
        let mut targets = targets.as_array()?.iter();
        targets.find(|target| target["name"] == "p1").map(|_| ())
    });
    for _ in 0..40 {
        assert_eq!(plain.send(caller).target, "p2");
    }

    wait_for("the end of the evacuation", STEP_TIMEOUT, || {
        order(1, "readmit").ok()
    });
    wait_for("a response of domain 1", STEP_TIMEOUT, || {
        (plain.send(caller).target == "p1").then_some(())
    });
}
