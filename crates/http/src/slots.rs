//! Connection slots of a server: limits in total and per source IP address, and draining.

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

/// The open connections of a server, limited in total and per source IP address.
pub(crate) struct ConnectionSlots {
    limit: usize,
    ip_limit: usize,
    state: Mutex<State>,
    released: Condvar,
    draining: AtomicBool,
}

#[derive(Default)]
struct State {
    next_id: u64,
    open: HashMap<u64, Arc<OpenConnection>>,
    per_ip: HashMap<IpAddr, usize>,
}

struct OpenConnection {
    stream: Arc<TcpStream>,
    ip: IpAddr,
    idle: AtomicBool,
}

/// The slot of one open connection; freed when dropped.
pub(crate) struct ConnectionSlot {
    slots: Arc<ConnectionSlots>,
    id: u64,
    connection: Arc<OpenConnection>,
}

impl ConnectionSlots {
    /// Creates slots for `limit` connections. One source IP address gets at most the fraction
    /// `ip_fraction` of them, but at least one.
    pub(crate) fn new(limit: usize, ip_fraction: f64) -> Self {
        // The cast saturates and turns NaN into 0; the clamp below makes it at least 1.
        let ip_limit = (limit as f64 * ip_fraction).floor() as usize;
        ConnectionSlots {
            limit,
            ip_limit: ip_limit.clamp(1, limit.max(1)),
            state: Mutex::default(),
            released: Condvar::new(),
            draining: AtomicBool::new(false),
        }
    }

    /// Acquires a slot.
    ///
    /// # Errors
    ///
    /// The name of the limit that was reached, which is the reason of the refusal in the
    /// statistics.
    pub(crate) fn acquire(
        self: &Arc<Self>,
        stream: Arc<TcpStream>,
        ip: IpAddr,
    ) -> Result<ConnectionSlot, &'static str> {
        let mut state = self.lock();
        if state.open.len() >= self.limit {
            return Err("connections");
        }
        let ip_count = state.per_ip.entry(ip).or_default();
        if *ip_count >= self.ip_limit {
            return Err("connections_per_ip");
        }
        *ip_count += 1;
        let id = state.next_id;
        state.next_id += 1;
        let connection = Arc::new(OpenConnection {
            stream,
            ip,
            idle: AtomicBool::new(false),
        });
        state.open.insert(id, connection.clone());
        Ok(ConnectionSlot {
            slots: self.clone(),
            id,
            connection,
        })
    }

    /// Returns the number of open connections.
    pub(crate) fn open_count(&self) -> usize {
        self.lock().open.len()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Starts the drain: ends idle connections now and the others after their current request.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        for connection in self.lock().open.values() {
            if connection.idle.load(Ordering::SeqCst) {
                // A blocked read ends, but a request that has arrived can still be read.
                let _ = connection.stream.shutdown(Shutdown::Read);
            }
        }
    }

    /// Closes all connections, also those with a request in flight.
    pub(crate) fn close_all(&self) {
        self.draining.store(true, Ordering::SeqCst);
        for connection in self.lock().open.values() {
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }

    /// Waits until all connections have ended. Returns false if some are open at the deadline.
    pub(crate) fn wait_until_empty(&self, deadline: Instant) -> bool {
        let mut state = self.lock();
        while !state.open.is_empty() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            state = self
                .released
                .wait_timeout(state, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConnectionSlot {
    /// Marks the connection as idle. Returns false if the server drains, so that the connection
    /// must end. Both sides write their flag before they read the other's, so either this sees the
    /// drain or the drain sees the idle connection.
    pub(crate) fn mark_idle(&self) -> bool {
        self.connection.idle.store(true, Ordering::SeqCst);
        !self.slots.is_draining()
    }

    /// Marks the connection as busy with a request.
    pub(crate) fn mark_busy(&self) {
        self.connection.idle.store(false, Ordering::SeqCst);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.slots.is_draining()
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut state = self.slots.lock();
        state.open.remove(&self.id);
        if let Some(count) = state.per_ip.get_mut(&self.connection.ip) {
            *count -= 1;
            if *count == 0 {
                state.per_ip.remove(&self.connection.ip);
            }
        }
        drop(state);
        self.slots.released.notify_all();
    }
}
