//! Measures the time from the submission of a bundle until it is in force on all VMs.

use std::time::Instant;

use camphordale_standin::fleet::VmLocation;

use crate::{
    MeasureError, MeasuredValues, RunOptions, Spread, Table,
    deployment::{
        Deployment,
        START_TIMEOUT,
        Shape,
        submit, //
    },
};

/// Bundles that are submitted one after the other.
const SUBMISSIONS: usize = 10;

/// Runs the benchmark.
///
/// # Errors
///
/// Fails when the deployment cannot be started or does not accept a bundle.
pub fn measure(
    options: &RunOptions,
    measured: &mut MeasuredValues,
) -> Result<Vec<Table>, MeasureError> {
    let shape = Shape {
        domains: 3,
        vms: 3,
        shards: 256,
        slots: 6,
    };
    let mut deployment = Deployment::start(options, shape)?;
    for domain in 1..=shape.domains {
        for _ in 0..3 {
            deployment.add_target(domain, "keyed", shape.slots)?;
        }
    }
    deployment.await_stable(START_TIMEOUT)?;
    let (mut accepted, mut all) = (Vec::new(), Vec::new());
    for number in 0..SUBMISSIONS {
        // Only the record lifetime of the first service changes, so that no shard moves.
        let services = shape.services(0);
        let record_life = format!("record_life: {}m", 11 + number);
        let services = services.replace("record_life: 10m", &record_life);
        let location = VmLocation {
            domain: 1 + (number % 3) as u8,
            vm: 1 + (number / 3 % 3) as u8,
        };
        let start = Instant::now();
        let version = submit(&mut deployment.fleet, &services, location)?;
        accepted.push(start.elapsed().as_secs_f64() * 1e3);
        deployment.fleet.wait_for_bundle(version, START_TIMEOUT)?;
        all.push(start.elapsed().as_secs_f64() * 1e3);
    }
    let mut table = Table::new(
        "Time from the submission of a bundle, in ms",
        &["step", "min / median / max"],
    );
    table.condition(options.command("bundle"));
    table.condition(format!(
        "{SUBMISSIONS} submissions in a row, each to another of 9 VMs in 3 domains; polled every 20 ms; \
         limit 12 s"
    ));
    let all = Spread::of(all);
    let accepted = format!("{:.1}", Spread::of(accepted));
    table.row(["accepted, answer to the submitter".to_string(), accepted]);
    table.row(["in force on all 9 VMs".to_string(), format!("{all:.1}")]);
    measured.set("bundle.in_force_ms_max", all.max);
    measured.set("bundle.in_force_ms_median", all.median);
    Ok(vec![table])
}
