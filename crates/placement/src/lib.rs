//! Placement of shards on targets, and choice of a target for requests without a key.
//!
//! Start with [`place`], which decides which target owns which shard of one service, and
//! [`LoadBalancer`], which picks a target for one request. [`baseline`] and
//! [`load_balancer::baseline`] hold the simpler policies that tests and measurements compare with.

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
