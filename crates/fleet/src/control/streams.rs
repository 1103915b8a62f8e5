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
        PeerMessage,
        Share, //
    },
    routing::{
        Domain,
        ServiceName, //
    },
    state::Command,
};

/// Time without a ping after which an entry VM no longer counts.
const STREAM_SILENCE: Duration = Duration::from_millis(2000);

/// Longest time for which a subscription waits here until a leader is known, before the entry VM
/// asks another control VM.
const LEADER_WAIT: Duration = Duration::from_millis(250);

/// A subscription that came while no leader was known.
pub(super) struct Waiting {
    conn: u64,
    entry: u64,
    domain: Domain,
    index: u64,
    until: Duration,
}

/// The stream of one entry VM.
pub(super) struct Stream {
    entry: u64,
    domain: Domain,
    /// Index of the view that the entry VM has.
    pub(super) index: u64,
    heard: Duration,
}

impl Control {
    pub(super) fn stream(
        &mut self,
        conn: u64,
        message: PeerMessage,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        match message {
            PeerMessage::Subscribe {
                entry,
                domain,
                index,
            } => self.subscribe(conn, entry, domain, index, now, out),
            PeerMessage::Ping {
                sent,
                index,
                load,
                times,
            } => {
                let Some(stream) = self.streams.get_mut(&conn) else {
                    return;
                };
                stream.heard = now;
                stream.index = index;
                let domain = stream.domain.clone();
                let message = PeerMessage::Pong {
                    sent,
                    share: self.share(&domain),
                };
                out.push(Effect::Stream { conn, message });
                if let Some(lead) = &mut self.lead {
                    lead.holders.record(load, now);
                    lead.holders.record_times(times);
                }
                self.publish(now, out);
            }
            // Other messages are for control VMs; a peer may send them on any connection.
            other => self.peer(other, now, out),
        }
    }

    fn subscribe(
        &mut self,
        conn: u64,
        entry: u64,
        domain: Domain,
        index: u64,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let behind = self.state.view.index < index;
        if self.lead.is_none() || behind {
            let leader = self.other_leader();
            if leader.is_none() && !behind {
                self.waiting.retain(|waiting| waiting.conn != conn);
                self.waiting.push(Waiting {
                    conn,
                    entry,
                    domain,
                    index,
                    until: now + LEADER_WAIT,
                });
                return;
            }
            let message = PeerMessage::NotLeader { leader };
            out.push(Effect::Stream { conn, message });
            return;
        }
        self.streams.retain(|_, stream| stream.entry != entry);
        let stream = Stream {
            entry,
            domain,
            index,
            heard: now,
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

    /// Answers subscriptions that waited for a leader, once there is one or their time is over.
    pub(super) fn tend_waiting(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if self.waiting.is_empty() {
            return;
        }
        let known = self.lead.is_some() || self.other_leader().is_some();
        for waiting in std::mem::take(&mut self.waiting) {
            let Waiting {
                conn,
                entry,
                ref domain,
                index,
                until,
            } = waiting;
            if known {
                self.subscribe(conn, entry, domain.clone(), index, now, out);
            } else if now < until {
                self.waiting.push(waiting);
            } else {
                let message = PeerMessage::NotLeader { leader: None };
                out.push(Effect::Stream { conn, message });
            }
        }
    }

    pub(super) fn end_stream(&mut self, conn: u64, out: &mut Vec<Effect>) {
        self.waiting.retain(|waiting| waiting.conn != conn);
        if self.streams.remove(&conn).is_some() {
            out.push(Effect::Log(LogEvent::Entries(self.streams.len())));
        }
    }

    pub(super) fn stream_update(&mut self, index: u64, command: &Command, out: &mut Vec<Effect>) {
        for conn in self.streams.keys() {
            out.push(Effect::Stream {
                conn: *conn,
                message: PeerMessage::Update {
                    index,
                    command: Box::new(command.clone()),
                },
            });
        }
    }

    /// Tells the entry VMs that a range is on the move or has arrived, so that its requests wait
    /// there meanwhile.
    pub(super) fn stream_handover(
        &self,
        service: &ServiceName,
        (from, to): (Key, Key),
        done: bool,
        out: &mut Vec<Effect>,
    ) {
        for conn in self.streams.keys() {
            out.push(Effect::Stream {
                conn: *conn,
                message: PeerMessage::Handover {
                    service: service.clone(),
                    from,
                    to,
                    done,
                },
            });
        }
    }

    /// Drops streams that have gone silent.
    pub(super) fn tend_streams(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let silent = |stream: &Stream| now.saturating_sub(stream.heard) >= STREAM_SILENCE;
        let conns: Vec<u64> = self
            .streams
            .iter()
            .filter(|(_, stream)| silent(stream))
            .map(|(conn, _)| *conn)
            .collect();
        for conn in conns {
            self.end_stream(conn, out);
            out.push(Effect::CloseStream(conn));
        }
    }

    fn share(&self, domain: &Domain) -> Share {
        let same = self.streams.values().filter(|s| s.domain == *domain);
        Share {
            all: self.streams.len() as u32,
            domain: same.count() as u32,
        }
    }
}
