//! Runs a deployment of separate processes on loopback: daemons, targets and the relay between
//! failure domains.
//!
//! Each VM has its own IP address in `127.0.0.0/8`, from which the relay derives its failure
//! domain. [`Fleet::start`] starts a deployment; all processes are killed when the fleet is dropped.

use std::{
    collections::BTreeSet,
    fs,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    path::{
        Path,
        PathBuf, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use camphordale_bundle::{
    SigningKey,
    generate_key, //
};
use camphordale_types::Digest;
use serde_json::Value;

mod bundles;
mod client;
mod net;
mod process;
mod settings;

pub use client::{
    FleetError,
    get_json,
    post_json, //
};
pub use process::Process;

/// Port of the caller listener of each VM.
pub const CALLER_PORT: u16 = 8080;
/// Port of the target listener of each VM.
pub const TARGET_PORT: u16 = 8081;
/// Port of the operator listener of each VM.
pub const OPERATOR_PORT: u16 = 8082;
/// Port of the peer listener of each VM.
pub const PEER_PORT: u16 = 8083;
/// Port of the control interface of the relay.
const LINK_CONTROL_PORT: u16 = 9000;
/// Port on which targets accept requests.
const TARGET_REQUEST_PORT: u16 = 9100;
/// Offset of the last address byte for the relayed address of a VM, which other domains use.
const OUTER_HOST_BASE: u8 = 100;
/// Offset of the last address byte of targets.
const TARGET_HOST_BASE: u8 = 20;

/// Access key of targets and operators.
pub const ACCESS_KEY: &str = "c0ffee00112233445566778899aabbccddeeff00112233445566778899aabbccdd";

/// Paths of the programs to run.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Path of `camphordaled`.
    pub daemon: PathBuf,
    /// Path of `standin-target`; `None` if no targets are started as processes.
    pub target: Option<PathBuf>,
    /// Path of `standin-link`; `None` if domains connect to each other directly.
    pub link: Option<PathBuf>,
}

/// Options of a deployment.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Paths of the programs.
    pub programs: Programs,
    /// Directory for settings, data and logs.
    pub folder: PathBuf,
    /// Number of failure domains, at most 9.
    pub domains: u8,
    /// Number of entry VMs in each domain, at most 9.
    pub vms: u8,
    /// Additional settings in YAML, appended to the settings of each VM.
    pub extra_settings: String,
}

/// Identifies a VM by its failure domain and its number in the domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmLocation {
    /// Number of the failure domain, from 1.
    pub domain: u8,
    /// Number of the VM in the domain, from 1.
    pub vm: u8,
}

impl VmLocation {
    /// Returns the id of the VM.
    pub fn number(self) -> u32 {
        u32::from(self.domain) * 10 + u32::from(self.vm)
    }
}

/// A running deployment.
pub struct Fleet {
    options: FleetOptions,
    network: u8,
    operator_key: SigningKey,
    link: Option<Process>,
    daemons: Vec<(VmLocation, Option<Process>)>,
    targets: Vec<TargetProcess>,
    latest_bundle: Option<(u64, Digest)>,
}

/// A target that runs as a process.
pub struct TargetProcess {
    /// Number of the failure domain.
    pub domain: u8,
    /// Name of the target.
    pub name: String,
    /// Address for requests and for the `/standin/` commands.
    pub address: SocketAddr,
    /// Path of its journal.
    pub journal: PathBuf,
    /// The process; `None` after it was killed.
    pub process: Option<Process>,
}

/// Options of a target process.
#[derive(Clone, Debug)]
pub struct TargetProcessOptions {
    /// Number of the failure domain.
    pub domain: u8,
    /// Number of the target in the domain, at most 70.
    pub number: u8,
    /// Name of the service.
    pub service: String,
    /// System that the target belongs to: `old` or `new`.
    pub side: &'static str,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Processing time per request in microseconds.
    pub work_us: u64,
    /// Whether it checks fencing tokens.
    pub checks_tokens: bool,
    /// Header with the key, which the journal records.
    pub key_header: String,
}

