//! Serves the requests of one connection of a server.

use std::{
    net::{
        SocketAddr,
        TcpStream, //
    },
    panic::{
        AssertUnwindSafe,
        catch_unwind, //
    },
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use crate::{
    codec::{
        ChunkError,
        ChunkedDecoder,
        Framing,
        RequestError,
        RequestHead, //
    },
    encode::{
        self,
        Persistence, //
    },
    linger,
    message::{
        Handler,
        Request,
        Response, //
    },
    server::{
        Counters,
        Limits, //
    },
    slots::ConnectionSlot,
    socket::{
        Socket,
        SocketError, //
    }, //
};

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Time for which an idle connection is still read during a drain, as its caller may have sent a
/// request already.
const DRAIN_READ_TIMEOUT: Duration = Duration::from_millis(50);

/// Capacity of the write buffer, in bytes, that is kept between responses.
const MAX_RETAINED_BUFFER: usize = 64 * 1024;

/// State of a server that its connections share.
pub(crate) struct ServerContext {
    pub(crate) limits: Limits,
    pub(crate) handler: Arc<dyn Handler>,
    pub(crate) counters: Counters,
}

/// Why a connection is closed.
enum CloseReason {
    /// The caller closed it, it was idle for too long, or a write failed: nothing is sent.
    Disconnected,
    /// A request is rejected: an error response is sent.
    Rejected(RequestError),
    /// The last response has been written.
    Responded,
}

impl From<RequestError> for CloseReason {
    fn from(error: RequestError) -> Self {
        CloseReason::Rejected(error)
    }
}

/// Serves a connection until it is closed.
pub(crate) fn serve(
    context: &ServerContext,
    stream: Arc<TcpStream>,
    peer: SocketAddr,
    slot: &ConnectionSlot,
) {
    let Ok(socket) = Socket::new(stream) else {
        return;
    };
    let mut connection = Connection {
        context,
        slot,
        socket,
        peer,
        write_buffer: Vec::new(),
    };
    let mut header_deadline = Instant::now() + context.limits.header_timeout;
    let mut is_first = true;
    let reason = loop {
        if let Err(reason) = connection.serve_request(is_first, header_deadline) {
            break reason;
        }
        is_first = false;
        header_deadline = Instant::now() + context.limits.header_timeout;
    };
    match reason {
        CloseReason::Disconnected => return,
        CloseReason::Rejected(error) => {
            context.counters.record_refusal(error.reason);
            let response = Response::text(error.status, error.reason);
            // The connection is closed even if the write fails.
            let _ = connection.write_response(&response, false, Persistence::Close);
        }
        CloseReason::Responded => {}
    }
    linger::close(connection.socket.stream());
}

struct Connection<'a> {
    context: &'a ServerContext,
    slot: &'a ConnectionSlot,
    socket: Socket,
    peer: SocketAddr,
    write_buffer: Vec<u8>,
}

