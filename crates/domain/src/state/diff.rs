//! Views: the state as differences.

use camphordale_types::ShardRef;

use crate::{
    ShardView,
    TargetView,
    View, //
};

use super::{
    Removed,
    State, //
};

/// Removals that are remembered; an older view is answered with a complete one.
const REMOVALS: usize = 4096;

impl State {
    /// Returns the changes after log index `since`, or everything when `since` is 0 or older
    /// than the removals that are remembered.
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
            s if s < self.forgotten => 0,
            s => s.min(self.index),
        };
        let mut view = View {
            term: self.term,
            since,
            index: self.index,
            bundle_version: self.version,
            vms: self.vms.keys().copied().collect(),
            ..View::default()
        };
        if since >= self.layout && since > 0 {
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
        let newer = self.removed.iter().rev();
        for (_, removed) in newer.take_while(|(at, _)| *at > view.since) {
            match removed {
                Removed::Target(id) => view.removed_targets.push(*id),
                // A shard that came back is among the changed ones.
                Removed::Shard(shard) if self.shard(shard).is_some() => {}
                Removed::Shard(ShardRef { service, index }) => {
                    view.removed_shards.push((service.clone(), *index));
                }
            }
        }
    }

    pub(super) fn forget(&mut self, removed: Removed) {
        self.touch();
        self.removed.push_back((self.index, removed));
        if self.removed.len() > REMOVALS
            && let Some((at, _)) = self.removed.pop_front()
        {
            self.forgotten = at;
        }
    }
}
