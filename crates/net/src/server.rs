//! Listener for peers.

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
    connection::Link,
    connections::{
        Slot,
        Slots, //
    }, //
    counters::{
        Count,
        ServerStats,
        Traffic, //
    },
    error::{
        LinkError,
        NetError,
        Operation, //
    },
    handler::Handler,
};

/// Pause after a failed accept, most often for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Longest time that a shutdown waits for handlers.
const SHUTDOWN_TIME: Duration = Duration::from_secs(2);

/// Accepts connections of peers and hands their messages to a [`Handler`], with one thread for
/// each connection.
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
/// let limit = Duration::from_secs(5);
/// assert_eq!(client.call(server.local_addr(), Some(1), b"hello", limit)?, b"hello");
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
    slots: Arc<Slots>,
    traffic: Arc<Traffic>,
    panics: Count,
    closing: AtomicBool,
}

impl PeerServer {
    /// Listens and starts to accept.
    ///
    /// # Errors
    ///
    /// [`NetError`] if the address cannot be listened on or no thread can be started.
    pub fn start(
        config: PeerServerConfig,
        handler: Arc<dyn Handler>,
    ) -> Result<PeerServer, NetError> {
        let bind = config.bind;
        let at = |step| {
            move |source| NetError {
                step,
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
            slots: Arc::default(),
            traffic: Arc::default(),
            panics: Count::default(),
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

    /// Returns the address that is listened on.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters.
    pub fn stats(&self) -> ServerStats {
        let Shared {
            slots,
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
            connections: slots.finished() as u64,
            refused: traffic.refused.get(),
        }
    }

    /// Stops to accept, closes all connections and waits up to 2 s for running handlers.
    pub fn shutdown(&self) {
        self.shared.closing.store(true, Ordering::SeqCst);
        // On Linux this ends a blocked accept; elsewhere a connection does.
        if SockRef::from(&*self.listener)
            .shutdown(Shutdown::Both)
            .is_err()
        {
            let _ = TcpStream::connect_timeout(&self.address, ACCEPT_PAUSE);
        }
        let acceptor = self
            .acceptor
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(acceptor) = acceptor {
            // The acceptor does not run handlers, so its panic would be reported by the hook.
            let _ = acceptor.join();
        }
        self.shared.slots.close(SHUTDOWN_TIME);
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
                    thread::sleep(ACCEPT_PAUSE);
                }
            }
        }
    }

    fn admit(self: &Arc<Self>, stream: TcpStream, peer: SocketAddr) -> Result<(), &'static str> {
        let limits = &self.config.limits;
        let stream = Arc::new(stream);
        let slot = self.slots.enter(peer.ip(), stream.clone(), limits)?;
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

    /// Serves one connection to its end. Returns the reason if it is not a regular one.
    fn serve(&self, stream: Arc<TcpStream>, slot: &Slot) -> Result<(), &'static str> {
        let PeerServerConfig {
            vm,
            keyring,
            limits,
            ..
        } = &self.config;
        let deadline = Instant::now() + limits.handshake_timeout;
        let mut link = Link::accept(
            stream,
            *vm,
            keyring,
            limits.max_payload,
            deadline,
            &self.traffic,
        )
        .map_err(|error| match error {
            LinkError::Timeout => "handshake_time",
            error => error.reason(),
        })?;
        if !slot.finish(limits) {
            return Err("connections");
        }
        link.confirm(deadline).map_err(|error| error.reason())?;
        match self.exchange(&mut link) {
            Ok(()) | Err(LinkError::Closed | LinkError::Io(_)) => Ok(()),
            Err(error) => Err(error.reason()),
        }
    }

    fn exchange(&self, link: &mut Link) -> Result<(), LinkError> {
        let limits = &self.config.limits;
        let mut casts = 0_u64;
        let mut confirmed = 0;
        let mut pong_at = Instant::now();
        let mut idle_at = Instant::now() + limits.idle_timeout;
        loop {
            if casts > confirmed && Instant::now() >= pong_at {
                let deadline = Instant::now() + limits.write_timeout;
                link.write(FrameKind::Ack, &casts.to_be_bytes(), deadline)
                    .map_err(|error| error.kind)?;
                confirmed = casts;
            }
            let pong_due = casts > confirmed && pong_at < idle_at;
            let frame = match link.read(if pong_due { pong_at } else { idle_at }) {
                Ok(frame) => frame,
                Err(LinkError::Timeout) if pong_due => continue,
                // An idle connection is closed without a count of refusal.
                Err(LinkError::Timeout) if !link.is_inside_frame() => return Ok(()),
                Err(error) => return Err(error),
            };
            self.traffic.messages_in.add(1);
            let from = link.vm;
            match frame.kind {
                FrameKind::Call => {
                    let call = || self.handler.call(from, frame.payload);
                    let Ok(reply) = catch_unwind(AssertUnwindSafe(call)) else {
                        self.panics.add(1);
                        return Ok(());
                    };
                    let deadline = Instant::now() + limits.write_timeout;
                    link.write(FrameKind::Reply, &reply, deadline)
                        .map_err(|error| error.kind)?;
                    self.traffic.messages_out.add(1);
                }
                FrameKind::Cast => {
                    if casts == confirmed {
                        pong_at = Instant::now() + limits.ack_interval;
                    }
                    casts += 1;
                    let cast = || self.handler.cast(from, frame.payload);
                    if catch_unwind(AssertUnwindSafe(cast)).is_err() {
                        self.panics.add(1);
                    }
                }
                FrameKind::Ready | FrameKind::Reply | FrameKind::Ack => {
                    return Err(LinkError::Unexpected);
                }
            }
            idle_at = Instant::now() + limits.idle_timeout;
        }
    }
}
