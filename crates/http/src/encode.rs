//! Encoders of requests and responses.
//!
//! Blocking connections use [`request`] and [`response`], which leave long bodies out of the
//! buffer. Event loops use [`write_request`], [`begin_request`] and
//! [`write_response`].

use std::{
    io::Write,
    net::SocketAddr, //
};

use crate::message::{
    OutgoingRequest,
    Response, //
};

/// Longest body in bytes that is copied behind the head, which is cheaper than a second buffer in
/// the write call.
const MAX_INLINE_BODY: usize = 8 * 1024;

/// Reports whether a header field concerns one connection only or frames the body. The encoder
/// sets such fields itself.
fn is_connection_specific(name: &str) -> bool {
    const NAMES: [&str; 8] = [
        "connection",
        "content-length",
        "transfer-encoding",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "upgrade",
    ];
    NAMES.iter().any(|known| name.eq_ignore_ascii_case(known))
}

fn is_token(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte))
}

fn is_field_value(text: &str) -> bool {
    text.bytes()
        .all(|byte| byte == b'\t' || (byte >= b' ' && byte != 0x7f))
}

fn write_field(out: &mut Vec<u8>, name: &str, value: &str) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value.as_bytes());
    out.extend_from_slice(b"\r\n");
}

fn write_content_length(out: &mut Vec<u8>, length: usize) {
    // Writing to a vector does not fail.
    let _ = write!(out, "Content-Length: {length}\r\n");
}

/// Ends a head and appends a short body. Returns the part of the body that was not appended.
fn end_head<'a>(out: &mut Vec<u8>, body: &'a [u8]) -> &'a [u8] {
    out.extend_from_slice(b"\r\n");
    if body.len() > MAX_INLINE_BODY {
        return body;
    }
    out.extend_from_slice(body);
    &[]
}

/// Encodes a request. Returns the part of the body that was not appended to `out`, or the name of
/// the part of the request that is invalid.
pub(crate) fn request<'a>(
    out: &mut Vec<u8>,
    request: &OutgoingRequest<'a>,
    peer: SocketAddr,
) -> Result<&'a [u8], &'static str> {
    let OutgoingRequest {
        method,
        path,
        headers,
        body,
    } = *request;
    if !is_token(method) || method == "CONNECT" {
        return Err("method");
    }
    if path.is_empty() || !path.bytes().all(|byte| byte > b' ' && byte != 0x7f) {
        return Err("path");
    }
    out.extend_from_slice(method.as_bytes());
    out.push(b' ');
    out.extend_from_slice(path.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    let mut has_host = false;
    for (name, value) in headers {
        // The body is sent at once, without waiting for `100 Continue`.
        if is_connection_specific(name) || name.eq_ignore_ascii_case("expect") {
            continue;
        }
        if !is_token(name) || !is_field_value(value) {
            return Err("header field");
        }
        has_host |= name.eq_ignore_ascii_case("host");
        write_field(out, name, value);
    }
    if !has_host {
        let _ = write!(out, "Host: {peer}\r\n");
    }
    if !body.is_empty() || !matches!(method, "GET" | "HEAD" | "OPTIONS" | "DELETE") {
        write_content_length(out, body.len());
    }
    Ok(end_head(out, body))
}

/// Whether the connection stays open after a response, and how the response states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Persistence {
    /// Stays open, which is the default of HTTP/1.1.
    KeepAlive,
    /// Stays open, which an HTTP/1.0 caller must be told with `Connection: keep-alive`.
    KeepAliveHeader,
    /// Is closed: `Connection: close`.
    Close,
}