impl Fleet {
    /// Starts the relay and all daemons.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written or a process cannot be started.
    pub fn start(options: FleetOptions) -> Result<Fleet, FleetError> {
        let network = net::reserve()?;
        let mut fleet = Fleet {
            network,
            operator_key: generate_key()
                .map_err(|err| FleetError::new("generate the operator key", err))?,
            link: None,
            daemons: Vec::new(),
            targets: Vec::new(),
            latest_bundle: None,
            options,
        };
        fs::create_dir_all(&fleet.options.folder)
            .map_err(FleetError::io("create the deployment directory"))?;
        if let Some(program) = fleet.options.programs.link.clone() {
            fleet.start_link(&program)?;
        }
        for domain in 1..=fleet.options.domains {
            for vm in 1..=fleet.options.vms {
                let location = VmLocation { domain, vm };
                fleet.write_settings(location)?;
                if vm == 1 {
                    fleet.init(location)?;
                }
                fleet.daemons.push((location, None));
            }
        }
        for location in fleet.vms() {
            fleet.start_daemon(location)?;
        }
        Ok(fleet)
    }

    /// Returns the locations of all VMs.
    pub fn vms(&self) -> Vec<VmLocation> {
        self.daemons.iter().map(|&(location, _)| location).collect()
    }

    /// Returns the address of the listener of a VM on `port`.
    pub fn address(&self, location: VmLocation, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(location.domain, location.vm), port)
    }

    /// Returns the addresses of the caller listeners of all VMs.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let locations = self.vms().into_iter();
        locations
            .map(|location| self.address(location, CALLER_PORT))
            .collect()
    }

    /// Returns the target processes.
    pub fn targets(&self) -> &[TargetProcess] {
        &self.targets
    }

    /// Returns the daemon process of a VM, if it was not killed.
    pub fn daemon(&mut self, location: VmLocation) -> Option<&mut Process> {
        let found = self
            .daemons
            .iter_mut()
            .find(|(other, _)| *other == location);
        found.and_then(|(_, process)| process.as_mut())
    }

    /// Starts or restarts the daemon process of a VM.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start_daemon(&mut self, location: VmLocation) -> Result<(), FleetError> {
        let log = self.vm_file(location, "log");
        let config = self.vm_file(location, "yaml");
        let process = Process::start(&self.options.programs.daemon, &log, |command| {
            command.arg("--config").arg(config);
        })?;
        if let Some(entry) = self
            .daemons
            .iter_mut()
            .find(|(other, _)| *other == location)
        {
            entry.1 = Some(process);
        }
        Ok(())
    }

    /// Kills the daemon process of a VM.
    pub fn kill_daemon(&mut self, location: VmLocation) {
        if let Some(entry) = self
            .daemons
            .iter_mut()
            .find(|(other, _)| *other == location)
        {
            entry.1 = None;
        }
    }

    /// Removes the data directory of a VM whose daemon is not running.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory cannot be removed.
    pub fn remove_data(&mut self, location: VmLocation) -> Result<(), FleetError> {
        let data = self.vm_file(location, "data");
        fs::remove_dir_all(data).map_err(FleetError::io("remove the data directory"))
    }

    /// Starts a target process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start_target(&mut self, options: &TargetProcessOptions) -> Result<(), FleetError> {
        let Some(program) = self.options.programs.target.clone() else {
            return Err(FleetError::new(
                "start a target",
                "no standin-target program was given",
            ));
        };
        let ip = self.ip(options.domain, TARGET_HOST_BASE + options.number);
        let address = SocketAddr::new(ip, TARGET_REQUEST_PORT);
        let name = format!("{}-{}-{}", options.service, options.domain, options.number);
        let journal = self.options.folder.join(format!("{name}.journal"));
        let entries: Vec<String> = (1..=self.options.vms)
            .map(|vm| {
                let domain = options.domain;
                self.address(VmLocation { domain, vm }, TARGET_PORT)
                    .to_string()
            })
            .collect();
        let log = self.options.folder.join(format!("{name}.log"));
        let process = Process::start(&program, &log, |command| {
            command.args(["--name", &name, "--service", &options.service]);
            command.args(["--side", options.side, "--listen", &address.to_string()]);
            command.args(["--key", ACCESS_KEY, "--key-header", &options.key_header]);
            command.args(["--slots", &options.slots.to_string()]);
            command.args(["--work-us", &options.work_us.to_string()]);
            command.arg("--journal").arg(&journal);
            for entry in &entries {
                command.args(["--entry", entry]);
            }
            if options.checks_tokens {
                command.arg("--checks-tokens");
            }
        })?;
        self.targets.push(TargetProcess {
            domain: options.domain,
            name,
            address,
            journal,
            process: Some(process),
        });
        Ok(())
    }

    /// Kills a target process.
    pub fn kill_target(&mut self, name: &str) {
        if let Some(target) = self.targets.iter_mut().find(|target| target.name == name) {
            target.process = None;
        }
    }

    /// Returns the process of a target, if it was not killed.
    pub fn target(&mut self, name: &str) -> Option<&mut Process> {
        let found = self.targets.iter_mut().find(|target| target.name == name);
        found.and_then(|target| target.process.as_mut())
    }

    /// Waits until every shard of the services has an owner in its home domain; returns how long it
    /// took.
    ///
    /// # Errors
    ///
    /// Returns an error after `timeout`.
    pub fn wait_for_owners(
        &self,
        services: &[&str],
        timeout: Duration,
    ) -> Result<Duration, FleetError> {
        let start = Instant::now();
        while let Some(missing) = self.count_unowned(services) {
            if start.elapsed() > timeout {
                let text = format!("{missing} shards without owner after {timeout:?}");
                return Err(FleetError::new("owners", text));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(start.elapsed())
    }

    /// Returns the number of shards without an owner, or `None` if all have one.
    fn count_unowned(&self, services: &[&str]) -> Option<usize> {
        let mut missing = 0;
        for service in services {
            let path = format!("/v1/shards?service={service}");
            let mut owned = BTreeSet::new();
            let mut all = 1;
            for domain in 1..=self.options.domains {
                let at = self.address(VmLocation { domain, vm: 1 }, OPERATOR_PORT);
                let Ok(Value::Array(shards)) = get_json(at, &path) else {
                    return Some(all);
                };
                all = shards.len().max(1);
                let with_owner = shards.iter().filter(|shard| shard["owner"].is_string());
                owned.extend(with_owner.filter_map(|shard| shard["shard"].as_u64()));
            }
            missing += all - owned.len().min(all);
        }
        (missing > 0).then_some(missing)
    }

    /// Waits until bundle `version` is in force on every running VM; returns how long it took.
    ///
    /// # Errors
    ///
    /// Returns an error after `timeout`.
    pub fn wait_for_bundle(&self, version: u64, timeout: Duration) -> Result<Duration, FleetError> {
        self.wait_for_each("bundle in force", timeout, |status| {
            status["bundle_version"].as_u64() >= Some(version)
        })
    }

    /// Waits until every running VM has a valid lease; returns how long it took.
    ///
    /// # Errors
    ///
    /// Returns an error after `timeout`.
    pub fn wait_for_leases(&self, timeout: Duration) -> Result<Duration, FleetError> {
        self.wait_for_each("lease", timeout, |status| {
            status["lease"]["valid"].as_bool() == Some(true)
        })
    }

    /// Waits until every running VM is a voter of its domain group; returns how long it took.
    ///
    /// # Errors
    ///
    /// Returns an error after `timeout`.
    pub fn wait_for_voters(&self, timeout: Duration) -> Result<Duration, FleetError> {
        self.wait_for_each("domain voter", timeout, |status| {
            status["group"]["voter"].as_bool() == Some(true)
        })
    }

    /// Waits until every running VM knows a leader of the control group; returns how long it took.
    ///
    /// # Errors
    ///
    /// Returns an error after `timeout`.
    pub fn wait_for_leader(&self, timeout: Duration) -> Result<Duration, FleetError> {
        self.wait_for_each("control leader", timeout, |status| {
            status["control"]["leader"].is_u64()
        })
    }

    fn wait_for_each<F>(
        &self,
        what: &'static str,
        timeout: Duration,
        holds: F,
    ) -> Result<Duration, FleetError>
    where
        F: Fn(&Value) -> bool,
    {
        let start = Instant::now();
        let mut waiting: Vec<VmLocation> = self
            .daemons
            .iter()
            .filter(|(_, process)| process.is_some())
            .map(|&(location, _)| location)
            .collect();
        while !waiting.is_empty() {
            if start.elapsed() > timeout {
                let numbers: Vec<u32> = waiting.iter().map(|location| location.number()).collect();
                let text = format!("not on VMs {numbers:?} after {timeout:?}");
                return Err(FleetError::new(what, text));
            }
            waiting.retain(|&location| {
                let status = get_json(self.address(location, OPERATOR_PORT), "/v1/status");
                !status.is_ok_and(|status| holds(&status))
            });
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(start.elapsed())
    }

    /// Partitions `domain` from the others, or heals all partitions if it is `None`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no relay or it does not respond.
    pub fn set_partition(&self, domain: Option<u8>) -> Result<(), FleetError> {
        let path = match domain {
            Some(domain) => format!("/cut?domain={}", domain_name(domain)),
            None => "/heal".into(),
        };
        post_json(self.link_control(), &path, &Value::Null).map(|_| ())
    }

    fn link_control(&self) -> SocketAddr {
        SocketAddr::new(self.ip(0, 1), LINK_CONTROL_PORT)
    }

    fn start_link(&mut self, program: &Path) -> Result<(), FleetError> {
        let file = self.options.folder.join("link.yaml");
        fs::write(&file, settings::link_settings(self))
            .map_err(FleetError::io("write the relay configuration"))?;
        let log = self.options.folder.join("link.log");
        let control = self.link_control().to_string();
        self.link = Some(Process::start(program, &log, |command| {
            command.arg("--file").arg(&file);
            command.args(["--control", &control]);
        })?);
        Ok(())
    }

    fn write_settings(&self, location: VmLocation) -> Result<(), FleetError> {
        let text = settings::daemon_settings(self, location);
        let file = self.vm_file(location, "yaml");
        settings::write_private(&file, &text).map_err(FleetError::io("write settings"))
    }

    fn init(&self, location: VmLocation) -> Result<(), FleetError> {
        let log = self.vm_file(location, "init.log");
        let config = self.vm_file(location, "yaml");
        let mut process = Process::start(&self.options.programs.daemon, &log, |command| {
            command.arg("--init").arg("--config").arg(config);
        })?;
        match process.wait(Duration::from_secs(10)) {
            Some(true) => Ok(()),
            _ => Err(FleetError::new("init", process.log_text())),
        }
    }

    fn vm_file(&self, location: VmLocation, kind: &str) -> PathBuf {
        let name = format!("vm{}.{kind}", location.number());
        self.options.folder.join(name)
    }

    fn ip(&self, domain: u8, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.network, domain, host))
    }

    fn outer_ip(&self, location: VmLocation) -> IpAddr {
        self.ip(location.domain, OUTER_HOST_BASE + location.vm)
    }
}

/// Returns the name of a failure domain.
pub fn domain_name(domain: u8) -> String {
    format!("domain-{domain}")
}
