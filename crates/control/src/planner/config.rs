//! Settings and input of the planner.

use std::time::Duration;

use camphordale_types::{
    DomainName,
    Incarnation,
    VmId, //
};

use crate::DomainReport;

/// Settings of the planner.
#[derive(Clone, Debug)]
pub struct PlannerConfig {
    /// Voters of a domain group, at most 5.
    pub group_size: usize,
    /// How long a group that could be formed waits for further members.
    pub form_wait: Duration,
    /// Time without a leader's report after which a domain is silent.
    pub report_timeout: Duration,
    /// Time after which a proposal without effect is repeated.
    pub retry_interval: Duration,
    /// How long the first homes of a service wait for further domains to report targets.
    pub home_delay: Duration,
    /// Time without targets after which a home is asked to release shards.
    pub starvation_timeout: Duration,
    /// Time for which an imbalance between domains must last before shards move.
    pub rebalance_delay: Duration,
    /// Ratio of the highest to the mean number of shards for each slot from which domains count as
    /// imbalanced.
    pub imbalance_ratio: f64,
    /// Lease of an entry VM in its domain group.
    pub vm_lease: Duration,
    /// Margin for clock drift and for stalls between a lease check and a write, added to a tenth
    /// of the domain lease.
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

/// Input of the planner.
#[derive(Clone, Debug)]
pub enum PlannerEvent {
    /// This VM became control leader, and everything up to its own first entry is applied.
    Elected,
    /// This VM is no longer control leader.
    SteppedDown,
    /// The leader of a domain group reports and asks to renew its domain lease. The event may be
    /// passed on only while no other control leader can exist.
    Report(DomainReport),
    /// A VM that hears of no leader of its domain group.
    Leaderless {
        /// The VM.
        vm: VmId,
        /// The run of its process.
        incarnation: Incarnation,
        /// Its domain.
        domain: DomainName,
        /// Term of the group that it knows.
        term: u64,
        /// Whether it has promised to take no part in that term any more.
        sealed: bool,
    },
    /// Time has passed, or the state has changed.
    Tick,
}
