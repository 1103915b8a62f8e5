//! Small HTTP/1.1 server with one thread per connection.
//!
//! `rouille` hands each request to another thread and gives no control over how an answer is
//! cut short or a connection goes silent, which the switches of the target need.

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

/// Largest request line and headers, in bytes.
const MAX_HEAD: usize = 64 * 1024;
/// Largest body, in bytes.
const MAX_BODY: usize = 8 * 1024 * 1024;
/// Most headers of one request.
const MAX_HEADERS: usize = 100;
/// Stack of a connection's thread, in bytes.
const STACK: usize = 256 * 1024;
/// Time after which an idle connection is closed.
const IDLE: Duration = Duration::from_secs(120);

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// When its header was complete.
    pub read: Instant,
    /// HTTP method.
    pub method: Box<str>,
    /// Path with query.
    pub path: Box<str>,
    /// Headers, names in lower case.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| &**n == name);
        found.map(|(_, value)| &**value)
    }
}

/// How an answer is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delivery {
    /// Whole.
    #[default]
    Whole,
    /// Half of the body, then the connection is closed.
    Cut,
    /// Whole, also on a connection that was silenced.
    Always,
}

/// An answer.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// Status.
    pub status: u16,
    /// Headers; `Content-Length` is added.
    pub headers: Vec<(&'static str, Box<str>)>,
    /// Body.
    pub body: Vec<u8>,
    /// How it is written.
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

    /// Makes all present connections silent for good: they stay open, and nothing that arrives
    /// on them is run or answered.
    pub fn silence(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

/// Serves `listener` with up to `connections` connections; further ones are closed at once.
///
/// # Errors
///
/// Returns the error of starting the accepting thread.
///
/// # Examples
///
/// ```
/// use std::net::TcpListener;
/// use camphordale_standin::{Reply, serve};
///
/// let listener = TcpListener::bind("127.0.0.1:0")?;
/// let server = serve(listener, 8, |request| Reply {
///     status: 200,
///     body: request.path.as_bytes().to_vec(),
///     ..Reply::default()
/// })?;
/// let url = format!("http://{}/hello", server.address());
/// let mut answer = ureq::get(&url).call().map_err(std::io::Error::other)?;
/// assert_eq!(answer.body_mut().read_to_string().ok().as_deref(), Some("/hello"));
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn serve<H>(listener: TcpListener, connections: usize, handler: H) -> io::Result<Server>
where
    H: Fn(&Request) -> Reply + Send + Sync + 'static,
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
                    // Running out of descriptors fails every accept until one is closed.
                    thread::sleep(Duration::from_millis(10));
                    continue;
                };
                if open.load(Ordering::Relaxed) >= connections {
                    continue;
                }
                open.fetch_add(1, Ordering::Relaxed);
                let handler = handler.clone();
                let generation = generation.clone();
                let count = open.clone();
                let spawned = thread::Builder::new().stack_size(STACK).spawn(move || {
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
    generation: &'a AtomicU64,
    born: u64,
    buffer: Vec<u8>,
    output: Vec<u8>,
}

impl<'a> Connection<'a> {
    fn new(stream: TcpStream, generation: &'a AtomicU64) -> Self {
        Connection {
            stream,
            generation,
            born: generation.load(Ordering::SeqCst),
            buffer: Vec::with_capacity(4096),
            output: Vec::with_capacity(1024),
        }
    }

    fn run(&mut self, handler: &dyn Fn(&Request) -> Reply) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        self.stream.set_read_timeout(Some(IDLE))?;
        while let Some(request) = self.read()? {
            if self.is_silent() {
                return self.stay_silent();
            }
            let reply = handler(&request);
            if self.is_silent() && reply.delivery != Delivery::Always {
                return self.stay_silent();
            }
            self.write(&request, &reply)?;
            let close = request.header("connection");
            if close.is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                break;
            }
        }
        Ok(())
    }

    fn is_silent(&self) -> bool {
        self.generation.load(Ordering::SeqCst) != self.born
    }

    fn stay_silent(&mut self) -> io::Result<()> {
        self.stream.set_read_timeout(None)?;
        let mut waste = [0; 4096];
        while self.stream.read(&mut waste)? > 0 {}
        Ok(())
    }

    /// Reads the next request; none if the peer closed the connection between requests.
    fn read(&mut self) -> io::Result<Option<Request>> {
        loop {
            if let Some((mut request, head, length)) = parse(&self.buffer)? {
                while self.buffer.len() < head + length {
                    if self.fill()? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                request.body = self.buffer[head..head + length].to_vec();
                self.buffer.drain(..head + length);
                return Ok(Some(request));
            }
            if self.buffer.len() > MAX_HEAD {
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

    fn write(&mut self, request: &Request, reply: &Reply) -> io::Result<()> {
        self.output.clear();
        let length = reply.body.len();
        write!(
            self.output,
            "HTTP/1.1 {} {}\r\n",
            reply.status,
            phrase(reply.status)
        )?;
        for (name, value) in &reply.headers {
            write!(self.output, "{name}: {value}\r\n")?;
        }
        write!(self.output, "content-length: {length}\r\n\r\n")?;
        let cut = reply.delivery == Delivery::Cut;
        if &*request.method != "HEAD" {
            let end = if cut { length / 2 } else { length };
            self.output.extend_from_slice(&reply.body[..end]);
        }
        self.stream.write_all(&self.output)?;
        if cut {
            self.stream.shutdown(Shutdown::Both)?;
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

/// Returns the request at the start of `buffer` with the length of its head and of its body.
fn parse(buffer: &[u8]) -> io::Result<Option<(Request, usize, usize)>> {
    if buffer.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let head = match parsed.parse(buffer).map_err(invalid)? {
        httparse::Status::Complete(head) => head,
        httparse::Status::Partial => return Ok(None),
    };
    let mut request = Request {
        read: Instant::now(),
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
    let length = match request.header("content-length") {
        Some(text) => text.parse().map_err(invalid)?,
        None => 0,
    };
    if length > MAX_BODY {
        return Err(invalid("body too large"));
    }
    Ok(Some((request, head, length)))
}

fn invalid<E>(error: E) -> io::Error
where
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    io::Error::new(io::ErrorKind::InvalidData, error)
}

fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
