//! Estimates the capacity at the design size from the measured values.

mod requirements;
mod roles;

use crate::{
    MeasureError,
    MeasuredValues,
    RunOptions,
    Table, //
};

/// Number of entry VMs at the design size.
const VMS: f64 = 480.0;

/// VMs in one domain group.
const GROUP_VMS: f64 = 12.0;

/// Targets in one domain group: the same ratio to VMs as today's 26 to 28 targets for 9 to 10 VMs.
const GROUP_TARGETS: f64 = 34.0;

/// Shards in one domain group, 32 per target.
const GROUP_SHARDS: f64 = 1_088.0;

/// Shards in all 40 groups.
const SHARDS: f64 = 43_520.0;

/// Domains in the deployments with which section `control` varies the number of shards.
const MEASURED_DOMAINS: f64 = 3.0;

/// Requests per second to all VMs.
const REQUEST_RATE: f64 = 3_200_000.0;

/// Bundles per day.
const BUNDLES_PER_DAY: f64 = 1_300.0;

/// Seconds per day.
const DAY_SECONDS: f64 = 86_400.0;

/// Computes the capacity tables.
///
/// # Errors
///
/// Never returns one: a missing value is shown as not measured. The result type is that of every
/// section's function.
pub fn measure(
    options: &RunOptions,
    measured: &mut MeasuredValues,
) -> Result<Vec<Table>, MeasureError> {
    let mut tables = vec![roles::table(measured), requirements::table(measured)];
    for table in &mut tables {
        table.condition(options.command("capacity"));
    }
    Ok(tables)
}

/// Returns the verdict that a table shows for a value.
fn verdict(value: Option<f64>, is_met: impl Fn(f64) -> bool) -> &'static str {
    match value {
        None => "not measured",
        Some(value) if is_met(value) => "meets",
        Some(_) => "MISSES",
    }
}
