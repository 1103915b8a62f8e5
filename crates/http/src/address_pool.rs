//! The connections of a pool to one address.
//!
//! Idle connections are spread over shards, and a thread prefers those of its own shard. With one
//! list for all, 32 threads passed connections among each other, so that each request woke a
//! thread on another core: a hop reached 60,000 requests/s where connections that stayed with
//! their threads reached 200,000.

use std::{
    sync::{
        Arc,
        Condvar,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{
            AtomicU64,
            AtomicUsize,
            Ordering::SeqCst, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    client::Conn,
    pool::PoolCounts, //
};

const SHARDS: usize = 32;

static NEXT_SHARD: AtomicUsize = AtomicUsize::new(0);

thread_local! {
    static OWN_SHARD: usize = NEXT_SHARD.fetch_add(1, SeqCst) % SHARDS;
}

#[derive(Default)]
pub(crate) struct Address {
    shards: [Shard; SHARDS],
    open: AtomicUsize,
    idle: AtomicUsize,
    /// Rises when the address is cleared.
    generation: AtomicU64,
    /// Threads that wait for a connection. Each raises this before it looks for one the last
    /// time; whoever frees one looks at this afterwards. So one of them sees the other.
    waiting: AtomicUsize,
    wait_lock: Mutex<()>,
    freed: Condvar,
}

/// Idle connections, the last used one at the end. Shards lie on cache lines of their own.
#[derive(Default)]
#[repr(align(64))]
struct Shard(Mutex<Vec<Conn>>);

impl Shard {
    fn lock(&self) -> MutexGuard<'_, Vec<Conn>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place among the open connections of an address; given back when dropped.
pub(crate) struct Permit {
    address: Arc<Address>,
    generation: u64,
    /// Whether the place is that of an idle connection, and must not be given back.
    kept: bool,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.kept {
            self.address.open.fetch_sub(1, SeqCst);
            self.address.wake();
        }
    }
}

impl Permit {
    /// Makes the connection idle, unless the address was cleared since or has `most` idle ones.
    pub(crate) fn put(mut self, conn: Conn, most: usize) {
        let address = self.address.clone();
        let mut shard = address.shards[OWN_SHARD.with(|own| *own)].lock();
        // A clear raises the generation before it empties the shard, so a connection that is
        // pushed after that is noticed here, and one that is pushed before is removed there.
        let is_current = self.generation == address.generation.load(SeqCst);
        if is_current && address.idle.load(SeqCst) < most {
            address.idle.fetch_add(1, SeqCst);
            shard.push(conn);
            self.kept = true;
            drop(shard);
            address.wake();
        } else {
            drop(shard);
            // The connection is closed before its place is given back.
            drop(conn);
        }
    }
}

impl Address {
    /// Takes an idle connection: one that this thread used last, or else one that has been idle
    /// for `rest` or longer.
    pub(crate) fn take(self: &Arc<Self>, rest: Duration) -> Option<Conn> {
        if self.idle.load(SeqCst) == 0 {
            return None;
        }
        let own = OWN_SHARD.with(|own| *own);
        let mut shard = self.shards[own].lock();
        if let Some(conn) = shard.pop() {
            return Some(self.taken(conn, shard));
        }
        drop(shard);
        let now = Instant::now();
        (own + 1..own + SHARDS).find_map(|at| {
            let mut shard = self.shards[at % SHARDS].lock();
            // The first one of a shard has been idle for the longest time.
            let rested = now.saturating_duration_since(shard.first()?.used);
            (rested >= rest).then(|| {
                let conn = shard.remove(0);
                self.taken(conn, shard)
            })
        })
    }

    fn taken(self: &Arc<Self>, mut conn: Conn, shard: MutexGuard<'_, Vec<Conn>>) -> Conn {
        self.idle.fetch_sub(1, SeqCst);
        // Read under the lock, as an idle connection is always of the present generation.
        let generation = self.generation.load(SeqCst);
        drop(shard);
        conn.permit = Some(self.permit(generation));
        conn
    }

    /// Counts one more open connection, if fewer than `limit` are open.
    pub(crate) fn open(self: &Arc<Self>, limit: usize) -> Option<Permit> {
        let generation = self.generation.load(SeqCst);
        self.open
            .fetch_update(SeqCst, SeqCst, |open| {
                (open < limit).then(|| open.saturating_add(1))
            })
            .ok()
            .map(|_| self.permit(generation))
    }

    /// Waits until a connection may be free. Reports false once the deadline has passed.
    pub(crate) fn wait(&self, limit: usize, deadline: Instant) -> bool {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        let guard = self
            .wait_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        self.waiting.fetch_add(1, SeqCst);
        if self.idle.load(SeqCst) == 0 && self.open.load(SeqCst) >= limit {
            drop(
                self.freed
                    .wait_timeout(guard, left)
                    .unwrap_or_else(PoisonError::into_inner),
            );
        }
        self.waiting.fetch_sub(1, SeqCst);
        true
    }

    /// Closes the idle connections, and later those in use.
    pub(crate) fn clear(&self) {
        self.generation.fetch_add(1, SeqCst);
        self.retain(|_| false);
    }

    /// Closes the idle connections for which `keeps` is false.
    pub(crate) fn retain(&self, keeps: impl Fn(&Conn) -> bool) {
        for shard in &self.shards {
            let mut shard = shard.lock();
            let before = shard.len();
            let closed: Vec<Conn> = shard.extract_if(.., |conn| !keeps(conn)).collect();
            self.idle.fetch_sub(before - shard.len(), SeqCst);
            drop(shard);
            let count = closed.len();
            drop(closed);
            self.open.fetch_sub(count, SeqCst);
            for _ in 0..count {
                self.wake();
            }
        }
    }

    pub(crate) fn count(&self) -> PoolCounts {
        PoolCounts {
            open: self.open.load(SeqCst),
            idle: self.idle.load(SeqCst),
        }
    }

    fn permit(self: &Arc<Self>, generation: u64) -> Permit {
        Permit {
            address: self.clone(),
            generation,
            kept: false,
        }
    }

    /// Wakes one waiter. A notification costs a system call even if nobody waits.
    fn wake(&self) {
        if self.waiting.load(SeqCst) > 0 {
            // A waiter holds the lock from its last look until it waits.
            drop(
                self.wait_lock
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner),
            );
            self.freed.notify_one();
        }
    }
}
