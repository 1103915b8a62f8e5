//! One connection of a server.

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
        After, //
    },
    linger,
    message::{
        Handler,
        Request,
        Response, //
    },
    server::{
        Counts,
        Limits, //
    },
    slots::Place,
    socket::{
        Failure,
        Socket, //
    }, //
};

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// How long a connection is read during a drain for a request that its caller has sent already.
const DRAIN_WAIT: Duration = Duration::from_millis(50);

/// Responses that grew the buffer beyond this give it back.
const KEEP_OUT: usize = 64 * 1024;

/// What a connection needs of its server.
pub(crate) struct Context {
    pub(crate) limits: Limits,
    pub(crate) handler: Arc<dyn Handler>,
    pub(crate) counts: Counts,
}

/// Why a connection ends.
enum End {
    /// The caller has closed it, or it was idle.
    Quiet,
    /// A request is refused.
    Refused(RequestError),
    /// The last response was written.
    Answered,
}

impl From<RequestError> for End {
    fn from(refusal: RequestError) -> Self {
        End::Refused(refusal)
    }
}

/// Serves a connection to its end.
pub(crate) fn serve(context: &Context, stream: Arc<TcpStream>, peer: SocketAddr, place: &Place) {
    let Ok(socket) = Socket::new(stream) else {
        return;
    };
    let mut connection = Connection {
        context,
        place,
        socket,
        peer,
        out: Vec::new(),
    };
    let mut header_deadline = Instant::now() + context.limits.header_timeout;
    let mut is_first = true;
    let end = loop {
        if let Err(end) = connection.exchange(is_first, header_deadline) {
            break end;
        }
        is_first = false;
        header_deadline = Instant::now() + context.limits.header_timeout;
    };
    match end {
        End::Quiet => return,
        End::Refused(refusal) => {
            context.counts.refused(refusal.reason);
            let response = Response::text(refusal.status, refusal.reason);
            // The connection ends either way.
            let _ = connection.write(&response, false, After::Close);
        }
        End::Answered => {}
    }
    linger::close(connection.socket.stream());
}

struct Connection<'a> {
    context: &'a Context,
    place: &'a Place,
    socket: Socket,
    peer: SocketAddr,
    out: Vec<u8>,
}

impl Connection<'_> {
    /// Serves one request.
    fn exchange(&mut self, is_first: bool, header_deadline: Instant) -> Result<(), End> {
        let limits = &self.context.limits;
        let mut deadline = header_deadline;
        if self.socket.data().is_empty() {
            let now = Instant::now();
            // The caller could not know of a drain that began meanwhile: a request that it has
            // sent is served.
            let open = self.place.rest();
            let wait = match (open, is_first) {
                (false, _) => now + DRAIN_WAIT,
                (true, true) => deadline,
                (true, false) => now + limits.idle_timeout,
            };
            let filled = self.socket.fill(wait);
            self.place.work();
            if filled.is_err() {
                return Err(if open { End::Quiet } else { End::Answered });
            }
            if !is_first {
                deadline = Instant::now() + limits.header_timeout;
            }
        }
        let head = self.head(deadline)?;
        let body = self.body(&head)?;
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
        self.context.counts.request();
        let handle = || self.context.handler.handle(request);
        let handled = catch_unwind(AssertUnwindSafe(handle));
        let panicked = handled.is_err();
        let response = handled.unwrap_or_else(|_| {
            self.context.counts.panic();
            Response::text(500, "request handler failed")
        });
        let after = match (keep_alive, http_10) {
            (true, _) if panicked || self.place.is_draining() => After::Close,
            (true, false) => After::Open,
            (true, true) => After::OpenSaid,
            (false, _) => After::Close,
        };
        self.write(&response, is_head, after)
            .map_err(|_| End::Quiet)?;
        if after == After::Close {
            return Err(End::Answered);
        }
        Ok(())
    }

    fn head(&mut self, deadline: Instant) -> Result<RequestHead, End> {
        let limit = self.context.limits.max_head;
        let mut searched = 0;
        loop {
            let data = self.socket.data();
            // The head cannot have become complete, nor wrong in a new way, without a line end.
            if data[searched..].contains(&b'\n') {
                let window = &data[..data.len().min(limit)];
                if let Some((head, length)) = RequestHead::parse(window)? {
                    self.socket.consume(length);
                    return Ok(head);
                }
            }
            if data.len() >= limit {
                return Err(RequestError::new(431, "request head is too long").into());
            }
            searched = data.len();
            match self.socket.fill(deadline) {
                Ok(_) => {}
                Err(Failure::Timeout) => {
                    return Err(RequestError::new(408, "request head took too long").into());
                }
                Err(_) => return Err(self.cut()),
            }
        }
    }

    /// Returns how a connection ends whose request stopped half way. During a drain the request
    /// may have been cut by this side, and the caller is told that it was not run.
    fn cut(&self) -> End {
        if self.place.is_draining() {
            return RequestError::new(503, "server is shutting down").into();
        }
        End::Quiet
    }

    fn body(&mut self, head: &RequestHead) -> Result<Vec<u8>, End> {
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
                .map_err(|_| End::Quiet)?;
        }
        let mut body = Vec::new();
        let result = match length {
            Some(length) => self.socket.read_body(&mut body, length, deadline),
            None => {
                let mut chunked = ChunkedDecoder::new(limits.max_body);
                loop {
                    let used = chunked
                        .decode(self.socket.data(), &mut body)
                        .map_err(|error| match error {
                            ChunkError::TooLarge => too_large,
                            ChunkError::Malformed => RequestError::new(400, "chunk is malformed"),
                        })?;
                    self.socket.consume(used);
                    if chunked.is_done() {
                        break Ok(());
                    }
                    if let Err(failure) = self.socket.fill(deadline) {
                        break Err(failure);
                    }
                }
            }
        };
        match result {
            Ok(()) => Ok(body),
            Err(Failure::Timeout) => {
                Err(RequestError::new(408, "request body took too long").into())
            }
            Err(_) => Err(self.cut()),
        }
    }

    fn write(&mut self, response: &Response, is_head: bool, after: After) -> Result<(), ()> {
        self.out.clear();
        let invalid;
        let body = match encode::response(&mut self.out, response, is_head, after) {
            Some(body) => body,
            None => {
                self.context.counts.refused("response");
                self.out.clear();
                invalid = Response::text(500, "response of the handler is invalid");
                encode::response(&mut self.out, &invalid, is_head, after).unwrap_or_default()
            }
        };
        let deadline = Instant::now() + self.context.limits.write_timeout;
        let result = self.socket.write(&self.out, body, deadline);
        self.out.shrink_to(KEEP_OUT);
        result.map_err(|_| self.context.counts.refused("write"))
    }
}
