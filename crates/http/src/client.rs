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
        Operation, //
    },
    message::{
        OutgoingRequest,
        Response, //
    },
    socket::{
        Peek,
        Socket,
        SocketError, //
    }, //
};

/// Longest accepted head of a response.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Maximum number of interim responses (1xx) that are accepted before the final response.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Capacity of the write buffer, in bytes, that is kept between requests.
const MAX_RETAINED_BUFFER: usize = 64 * 1024;

/// Time for which sent data may stay unacknowledged before the kernel closes the connection.
#[cfg(target_os = "linux")]
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which the result of a connection check stays valid.
const CHECK_VALIDITY: Duration = Duration::from_millis(1);

/// A connection to a server that carries one request at a time.
///
/// After any error the connection cannot be used again, as a late response could be taken for the
/// response to the next request.
pub struct Conn {
    socket: Socket,
    peer: SocketAddr,
    pub(crate) created_at: Instant,
    pub(crate) used_at: Instant,
    /// When the last check found the connection usable; cleared by the next request.
    checked_at: Option<Instant>,
    state: State,
    aborted: Arc<AtomicBool>,
    write_buffer: Vec<u8>,
    close_delimited: bool,
    /// Counts the connection in its pool, if it belongs to one.
    pub(crate) permit: Option<Permit>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    /// Can carry another request.
    Open,
    /// Had an error, or the server closes it: must not carry another request.
    Unusable,
}

/// Aborts a blocking exchange from another thread.
#[derive(Clone)]
pub struct AbortHandle {
    stream: Arc<TcpStream>,
    aborted: Arc<AtomicBool>,
}

