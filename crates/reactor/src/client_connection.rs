//! Client side of an HTTP connection as a state machine without I/O: one exchange at a time.

use std::time::Duration;

use crate::head_end::HeadEnd;
use camphordale_http::{
    Response,
    codec::{
        ChunkedDecoder,
        Framing,
        ResponseHead, //
    },
};

/// Longest accepted head of a response.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Largest number of interim responses and responses of other requests before the response.
const MAX_SKIPPED: u32 = 8;
/// Longest accepted body of a response.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Describes the response that belongs to a request.
#[derive(Clone, Debug, Default)]
pub struct ExpectedResponse {
    /// Name, in lower case, and value of the header field that identifies the request. A response
    /// with another value belongs to an earlier request and is skipped. One without it, or with
    /// several, belongs to none.
    pub request_id: Option<(Box<str>, Box<str>)>,
    /// Name, in lower case, of the header field that every success of a target has. One without it
    /// comes from a process that is no target.
    pub success_header: Option<&'static str>,
    /// Whether the request was a `HEAD`.
    pub is_head: bool,
}

/// Progress in receiving a response.
#[derive(Debug, PartialEq, Eq)]
pub enum Progress {
    /// More bytes are needed.
    Incomplete,
    /// The response is complete.
    Complete {
        /// The response.
        response: Response,
        /// Whether the connection may carry another request.
        reusable: bool,
        /// How long the target keeps an idle connection open, if it stated a time.
        keep_alive: Option<Duration>,
    },
    /// The bytes are not a valid response to the request.
    Invalid(&'static str),
    /// The target closed the connection before the response was complete.
    Truncated(&'static str),
}

enum Phase {
    Head,
    Body {
        head: Box<ResponseHead>,
        chunked: Option<ChunkedDecoder>,
        body: Vec<u8>,
        /// Number of bytes of the body received.
        received: u64,
        /// Whether the response belongs to another request. Its body is not kept.
        foreign: bool,
    },
}

/// Protocol state of an exchange: receives the response to one request.
pub struct ClientConnection {
    expected: ExpectedResponse,
    phase: Phase,
    head_end: HeadEnd,
    /// Responses that were skipped: interim ones, and those of other requests.
    skipped: u32,
}

impl ClientConnection {
    /// Starts to receive the response that `expected` describes.
    ///
    /// ```
    /// use camphordale_reactor::{ClientConnection, ExpectedResponse, Progress};
    ///
    /// let mut connection = ClientConnection::new(ExpectedResponse::default());
    /// let mut input = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_vec();
    /// let progress = connection.advance(&mut input, false);
    /// assert!(matches!(progress, Progress::Complete { reusable: true, .. }));
    /// ```
    pub fn new(expected: ExpectedResponse) -> ClientConnection {
        ClientConnection {
            expected,
            phase: Phase::Head,
            head_end: HeadEnd::default(),
            skipped: 0,
        }
    }

    /// Number of bytes received of the body of an incomplete response.
    pub fn buffered_bytes(&self) -> usize {
        match &self.phase {
            Phase::Head => 0,
            Phase::Body { body, .. } => body.len(),
        }
    }

    /// Number of bytes that the response may hold before it is complete: its stated length, or the
    /// largest one without it. 0 while no body is being received.
    pub fn claimed_bytes(&self) -> usize {
        match &self.phase {
            Phase::Head | Phase::Body { foreign: true, .. } => 0,
            Phase::Body { head, .. } => match head.framing {
                Framing::Length(length) => length as usize,
                _ => MAX_BODY_BYTES,
            },
        }
    }

    /// Consumes bytes from `input`. `eof` tells that the target has closed its side in order.
    pub fn advance(&mut self, input: &mut Vec<u8>, eof: bool) -> Progress {
        loop {
            if let Phase::Head = self.phase {
                match self.parse_head(input) {
                    Ok(true) => {}
                    Ok(false) if eof => {
                        return Progress::Truncated(
                            "connection closed before the response head was complete",
                        );
                    }
                    Ok(false) => return Progress::Incomplete,
                    Err(reason) => return Progress::Invalid(reason),
                }
            }
            let Phase::Body {
                head,
                chunked,
                body,
                received,
                foreign,
            } = &mut self.phase
            else {
                // An interim response was skipped.
                continue;
            };
            let held = body.len();
            let is_complete = match (head.framing, chunked) {
                _ if self.expected.is_head || matches!(head.status, 204 | 304) => true,
                (_, Some(chunked)) => match chunked.decode(input, body) {
                    Ok(consumed) => {
                        input.drain(..consumed);
                        chunked.is_done()
                    }
                    Err(_) => return Progress::Invalid("response body has a malformed chunk"),
                },
                (Framing::Length(length), None) => {
                    let missing = length.saturating_sub(*received) as usize;
                    let consumed = missing.min(input.len());
                    body.extend(input.drain(..consumed));
                    consumed == missing
                }
                _ => {
                    body.append(input);
                    eof
                }
            };
            *received += (body.len() - held) as u64;
            if *foreign {
                body.clear();
            }
            if *received > MAX_BODY_BYTES as u64 {
                return Progress::Invalid("response body exceeds 64 MiB");
            }
            if !is_complete {
                return match eof {
                    true => Progress::Truncated(
                        "connection closed before the response body was complete",
                    ),
                    false => Progress::Incomplete,
                };
            }
            if let Some(progress) = self.finish(input) {
                return progress;
            }
        }
    }

    /// Parses the head of a final response, and skips interim responses before it.
    fn parse_head(&mut self, input: &mut Vec<u8>) -> Result<bool, &'static str> {
        let head = loop {
            let parsed = match self.head_end.is_complete(input) {
                true => ResponseHead::parse(input).map_err(|error| error.0)?,
                false => None,
            };
            let Some((head, length)) = parsed else {
                return match input.len() > MAX_HEAD_BYTES {
                    true => Err("response head exceeds 64 KiB"),
                    false => Ok(false),
                };
            };
            input.drain(..length);
            self.head_end = HeadEnd::default();
            match head.status {
                101 => return Err("unexpected status 101 (switching protocols)"),
                100..200 => self.skip()?,
                _ => break head,
            }
        };
        let foreign = self.is_foreign(&head)?;
        let chunked = match head.framing {
            Framing::Length(length) if length > MAX_BODY_BYTES as u64 => {
                return Err("response body exceeds 64 MiB");
            }
            Framing::Chunked => Some(ChunkedDecoder::new(MAX_BODY_BYTES)),
            _ => None,
        };
        self.phase = Phase::Body {
            head: Box::new(head),
            chunked,
            body: Vec::new(),
            received: 0,
            foreign,
        };
        Ok(true)
    }

    /// Whether the response that begins with `head` belongs to another request. It is an error if
    /// that cannot be told, if the end of such a response cannot be, or if the response to this
    /// request is a success of no target.
    fn is_foreign(&self, head: &ResponseHead) -> Result<bool, &'static str> {
        let fields = |name: &str| {
            let name: Box<str> = name.into();
            let headers = head.headers.iter();
            headers.filter(move |(known, _)| *known == name)
        };
        let is_success = (200..300).contains(&head.status);
        let success_header = self.expected.success_header.filter(|_| is_success);
        let lacks_proof = success_header.is_some_and(|name| fields(name).next().is_none());
        let unproved = "success without the field that targets add to it";
        let Some((name, value)) = &self.expected.request_id else {
            return match lacks_proof {
                true => Err(unproved),
                false => Ok(false),
            };
        };
        let mut found = fields(name);
        match (found.next(), found.next()) {
            (None, _) => Err("response carries no request id"),
            (_, Some(_)) => Err("response carries several request ids"),
            (Some((_, other)), None) if *other != *value => match is_delimited(head) {
                true => Ok(true),
                false => Err("response carries the id of another request and has no length"),
            },
            _ if lacks_proof => Err(unproved),
            _ => Ok(false),
        }
    }

