//! Connections for calls, each with one call in flight.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Condvar,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Instant, //
};

use crate::{
    config::PeerClientConfig,
    connection::Link, //
};

/// Idle connections of all peers, and the number of open ones.
#[derive(Default)]
pub(crate) struct Pool {
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    freed: Condvar,
}

#[derive(Default)]
struct Peer {
    idle: Vec<Pooled>,
    open: usize,
    /// Threads that wait for a connection.
    waiting: usize,
}

pub(crate) struct Pooled {
    pub(crate) link: Link,
    pub(crate) since: Instant,
    used: Instant,
}

/// The right to have one connection to a peer open; given back when dropped.
pub(crate) struct Permit<'a> {
    pool: &'a Pool,
    peer: SocketAddr,
    pub(crate) pooled: Option<Pooled>,
}

impl Pooled {
    pub(crate) fn new(link: Link) -> Self {
        let now = Instant::now();
        Pooled {
            link,
            since: now,
            used: now,
        }
    }

    fn is_usable(&self, expect: Option<u32>, config: &PeerClientConfig, now: Instant) -> bool {
        now.saturating_duration_since(self.used) < config.idle_timeout
            && now.saturating_duration_since(self.since) < config.max_age
            && expect.is_none_or(|vm| vm == self.link.vm)
            && self.link.is_open()
    }
}

impl Pool {
    /// Takes the connection that was used last, or the right to open one. Returns `None` if all
    /// connections are in use until the deadline.
    pub(crate) fn acquire(
        &self,
        peer: SocketAddr,
        expect: Option<u32>,
        config: &PeerClientConfig,
        deadline: Instant,
    ) -> Option<Permit<'_>> {
        loop {
            let permit = self.wait(peer, config.max_connections, deadline)?;
            match &permit.pooled {
                Some(pooled) if !pooled.is_usable(expect, config, Instant::now()) => {}
                _ => return Some(permit),
            }
        }
    }

    fn wait(&self, peer: SocketAddr, limit: usize, deadline: Instant) -> Option<Permit<'_>> {
        let mut peers = self.lock();
        loop {
            let entry = peers.entry(peer).or_default();
            let pooled = entry.idle.pop();
            if pooled.is_some() || entry.open < limit {
                // An idle connection is counted as open already.
                entry.open += usize::from(pooled.is_none());
                return Some(Permit {
                    pool: self,
                    peer,
                    pooled,
                });
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            entry.waiting += 1;
            peers = self
                .freed
                .wait_timeout(peers, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
            if let Some(entry) = peers.get_mut(&peer) {
                entry.waiting -= 1;
            }
        }
    }

    /// Closes idle connections that have expired, so that peers that are no longer called do not
    /// keep any.
    pub(crate) fn reap(&self, config: &PeerClientConfig) {
        let now = Instant::now();
        let mut peers = self.lock();
        peers.retain(|_, peer| {
            let before = peer.idle.len();
            peer.idle.retain(|pooled| {
                now.saturating_duration_since(pooled.used) < config.idle_timeout
                    && now.saturating_duration_since(pooled.since) < config.max_age
            });
            peer.open -= before - peer.idle.len();
            peer.open > 0 || peer.waiting > 0
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Permit<'_> {
    /// Makes the connection available to the next call.
    pub(crate) fn put_back(mut self) {
        let Some(mut pooled) = self.pooled.take() else {
            return;
        };
        pooled.used = Instant::now();
        let mut peers = self.pool.lock();
        let entry = peers.entry(self.peer).or_default();
        entry.idle.push(pooled);
        // The drop of the permit takes one off again.
        entry.open += 1;
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        // The connection is closed before its place is given back.
        self.pooled = None;
        let mut peers = self.pool.lock();
        let Some(entry) = peers.get_mut(&self.peer) else {
            return;
        };
        entry.open -= 1;
        let waits = entry.waiting > 0;
        drop(peers);
        if waits {
            // All waiters share the condition, and the freed place is of use to one peer's only.
            self.pool.freed.notify_all();
        }
    }
}
