//! Closed sets of label values.

use camphordale_types::Refusal;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A target answered.
    Answered,
    /// The caller got a refusal.
    Refused(Refusal),
}

/// The groups that elect leaders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupKind {
    /// The control group.
    Control,
    /// The group of the VM's domain.
    Domain,
}

/// The phases of a shard in its domain group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has no owner.
    Free,
    /// It has an owner.
    Held,
    /// Its sender is stopping.
    Releasing,
    /// It waits to move to another domain.
    Parked,
}

/// The listeners of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// For callers.
    Callers,
    /// For targets.
    Targets,
    /// For operators, health and metrics.
    Operators,
    /// For other VMs.
    Peers,
}

/// The limits at which a listener refuses a connection or request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// Open connections.
    Connections,
    /// Open connections from one address.
    PerSource,
    /// Time for a header.
    HeaderTime,
    /// Size of a header.
    HeaderSize,
    /// Time for a body.
    BodyTime,
    /// Size of a body.
    BodySize,
    /// Time between requests.
    IdleTime,
}

/// Directions of traffic between VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Received.
    In,
    /// Sent.
    Out,
}

impl Ending {
    /// Returns the value of the label `outcome`, which is that of the `Camphordale-Outcome` header
    /// for refusals.
    pub fn label(self) -> &'static str {
        match self {
            Ending::Answered => "answered",
            Ending::Refused(Refusal::NotRun(_)) => "not-run",
            Ending::Refused(Refusal::Unknown(_)) => "unknown",
        }
    }

    /// Returns the position of the label among the three.
    pub(crate) fn index(self) -> usize {
        match self {
            Ending::Answered => 0,
            Ending::Refused(Refusal::NotRun(_)) => 1,
            Ending::Refused(Refusal::Unknown(_)) => 2,
        }
    }
}

impl GroupKind {
    pub(crate) fn label(self) -> &'static str {
        match self {
            GroupKind::Control => "control",
            GroupKind::Domain => "domain",
        }
    }
}

impl Phase {
    pub(crate) fn label(self) -> &'static str {
        match self {
            Phase::Free => "free",
            Phase::Held => "held",
            Phase::Releasing => "releasing",
            Phase::Parked => "parked",
        }
    }
}

impl Listener {
    pub(crate) fn label(self) -> &'static str {
        match self {
            Listener::Callers => "callers",
            Listener::Targets => "targets",
            Listener::Operators => "operators",
            Listener::Peers => "peers",
        }
    }
}

impl Limit {
    pub(crate) fn label(self) -> &'static str {
        match self {
            Limit::Connections => "connections",
            Limit::PerSource => "per_source",
            Limit::HeaderTime => "header_time",
            Limit::HeaderSize => "header_size",
            Limit::BodyTime => "body_time",
            Limit::BodySize => "body_size",
            Limit::IdleTime => "idle_time",
        }
    }
}

impl Direction {
    pub(crate) fn label(self) -> &'static str {
        match self {
            Direction::In => "in",
            Direction::Out => "out",
        }
    }
}
