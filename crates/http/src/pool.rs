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
        PoisonError, //
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
    addresses: Mutex<HashMap<SocketAddr, Arc<Address>>>,
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
}

/// A place among the open connections of an address; given back when dropped.
pub(crate) struct Permit {
    address: Option<Arc<Address>>,
    generation: u64,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(address) = self.address.take() {
            address.lock().open -= 1;
            address.freed.notify_one();
        }
    }
}

impl Address {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pool {
    /// Makes an empty pool.
    pub fn new(config: PoolConfig) -> Self {
        Pool {
            config,
            source: None,
            addresses: Mutex::default(),
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
        let entry = self.address(address)?;
        loop {
            let mut conn = {
                let mut state = entry.lock();
                let conn = state.idle.pop()?;
                attach(conn, &entry, state.generation)
            };
            if self.is_fresh(&conn) && conn.is_usable() {
                return Some(conn);
            }
        }
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
            if let Some(conn) = self.take(address) {
                return Ok(conn);
            }
            let mut state = entry.lock();
            if !state.idle.is_empty() {
                continue;
            }
            if state.open < limit {
                state.open += 1;
                break Permit {
                    address: Some(entry.clone()),
                    generation: state.generation,
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
            drop(
                entry
                    .freed
                    .wait_timeout(state, left)
                    .unwrap_or_else(PoisonError::into_inner),
            );
        };
        let timeout = deadline.saturating_duration_since(Instant::now());
        let mut conn = Conn::connect(address, self.source, timeout)?;
        conn.permit = Some(permit);
        Ok(conn)
    }

    /// Keeps a connection for later requests, unless it is dead, too old, or was taken before the
    /// address was cleared.
    pub fn put(&self, mut conn: Conn) {
        if !conn.is_alive() || !self.is_fresh(&conn) {
            return;
        }
        let entry = self.address_or_new(conn.peer());
        let permit = conn.permit.take();
        let mut expired = Vec::new();
        let mut state = entry.lock();
        let is_own = permit.as_ref().is_some_and(|permit| {
            permit
                .address
                .as_ref()
                .is_some_and(|own| Arc::ptr_eq(own, &entry))
        });
        let generation = permit.as_ref().map(|permit| permit.generation);
        if generation.is_some_and(|generation| generation != state.generation)
            || state.idle.len() >= self.config.per_address
        {
            drop(state);
            drop(permit);
            return;
        }
        while state
            .idle
            .first()
            .is_some_and(|first| !self.is_fresh(first))
        {
            expired.push(state.idle.remove(0));
        }
        state.open -= expired.len();
        if !is_own {
            state.open += 1;
        }
        state.idle.push(conn);
        drop(state);
        if is_own {
            // The place stays taken by the idle connection.
            if let Some(mut permit) = permit {
                permit.address = None;
            }
        }
        entry.freed.notify_one();
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
        let mut addresses = self.lock();
        let mut closed = Vec::new();
        addresses.retain(|_, entry| {
            let mut state = entry.lock();
            let (kept, expired): (Vec<_>, Vec<_>) = std::mem::take(&mut state.idle)
                .into_iter()
                .partition(|conn| self.is_fresh(conn));
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

    fn is_fresh(&self, conn: &Conn) -> bool {
        conn.used.elapsed() < self.config.max_idle && conn.age() < self.config.max_age
    }

    fn address(&self, address: SocketAddr) -> Option<Arc<Address>> {
        self.lock().get(&address).cloned()
    }

    fn address_or_new(&self, address: SocketAddr) -> Arc<Address> {
        self.lock().entry(address).or_default().clone()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Address>>> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Gives an idle connection its place back, so that the place is freed with the connection.
fn attach(mut conn: Conn, entry: &Arc<Address>, generation: u64) -> Conn {
    conn.permit = Some(Permit {
        address: Some(entry.clone()),
        generation,
    });
    conn
}
