//! Streams of the view to entry VMs.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use super::{
    Control,
    Effect,
    LogEvent, //
};
use crate::{
    keys::Key,
    message::{
        EntryCounts,
        PeerMessage, //
    },
    routing::{
        Domain,
        ServiceName, //
    },
    state::Command,
};

/// Time without a ping after which the stream of an entry VM is closed.
const STREAM_TIMEOUT: Duration = Duration::from_millis(2000);

/// Maximum time for which a subscription waits for a leader to become known, before the entry VM is
/// told to ask another control VM.
const LEADER_WAIT_TIMEOUT: Duration = Duration::from_millis(250);

/// A subscription received while no leader was known.
pub(super) struct WaitingSubscription {
    conn: u64,
    entry_id: u64,
    domain: Domain,
    index: u64,
    deadline: Duration,
}

/// The stream of one entry VM.
pub(super) struct EntryStream {
    entry_id: u64,
    domain: Domain,
    /// Index of the entry VM's view.
    pub(super) index: u64,
    last_heard: Duration,
}

impl Control {
    pub(super) fn on_stream_message(
        &mut self,
        conn: u64,
        message: PeerMessage,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        match message {
            PeerMessage::Subscribe {
                entry_id,
                domain,
                index,
            } => self.subscribe(conn, entry_id, domain, index, now, out),
            PeerMessage::Ping {
                sent,
                index,
                load,
                latencies,
            } => {
                let Some(stream) = self.streams.get_mut(&conn) else {
                    return;
                };
                stream.last_heard = now;
                stream.index = index;
                let domain = stream.domain.clone();
                let message = PeerMessage::Pong {
                    sent,
                    entries: self.entry_counts(&domain),
                };
                out.push(Effect::Stream { conn, message });
                if let Some(leader) = &mut self.leader_state {
                    leader.load_stats.record(load, now);
                    leader.load_stats.record_latencies(latencies);
                }
                self.acknowledge_changes(now, out);
            }
            // Other messages are for control VMs; a peer may send them on any connection.
            other => self.on_peer_message(other, now, out),
        }
    }

    fn subscribe(
        &mut self,
        conn: u64,
        entry_id: u64,
        domain: Domain,
        index: u64,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let is_behind = self.state.view.index < index;
        if self.leader_state.is_none() || is_behind {
            let leader = self.other_leader();
            if leader.is_none() && !is_behind {
                self.waiting.retain(|waiting| waiting.conn != conn);
                self.waiting.push(WaitingSubscription {
                    conn,
                    entry_id,
                    domain,
                    index,
                    deadline: now + LEADER_WAIT_TIMEOUT,
                });
                return;
            }
            let message = PeerMessage::NotLeader { leader };
            out.push(Effect::Stream { conn, message });
            return;
        }
        self.streams.retain(|_, stream| stream.entry_id != entry_id);
        let stream = EntryStream {
            entry_id,
            domain,
            index,
            last_heard: now,
        };
        self.streams.insert(conn, stream);
        let message = PeerMessage::Snapshot(Box::new(self.state.view.clone()));
        out.push(Effect::Stream { conn, message });
        out.push(Effect::Log(LogEvent::Entries(self.streams.len())));
    }

    fn other_leader(&self) -> Option<SocketAddr> {
        let leader = self.leader_member().map(|member| member.peer);
        leader.filter(|leader| *leader != self.config.member.peer)
    }

    /// Answers waiting subscriptions once a leader is known or their time limit has passed.
    pub(super) fn retry_waiting_subscriptions(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if self.waiting.is_empty() {
            return;
        }
        let known = self.leader_state.is_some() || self.other_leader().is_some();
        for waiting in std::mem::take(&mut self.waiting) {
            let WaitingSubscription {
                conn,
                entry_id,
                ref domain,
                index,
                deadline,
            } = waiting;
            if known {
                self.subscribe(conn, entry_id, domain.clone(), index, now, out);
            } else if now < deadline {
                self.waiting.push(waiting);
            } else {
                let message = PeerMessage::NotLeader { leader: None };
                out.push(Effect::Stream { conn, message });
            }
        }
    }

    pub(super) fn on_stream_closed(&mut self, conn: u64, out: &mut Vec<Effect>) {
        self.waiting.retain(|waiting| waiting.conn != conn);
        if self.streams.remove(&conn).is_some() {
            out.push(Effect::Log(LogEvent::Entries(self.streams.len())));
        }
    }

    pub(super) fn stream_update(&mut self, index: u64, command: &Command, out: &mut Vec<Effect>) {
        let command = Box::new(command.clone());
        self.broadcast(PeerMessage::Update { index, command }, out);
    }

    /// Notifies the entry VMs that a range started or finished moving, so that they delay its
    /// requests in between.
    pub(super) fn stream_handover(
        &self,
        service: &ServiceName,
        (from, to): (Key, Key),
        done: bool,
        out: &mut Vec<Effect>,
    ) {
        let message = PeerMessage::Handover {
            service: service.clone(),
            from,
            to,
            done,
        };
        self.broadcast(message, out);
    }

    fn broadcast(&self, message: PeerMessage, out: &mut Vec<Effect>) {
        if !self.streams.is_empty() {
            out.push(Effect::Broadcast {
                conns: self.streams.keys().copied().collect(),
                message,
            });
        }
    }

    /// Closes streams without recent pings.
    pub(super) fn close_silent_streams(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let silent = |stream: &EntryStream| now.saturating_sub(stream.last_heard) >= STREAM_TIMEOUT;
        let conns: Vec<u64> = self
            .streams
            .iter()
            .filter(|(_, stream)| silent(stream))
            .map(|(conn, _)| *conn)
            .collect();
        for conn in conns {
            self.on_stream_closed(conn, out);
            out.push(Effect::CloseStream(conn));
        }
    }

    fn entry_counts(&self, domain: &Domain) -> EntryCounts {
        let same = self.streams.values().filter(|s| s.domain == *domain);
        EntryCounts {
            all: self.streams.len() as u32,
            domain: same.count() as u32,
        }
    }
}
