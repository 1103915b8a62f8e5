//! HTTP server: listener, accept thread, limits and counters.

use std::{
    collections::BTreeMap,
    io::{
        self,
        ErrorKind, //
    },
    net::{
        Ipv4Addr,
        Ipv6Addr,
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        OnceLock,
        PoisonError,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
        mpsc::{
            self,
            SyncSender, //
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

use socket2::{
    Domain,
    SockRef,
    Socket,
    Type, //
};

use crate::{
    connection::{
        self,
        ServerContext, //
    },
    error::{
        Operation,
        ServerError, //
    },
    linger,
    message::Handler,
    slots::ConnectionSlots, //
};

/// Delay after a failed accept, most often for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Timeout of the sentinel connection that ends the acceptor.
const SENTINEL_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of refused connections that are queued for their error response. Further ones
/// are closed without a response.
const REFUSED_QUEUE_LEN: usize = 64;

const KIB: usize = 1024;

/// Stack size in bytes of the threads that run no handler.
const HELPER_STACK_SIZE: usize = 128 * KIB;

/// Limits of a [`Server`].
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of open connections; each has a thread.
    pub max_connections: usize,
    /// Largest fraction of the connections that one source IP address can have. Must be 1 behind a
    /// load balancer that connects from a single address.
    pub ip_fraction: f64,
    /// Time to receive the whole head of a request, from its first byte; for the first request,
    /// from the start of the connection.
    pub header_timeout: Duration,
    /// Longest accepted head of a request in bytes.
    pub max_head: usize,
    /// Time to receive the whole body of a request, from the end of its head.
    pub body_timeout: Duration,
    /// Longest accepted body of a request in bytes.
    pub max_body: usize,
    /// Time without a request after which a connection is closed.
    pub idle_timeout: Duration,
    /// Time to write a whole response.
    pub write_timeout: Duration,
    /// Stack size in bytes of a connection's thread, on which the handler runs.
    pub stack_size: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_connections: 1_024,
            ip_fraction: 0.5,
            header_timeout: Duration::from_secs(5),
            max_head: 16 * KIB,
            body_timeout: Duration::from_secs(20),
            max_body: 1024 * KIB,
            idle_timeout: Duration::from_secs(60),
            write_timeout: Duration::from_secs(10),
            stack_size: 256 * KIB,
        }
    }
}

/// Counters of a [`Server`] since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerStats {
    /// Connections that are open now.
    pub connections: u64,
    /// Accepted connections, including refused ones.
    pub accepted: u64,
    /// Requests that were passed to the handler.
    pub requests: u64,
    /// Handler panics.
    pub panics: u64,
    /// Refused or aborted connections and requests, by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

/// Counters behind [`ServerStats`].
#[derive(Default)]
pub(crate) struct Counters {
    accepted: AtomicU64,
    requests: AtomicU64,
    panics: AtomicU64,
    refused: Mutex<BTreeMap<&'static str, u64>>,
}

impl Counters {
    pub(crate) fn record_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn record_panic(&self) {
        self.panics.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a refusal. Reasons are constants of the code, so the map stays small.
    pub(crate) fn record_refusal(&self, reason: &'static str) {
        let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        *refused.entry(reason).or_default() += 1;
    }
}

/// Accepts connections and passes their requests to a [`Handler`], with one thread per connection.
///
/// # Examples
///
/// ```
/// use std::{sync::Arc, time::{Duration, Instant}};
///
/// use camphordale_http::{Conn, Limits, OutgoingRequest, Request, Response, Server};
///
/// let handler = |request: Request| Response::new(200, request.body);
/// let server = Server::start("127.0.0.1:0".parse()?, Limits::default(), Arc::new(handler))?;
///
/// let timeout = Duration::from_secs(5);
/// let mut conn = Conn::connect(server.local_addr(), None, timeout)?;
/// let request = OutgoingRequest { method: "POST", path: "/", headers: &[], body: b"hello" };
/// let response = conn.exchange(&request, Instant::now() + timeout, 1024)?;
/// assert_eq!((response.status, &response.body[..]), (200, &b"hello"[..]));
/// drop(conn);
/// assert!(server.drain(timeout));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub struct Server {
    context: Arc<ServerContext>,
    slots: Arc<ConnectionSlots>,
    address: SocketAddr,
    listener: Arc<TcpListener>,
    stop: Arc<AcceptorStop>,
    acceptor: Mutex<Option<JoinHandle<()>>>,
}

