//! Connections that wait for their next request, with a limit for each address.

use std::{
    collections::HashMap,
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::{
        Arc,
        Condvar,
        Mutex,
        MutexGuard,
        PoisonError,
        RwLock, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    client::Conn,
    error::{
        ClientError,
        ClientFailure,
        Step, //
    }, //
};

/// Settings of a [`Pool`].
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Time without a request after which a connection is not used any more.
    pub max_idle: Duration,
    /// Age at which a connection is not used any more.
    pub max_age: Duration,
    /// Connections to one address that are kept for later requests.
    pub per_address: usize,
}

impl Default for PoolConfig {
    fn default() -> Self {
        PoolConfig {
            max_idle: Duration::from_secs(5),
            max_age: Duration::from_secs(60),
            per_address: 128,
        }
    }
}

/// Connections of a pool to one address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCounts {
    /// Open connections, in use and idle.
    pub open: usize,
    /// Connections that wait for a request.
    pub idle: usize,
}

/// Keeps connections between requests and counts the open ones for each address.
///
/// # Examples
///
/// ```
/// use std::{sync::Arc, time::{Duration, Instant}};
///
/// use camphordale_http::{Limits, OutRequest, Pool, PoolConfig, Request, Response, Server};
///
/// let handler = |request: Request| Response::new(200, request.body);
/// let server = Server::start("127.0.0.1:0".parse()?, Limits::default(), Arc::new(handler))?;
/// let address = server.local_addr();
///
/// let pool = Pool::new(PoolConfig::default());
/// let deadline = Instant::now() + Duration::from_secs(5);
/// for _ in 0..2 {
///     let mut conn = pool.acquire(address, 1, deadline)?;
///     let request = OutRequest { method: "GET", path: "/", headers: &[], body: b"" };
///     conn.exchange(&request, deadline, 1024)?;
///     pool.put(conn);
/// }
/// assert_eq!(server.stats().accepted, 1);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub struct Pool {
    config: PoolConfig,
    source: Option<IpAddr>,
    addresses: RwLock<HashMap<SocketAddr, Arc<Address>>>,
}

#[derive(Default)]
struct Address {
    state: Mutex<State>,
    freed: Condvar,
}

#[derive(Default)]
struct State {
    /// The connection that was used last is at the end.
    idle: Vec<Conn>,
    open: usize,
    /// Rises when the address is cleared.
    generation: u64,
    /// Threads that wait for a place.
    waiting: usize,
}

/// A place among the open connections of an address; given back when dropped.
pub(crate) struct Permit {
    address: Arc<Address>,
    generation: u64,
    /// Whether the place is that of an idle connection again, and must not be given back.
    kept: bool,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.kept {
            let mut state = self.address.lock();
            state.open -= 1;
            self.address.wake(state);
        }
    }
}

impl Address {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes one waiter. A notification costs a system call even if nobody waits.
    fn wake(&self, state: MutexGuard<'_, State>) {
        let waits = state.waiting > 0;
        drop(state);
        if waits {
            self.freed.notify_one();
        }
    }

    fn take(self: &Arc<Self>, config: &PoolConfig) -> Option<Conn> {
        loop {
            let mut state = self.lock();
            let mut conn = state.idle.pop()?;
            let generation = state.generation;
            drop(state);
            // The place is freed with the connection from here on.
            conn.permit = Some(Permit {
                address: self.clone(),
                generation,
                kept: false,
            });
            if config.is_fresh(&conn, Instant::now()) && conn.is_usable() {
                return Some(conn);
            }
        }
    }
}

impl PoolConfig {
    fn is_fresh(&self, conn: &Conn, now: Instant) -> bool {
        now.saturating_duration_since(conn.used) < self.max_idle
            && now.saturating_duration_since(conn.created) < self.max_age
    }
}

impl Pool {
    /// Makes an empty pool.
    pub fn new(config: PoolConfig) -> Self {
        Pool {
            config,
            source: None,
            addresses: RwLock::default(),
        }
    }

    /// Sets the source address of connections.
    #[must_use]
    pub fn with_source(mut self, source: IpAddr) -> Self {
        self.source = Some(source);
        self
    }

    /// Takes an idle connection that can be used.
    pub fn take(&self, address: SocketAddr) -> Option<Conn> {
        self.address(address)?.take(&self.config)
    }

