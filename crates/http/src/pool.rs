//! Connections that wait for their next request, with a limit for each address.

use std::{
    collections::HashMap,
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::{
        Arc,
        PoisonError,
        RwLock, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    address_pool::{
        Address,
        Permit, //
    },
    client::Conn,
    error::{
        ClientError,
        ClientErrorKind,
        Step, //
    }, //
};

/// Time for which an idle connection is left to the thread that used it last, as long as another
/// one may be opened. It covers the pause between two requests of a busy caller.
const REST: Duration = Duration::from_millis(5);

/// Settings of a [`Pool`].
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Time without a request after which a connection is not used any more.
    pub idle_timeout: Duration,
    /// Age at which a connection is not used any more.
    pub max_age: Duration,
    /// Connections to one address that are kept for later requests.
    pub max_idle: usize,
}

impl Default for PoolConfig {
    fn default() -> Self {
        PoolConfig {
            idle_timeout: Duration::from_secs(5),
            max_age: Duration::from_secs(60),
            max_idle: 128,
        }
    }
}

impl PoolConfig {
    fn is_fresh(&self, conn: &Conn, now: Instant) -> bool {
        now.saturating_duration_since(conn.used) < self.idle_timeout
            && now.saturating_duration_since(conn.created) < self.max_age
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
/// A thread gets the connection back that it put last, if that is still idle. Connections of other
/// threads are used once they have been idle for 5 ms, or if no further one may be opened.
///
/// # Examples
///
/// ```
/// use std::{sync::Arc, time::{Duration, Instant}};
///
/// use camphordale_http::{Limits, OutgoingRequest, Pool, PoolConfig, Request, Response, Server};
///
/// let handler = |request: Request| Response::new(200, request.body);
/// let server = Server::start("127.0.0.1:0".parse()?, Limits::default(), Arc::new(handler))?;
/// let address = server.local_addr();
///
/// let pool = Pool::new(PoolConfig::default());
/// let deadline = Instant::now() + Duration::from_secs(5);
/// for _ in 0..2 {
///     let mut conn = pool.acquire(address, 1, deadline)?;
///     let request = OutgoingRequest { method: "GET", path: "/", headers: &[], body: b"" };
///     conn.exchange(&request, deadline, 1024)?;
///     pool.release(conn);
/// }
/// assert_eq!(server.stats().accepted, 1);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub struct Pool {
    config: PoolConfig,
    source: Option<IpAddr>,
    addresses: RwLock<HashMap<SocketAddr, Arc<Address>>>,
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
        self.take_from(&self.address(address)?, Duration::ZERO)
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
            if let Some(conn) = self.take_from(&entry, REST) {
                return Ok(conn);
            }
            if let Some(permit) = entry.open(limit) {
                break permit;
            }
            if let Some(conn) = self.take_from(&entry, Duration::ZERO) {
                return Ok(conn);
            }
            if !entry.wait(limit, deadline) {
                return Err(ClientError {
                    step: Step::Acquire,
                    peer: address,
                    maybe_written: false,
                    kind: ClientErrorKind::Busy,
                });
            }
        };
        let timeout = deadline.saturating_duration_since(Instant::now());
        let mut conn = Conn::connect(address, self.source, timeout)?;
        conn.permit = Some(permit);
        Ok(conn)
    }

    /// Keeps a connection for later requests, unless it is dead, too old, or was taken before the
    /// address was cleared.
    pub fn release(&self, mut conn: Conn) {
        if !conn.is_alive() || !self.config.is_fresh(&conn, Instant::now()) {
            return;
        }
        let permit = match conn.permit.take() {
            Some(permit) => permit,
            // A connection that was opened elsewhere counts from now on.
            None => match self.address_or_new(conn.peer()).open(usize::MAX) {
                Some(permit) => permit,
                None => return,
            },
        };
        Permit::put(permit, conn, self.config.max_idle);
    }

    /// Closes the idle connections to an address. Those in use are closed when they are put back.
    pub fn clear(&self, address: SocketAddr) {
        if let Some(entry) = self.address(address) {
            entry.clear();
        }
    }

    /// Closes connections that have been idle for too long. To be called now and then, as
    /// addresses without requests are not looked at otherwise.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let is_fresh = |conn: &Conn| self.config.is_fresh(conn, now);
        self.addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|_, entry| {
                entry.retain(is_fresh);
                entry.count().open > 0 || Arc::strong_count(entry) > 1
            });
    }

    /// Returns the number of connections to an address.
    pub fn counts(&self, address: SocketAddr) -> PoolCounts {
        self.address(address)
            .map_or_else(PoolCounts::default, |entry| entry.count())
    }

    fn take_from(&self, entry: &Arc<Address>, rest: Duration) -> Option<Conn> {
        loop {
            // A connection that cannot be used is closed here and gives its place back.
            let mut conn = entry.take(rest)?;
            if self.config.is_fresh(&conn, Instant::now()) && conn.is_usable() {
                return Some(conn);
            }
        }
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
