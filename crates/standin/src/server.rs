//! Minimal HTTP/1.1 server with one thread per connection.
//!
//! `rouille` passes each request to another thread and cannot truncate a response or stop
//! responding on an open connection, which the fault injection of the target needs.

use std::{
    io::{
        self,
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Maximum size of the request line and headers, in bytes.
const MAX_HEADER_SIZE: usize = 64 * 1024;
/// Maximum size of a request body, in bytes.
const MAX_BODY_SIZE: usize = 8 * 1024 * 1024;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;
/// Stack size of a connection's thread, in bytes.
const STACK_SIZE: usize = 256 * 1024;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// An HTTP request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Time at which the headers were complete.
    pub received_at: Instant,
    /// HTTP method.
    pub method: Box<str>,
    /// Path with query.
    pub path: Box<str>,
    /// Headers, with lower-case names.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Request body.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of the header with the lower-case name `name`.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| &**n == name);
        found.map(|(_, value)| &**value)
    }
}

/// How a response is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delivery {
    /// In full, unless the connection is muted.
    #[default]
    Full,
    /// Only half of the body, after which the connection is closed.
    Truncated,
    /// In full, even on a muted connection.
    Forced,
}

/// An HTTP response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Headers; `Content-Length` is added automatically.
    pub headers: Vec<(&'static str, Box<str>)>,
    /// Response body.
    pub body: Vec<u8>,
    /// How the response is sent.
    pub delivery: Delivery,
}

/// A running server. It runs until the process ends.
#[derive(Clone, Debug)]
pub struct Server {
    address: SocketAddr,
    generation: Arc<AtomicU64>,
}

impl Server {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Mutes all open connections permanently: they stay open, but requests on them are neither
    /// executed nor answered.
    pub fn mute_connections(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

/// Serves up to `max_connections` connections on `listener`; further ones are closed immediately.
///
/// # Errors
///
/// Returns an error if the accept thread cannot be started.
///
/// # Examples
///
/// ```
/// use std::net::TcpListener;
/// use camphordale_standin::{Response, serve};
///
/// let listener = TcpListener::bind("127.0.0.1:0")?;
/// let server = serve(listener, 8, |request| Response {
///     status: 200,
///     body: request.path.as_bytes().to_vec(),
///     ..Response::default()
/// })?;
/// let url = format!("http://{}/hello", server.address());
/// let mut response = ureq::get(&url).call().map_err(std::io::Error::other)?;
/// assert_eq!(response.body_mut().read_to_string().ok().as_deref(), Some("/hello"));
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn serve<H>(listener: TcpListener, max_connections: usize, handler: H) -> io::Result<Server>
where
    H: Fn(&Request) -> Response + Send + Sync + 'static,
{
    let generation = Arc::new(AtomicU64::new(0));
    let server = Server {
        address: listener.local_addr()?,
        generation: generation.clone(),
    };
    let handler = Arc::new(handler);
    let open = Arc::new(AtomicUsize::new(0));
    thread::Builder::new()
        .name("accept".into())
        .spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else {
                    // When file descriptors run out, accept fails until a connection is closed.
                    thread::sleep(Duration::from_millis(10));
                    continue;
                };
                if open.load(Ordering::Relaxed) >= max_connections {
                    continue;
                }
                open.fetch_add(1, Ordering::Relaxed);
                let handler = handler.clone();
                let generation = generation.clone();
                let count = open.clone();
                let spawned = thread::Builder::new()
                    .stack_size(STACK_SIZE)
                    .spawn(move || {
                        let _ = Connection::new(stream, &generation).run(&*handler);
                        count.fetch_sub(1, Ordering::Relaxed);
                    });
                if spawned.is_err() {
                    open.fetch_sub(1, Ordering::Relaxed);
                }
            }
        })?;
    Ok(server)
}

struct Connection<'a> {
    stream: TcpStream,
    server_generation: &'a AtomicU64,
    generation: u64,
    buffer: Vec<u8>,
    output: Vec<u8>,
}

