//! Client connections.

use std::{
    net::{
        IpAddr,
        Shutdown,
        SocketAddr,
        TcpStream, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use socket2::{
    Domain,
    Protocol,
    Socket as RawSocket,
    Type, //
};

use crate::{
    address_pool::Permit,
    codec::{
        ChunkError,
        ChunkedDecoder,
        Framing,
        ResponseHead, //
    },
    encode,
    error::{
        ClientError,
        ClientErrorKind,
        Step, //
    },
    message::{
        OutgoingRequest,
        Response, //
    },
    socket::{
        Failure,
        Peek,
        Socket, //
    }, //
};

/// Longest head of a response in bytes.
const MAX_HEAD: usize = 32 * 1024;

/// Most interim responses (1xx) before a response.
const MAX_INTERIM: usize = 16;

/// Requests that grew the buffer beyond this give it back.
const KEEP_OUT: usize = 64 * 1024;

/// Time for which sent data may stay unconfirmed by the system of the server.
#[cfg(target_os = "linux")]
const UNCONFIRMED_TIME: Duration = Duration::from_millis(800);

/// Time for which a check of an unused connection is relied on.
const CHECK_TIME: Duration = Duration::from_millis(1);

/// A connection to a server, with one request at a time.
///
/// After any error the connection is dead, as a late response could otherwise be taken for that
/// of the next request.
pub struct Conn {
    socket: Socket,
    peer: SocketAddr,
    pub(crate) created: Instant,
    pub(crate) used: Instant,
    /// When the connection was found usable, if it has carried no request since.
    checked: Option<Instant>,
    state: State,
    aborted: Arc<AtomicBool>,
    out: Vec<u8>,
    allows_unstated: bool,
    /// The place in a pool, if the connection belongs to one.
    pub(crate) permit: Option<Permit>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    /// Has had no error.
    Open,
    /// Must not carry another request.
    Dead,
}

/// Ends a blocking exchange from another thread.
#[derive(Clone)]
pub struct AbortHandle {
    stream: Arc<TcpStream>,
    aborted: Arc<AtomicBool>,
}

impl AbortHandle {
    /// Closes the connection. A running exchange fails with [`ClientErrorKind::Aborted`].
    pub fn abort(&self) {
        self.aborted.store(true, Ordering::SeqCst);
        // An error means that the connection is closed already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

impl Conn {
    /// Connects within `timeout`, from the address `source` if it is given.
    ///
    /// # Errors
    ///
    /// [`ClientError`] with [`Step::Connect`].
    pub fn connect(
        address: SocketAddr,
        source: Option<IpAddr>,
        timeout: Duration,
    ) -> Result<Conn, ClientError> {
        open(address, source, timeout).map_err(|kind| ClientError {
            step: Step::Connect,
            peer: address,
            maybe_written: false,
            kind,
        })
    }

    /// Accepts responses without a stated length that are ended by the close of the connection.
    /// Whether such a response is complete cannot be known.
    pub fn allow_unstated_length(&mut self, allow: bool) {
        self.allows_unstated = allow;
    }

    /// Returns the address of the server.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the time since the connection was opened.
    pub fn age(&self) -> Duration {
        self.created.elapsed()
    }

    /// Reports whether the connection had no error, without looking at the socket.
    pub(crate) fn is_alive(&self) -> bool {
        self.state != State::Dead && !self.aborted.load(Ordering::SeqCst)
    }

    /// Returns a handle that can end an exchange from another thread.
    pub fn abort_handle(&self) -> AbortHandle {
        AbortHandle {
            stream: self.socket.stream().clone(),
            aborted: self.aborted.clone(),
        }
    }

    /// Reports whether the connection can carry a request: it had no error, the server has not
    /// closed it, and no byte has arrived outside of a response.
    pub fn is_usable(&mut self) -> bool {
        self.check().is_ok()
    }

    fn check(&mut self) -> Result<(), ClientErrorKind> {
        if self.aborted.load(Ordering::SeqCst) {
            self.state = State::Dead;
            return Err(ClientErrorKind::Aborted);
        }
        if self.state == State::Dead {
            return Err(ClientErrorKind::Dead);
        }
        let failure = match self.socket.peek() {
            Peek::Silent => {
                self.checked = Some(Instant::now());
                return Ok(());
            }
            Peek::Data => ClientErrorKind::Extra,
            Peek::Closed => ClientErrorKind::Closed,
        };
        self.state = State::Dead;
        Err(failure)
    }

    /// Sends a request and awaits the complete response, with a body of at most `max_body`
    /// bytes. The request is written once and never repeated.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if there is no complete response by the deadline. It states whether a byte
    /// of the request may have been written. The connection is dead then.
    pub fn exchange(
        &mut self,
        request: &OutgoingRequest<'_>,
        deadline: Instant,
        max_body: usize,
    ) -> Result<Response, ClientError> {
        let mut maybe_written = false;
        let result = self.run(request, deadline, max_body, &mut maybe_written);
        self.used = Instant::now();
        result.map_err(|(step, kind)| {
            self.state = State::Dead;
            let aborted = self.aborted.load(Ordering::SeqCst);
            ClientError {
                step,
                peer: self.peer,
                maybe_written,
                kind: if aborted {
                    ClientErrorKind::Aborted
                } else {
                    kind
                },
            }
        })
    }

    fn run(
        &mut self,
        request: &OutgoingRequest<'_>,
        deadline: Instant,
        max_body: usize,
        maybe_written: &mut bool,
    ) -> Result<Response, (Step, ClientErrorKind)> {
        let checked = self.checked.take();
        if self.state == State::Dead || checked.is_none_or(|at| at.elapsed() > CHECK_TIME) {
            // Any byte that has arrived by now is not the response to this request.
            self.check().map_err(|kind| (Step::Check, kind))?;
            self.checked = None;
        }
        self.out.clear();
        let body = encode::request(&mut self.out, request, self.peer)
            .map_err(|part| (Step::Check, ClientErrorKind::Request(part)))?;
        let written = self.socket.write(&self.out, body, deadline);
        self.out.shrink_to(KEEP_OUT);
        written.map_err(|failure| {
            *maybe_written = failure.wrote;
            (Step::Write, failure.kind.into())
        })?;
        *maybe_written = true;

        let head = self.head(deadline).map_err(|kind| (Step::Head, kind))?;
        let body = self
            .body(request.method, &head, deadline, max_body)
            .map_err(|kind| (Step::Body, kind))?;
        if !self.socket.data().is_empty() {
            return Err((Step::Body, ClientErrorKind::Extra));
        }
        self.state = match head.keep_alive {
            true => State::Open,
            false => State::Dead,
        };
        Ok(Response {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    fn head(&mut self, deadline: Instant) -> Result<ResponseHead, ClientErrorKind> {
        let mut interim = 0;
        let mut searched = 0;
        loop {
            let data = self.socket.data();
            // The head cannot have become complete, nor wrong in a new way, without a line end.
            if data[searched..].contains(&b'\n') {
                let parsed = ResponseHead::parse(&data[..data.len().min(MAX_HEAD)])
                    .map_err(|error| ClientErrorKind::Malformed(error.0))?;
                if let Some((head, length)) = parsed {
                    self.socket.consume(length);
                    match head.status {
                        101 => return Err(ClientErrorKind::Malformed("protocol is switched")),
                        100..200 if interim == MAX_INTERIM => {
                            return Err(ClientErrorKind::Malformed("too many interim responses"));
                        }
                        100..200 => {
                            interim += 1;
                            searched = 0;
                            continue;
                        }
                        _ => return Ok(head),
                    }
                }
            }
            if data.len() >= MAX_HEAD {
                return Err(ClientErrorKind::Malformed("head is too long"));
            }
            searched = data.len();
            self.socket.fill(deadline)?;
        }
    }

    fn body(
        &mut self,
        method: &str,
        head: &ResponseHead,
        deadline: Instant,
        max_body: usize,
    ) -> Result<Vec<u8>, ClientErrorKind> {
        let mut body = Vec::new();
        if method == "HEAD" || matches!(head.status, 204 | 304) {
            return Ok(body);
        }
        match head.framing {
            Framing::Length(length) => {
                let length = usize::try_from(length)
                    .ok()
                    .filter(|length| *length <= max_body)
                    .ok_or(ClientErrorKind::TooLarge)?;
                self.socket.read_body(&mut body, length, deadline)?;
            }
            Framing::Chunked => {
                let mut chunked = ChunkedDecoder::new(max_body);
                loop {
                    let used = chunked
                        .decode(self.socket.data(), &mut body)
                        .map_err(|error| match error {
                            ChunkError::Malformed => ClientErrorKind::Malformed("chunk"),
                            ChunkError::TooLarge => ClientErrorKind::TooLarge,
                        })?;
                    self.socket.consume(used);
                    if chunked.is_done() {
                        break;
                    }
                    self.socket.fill(deadline)?;
                }
            }
            Framing::Unspecified if head.says_close && self.allows_unstated => loop {
                let count = self.socket.data().len();
                if count > max_body - body.len() {
                    return Err(ClientErrorKind::TooLarge);
                }
                body.extend_from_slice(self.socket.data());
                self.socket.consume(count);
                match self.socket.fill(deadline) {
                    Ok(_) => {}
                    Err(Failure::Closed) => break,
                    Err(failure) => return Err(failure.into()),
                }
            },
            Framing::Unspecified => return Err(ClientErrorKind::Length),
        }
        Ok(body)
    }
}

impl From<Failure> for ClientErrorKind {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Io(error) => ClientErrorKind::Io(error),
            Failure::Timeout => ClientErrorKind::Timeout,
            Failure::Closed => ClientErrorKind::Closed,
        }
    }
}

fn open(
    address: SocketAddr,
    source: Option<IpAddr>,
    timeout: Duration,
) -> Result<Conn, ClientErrorKind> {
    if timeout.is_zero() {
        return Err(ClientErrorKind::Timeout);
    }
    let raw = RawSocket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    if let Some(source) = source {
        raw.bind(&SocketAddr::new(source, 0).into())?;
    }
    raw.connect_timeout(&address.into(), timeout)
        .map_err(|error| match error.kind() {
            std::io::ErrorKind::TimedOut => ClientErrorKind::Timeout,
            _ => ClientErrorKind::Io(error),
        })?;
    // Without it, data on a connection that something in between has lost track of is sent again
    // for many minutes before the system gives up. It has no effect on a slow server, whose
    // system confirms what it receives.
    #[cfg(target_os = "linux")]
    raw.set_tcp_user_timeout(Some(UNCONFIRMED_TIME))?;
    let socket = Socket::new(Arc::new(raw.into()))?;
    let now = Instant::now();
    Ok(Conn {
        socket,
        peer: address,
        created: now,
        used: now,
        checked: None,
        state: State::Open,
        aborted: Arc::default(),
        out: Vec::new(),
        allows_unstated: false,
        permit: None,
    })
}
