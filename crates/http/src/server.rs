//! Listener.

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
        Context, //
    }, //
    error::{
        ServerError,
        Step, //
    },
    linger,
    message::Handler,
    slots::Places,
};

/// Pause after a failed accept, most often for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Longest wait for the connection that ends the acceptor.
const LAST_CONNECTION: Duration = Duration::from_secs(1);

/// Refused connections that wait for their answer; further ones are closed at once.
const REFUSED_QUEUE: usize = 64;

const KIB: usize = 1024;

/// Stack of the threads that run no handler, in bytes.
const SMALL_STACK: usize = 128 * KIB;

/// Bounds of a [`Server`].
#[derive(Clone, Debug)]
pub struct Limits {
    /// Open connections, each with a thread.
    pub max_connections: usize,
    /// Fraction of the connections that one source IP address can have. Behind a load balancer
    /// that connects from one address it has to be 1.
    pub ip_fraction: f64,
    /// Time for the whole head of a request, from its first byte; for the first request, from
    /// the start of the connection.
    pub header_timeout: Duration,
    /// Longest head of a request in bytes.
    pub max_head: usize,
    /// Time for the whole body of a request, from the end of its head.
    pub body_timeout: Duration,
    /// Longest body of a request in bytes.
    pub max_body: usize,
    /// Time between requests after which a connection is closed.
    pub idle_timeout: Duration,
    /// Time for the whole response to be written.
    pub write_timeout: Duration,
    /// Stack of a connection's thread in bytes. The handler runs on it.
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

/// Counts of a [`Server`] since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerStats {
    /// Connections that are open now.
    pub connections: u64,
    /// Connections that were accepted.
    pub accepted: u64,
    /// Requests that reached the handler.
    pub requests: u64,
    /// Handler panics.
    pub panics: u64,
    /// Connections and requests that were refused or cut, by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

#[derive(Default)]
pub(crate) struct Counts {
    accepted: AtomicU64,
    requests: AtomicU64,
    panics: AtomicU64,
    refused: Mutex<BTreeMap<&'static str, u64>>,
}

impl Counts {
    pub(crate) fn request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn panic(&self) {
        self.panics.fetch_add(1, Ordering::Relaxed);
    }

    /// The reasons are texts in the code, so their number is bounded.
    pub(crate) fn refused(&self, reason: &'static str) {
        let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        *refused.entry(reason).or_default() += 1;
    }
}

/// Accepts connections and hands their requests to a [`Handler`], with one thread for each
/// connection.
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
/// let limit = Duration::from_secs(5);
/// let mut conn = Conn::connect(server.local_addr(), None, limit)?;
/// let request = OutgoingRequest { method: "POST", path: "/", headers: &[], body: b"hello" };
/// let response = conn.exchange(&request, Instant::now() + limit, 1024)?;
/// assert_eq!((response.status, &response.body[..]), (200, &b"hello"[..]));
/// drop(conn);
/// assert!(server.drain(limit));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub struct Server {
    context: Arc<Context>,
    places: Arc<Places>,
    address: SocketAddr,
    listener: Arc<TcpListener>,
    closing: Arc<Closing>,
    acceptor: Mutex<Option<JoinHandle<()>>>,
}

/// How the acceptor ends.
#[derive(Default)]
struct Closing {
    now: AtomicBool,
    /// Address of the last connection to accept: those that came before it are served.
    last: OnceLock<SocketAddr>,
}

impl Server {
    /// Listens and starts to accept.
    ///
    /// # Errors
    ///
    /// [`ServerError`] if the address cannot be listened on or no thread can be started.
    pub fn start(
        bind: SocketAddr,
        limits: Limits,
        handler: Arc<dyn Handler>,
    ) -> Result<Server, ServerError> {
        let at = |step| {
            move |source| ServerError {
                step,
                address: bind,
                source,
            }
        };
        let listener = TcpListener::bind(bind).map_err(at(Step::Bind))?;
        let address = listener.local_addr().map_err(at(Step::Bind))?;
        let listener = Arc::new(listener);
        let places = Arc::new(Places::new(limits.max_connections, limits.ip_fraction));
        let context = Arc::new(Context {
            limits,
            handler,
            counts: Counts::default(),
        });
        let closing = Arc::new(Closing::default());
        let (refuse, refused) = mpsc::sync_channel(REFUSED_QUEUE);
        thread::Builder::new()
            .name("http-refuse".into())
            .stack_size(SMALL_STACK)
            .spawn(move || linger::refuse(&refused))
            .map_err(at(Step::Spawn))?;
        let acceptor = Acceptor {
            context: context.clone(),
            places: places.clone(),
            listener: listener.clone(),
            closing: closing.clone(),
            refuse,
        };
        let acceptor = thread::Builder::new()
            .name("http-accept".into())
            .stack_size(SMALL_STACK)
            .spawn(move || acceptor.run())
            .map_err(at(Step::Spawn))?;
        Ok(Server {
            context,
            places,
            address,
            listener,
            closing,
            acceptor: Mutex::new(Some(acceptor)),
        })
    }

