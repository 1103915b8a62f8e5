//! A deployment of one VM as a real process, from the first bundle to the response of a target.

#![allow(clippy::unwrap_used)]

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::Duration, //
};

use camphordale_standin::{
    Target, TargetOptions,
    fleet::{
        ACCESS_KEY,
        CALLER_PORT,
        Fleet,
        FleetOptions,
        Programs,
        TARGET_PORT,
        VmLocation, //
    },
};
use camphordale_types::Side;

const SERVICES: &str = "
  - name: catalogue
    route: {prefix: /catalogue}
    key: none
    deadline: 2s
    slots: 4
    connections: 110
  - name: reservations
    route: {prefix: /reservations}
    key: {header: X-Key}
    shards: 16
    deadline: 2s
    slots: 4
    connections: 110
";

const VM: VmLocation = VmLocation { domain: 1, vm: 1 };

fn start(folder: PathBuf, domains: u8, vms: u8) -> Fleet {
    Fleet::start(FleetOptions {
        programs: Programs {
            daemon: env!("CARGO_BIN_EXE_camphordaled").into(),
            target: None,
            link: None,
        },
        folder,
        domains,
        vms,
        extra_settings: String::new(),
    })
    .unwrap()
}

fn target(fleet: &Fleet, service: &str, key_header: &str) -> Arc<Target> {
    Target::start(TargetOptions {
        name: format!("{service}-1").into(),
        service: service.into(),
        side: Side::Old,
        listen: "127.0.0.1:0".parse().unwrap(),
        entry_vms: vec![fleet.address(VM, TARGET_PORT)],
        bearer_key: ACCESS_KEY.into(),
        slots: 4,
        max_connections: 64,
        checks_tokens: true,
        work_time: Duration::ZERO,
        padding_size: 0,
        key_header: key_header.into(),
        journal: None,
    })
    .unwrap()
}

/// Sends a request until a target responds; returns the target's name.
fn responding_target(address: SocketAddr, path: &str, key: &str) -> String {
    let deadline = std::time::Instant::now() + Duration::from_secs(10);
    loop {
        let response = ureq::get(format!("http://{address}{path}"))
            .header("X-Key", key)
            .config()
            .http_status_as_error(false)
            .build()
            .call()
            .unwrap();
        if response.status() == 200 {
            return response.headers()["camphordale-target"]
                .to_str()
                .unwrap()
                .to_owned();
        }
        let reason = response.headers().get("camphordale-reason").cloned();
        assert!(
            std::time::Instant::now() < deadline,
            "{path} is refused with {} {reason:?}",
            response.status()
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against a single VM that cannot form its groups, accept a bundle, register targets, serve
/// requests, or shut down gracefully.
#[test]
fn a_single_vm_serves_requests_and_shuts_down() {
    let folder = tempfile::tempdir().unwrap();
    let mut fleet = start(folder.path().into(), 1, 1);
    let limit = Duration::from_secs(15);
    fleet.wait_for_leader(limit).unwrap();
    let version = fleet.submit(SERVICES, VM).unwrap();
    fleet.wait_for_bundle(version, limit).unwrap();
    let _catalogue = target(&fleet, "catalogue", "x-key");
    let _reservations = target(&fleet, "reservations", "x-key");
    let callers = fleet.address(VM, CALLER_PORT);
    assert_eq!(
        responding_target(callers, "/catalogue/books", "-"),
        "catalogue-1"
    );
    assert_eq!(
        responding_target(callers, "/reservations", "group-7"),
        "reservations-1"
    );
    let daemon = fleet.daemon(VM).unwrap();
    daemon.signal("TERM").unwrap();
    let ended = daemon.wait(Duration::from_secs(20));
    assert_eq!(ended, Some(true), "{}", daemon.log_text());
}
