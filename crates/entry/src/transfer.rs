//! Transfer of contents from the control leader, part by part.
//!
//! The VM asks for one part at a time, and for no more than a share of its link, so that callers keep
//! the rest and small messages never wait behind more than one part. What has arrived is kept when the
//! stream is lost, and the transfer goes on from there.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use camphordale_fleet::{
    Change,
    Content,
    ContentError,
    ContentKind,
    ContentRef,
    Part,
    PeerMessage,
    Version,
    View,
    Wanted, //
};

/// Share of the VM's link that contents may take while it serves callers.
const LINK_SHARE: f64 = 0.25;
/// Time in which a part passes the link at that share.
const PART_TIME: Duration = Duration::from_millis(100);
/// Shortest part that is worth a message, in bytes.
const MIN_PART_BYTES: f64 = 4096.0;
/// Longest part, in bytes.
const MAX_PART_BYTES: f64 = 65_536.0;

/// A content that is being received.
#[derive(Debug)]
struct Transfer {
    content: ContentRef,
    received: Vec<u8>,
    begun_at: Duration,
    parts: u32,
}

impl Transfer {
    fn is_complete(&self) -> bool {
        self.received.len() >= self.content.length as usize
    }

    /// Adds a part. A part of other bytes for the same content replaces what was received.
    fn receive(&mut self, part: &Part) {
        if self.content != part.content {
            self.content = part.content;
            self.received.clear();
        }
        if part.offset as usize == self.received.len() {
            self.received.extend_from_slice(&part.bytes);
            self.parts += 1;
        }
    }

    fn statistics(&self, now: Duration) -> TransferStats {
        TransferStats {
            kind: self.content.kind,
            length: self.content.length,
            parts: self.parts,
            took: now.saturating_sub(self.begun_at),
        }
    }
}

/// What a completed transfer took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferStats {
    /// What the content holds.
    pub kind: ContentKind,
    /// Its length in bytes.
    pub length: u32,
    /// Number of parts.
    pub parts: u32,
    /// Time from the first part to the last one.
    pub took: Duration,
}

/// How a part fits to what was received before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// It belongs to a transfer.
    Accepted,
    /// A change before it is missing.
    Gap,
}

/// The contents that a VM receives: changes of the routing in their order, or a whole view.
///
/// ```
/// use std::time::Duration;
/// use camphordale_entry::Transfers;
/// use camphordale_fleet::{Content, View};
///
/// let content = Content::of_view(&View { index: 7, ..View::default() })?;
/// let mut transfers = Transfers::new(Some(250_000.0));
/// transfers.receive(content.part(0, 2), 0, Duration::ZERO);
/// assert!(transfers.pull(0, Duration::ZERO).is_some(), "it asks for the rest");
/// transfers.receive(content.part(2, usize::MAX), 0, Duration::ZERO);
/// let (view, _) = transfers.take_view(Duration::ZERO).expect("complete");
/// assert_eq!(view?.index, 7);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Default)]
pub struct Transfers {
    /// Bytes per second of the link, if they are known.
    rate: Option<f64>,
    changes: VecDeque<Transfer>,
    view: Option<Transfer>,
    /// Whether a part was asked for and has not arrived.
    is_asking: bool,
    /// When the share of the link is free for the next part.
    free_at: Duration,
}

impl Transfers {
    /// Starts without transfers. `link_rate` is in bytes per second.
    pub fn new(link_rate: Option<f64>) -> Transfers {
        Transfers {
            rate: link_rate,
            ..Transfers::default()
        }
    }

    /// Takes a part from the leader. `version` is the one of the routing on which the VM acts.
    pub fn receive(&mut self, part: Part, version: Version, now: Duration) -> Received {
        let begin = |part: &Part| {
            let mut transfer = Transfer {
                content: part.content,
                received: Vec::new(),
                begun_at: now,
                parts: 0,
            };
            transfer.receive(part);
            transfer
        };
        let (base, next) = match part.content.kind {
            ContentKind::View { .. } => {
                match &mut self.view {
                    Some(view) => view.receive(&part),
                    None => self.view = Some(begin(&part)),
                }
                return Received::Accepted;
            }
            ContentKind::Change { base, version } => (base, version),
        };
        if next <= version {
            return Received::Accepted;
        }
        let mut known = self.changes.iter_mut();
        let known = known.find(|change| change.content.kind == part.content.kind);
        if let Some(change) = known {
            change.receive(&part);
            return Received::Accepted;
        }
        let last = self.changes.back().map(|change| change.content.kind);
        let end = match last {
            Some(ContentKind::Change { version, .. }) => version,
            Some(ContentKind::View { .. }) | None => version,
        };
        if base != end {
            return Received::Gap;
        }
        self.changes.push_back(begin(&part));
        Received::Accepted
    }

