//! Target registry: announcements and records.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    key_leases::LeaseReport,
    routing::{
        Domain,
        ServiceName, //
    },
};

/// Id from a target's announcements. A target may restart under the same id.
pub type TargetId = Box<str>;
/// Incarnation of a target: the start time of its process, in milliseconds since 1970 by its own
/// clock.
pub type Incarnation = u64;
/// Address of a target.
pub type Address = SocketAddr;

/// State of a target, as it announces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// Accepts requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// Has announced that it leaves. It may still finish requests.
    Left,
}

/// An announcement of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Id of the target.
    pub id: TargetId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation; a lower number than the last one marks a late
    /// announcement.
    pub sequence: u64,
    /// Service.
    pub service: ServiceName,
    /// Address.
    pub address: Address,
    /// Failure domain.
    pub domain: Domain,
    /// Requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is draining, which means that it accepts no new requests.
    pub draining: bool,
    /// Time in milliseconds for which the target stays slow after its start.
    pub warm_up: u64,
    /// What the target says about its keys. Empty for targets that are called to grant keys.
    pub report: LeaseReport,
}

/// One incarnation of a target, as replicated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Service.
    pub service: ServiceName,
    /// Address.
    pub address: Address,
    /// Failure domain.
    pub domain: Domain,
    /// Requests that the target runs concurrently.
    pub slots: u32,
    /// State that it announced last.
    pub state: TargetState,
}

/// One incarnation of a target, as the holder of keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// Id of the target.
    pub id: TargetId,
    /// Incarnation.
    pub incarnation: Incarnation,
}

impl Announcement {
    /// The registry record for the announcement.
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
