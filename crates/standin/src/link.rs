//! TCP relay between failure domains that can simulate network partitions.

use std::{
    fs,
    io::{
        self,
        Read,
        Write, //
    },
    net::{
        IpAddr,
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    path::Path,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    thread,
    time::Duration,
};

use serde::Deserialize;

use crate::{
    partitions::{
        ConnectionGuard,
        DirectionState,
        Partitions, //
    },
    prefix::Prefix, //
};

/// Stack size of a thread, in bytes.
const STACK_SIZE: usize = 64 * 1024;
/// Buffer size of each direction, in bytes.
const BUFFER_SIZE: usize = 16 * 1024;
/// Timeout of connecting to a destination.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of connections through one relay; each uses two threads.
const MAX_CONNECTIONS: usize = 1024;
/// Domain of addresses that match no prefix in the file.
const UNKNOWN_DOMAIN: &str = "outside";

/// Error in starting a relay.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The file could not be read.
    #[error("read {path}: {source}")]
    Read {
        /// Path of the file.
        path: Box<str>,
        /// The I/O error.
        source: io::Error,
    },
    /// The file is not a valid YAML or JSON configuration.
    #[error("parse {path}: {source}")]
    Parse {
        /// Path of the file.
        path: Box<str>,
        /// The parse error with its line.
        source: serde_norway::Error,
    },
    /// The relay could not listen on an address.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
}

/// Configuration of a relay.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkFile {
    /// The source domains.
    pub domains: Vec<SourceDomain>,
    /// The relayed addresses.
    pub links: Vec<LinkEntry>,
}

/// Failure domain of source addresses.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SourceDomain {
    /// Name of the domain.
    pub name: Box<str>,
    /// Addresses in the domain, as `ip/bits`.
    pub prefix: Prefix,
}

/// One relayed address.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkEntry {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Destination address.
    pub to: SocketAddr,
    /// Failure domain of the destination.
    pub domain: Box<str>,
}

impl LinkFile {
    /// Reads the configuration from a YAML or JSON file.
    ///
    /// # Errors
    ///
    /// Returns an error with the path and, for a parse error, the line.
    pub fn read(path: &Path) -> Result<Self, LinkError> {
        let name = || path.display().to_string().into();
        let text = fs::read_to_string(path).map_err(|source| LinkError::Read {
            path: name(),
            source,
        })?;
        serde_norway::from_str(&text).map_err(|source| {
            let path = name();
            LinkError::Parse { path, source }
        })
    }

    fn domain_of(&self, address: IpAddr) -> Box<str> {
        let found = self.domains.iter().find(|d| d.prefix.contains(address));
        found.map_or(UNKNOWN_DOMAIN.into(), |domain| domain.name.clone())
    }
}

/// A running relay. It runs until the process ends.
#[derive(Clone, Debug)]
pub struct Link {
    /// The active partitions.
    pub partitions: Arc<Partitions>,
    addresses: Vec<SocketAddr>,
}

impl Link {
    /// Starts to relay all addresses in `file`.
    ///
    /// # Errors
    ///
    /// Returns an error with the address that the relay could not listen on.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::net::TcpListener;
    /// use camphordale_standin::{Link, LinkFile, Response, serve};
    ///
    /// let listener = TcpListener::bind("127.0.0.1:0")?;
    /// let server = serve(listener, 4, |_| Response { status: 200, ..Response::default() })?;
    /// let text = format!(
    ///     "{{domains: [{{name: a, prefix: 127.0.0.0/8}}],
    ///       links: [{{listen: '127.0.0.1:0', to: '{}', domain: b}}]}}",
    ///     server.address(),
    /// );
    /// let file: LinkFile = serde_norway::from_str(&text)?;
    /// let link = Link::start(file)?;
    /// let url = format!("http://{}/", link.addresses()[0]);
    /// assert_eq!(ureq::get(&url).call()?.status(), 200);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn start(file: LinkFile) -> Result<Self, LinkError> {
        let file = Arc::new(file);
        let partitions = Arc::new(Partitions::default());
        let open = Arc::new(AtomicUsize::new(0));
        let mut addresses = Vec::new();
        for entry in &file.links {
            let failed = |source| LinkError::Listen {
                address: entry.listen,
                source,
            };
            let listener = TcpListener::bind(entry.listen).map_err(failed)?;
            addresses.push(listener.local_addr().map_err(failed)?);
            let relay = Relay {
                file: file.clone(),
                entry: entry.clone(),
                partitions: partitions.clone(),
                open: open.clone(),
            };
            let builder = thread::Builder::new().stack_size(STACK_SIZE);
            let spawned = builder.spawn(move || relay.accept_connections(&listener));
            spawned.map_err(failed)?;
        }
        Ok(Link {
            partitions,
            addresses,
        })
    }

    /// Returns the addresses that the relay listens on, in the order of the file.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }
}

