//! Capacity at the design size, worked out from the values of the measurements.

mod requirements;
mod roles;

use crate::{
    MeasureError,
    MeasuredValues,
    RunOptions,
    Table, //
};

/// Entry VMs at the design size.
const VMS: f64 = 480.0;

/// VMs of one domain group.
const GROUP_VMS: f64 = 12.0;

/// Targets of one domain group: 26 to 28 targets for 9 to 10 VMs, as today.
const GROUP_TARGETS: f64 = 34.0;

/// Shards of one domain group, 32 for each target.
const GROUP_SHARDS: f64 = 1_088.0;

/// Shards of all 40 groups.
const SHARDS: f64 = 43_520.0;

/// Domains in the deployments in which shards were varied.
const MEASURED_DOMAINS: f64 = 3.0;

/// Requests per second of all VMs.
const REQUEST_RATE: f64 = 3_200_000.0;

/// Bundles per day.
const BUNDLES_PER_DAY: f64 = 1_300.0;

/// Seconds of a day.
const DAY_SECONDS: f64 = 86_400.0;

/// Works out the section.
///
/// # Errors
///
/// Never fails; values that are missing are shown as not measured.
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

/// Compares a value with its limit.
fn verdict(value: Option<f64>, is_met: impl Fn(f64) -> bool) -> &'static str {
    match value {
        None => "not measured",
        Some(value) if is_met(value) => "meets",
        Some(_) => "MISSES",
    }
}
