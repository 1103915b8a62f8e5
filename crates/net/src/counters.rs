//! Counters for metrics.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    }, //
};

/// A monotonic counter.
#[derive(Debug, Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    pub(crate) fn add(&self, amount: usize) {
        self.0.fetch_add(amount as u64, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counters by reason. Reasons are static strings, so their number is bounded.
#[derive(Debug, Default)]
pub(crate) struct ReasonCounters(Mutex<BTreeMap<&'static str, u64>>);

impl ReasonCounters {
    pub(crate) fn add(&self, reason: &'static str) {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(reason).or_default() += 1;
    }

    pub(crate) fn get(&self) -> BTreeMap<&'static str, u64> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Counters common to servers, clients and datagram sockets.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) bytes_in: Counter,
    pub(crate) bytes_out: Counter,
    pub(crate) messages_in: Counter,
    pub(crate) messages_out: Counter,
    pub(crate) refused: ReasonCounters,
}

/// Counters of a [`crate::PeerServer`] since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerStats {
    /// Bytes received on connections.
    pub bytes_in: u64,
    /// Bytes sent on connections.
    pub bytes_out: u64,
    /// Calls and casts received.
    pub messages_in: u64,
    /// Replies sent.
    pub messages_out: u64,
    /// Handler panics.
    pub panics: u64,
    /// Authenticated connections that are currently open.
    pub connections: u64,
    /// Connections that were rejected or closed because of an error, by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

/// Counters of a [`crate::PeerClient`] since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClientStats {
    /// Bytes received on connections.
    pub bytes_in: u64,
    /// Bytes sent on connections.
    pub bytes_out: u64,
    /// Replies received.
    pub messages_in: u64,
    /// Calls and casts sent.
    pub messages_out: u64,
    /// Connections that completed the handshake.
    pub connects: u64,
    /// Casts that were dropped because the queue was full, the message was too long or the peer was
    /// unreachable.
    pub casts_dropped: u64,
    /// Connections that failed, by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

/// Counters of a [`crate::DatagramSocket`] since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DatagramStats {
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Datagrams accepted.
    pub messages_in: u64,
    /// Datagrams sent.
    pub messages_out: u64,
    /// Handler panics.
    pub panics: u64,
    /// Datagrams that were rejected, by reason.
    pub refused: BTreeMap<&'static str, u64>,
}
