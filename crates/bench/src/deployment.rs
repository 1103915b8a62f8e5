//! Deployments of real processes for the measurements.

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

/// Longest wait for a step of the start.
pub(crate) const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two looks at a deployment that is to become quiet.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which nothing must change until a deployment counts as quiet.
const STABLE_TIME: Duration = Duration::from_secs(1);

/// Name of the service with keys.
pub(crate) const KEYED: &str = "keyed";

/// Name of the service without keys.
pub(crate) const OPEN: &str = "open";

/// A deployment whose files are removed with it.
pub(crate) struct Deployment {
    pub(crate) fleet: Fleet,
    domains: u8,
    vms: u8,
    target_counts: Vec<u8>,
    folder: TempDir,
}

/// Shape of a deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    /// Failure domains.
    pub(crate) domains: u8,
    /// VMs in each.
    pub(crate) vms: u8,
    /// Shards of the service with keys.
    pub(crate) shards: u32,
    /// Slots of each target.
    pub(crate) slots: u32,
}

impl Shape {
    /// Returns the services of a bundle in YAML, with this share of shards for new targets.
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
    /// Starts the VMs and brings the first bundle into force.
    pub(crate) fn start(options: &RunOptions, shape: Shape) -> Result<Self, MeasureError> {
        let builder = || tempfile::Builder::new().prefix("fleet-").to_owned();
        let folder = match &options.keep {
            Some(keep) => builder().disable_cleanup(true).tempdir_in(keep),
            None => builder().tempdir(),
        };
        let folder = folder.map_err(MeasureError::file("make a folder"))?;
        let mut fleet = Fleet::start(FleetOptions {
            programs: Programs {
                daemon: options.programs.join("camphordaled"),
                target: Some(options.programs.join("standin-target")),
                link: None,
            },
            folder: folder.path().join("fleet"),
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
            folder,
        })
    }

    /// Starts a target in a domain; returns its name.
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

    /// Starts a target without a journal on the address of the first VM, so that writing the
    /// journal does not bound its rate; returns its address.
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
        let log = self.folder.path().join(format!("{service}-plain.log"));
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

    /// Waits until each domain has a leader, each VM a lease, and each shard an owner, and none
    /// of them changed for a while.
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
                    "the deployment is not quiet",
                ));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns who leads, owns and sends, or none while a part does not answer.
    fn observe(&mut self) -> Option<Vec<Value>> {
        let mut all = Vec::new();
        for place in self.running_vms() {
            let status = self.status(place).ok()?;
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

    /// Returns the VMs whose processes run.
    pub(crate) fn running_vms(&mut self) -> Vec<VmLocation> {
        let mut places = self.fleet.vms();
        places.retain(|&place| self.fleet.daemon(place).is_some());
        places
    }

    /// Returns the status of a VM.
    pub(crate) fn status(&self, place: VmLocation) -> Result<Value, MeasureError> {
        Ok(get_json(
            self.fleet.address(place, OPERATOR_PORT),
            "/v1/status",
        )?)
    }

    /// Returns the shards of the service with keys as a running VM of the domain sees them.
    pub(crate) fn shards(&mut self, domain: u8) -> Result<Value, MeasureError> {
        let place = (1..=self.vms)
            .map(|vm| VmLocation { domain, vm })
            .find(|&place| self.fleet.daemon(place).is_some());
        let place = place.ok_or_else(|| MeasureError::unexpected("shards", "no VM runs"))?;
        let address = self.fleet.address(place, OPERATOR_PORT);
        Ok(get_json(address, &format!("/v1/shards?service={KEYED}"))?)
    }

    /// Returns the VM that leads a group (`group` or `control`) as `place` knows it.
    pub(crate) fn leader(
        &self,
        place: VmLocation,
        group: &str,
    ) -> Result<VmLocation, MeasureError> {
        let number = self.status(place)?[group]["leader"].as_u64();
        let number = number.ok_or_else(|| MeasureError::unexpected("leader", "none is known"))?;
        Ok(VmLocation {
            domain: (number / 10) as u8,
            vm: (number % 10) as u8,
        })
    }
}

/// Submits a bundle, again if the control group changed its leader meanwhile. A bundle that was
/// accepted is answered the same way when it is submitted again.
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
