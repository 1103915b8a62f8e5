//! Measures CPU time, memory and network traffic of VMs that serve no requests.

mod report;

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use camphordale_standin::fleet::VmLocation;

use crate::{
    MeasureError, MeasuredValues, RunOptions, Table,
    deployment::{
        Deployment,
        KEYED,
        START_TIMEOUT,
        Shape,
        Usage,
        read_usage,
        submit, //
    },
};

/// Bundles that are submitted to measure the cost of one.
const SUBMISSIONS: usize = 40;

/// Size of a measured deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DeploymentSize {
    domains: u8,
    /// VMs in each domain.
    vms: u8,
    /// Number of targets in all domains.
    targets: u8,
    shards: u32,
}

impl DeploymentSize {
    /// Returns the predictor variables for the cost of a VM: VMs of its domain, all other VMs,
    /// targets of its domain, and shards.
    fn predictors(&self) -> [f64; 4] {
        let group = f64::from(self.vms);
        let all = f64::from(self.domains) * group;
        let targets = f64::from(self.targets) / f64::from(self.domains);
        [group, all - group, targets, f64::from(self.shards)]
    }
}

/// The measured sizes. They differ in such a way that least squares can determine the constant and
/// all four coefficients.
const SIZES: [DeploymentSize; 7] = [
    DeploymentSize {
        domains: 3,
        vms: 3,
        targets: 10,
        shards: 64,
    },
    DeploymentSize {
        domains: 1,
        vms: 3,
        targets: 10,
        shards: 64,
    },
    DeploymentSize {
        domains: 1,
        vms: 9,
        targets: 10,
        shards: 64,
    },
    DeploymentSize {
        domains: 1,
        vms: 9,
        targets: 26,
        shards: 64,
    },
    DeploymentSize {
        domains: 3,
        vms: 3,
        targets: 26,
        shards: 64,
    },
    DeploymentSize {
        domains: 3,
        vms: 3,
        targets: 10,
        shards: 512,
    },
    DeploymentSize {
        domains: 3,
        vms: 3,
        targets: 10,
        shards: 4_096,
    },
];

/// Role of a VM in the measured deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Role {
    Other,
    DomainLeader,
    ControlVoter,
    ControlLeader,
}

/// Resource usage of one VM.
#[derive(Clone, Copy, Debug)]
struct VmUsage {
    size: DeploymentSize,
    /// Whether the VM is the leader of its domain.
    leads_domain: bool,
    /// The VM's role. A role in the control group takes precedence over leading the domain.
    role: Role,
    /// CPU usage in percent of a core.
    cpu_percent: f64,
    /// Resident memory in kB.
    resident_kb: f64,
    /// Bytes sent and received per second.
    bytes: f64,
    /// Messages sent and received per second.
    messages: f64,
}

/// Cost of one bundle on one VM.
#[derive(Clone, Copy, Debug)]
struct BundleCost {
    /// CPU time in ms, in addition to that of an idle VM.
    cpu_ms: f64,
    /// Resident memory in kB.
    resident_kb: f64,
    /// Bytes sent and received, in addition to those of an idle VM.
    bytes: f64,
}

/// Runs the benchmark.
///
/// # Errors
///
/// Fails when a deployment cannot be started or the usage of a VM cannot be read.
pub fn measure(
    options: &RunOptions,
    measured: &mut MeasuredValues,
) -> Result<Vec<Table>, MeasureError> {
    let time = Duration::from_secs(if options.trial { 4 } else { 20 });
    let mut vms = Vec::new();
    let mut bundles = None;
    for size in SIZES {
        let shape = Shape {
            domains: size.domains,
            vms: size.vms,
            shards: size.shards,
            slots: 6,
        };
        let mut deployment = start(options, size, shape)?;
        let idle = measure_idle(&mut deployment, size, time)?;
        if bundles.is_none() {
            bundles = Some(bundle_cost(&mut deployment, shape, &idle)?);
        }
        vms.extend(idle);
    }
    report::set_values(&vms, bundles, measured);
    let mut tables = vec![
        report::usage_table(&vms),
        report::coefficient_table(measured),
    ];
    for table in &mut tables {
        table.condition(options.command("control"));
        table.condition(format!(
            "idle for {} s after the deployment became stable; processor time from /proc/PID/stat \
             in steps of 10 ms; one control voter in each domain; targets renew \
             through the first VM of their domain, which is the control voter, and get no requests",
            time.as_secs()
        ));
    }
    Ok(tables)
}

