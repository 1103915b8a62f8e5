//! Requests, responses and the trait that handles them.

use std::net::SocketAddr;

/// Header fields in the order of arrival. Names of received fields are in lower case.
pub type Headers = Vec<(Box<str>, Box<str>)>;

/// A request that was received completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method, such as `GET`.
    pub method: Box<str>,
    /// Path with the query, starting with `/`, or `*`.
    pub path: Box<str>,
    /// Header fields, with names in lower case.
    pub headers: Headers,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
    /// Address from which the caller connected.
    pub peer: SocketAddr,
}

impl Request {
    /// Returns the first value of a header field. `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// A response that was received completely, or that will be sent.
///
/// # Examples
///
/// ```
/// use camphordale_http::Response;
///
/// let response =
///     Response::new(200, b"{}".to_vec()).with_header("Content-Type", "application/json");
/// assert_eq!(response.header("content-type"), Some("application/json"));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// Status code from 200 to 999.
    pub status: u16,
    /// Header fields. When a response is sent, fields that concern the connection or the length of
    /// the body are ignored, as the server sets them.
    pub headers: Headers,
    /// Body.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response without header fields.
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Response {
            status,
            headers: Headers::new(),
            body,
        }
    }

    /// Creates a plain-text response of one line.
    pub fn text(status: u16, line: &str) -> Self {
        Response::new(status, format!("{line}\n").into_bytes())
            .with_header("Content-Type", "text/plain")
    }

    /// Adds a header field.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Returns the first value of a header field. `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// A request to send with [`crate::Conn::exchange`].
///
/// Header fields that concern the connection or the length of the body are ignored, as the
/// connection sets them. `Host` is added if it is missing.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingRequest<'a> {
    /// Method, such as `GET`.
    pub method: &'a str,
    /// Path with the query.
    pub path: &'a str,
    /// Header fields.
    pub headers: &'a [(Box<str>, Box<str>)],
    /// Body; empty if there is none.
    pub body: &'a [u8],
}

/// Handles requests; called from many threads concurrently.
///
/// If the handler panics, the caller gets a response with status 500 and the connection is closed.
pub trait Handler: Send + Sync {
    /// Returns the response to one request.
    fn handle(&self, request: Request) -> Response;
}

impl<F> Handler for F
where
    F: Fn(Request) -> Response + Send + Sync,
{
    fn handle(&self, request: Request) -> Response {
        self(request)
    }
}

fn find_header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(found, _)| found.eq_ignore_ascii_case(name))
        .map(|(_, value)| &**value)
}
