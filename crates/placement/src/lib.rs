//! Placement of shards on targets, and load balancing of requests without a key.
//!
//! Start with [`place`], which assigns the shards of one service to targets, and
//! [`LoadBalancer`], which picks a target for one request. [`baseline`] and
//! [`load_balancer::baseline`] contain simpler policies for comparison in tests and benchmarks.

pub mod baseline;
mod load;
pub mod load_balancer;
mod place;
mod slots;

pub use load_balancer::{
    Candidate,
    LoadBalancer, //
};
pub use place::{
    Move,
    PlacementInput,
    Shard,
    Target,
    place, //
};
pub use slots::divide_slots;
