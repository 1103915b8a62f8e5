//! The open connections of a server.

use std::{
    collections::HashMap,
    net::{
        IpAddr,
        Shutdown,
        TcpStream, //
    },
    sync::{
        Arc,
        Condvar,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    time::Instant, //
};

/// The open connections, with a limit in total and for each source IP address.
pub(crate) struct Places {
    limit: usize,
    per_ip: usize,
    state: Mutex<State>,
    left: Condvar,
    draining: AtomicBool,
}

#[derive(Default)]
struct State {
    next: u64,
    open: HashMap<u64, Arc<Entry>>,
    per_ip: HashMap<IpAddr, usize>,
}

struct Entry {
    stream: Arc<TcpStream>,
    ip: IpAddr,
    idle: AtomicBool,
}

/// The place of one connection; left when dropped.
pub(crate) struct Place {
    places: Arc<Places>,
    id: u64,
    entry: Arc<Entry>,
}

impl Places {
    /// Makes places for `limit` connections. One source IP address gets at most the fraction
    /// `share` of them, but at least one.
    pub(crate) fn new(limit: usize, share: f64) -> Self {
        // The conversion saturates, and a fraction that is not a number gives 0.
        let per_ip = (limit as f64 * share).floor() as usize;
        Places {
            limit,
            per_ip: per_ip.clamp(1, limit.max(1)),
            state: Mutex::default(),
            left: Condvar::new(),
            draining: AtomicBool::new(false),
        }
    }

    /// Takes a place, or names the limit that is reached.
    pub(crate) fn enter(
        self: &Arc<Self>,
        stream: Arc<TcpStream>,
        ip: IpAddr,
    ) -> Result<Place, &'static str> {
        let mut state = self.lock();
        if state.open.len() >= self.limit {
            return Err("connections");
        }
        let from_ip = state.per_ip.entry(ip).or_default();
        if *from_ip >= self.per_ip {
            return Err("connections_per_ip");
        }
        *from_ip += 1;
        let id = state.next;
        state.next += 1;
        let entry = Arc::new(Entry {
            stream,
            ip,
            idle: AtomicBool::new(false),
        });
        state.open.insert(id, entry.clone());
        Ok(Place {
            places: self.clone(),
            id,
            entry,
        })
    }

    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.lock().open.len()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Ends idle connections; the others end after their request.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        for entry in self.lock().open.values() {
            if entry.idle.load(Ordering::SeqCst) {
                // A request that has arrived can still be read; a read that waits ends.
                let _ = entry.stream.shutdown(Shutdown::Read);
            }
        }
    }

    /// Cuts all connections.
    pub(crate) fn cut(&self) {
        self.draining.store(true, Ordering::SeqCst);
        for entry in self.lock().open.values() {
            let _ = entry.stream.shutdown(Shutdown::Both);
        }
    }

    /// Waits until all connections have ended. Reports whether they have.
    pub(crate) fn wait(&self, deadline: Instant) -> bool {
        let mut state = self.lock();
        while !state.open.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            state = self
                .left
                .wait_timeout(state, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Place {
    /// Marks the connection as idle. Reports false if it must end instead. Either this sees the
    /// drain or the drain sees the mark, as both sides write before they read.
    pub(crate) fn rest(&self) -> bool {
        self.entry.idle.store(true, Ordering::SeqCst);
        !self.places.is_draining()
    }

    /// Marks the connection as busy with a request.
    pub(crate) fn work(&self) {
        self.entry.idle.store(false, Ordering::SeqCst);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.places.is_draining()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.places.lock();
        state.open.remove(&self.id);
        if let Some(count) = state.per_ip.get_mut(&self.entry.ip) {
            *count -= 1;
            if *count == 0 {
                state.per_ip.remove(&self.entry.ip);
            }
        }
        drop(state);
        self.places.left.notify_all();
    }
}