    /// Takes the next change after `version` if it is complete.
    pub fn take_change(
        &mut self,
        version: Version,
        now: Duration,
    ) -> Option<(Result<Change, ContentError>, TransferStats)> {
        let is_done = |change: &Transfer| match change.content.kind {
            ContentKind::Change { version: next, .. } => next <= version,
            ContentKind::View { .. } => true,
        };
        self.changes.retain(|change| !is_done(change));
        let change = self.changes.pop_front_if(|change| change.is_complete())?;
        let decoded = Content::decode_change(&change.content, &change.received);
        Some((decoded, change.statistics(now)))
    }

    /// Takes the whole view if it is complete.
    pub fn take_view(
        &mut self,
        now: Duration,
    ) -> Option<(Result<Box<View>, ContentError>, TransferStats)> {
        let view = self.view.take_if(|view| view.is_complete())?;
        self.changes.clear();
        let decoded = Content::decode_view(&view.content, &view.received);
        Some((decoded, view.statistics(now)))
    }

    /// Gives up all transfers of changes.
    pub fn discard_changes(&mut self) {
        self.changes.clear();
        self.is_asking = false;
    }

    /// Takes note that the leader has answered, or that the stream is lost. What has arrived is kept.
    pub fn end_request(&mut self) {
        self.is_asking = false;
    }

    /// Gives up the transfer of the whole view, because the VM can go on from the one that it has.
    pub fn discard_view(&mut self) {
        self.view = None;
    }

    /// The transfer that is in progress.
    fn current(&self) -> Option<&Transfer> {
        let incomplete = |transfer: &&Transfer| !transfer.is_complete();
        let view = self.view.as_ref().filter(incomplete);
        view.or_else(|| self.changes.front().filter(incomplete))
    }

    /// Bytes received of the contents that are not complete, and bytes of all contents that were
    /// announced.
    pub fn progress(&self) -> (usize, usize) {
        let transfers = self.changes.iter().chain(&self.view);
        transfers.fold((0, 0), |(received, length), transfer| {
            let of_transfer = transfer.content.length as usize;
            (received + transfer.received.len(), length + of_transfer)
        })
    }

    /// Time that the missing parts take at the share of the link of a VM that has a routing, if any are
    /// missing. It is zero if the rate of the link is not known.
    pub fn time_left(&self) -> Option<Duration> {
        self.current()?;
        let (received, length) = self.progress();
        let missing = length.saturating_sub(received) as f64;
        let rate = self.rate.map(|rate| rate * LINK_SHARE);
        let time = rate.map(|rate| Duration::from_secs_f64(missing / rate));
        Some(time.unwrap_or_default())
    }

    /// When the next part is to be asked for, if one is missing and none is on its way.
    pub fn next_pull(&self) -> Option<Duration> {
        let is_due = !self.is_asking && self.current().is_some();
        is_due.then_some(self.free_at)
    }

    /// Asks for the next part if it is due. A VM without a routing, whose version is 0, serves no
    /// callers yet and takes its whole link.
    pub fn pull(&mut self, version: Version, now: Duration) -> Option<PeerMessage> {
        if self.next_pull().is_none_or(|at| now < at) {
            return None;
        }
        let transfer = self.current()?;
        let wanted = match transfer.content.kind {
            ContentKind::Change { base, .. } => Wanted::ChangeOn(base),
            ContentKind::View { .. } => Wanted::View(transfer.content.id),
        };
        let offset = transfer.received.len() as u32;
        let share = if version == 0 { 1.0 } else { LINK_SHARE };
        let rate = self.rate.map(|rate| rate * share);
        let part = rate.map_or(MAX_PART_BYTES, |rate| {
            (rate * PART_TIME.as_secs_f64()).clamp(MIN_PART_BYTES, MAX_PART_BYTES)
        });
        let length = (part as u32).min(transfer.content.length - offset);
        let passes = rate.map(|rate| f64::from(length) / rate);
        self.free_at = now + Duration::from_secs_f64(passes.unwrap_or(0.0));
        self.is_asking = true;
        Some(PeerMessage::Pull {
            wanted,
            offset,
            length,
        })
    }
}
