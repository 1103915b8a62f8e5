//! Targets, as they announce themselves.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::routing::{
    Domain,
    ServiceName, //
};

/// Id that a target announces itself with. A target may start again under the id it had.
pub type TargetId = Box<str>;
/// Start of a life of a target, in milliseconds of its own clock since 1970. Together with the id
/// it names one life.
pub type Incarnation = u64;
/// Address of a target.
pub type Address = SocketAddr;

/// What a target says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// Takes work.
    Ready,
    /// Finishes its work and takes no more.
    Draining,
    /// Has said that it leaves; it may still finish work.
    Left,
}

/// One announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Id of the target.
    pub id: TargetId,
    /// Start of this life.
    pub incarnation: Incarnation,
    /// Number of the announcement in this life; an announcement with a lower number is late.
    pub sequence: u64,
    /// Service.
    pub service: ServiceName,
    /// Address.
    pub address: Address,
    /// Failure domain.
    pub domain: Domain,
    /// Requests that the target runs at a time.
    pub slots: u32,
    /// Whether it takes work.
    pub draining: bool,
    /// Milliseconds for which the target stays slow after its start.
    pub warm_up: u64,
}

/// One life of a target, as replicated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Start of this life.
    pub incarnation: Incarnation,
    /// Service.
    pub service: ServiceName,
    /// Address.
    pub address: Address,
    /// Failure domain.
    pub domain: Domain,
    /// Requests that the target runs at a time.
    pub slots: u32,
    /// What it says of itself.
    pub state: TargetState,
}

/// One life of a target, as the holder of keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// Id of the target.
    pub id: TargetId,
    /// Start of the life.
    pub incarnation: Incarnation,
}

impl Announcement {
    /// The record that the directory keeps of the announcement.
    pub fn target(&self) -> Target {
        Target {
            incarnation: self.incarnation,
            service: self.service.clone(),
            address: self.address,
            domain: self.domain.clone(),
            slots: self.slots,
            state: if self.draining {
                TargetState::Draining
            } else {
                TargetState::Ready
            },
        }
    }
}