    /// Takes an idle connection, or opens one if fewer than `limit` are open. Waits for a free
    /// one until the deadline otherwise.
    ///
    /// # Errors
    ///
    /// [`ClientError`] with [`Step::Acquire`] if none is free by the deadline, or with
    /// [`Step::Connect`].
    pub fn acquire(
        &self,
        address: SocketAddr,
        limit: usize,
        deadline: Instant,
    ) -> Result<Conn, ClientError> {
        let entry = self.address_or_new(address);
        let permit = loop {
            if let Some(conn) = entry.take(&self.config) {
                return Ok(conn);
            }
            let mut state = entry.lock();
            if !state.idle.is_empty() {
                continue;
            }
            if state.open < limit {
                state.open += 1;
                break Permit {
                    address: entry.clone(),
                    generation: state.generation,
                    kept: false,
                };
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ClientError {
                    step: Step::Acquire,
                    peer: address,
                    wrote: false,
                    kind: ClientFailure::Busy,
                });
            }
            state.waiting += 1;
            let (mut state, _) = entry
                .freed
                .wait_timeout(state, left)
                .unwrap_or_else(PoisonError::into_inner);
            state.waiting -= 1;
        };
        let timeout = deadline.saturating_duration_since(Instant::now());
        let mut conn = Conn::connect(address, self.source, timeout)?;
        conn.permit = Some(permit);
        Ok(conn)
    }

    /// Keeps a connection for later requests, unless it is dead, too old, or was taken before the
    /// address was cleared.
    pub fn put(&self, mut conn: Conn) {
        let now = Instant::now();
        if !conn.is_alive() || !self.config.is_fresh(&conn, now) {
            return;
        }
        let mut permit = conn.permit.take();
        let entry = match &permit {
            Some(permit) => permit.address.clone(),
            None => self.address_or_new(conn.peer()),
        };
        let mut state = entry.lock();
        let is_current = permit
            .as_ref()
            .is_none_or(|permit| permit.generation == state.generation);
        if !is_current || state.idle.len() >= self.config.per_address {
            drop(state);
            // The connection is closed before its place is given back.
            drop(conn);
            return;
        }
        match &mut permit {
            Some(permit) => permit.kept = true,
            None => state.open += 1,
        }
        state.idle.push(conn);
        let is_expired = |first: &Conn| !self.config.is_fresh(first, now);
        let expired = match state.idle.first() {
            Some(first) if is_expired(first) => {
                state.open -= 1;
                Some(state.idle.remove(0))
            }
            _ => None,
        };
        entry.wake(state);
        drop(expired);
    }

    /// Closes the idle connections to an address. Those in use are closed when they are put back.
    pub fn clear(&self, address: SocketAddr) {
        if let Some(entry) = self.address(address) {
            let mut state = entry.lock();
            state.generation += 1;
            let idle = std::mem::take(&mut state.idle);
            state.open -= idle.len();
            drop(state);
            entry.freed.notify_all();
        }
    }

    /// Closes connections that have been idle for too long. To be called now and then, as
    /// addresses without requests are not looked at otherwise.
    pub fn reap(&self) {
        let now = Instant::now();
        let mut closed = Vec::new();
        let mut addresses = self
            .addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        addresses.retain(|_, entry| {
            let mut state = entry.lock();
            let (kept, expired): (Vec<_>, Vec<_>) = std::mem::take(&mut state.idle)
                .into_iter()
                .partition(|conn| self.config.is_fresh(conn, now));
            state.open -= expired.len();
            state.idle = kept;
            closed.extend(expired);
            state.open > 0 || Arc::strong_count(entry) > 1
        });
        drop(addresses);
    }

    /// Returns the number of connections to an address.
    pub fn counts(&self, address: SocketAddr) -> PoolCounts {
        self.address(address)
            .map_or_else(PoolCounts::default, |entry| {
                let state = entry.lock();
                PoolCounts {
                    open: state.open,
                    idle: state.idle.len(),
                }
            })
    }

    fn address(&self, address: SocketAddr) -> Option<Arc<Address>> {
        self.addresses
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&address)
            .cloned()
    }

    fn address_or_new(&self, address: SocketAddr) -> Arc<Address> {
        if let Some(entry) = self.address(address) {
            return entry;
        }
        self.addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(address)
            .or_default()
            .clone()
    }
}
