//! The event loop of a process: turns socket readiness into typed events.
//!
//! A single thread serves all connections. [`EventLoop::wait`] returns the events that occurred;
//! all other methods queue their output and return without blocking.

mod conn;
mod exchange;
mod memory;
mod pacing;
mod peers;
mod server;
mod targets;

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    io,
    net::SocketAddr,
    time::Duration,
};

use camphordale_fleet::{
    Limits,
    PeerMessage, //
};
use camphordale_http::{
    Request,
    Response, //
};
use camphordale_wire::Keyring;
use mio::{
    Events,
    Interest,
    Poll,
    Token,
    net::TcpListener, //
};
use slab::Slab;

pub use self::exchange::{
    ConnectionUse,
    Exchange,
    ExchangeError,
    ExchangeId,
    FailureCause, //
};
pub use self::targets::IdleRetention;
use self::{
    conn::{
        Conn,
        ConnKind, //
    },
    pacing::{
        Deferred,
        Direction,
        Pacer,
        READ_TURN_BYTES,
        UNPACED_BYTES, //
    },
    targets::Pool, //
};
use crate::{
    Clock,
    held_body::HeldBytes, //
};

/// Readiness events fetched per poll.
const EVENT_CAPACITY: usize = 256;
/// First token of listeners; smaller tokens are the keys of connections.
const LISTENER_TOKEN_BASE: usize = 1 << 30;
/// Backlog of a listening socket, in connections that have not been accepted.
const LISTEN_BACKLOG: i32 = 1024;
/// Largest number of open caller connections; further ones are closed on accept.
const MAX_CALLER_CONNECTIONS: usize = 3000;

/// Received bytes that the loop holds at most if no limit is set.
const DEFAULT_BUFFER_LIMIT: usize = 64 << 20;

/// Bytes that bodies of requests take at most if no limit is set.
const DEFAULT_BODY_LIMIT: usize = 256 << 20;

/// Bytes that are queued for other VMs at most if no limit is set.
const DEFAULT_PEER_OUTPUT_LIMIT: usize = 128 << 20;

/// Identifier of a connection; it is never reused.
pub type ConnId = u64;

/// Kind of traffic that a listener accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKind {
    /// Requests of callers.
    Callers,
    /// Readiness probes.
    Readiness,
    /// Calls of operators and targets.
    Control,
    /// Metrics scrapes.
    Metrics,
    /// Connections of other VMs.
    Peers,
}

