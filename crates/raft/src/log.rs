//! The in-memory log: the snapshot, the entries, and the memberships that they contain.

use crate::types::{
    Entry,
    MemberId,
    Members,
    Payload,
    Snapshot, //
};

/// Largest accepted index or term. Larger values come only from malformed messages; rejecting them
/// keeps sums of indexes from overflowing.
pub(crate) const MAX_INDEX: u64 = u64::MAX >> 1;

/// The latest snapshot and the entries in memory. Some entries covered by the snapshot are kept, so
/// that a follower that lags slightly does not need the snapshot.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    snapshot: Option<Snapshot>,
    /// Index and term before the first entry in memory.
    base: (u64, u64),
    entries: Vec<Entry>,
    /// Bytes of these entries.
    bytes: usize,
    /// Memberships with the index of their entry, in order. The first one is the snapshot's.
    memberships: Vec<(u64, Members)>,
}

impl Log {
    /// Creates a log; `None` if the entries do not follow the snapshot without gaps.
    pub(crate) fn new(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Option<Log> {
        let (index, term, members) = match &snapshot {
            Some(snapshot) => (snapshot.index, snapshot.term, snapshot.members.clone()),
            None if entries.is_empty() => (0, 0, Members::default()),
            None => return None,
        };
        if !is_contiguous(index, term, &entries, MAX_INDEX) {
            return None;
        }
        let mut log = Log {
            snapshot,
            base: (index, term),
            entries: Vec::with_capacity(entries.len()),
            bytes: 0,
            memberships: vec![(index, members)],
        };
        for entry in entries {
            log.push(entry);
        }
        Some(log)
    }

    /// Creates the log of a member without durable state.
    pub(crate) fn empty() -> Log {
        Log {
            snapshot: None,
            base: (0, 0),
            entries: Vec::new(),
            bytes: 0,
            memberships: Vec::new(),
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

    /// Bytes of the entries in memory.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Term of the entry at `index`, if it is known.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Bytes of the entries after `after`, up to and including `last`.
    pub(crate) fn bytes_between(&self, after: u64, last: u64) -> usize {
        let entries = self.iter_from(after + 1);
        let entries = entries.take_while(|entry| entry.index <= last);
        entries.map(Entry::size).sum()
    }

    /// Returns up to `count` entries, starting at `index`. After the first one, those that would
    /// take more than `bytes` together are left out.
    pub(crate) fn entries_from(&self, index: u64, count: usize, bytes: usize) -> Vec<Entry> {
        let mut total = 0;
        let fits = |entry: &&Entry| {
            total += entry.size();
            total == entry.size() || total <= bytes
        };
        let entries = self.iter_from(index).take(count);
        entries.take_while(fits).cloned().collect()
    }

    fn iter_from(&self, index: u64) -> impl Iterator<Item = &Entry> {
        let skip = index.saturating_sub(self.base.0 + 1);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        self.entries.iter().skip(skip)
    }

    /// Appends an entry that follows the last one.
    pub(crate) fn push(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.memberships.push((entry.index, members.clone()));
        }
        self.bytes += entry.size();
        self.entries.push(entry);
    }

    /// Removes the entries from `index` on, and their memberships.
    pub(crate) fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.0 + 1);
        let keep = usize::try_from(keep).unwrap_or(usize::MAX);
        let dropped = self.entries.iter().skip(keep);
        self.bytes -= dropped.map(Entry::size).sum::<usize>();
        self.entries.truncate(keep);
        self.memberships.retain(|(at, _)| *at < index);
    }

    /// Returns the first index of the consecutive entries that share the term of `index`.
    pub(crate) fn first_of_term(&self, index: u64) -> u64 {
        let term = self.term(index);
        let mut start = index;
        while start > self.base.0 + 1 && self.term(start - 1) == term {
            start -= 1;
        }
        start
    }

    /// Returns the latest members in the log and the index of their entry.
    pub(crate) fn latest_members(&self) -> (u64, &Members) {
        static EMPTY: Members = Members {
            voters: std::collections::BTreeSet::new(),
            learners: std::collections::BTreeSet::new(),
        };
        match self.memberships.last() {
            Some((index, members)) => (*index, members),
            None => (0, &EMPTY),
        }
    }

    /// Returns whether `id` is a member, or was one before a change that is not known to be
    /// committed.
    pub(crate) fn has_member(&self, id: MemberId, commit: u64) -> bool {
        let mut memberships = self.memberships.iter().rev();
        let contains = |membership: Option<&(u64, Members)>| {
            membership.is_some_and(|(_, members)| {
                members.voters.contains(&id) || members.learners.contains(&id)
            })
        };
        let last = memberships.next();
        contains(last) || (last.is_some_and(|(at, _)| *at > commit) && contains(memberships.next()))
    }

    /// Replaces the snapshot by `data` at `index`. Before it, the number of entries and of bytes in
    /// `keep` are kept at most. Returns `None` if `index` is not an entry after the current snapshot.
    pub(crate) fn compact(
        &mut self,
        index: u64,
        data: Vec<u8>,
        (keep, keep_bytes): (usize, usize),
    ) -> Option<&Snapshot> {
        if index <= self.snapshot_index() {
            return None;
        }
        let term = self.term(index)?;
        let at = self.memberships.iter().rposition(|(at, _)| *at <= index)?;
        let members = self.memberships.get(at)?.1.clone();
        self.memberships.drain(..at);
        let mut base = index.saturating_sub(keep as u64).max(self.base.0);
        let mut kept_bytes = self.bytes_between(base, index);
        while kept_bytes > keep_bytes
            && let Some(oldest) = self.get(base + 1)
        {
            kept_bytes -= oldest.size();
            base += 1;
        }
        if base > self.base.0
            && let Some(base_term) = self.term(base)
        {
            let drop = usize::try_from(base - self.base.0).unwrap_or(usize::MAX);
            self.drop_oldest(drop);
            self.base = (base, base_term);
        }
        Some(self.snapshot.insert(Snapshot {
            index,
            term,
            members,
            data,
        }))
    }

    /// Replaces the log up to a snapshot received from the leader. Entries after it are kept if the
    /// log contains the snapshot's last entry. Returns whether they were discarded.
    pub(crate) fn install(&mut self, snapshot: Snapshot) -> bool {
        let has_last_entry =
            self.snapshot.is_some() && self.term(snapshot.index) == Some(snapshot.term);
        if has_last_entry {
            let drop = usize::try_from(snapshot.index - self.base.0).unwrap_or(usize::MAX);
            self.drop_oldest(drop);
            self.memberships.retain(|(at, _)| *at > snapshot.index);
        } else {
            self.drop_oldest(self.entries.len());
            self.memberships.clear();
        }
        self.memberships
            .insert(0, (snapshot.index, snapshot.members.clone()));
        self.base = (snapshot.index, snapshot.term);
        self.snapshot = Some(snapshot);
        !has_last_entry
    }

    fn drop_oldest(&mut self, count: usize) {
        let dropped = self.entries.drain(..count.min(self.entries.len()));
        self.bytes -= dropped.map(|entry| entry.size()).sum::<usize>();
    }
}

/// Returns whether `entries` follow the entry at `index` and `term` without gaps, with terms that
/// do not decrease and do not exceed `max_term`.
pub(crate) fn is_contiguous(index: u64, term: u64, entries: &[Entry], max_term: u64) -> bool {
    if index > MAX_INDEX || term > max_term || (index == 0) != (term == 0) {
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
