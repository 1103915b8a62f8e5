//! The part of the control group's state that is distributed to all VMs.

use camphordale_bundle::SignedBundle;
use camphordale_types::{
    DomainName,
    ServiceName,
    VmInfo, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    Group,
    HomeRanges, //
};

/// Control log index of the last change of each part; 0 for a part that is empty or unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Of the latest bundle.
    pub bundle: u64,
    /// Of the registered VMs.
    pub vms: u64,
    /// Of the domain groups.
    pub groups: u64,
    /// Of the homes of shards.
    pub homes: u64,
    /// Of the domains declared lost or evacuated.
    pub lost: u64,
}

impl Versions {
    /// Claims to have the newest version of each part, for a VM that asks for none.
    pub const NEWEST: Versions = Versions {
        bundle: u64::MAX,
        vms: u64::MAX,
        groups: u64::MAX,
        homes: u64::MAX,
        lost: u64::MAX,
    };

    /// Returns whether every part is at least as new as in `other`.
    pub fn covers(&self, other: &Versions) -> bool {
        self.bundle >= other.bundle
            && self.vms >= other.vms
            && self.groups >= other.groups
            && self.homes >= other.homes
            && self.lost >= other.lost
    }
}

/// The domains about which an operator's order is in force.
///
/// It is encoded as one list of names: the lost domains, and only if there are evacuated ones, an
/// empty name and the evacuated domains. Without an evacuation the encoding is that of the version
/// that knew no evacuations, and that version can read the list in any case. No domain that can be
/// evacuated has an empty name.
///
/// # Examples
///
/// ```
/// use camphordale_control::DomainOrders;
///
/// let orders = DomainOrders { lost: vec!["east".into()], evacuated: vec!["north".into()] };
/// let names = Vec::from(orders.clone());
/// assert_eq!(names, ["east".into(), "".into(), "north".into()]);
/// assert_eq!(DomainOrders::from(names), orders);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<DomainName>", into = "Vec<DomainName>")]
pub struct DomainOrders {
    /// The domains declared lost, in order.
    pub lost: Vec<DomainName>,
    /// The domains under evacuation, in order.
    pub evacuated: Vec<DomainName>,
}

impl From<Vec<DomainName>> for DomainOrders {
    fn from(mut names: Vec<DomainName>) -> Self {
        let separator = names.iter().position(|name| name.is_empty());
        let evacuated = match separator {
            Some(at) => names.split_off(at).split_off(1),
            None => Vec::new(),
        };
        DomainOrders {
            lost: names,
            evacuated,
        }
    }
}

impl From<DomainOrders> for Vec<DomainName> {
    fn from(orders: DomainOrders) -> Self {
        let mut names = orders.lost;
        if !orders.evacuated.is_empty() {
            names.push("".into());
            names.extend(orders.evacuated);
        }
        names
    }
}

/// A part of a directory with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned<Content> {
    /// Control log index of its last change.
    pub version: u64,
    /// The complete content.
    pub content: Content,
}

/// The parts of the state that are newer than those of the requesting VM, all as of one log index.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Directory {
    /// Versions that the requesting VM had. Only a VM with parts at least as new can merge the
    /// directory, because parts that are not newer than `since` are omitted.
    pub since: Versions,
    /// The latest bundle.
    pub bundle: Option<Versioned<SignedBundle>>,
    /// The registered VMs, ordered by id.
    pub vms: Option<Versioned<Vec<VmInfo>>>,
    /// The domain groups, ordered by domain.
    pub groups: Option<Versioned<Vec<(DomainName, Group)>>>,
    /// The homes of shards, ordered by service.
    pub homes: Option<Versioned<Vec<(ServiceName, HomeRanges)>>>,
    /// The domains declared lost or evacuated.
    pub lost: Option<Versioned<DomainOrders>>,
}

impl Directory {
    /// Returns whether the directory contains no newer part.
    pub fn is_empty(&self) -> bool {
        let empty = Directory {
            since: self.since,
            ..Directory::default()
        };
        *self == empty
    }
}
