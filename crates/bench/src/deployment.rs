//! Deployments of daemon and target processes on this machine.

mod client;
mod process_usage;

use std::{
    fmt::Write,
    net::SocketAddr,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use camphordale_standin::fleet::{
    Fleet,
    FleetOptions,
    OPERATOR_PORT,
    Process,
    Programs,
    TargetProcessOptions,
    VmLocation,
    get_json, //
};
use serde_json::Value;
use tempfile::TempDir;

use crate::{
    MeasureError,
    RunOptions, //
};

pub(crate) use client::{
    Client,
    get_text, //
};
pub(crate) use process_usage::{
    Usage,
    read_resident_kb,
    read_usage, //
};

/// Longest wait for each step of a deployment's start.
pub(crate) const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two polls while waiting for a deployment.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a change after which a deployment counts as stable.
const STABLE_TIME: Duration = Duration::from_secs(1);

/// Name of the service with shard keys.
pub(crate) const KEYED: &str = "keyed";

/// Name of the service without shard keys.
pub(crate) const OPEN: &str = "open";

/// A running deployment. Its files are removed when it is dropped, unless
/// [`RunOptions::keep`] is set.
pub(crate) struct Deployment {
    pub(crate) fleet: Fleet,
    domains: u8,
    vms: u8,
    target_counts: Vec<u8>,
    temp_dir: TempDir,
}

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    /// Number of failure domains.
    pub(crate) domains: u8,
    /// VMs in each failure domain.
    pub(crate) vms: u8,
    /// Shards of the service with shard keys.
    pub(crate) shards: u32,
    /// Slots of each target.
    pub(crate) slots: u32,
}

impl Shape {
    /// Returns the `services` section of a bundle in YAML. `new_percent` is the percentage of
    /// shards for targets of the new side.
    pub(crate) fn services(&self, new_percent: u8) -> String {
        let Shape { shards, slots, .. } = self;
        let mut text = String::new();
        let _ = write!(
            text,
            "  - name: {KEYED}\n    route: {{prefix: /{KEYED}}}\n    key: {{segment: 1}}\n    \
             shards: {shards}\n    repeat: by-method\n    deadline: 2s\n    domain_lease: none\n    \
             record_life: 10m\n    new_percent: {new_percent}%\n    slots: {slots}\n    \
             connections: 110\n    queue: 64\n    warm_up: 1s\n    \
             weights: {{imbalance: 1, churn: 1, unavailable: 1}}\n"
        );
        let _ = write!(
            text,
            "  - name: {OPEN}\n    route: {{prefix: /{OPEN}}}\n    key: none\n    \
             repeat: by-method\n    deadline: 2s\n    domain_lease: none\n    slots: {slots}\n    \
             connections: 110\n    queue: 64\n    warm_up: 1s\n    \
             weights: {{imbalance: 1, churn: 1, unavailable: 1}}\n"
        );
        text
    }
}

impl Deployment {
    /// Starts the VMs, submits the first bundle and waits until it is in force.
    pub(crate) fn start(options: &RunOptions, shape: Shape) -> Result<Self, MeasureError> {
        let builder = || tempfile::Builder::new().prefix("fleet-").to_owned();
        let temp_dir = match &options.keep {
            Some(keep) => builder().disable_cleanup(true).tempdir_in(keep),
            None => builder().tempdir(),
        };
        let temp_dir = temp_dir.map_err(MeasureError::file("create a directory"))?;
        let mut fleet = Fleet::start(FleetOptions {
            programs: Programs {
                daemon: options.programs.join("camphordaled"),
                target: Some(options.programs.join("standin-target")),
                link: None,
            },
            folder: temp_dir.path().join("fleet"),
            domains: shape.domains,
            vms: shape.vms,
            extra_settings: String::new(),
        })?;
        fleet.wait_for_leader(START_TIMEOUT)?;
        let first = VmLocation { domain: 1, vm: 1 };
        let version = submit(&mut fleet, &shape.services(0), first)?;
        fleet.wait_for_bundle(version, START_TIMEOUT)?;
        fleet.wait_for_leases(START_TIMEOUT)?;
        Ok(Deployment {
            fleet,
            domains: shape.domains,
            vms: shape.vms,
            target_counts: vec![0; usize::from(shape.domains)],
            temp_dir,
        })
    }

    /// Starts a target in a domain and returns its name.
    pub(crate) fn add_target(
        &mut self,
        domain: u8,
        service: &str,
        slots: u32,
    ) -> Result<String, MeasureError> {
        let number = &mut self.target_counts[usize::from(domain - 1)];
        *number += 1;
        self.fleet.start_target(&TargetProcessOptions {
            domain,
            number: *number,
            service: service.into(),
            side: "old",
            slots,
            work_us: 0,
            checks_tokens: true,
            key_header: "x-key".into(),
        })?;
        Ok(format!("{service}-{domain}-{number}"))
    }

