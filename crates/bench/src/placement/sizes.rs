//! The sizes at which placement is measured.

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

/// Requests per second for each target. Its slots are about half full at 4 ms per request.
pub(super) const RATE_PER_TARGET: f64 = 500.0;

/// Sizes of both deployments with all targets of a service in one group, the largest service as
/// one of three domains sees it, and the design size.
///
/// 480 entry VMs in groups of about 12 are 40 groups. Today's deployments have 26 and 28 targets
/// for 9 to 10 entry VMs, so a group of 12 has 34. With 32 shards for each target, as the
/// reservations have 43 and the schedules 26, a group holds 1,088 shards and all groups 43,520,
/// below the most that a service may have (65,536).
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
    /// Returns the weights of the measures.
    pub(super) fn weights(&self) -> Weights {
        let (imbalance, churn, unavailable) = self.weights;
        Weights {
            imbalance,
            churn,
            unavailable,
        }
    }

    /// Returns the service.
    pub(super) fn service(&self) -> Service {
        Service {
            weights: self.weights(),
            ..keyed_service("measured", self.shards, self.slots)
        }
    }
}
