//! Server side of an HTTP connection as a state machine without I/O: one request at a time.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use crate::head_end::HeadEnd;
use camphordale_fleet::Limits;
use camphordale_http::{
    Request, Response,
    codec::{
        ChunkError,
        ChunkedDecoder,
        Framing,
        RequestHead,
        write_response, //
    },
};

/// Interim response to a client that waits for it before it sends the body.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A rejected request: the connection is closed after an error response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// Status code of the error response.
    pub status: u16,
    /// Body of the error response: what is wrong.
    pub reason: &'static str,
}

enum Phase {
    /// Idle between requests, or receiving a head.
    Head,
    /// Receiving a body.
    Body {
        head: Box<RequestHead>,
        chunked: Option<ChunkedDecoder>,
        body: Vec<u8>,
        /// Largest number of bytes that the body may have.
        claimed: usize,
    },
    /// A complete request awaits its response.
    AwaitingResponse,
}

/// Protocol state of an accepted HTTP connection.
pub struct ServerConnection {
    phase: Phase,
    keep_alive: bool,
    is_head: bool,
    request_started: Option<Duration>,
    head_end: HeadEnd,
}

impl Default for ServerConnection {
    fn default() -> Self {
        ServerConnection::new()
    }
}

impl ServerConnection {
    /// Creates the state of a new connection, which is idle.
    ///
    /// ```
    /// assert!(!camphordale_reactor::ServerConnection::new().is_awaiting_response());
    /// ```
    pub fn new() -> ServerConnection {
        ServerConnection {
            phase: Phase::Head,
            keep_alive: true,
            is_head: false,
            request_started: None,
            head_end: HeadEnd::default(),
        }
    }

    /// Number of bytes received of the body of an incomplete request.
    pub fn buffered_bytes(&self) -> usize {
        match &self.phase {
            Phase::Body { body, .. } => body.len(),
            Phase::Head | Phase::AwaitingResponse => 0,
        }
    }

    /// Number of bytes for which memory is needed for the body that is being received: its stated
    /// length, or what has been received of one without it.
    pub fn needed_bytes(&self) -> usize {
        match &self.phase {
            Phase::Body {
                chunked: None,
                claimed,
                ..
            } => *claimed,
            Phase::Body { body, .. } => body.len(),
            Phase::Head | Phase::AwaitingResponse => 0,
        }
    }

    /// Number of bytes that the request may hold before it is complete: the stated length of its body,
    /// or the limit without it. 0 while no body is being received.
    pub fn claimed_bytes(&self) -> usize {
        match &self.phase {
            Phase::Body { claimed, .. } => *claimed,
            Phase::Head | Phase::AwaitingResponse => 0,
        }
    }

    /// Whether a request awaits its response.
    pub fn is_awaiting_response(&self) -> bool {
        matches!(self.phase, Phase::AwaitingResponse)
    }

    /// Whether the head of a request is complete, but not its body.
    pub fn is_reading_body(&self) -> bool {
        matches!(self.phase, Phase::Body { .. })
    }

    /// When the first byte of the request that is being received arrived.
    pub fn request_started(&self) -> Option<Duration> {
        self.request_started
    }

    /// Consumes bytes from `input` and returns a request once it is complete. No further bytes are
    /// consumed until [`ServerConnection::respond`] is called. An interim response is appended to
    /// `output`.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if the request is malformed or exceeds a limit.
    pub fn advance(
        &mut self,
        input: &mut Vec<u8>,
        output: &mut Vec<u8>,
        limits: &Limits,
        peer: SocketAddr,
        now: Duration,
    ) -> Result<Option<Request>, RequestError> {
        if !input.is_empty() && self.request_started.is_none() && !self.is_awaiting_response() {
            self.request_started = Some(now);
        }
        if let Phase::Head = self.phase {
            self.parse_head(input, output, limits)?;
        }
        let Phase::Body {
            head,
            chunked,
            body,
            ..
        } = &mut self.phase
        else {
            return Ok(None);
        };
        let done = match (head.framing, chunked) {
            (_, Some(chunked)) => {
                let consumed = chunked.decode(input, body).map_err(|error| match error {
                    ChunkError::Malformed => request_error(400, "chunked body is malformed"),
                    ChunkError::TooLarge => request_error(413, "body is too long"),
                })?;
                input.drain(..consumed);
                chunked.is_done()
            }
            (Framing::Length(length), None) => {
                let missing = (length as usize).saturating_sub(body.len());
                let consumed = missing.min(input.len());
                body.extend(input.drain(..consumed));
                body.len() as u64 == length
            }
            _ => true,
        };
        if !done {
            return Ok(None);
        }
        let Phase::Body { head, body, .. } =
            std::mem::replace(&mut self.phase, Phase::AwaitingResponse)
        else {
            return Ok(None);
        };
        self.keep_alive = head.keep_alive;
        self.is_head = &*head.method == "HEAD";
        self.request_started = None;
        Ok(Some(Request {
            method: head.method,
            path: head.path,
            headers: head.headers,
            body,
            peer,
        }))
    }

    fn parse_head(
        &mut self,
        input: &mut Vec<u8>,
        output: &mut Vec<u8>,
        limits: &Limits,
    ) -> Result<(), RequestError> {
        let parsed = match self.head_end.is_complete(input) {
            true => RequestHead::parse(input).map_err(|e| request_error(e.status, e.reason))?,
            false => None,
        };
        let Some((head, length)) = parsed else {
            if input.len() > limits.max_head {
                return Err(request_error(431, "head is too long"));
            }
            return Ok(());
        };
        if length > limits.max_head {
            return Err(request_error(431, "head is too long"));
        }
        let chunked = match head.framing {
            Framing::Length(length) if length > limits.max_body as u64 => {
                return Err(request_error(413, "body is too long"));
            }
            Framing::Chunked => Some(ChunkedDecoder::new(limits.max_body)),
            _ => None,
        };
        let claimed = match head.framing {
            Framing::Length(length) => length as usize,
            Framing::Chunked => limits.max_body,
            Framing::Unspecified => 0,
        };
        input.drain(..length);
        self.head_end = HeadEnd::default();
        if head.expects_continue && input.is_empty() {
            output.extend_from_slice(CONTINUE_RESPONSE);
        }
        self.phase = Phase::Body {
            head: Box::new(head),
            chunked,
            body: Vec::new(),
            claimed,
        };
        Ok(())
    }

    /// Encodes the response to the pending request. Returns whether the connection must be closed
    /// after it.
    pub fn respond(&mut self, response: &Response, close: bool, output: &mut Vec<u8>) -> bool {
        let close = close || !self.keep_alive;
        self.phase = Phase::Head;
        if write_response(output, response, self.is_head, close) {
            return close;
        }
        let fallback = Response::text(502, "the response cannot be passed on");
        write_response(output, &fallback, self.is_head, true);
        true
    }
}

fn request_error(status: u16, reason: &'static str) -> RequestError {
    RequestError { status, reason }
}