/// Encodes a response. Returns the part of the body that was not appended to `out`, or `None` if
/// the status or a header field is invalid.
pub(crate) fn response<'a>(
    out: &mut Vec<u8>,
    response: &'a Response,
    is_head: bool,
    persistence: Persistence,
) -> Option<&'a [u8]> {
    let status = response.status;
    if !(200..=999).contains(&status) {
        return None;
    }
    let _ = write!(out, "HTTP/1.1 {status} {}\r\n", reason(status));
    let mut handler_length = None;
    for (name, value) in &response.headers {
        if is_connection_specific(name) {
            if name.eq_ignore_ascii_case("content-length") {
                handler_length = value.parse().ok();
            }
            continue;
        }
        if !is_token(name) || !is_field_value(value) {
            return None;
        }
        write_field(out, name, value);
    }
    match persistence {
        Persistence::KeepAlive => {}
        Persistence::KeepAliveHeader => write_field(out, "Connection", "keep-alive"),
        Persistence::Close => write_field(out, "Connection", "close"),
    }
    let body: &[u8] = match status {
        204 | 304 => &[],
        _ if is_head => {
            // Only the handler knows the length of the body that a GET would have.
            let length = handler_length.filter(|_| response.body.is_empty());
            write_content_length(out, length.unwrap_or(response.body.len()));
            &[]
        }
        _ => {
            write_content_length(out, response.body.len());
            &response.body
        }
    };
    Some(end_head(out, body))
}

/// Appends a request to `out`.
///
/// # Errors
///
/// The name of the part of the request that is invalid. `out` may then hold an incomplete
/// request.
///
/// # Examples
///
/// ```
/// use camphordale_http::{OutgoingRequest, codec::write_request};
///
/// let request = OutgoingRequest { method: "GET", path: "/a", headers: &[], body: b"" };
/// let mut out = Vec::new();
/// write_request(&mut out, &request, "10.0.0.1:80".parse().unwrap())?;
/// assert!(out.starts_with(b"GET /a HTTP/1.1\r\n"));
/// # Ok::<(), &str>(())
/// ```
pub fn write_request(
    out: &mut Vec<u8>,
    request: &OutgoingRequest<'_>,
    peer: SocketAddr,
) -> Result<(), &'static str> {
    let remaining_body = self::request(out, request, peer)?;
    out.extend_from_slice(remaining_body);
    Ok(())
}

/// Appends a request to `out`, but no long body. Returns the part of the body that was not appended.
///
/// # Errors
///
/// The name of the part of the request that is invalid. `out` may then hold an incomplete
/// request.
///
/// # Examples
///
/// ```
/// use camphordale_http::{OutgoingRequest, codec::begin_request};
///
/// let body = vec![0; 1 << 20];
/// let request = OutgoingRequest { method: "PUT", path: "/a", headers: &[], body: &body };
/// let mut out = Vec::new();
/// let rest = begin_request(&mut out, &request, "10.0.0.1:80".parse().unwrap())?;
/// assert!(out.ends_with(b"\r\n\r\n") && rest.len() == body.len());
/// # Ok::<(), &str>(())
/// ```
pub fn begin_request<'a>(
    out: &mut Vec<u8>,
    request: &OutgoingRequest<'a>,
    peer: SocketAddr,
) -> Result<&'a [u8], &'static str> {
    self::request(out, request, peer)
}

/// Appends a response to `out`. Returns false if the status or a header field is invalid; `out`
/// may then hold an incomplete response.
///
/// ```
/// use camphordale_http::{Response, codec::write_response};
///
/// let mut out = Vec::new();
/// assert!(write_response(&mut out, &Response::text(200, "ok"), false, true));
/// assert!(out.ends_with(b"\r\n\r\nok\n"));
/// ```
pub fn write_response(out: &mut Vec<u8>, response: &Response, is_head: bool, close: bool) -> bool {
    let persistence = if close {
        Persistence::Close
    } else {
        Persistence::KeepAlive
    };
    match self::response(out, response, is_head, persistence) {
        Some(remaining_body) => {
            out.extend_from_slice(remaining_body);
            true
        }
        None => false,
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        206 => "Partial Content",
        301 => "Moved Permanently",
        302 => "Found",
        303 => "See Other",
        304 => "Not Modified",
        307 => "Temporary Redirect",
        308 => "Permanent Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        415 => "Unsupported Media Type",
        417 => "Expectation Failed",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        425 => "Too Early",
        428 => "Precondition Required",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "",
    }
}
