//! Parser of request heads.

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
    /// How the end of the body is determined. A request with [`Framing::Unspecified`] has no body.
    pub framing: Framing,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// Whether the version is HTTP/1.0.
    pub http_10: bool,
    /// Whether the sender waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// A rejected request. The handler is not called, and the connection is closed after an error
/// response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{status} {reason}")]
pub struct RequestError {
    /// Status code of the error response.
    pub status: u16,
    /// Body of the error response: what is wrong.
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
        if !framing::has_crlf_lines(&bytes[..length]) {
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
        let headers = framing::to_headers(parsed.headers)
            .ok_or(RequestError::new(400, "header field is not UTF-8"))?;
        if method == "CONNECT" {
            return Err(RequestError::new(501, "method is not supported"));
        }
        let host_count = headers.iter().filter(|(name, _)| &**name == "host").count();
        if host_count > 1 || (host_count == 0 && !http_10) {
            return Err(RequestError::new(400, "request must have one Host field"));
        }
        let framing = framing::body_framing(&headers, http_10).map_err(|error| match error {
            FramingError::Ambiguous => RequestError::new(400, "length of the body is ambiguous"),
            FramingError::UnsupportedCoding => {
                RequestError::new(501, "transfer coding is not supported")
            }
        })?;
        let keep_alive = if http_10 {
            framing::list_contains(&headers, "connection", "keep-alive")
        } else {
            !framing::list_contains(&headers, "connection", "close")
        };
        let head = RequestHead {
            method: method.into(),
            path: origin_form(target)
                .ok_or(RequestError::new(400, "request target is malformed"))?
                .into(),
            framing,
            keep_alive,
            http_10,
            expects_continue: expects_continue(&headers)? && !http_10,
            headers,
        };
        Ok(Some((head, length)))
    }
}

/// Returns path and query of a request target in origin-form or absolute-form, or `*`.
fn origin_form(target: &str) -> Option<&str> {
    if target.starts_with('/') || target == "*" {
        return Some(target);
    }
    let without_scheme = target
        .strip_prefix("http://")
        .or_else(|| target.strip_prefix("https://"))?;
    match without_scheme.find(['/', '?', '#']) {
        Some(at) if without_scheme[at..].starts_with('/') => Some(&without_scheme[at..]),
        Some(_) => None,
        None => Some("/"),
    }
}

fn expects_continue(headers: &Headers) -> Result<bool, RequestError> {
    let mut expectations = headers.iter().filter(|(name, _)| &**name == "expect");
    match (expectations.next(), expectations.next()) {
        (None, _) => Ok(false),
        (Some((_, value)), None) if value.eq_ignore_ascii_case("100-continue") => Ok(true),
        _ => Err(RequestError::new(417, "expectation is not supported")),
    }
}
