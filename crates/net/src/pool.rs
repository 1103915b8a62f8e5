//! Connection pool for calls. Each connection carries one call at a time.

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
    connection::Connection, //
};

/// Idle connections to all peers, and the number of open connections to each.
#[derive(Default)]
pub(crate) struct Pool {
    peers: Mutex<HashMap<SocketAddr, PeerPool>>,
    released: Condvar,
}

#[derive(Default)]
struct PeerPool {
    idle: Vec<PooledConnection>,
    /// Connections in use and idle.
    open: usize,
    /// Threads waiting for a connection.
    waiters: usize,
}

pub(crate) struct PooledConnection {
    pub(crate) connection: Connection,
    pub(crate) opened_at: Instant,
    last_used: Instant,
}

/// Permission to hold one open connection to a peer. Returned to the pool on drop.
pub(crate) struct Permit<'a> {
    pool: &'a Pool,
    peer: SocketAddr,
    pub(crate) pooled: Option<PooledConnection>,
}

impl PooledConnection {
    pub(crate) fn new(connection: Connection) -> Self {
        let now = Instant::now();
        PooledConnection {
            connection,
            opened_at: now,
            last_used: now,
        }
    }

    fn is_usable(&self, expected_vm: Option<u32>, config: &PeerClientConfig, now: Instant) -> bool {
        now.saturating_duration_since(self.last_used) < config.idle_timeout
            && now.saturating_duration_since(self.opened_at) < config.max_age
            && expected_vm.is_none_or(|vm| vm == self.connection.vm)
            && self.connection.is_open()
    }
}

impl Pool {
    /// Takes the most recently used idle connection to a peer, or permission to open one. Returns
    /// `None` if all connections stay in use until the deadline.
    pub(crate) fn acquire(
        &self,
        peer: SocketAddr,
        expected_vm: Option<u32>,
        config: &PeerClientConfig,
        deadline: Instant,
    ) -> Option<Permit<'_>> {
        loop {
            let permit = self.wait(peer, config.max_connections, deadline)?;
            match &permit.pooled {
                Some(pooled) if !pooled.is_usable(expected_vm, config, Instant::now()) => {}
                _ => return Some(permit),
            }
        }
    }

    fn wait(
        &self,
        peer: SocketAddr,
        max_connections: usize,
        deadline: Instant,
    ) -> Option<Permit<'_>> {
        let mut peers = self.lock();
        loop {
            let entry = peers.entry(peer).or_default();
            let pooled = entry.idle.pop();
            if pooled.is_some() || entry.open < max_connections {
                // An idle connection is already counted as open.
                entry.open += usize::from(pooled.is_none());
                return Some(Permit {
                    pool: self,
                    peer,
                    pooled,
                });
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return None;
            }
            entry.waiters += 1;
            peers = self
                .released
                .wait_timeout(peers, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
            if let Some(entry) = peers.get_mut(&peer) {
                entry.waiters -= 1;
            }
        }
    }

    /// Closes expired idle connections, so that none are kept to peers that are no longer called.
    pub(crate) fn close_expired(&self, config: &PeerClientConfig) {
        let now = Instant::now();
        let mut peers = self.lock();
        peers.retain(|_, peer| {
            let idle_before = peer.idle.len();
            peer.idle.retain(|pooled| {
                now.saturating_duration_since(pooled.last_used) < config.idle_timeout
                    && now.saturating_duration_since(pooled.opened_at) < config.max_age
            });
            peer.open -= idle_before - peer.idle.len();
            peer.open > 0 || peer.waiters > 0
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerPool>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Permit<'_> {
    /// Returns the connection to the pool for the next call.
    pub(crate) fn release(mut self) {
        let Some(mut pooled) = self.pooled.take() else {
            return;
        };
        pooled.last_used = Instant::now();
        let mut peers = self.pool.lock();
        let entry = peers.entry(self.peer).or_default();
        entry.idle.push(pooled);
        // Dropping the permit decrements the count again.
        entry.open += 1;
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        // Closes the connection before the permission is returned.
        self.pooled = None;
        let mut peers = self.pool.lock();
        let Some(entry) = peers.get_mut(&self.peer) else {
            return;
        };
        entry.open -= 1;
        let has_waiters = entry.waiters > 0;
        drop(peers);
        if has_waiters {
            // The waiters of all peers share one condition variable, but only those of this peer
            // can use the permission.
            self.pool.released.notify_all();
        }
    }
}
