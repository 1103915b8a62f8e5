//! Enums for the values of labels, so that the number of label sets is bounded.

use camphordale_types::Refusal;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A target responded.
    Responded,
    /// The request was refused.
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
    /// The shard has no owner.
    Free,
    /// The shard has an owner.
    Held,
    /// The sender to the owner is releasing the shard.
    Releasing,
    /// The shard has been released and waits to move to another domain.
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
    /// Time to receive a header.
    HeaderTime,
    /// Size of a header.
    HeaderSize,
    /// Time to receive a body.
    BodyTime,
    /// Size of a body.
    BodySize,
    /// Idle time between requests.
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

impl RequestOutcome {
    /// Returns the value of the label `outcome`, which is that of the `Camphordale-Outcome` header
    /// for refusals.
    pub fn label(self) -> &'static str {
        match self {
            RequestOutcome::Responded => "answered",
            RequestOutcome::Refused(Refusal::NotRun(_)) => "not-run",
            RequestOutcome::Refused(Refusal::Unknown(_)) => "unknown",
        }
    }

    /// Returns the index of the label in arrays with one element per label value.
    pub(crate) fn index(self) -> usize {
        match self {
            RequestOutcome::Responded => 0,
            RequestOutcome::Refused(Refusal::NotRun(_)) => 1,
            RequestOutcome::Refused(Refusal::Unknown(_)) => 2,
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