/// An event that [`EventLoop::wait`] returns.
#[derive(Debug)]
pub enum IoEvent {
    /// A complete request was received.
    Request {
        /// The connection that awaits the response.
        conn: ConnId,
        /// Kind of the listener that accepted the connection.
        listener_kind: ListenerKind,
        /// The request.
        request: Request,
    },
    /// The client closed a connection whose request awaits its response.
    ClientDisconnected(ConnId),
    /// An exchange ended.
    ExchangeEnded {
        /// The exchange.
        id: ExchangeId,
        /// The response, or why the exchange failed.
        result: Result<Response, ExchangeError>,
        /// Whether its connection carried exchanges before.
        reused: bool,
    },
    /// A message of another VM was received.
    PeerMessage {
        /// The connection.
        conn: ConnId,
        /// The message.
        message: PeerMessage,
    },
    /// Bytes of a message of another VM were received that is not complete yet.
    PeerProgress(ConnId),
    /// A connection to another VM was closed.
    PeerClosed {
        /// The connection.
        conn: ConnId,
        /// Whether the other VM closed it after the handshake.
        rejected: bool,
    },
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventLoopStats {
    /// Connections accepted.
    pub accepted: u64,
    /// Connections refused because of the limit, or because accepting them failed.
    pub refused: u64,
    /// Requests rejected as malformed or over a limit.
    pub malformed: u64,
    /// Requests rejected because there was no memory for their bodies.
    pub without_memory: u64,
    /// Connections opened to targets.
    pub opened: u64,
    /// Exchanges with targets over connections that were open already.
    pub reused: u64,
    /// Failed connections between VMs and failed socket calls.
    pub socket_errors: u64,
}

/// A single-threaded event loop over non-blocking sockets.
pub struct EventLoop {
    poll: Poll,
    events: Events,
    clock: Clock,
    keyring: Keyring,
    listeners: Vec<(TcpListener, ListenerKind)>,
    conns: Slab<Conn>,
    caller_connections: usize,
    generation: u64,
    timers: BTreeSet<(Duration, usize, ConnId)>,
    pools: HashMap<SocketAddr, Pool>,
    /// Idle connections of all pools and since when.
    idle: BTreeSet<(Duration, ConnId)>,
    idle_retention: IdleRetention,
    /// Connections that are kept under a number.
    kept: HashMap<u64, ConnId>,
    exchanges: HashMap<ExchangeId, usize>,
    outbound: HashMap<SocketAddr, ConnId>,
    /// Recent time in which connections to targets opened.
    connect_time: Duration,
    io_events: Vec<IoEvent>,
    scratch: Vec<u8>,
    limits: Limits,
    close_after: bool,
    link_in: Pacer,
    link_out: Pacer,
    deferred: Deferred,
    /// Connections to other VMs with queued messages.
    unflushed: Vec<(usize, ConnId)>,
    /// Output for other VMs that was added since its sum was last checked.
    unchecked_output: usize,
    peer_output_limit: usize,
    buffered: usize,
    buffer_limit: usize,
    /// Bytes reserved for bodies of requests that are received or not held by the process yet.
    reserved: usize,
    held_bytes: HeldBytes,
    body_limit: usize,
    stats: EventLoopStats,
}

impl EventLoop {
    /// Creates an event loop without sockets.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn new(clock: Clock, keyring: Keyring) -> io::Result<EventLoop> {
        Ok(EventLoop {
            poll: Poll::new()?,
            events: Events::with_capacity(EVENT_CAPACITY),
            clock,
            keyring,
            listeners: Vec::new(),
            conns: Slab::new(),
            caller_connections: 0,
            generation: 0,
            timers: BTreeSet::new(),
            pools: HashMap::new(),
            idle: BTreeSet::new(),
            idle_retention: IdleRetention::Short,
            kept: HashMap::new(),
            exchanges: HashMap::new(),
            outbound: HashMap::new(),
            connect_time: Duration::ZERO,
            io_events: Vec::new(),
            scratch: vec![0; 32 << 10],
            limits: Limits::default(),
            close_after: false,
            link_in: Pacer::default(),
            link_out: Pacer::default(),
            deferred: Deferred::default(),
            unflushed: Vec::new(),
            unchecked_output: 0,
            peer_output_limit: DEFAULT_PEER_OUTPUT_LIMIT,
            buffered: 0,
            buffer_limit: DEFAULT_BUFFER_LIMIT,
            reserved: 0,
            held_bytes: HeldBytes::default(),
            body_limit: DEFAULT_BODY_LIMIT,
            stats: EventLoopStats::default(),
        })
    }

