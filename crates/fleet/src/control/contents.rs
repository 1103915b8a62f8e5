//! Contents for entry VMs: changes of the routing and whole views, of which they ask for parts.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration, //
};

use super::{
    Control, Effect, LogEvent,
    streams::{
        MissedUpdate,
        Subscription,
        SubscriptionKind, //
    },
};
use crate::{
    content::{
        Content,
        ContentId,
        KeptChanges, //
    },
    message::{
        PeerMessage,
        Wanted, //
    },
    routing::Version,
};

/// Bytes of a content that are sent without being asked for. Most changes are shorter.
pub(super) const FIRST_PART_BYTES: usize = 2 << 10;
/// Maximum length of a part that is asked for.
const MAX_PART_BYTES: usize = 64 << 10;
/// Views that are kept: the newest one, and one before it for the transfers in progress.
const MAX_VIEWS: usize = 2;
/// Updates after a kept view up to which it is still sent to entry VMs that need one.
const MAX_UPDATES_AFTER_VIEW: u64 = 256;

/// An entry VM that asks for the whole view.
struct Puller {
    subscription: Subscription,
    last_heard: Duration,
}

/// A whole view with its content.
struct KeptView {
    index: u64,
    /// Version of its routing; 0 for none.
    version: Version,
    content: Content,
}

/// Contents that are kept, and the entry VMs that ask for the whole view.
#[derive(Default)]
pub(super) struct Contents {
    pub(super) changes: KeptChanges,
    /// Oldest first.
    views: VecDeque<KeptView>,
    /// By connection.
    pullers: BTreeMap<u64, Puller>,
}

impl Contents {
    /// Drops all contents.
    pub(super) fn clear(&mut self) {
        self.changes.clear();
        self.views.clear();
    }

    /// Bytes of the contents.
    pub(super) fn bytes(&self) -> usize {
        let views = self.views.iter();
        let views: usize = views.map(|view| view.content.about().length as usize).sum();
        self.changes.bytes() + views
    }

    /// The entry VM that asked for the whole view on a connection that was closed, and when it was
    /// last heard from.
    pub(super) fn on_stream_closed(&mut self, conn: u64) -> Option<(Subscription, Duration)> {
        let puller = self.pullers.remove(&conn)?;
        Some((puller.subscription, puller.last_heard))
    }

    pub(super) fn record_progress(&mut self, conn: u64, now: Duration) {
        if let Some(puller) = self.pullers.get_mut(&conn) {
            puller.last_heard = now;
        }
    }

    /// Connections of the entry VMs that need the whole view and have sent nothing for `timeout`.
    pub(super) fn silent_pullers(&self, now: Duration, timeout: Duration) -> Vec<u64> {
        let silent = |puller: &Puller| now.saturating_sub(puller.last_heard) >= timeout;
        let pullers = self.pullers.iter();
        let pullers = pullers.filter(|(_, puller)| silent(puller));
        pullers.map(|(conn, _)| *conn).collect()
    }

    /// Ends all requests for the whole view. Returns their connections.
    pub(super) fn take_pullers(&mut self) -> impl Iterator<Item = u64> {
        std::mem::take(&mut self.pullers).into_keys()
    }

    /// Entry VMs that ask for the whole view.
    pub(super) fn pulling(&self) -> impl Iterator<Item = &Subscription> {
        self.pullers.values().map(|puller| &puller.subscription)
    }

    fn view(&self, id: &ContentId) -> Option<&Content> {
        let mut views = self.views.iter().map(|view| &view.content);
        views.find(|view| view.about().id == *id)
    }
}

impl Control {
    /// Opens the stream of an entry VM that takes contents in parts, or begins to send the whole view.
    pub(super) fn follow(
        &mut self,
        subscription: Subscription,
        version: Version,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let (conn, index) = (subscription.conn, subscription.index);
        let puller = self.contents.pullers.remove(&conn);
        let pulled = puller.is_some();
        let entry_id = subscription.entry_id;
        let pullers = &mut self.contents.pullers;
        pullers.retain(|_, other| other.subscription.entry_id != entry_id);
        // A VM without any state has index 0, and so may the first view.
        let has_view = index > 0 || pulled;
        let missed = has_view.then(|| self.missed_messages(index, version));
        let Some(mut messages) = missed.flatten() else {
            return self.offer_view(subscription, now, out);
        };
        let resume = PeerMessage::Resume { index };
        match pulled {
            // The VM begins to act on the view that it has received when it is up to date.
            true => {
                messages.splice(0..0, self.suspicions(now));
                messages.push(resume);
            }
            false => messages.insert(0, resume),
        }
        let messages = messages.into_iter();
        out.extend(messages.map(|message| Effect::Stream { conn, message }));
        // A VM that had a view acts on it until the resumption has arrived, and confirms the new one then.
        let former = puller.map(|puller| puller.subscription);
        let acted_on = former.filter(|former| former.index > 0);
        self.open_stream(acted_on.unwrap_or(subscription), None, now);
        out.push(Effect::Log(LogEvent::Entries(self.streams.len())));
    }

