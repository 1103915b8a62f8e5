//! Server for calls and casts from peers.

use std::{
    io,
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    panic::{
        AssertUnwindSafe,
        catch_unwind, //
    },
    sync::{
        Arc,
        Mutex,
        PoisonError,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use camphordale_wire::FrameKind;
use socket2::SockRef;

use crate::{
    config::PeerServerConfig,
    connection::{
        Connection,
        Limit, //
    },
    connections::{
        ConnectionSlot,
        Connections, //
    },
    counters::{
        Counter,
        ServerStats,
        Traffic, //
    },
    error::{
        ConnectionError,
        NetError,
        Operation, //
    },
    handler::Handler, //
};

/// Delay after a failed accept. The usual cause is a lack of file descriptors, which persists.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(10);

/// Time that a shutdown waits for running handlers.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts connections from peers and passes their messages to a [`Handler`], with one thread per
/// connection.
///
/// # Examples
///
/// ```
/// use std::{net::SocketAddr, sync::Arc, time::Duration};
///
/// use camphordale_net::{
///     Handler, PeerClient, PeerClientConfig, PeerServer, PeerServerConfig, ServerLimits,
/// };
/// use camphordale_wire::{ClusterKey, Keyring};
///
/// struct Echo;
///
/// impl Handler for Echo {
///     fn call(&self, _from: u32, request: Vec<u8>) -> Vec<u8> {
///         request
///     }
///     fn cast(&self, _from: u32, _message: Vec<u8>) {}
///     fn datagram(&self, _from: u32, _message: Vec<u8>, _source: SocketAddr) {}
/// }
///
/// let keyring = Keyring::new(vec![ClusterKey { id: 1, secret: [7; 32] }], 1)?;
/// let config = PeerServerConfig {
///     bind: "127.0.0.1:0".parse()?,
///     vm: 1,
///     keyring: keyring.clone(),
///     limits: ServerLimits::default(),
/// };
/// let server = PeerServer::start(config, Arc::new(Echo))?;
/// let client = PeerClient::new(PeerClientConfig::new(2, keyring));
/// let timeout = Duration::from_secs(5);
/// assert_eq!(client.call(server.local_addr(), Some(1), b"hello", timeout)?, b"hello");
/// server.shutdown();
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub struct PeerServer {
    shared: Arc<Shared>,
    address: SocketAddr,
    listener: Arc<TcpListener>,
    acceptor: Mutex<Option<JoinHandle<()>>>,
}

struct Shared {
    config: PeerServerConfig,
    handler: Arc<dyn Handler>,
    connections: Arc<Connections>,
    traffic: Arc<Traffic>,
    panics: Counter,
    closing: AtomicBool,
}

impl PeerServer {
    /// Binds the listener and starts accepting connections.
    ///
    /// # Errors
    ///
    /// [`NetError`] if the address cannot be bound or the thread cannot be started.
    pub fn start(
        config: PeerServerConfig,
        handler: Arc<dyn Handler>,
    ) -> Result<PeerServer, NetError> {
        let bind = config.bind;
        let at = |operation| {
            move |source| NetError {
                operation,
                address: bind,
                source,
            }
        };
        let listener = TcpListener::bind(bind).map_err(at(Operation::Bind))?;
        let address = listener.local_addr().map_err(at(Operation::Bind))?;
        let listener = Arc::new(listener);
        let shared = Arc::new(Shared {
            config,
            handler,
            connections: Arc::default(),
            traffic: Arc::default(),
            panics: Counter::default(),
            closing: AtomicBool::new(false),
        });
        let acceptor = thread::Builder::new()
            .name("peer-accept".into())
            .spawn({
                let (shared, listener) = (shared.clone(), listener.clone());
                move || shared.accept(&listener)
            })
            .map_err(at(Operation::Spawn))?;
        Ok(PeerServer {
            shared,
            address,
            listener,
            acceptor: Mutex::new(Some(acceptor)),
        })
    }

    /// Returns the address that the server listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Returns the current counters.
    pub fn stats(&self) -> ServerStats {
        let Shared {
            connections,
            traffic,
            panics,
            ..
        } = &*self.shared;
        ServerStats {
            bytes_in: traffic.bytes_in.get(),
            bytes_out: traffic.bytes_out.get(),
            messages_in: traffic.messages_in.get(),
            messages_out: traffic.messages_out.get(),
            panics: panics.get(),
            connections: connections.authenticated() as u64,
            refused: traffic.refused.get(),
        }
    }

    /// Stops accepting, closes all connections and waits up to 2 s for running handlers.
    pub fn shutdown(&self) {
        self.shared.closing.store(true, Ordering::SeqCst);
        // On Linux, shutting down the listener wakes a blocked accept. Where that fails, connecting
        // to the listener wakes it.
        if SockRef::from(&*self.listener)
            .shutdown(Shutdown::Both)
            .is_err()
        {
            let _ = TcpStream::connect_timeout(&self.address, ACCEPT_ERROR_DELAY);
        }
        let acceptor = self
            .acceptor
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(acceptor) = acceptor {
            // The acceptor runs no handlers. The panic hook has already reported any panic.
            let _ = acceptor.join();
        }
        self.shared.connections.close(SHUTDOWN_TIMEOUT);
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.shutdown();
    }
}

impl Shared {
    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        loop {
            let accepted = listener.accept();
            if self.closing.load(Ordering::SeqCst) {
                return;
            }
            match accepted {
                Ok((stream, peer)) => {
                    if let Err(reason) = self.admit(stream, peer) {
                        self.traffic.refused.add(reason);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(_) => {
                    self.traffic.refused.add("accept");
                    thread::sleep(ACCEPT_ERROR_DELAY);
                }
            }
        }
    }

    fn admit(self: &Arc<Self>, stream: TcpStream, peer: SocketAddr) -> Result<(), &'static str> {
        let limits = &self.config.limits;
        let stream = Arc::new(stream);
        let slot = self.connections.admit(peer.ip(), stream.clone(), limits)?;
        let shared = self.clone();
        thread::Builder::new()
            .name("peer-serve".into())
            .stack_size(limits.stack_size)
            .spawn(move || {
                if let Err(error) = shared.serve(stream, &slot) {
                    shared.traffic.refused.add(error);
                }
            })
            .map_err(|_| "thread")?;
        Ok(())
    }

    /// Serves one connection until it is closed. Returns the metrics label of the reason if the
    /// connection was rejected or failed.
    fn serve(&self, stream: Arc<TcpStream>, slot: &ConnectionSlot) -> Result<(), &'static str> {
        let PeerServerConfig {
            vm,
            keyring,
            limits,
            ..
        } = &self.config;
        let deadline = Instant::now() + limits.handshake_timeout;
        let mut connection = Connection::accept(
            stream,
            *vm,
            keyring,
            limits.max_payload,
            deadline,
            &self.traffic,
        )
        .map_err(|error| match error {
            ConnectionError::Timeout => "handshake_time",
            error => error.reason(),
        })?;
        if !slot.finish_handshake(limits) {
            return Err("connections");
        }
        connection
            .confirm(deadline)
            .map_err(|error| error.reason())?;
        match self.serve_frames(&mut connection) {
            Ok(()) | Err(ConnectionError::Closed | ConnectionError::Io(_)) => Ok(()),
            Err(error) => Err(error.reason()),
        }
    }

    fn serve_frames(&self, connection: &mut Connection) -> Result<(), ConnectionError> {
        let limits = &self.config.limits;
        let write_limit = Limit::Silence(limits.write_timeout);
        let mut casts = 0_u64;
        // Time of the next acknowledgement, if casts have arrived since the last one. A part of a
        // cast counts, so that the client does not give up a long one while it arrives.
        let mut ack_due = None;
        let mut idle_deadline = Instant::now() + limits.idle_timeout;
        loop {
            if ack_due.is_some_and(|due| Instant::now() >= due) {
                connection
                    .write(FrameKind::Ack, &casts.to_be_bytes(), write_limit)
                    .map_err(|error| error.kind)?;
                ack_due = None;
            }
            let ack_pending = ack_due.filter(|due| *due < idle_deadline);
            let frame = match connection.read_part(ack_pending.unwrap_or(idle_deadline)) {
                Ok(Some(frame)) => frame,
                Ok(None) => {
                    if connection.pending_kind() == Some(FrameKind::Cast) {
                        ack_due.get_or_insert_with(|| Instant::now() + limits.ack_interval);
                    }
                    idle_deadline = Instant::now() + limits.idle_timeout;
                    continue;
                }
                Err(ConnectionError::Timeout) if ack_pending.is_some() => continue,
                // Closing an idle connection is not counted as a refusal.
                Err(ConnectionError::Timeout) if !connection.is_inside_frame() => return Ok(()),
                Err(error) => return Err(error),
            };
            self.traffic.messages_in.add(1);
            let from = connection.vm;
            match frame.kind {
                FrameKind::Call => {
                    let call = || self.handler.call(from, frame.payload);
                    let Ok(reply) = catch_unwind(AssertUnwindSafe(call)) else {
                        self.panics.add(1);
                        return Ok(());
                    };
                    connection
                        .write(FrameKind::Reply, &reply, write_limit)
                        .map_err(|error| error.kind)?;
                    self.traffic.messages_out.add(1);
                }
                FrameKind::Cast => {
                    ack_due.get_or_insert_with(|| Instant::now() + limits.ack_interval);
                    casts += 1;
                    let cast = || self.handler.cast(from, frame.payload);
                    if catch_unwind(AssertUnwindSafe(cast)).is_err() {
                        self.panics.add(1);
                    }
                }
                FrameKind::Ready | FrameKind::Reply | FrameKind::Ack => {
                    return Err(ConnectionError::Unexpected);
                }
            }
            idle_deadline = Instant::now() + limits.idle_timeout;
        }
    }
}