    /// Listens on `address` and returns the bound address. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn listen(
        &mut self,
        address: SocketAddr,
        listener_kind: ListenerKind,
    ) -> io::Result<SocketAddr> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(address),
            socket2::Type::STREAM,
            None,
        )?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        let mut listener = TcpListener::from_std(socket.into());
        let token = Token(LISTENER_TOKEN_BASE + self.listeners.len());
        self.poll
            .registry()
            .register(&mut listener, token, Interest::READABLE)?;
        let bound = listener.local_addr()?;
        self.listeners.push((listener, listener_kind));
        Ok(bound)
    }

    /// Sets the size and time limits of requests.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Sets whether a connection is closed after its next response.
    pub fn set_close_after_response(&mut self, enabled: bool) {
        self.close_after = enabled;
    }

    /// Sets the number of bytes that are queued for all other VMs together at most. If it is exceeded,
    /// the connections with the longest queues are closed.
    pub fn set_peer_output_limit(&mut self, bytes: usize) {
        self.peer_output_limit = bytes;
    }

    /// Returns the counters since the start of the process.
    pub fn stats(&self) -> EventLoopStats {
        self.stats
    }

    /// Number of open connections of all kinds.
    pub fn open_connections(&self) -> usize {
        self.conns.len()
    }

    /// Number of idle connections to targets.
    pub fn idle_target_connections(&self) -> usize {
        self.idle.len()
    }

    /// Number of open caller connections.
    pub fn caller_connections(&self) -> usize {
        self.caller_connections
    }

    /// Waits for events until `until` at the latest. A signal ends the wait early.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn wait(&mut self, until: Duration) -> io::Result<Vec<IoEvent>> {
        self.flush_peers(self.clock.now());
        let until = match self.timers.first() {
            Some((deadline, ..)) => until.min(*deadline),
            None => until,
        };
        let until = self.deferred.next_at().map_or(until, |at| until.min(at));
        let timeout = if self.io_events.is_empty() {
            until.saturating_sub(self.clock.now())
        } else {
            Duration::ZERO
        };
        match self.poll.poll(&mut self.events, Some(timeout)) {
            Ok(()) => {}
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {
                return Ok(std::mem::take(&mut self.io_events));
            }
            Err(error) => return Err(error),
        }
        let now = self.clock.now();
        let events = std::mem::replace(&mut self.events, Events::with_capacity(1));
        for event in &events {
            let token = event.token().0;
            if token >= LISTENER_TOKEN_BASE {
                self.accept_connections(token - LISTENER_TOKEN_BASE, now);
            } else if self.conns.contains(token) {
                if event.is_writable() {
                    self.on_writable(token, now);
                }
                if self.conns.contains(token) && (event.is_readable() || event.is_read_closed()) {
                    self.on_readable(token, event.is_read_closed(), now);
                }
            }
        }
        self.events = events;
        self.resume_deferred(now);
        self.expire_timers(now);
        Ok(std::mem::take(&mut self.io_events))
    }

    fn expire_timers(&mut self, now: Duration) {
        while let Some((deadline, key, id)) = self.timers.first().copied() {
            if deadline > now {
                return;
            }
            self.timers.remove(&(deadline, key, id));
            let conn = self.conns.get(key).filter(|conn| conn.id == id);
            if conn.is_some_and(|conn| conn.deadline == Some(deadline)) {
                self.on_timeout(key, now);
            }
        }
    }

    /// Handles a connection whose deadline has passed.
    fn on_timeout(&mut self, key: usize, now: Duration) {
        match &self.conns[key].kind {
            ConnKind::HttpServer { .. } => self.on_http_server_timeout(key, now),
            ConnKind::Target { .. } => self.on_target_timeout(key, now),
            ConnKind::Peer { .. } => self.close_connection(
                key,
                FailureCause::TimedOut,
                "handshake or idle timeout",
                now,
            ),
        }
    }

    fn set_deadline(&mut self, key: usize, deadline: Option<Duration>) {
        let conn = &mut self.conns[key];
        if conn.deadline == deadline {
            return;
        }
        if let Some(old) = conn.deadline.take() {
            self.timers.remove(&(old, key, conn.id));
        }
        if let Some(deadline) = deadline {
            conn.deadline = Some(deadline);
            self.timers.insert((deadline, key, conn.id));
        }
    }

    fn key_of(&self, id: ConnId) -> Option<usize> {
        let key = (id & u64::from(u32::MAX)) as usize;
        let conn = self.conns.get(key)?;
        (conn.id == id).then_some(key)
    }

    fn insert(&mut self, socket: mio::net::TcpStream, kind: ConnKind) -> Option<usize> {
        self.generation += 1;
        let entry = self.conns.vacant_entry();
        let key = entry.key();
        let id = (self.generation << 32) | key as u64;
        let conn = entry.insert(Conn::new(id, socket, kind));
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registry = self.poll.registry();
        if registry
            .register(&mut conn.socket, Token(key), interest)
            .is_err()
        {
            self.conns.remove(key);
            return None;
        }
        Some(key)
    }

    fn on_writable(&mut self, key: usize, now: Duration) {
        let conn = &mut self.conns[key];
        if !conn.connected {
            match conn.check_connected() {
                Ok(true) => self.on_target_connected(key, now),
                Ok(false) => return,
                Err(error) => {
                    let reason = error.to_string();
                    let cause = FailureCause::Unconnected;
                    return self.close_connection(key, cause, &reason, now);
                }
            }
        }
        self.flush(key, now);
    }

    /// Writes buffered output until the socket would block. A long response or request is written in
    /// portions.
    fn flush(&mut self, key: usize, now: Duration) {
        let conn = &mut self.conns[key];
        if !conn.connected {
            return;
        }
        let paced = conn.is_paced(now);
        let allowance = match paced {
            true => self.link_out.allowance(now),
            false => usize::MAX,
        };
        let written = match conn.flush(allowance) {
            Ok(written) => written,
            Err(error) => return self.fail_connection(key, &error, now),
        };
        self.link_out.spend(written, now);
        if written > 0 {
            self.conns[key].written_at = now;
        }
        if paced {
            let conn = &self.conns[key];
            if written == allowance && !conn.output_is_empty() {
                return self.defer(key, Direction::Write, true, now);
            }
        }
        let conn = &self.conns[key];
        if conn.output_is_empty() && conn.closing {
            self.shut_down_write(key, now);
        }
    }

    fn on_readable(&mut self, key: usize, read_closed: bool, now: Duration) {
        let conn = &mut self.conns[key];
        if !conn.connected || conn.read_deferred {
            return;
        }
        let paced = conn.incoming_bytes() > UNPACED_BYTES;
        let allowance = match paced {
            true => self.link_in.allowance(now).min(READ_TURN_BYTES),
            false => READ_TURN_BYTES,
        };
        let outcome = match conn.read(&mut self.scratch, read_closed, allowance) {
            Ok(outcome) => outcome,
            Err(error) => return self.fail_connection(key, &error, now),
        };
        self.link_in.spend(outcome.bytes, now);
        if outcome.has_more {
            self.defer(key, Direction::Read, paced, now);
        }
        // A pipelined request may be buffered already.
        if outcome.bytes == 0 && !outcome.eof && self.conns[key].input.is_empty() {
            return;
        }
        match &self.conns[key].kind {
            ConnKind::HttpServer { .. } => self.on_http_server_readable(key, outcome.eof, now),
            ConnKind::Target { .. } => self.on_target_readable(key, outcome.eof, now),
            ConnKind::Peer { .. } => self.on_peer_readable(key, outcome.eof, now),
        }
        self.account(key, now);
    }

    /// Closes a connection after a failed read or write. A response that the target has sent before
    /// counts.
    fn fail_connection(&mut self, key: usize, error: &io::Error, now: Duration) {
        let conn = &mut self.conns[key];
        conn.failed = true;
        let id = conn.id;
        self.read_last_response(key, now);
        if self.key_of(id).is_some() {
            let cause = FailureCause::from_io(error);
            self.close_connection(key, cause, &error.to_string(), now);
        }
    }

    /// Closes a connection and queues the event that reports it.
    fn close_connection(&mut self, key: usize, cause: FailureCause, reason: &str, now: Duration) {
        let Some(mut conn) = self.conns.try_remove(key) else {
            return;
        };
        if let Some(deadline) = conn.deadline.take() {
            self.timers.remove(&(deadline, key, conn.id));
        }
        self.buffered -= conn.accounted;
        self.reserved -= conn.reserved;
        if self.poll.registry().deregister(&mut conn.socket).is_err() {
            // Not fatal: the socket is closed when it is dropped.
            self.stats.socket_errors += 1;
        }
        match conn.kind {
            ConnKind::HttpServer {
                listener_kind,
                ref protocol,
                ..
            } => {
                if listener_kind == ListenerKind::Callers {
                    self.caller_connections -= 1;
                }
                if protocol.is_awaiting_response() {
                    self.io_events.push(IoEvent::ClientDisconnected(conn.id));
                }
            }
            ConnKind::Target { .. } => self.on_target_closed(conn, cause, reason, now),
            ConnKind::Peer { outbound, protocol } => {
                if let Some(address) = outbound {
                    self.outbound.remove(&address);
                }
                self.io_events.push(IoEvent::PeerClosed {
                    conn: conn.id,
                    rejected: protocol.is_ready() && cause == FailureCause::Closed,
                });
            }
        }
    }

    /// Closes a connection to another VM, after what is queued was written as far as the socket
    /// takes it. Has no effect if it is closed already.
    pub fn close_peer(&mut self, id: ConnId) {
        let now = self.clock.now();
        if let Some(key) = self.key_of(id) {
            self.flush(key, now);
        }
        if let Some(key) = self.key_of(id) {
            self.close_connection(key, FailureCause::Local, "closed by this process", now);
        }
    }
}
