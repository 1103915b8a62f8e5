//! The planner of the control leader: it forms domain groups and gives shards their homes.
//!
//! The planner holds no replicated state. A new leader's planner starts with nothing and counts
//! every wait from its own election, so that what its predecessor granted has run out.

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
use domain_status::Watch;
use homes::ServicePlan;

pub use config::{
    PlannerConfig,
    PlannerEvent, //
};

/// Decides what the control leader proposes. It runs on every control voter and is active only
/// between [`PlannerEvent::Elected`] and [`PlannerEvent::SteppedDown`].
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
    elected: Option<Duration>,
    domains: BTreeMap<DomainName, Watch>,
    services: BTreeMap<ServiceName, ServicePlan>,
    /// Versions of the state from which the names in `domains` were taken.
    seen: Versions,
}

impl Planner {
    /// Returns an inactive planner.
    pub fn new(config: PlannerConfig) -> Self {
        Planner {
            config,
            elected: None,
            domains: BTreeMap::new(),
            services: BTreeMap::new(),
            seen: Versions::default(),
        }
    }

    /// Takes an event and returns the commands to propose. `state` is the applied state and `now`
    /// never goes back.
    pub fn step(&mut self, state: &State, event: PlannerEvent, now: Duration) -> Vec<Command> {
        match event {
            PlannerEvent::Elected => {
                *self = Planner::new(self.config.clone());
                self.elected = Some(now);
            }
            PlannerEvent::SteppedDown => *self = Planner::new(self.config.clone()),
            PlannerEvent::Report(_) | PlannerEvent::Leaderless { .. } | PlannerEvent::Tick => {}
        }
        let Some(elected) = self.elected else {
            return Vec::new();
        };
        self.refresh(state, now);
        match event {
            PlannerEvent::Report(report) => {
                if let Some(watch) = self.domains.get_mut(&report.domain) {
                    watch.report(report, now);
                }
            }
            PlannerEvent::Leaderless {
                vm,
                incarnation,
                domain,
                term,
                sealed,
            } => {
                if let Some(watch) = self.domains.get_mut(&domain)
                    && sealed
                    && term == watch.term
                {
                    watch.sealed.insert(vm, (incarnation, now));
                }
            }
            PlannerEvent::Elected | PlannerEvent::SteppedDown | PlannerEvent::Tick => {}
        }
        let mut commands = self.plan_groups(state, elected, now);
        commands.extend(self.plan_force(state, now));
        commands.extend(self.plan_homes(state, elected, now));
        commands
    }

    /// Returns the term that VMs of `domain` are asked to seal: to promise that they take no part
    /// in it any more.
    pub fn term_to_seal(&self, domain: &str) -> Option<u64> {
        self.domains.get(domain)?.sealing
    }

    /// Tells whether the latest report of `domain` renewed its domain lease. Only then may the
    /// answer to that report say so.
    ///
    /// The answer carries the directory, and the renewal counts only for the domain leader that
    /// took this directory: a leader with older homes could serve on for shards that have moved.
    /// A report is not answered with a renewal while shards are being taken from the domain
    /// without its consent.
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
    /// // No group of this domain was formed, so nobody can hold its lease.
    /// let report = DomainReport { domain: "north".into(), term: 3, ..DomainReport::default() };
    /// planner.step(&state, PlannerEvent::Report(report), Duration::from_millis(10));
    /// assert!(!planner.renews_lease("north"));
    /// ```
    pub fn renews_lease(&self, domain: &str) -> bool {
        self.domains.get(domain).is_some_and(|watch| watch.renews)
    }

    fn refresh(&mut self, state: &State, now: Duration) {
        if self.seen != state.versions() {
            self.seen = state.versions();
            for domain in state.domains() {
                self.domains.entry(domain).or_default();
            }
        }
        for (domain, watch) in &mut self.domains {
            watch.refresh(state, domain, now);
        }
    }

    /// Proposes to record which bundle each group has in force.
    fn plan_force(&mut self, state: &State, now: Duration) -> Vec<Command> {
        let retry = self.config.retry_interval;
        let mut commands = Vec::new();
        for (domain, watch) in &mut self.domains {
            let standing = state.latest_bundle_id().map_or(0, |(version, _)| version);
            let version = watch.bundle.min(standing);
            if version > state.in_force(domain) && may_ask(watch.force, now, retry) {
                watch.force = Some(now);
                commands.push(Command::InForce {
                    domain: domain.clone(),
                    term: watch.term,
                    version,
                });
            }
        }
        commands
    }
}

/// Tells whether a proposal may be made that was made last at `asked`.
fn may_ask(asked: Option<Duration>, now: Duration, retry: Duration) -> bool {
    asked.is_none_or(|asked| now >= asked + retry)
}
