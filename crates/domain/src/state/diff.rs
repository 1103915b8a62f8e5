//! Views: the differences between two versions of the state.

use camphordale_types::ShardRef;

use crate::{
    ShardView,
    TargetView,
    View, //
};

use super::{
    Removal,
    State, //
};

/// Maximum number of removals kept; a request for a view since an older index gets a complete one.
const MAX_REMOVALS: usize = 4096;

impl State {
    /// Returns the changes after log index `since`, or the complete state when `since` is 0 or
    /// older than the removals that are kept.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_domain::{Command, State};
    ///
    /// let mut state = State::new(7, false);
    /// state.apply(4, 1, &Command::OpenVmSession { vm: 2, incarnation: 9 });
    /// let view = state.view(0);
    /// assert_eq!((view.since, view.index, view.vms), (0, 4, vec![2]));
    /// ```
    pub fn view(&self, since: u64) -> View {
        let since = match since {
            0 => 0,
            s if s < self.trimmed_index => 0,
            s => s.min(self.index),
        };
        let mut view = View {
            term: self.term,
            since,
            index: self.index,
            bundle_version: self.bundle_version,
            vms: self.vms.keys().copied().collect(),
            ..View::default()
        };
        if since >= self.layout_index && since > 0 {
            return view;
        }
        view.targets = self
            .targets
            .values()
            .filter(|t| t.changed > since)
            .map(|t| TargetView {
                info: t.info.clone(),
                sender: t.sender,
                token: t.token,
            })
            .collect();
        for (service, homes) in &self.homes {
            let changed = homes.shards.iter().filter(|(_, s)| s.changed > since);
            view.shards.extend(changed.map(|(&index, shard)| ShardView {
                service: service.clone(),
                index,
                owner: shard.phase.owner(),
                releasing: matches!(shard.phase, super::Phase::Releasing(_)),
                token: shard.token,
            }));
        }
        if since > 0 {
            self.add_removals(&mut view);
        }
        view
    }

    fn add_removals(&self, view: &mut View) {
        let newer = self.removals.iter().rev();
        for (_, removed) in newer.take_while(|(at, _)| *at > view.since) {
            match removed {
                Removal::Target(id) => view.removed_targets.push(*id),
                // A shard that was added again is among the changed ones.
                Removal::Shard(shard) if self.shard(shard).is_some() => {}
                Removal::Shard(ShardRef { service, index }) => {
                    view.removed_shards.push((service.clone(), *index));
                }
            }
        }
    }

    pub(super) fn push_removal(&mut self, removed: Removal) {
        self.mark_layout_changed();
        self.removals.push_back((self.index, removed));
        if self.removals.len() > MAX_REMOVALS
            && let Some((at, _)) = self.removals.pop_front()
        {
            self.trimmed_index = at;
        }
    }
}
