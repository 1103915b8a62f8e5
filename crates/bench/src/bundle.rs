//! Time until a bundle is in force on all VMs.

use std::time::Instant;

use camphordale_standin::fleet::VmLocation;

use crate::{
    MeasureError, Run, Slopes, Spread, Table,
    deployment::{
        Deployment,
        START_LIMIT,
        Shape,
        submit, //
    },
};

/// Submissions in a row.
const COUNT: usize = 10;

/// Measures the section.
///
/// # Errors
///
/// Fails when the deployment cannot be started or does not take a bundle.
pub fn measure(run: &Run, slopes: &mut Slopes) -> Result<Vec<Table>, MeasureError> {
    let shape = Shape {
        domains: 3,
        vms: 3,
        shards: 256,
        slots: 6,
    };
    let mut deployment = Deployment::start(run, shape)?;
    for domain in 1..=shape.domains {
        for _ in 0..3 {
            deployment.add_target(domain, "keyed", shape.slots)?;
        }
    }
    deployment.await_quiet(START_LIMIT)?;
    let (mut accepted, mut all) = (Vec::new(), Vec::new());
    for number in 0..COUNT {
        // Only the record life of the first service changes, so that no shard moves.
        let services = shape.services(0);
        let life = format!("record_life: {}m", 11 + number);
        let services = services.replace("record_life: 10m", &life);
        let to = VmLocation {
            domain: 1 + (number % 3) as u8,
            vm: 1 + (number / 3 % 3) as u8,
        };
        let start = Instant::now();
        let version = submit(&mut deployment.fleet, &services, to)?;
        accepted.push(start.elapsed().as_secs_f64() * 1e3);
        deployment.fleet.wait_for_bundle(version, START_LIMIT)?;
        all.push(start.elapsed().as_secs_f64() * 1e3);
    }
    let mut table = Table::new(
        "Time from the submission of a bundle, in ms",
        &["step", "min / median / max"],
    );
    table.condition(run.command("bundle"));
    table.condition(format!(
        "{COUNT} submissions in a row, each to another of 9 VMs in 3 domains; looked at every 20 ms; \
         limit 12 s"
    ));
    let all = Spread::of(all);
    let accepted = format!("{:.1}", Spread::of(accepted));
    table.row(["accepted, answer to the submitter".to_string(), accepted]);
    table.row(["in force on all 9 VMs".to_string(), format!("{all:.1}")]);
    slopes.set("bundle.in_force_ms_max", all.max);
    slopes.set("bundle.in_force_ms_median", all.median);
    Ok(vec![table])
}
