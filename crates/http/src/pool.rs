//! Connection pool with a limit of open connections for each address.

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
        AddressPool,
        Permit, //
    },
    client::Conn,
    error::{
        ClientError,
        ClientErrorKind,
        Operation, //
    }, //
};

/// How long a connection must be idle before another thread may take it while the limit allows a
/// new connection. Covers the pause between two requests of a busy thread.
const STEAL_DELAY: Duration = Duration::from_millis(5);

/// Settings of a [`Pool`].
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Time without a request after which a connection is not reused.
    pub idle_timeout: Duration,
    /// Age from which on a connection is not reused.
    pub max_age: Duration,
    /// Maximum number of idle connections to one address that are kept for reuse.
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
    fn is_unexpired(&self, conn: &Conn, now: Instant) -> bool {
        now.saturating_duration_since(conn.used_at) < self.idle_timeout
            && now.saturating_duration_since(conn.created_at) < self.max_age
    }
}

/// Numbers of open and idle connections to one address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolStats {
    /// Open connections, in use and idle.
    pub open: usize,
    /// Idle connections.
    pub idle: usize,
}

/// Reuses connections across requests and limits the open connections to each address.
///
/// A thread prefers the connection that it released last. It takes a connection that another
/// thread released if that has been idle for 5 ms, or if the limit allows no new one.
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
    addresses: RwLock<HashMap<SocketAddr, Arc<AddressPool>>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(config: PoolConfig) -> Self {
        Pool {
            config,
            source: None,
            addresses: RwLock::default(),
        }
    }

    /// Sets the local IP address from which connections are opened.
    #[must_use]
    pub fn with_source(mut self, source: IpAddr) -> Self {
        self.source = Some(source);
        self
    }

    /// Takes a usable idle connection, if there is one.
    pub fn take_idle(&self, address: SocketAddr) -> Option<Conn> {
        self.take_usable(&self.address_pool(address)?, Duration::ZERO)
    }

    /// Takes an idle connection, or opens one if fewer than `limit` are open. Otherwise waits for
    /// a free one until the deadline.
    ///
    /// # Errors
    ///
    /// [`ClientError`] with [`Operation::AcquireConnection`] if no connection is free by the
    /// deadline, or with [`Operation::Connect`] if none can be opened.
    pub fn acquire(
        &self,
        address: SocketAddr,
        limit: usize,
        deadline: Instant,
    ) -> Result<Conn, ClientError> {
        let address_pool = self.address_pool_or_new(address);
        let permit = loop {
            if let Some(conn) = self.take_usable(&address_pool, STEAL_DELAY) {
                return Ok(conn);
            }
            if let Some(permit) = address_pool.reserve(limit) {
                break permit;
            }
            if let Some(conn) = self.take_usable(&address_pool, Duration::ZERO) {
                return Ok(conn);
            }
            if !address_pool.wait_for_free(limit, deadline) {
                return Err(ClientError {
                    operation: Operation::AcquireConnection,
                    peer: address,
                    maybe_written: false,
                    kind: ClientErrorKind::PoolExhausted,
                });
            }
        };
        let timeout = deadline.saturating_duration_since(Instant::now());
        let mut conn = Conn::connect(address, self.source, timeout)?;
        conn.permit = Some(permit);
        Ok(conn)
    }

    /// Returns a connection to the pool for reuse. Closes it if it is unusable or too old, if the
    /// address was cleared since it was acquired, or if `max_idle` idle connections are kept.
    pub fn release(&self, mut conn: Conn) {
        if !conn.is_alive() || !self.config.is_unexpired(&conn, Instant::now()) {
            return;
        }
        let permit = match conn.permit.take() {
            Some(permit) => permit,
            // A connection that was opened outside of the pool counts from now on.
            None => match self.address_pool_or_new(conn.peer()).reserve(usize::MAX) {
                Some(permit) => permit,
                None => return,
            },
        };
        Permit::release(permit, conn, self.config.max_idle);
    }

    /// Closes the idle connections to an address. Those in use are closed when they are released.
    pub fn clear(&self, address: SocketAddr) {
        if let Some(address_pool) = self.address_pool(address) {
            address_pool.clear();
        }
    }

    /// Closes idle connections that are too old or have been idle for too long. Call this
    /// periodically, as expired connections are otherwise found only when their address is used.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let is_unexpired = |conn: &Conn| self.config.is_unexpired(conn, now);
        self.addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|_, address_pool| {
                address_pool.retain(is_unexpired);
                address_pool.stats().open > 0 || Arc::strong_count(address_pool) > 1
            });
    }

    /// Returns the numbers of open and idle connections to an address.
    pub fn stats(&self, address: SocketAddr) -> PoolStats {
        self.address_pool(address)
            .map_or_else(PoolStats::default, |address_pool| address_pool.stats())
    }

    fn take_usable(
        &self,
        address_pool: &Arc<AddressPool>,
        min_idle_time: Duration,
    ) -> Option<Conn> {
        loop {
            // An unusable connection is closed at the end of the iteration, which frees its permit.
            let mut conn = address_pool.take(min_idle_time)?;
            if self.config.is_unexpired(&conn, Instant::now()) && conn.is_usable() {
                return Some(conn);
            }
        }
    }

    fn address_pool(&self, address: SocketAddr) -> Option<Arc<AddressPool>> {
        self.addresses
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&address)
            .cloned()
    }

    fn address_pool_or_new(&self, address: SocketAddr) -> Arc<AddressPool> {
        if let Some(address_pool) = self.address_pool(address) {
            return address_pool;
        }
        self.addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(address)
            .or_default()
            .clone()
    }
}
