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

/// A count that only rises.
#[derive(Debug, Default)]
pub(crate) struct Count(AtomicU64);

impl Count {
    pub(crate) fn add(&self, amount: usize) {
        self.0.fetch_add(amount as u64, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts by reason. The reasons are names in the code, so their number is bounded.
#[derive(Debug, Default)]
pub(crate) struct Reasons(Mutex<BTreeMap<&'static str, u64>>);

impl Reasons {
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

/// Traffic that all parts count alike.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) bytes_in: Count,
    pub(crate) bytes_out: Count,
    pub(crate) messages_in: Count,
    pub(crate) messages_out: Count,
    pub(crate) refused: Reasons,
}

/// Counts of a [`crate::PeerServer`] since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerStats {
    /// Bytes received on connections.
    pub bytes_in: u64,
    /// Bytes sent on connections.
    pub bytes_out: u64,
    /// Calls and casts received.
    pub messages_in: u64,
    /// Responses sent.
    pub messages_out: u64,
    /// Handler panics.
    pub panics: u64,
    /// Authenticated connections that are open now.
    pub connections: u64,
    /// Connections that were refused or cut, by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

/// Counts of a [`crate::PeerClient`] since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClientStats {
    /// Bytes received on connections.
    pub bytes_in: u64,
    /// Bytes sent on connections.
    pub bytes_out: u64,
    /// Responses received.
    pub messages_in: u64,
    /// Calls and casts sent.
    pub messages_out: u64,
    /// Connections that finished the handshake.
    pub connects: u64,
    /// Casts that were dropped because a queue was full, a message too long or a peer
    /// unreachable.
    pub casts_dropped: u64,
    /// Connections that failed, by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

/// Counts of [`crate::DatagramSocket`] since their start.
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
    /// Datagrams that were refused, by reason.
    pub refused: BTreeMap<&'static str, u64>,
}
