//! The log of a member: entries, the snapshot below them and the members they name.

use crate::types::{
    Entry,
    MemberId,
    Members,
    Payload,
    Snapshot, //
};

/// Bound of indexes and terms. Larger values come only from malformed messages; refusing them
/// keeps sums of indexes from overflowing.
pub(crate) const LIMIT: u64 = u64::MAX >> 1;

/// Entries in memory. Some entries below the snapshot are kept, so that a follower that lags a
/// little does not need the snapshot.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    snapshot: Option<Snapshot>,
    /// Index and term before the first entry in memory.
    base: (u64, u64),
    entries: Vec<Entry>,
    /// Members by the index of the entry that names them. The first is that of the snapshot.
    configs: Vec<(u64, Members)>,
}

impl Log {
    /// Returns `None` if the entries do not continue the snapshot without gaps.
    pub(crate) fn new(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Option<Log> {
        let (index, term, members) = match &snapshot {
            Some(snapshot) => (snapshot.index, snapshot.term, snapshot.members.clone()),
            None if entries.is_empty() => (0, 0, Members::default()),
            None => return None,
        };
        if !continues(index, term, &entries, LIMIT) {
            return None;
        }
        let mut log = Log {
            snapshot,
            base: (index, term),
            entries: Vec::with_capacity(entries.len()),
            configs: vec![(index, members)],
        };
        for entry in entries {
            log.push(entry);
        }
        Some(log)
    }

    /// The log of a member that starts from nothing.
    pub(crate) fn empty() -> Log {
        Log {
            snapshot: None,
            base: (0, 0),
            entries: Vec::new(),
            configs: Vec::new(),
        }
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Index of the snapshot; 0 without one.
    pub(crate) fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    pub(crate) fn base_index(&self) -> u64 {
        self.base.0
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base.0 + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.base.1, |entry| entry.term)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.0)?.checked_sub(1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Term of the entry at `index`, if it is known.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// At most `count` entries from `index` on.
    pub(crate) fn slice(&self, index: u64, count: usize) -> Vec<Entry> {
        let skip = index.saturating_sub(self.base.0 + 1);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        self.entries
            .iter()
            .skip(skip)
            .take(count)
            .cloned()
            .collect()
    }

    /// Appends an entry that follows the last one.
    pub(crate) fn push(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.configs.push((entry.index, members.clone()));
        }
        self.entries.push(entry);
    }

    /// Removes the entries at and after `index`, and the members they named.
    pub(crate) fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.0 + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.configs.retain(|(at, _)| *at < index);
    }

    /// The first index of the run of entries with the same term that contains `index`.
    pub(crate) fn run_start(&self, index: u64) -> u64 {
        let term = self.term(index);
        let mut start = index;
        while start > self.base.0 + 1 && self.term(start - 1) == term {
            start -= 1;
        }
        start
    }

    /// Members in force, and the index of the entry that names them.
    pub(crate) fn config(&self) -> (u64, &Members) {
        static NONE: Members = Members {
            voters: std::collections::BTreeSet::new(),
            learners: std::collections::BTreeSet::new(),
        };
        match self.configs.last() {
            Some((index, members)) => (*index, members),
            None => (0, &NONE),
        }
    }

    /// Whether `id` is a member, or was one before a removal that is not known to be committed.
    pub(crate) fn has_member(&self, id: MemberId, commit: u64) -> bool {
        let mut configs = self.configs.iter().rev();
        let member = |config: Option<&(u64, Members)>| {
            config.is_some_and(|(_, members)| {
                members.voters.contains(&id) || members.learners.contains(&id)
            })
        };
        let last = configs.next();
        member(last) || (last.is_some_and(|(at, _)| *at > commit) && member(configs.next()))
    }

    /// Makes `data` the snapshot at `index` and keeps at most `keep` entries below it. Returns
    /// `None` if there is no entry at `index` above the present snapshot.
    pub(crate) fn compact(&mut self, index: u64, data: Vec<u8>, keep: usize) -> Option<&Snapshot> {
        if index <= self.snapshot_index() {
            return None;
        }
        let term = self.term(index)?;
        let at = self.configs.iter().rposition(|(at, _)| *at <= index)?;
        let members = self.configs.get(at)?.1.clone();
        self.configs.drain(..at);
        let base = index.saturating_sub(keep as u64);
        if base > self.base.0
            && let Some(base_term) = self.term(base)
        {
            let drop = usize::try_from(base - self.base.0).unwrap_or(usize::MAX);
            self.entries.drain(..drop.min(self.entries.len()));
            self.base = (base, base_term);
        }
        Some(self.snapshot.insert(Snapshot {
            index,
            term,
            members,
            data,
        }))
    }

    /// Replaces the log up to the snapshot of a leader. Entries after it stay if the log has the
    /// snapshot's last entry. Returns whether they were removed.
    pub(crate) fn install(&mut self, snapshot: Snapshot) -> bool {
        let matches = self.snapshot.is_some() && self.term(snapshot.index) == Some(snapshot.term);
        if matches {
            let drop = usize::try_from(snapshot.index - self.base.0).unwrap_or(usize::MAX);
            self.entries.drain(..drop.min(self.entries.len()));
            self.configs.retain(|(at, _)| *at > snapshot.index);
        } else {
            self.entries.clear();
            self.configs.clear();
        }
        self.configs
            .insert(0, (snapshot.index, snapshot.members.clone()));
        self.base = (snapshot.index, snapshot.term);
        self.snapshot = Some(snapshot);
        !matches
    }
}

/// Whether `entries` follow the entry at `index` with `term` without gaps, with terms that do not
/// decrease and do not exceed `max_term`.
pub(crate) fn continues(index: u64, term: u64, entries: &[Entry], max_term: u64) -> bool {
    if index > LIMIT || term > max_term || (index == 0) != (term == 0) {
        return false;
    }
    let (mut index, mut term) = (index, term);
    for entry in entries {
        if entry.index != index + 1 || entry.term < term || entry.term > max_term {
            return false;
        }
        if entry.term == 0 {
            return false;
        }
        (index, term) = (entry.index, entry.term);
    }
    true
}