#[derive(Clone)]
struct Relay {
    file: Arc<LinkFile>,
    entry: LinkEntry,
    partitions: Arc<Partitions>,
    open: Arc<AtomicUsize>,
}

impl Relay {
    fn accept_connections(&self, listener: &TcpListener) {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                // When file descriptors run out, accept fails until a connection is closed.
                thread::sleep(Duration::from_millis(10));
                continue;
            };
            if self.open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
                continue;
            }
            self.open.fetch_add(1, Ordering::Relaxed);
            let relay = self.clone();
            let builder = thread::Builder::new().stack_size(STACK_SIZE);
            let spawned = builder.spawn(move || {
                // A failed connection is closed on both sides, which signals the failure to
                // both peers.
                let _ = relay.relay_connection(&stream);
                let _ = stream.shutdown(Shutdown::Both);
                relay.open.fetch_sub(1, Ordering::Relaxed);
            });
            if spawned.is_err() {
                self.open.fetch_sub(1, Ordering::Relaxed);
            }
        }
    }

    fn relay_connection(&self, client: &TcpStream) -> io::Result<()> {
        let source = self.file.domain_of(client.peer_addr()?.ip());
        let forward = self.partitions.direction(&source, &self.entry.domain);
        let backward = self.partitions.direction(&self.entry.domain, &source);
        let guard = self.partitions.register(&forward, client.try_clone()?);
        // Connects only while neither direction is partitioned, because a TCP handshake needs both.
        let mut buffered = Vec::new();
        let mut is_closed =
            || guard.is_closed() || read_before_connect(client, &mut buffered).is_err();
        if !forward.wait_until_open(&mut is_closed) || !backward.wait_until_open(&mut is_closed) {
            return Ok(());
        }
        let mut destination = TcpStream::connect_timeout(&self.entry.to, CONNECT_TIMEOUT)?;
        destination.write_all(&buffered)?;
        client.set_nodelay(true)?;
        destination.set_nodelay(true)?;
        guard.add_stream(destination.try_clone()?);
        thread::scope(|scope| {
            let builder = thread::Builder::new().stack_size(STACK_SIZE);
            let spawned = builder.spawn_scoped(scope, || {
                copy_direction(&destination, client, &backward, &guard)
            });
            if spawned.is_ok() {
                copy_direction(client, &destination, &forward, &guard);
            } else {
                let _ = destination.shutdown(Shutdown::Both);
            }
        });
        Ok(())
    }
}

/// Buffers data that the client sends before the relay can connect, and fails once the client has
/// closed. Without this, clients that give up and reconnect during a long partition would use up
/// all connections.
fn read_before_connect(mut stream: &TcpStream, buffered: &mut Vec<u8>) -> io::Result<()> {
    let mut chunk = [0; BUFFER_SIZE];
    stream.set_nonblocking(true)?;
    while buffered.len() < BUFFER_SIZE {
        match stream.read(&mut chunk) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(count) => buffered.extend_from_slice(&chunk[..count]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
            Err(e) => return Err(e),
        }
    }
    stream.set_nonblocking(false)
}

/// Copies one direction. Data that arrives during a partition is forwarded when it heals, as TCP
/// would retransmit it; an end of stream is delayed in the same way.
fn copy_direction(
    mut from: &TcpStream,
    mut to: &TcpStream,
    direction: &DirectionState,
    guard: &ConnectionGuard<'_>,
) {
    let mut chunk = [0; BUFFER_SIZE];
    loop {
        let read = from.read(&mut chunk);
        if !direction.wait_until_open(|| guard.is_closed()) {
            return;
        }
        match read {
            Ok(count) if count > 0 => {
                if to.write_all(&chunk[..count]).is_err() {
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
            }
            Ok(_) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Err(_) => {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