/// Tells the acceptor thread when to end.
#[derive(Default)]
struct AcceptorStop {
    /// End at once, without accepting the backlog.
    immediate: AtomicBool,
    /// Local address of the sentinel connection: the acceptor ends when it accepts this one, so
    /// all connections that were queued before it are served.
    sentinel: OnceLock<SocketAddr>,
}

impl Server {
    /// Binds the address and starts to accept connections.
    ///
    /// # Errors
    ///
    /// [`ServerError`] if the address cannot be bound or a thread cannot be started.
    pub fn start(
        bind: SocketAddr,
        limits: Limits,
        handler: Arc<dyn Handler>,
    ) -> Result<Server, ServerError> {
        let error_at = |operation| {
            move |source| ServerError {
                operation,
                address: bind,
                source,
            }
        };
        let listener = TcpListener::bind(bind).map_err(error_at(Operation::Bind))?;
        let address = listener.local_addr().map_err(error_at(Operation::Bind))?;
        let listener = Arc::new(listener);
        let slots = Arc::new(ConnectionSlots::new(
            limits.max_connections,
            limits.ip_fraction,
        ));
        let context = Arc::new(ServerContext {
            limits,
            handler,
            counters: Counters::default(),
        });
        let stop = Arc::new(AcceptorStop::default());
        let (refused_sender, refused_receiver) = mpsc::sync_channel(REFUSED_QUEUE_LEN);
        thread::Builder::new()
            .name("http-refuse".into())
            .stack_size(HELPER_STACK_SIZE)
            .spawn(move || linger::serve_refusals(&refused_receiver))
            .map_err(error_at(Operation::SpawnThread))?;
        let acceptor = Acceptor {
            context: context.clone(),
            slots: slots.clone(),
            listener: listener.clone(),
            stop: stop.clone(),
            refused_sender,
        };
        let acceptor = thread::Builder::new()
            .name("http-accept".into())
            .stack_size(HELPER_STACK_SIZE)
            .spawn(move || acceptor.run())
            .map_err(error_at(Operation::SpawnThread))?;
        Ok(Server {
            context,
            slots,
            address,
            listener,
            stop,
            acceptor: Mutex::new(Some(acceptor)),
        })
    }

    /// Returns the address on which the server listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters.
    pub fn stats(&self) -> ServerStats {
        let counters = &self.context.counters;
        ServerStats {
            connections: self.slots.open_count() as u64,
            accepted: counters.accepted.load(Ordering::Relaxed),
            requests: counters.requests.load(Ordering::Relaxed),
            panics: counters.panics.load(Ordering::Relaxed),
            refused: counters
                .refused
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone(),
        }
    }

    /// Drains the server: accepts the connections that are queued in the backlog and then no more,
    /// closes idle connections, and lets requests in flight finish; their responses have
    /// `Connection: close`. Reports whether all connections ended within `timeout`.
    pub fn drain(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        self.accept_backlog();
        self.stop_accepting();
        self.slots.drain();
        self.slots.wait_until_empty(deadline)
    }

    /// Waits until the acceptor has taken all connections that are in the backlog now, and ends
    /// it. The kernel resets connections that are still in the backlog when the listener closes.
    fn accept_backlog(&self) {
        if self.lock_acceptor().is_none() {
            return;
        }
        let Ok(sentinel) = self.connect_sentinel() else {
            // Without the sentinel, `drain` ends the acceptor at once and the backlog is lost.
            self.context.counters.record_refusal("last_connection");
            return;
        };
        self.join_acceptor();
        drop(sentinel);
    }