fn start(
    options: &RunOptions,
    size: DeploymentSize,
    shape: Shape,
) -> Result<Deployment, MeasureError> {
    let mut deployment = Deployment::start(options, shape)?;
    for target in 0..size.targets {
        deployment.add_target(1 + target % size.domains, KEYED, shape.slots)?;
    }
    deployment.await_stable(START_TIMEOUT)?;
    Ok(deployment)
}

fn measure_idle(
    deployment: &mut Deployment,
    size: DeploymentSize,
    time: Duration,
) -> Result<Vec<VmUsage>, MeasureError> {
    let locations = deployment.running_vms();
    let before = read_all(deployment, &locations)?;
    let start = Instant::now();
    thread::sleep(time);
    let after = read_all(deployment, &locations)?;
    let seconds = start.elapsed().as_secs_f64();
    let mut vms = Vec::new();
    for ((&location, before), after) in locations.iter().zip(before).zip(after) {
        let leads_domain = deployment.leader(location, "group")? == location;
        let role = if deployment.leader(location, "control")? == location {
            Role::ControlLeader
        } else if location.vm == 1 {
            Role::ControlVoter
        } else if leads_domain {
            Role::DomainLeader
        } else {
            Role::Other
        };
        vms.push(VmUsage {
            size,
            leads_domain,
            role,
            cpu_percent: (after.cpu_seconds - before.cpu_seconds) / seconds * 100.0,
            resident_kb: after.resident_kb,
            bytes: (after.bytes - before.bytes) / seconds,
            messages: (after.messages - before.messages) / seconds,
        });
    }
    Ok(vms)
}

fn read_all(
    deployment: &mut Deployment,
    locations: &[VmLocation],
) -> Result<Vec<Usage>, MeasureError> {
    locations
        .iter()
        .map(|&location| read_usage(deployment, location))
        .collect()
}

/// Submits bundles one after the other and returns the mean cost per bundle and VM.
fn bundle_cost(
    deployment: &mut Deployment,
    shape: Shape,
    idle: &[VmUsage],
) -> Result<BundleCost, MeasureError> {
    let locations = deployment.running_vms();
    let before = read_all(deployment, &locations)?;
    let start = Instant::now();
    let first = VmLocation { domain: 1, vm: 1 };
    for number in 0..SUBMISSIONS {
        let record_life = format!("record_life: {}m", 11 + number);
        let services = shape.services(0).replace("record_life: 10m", &record_life);
        let version = submit(&mut deployment.fleet, &services, first)?;
        deployment.fleet.wait_for_bundle(version, START_TIMEOUT)?;
    }
    let seconds = start.elapsed().as_secs_f64();
    let after = read_all(deployment, &locations)?;
    let count = (locations.len() * SUBMISSIONS) as f64;
    let mean = |value: fn(&VmUsage) -> f64| idle.iter().map(value).sum::<f64>() / idle.len() as f64;
    let increase = |value: fn(&Usage) -> f64| {
        let both = before.iter().zip(&after);
        both.map(|(b, a)| value(a) - value(b)).sum::<f64>()
    };
    let idle_cpu = mean(|vm| vm.cpu_percent) / 100.0 * seconds * locations.len() as f64;
    let idle_bytes = mean(|vm| vm.bytes) * seconds * locations.len() as f64;
    Ok(BundleCost {
        cpu_ms: (increase(|u| u.cpu_seconds) - idle_cpu) / count * 1e3,
        resident_kb: increase(|u| u.resident_kb) / count,
        bytes: (increase(|u| u.bytes) - idle_bytes) / count,
    })
}
