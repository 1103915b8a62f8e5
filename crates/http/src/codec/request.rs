//! Heads of requests.

use std::mem::MaybeUninit;

use crate::{
    codec::{
        Framing,
        MAX_HEADERS,
        framing::{
            self,
            FramingError, //
        }, //
    },
    message::Headers, //
};

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: Box<str>,
    /// Path with the query.
    pub path: Box<str>,
    /// Header fields, with names in lower case.
    pub headers: Headers,
    /// How the end of the body is found. A request without a stated length has no body.
    pub framing: Framing,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// Whether the version is HTTP/1.0.
    pub http_10: bool,
    /// Whether the sender awaits `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// A request that is answered without reaching the handler; the connection is closed then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{status} {reason}")]
pub struct RequestError {
    /// Status of the response.
    pub status: u16,
    /// Why the request is refused.
    pub reason: &'static str,
}

impl RequestError {
    pub(crate) fn new(status: u16, reason: &'static str) -> Self {
        RequestError { status, reason }
    }
}

impl RequestHead {
    /// Parses the head at the start of `bytes`. Returns it with its length in bytes, or `None` if
    /// it is not complete.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if the head is malformed, ambiguous or not supported.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_http::codec::{Framing, RequestHead};
    ///
    /// let bytes = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok";
    /// let (head, length) = RequestHead::parse(bytes)?.unwrap();
    /// assert_eq!(&*head.path, "/a");
    /// assert_eq!(head.framing, Framing::Length(2));
    /// assert_eq!(&bytes[length..], b"ok");
    /// # Ok::<(), camphordale_http::codec::RequestError>(())
    /// ```
    pub fn parse(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, RequestError> {
        let mut headers = [MaybeUninit::uninit(); MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut []);
        let length = match parsed.parse_with_uninit_headers(bytes, &mut headers) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::Version) => {
                return Err(RequestError::new(505, "HTTP version is not supported"));
            }
            Err(httparse::Error::TooManyHeaders) => {
                return Err(RequestError::new(431, "request has too many header fields"));
            }
            Err(_) => return Err(RequestError::new(400, "request head is malformed")),
        };
        if !framing::has_strict_lines(&bytes[..length]) {
            return Err(RequestError::new(
                400,
                "request head has a line without CR LF",
            ));
        }
        let (Some(method), Some(target), Some(version)) =
            (parsed.method, parsed.path, parsed.version)
        else {
            return Err(RequestError::new(400, "request head is malformed"));
        };
        let http_10 = version == 0;
        let headers = framing::collect(parsed.headers)
            .ok_or(RequestError::new(400, "header field is not UTF-8"))?;
        if method == "CONNECT" {
            return Err(RequestError::new(501, "method is not supported"));
        }
        let hosts = headers.iter().filter(|(name, _)| &**name == "host").count();
        if hosts > 1 || (hosts == 0 && !http_10) {
            return Err(RequestError::new(400, "request must have one Host field"));
        }
        let framing = framing::framing(&headers, http_10).map_err(|error| match error {
            FramingError::Conflict => RequestError::new(400, "length of the body is ambiguous"),
            FramingError::Coding => RequestError::new(501, "transfer coding is not supported"),
        })?;
        let keep_alive = if http_10 {
            framing::lists(&headers, "connection", "keep-alive")
        } else {
            !framing::lists(&headers, "connection", "close")
        };
        let head = RequestHead {
            method: method.into(),
            path: origin(target)
                .ok_or(RequestError::new(400, "request target is malformed"))?
                .into(),
            framing,
            keep_alive,
            http_10,
            expects_continue: expectation(&headers)? && !http_10,
            headers,
        };
        Ok(Some((head, length)))
    }
}

/// Returns path and query of a request target.
fn origin(target: &str) -> Option<&str> {
    if target.starts_with('/') || target == "*" {
        return Some(target);
    }
    let rest = target
        .strip_prefix("http://")
        .or_else(|| target.strip_prefix("https://"))?;
    match rest.find(['/', '?', '#']) {
        Some(at) if rest[at..].starts_with('/') => Some(&rest[at..]),
        Some(_) => None,
        None => Some("/"),
    }
}

fn expectation(headers: &Headers) -> Result<bool, RequestError> {
    let mut expectations = headers.iter().filter(|(name, _)| &**name == "expect");
    match (expectations.next(), expectations.next()) {
        (None, _) => Ok(false),
        (Some((_, value)), None) if value.eq_ignore_ascii_case("100-continue") => Ok(true),
        _ => Err(RequestError::new(417, "expectation is not supported")),
    }
}
