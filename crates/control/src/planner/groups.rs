//! Forming and replacing domain groups.

use std::time::Duration;

use camphordale_types::{
    DomainName,
    Incarnation,
    VmId,
    VmInfo, //
};

use super::{
    Planner,
    may_ask, //
};
use crate::{
    Command,
    Group,
    State, //
};

/// Most voters of a domain group.
const MAX_VOTERS: usize = 5;

impl Planner {
    pub(super) fn plan_groups(
        &mut self,
        state: &State,
        elected: Duration,
        now: Duration,
    ) -> Vec<Command> {
        let domains: Vec<DomainName> = self.domains.keys().cloned().collect();
        let mut commands = Vec::new();
        for domain in &domains {
            if state.is_lost(domain) {
                if let Some(watch) = self.domains.get_mut(domain) {
                    watch.sealing = None;
                }
                continue;
            }
            commands.extend(match state.group(domain) {
                None => self.form(state, domain, now),
                Some(group) => self.replace(state, domain, group, elected, now),
            });
        }
        commands
    }

    /// Forms the first group of a domain.
    fn form(&mut self, state: &State, domain: &DomainName, now: Duration) -> Option<Command> {
        let entries = entry_vms(state, domain);
        let members = entries.map(|info| (info.vm, info.incarnation)).collect();
        self.propose(domain, 0, members, now)
    }

    /// Replaces a group that lost its quorum.
    ///
    /// Two groups of one domain must never both be able to commit. A voter set of the old term
    /// consists of runs of the domain's entry VMs. A run that was replaced is dead, and a run that
    /// sealed the term takes no part in it any more, so only the other registered runs can still
    /// vote. If they are fewer than a quorum of every voter set that the term can have, no old
    /// leader can commit or be elected from then on. They cannot gain members either: a new voter
    /// has to be accepted by a quorum of a set in which it is the only addition.
    ///
    /// A run that registered after the last report is counted like any other until it has sealed,
    /// because it may have joined through a leader whose reports do not arrive here.
    fn replace(
        &mut self,
        state: &State,
        domain: &DomainName,
        group: &Group,
        elected: Duration,
        now: Duration,
    ) -> Option<Command> {
        let silence = self.config.report_timeout;
        let quorum = least_quorum(group.members.len().min(self.config.group_size));
        let watch = self.domains.get_mut(domain)?;
        let heard = watch.reported.unwrap_or(watch.began).max(elected);
        if now < heard + silence {
            watch.sealing = None;
            watch.ready = None;
            return None;
        }
        watch.sealing = Some(group.term);
        let sealed = |info: &VmInfo| {
            let seal = watch.sealed.get(&info.vm);
            seal.filter(|(incarnation, _)| *incarnation == info.incarnation)
        };
        let unsealed = entry_vms(state, domain)
            .filter(|info| sealed(info).is_none())
            .count();
        if unsealed >= quorum {
            watch.ready = None;
            return None;
        }
        let members = entry_vms(state, domain)
            .filter(|info| sealed(info).is_some_and(|(_, at)| now < *at + silence))
            .map(|info| (info.vm, info.incarnation))
            .collect();
        self.propose(domain, group.term, members, now)
    }

    /// Proposes a group of an odd number of `candidates`, once enough are there or none came for
    /// a while.
    fn propose(
        &mut self,
        domain: &DomainName,
        replaces: u64,
        mut candidates: Vec<(VmId, Incarnation)>,
        now: Duration,
    ) -> Option<Command> {
        let size = self.config.group_size.clamp(1, MAX_VOTERS);
        let watch = self.domains.get_mut(domain)?;
        if candidates.is_empty() {
            watch.ready = None;
            return None;
        }
        let ready = *watch.ready.get_or_insert(now);
        let complete = candidates.len() >= size || now >= ready + self.config.form_wait;
        if !complete || !may_ask(watch.forming, now, self.config.retry_interval) {
            return None;
        }
        watch.forming = Some(now);
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

/// Returns the least quorum of any voter set that a group formed with `size` members can have.
///
/// Sets grow from the first members and lose at most one member below that number while a voter is
/// exchanged, so a group formed with 2 members may for a moment have 1.
fn least_quorum(size: usize) -> usize {
    let least = if size.is_multiple_of(2) {
        size.saturating_sub(1)
    } else {
        size
    };
    least / 2 + 1
}

fn entry_vms<'a>(state: &'a State, domain: &'a DomainName) -> impl Iterator<Item = &'a VmInfo> {
    state
        .vms()
        .filter(move |info| info.entry && info.domain == *domain)
}
