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
    MeasureError, Run, Slopes, Table,
    deployment::{
        Deployment,
        KEYED,
        START_LIMIT,
        Shape,
        Usage,
        submit,
        usage, //
    },
};

/// Bundles that are submitted to find the cost of one.
const BUNDLES: usize = 40;

/// One size of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Setup {
    domains: u8,
    /// VMs in each domain.
    vms: u8,
    /// Targets in all domains.
    targets: u8,
    shards: u32,
}

impl Setup {
    /// Returns the sizes that the cost of a VM may depend on.
    fn sizes(&self) -> [f64; 4] {
        let group = f64::from(self.vms);
        let all = f64::from(self.domains) * group;
        let targets = f64::from(self.targets) / f64::from(self.domains);
        [group, all - group, targets, f64::from(self.shards)]
    }
}

/// The sizes. Together they tell the four slopes and the base apart.
const SETUPS: [Setup; 7] = [
    Setup {
        domains: 3,
        vms: 3,
        targets: 10,
        shards: 64,
    },
    Setup {
        domains: 1,
        vms: 3,
        targets: 10,
        shards: 64,
    },
    Setup {
        domains: 1,
        vms: 9,
        targets: 10,
        shards: 64,
    },
    Setup {
        domains: 1,
        vms: 9,
        targets: 26,
        shards: 64,
    },
    Setup {
        domains: 3,
        vms: 3,
        targets: 26,
        shards: 64,
    },
    Setup {
        domains: 3,
        vms: 3,
        targets: 10,
        shards: 512,
    },
    Setup {
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
struct Node {
    setup: Setup,
    /// Whether it leads its domain.
    leads: bool,
    /// Its part in the control group, or whether it leads its domain.
    role: Role,
    /// Part of a core in percent.
    cpu: f64,
    /// Resident memory in kB.
    resident: f64,
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
    resident: f64,
    /// Bytes per bundle and VM, above those of an idle VM.
    bytes: f64,
}

/// Measures the section.
///
/// # Errors
///
/// Fails when a deployment cannot be started or its figures cannot be read.
pub fn measure(run: &Run, slopes: &mut Slopes) -> Result<Vec<Table>, MeasureError> {
    let time = Duration::from_secs(if run.trial { 4 } else { 20 });
    let mut nodes = Vec::new();
    let mut bundles = None;
    for setup in SETUPS {
        let shape = Shape {
            domains: setup.domains,
            vms: setup.vms,
            shards: setup.shards,
            slots: 6,
        };
        let mut deployment = start(run, setup, shape)?;
        let idle = watch(&mut deployment, setup, time)?;
        if bundles.is_none() {
            bundles = Some(bundle_cost(&mut deployment, shape, &idle)?);
        }
        nodes.extend(idle);
    }
    report::slopes(&nodes, bundles, slopes);
    let mut tables = vec![report::nodes(&nodes), report::derived(slopes)];
    for table in &mut tables {
        table.condition(run.command("control"));
        table.condition(format!(
            "idle for {} s after the deployment came to rest; processor time from /proc/PID/stat \
             in steps of 10 ms; one control voter in each domain; targets renew \
             through the first VM of their domain, which is the control voter, and get no requests",
            time.as_secs()
        ));
    }
    Ok(tables)
}

fn start(run: &Run, setup: Setup, shape: Shape) -> Result<Deployment, MeasureError> {
    let mut deployment = Deployment::start(run, shape)?;
    for target in 0..setup.targets {
        deployment.add_target(1 + target % setup.domains, KEYED, shape.slots)?;
    }
    deployment.await_quiet(START_LIMIT)?;
    Ok(deployment)
}

fn watch(
    deployment: &mut Deployment,
    setup: Setup,
    time: Duration,
) -> Result<Vec<Node>, MeasureError> {
    let places = deployment.running();
    let before = read(deployment, &places)?;
    let start = Instant::now();
    thread::sleep(time);
    let after = read(deployment, &places)?;
    let seconds = start.elapsed().as_secs_f64();
    let mut nodes = Vec::new();
    for ((&place, before), after) in places.iter().zip(before).zip(after) {
        let leads = deployment.leader(place, "group")? == place;
        let role = if deployment.leader(place, "control")? == place {
            Role::ControlLeader
        } else if place.vm == 1 {
            Role::ControlVoter
        } else if leads {
            Role::DomainLeader
        } else {
            Role::Other
        };
        nodes.push(Node {
            setup,
            leads,
            role,
            cpu: (after.cpu - before.cpu) / seconds * 100.0,
            resident: after.resident,
            bytes: (after.bytes - before.bytes) / seconds,
            messages: (after.messages - before.messages) / seconds,
        });
    }
    Ok(nodes)
}

fn read(deployment: &mut Deployment, places: &[VmLocation]) -> Result<Vec<Usage>, MeasureError> {
    places
        .iter()
        .map(|&place| usage(deployment, place))
        .collect()
}

/// Submits bundles one after the other and returns what each costs on the mean VM.
fn bundle_cost(
    deployment: &mut Deployment,
    shape: Shape,
    idle: &[Node],
) -> Result<BundleCost, MeasureError> {
    let places = deployment.running();
    let before = read(deployment, &places)?;
    let start = Instant::now();
    let first = VmLocation { domain: 1, vm: 1 };
    for number in 0..BUNDLES {
        let life = format!("record_life: {}m", 11 + number);
        let services = shape.services(0).replace("record_life: 10m", &life);
        let version = submit(&mut deployment.fleet, &services, first)?;
        deployment.fleet.wait_for_bundle(version, START_LIMIT)?;
    }
    let seconds = start.elapsed().as_secs_f64();
    let after = read(deployment, &places)?;
    let count = (places.len() * BUNDLES) as f64;
    let mean = |value: fn(&Node) -> f64| idle.iter().map(value).sum::<f64>() / idle.len() as f64;
    let grown = |value: fn(&Usage) -> f64| {
        let both = before.iter().zip(&after);
        both.map(|(b, a)| value(a) - value(b)).sum::<f64>()
    };
    let idle_cpu = mean(|n| n.cpu) / 100.0 * seconds * places.len() as f64;
    let idle_bytes = mean(|n| n.bytes) * seconds * places.len() as f64;
    Ok(BundleCost {
        cpu_ms: (grown(|u| u.cpu) - idle_cpu) / count * 1e3,
        resident: grown(|u| u.resident) / count,
        bytes: (grown(|u| u.bytes) - idle_bytes) / count,
    })
}
