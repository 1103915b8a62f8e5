//! Configuration and events of the planner.

use std::time::Duration;

use camphordale_types::{
    DomainName,
    Incarnation,
    VmId, //
};

use crate::DomainReport;

/// Configuration of the planner.
#[derive(Clone, Debug)]
pub struct PlannerConfig {
    /// Number of voters of a domain group, at most 5.
    pub group_size: usize,
    /// How long the formation of a group waits for further members.
    pub form_wait: Duration,
    /// Time without a report of its leader after which a domain counts as not reporting.
    pub report_timeout: Duration,
    /// Interval after which a command that has not taken effect is proposed again.
    pub retry_interval: Duration,
    /// How long the first homes of a service wait for further domains to report targets.
    pub home_delay: Duration,
    /// Time without targets after which a home domain is asked to release its shards.
    pub starvation_timeout: Duration,
    /// Time for which an imbalance between domains must persist before shards move.
    pub rebalance_delay: Duration,
    /// Ratio of the maximum to the mean number of shards per slot above which domains count as
    /// imbalanced.
    pub imbalance_ratio: f64,
    /// Lease of an entry VM in its domain group.
    pub vm_lease: Duration,
    /// Margin for clock drift and for pauses between a lease check and a write. It is added to a
    /// tenth of the domain lease.
    pub safety_margin: Duration,
}

impl Default for PlannerConfig {
    fn default() -> Self {
        PlannerConfig {
            group_size: 3,
            form_wait: Duration::from_secs(1),
            report_timeout: Duration::from_secs(2),
            retry_interval: Duration::from_millis(500),
            home_delay: Duration::from_secs(3),
            starvation_timeout: Duration::from_secs(5),
            rebalance_delay: Duration::from_secs(10),
            imbalance_ratio: 1.5,
            vm_lease: Duration::from_millis(500),
            safety_margin: Duration::from_millis(500),
        }
    }
}

/// An event that the planner handles.
#[derive(Clone, Debug)]
pub enum PlannerEvent {
    /// This VM became control leader and has applied all entries up to the first one of its term.
    Elected,
    /// This VM is no longer control leader.
    SteppedDown,
    /// The leader of a domain group sent a report, which requests a renewal of its domain lease.
    /// The event must only be passed to the planner while no other control leader can exist.
    Report(DomainReport),
    /// A VM reported that it knows no leader of its domain group.
    Leaderless {
        /// The VM.
        vm: VmId,
        /// Incarnation of its process.
        incarnation: Incarnation,
        /// Its domain.
        domain: DomainName,
        /// Term of the group that it knows.
        term: u64,
        /// Whether it has sealed that term: it has promised to take no part in it any more.
        sealed: bool,
    },
    /// Time has passed, or the state has changed.
    Tick,
}
