//! CPU time, memory and network traffic of a VM's daemon process.

use std::{
    fs,
    io, //
};

use camphordale_standin::fleet::{
    OPERATOR_PORT,
    VmLocation, //
};

use crate::MeasureError;

use super::{
    Deployment,
    get_text, //
};

/// Clock ticks per second in `/proc/PID/stat`. Linux always reports 100 to user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// Totals since the start of the process, and its current memory.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// CPU time in seconds, user and system.
    pub(crate) cpu_seconds: f64,
    /// Resident memory in kB.
    pub(crate) resident_kb: f64,
    /// Bytes sent to and received from other VMs.
    pub(crate) bytes: f64,
    /// Messages sent to and received from other VMs.
    pub(crate) messages: f64,
}

/// Reads the usage of a VM.
pub(crate) fn read_usage(
    deployment: &mut Deployment,
    location: VmLocation,
) -> Result<Usage, MeasureError> {
    let id = match deployment.fleet.daemon(location) {
        Some(process) => process.id(),
        None => return Err(MeasureError::unexpected("usage", "the VM is not running")),
    };
    let address = deployment.fleet.address(location, OPERATOR_PORT);
    let metrics = get_text(address, "/metrics").map_err(MeasureError::file("read metrics"))?;
    Ok(Usage {
        cpu_seconds: read_cpu_seconds(id).map_err(MeasureError::file("read processor time"))?,
        resident_kb: read_resident_kb(id).map_err(MeasureError::file("read memory"))?,
        bytes: sum(&metrics, "camphordale_peer_bytes"),
        messages: sum(&metrics, "camphordale_peer_messages"),
    })
}

fn read_cpu_seconds(id: u32) -> io::Result<f64> {
    let text = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The process name in parentheses can contain spaces, so fields are counted from its end.
    // User and system time are fields 14 and 15 of the line.
    let after = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = |at: usize| -> Option<f64> { fields.get(at)?.parse().ok() };
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let sum = ticks(11).zip(ticks(12)).ok_or_else(invalid)?;
    Ok((sum.0 + sum.1) / TICKS_PER_SECOND)
}

pub(crate) fn read_resident_kb(id: u32) -> io::Result<f64> {
    let text = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    value.ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// Returns the sum of all time series whose name starts with `name`.
fn sum(metrics: &str, name: &str) -> f64 {
    metrics
        .lines()
        .filter(|line| line.starts_with(name))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}
