//! Sizes for which placement is measured.

use camphordale_types::{
    Service,
    Weights, //
};

use crate::service::keyed_service;

/// One service in one domain group.
#[derive(Clone, Copy, Debug)]
pub(super) struct Size {
    pub(super) name: &'static str,
    pub(super) targets: usize,
    pub(super) slots: u32,
    pub(super) shards: u32,
    pub(super) keys: usize,
    weights: (f64, f64, f64),
}

/// Requests per second per target. At 4 ms per request about half of a target's slots are in use.
pub(super) const RATE_PER_TARGET: f64 = 500.0;

/// The services of both deployments with all of their targets in one group, the largest service in
/// one of three domains, and the design size.
///
/// The design size has 480 entry VMs in 40 groups of 12. Today's deployments have 26 and 28 targets
/// for 9 to 10 entry VMs, so a group of 12 VMs has 34 targets. It has 32 shards per target, where
/// the reservations have 43 and the schedules 26. This gives 1,088 shards per group and 43,520 in
/// total, which is below the maximum of 65,536 shards per service.
pub(super) const SIZES: [Size; 7] = [
    Size {
        name: "Kilimo reservations",
        targets: 6,
        slots: 4,
        shards: 256,
        keys: 20_000,
        weights: (1.0, 1.0, 4.0),
    },
    Size {
        name: "Kilimo reports",
        targets: 10,
        slots: 4,
        shards: 128,
        keys: 20_000,
        weights: (1.0, 0.5, 2.0),
    },
    Size {
        name: "Wiratama schedules",
        targets: 10,
        slots: 6,
        shards: 256,
        keys: 20_000,
        weights: (1.0, 4.0, 2.0),
    },
    Size {
        name: "Wiratama bookings",
        targets: 8,
        slots: 6,
        shards: 256,
        keys: 20_000,
        weights: (0.5, 4.0, 2.0),
    },
    Size {
        name: "Wiratama tonnage",
        targets: 10,
        slots: 6,
        shards: 64,
        keys: 20_000,
        weights: (0.5, 2.0, 1.0),
    },
    Size {
        name: "Wiratama schedules, one of 3 domains",
        targets: 4,
        slots: 6,
        shards: 86,
        keys: 7_000,
        weights: (1.0, 4.0, 2.0),
    },
    Size {
        name: "design size, one group",
        targets: 34,
        slots: 6,
        shards: 1_088,
        keys: 200_000,
        weights: (1.0, 1.0, 1.0),
    },
];

impl Size {
    /// Returns the weights of the placement objective.
    pub(super) fn weights(&self) -> Weights {
        let (imbalance, churn, unavailable) = self.weights;
        Weights {
            imbalance,
            churn,
            unavailable,
        }
    }

    /// Returns a service of this size.
    pub(super) fn service(&self) -> Service {
        Service {
            weights: self.weights(),
            ..keyed_service("measured", self.shards, self.slots)
        }
    }
}
