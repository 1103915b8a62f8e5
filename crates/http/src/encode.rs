//! Encoding of heads.
//!
//! Connections with a thread of their own use [`request`] and [`response`], which leave long bodies
//! out of the buffer. A readiness loop uses [`write_request`] and [`write_response`].

use std::{
    io::Write,
    net::SocketAddr, //
};

use crate::message::{
    OutgoingRequest,
    Response, //
};

/// Bodies up to this many bytes are copied behind the head, which is cheaper than a second
/// buffer in the write call.
const INLINE_BODY: usize = 8 * 1024;

/// Header fields that belong to one connection, or state the length of a body.
fn is_own(name: &str) -> bool {
    const OWN: [&str; 8] = [
        "connection",
        "content-length",
        "transfer-encoding",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "upgrade",
    ];
    OWN.iter().any(|own| name.eq_ignore_ascii_case(own))
}

fn is_token(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte))
}

fn is_value(text: &str) -> bool {
    text.bytes()
        .all(|byte| byte == b'\t' || (byte >= b' ' && byte != 0x7f))
}

fn field(out: &mut Vec<u8>, name: &str, value: &str) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value.as_bytes());
    out.extend_from_slice(b"\r\n");
}

fn length_field(out: &mut Vec<u8>, length: usize) {
    // Writing to a vector does not fail.
    let _ = write!(out, "Content-Length: {length}\r\n");
}

/// Ends a head. Returns the part of the body that is not copied behind it.
fn end<'a>(out: &mut Vec<u8>, body: &'a [u8]) -> &'a [u8] {
    out.extend_from_slice(b"\r\n");
    if body.len() > INLINE_BODY {
        return body;
    }
    out.extend_from_slice(body);
    &[]
}

/// Encodes a request. Returns the part of the body that is not in `out`, or names the invalid
/// part of the request.
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
        // The body follows at once, so the peer must not be asked for it.
        if is_own(name) || name.eq_ignore_ascii_case("expect") {
            continue;
        }
        if !is_token(name) || !is_value(value) {
            return Err("header field");
        }
        has_host |= name.eq_ignore_ascii_case("host");
        field(out, name, value);
    }
    if !has_host {
        let _ = write!(out, "Host: {peer}\r\n");
    }
    if !body.is_empty() || !matches!(method, "GET" | "HEAD" | "OPTIONS" | "DELETE") {
        length_field(out, body.len());
    }
    Ok(end(out, body))
}

/// How the connection goes on after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum After {
    /// It stays open, as HTTP/1.1 implies.
    Open,
    /// It stays open, which an HTTP/1.0 caller must be told.
    OpenSaid,
    /// It is closed.
    Close,
}

/// Encodes a response. Returns the part of the body that is not in `out`, or `None` if the
/// response cannot be sent.
pub(crate) fn response<'a>(
    out: &mut Vec<u8>,
    response: &'a Response,
    is_head: bool,
    after: After,
) -> Option<&'a [u8]> {
    let status = response.status;
    if !(200..=999).contains(&status) {
        return None;
    }
    let _ = write!(out, "HTTP/1.1 {status} {}\r\n", reason(status));
    let mut stated = None;
    for (name, value) in &response.headers {
        if is_own(name) {
            if name.eq_ignore_ascii_case("content-length") {
                stated = value.parse().ok();
            }
            continue;
        }
        if !is_token(name) || !is_value(value) {
            return None;
        }
        field(out, name, value);
    }
    match after {
        After::Open => {}
        After::OpenSaid => field(out, "Connection", "keep-alive"),
        After::Close => field(out, "Connection", "close"),
    }
    let body: &[u8] = match status {
        204 | 304 => &[],
        _ if is_head => {
            // The length that a GET would have is known to the handler only.
            let length = stated.filter(|_| response.body.is_empty());
            length_field(out, length.unwrap_or(response.body.len()));
            &[]
        }
        _ => {
            length_field(out, response.body.len());
            &response.body
        }
    };
    Some(end(out, body))
}

/// Appends a request to `out`.
///
/// # Errors
///
/// Names the part of the request that is invalid. `out` may then hold a part of it.
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
    let rest = self::request(out, request, peer)?;
    out.extend_from_slice(rest);
    Ok(())
}

/// Appends a response to `out`, and reports whether it could be encoded.
///
/// ```
/// use camphordale_http::{Response, codec::write_response};
///
/// let mut out = Vec::new();
/// assert!(write_response(&mut out, &Response::text(200, "ok"), false, true));
/// assert!(out.ends_with(b"\r\n\r\nok\n"));
/// ```
pub fn write_response(out: &mut Vec<u8>, response: &Response, is_head: bool, close: bool) -> bool {
    let after = if close { After::Close } else { After::Open };
    match self::response(out, response, is_head, after) {
        Some(rest) => {
            out.extend_from_slice(rest);
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
