//! TCP relay between failure domains, which can be cut.

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

/// Stack of a thread, in bytes.
const STACK_SIZE: usize = 64 * 1024;
/// Bytes that one direction copies at a time.
const BUFFER_SIZE: usize = 16 * 1024;
/// Time allowed to connect to a destination.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Connections through one relay; each takes two threads.
const MAX_CONNECTIONS: usize = 1024;
/// Domain of an address that has no prefix in the file.
const UNKNOWN_DOMAIN: &str = "outside";

/// A relay could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The file could not be read.
    #[error("read {path}: {source}")]
    Read {
        /// The file.
        path: Box<str>,
        /// The error of the file system.
        source: io::Error,
    },
    /// The file is not valid YAML or JSON of the right form.
    #[error("parse {path}: {source}")]
    Parse {
        /// The file.
        path: Box<str>,
        /// The error with its line.
        source: serde_norway::Error,
    },
    /// An address could not be listened on.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error.
        source: io::Error,
    },
}

/// What a relay connects.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkFile {
    /// The source domains.
    pub domains: Vec<SourceDomain>,
    /// The relayed addresses.
    pub links: Vec<LinkEntry>,
}

/// A source domain.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SourceDomain {
    /// Its name.
    pub name: Box<str>,
    /// Addresses that belong to it, as `ip/bits`.
    pub prefix: Prefix,
}

/// One relayed address.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkEntry {
    /// Where the relay listens.
    pub listen: SocketAddr,
    /// Where it connects to.
    pub to: SocketAddr,
    /// Domain of the destination.
    pub domain: Box<str>,
}

impl LinkFile {
    /// Reads a YAML or JSON file.
    ///
    /// # Errors
    ///
    /// Names the file and the line at fault.
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
    /// The cuts in force.
    pub partitions: Arc<Partitions>,
    addresses: Vec<SocketAddr>,
}

impl Link {
    /// Starts to relay everything in `file`.
    ///
    /// # Errors
    ///
    /// Names the address that could not be listened on.
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
                // Running out of descriptors fails every accept until one is closed.
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
                // A connection that fails is closed on both sides, which is all that its ends
                // can see.
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
        // A handshake needs both directions.
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

/// Reads what the peer sends before the relay can connect, and fails once the peer has closed.
/// Without this, callers that give up and connect again during a long cut would use up all
/// connections.
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

/// Copies one direction. What arrives during a cut is kept and passed on when it heals, as TCP
/// would send it again; an end of stream is held back in the same way.
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