    /// Starts a target on the address of the first VM and returns its address. It has no journal,
    /// as journal writes would limit its request rate.
    pub(crate) fn add_target_without_journal(
        &mut self,
        service: &str,
        port: u16,
        slots: u32,
        options: &RunOptions,
    ) -> Result<(SocketAddr, Process), MeasureError> {
        let first = VmLocation { domain: 1, vm: 1 };
        let address = self.fleet.address(first, port);
        let entry = self
            .fleet
            .address(first, camphordale_standin::fleet::TARGET_PORT);
        let log = self.temp_dir.path().join(format!("{service}-plain.log"));
        let program = options.programs.join("standin-target");
        let process = Process::start(&program, &log, |command| {
            command.args(["--name", &format!("{service}-plain")]);
            command.args(["--service", service, "--side", "old"]);
            command.args(["--listen", &address.to_string()]);
            command.args(["--entry", &entry.to_string()]);
            command.args(["--key", camphordale_standin::fleet::ACCESS_KEY]);
            command.args(["--slots", &slots.to_string()]);
        })?;
        Ok((address, process))
    }

    /// Waits until each domain has a leader, each VM a lease and each shard an owner, and nothing
    /// has changed for [`STABLE_TIME`].
    pub(crate) fn await_stable(&mut self, timeout: Duration) -> Result<(), MeasureError> {
        self.fleet.wait_for_leases(timeout)?;
        self.fleet.wait_for_owners(&[KEYED], timeout)?;
        let start = Instant::now();
        let mut before = None;
        let mut since = Instant::now();
        loop {
            let now = self.observe();
            if now.is_none() || now != before {
                since = Instant::now();
            }
            before = now;
            if before.is_some() && since.elapsed() >= STABLE_TIME {
                return Ok(());
            }
            if start.elapsed() > timeout {
                return Err(MeasureError::unexpected(
                    "wait",
                    "the deployment did not become stable",
                ));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the leaders, shard owners and senders. Returns `None` while a VM does not respond,
    /// knows no leader or has no valid lease.
    fn observe(&mut self) -> Option<Vec<Value>> {
        let mut all = Vec::new();
        for location in self.running_vms() {
            let status = self.status(location).ok()?;
            let leader = |group: &str| status[group]["leader"].is_u64();
            if !leader("group") || !leader("control") || status["lease"]["valid"] != true {
                return None;
            }
            all.push(status["group"].clone());
            all.push(status["control"].clone());
        }
        for domain in 1..=self.domains {
            all.push(self.shards(domain).ok()?);
        }
        Some(all)
    }

    /// Returns the VMs whose daemon is running.
    pub(crate) fn running_vms(&mut self) -> Vec<VmLocation> {
        let mut locations = self.fleet.vms();
        locations.retain(|&location| self.fleet.daemon(location).is_some());
        locations
    }

    /// Returns the status of a VM.
    pub(crate) fn status(&self, location: VmLocation) -> Result<Value, MeasureError> {
        Ok(get_json(
            self.fleet.address(location, OPERATOR_PORT),
            "/v1/status",
        )?)
    }

    /// Returns the shards of the service with shard keys, as seen by a running VM of the domain.
    pub(crate) fn shards(&mut self, domain: u8) -> Result<Value, MeasureError> {
        let location = (1..=self.vms)
            .map(|vm| VmLocation { domain, vm })
            .find(|&location| self.fleet.daemon(location).is_some());
        let location = location.ok_or_else(|| MeasureError::unexpected("shards", "no VM runs"))?;
        let address = self.fleet.address(location, OPERATOR_PORT);
        Ok(get_json(address, &format!("/v1/shards?service={KEYED}"))?)
    }

    /// Returns the leader of a group (`group` or `control`), as seen by the VM at `location`.
    pub(crate) fn leader(
        &self,
        location: VmLocation,
        group: &str,
    ) -> Result<VmLocation, MeasureError> {
        let number = self.status(location)?[group]["leader"].as_u64();
        let number =
            number.ok_or_else(|| MeasureError::unexpected("leader", "no leader is known"))?;
        Ok(VmLocation {
            domain: (number / 10) as u8,
            vm: (number % 10) as u8,
        })
    }
}

/// Submits a bundle and retries on errors, as the leader of the control group may change meanwhile.
/// This is safe: submitting an accepted bundle again gives the same response.
pub(crate) fn submit(
    fleet: &mut Fleet,
    services: &str,
    to: VmLocation,
) -> Result<u64, MeasureError> {
    let start = Instant::now();
    loop {
        match fleet.submit(services, to) {
            Ok(version) => return Ok(version),
            Err(err) if start.elapsed() > START_TIMEOUT => return Err(err.into()),
            Err(_) => thread::sleep(POLL_INTERVAL),
        }
    }
}
