//! The sections by name.

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

/// A part of the measurements.
#[derive(Clone, Copy)]
pub struct Section {
    /// Name on the command line and in the markers of the page.
    pub name: &'static str,
    /// Page that holds its tables.
    pub page: &'static str,
    /// Makes the measurement.
    pub measure: fn(&RunOptions, &mut MeasuredValues) -> Result<Vec<Table>, MeasureError>,
}

/// The page with the results.
const PAGE: &str = "measurements.md";

/// All sections, in their order on the page.
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