impl<'a> Connection<'a> {
    fn new(stream: TcpStream, server_generation: &'a AtomicU64) -> Self {
        Connection {
            stream,
            server_generation,
            generation: server_generation.load(Ordering::SeqCst),
            buffer: Vec::with_capacity(4096),
            output: Vec::with_capacity(1024),
        }
    }

    fn run(&mut self, handler: &dyn Fn(&Request) -> Response) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        self.stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
        while let Some(request) = self.read()? {
            if self.is_muted() {
                return self.discard_input();
            }
            let response = handler(&request);
            if self.is_muted() && response.delivery != Delivery::Forced {
                return self.discard_input();
            }
            self.write(&request, &response)?;
            let close = request.header("connection");
            if close.is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                break;
            }
        }
        Ok(())
    }

    fn is_muted(&self) -> bool {
        self.server_generation.load(Ordering::SeqCst) != self.generation
    }

    fn discard_input(&mut self) -> io::Result<()> {
        self.stream.set_read_timeout(None)?;
        let mut discarded = [0; 4096];
        while self.stream.read(&mut discarded)? > 0 {}
        Ok(())
    }

    /// Reads the next request; `None` if the peer closed the connection between requests.
    fn read(&mut self) -> io::Result<Option<Request>> {
        loop {
            if let Some((mut request, header_size, body_size)) = parse(&self.buffer)? {
                while self.buffer.len() < header_size + body_size {
                    if self.fill()? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                request.body = self.buffer[header_size..header_size + body_size].to_vec();
                self.buffer.drain(..header_size + body_size);
                return Ok(Some(request));
            }
            if self.buffer.len() > MAX_HEADER_SIZE {
                return Err(invalid("header too large"));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn write(&mut self, request: &Request, response: &Response) -> io::Result<()> {
        self.output.clear();
        let length = response.body.len();
        write!(
            self.output,
            "HTTP/1.1 {} {}\r\n",
            response.status,
            reason_phrase(response.status)
        )?;
        for (name, value) in &response.headers {
            write!(self.output, "{name}: {value}\r\n")?;
        }
        write!(self.output, "content-length: {length}\r\n\r\n")?;
        let truncate = response.delivery == Delivery::Truncated;
        if &*request.method != "HEAD" {
            let end = if truncate { length / 2 } else { length };
            self.output.extend_from_slice(&response.body[..end]);
        }
        self.stream.write_all(&self.output)?;
        if truncate {
            self.stream.shutdown(Shutdown::Both)?;
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

/// Parses the request at the start of `buffer`. Returns it with the sizes of its header and body,
/// or `None` if the header is incomplete.
fn parse(buffer: &[u8]) -> io::Result<Option<(Request, usize, usize)>> {
    if buffer.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let header_size = match parsed.parse(buffer).map_err(invalid)? {
        httparse::Status::Complete(header_size) => header_size,
        httparse::Status::Partial => return Ok(None),
    };
    let mut request = Request {
        received_at: Instant::now(),
        method: parsed.method.unwrap_or_default().into(),
        path: parsed.path.unwrap_or_default().into(),
        headers: Vec::with_capacity(parsed.headers.len()),
        body: Vec::new(),
    };
    for header in parsed.headers.iter() {
        let value = std::str::from_utf8(header.value).map_err(invalid)?;
        let name = header.name.to_ascii_lowercase();
        request.headers.push((name.into(), value.into()));
    }
    if request.header("transfer-encoding").is_some() {
        return Err(invalid("only Content-Length is supported"));
    }
    let body_size = match request.header("content-length") {
        Some(text) => text.parse().map_err(invalid)?,
        None => 0,
    };
    if body_size > MAX_BODY_SIZE {
        return Err(invalid("body too large"));
    }
    Ok(Some((request, header_size, body_size)))
}

fn invalid<E>(error: E) -> io::Error
where
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    io::Error::new(io::ErrorKind::InvalidData, error)
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
