//! Client for calls and casts to peers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use camphordale_wire::FrameKind;

use crate::{
    cast_queue::CastQueues,
    config::PeerClientConfig,
    connection::{
        Connection,
        Limit, //
    },
    counters::{
        ClientStats,
        Counter,
        Traffic, //
    },
    error::{
        CallError,
        CallErrorKind,
        ConnectionError,
        Operation, //
    },
    pool::{
        Pool,
        PooledConnection, //
    }, //
};

/// Sends requests (calls) and one-way messages (casts) to peers.
///
/// A connection carries one call at a time and is closed after a timeout, so a late reply can
/// never be taken for the reply to another call. See [`crate::PeerServer`] for an example.
pub struct PeerClient {
    shared: Arc<Shared>,
    pool: Pool,
    expiry_check: Mutex<Instant>,
    cast_queues: CastQueues,
}

pub(crate) struct Shared {
    pub(crate) config: PeerClientConfig,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) connects: Counter,
    pub(crate) casts_dropped: Counter,
}

impl PeerClient {
    /// Creates a client. Connections are opened on demand.
    pub fn new(config: PeerClientConfig) -> Self {
        let shared = Arc::new(Shared {
            config,
            traffic: Arc::default(),
            connects: Counter::default(),
            casts_dropped: Counter::default(),
        });
        PeerClient {
            cast_queues: CastQueues::new(shared.clone()),
            shared,
            pool: Pool::default(),
            expiry_check: Mutex::new(Instant::now()),
        }
    }

    /// Sends a request and waits for the reply. If `expected_vm` is given, the request is sent only
    /// if the peer at the address authenticates as the VM with that number.
    ///
    /// # Errors
    ///
    /// [`CallError`] if no reply arrives within `timeout`. It tells whether the peer may have
    /// received the request.
    pub fn call(
        &self,
        to: SocketAddr,
        expected_vm: Option<u32>,
        request: &[u8],
        timeout: Duration,
    ) -> Result<Vec<u8>, CallError> {
        let deadline = Instant::now() + timeout;
        self.exchange(
            to,
            expected_vm,
            request,
            deadline,
            Limit::Deadline(deadline),
        )
    }

    /// Sends a short request whose reply may be long, and waits for the reply for as long as bytes
    /// of it arrive: it fails after `silence` without one. See [`PeerClient::call`].
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use camphordale_net::{PeerClient, PeerClientConfig};
    /// use camphordale_wire::{ClusterKey, Keyring};
    ///
    /// let keyring = Keyring::new(vec![ClusterKey { id: 1, secret: [7; 32] }], 1)?;
    /// let client = PeerClient::new(PeerClientConfig::new(2, keyring));
    /// // Nothing listens on the discard port.
    /// let address = "127.0.0.1:9".parse()?;
    /// let error = client.transfer(address, Some(1), b"all parts", Duration::from_secs(1));
    /// assert!(error.is_err_and(|error| !error.maybe_delivered));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    ///
    /// # Errors
    ///
    /// [`CallError`] if no reply arrives. It tells whether the peer may have received the request.
    pub fn transfer(
        &self,
        to: SocketAddr,
        expected_vm: Option<u32>,
        request: &[u8],
        silence: Duration,
    ) -> Result<Vec<u8>, CallError> {
        let deadline = Instant::now() + silence;
        self.exchange(to, expected_vm, request, deadline, Limit::Silence(silence))
    }

    /// Sends a request on a connection that is opened by `deadline`, and waits for the reply within
    /// `limit`.
    fn exchange(
        &self,
        to: SocketAddr,
        expected_vm: Option<u32>,
        request: &[u8],
        deadline: Instant,
        limit: Limit,
    ) -> Result<Vec<u8>, CallError> {
        let failed = |operation, maybe_delivered, kind: CallErrorKind| {
            if let CallErrorKind::Connection(error) = &kind {
                self.shared.traffic.refused.add(error.reason());
            }
            CallError {
                operation,
                peer: to,
                maybe_delivered,
                kind,
            }
        };
        self.close_expired();
        let config = &self.shared.config;
        let mut permit = self
            .pool
            .acquire(to, expected_vm, config, deadline)
            .ok_or_else(|| failed(Operation::Acquire, false, CallErrorKind::Busy))?;
        let pooled = match &mut permit.pooled {
            Some(pooled) => pooled,
            empty => {
                let connection = self
                    .shared
                    .connect(to, deadline)
                    .map_err(|(operation, error)| failed(operation, false, error.into()))?;
                empty.insert(PooledConnection::new(connection))
            }
        };
        let connection = &mut pooled.connection;
        if let Some(expected) = expected_vm.filter(|vm| *vm != connection.vm) {
            let found = connection.vm;
            let kind = CallErrorKind::WrongPeer { expected, found };
            return Err(failed(Operation::Handshake, false, kind));
        }
        connection
            .write(FrameKind::Call, request, limit)
            .map_err(|error| failed(Operation::Write, error.maybe_written, error.kind.into()))?;
        self.shared.traffic.messages_out.add(1);
        let frame = connection
            .read(limit)
            .map_err(|error| failed(Operation::Read, true, error.into()))?;
        if frame.kind != FrameKind::Reply {
            return Err(failed(
                Operation::Read,
                true,
                ConnectionError::Unexpected.into(),
            ));
        }
        self.shared.traffic.messages_in.add(1);
        permit.release();
        Ok(frame.payload)
    }

    /// Queues a one-way message. Never blocks: if the queue of the peer is full, the oldest queued
    /// message is dropped.
    pub fn cast(&self, to: SocketAddr, message: Vec<u8>) {
        self.cast_queues.push(to, message);
    }

    /// Returns the current counters.
    pub fn stats(&self) -> ClientStats {
        let Shared {
            traffic,
            connects,
            casts_dropped,
            ..
        } = &*self.shared;
        ClientStats {
            bytes_in: traffic.bytes_in.get(),
            bytes_out: traffic.bytes_out.get(),
            messages_in: traffic.messages_in.get(),
            messages_out: traffic.messages_out.get(),
            connects: connects.get(),
            casts_dropped: casts_dropped.get(),
            refused: traffic.refused.get(),
        }
    }

    fn close_expired(&self) {
        let interval = self.shared.config.idle_timeout / 2;
        let mut checked_at = self
            .expiry_check
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if checked_at.elapsed() >= interval {
            *checked_at = Instant::now();
            drop(checked_at);
            self.pool.close_expired(&self.shared.config);
        }
    }
}

impl Drop for PeerClient {
    fn drop(&mut self) {
        self.cast_queues.close();
    }
}

impl Shared {
    pub(crate) fn connect(
        &self,
        to: SocketAddr,
        deadline: Instant,
    ) -> Result<Connection, (Operation, ConnectionError)> {
        let config = &self.config;
        let connection = Connection::connect(
            to,
            config.bind_ip,
            config.vm,
            &config.keyring,
            config.max_payload,
            deadline.min(Instant::now() + config.connect_timeout),
            &self.traffic,
        )?;
        self.connects.add(1);
        Ok(connection)
    }
}
