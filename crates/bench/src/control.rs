//! Processor time, memory and traffic of VMs without requests.

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

/// Bundles that are submitted to find the cost of one.
const SUBMISSIONS: usize = 40;

/// One size of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DeploymentSize {
    domains: u8,
    /// VMs in each domain.
    vms: u8,
    /// Targets in all domains.
    targets: u8,
    shards: u32,
}

impl DeploymentSize {
    /// Returns the sizes that the cost of a VM may depend on.
    fn predictors(&self) -> [f64; 4] {
        let group = f64::from(self.vms);
        let all = f64::from(self.domains) * group;
        let targets = f64::from(self.targets) / f64::from(self.domains);
        [group, all - group, targets, f64::from(self.shards)]
    }
}

/// The sizes. Together they tell the four slopes and the base apart.
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

/// What a VM does in the measured deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Role {
    Other,
    DomainLeader,
    ControlVoter,
    ControlLeader,
}

/// Use per second of one VM.
#[derive(Clone, Copy, Debug)]
struct VmUsage {
    size: DeploymentSize,
    /// Whether it leads its domain.
    leads_domain: bool,
    /// Its part in the control group, or whether it leads its domain.
    role: Role,
    /// Part of a core in percent.
    cpu_percent: f64,
    /// Resident memory in kB.
    resident_kb: f64,
    /// Bytes per second.
    bytes: f64,
    /// Messages per second.
    messages: f64,
}

/// Cost of bundles.
#[derive(Clone, Copy, Debug)]
struct BundleCost {
    /// Processor time per bundle and VM in ms, above that of an idle VM.
    cpu_ms: f64,
    /// Memory per bundle and VM in kB.
    resident_kb: f64,
    /// Bytes per bundle and VM, above those of an idle VM.
    bytes: f64,
}

/// Measures the section.
///
/// # Errors
///
/// Fails when a deployment cannot be started or its figures cannot be read.
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
            "idle for {} s after the deployment came to rest; processor time from /proc/PID/stat \
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
    let places = deployment.running_vms();
    let before = read_all(deployment, &places)?;
    let start = Instant::now();
    thread::sleep(time);
    let after = read_all(deployment, &places)?;
    let seconds = start.elapsed().as_secs_f64();
    let mut vms = Vec::new();
    for ((&place, before), after) in places.iter().zip(before).zip(after) {
        let leads_domain = deployment.leader(place, "group")? == place;
        let role = if deployment.leader(place, "control")? == place {
            Role::ControlLeader
        } else if place.vm == 1 {
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
    places: &[VmLocation],
) -> Result<Vec<Usage>, MeasureError> {
    places
        .iter()
        .map(|&place| read_usage(deployment, place))
        .collect()
}

/// Submits bundles one after the other and returns what each costs on the mean VM.
fn bundle_cost(
    deployment: &mut Deployment,
    shape: Shape,
    idle: &[VmUsage],
) -> Result<BundleCost, MeasureError> {
    let places = deployment.running_vms();
    let before = read_all(deployment, &places)?;
    let start = Instant::now();
    let first = VmLocation { domain: 1, vm: 1 };
    for number in 0..SUBMISSIONS {
        let record_life = format!("record_life: {}m", 11 + number);
        let services = shape.services(0).replace("record_life: 10m", &record_life);
        let version = submit(&mut deployment.fleet, &services, first)?;
        deployment.fleet.wait_for_bundle(version, START_TIMEOUT)?;
    }
    let seconds = start.elapsed().as_secs_f64();
    let after = read_all(deployment, &places)?;
    let count = (places.len() * SUBMISSIONS) as f64;
    let mean = |value: fn(&VmUsage) -> f64| idle.iter().map(value).sum::<f64>() / idle.len() as f64;
    let increase = |value: fn(&Usage) -> f64| {
        let both = before.iter().zip(&after);
        both.map(|(b, a)| value(a) - value(b)).sum::<f64>()
    };
    let idle_cpu = mean(|n| n.cpu_percent) / 100.0 * seconds * places.len() as f64;
    let idle_bytes = mean(|n| n.bytes) * seconds * places.len() as f64;
    Ok(BundleCost {
        cpu_ms: (increase(|u| u.cpu_seconds) - idle_cpu) / count * 1e3,
        resident_kb: increase(|u| u.resident_kb) / count,
        bytes: (increase(|u| u.bytes) - idle_bytes) / count,
    })
}
