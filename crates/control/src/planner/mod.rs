//! The planner of the control leader, which forms domain groups and assigns home domains to shards.
//!
//! The planner holds no replicated state. The planner of a new leader starts empty and measures
//! every timeout from its own election, so that leases renewed by its predecessor have expired
//! when it acts.

mod config;
mod domain_status;
mod groups;
mod homes;
mod shards;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_types::{
    DomainName,
    ServiceName, //
};

use crate::{
    Command,
    State,
    Versions, //
};
use domain_status::DomainStatus;
use homes::ServicePlan;

pub use config::{
    PlannerConfig,
    PlannerEvent, //
};

/// Decides which commands the control leader proposes. It runs on every control voter and is active
/// only between [`PlannerEvent::Elected`] and [`PlannerEvent::SteppedDown`].
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use camphordale_control::{Command, Planner, PlannerConfig, PlannerEvent, State};
/// use camphordale_types::{Operators, VmInfo};
///
/// let mut state = State::new(Operators { needed: 1, keys: Vec::new() });
/// for vm in 1..=3 {
///     state.apply(u64::from(vm), &Command::RegisterVm(VmInfo {
///         vm,
///         incarnation: 1,
///         domain: "north".into(),
///         inner: ([127, 0, 0, 1], 7001).into(),
///         outer: ([127, 0, 0, 1], 7002).into(),
///         entry: true,
///     }));
/// }
/// let mut planner = Planner::new(PlannerConfig::default());
/// let commands = planner.step(&state, PlannerEvent::Elected, Duration::from_secs(1));
/// assert_eq!(commands, [Command::FormGroup {
///     domain: "north".into(),
///     replaces: 0,
///     members: vec![(1, 1), (2, 1), (3, 1)],
/// }]);
/// ```
#[derive(Clone, Debug)]
pub struct Planner {
    config: PlannerConfig,
    elected_at: Option<Duration>,
    domains: BTreeMap<DomainName, DomainStatus>,
    services: BTreeMap<ServiceName, ServicePlan>,
    /// Versions of the state when the keys of `domains` were last updated.
    seen_versions: Versions,
}

impl Planner {
    /// Returns an inactive planner.
    pub fn new(config: PlannerConfig) -> Self {
        Planner {
            config,
            elected_at: None,
            domains: BTreeMap::new(),
            services: BTreeMap::new(),
            seen_versions: Versions::default(),
        }
    }

    /// Handles an event and returns the commands to propose. `state` is the applied state, and
    /// `now` must not decrease between calls.
    pub fn step(&mut self, state: &State, event: PlannerEvent, now: Duration) -> Vec<Command> {
        match event {
            PlannerEvent::Elected => {
                *self = Planner::new(self.config.clone());
                self.elected_at = Some(now);
            }
            PlannerEvent::SteppedDown => *self = Planner::new(self.config.clone()),
            PlannerEvent::Report(_) | PlannerEvent::Leaderless { .. } | PlannerEvent::Tick => {}
        }
        let Some(elected_at) = self.elected_at else {
            return Vec::new();
        };
        self.refresh(state, now);
        match event {
            PlannerEvent::Report(report) => {
                if let Some(status) = self.domains.get_mut(&report.domain) {
                    status.apply_report(report, now);
                }
            }
            PlannerEvent::Leaderless {
                vm,
                incarnation,
                domain,
                term,
                sealed,
            } => {
                if let Some(status) = self.domains.get_mut(&domain)
                    && sealed
                    && term == status.term
                {
                    status.seals.insert(vm, (incarnation, now));
                }
            }
            PlannerEvent::Elected | PlannerEvent::SteppedDown | PlannerEvent::Tick => {}
        }
        let mut commands = self.plan_groups(state, elected_at, now);
        commands.extend(self.plan_in_force(state, now));
        commands.extend(self.plan_homes(state, elected_at, now));
        commands
    }

    /// Returns the term that VMs of `domain` are asked to seal. A VM that seals a term promises to
    /// take no part in it any more.
    pub fn sealing_term(&self, domain: &str) -> Option<u64> {
        self.domains.get(domain)?.sealing_term
    }

    /// Returns whether the latest report of `domain` renewed its domain lease. Only then may the
    /// reply to that report confirm a renewal.
    ///
    /// The reply carries the directory, and the renewal is valid only for the domain leader that
    /// merged this directory: a leader with older homes could keep serving shards that have moved.
    /// The lease is not renewed while shards are being moved away from the domain without its
    /// consent.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use camphordale_control::{DomainReport, Planner, PlannerConfig, PlannerEvent, State};
    /// use camphordale_types::Operators;
    ///
    /// let state = State::new(Operators { needed: 1, keys: Vec::new() });
    /// let mut planner = Planner::new(PlannerConfig::default());
    /// planner.step(&state, PlannerEvent::Elected, Duration::ZERO);
    /// // No group was formed in this domain, so there is no domain lease to renew.
    /// let report = DomainReport { domain: "north".into(), term: 3, ..DomainReport::default() };
    /// planner.step(&state, PlannerEvent::Report(report), Duration::from_millis(10));
    /// assert!(!planner.renews_lease("north"));
    /// ```
    pub fn renews_lease(&self, domain: &str) -> bool {
        self.domains
            .get(domain)
            .is_some_and(|status| status.renews_lease)
    }

    fn refresh(&mut self, state: &State, now: Duration) {
        if self.seen_versions != state.versions() {
            self.seen_versions = state.versions();
            for domain in state.domains() {
                self.domains.entry(domain).or_default();
            }
        }
        for (domain, status) in &mut self.domains {
            status.refresh(state, domain, now);
        }
    }

    /// Proposes to record which bundle version each group has in force.
    fn plan_in_force(&mut self, state: &State, now: Duration) -> Vec<Command> {
        let retry = self.config.retry_interval;
        let mut commands = Vec::new();
        for (domain, status) in &mut self.domains {
            let latest = state.latest_bundle_id().map_or(0, |(version, _)| version);
            let version = status.bundle_version.min(latest);
            if version > state.in_force(domain) && may_propose(status.proposed_at, now, retry) {
                status.proposed_at = Some(now);
                commands.push(Command::InForce {
                    domain: domain.clone(),
                    term: status.term,
                    version,
                });
            }
        }
        commands
    }
}

/// Returns whether a command that was last proposed at `proposed` may be proposed again.
fn may_propose(proposed: Option<Duration>, now: Duration, retry: Duration) -> bool {
    proposed.is_none_or(|proposed| now >= proposed + retry)
}
