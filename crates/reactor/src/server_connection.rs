//! The server's side of an HTTP connection, without I/O: one request at a time.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use camphordale_fleet::Limits;
use camphordale_http::{
    Request, Response,
    codec::{
        ChunkError,
        Chunked,
        Framing,
        RequestHead,
        write_response, //
    },
};

/// What an interim response tells a caller that awaits it.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Why a connection is closed after an error response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// Status of the response.
    pub status: u16,
    /// What is wrong.
    pub reason: &'static str,
}

enum Phase {
    /// Between requests, or in a head.
    Head,
    /// In a body.
    Body {
        head: Box<RequestHead>,
        chunked: Option<Chunked>,
        body: Vec<u8>,
    },
    /// A request awaits its response.
    Busy,
}

/// One connection of a caller.
pub struct ServerConnection {
    phase: Phase,
    keep_alive: bool,
    is_head: bool,
    started: Option<Duration>,
}

impl Default for ServerConnection {
    fn default() -> Self {
        ServerConnection::new()
    }
}

impl ServerConnection {
    /// Starts between requests.
    ///
    /// ```
    /// assert!(!camphordale_reactor::ServerConnection::new().is_busy());
    /// ```
    pub fn new() -> ServerConnection {
        ServerConnection {
            phase: Phase::Head,
            keep_alive: true,
            is_head: false,
            started: None,
        }
    }

    /// Whether a request awaits its response.
    pub fn is_busy(&self) -> bool {
        matches!(self.phase, Phase::Busy)
    }

    /// Whether the head of a request is there, but not its body.
    pub fn is_in_body(&self) -> bool {
        matches!(self.phase, Phase::Body { .. })
    }

    /// When the first byte of the request that is being received came.
    pub fn started(&self) -> Option<Duration> {
        self.started
    }

    /// Takes bytes from `input`. Returns a request once it is complete; no further bytes are
    /// taken until it was answered. Bytes to send at once are added to `output`.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if the request is malformed or over a limit.
    pub fn advance(
        &mut self,
        input: &mut Vec<u8>,
        output: &mut Vec<u8>,
        limits: &Limits,
        peer: SocketAddr,
        now: Duration,
    ) -> Result<Option<Request>, RequestError> {
        if !input.is_empty() && self.started.is_none() && !self.is_busy() {
            self.started = Some(now);
        }
        if let Phase::Head = self.phase {
            self.take_head(input, output, limits)?;
        }
        let Phase::Body {
            head,
            chunked,
            body,
        } = &mut self.phase
        else {
            return Ok(None);
        };
        let done = match (head.framing, chunked) {
            (_, Some(chunked)) => {
                let taken = chunked.decode(input, body).map_err(|error| match error {
                    ChunkError::Malformed => refused(400, "chunked body is malformed"),
                    ChunkError::TooLarge => refused(413, "body is too long"),
                })?;
                input.drain(..taken);
                chunked.is_done()
            }
            (Framing::Length(length), None) => {
                let wanted = (length as usize).saturating_sub(body.len());
                let taken = wanted.min(input.len());
                body.extend(input.drain(..taken));
                body.len() as u64 == length
            }
            _ => true,
        };
        if !done {
            return Ok(None);
        }
        let Phase::Body { head, body, .. } = std::mem::replace(&mut self.phase, Phase::Busy) else {
            return Ok(None);
        };
        self.keep_alive = head.keep_alive;
        self.is_head = &*head.method == "HEAD";
        self.started = None;
        Ok(Some(Request {
            method: head.method,
            path: head.path,
            headers: head.headers,
            body,
            peer,
        }))
    }

    fn take_head(
        &mut self,
        input: &mut Vec<u8>,
        output: &mut Vec<u8>,
        limits: &Limits,
    ) -> Result<(), RequestError> {
        let parsed = RequestHead::parse(input).map_err(|e| refused(e.status, e.reason))?;
        let Some((head, length)) = parsed else {
            if input.len() > limits.head {
                return Err(refused(431, "head is too long"));
            }
            return Ok(());
        };
        if length > limits.head {
            return Err(refused(431, "head is too long"));
        }
        let chunked = match head.framing {
            Framing::Length(length) if length > limits.body as u64 => {
                return Err(refused(413, "body is too long"));
            }
            Framing::Chunked => Some(Chunked::new(limits.body)),
            _ => None,
        };
        input.drain(..length);
        if head.expects_continue && input.is_empty() {
            output.extend_from_slice(CONTINUE);
        }
        self.phase = Phase::Body {
            head: Box::new(head),
            chunked,
            body: Vec::new(),
        };
        Ok(())
    }

    /// Encodes the response to the request that awaits it. Returns whether the connection is
    /// closed after it.
    pub fn respond(&mut self, response: &Response, close: bool, output: &mut Vec<u8>) -> bool {
        let close = close || !self.keep_alive;
        self.phase = Phase::Head;
        if write_response(output, response, self.is_head, close) {
            return close;
        }
        let broken = Response::text(502, "the response cannot be passed on");
        write_response(output, &broken, self.is_head, true);
        true
    }
}

fn refused(status: u16, reason: &'static str) -> RequestError {
    RequestError { status, reason }
}