    /// Opens the sentinel connection to this server, which the acceptor accepts after all
    /// connections that were queued before it.
    fn connect_sentinel(&self) -> io::Result<Socket> {
        let mut address = self.address;
        if address.ip().is_unspecified() {
            address.set_ip(match address {
                SocketAddr::V4(_) => Ipv4Addr::LOCALHOST.into(),
                SocketAddr::V6(_) => Ipv6Addr::LOCALHOST.into(),
            });
        }
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.bind(&SocketAddr::new(address.ip(), 0).into())?;
        let local_addr = socket.local_addr()?.as_socket();
        let local_addr = local_addr.ok_or(ErrorKind::AddrNotAvailable)?;
        self.stop.sentinel.get_or_init(|| local_addr);
        socket.connect_timeout(&address.into(), SENTINEL_CONNECT_TIMEOUT)?;
        Ok(socket)
    }

    fn stop_accepting(&self) {
        self.stop.immediate.store(true, Ordering::SeqCst);
        // On Linux a shutdown ends a blocked accept; elsewhere a new connection does.
        if SockRef::from(&*self.listener)
            .shutdown(Shutdown::Both)
            .is_err()
        {
            let _ = TcpStream::connect_timeout(&self.address, ACCEPT_RETRY_DELAY);
        }
        self.join_acceptor();
    }

    fn lock_acceptor(&self) -> MutexGuard<'_, Option<JoinHandle<()>>> {
        self.acceptor.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn join_acceptor(&self) {
        let acceptor = self.lock_acceptor().take();
        if let Some(acceptor) = acceptor {
            // The acceptor runs no handler, and the panic hook reports a panic of its own.
            let _ = acceptor.join();
        }
    }
}

impl Drop for Server {
    /// Closes all connections without waiting for running handlers.
    fn drop(&mut self) {
        self.stop_accepting();
        self.slots.close_all();
    }
}

/// The thread that accepts connections.
struct Acceptor {
    context: Arc<ServerContext>,
    slots: Arc<ConnectionSlots>,
    listener: Arc<TcpListener>,
    stop: Arc<AcceptorStop>,
    refused_sender: SyncSender<TcpStream>,
}

impl Acceptor {
    fn run(self) {
        loop {
            let accepted = self.listener.accept();
            if self.stop.immediate.load(Ordering::SeqCst) {
                return;
            }
            match accepted {
                Ok((_, peer)) if self.stop.sentinel.get() == Some(&peer) => return,
                Ok((stream, peer)) => self.start_connection(stream, peer),
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
                // During a drain, a lack of file descriptors may last until connections are closed,
                // which happens only after the acceptor has ended.
                Err(_) if self.stop.sentinel.get().is_some() => return,
                Err(_) => {
                    self.context.counters.record_refusal("accept");
                    thread::sleep(ACCEPT_RETRY_DELAY);
                }
            }
        }
    }

    fn start_connection(&self, stream: TcpStream, peer: SocketAddr) {
        let counters = &self.context.counters;
        counters.accepted.fetch_add(1, Ordering::Relaxed);
        let stream = Arc::new(stream);
        let slot = match self.slots.acquire(stream.clone(), peer.ip()) {
            Ok(slot) => slot,
            Err(reason) => {
                counters.record_refusal(reason);
                if let Ok(stream) = Arc::try_unwrap(stream) {
                    // If the queue is full, the connection is closed without a response.
                    let _ = self.refused_sender.try_send(stream);
                }
                return;
            }
        };
        let context = self.context.clone();
        let spawned = thread::Builder::new()
            .name("http-serve".into())
            .stack_size(self.context.limits.stack_size)
            .spawn(move || connection::serve(&context, stream, peer, &slot));
        if spawned.is_err() {
            counters.record_refusal("thread");
        }
    }
}