    /// Returns the address that is listened on.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters.
    pub fn stats(&self) -> ServerStats {
        let counts = &self.context.counts;
        ServerStats {
            connections: self.places.open() as u64,
            accepted: counts.accepted.load(Ordering::Relaxed),
            requests: counts.requests.load(Ordering::Relaxed),
            panics: counts.panics.load(Ordering::Relaxed),
            refused: counts
                .refused
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone(),
        }
    }

    /// Stops to accept, closes idle connections and lets requests in flight finish, also those on
    /// connections that wait to be accepted; their responses say `Connection: close`. Reports
    /// whether all connections ended within `limit`.
    pub fn drain(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        self.accept_waiting();
        self.stop();
        self.places.drain();
        self.places.wait(deadline)
    }

    /// Lets the acceptor take the connections that the system has opened so far, and end. The
    /// system resets those that are left when the listener is closed.
    fn accept_waiting(&self) {
        if self.lock_acceptor().is_none() {
            return;
        }
        let Ok(last) = self.connect_last() else {
            // Without it the acceptor is ended at once.
            self.context.counts.refused("last_connection");
            return;
        };
        self.join_acceptor();
        drop(last);
    }

    /// Connects to this server; the acceptor takes connections in order.
    fn connect_last(&self) -> io::Result<Socket> {
        let mut to = self.address;
        if to.ip().is_unspecified() {
            to.set_ip(match to {
                SocketAddr::V4(_) => Ipv4Addr::LOCALHOST.into(),
                SocketAddr::V6(_) => Ipv6Addr::LOCALHOST.into(),
            });
        }
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
        socket.bind(&SocketAddr::new(to.ip(), 0).into())?;
        let own = socket.local_addr()?.as_socket();
        let own = own.ok_or(ErrorKind::AddrNotAvailable)?;
        self.closing.last.get_or_init(|| own);
        socket.connect_timeout(&to.into(), LAST_CONNECTION)?;
        Ok(socket)
    }

    fn stop(&self) {
        self.closing.now.store(true, Ordering::SeqCst);
        // On Linux this ends a blocked accept; elsewhere a connection does.
        if SockRef::from(&*self.listener)
            .shutdown(Shutdown::Both)
            .is_err()
        {
            let _ = TcpStream::connect_timeout(&self.address, ACCEPT_PAUSE);
        }
        self.join_acceptor();
    }

    fn lock_acceptor(&self) -> MutexGuard<'_, Option<JoinHandle<()>>> {
        self.acceptor.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn join_acceptor(&self) {
        let acceptor = self.lock_acceptor().take();
        if let Some(acceptor) = acceptor {
            // The acceptor runs no handler, and a panic of its own is shown by the panic hook.
            let _ = acceptor.join();
        }
    }
}

impl Drop for Server {
    /// Cuts all connections. Handlers that run are not waited for.
    fn drop(&mut self) {
        self.stop();
        self.places.cut();
    }
}

struct Acceptor {
    context: Arc<Context>,
    places: Arc<Places>,
    listener: Arc<TcpListener>,
    closing: Arc<Closing>,
    refuse: SyncSender<TcpStream>,
}

impl Acceptor {
    fn run(self) {
        loop {
            let accepted = self.listener.accept();
            if self.closing.now.load(Ordering::SeqCst) {
                return;
            }
            match accepted {
                Ok((_, peer)) if self.closing.last.get() == Some(&peer) => return,
                Ok((stream, peer)) => self.admit(stream, peer),
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
                // Descriptors may be short until the drain goes on.
                Err(_) if self.closing.last.get().is_some() => return,
                Err(_) => {
                    self.context.counts.refused("accept");
                    thread::sleep(ACCEPT_PAUSE);
                }
            }
        }
    }

    fn admit(&self, stream: TcpStream, peer: SocketAddr) {
        let counts = &self.context.counts;
        counts.accepted.fetch_add(1, Ordering::Relaxed);
        let stream = Arc::new(stream);
        let place = match self.places.enter(stream.clone(), peer.ip()) {
            Ok(place) => place,
            Err(reason) => {
                counts.refused(reason);
                if let Ok(stream) = Arc::try_unwrap(stream) {
                    // If the queue is full the connection is closed without an answer.
                    let _ = self.refuse.try_send(stream);
                }
                return;
            }
        };
        let context = self.context.clone();
        let spawned = thread::Builder::new()
            .name("http-serve".into())
            .stack_size(self.context.limits.stack_size)
            .spawn(move || connection::serve(&context, stream, peer, &place));
        if spawned.is_err() {
            counts.refused("thread");
        }
    }
}
