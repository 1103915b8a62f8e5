//! The list of benchmark sections.

use crate::{
    MeasureError,
    MeasuredValues,
    RunOptions,
    Table,
    bundle,
    capacity,
    control,
    failover,
    http,
    load_balancing,
    placement,
    router,
    state, //
};

/// One benchmark.
#[derive(Clone, Copy)]
pub struct Section {
    /// Name on the command line and in the marker comments of the page.
    pub name: &'static str,
    /// File name of the page that holds its tables.
    pub page: &'static str,
    /// Runs the benchmark and returns its tables.
    pub measure: fn(&RunOptions, &mut MeasuredValues) -> Result<Vec<Table>, MeasureError>,
}

/// File name of the page with the measured results.
const PAGE: &str = "measurements.md";

/// All sections, in the order in which they run and appear on the page.
pub const SECTIONS: [Section; 9] = [
    Section {
        name: "placement",
        page: PAGE,
        measure: |options, _| placement::measure(options),
    },
    Section {
        name: "choice",
        page: PAGE,
        measure: |options, _| load_balancing::measure(options),
    },
    Section {
        name: "router",
        page: PAGE,
        measure: router::measure,
    },
    Section {
        name: "state",
        page: PAGE,
        measure: state::measure,
    },
    Section {
        name: "http",
        page: PAGE,
        measure: http::measure,
    },
    Section {
        name: "failover",
        page: PAGE,
        measure: failover::measure,
    },
    Section {
        name: "bundle",
        page: PAGE,
        measure: bundle::measure,
    },
    Section {
        name: "control",
        page: PAGE,
        measure: control::measure,
    },
    Section {
        name: "capacity",
        page: "CAPACITY.md",
        measure: capacity::measure,
    },
];