impl Connection<'_> {
    /// Serves one request.
    fn serve_request(
        &mut self,
        is_first: bool,
        header_deadline: Instant,
    ) -> Result<(), CloseReason> {
        let limits = &self.context.limits;
        let mut deadline = header_deadline;
        if self.socket.data().is_empty() {
            let now = Instant::now();
            // The caller does not know yet of a drain that began meanwhile, so a request that it
            // has already sent is served.
            let may_wait = self.slot.mark_idle();
            let read_deadline = match (may_wait, is_first) {
                (false, _) => now + DRAIN_READ_TIMEOUT,
                (true, true) => deadline,
                (true, false) => now + limits.idle_timeout,
            };
            let filled = self.socket.fill(read_deadline);
            self.slot.mark_busy();
            if filled.is_err() {
                return Err(if may_wait {
                    CloseReason::Disconnected
                } else {
                    CloseReason::Responded
                });
            }
            if !is_first {
                deadline = Instant::now() + limits.header_timeout;
            }
        }
        let head = self.read_head(deadline)?;
        let body = self.read_body(&head)?;
        let RequestHead {
            method,
            path,
            headers,
            keep_alive,
            http_10,
            ..
        } = head;
        let is_head = &*method == "HEAD";
        let request = Request {
            method,
            path,
            headers,
            body,
            peer: self.peer,
        };
        self.context.counters.record_request();
        let handle = || self.context.handler.handle(request);
        let handled = catch_unwind(AssertUnwindSafe(handle));
        let panicked = handled.is_err();
        let response = handled.unwrap_or_else(|_| {
            self.context.counters.record_panic();
            Response::text(500, "request handler failed")
        });
        let persistence = match (keep_alive, http_10) {
            (true, _) if panicked || self.slot.is_draining() => Persistence::Close,
            (true, false) => Persistence::KeepAlive,
            (true, true) => Persistence::KeepAliveHeader,
            (false, _) => Persistence::Close,
        };
        self.write_response(&response, is_head, persistence)
            .map_err(|_| CloseReason::Disconnected)?;
        if persistence == Persistence::Close {
            return Err(CloseReason::Responded);
        }
        Ok(())
    }

    fn read_head(&mut self, deadline: Instant) -> Result<RequestHead, CloseReason> {
        let limit = self.context.limits.max_head;
        let mut scanned = 0;
        loop {
            let data = self.socket.data();
            // Without a new line end, the head is neither complete nor newly malformed.
            if data[scanned..].contains(&b'\n') {
                let window = &data[..data.len().min(limit)];
                if let Some((head, length)) = RequestHead::parse(window)? {
                    self.socket.consume(length);
                    return Ok(head);
                }
            }
            if data.len() >= limit {
                return Err(RequestError::new(431, "request head is too long").into());
            }
            scanned = data.len();
            match self.socket.fill(deadline) {
                Ok(_) => {}
                Err(SocketError::Timeout) => {
                    return Err(RequestError::new(408, "request head took too long").into());
                }
                Err(_) => return Err(self.incomplete_request()),
            }
        }
    }

    /// Returns the close reason for a request that was not received completely. During a drain
    /// this side may have interrupted it, so the caller gets a 503: the request was not run.
    fn incomplete_request(&self) -> CloseReason {
        if self.slot.is_draining() {
            return RequestError::new(503, "server is shutting down").into();
        }
        CloseReason::Disconnected
    }

    fn read_body(&mut self, head: &RequestHead) -> Result<Vec<u8>, CloseReason> {
        let limits = &self.context.limits;
        let too_large = RequestError::new(413, "request body is too long");
        let length = match head.framing {
            Framing::Unspecified | Framing::Length(0) => return Ok(Vec::new()),
            Framing::Length(length) => match usize::try_from(length) {
                Ok(length) if length <= limits.max_body => Some(length),
                _ => return Err(too_large.into()),
            },
            Framing::Chunked => None,
        };
        let deadline = Instant::now() + limits.body_timeout;
        if head.expects_continue && self.socket.data().is_empty() {
            self.socket
                .write(CONTINUE, b"", deadline)
                .map_err(|_| CloseReason::Disconnected)?;
        }
        let mut body = Vec::new();
        let result = match length {
            Some(length) => self.socket.read_body(&mut body, length, deadline),
            None => {
                let mut decoder = ChunkedDecoder::new(limits.max_body);
                loop {
                    let consumed = decoder.decode(self.socket.data(), &mut body).map_err(
                        |error| match error {
                            ChunkError::TooLarge => too_large,
                            ChunkError::Malformed => RequestError::new(400, "chunk is malformed"),
                        },
                    )?;
                    self.socket.consume(consumed);
                    if decoder.is_done() {
                        break Ok(());
                    }
                    if let Err(error) = self.socket.fill(deadline) {
                        break Err(error);
                    }
                }
            }
        };
        match result {
            Ok(()) => Ok(body),
            Err(SocketError::Timeout) => {
                Err(RequestError::new(408, "request body took too long").into())
            }
            Err(_) => Err(self.incomplete_request()),
        }
    }

    fn write_response(
        &mut self,
        response: &Response,
        is_head: bool,
        persistence: Persistence,
    ) -> Result<(), ()> {
        self.write_buffer.clear();
        let invalid;
        let body = match encode::response(&mut self.write_buffer, response, is_head, persistence) {
            Some(body) => body,
            None => {
                self.context.counters.record_refusal("response");
                self.write_buffer.clear();
                invalid = Response::text(500, "response of the handler is invalid");
                encode::response(&mut self.write_buffer, &invalid, is_head, persistence)
                    .unwrap_or_default()
            }
        };
        let deadline = Instant::now() + self.context.limits.write_timeout;
        let result = self.socket.write(&self.write_buffer, body, deadline);
        self.write_buffer.shrink_to(MAX_RETAINED_BUFFER);
        result.map_err(|_| self.context.counters.record_refusal("write"))
    }
}