    /// Counts a skipped response.
    fn skip(&mut self) -> Result<(), &'static str> {
        self.skipped += 1;
        match self.skipped > MAX_SKIPPED {
            true => Err("too many responses that do not belong to the request"),
            false => Ok(()),
        }
    }

    /// Returns a complete response, or `None` if it belongs to another request and is skipped.
    fn finish(&mut self, input: &[u8]) -> Option<Progress> {
        let Phase::Body {
            head,
            body,
            foreign,
            ..
        } = std::mem::replace(&mut self.phase, Phase::Head)
        else {
            return None;
        };
        if foreign {
            return self.skip().err().map(Progress::Invalid);
        }
        let keep_alive = keep_alive_timeout(&head);
        let reusable = head.keep_alive && is_delimited(&head) && input.is_empty();
        let response = Response {
            status: head.status,
            headers: head.headers,
            body,
        };
        Some(Progress::Complete {
            response,
            reusable,
            keep_alive,
        })
    }
}

/// Whether the end of a response can be told without the end of its connection.
fn is_delimited(head: &ResponseHead) -> bool {
    head.framing != Framing::Unspecified || matches!(head.status, 204 | 304)
}

/// The idle timeout in whole seconds that the `Keep-Alive` field of a response states.
fn keep_alive_timeout(head: &ResponseHead) -> Option<Duration> {
    let (_, value) = head
        .headers
        .iter()
        .find(|(name, _)| &**name == "keep-alive")?;
    let timeout = value.split(',').find_map(|part| {
        let (name, value) = part.split_once('=')?;
        name.trim().eq_ignore_ascii_case("timeout").then_some(value)
    })?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