impl AbortHandle {
    /// Closes the connection. A running exchange fails with [`ClientErrorKind::Aborted`].
    pub fn abort(&self) {
        self.aborted.store(true, Ordering::SeqCst);
        // Fails only if the connection is closed already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

impl Conn {
    /// Connects within `timeout`, from the local address `source` if it is given.
    ///
    /// # Errors
    ///
    /// [`ClientError`] with [`Operation::Connect`].
    pub fn connect(
        address: SocketAddr,
        source: Option<IpAddr>,
        timeout: Duration,
    ) -> Result<Conn, ClientError> {
        connect(address, source, timeout).map_err(|kind| ClientError {
            operation: Operation::Connect,
            peer: address,
            maybe_written: false,
            kind,
        })
    }

    /// Sets whether close-delimited responses are accepted: responses without a length but with
    /// `Connection: close`. Truncation of such a response cannot be detected.
    pub fn allow_close_delimited(&mut self, allow: bool) {
        self.close_delimited = allow;
    }

    /// Returns the address of the server.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the time since the connection was opened.
    pub fn age(&self) -> Duration {
        self.created_at.elapsed()
    }

    /// As [`Conn::is_usable`], but without a check of the socket.
    pub(crate) fn is_alive(&self) -> bool {
        self.state != State::Unusable && !self.aborted.load(Ordering::SeqCst)
    }

    /// Returns a handle that can abort an exchange from another thread.
    pub fn abort_handle(&self) -> AbortHandle {
        AbortHandle {
            stream: self.socket.stream().clone(),
            aborted: self.aborted.clone(),
        }
    }

    /// Reports whether the connection can carry a request: it had no error, the server has not
    /// closed it, and no unexpected byte has arrived.
    pub fn is_usable(&mut self) -> bool {
        self.check().is_ok()
    }

    fn check(&mut self) -> Result<(), ClientErrorKind> {
        if self.aborted.load(Ordering::SeqCst) {
            self.state = State::Unusable;
            return Err(ClientErrorKind::Aborted);
        }
        if self.state == State::Unusable {
            return Err(ClientErrorKind::Unusable);
        }
        let failure = match self.socket.peek() {
            Peek::NoData => {
                self.checked_at = Some(Instant::now());
                return Ok(());
            }
            Peek::Data => ClientErrorKind::UnexpectedData,
            Peek::Closed => ClientErrorKind::Closed,
        };
        self.state = State::Unusable;
        Err(failure)
    }

    /// Sends a request and waits for the complete response, with a body of at most `max_body`
    /// bytes. The request is written once and never retried.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if there is no complete response by the deadline. It reports whether any
    /// byte of the request may have been written. The connection cannot be used again.
    pub fn exchange(
        &mut self,
        request: &OutgoingRequest<'_>,
        deadline: Instant,
        max_body: usize,
    ) -> Result<Response, ClientError> {
        let mut maybe_written = false;
        let result = self.try_exchange(request, deadline, max_body, &mut maybe_written);
        self.used_at = Instant::now();
        result.map_err(|(operation, kind)| {
            self.state = State::Unusable;
            let aborted = self.aborted.load(Ordering::SeqCst);
            ClientError {
                operation,
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

    fn try_exchange(
        &mut self,
        request: &OutgoingRequest<'_>,
        deadline: Instant,
        max_body: usize,
        maybe_written: &mut bool,
    ) -> Result<Response, (Operation, ClientErrorKind)> {
        let checked_at = self.checked_at.take();
        if self.state == State::Unusable
            || checked_at.is_none_or(|at| at.elapsed() > CHECK_VALIDITY)
        {
            // Bytes that arrive before the request is written cannot be its response.
            self.check()
                .map_err(|kind| (Operation::CheckConnection, kind))?;
            self.checked_at = None;
        }
        self.write_buffer.clear();
        let body = encode::request(&mut self.write_buffer, request, self.peer).map_err(|part| {
            (
                Operation::CheckConnection,
                ClientErrorKind::InvalidRequest(part),
            )
        })?;
        let written = self.socket.write(&self.write_buffer, body, deadline);
        self.write_buffer.shrink_to(MAX_RETAINED_BUFFER);
        written.map_err(|error| {
            *maybe_written = error.any_written;
            (Operation::WriteRequest, error.kind.into())
        })?;
        *maybe_written = true;

        let head = self
            .read_head(deadline)
            .map_err(|kind| (Operation::ReadHead, kind))?;
        let body = self
            .read_body(request.method, &head, deadline, max_body)
            .map_err(|kind| (Operation::ReadBody, kind))?;
        if !self.socket.data().is_empty() {
            return Err((Operation::ReadBody, ClientErrorKind::UnexpectedData));
        }
        self.state = match head.keep_alive {
            true => State::Open,
            false => State::Unusable,
        };
        Ok(Response {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    fn read_head(&mut self, deadline: Instant) -> Result<ResponseHead, ClientErrorKind> {
        let mut interim_count = 0;
        let mut scanned = 0;
        loop {
            let data = self.socket.data();
            // Without a new line end, the head is neither complete nor newly malformed.
            if data[scanned..].contains(&b'\n') {
                let parsed = ResponseHead::parse(&data[..data.len().min(MAX_HEAD_BYTES)])
                    .map_err(|error| ClientErrorKind::Malformed(error.0))?;
                if let Some((head, length)) = parsed {
                    self.socket.consume(length);
                    match head.status {
                        101 => {
                            return Err(ClientErrorKind::Malformed(
                                "unexpected 101 Switching Protocols",
                            ));
                        }
                        100..200 if interim_count == MAX_INTERIM_RESPONSES => {
                            return Err(ClientErrorKind::Malformed("too many interim responses"));
                        }
                        100..200 => {
                            interim_count += 1;
                            scanned = 0;
                            continue;
                        }
                        _ => return Ok(head),
                    }
                }
            }
            if data.len() >= MAX_HEAD_BYTES {
                return Err(ClientErrorKind::Malformed("head is too long"));
            }
            scanned = data.len();
            self.socket.fill(deadline)?;
        }
    }

    fn read_body(
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
                let mut decoder = ChunkedDecoder::new(max_body);
                loop {
                    let consumed = decoder.decode(self.socket.data(), &mut body).map_err(
                        |error| match error {
                            ChunkError::Malformed => ClientErrorKind::Malformed("chunk"),
                            ChunkError::TooLarge => ClientErrorKind::TooLarge,
                        },
                    )?;
                    self.socket.consume(consumed);
                    if decoder.is_done() {
                        break;
                    }
                    self.socket.fill(deadline)?;
                }
            }
            Framing::Unspecified if head.connection_close && self.close_delimited => loop {
                let count = self.socket.data().len();
                if count > max_body - body.len() {
                    return Err(ClientErrorKind::TooLarge);
                }
                body.extend_from_slice(self.socket.data());
                self.socket.consume(count);
                match self.socket.fill(deadline) {
                    Ok(_) => {}
                    Err(SocketError::Closed) => break,
                    Err(error) => return Err(error.into()),
                }
            },
            Framing::Unspecified => return Err(ClientErrorKind::MissingLength),
        }
        Ok(body)
    }
}

impl From<SocketError> for ClientErrorKind {
    fn from(error: SocketError) -> Self {
        match error {
            SocketError::Io(error) => ClientErrorKind::Io(error),
            SocketError::Timeout => ClientErrorKind::Timeout,
            SocketError::Closed => ClientErrorKind::Closed,
        }
    }
}

fn connect(
    address: SocketAddr,
    source: Option<IpAddr>,
    timeout: Duration,
) -> Result<Conn, ClientErrorKind> {
    if timeout.is_zero() {
        return Err(ClientErrorKind::Timeout);
    }
    let raw_socket = RawSocket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    if let Some(source) = source {
        raw_socket.bind(&SocketAddr::new(source, 0).into())?;
    }
    raw_socket
        .connect_timeout(&address.into(), timeout)
        .map_err(|error| match error.kind() {
            std::io::ErrorKind::TimedOut => ClientErrorKind::Timeout,
            _ => ClientErrorKind::Io(error),
        })?;
    // Without this, if a middlebox has dropped the connection's state, the kernel retransmits for
    // many minutes before it gives up. A slow server is not affected, as its kernel still
    // acknowledges the data.
    #[cfg(target_os = "linux")]
    raw_socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let socket = Socket::new(Arc::new(raw_socket.into()))?;
    let now = Instant::now();
    Ok(Conn {
        socket,
        peer: address,
        created_at: now,
        used_at: now,
        checked_at: None,
        state: State::Open,
        aborted: Arc::default(),
        write_buffer: Vec::new(),
        close_delimited: false,
        permit: None,
    })
}
