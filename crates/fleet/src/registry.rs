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

/// Largest number of requests that one target runs concurrently.
const MAX_SLOTS: u32 = 1 << 16;
/// Latest start of a target: the beginning of the year 2200. The clock of a control VM may be wrong,
/// so it sets no closer bound.
const MAX_INCARNATION: Incarnation = 7_258_118_400_000;

/// State of a target, as it announces it. A target is registered as [`TargetState::Cold`] only if
/// its service has a warm-up rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// Accepts requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// Has announced that it leaves. It may still finish requests.
    Left,
    /// Accepts requests at the warm-up rate of its service.
    Cold,
}

impl TargetState {
    /// Whether new requests may be sent to the target.
    ///
    /// ```
    /// use camphordale_fleet::TargetState;
    ///
    /// assert!(TargetState::Cold.accepts_requests());
    /// assert!(!TargetState::Draining.accepts_requests());
    /// ```
    pub fn accepts_requests(self) -> bool {
        match self {
            TargetState::Ready | TargetState::Cold => true,
            TargetState::Draining | TargetState::Left => false,
        }
    }
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

/// Why an announcement names no target that could be used. It may come from another writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidAnnouncement {
    /// No target listens at such an address.
    #[error("{0} is not an address of a target")]
    Address(Address),
    /// No target runs so many requests.
    #[error("{0} is not a number of slots")]
    Slots(u32),
    /// No target can have started then. It would stand in the way of all later incarnations at its
    /// id and address.
    #[error("{0} is not the time of a start")]
    Incarnation(Incarnation),
}

impl Announcement {
    /// Checks what the types leave open.
    ///
    /// # Errors
    ///
    /// [`InvalidAnnouncement`] names the first field that no target can have.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_fleet::{Announcement, InvalidAnnouncement, LeaseReport};
    ///
    /// let announcement = Announcement {
    ///     id: "t1".into(),
    ///     incarnation: 1_700_000_000_000,
    ///     sequence: 1,
    ///     service: "reads".into(),
    ///     address: "10.0.0.1:80".parse()?,
    ///     domain: "a".into(),
    ///     slots: 0,
    ///     draining: false,
    ///     warm_up: 0,
    ///     report: LeaseReport::default(),
    /// };
    /// assert_eq!(announcement.check(), Err(InvalidAnnouncement::Slots(0)));
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn check(&self) -> Result<(), InvalidAnnouncement> {
        let ip = self.address.ip();
        if self.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            return Err(InvalidAnnouncement::Address(self.address));
        }
        if !(1..=MAX_SLOTS).contains(&self.slots) {
            return Err(InvalidAnnouncement::Slots(self.slots));
        }
        if self.incarnation > MAX_INCARNATION {
            return Err(InvalidAnnouncement::Incarnation(self.incarnation));
        }
        Ok(())
    }

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