    /// What an entry VM has missed whose view has the index, and its routing the version. `None` if it
    /// is not all kept.
    fn missed_messages(&self, index: u64, version: Version) -> Option<Vec<PeerMessage>> {
        let current = self.routing_version();
        let updates = self.recent_updates.missed_since(index)?;
        let changes = self.contents.changes.since(version, current)?;
        let mut changes = changes.peekable();
        let mut messages = Vec::new();
        let mut notify_until = |index: u64, messages: &mut Vec<PeerMessage>| {
            while let Some(change) = changes.next_if(|change| change.index <= index) {
                let part = change.content.part(0, FIRST_PART_BYTES);
                let index = change.index;
                messages.push(PeerMessage::RoutingNotice { index, part });
            }
        };
        notify_until(index, &mut messages);
        for (index, update) in updates {
            match update {
                MissedUpdate::Change => notify_until(index, &mut messages),
                MissedUpdate::Other(command) => {
                    messages.push(PeerMessage::Update { index, command });
                }
            }
        }
        Some(messages)
    }

    /// Sends a part of a content to an entry VM.
    pub(super) fn on_pull(
        &mut self,
        conn: u64,
        wanted: Wanted,
        (offset, length): (u32, u32),
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        if !self.streams.contains_key(&conn) && !self.contents.pullers.contains_key(&conn) {
            return;
        }
        let content = match wanted {
            Wanted::ChangeOn(base) => {
                let change = self.contents.changes.after(base);
                change.map(|change| &change.content)
            }
            Wanted::View(id) => self.contents.view(&id),
        };
        if let Some(content) = content {
            let length = MAX_PART_BYTES.min(length as usize);
            let message = PeerMessage::Part(content.part(offset, length));
            out.push(Effect::Stream { conn, message });
            return;
        }
        // What it asks for is not kept any more.
        let subscription = match self.streams.remove(&conn) {
            Some(stream) => Some(Subscription {
                conn,
                entry_id: stream.entry_id,
                domain: stream.domain,
                index: stream.index,
                kind: SubscriptionKind::Following(stream.routing.unwrap_or(0)),
            }),
            None => {
                let puller = self.contents.pullers.remove(&conn);
                puller.map(|puller| puller.subscription)
            }
        };
        if let Some(subscription) = subscription {
            self.offer_view(subscription, now, out);
        }
    }

    /// Sends the first part of the whole view to an entry VM. It asks for the others, and follows from
    /// the index of that view then.
    fn offer_view(&mut self, subscription: Subscription, now: Duration, out: &mut Vec<Effect>) {
        let conn = subscription.conn;
        let Some(content) = self.current_view() else {
            out.push(Effect::Log(LogEvent::Codec("view cannot be encoded")));
            out.push(Effect::CloseStream(conn));
            return;
        };
        let message = PeerMessage::Part(content.part(0, FIRST_PART_BYTES));
        out.push(Effect::Stream { conn, message });
        let last_heard = now;
        let puller = Puller {
            subscription,
            last_heard,
        };
        self.contents.pullers.insert(conn, puller);
    }

    /// The content of a recent view. Entry VMs that need it at about the same time, as after a restart
    /// of the fleet, share one, which is encoded once.
    fn current_view(&mut self) -> Option<&Content> {
        let index = self.state.view.index;
        let version = self.routing_version();
        let is_recent = |view: &KeptView| {
            let changes = self.contents.changes.since(view.version, version);
            index - view.index <= MAX_UPDATES_AFTER_VIEW
                && self.recent_updates.reaches(view.index)
                && changes.is_some()
        };
        if !self.contents.views.back().is_some_and(is_recent) {
            let content = Content::of_view(&self.state.view).ok()?;
            let view = KeptView {
                index,
                version,
                content,
            };
            self.contents.views.push_back(view);
            if self.contents.views.len() > MAX_VIEWS {
                self.contents.views.pop_front();
            }
        }
        self.contents.views.back().map(|view| &view.content)
    }

    fn routing_version(&self) -> Version {
        let routing = self.state.view.routing.as_ref();
        routing.map_or(0, |routing| routing.version)
    }
}
