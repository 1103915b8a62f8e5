//! Placement of shards on targets, and choice of a target for requests without a key.
//!
//! Start with [`place`], which decides which target owns which shard of one service, and
//! [`LoadBalancer`], which picks a target for one request. [`baseline`] and [`choose::baseline`] hold
//! the simpler policies that tests and measurements compare with.

pub mod baseline;
pub mod choose;
mod load;
mod place;
mod shares;

pub use choose::{
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
pub use shares::divide_slots;
