//! Formation and replacement of domain groups.

use std::time::Duration;

use camphordale_types::{
    DomainName,
    Incarnation,
    VmId,
    VmInfo, //
};

use super::{
    Planner,
    may_propose, //
};
use crate::{
    Command,
    Group,
    State, //
};

/// Maximum number of voters of a domain group.
const MAX_VOTERS: usize = 5;

impl Planner {
    /// Forms missing domain groups and replaces groups without a quorum. Domains that are declared
    /// lost get no group.
    pub(super) fn plan_groups(
        &mut self,
        state: &State,
        elected_at: Duration,
        now: Duration,
    ) -> Vec<Command> {
        let domains: Vec<DomainName> = self.domains.keys().cloned().collect();
        let mut commands = Vec::new();
        for domain in &domains {
            if state.is_lost(domain) {
                if let Some(status) = self.domains.get_mut(domain) {
                    status.sealing_term = None;
                }
                continue;
            }
            commands.extend(match state.group(domain) {
                None => self.form_group(state, domain, now),
                Some(group) => self.replace_group(state, domain, group, elected_at, now),
            });
        }
        commands
    }

    /// Forms the first group of a domain.
    fn form_group(&mut self, state: &State, domain: &DomainName, now: Duration) -> Option<Command> {
        let entries = entry_vms(state, domain);
        let members = entries.map(|info| (info.vm, info.incarnation)).collect();
        self.propose_group(domain, 0, members, now)
    }

    /// Replaces a group that lost its quorum.
    ///
    /// Two groups of one domain must never both be able to commit. Every voter of the old term is
    /// an incarnation of one of the domain's entry VMs. A replaced incarnation is dead, and one
    /// that sealed the term takes no part in it any more, so only the other registered incarnations
    /// can still vote. If they are fewer than a quorum of every voter set that the term can have,
    /// no leader of the term can commit or be elected any more. They cannot add members either: a
    /// new voter must be accepted by a quorum of a set in which it is the only addition.
    ///
    /// An incarnation that registered after the last report is counted as a possible voter until it
    /// has sealed the term, because it may have joined through a leader whose reports do not
    /// arrive.
    fn replace_group(
        &mut self,
        state: &State,
        domain: &DomainName,
        group: &Group,
        elected_at: Duration,
        now: Duration,
    ) -> Option<Command> {
        let timeout = self.config.report_timeout;
        let quorum = min_quorum(group.members.len().min(self.config.group_size));
        let status = self.domains.get_mut(domain)?;
        let last_report = status.reported_at.unwrap_or(status.seen_at).max(elected_at);
        if now < last_report + timeout {
            status.sealing_term = None;
            status.formable_since = None;
            return None;
        }
        status.sealing_term = Some(group.term);
        let sealed = |info: &VmInfo| {
            let seal = status.seals.get(&info.vm);
            seal.filter(|(incarnation, _)| *incarnation == info.incarnation)
        };
        let unsealed = entry_vms(state, domain)
            .filter(|info| sealed(info).is_none())
            .count();
        if unsealed >= quorum {
            status.formable_since = None;
            return None;
        }
        let members = entry_vms(state, domain)
            .filter(|info| sealed(info).is_some_and(|(_, at)| now < *at + timeout))
            .map(|info| (info.vm, info.incarnation))
            .collect();
        self.propose_group(domain, group.term, members, now)
    }

    /// Proposes a group with an odd number of `candidates`, once there are enough of them or
    /// `form_wait` has passed since the first one.
    fn propose_group(
        &mut self,
        domain: &DomainName,
        replaces: u64,
        mut candidates: Vec<(VmId, Incarnation)>,
        now: Duration,
    ) -> Option<Command> {
        let size = self.config.group_size.clamp(1, MAX_VOTERS);
        let status = self.domains.get_mut(domain)?;
        if candidates.is_empty() {
            status.formable_since = None;
            return None;
        }
        let formable_since = *status.formable_since.get_or_insert(now);
        let complete = candidates.len() >= size || now >= formable_since + self.config.form_wait;
        if !complete || !may_propose(status.formation_at, now, self.config.retry_interval) {
            return None;
        }
        status.formation_at = Some(now);
        candidates.truncate(size);
        if candidates.len().is_multiple_of(2) {
            candidates.pop();
        }
        Some(Command::FormGroup {
            domain: domain.clone(),
            replaces,
            members: candidates,
        })
    }
}

/// Returns the smallest quorum of any voter set that a group formed with `size` members can have.
///
/// A voter set has at least `size` voters, or one less while a voter is being replaced, so a group
/// formed with 2 members may temporarily have 1.
fn min_quorum(size: usize) -> usize {
    let smallest = if size.is_multiple_of(2) {
        size.saturating_sub(1)
    } else {
        size
    };
    smallest / 2 + 1
}

fn entry_vms<'a>(state: &'a State, domain: &'a DomainName) -> impl Iterator<Item = &'a VmInfo> {
    state
        .vms()
        .filter(move |info| info.entry && info.domain == *domain)
}
