//! Parser of response heads.

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

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Header fields, with names in lower case.
    pub headers: Headers,
    /// How the end of the body is determined, if the response has one.
    pub framing: Framing,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// Whether the response has `Connection: close`.
    pub connection_close: bool,
}

/// Why the head of a response is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("response is malformed: {0}")]
pub struct ResponseError(pub &'static str);

impl ResponseHead {
    /// Parses the head at the start of `bytes`. Returns it with its length in bytes, or `None` if
    /// it is not complete.
    ///
    /// # Errors
    ///
    /// [`ResponseError`] if the head is malformed or ambiguous.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_http::codec::{Framing, ResponseHead};
    ///
    /// let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    /// let (head, length) = ResponseHead::parse(bytes)?.unwrap();
    /// assert_eq!((head.status, head.framing), (200, Framing::Length(2)));
    /// assert_eq!(&bytes[length..], b"ok");
    /// # Ok::<(), camphordale_http::codec::ResponseError>(())
    /// ```
    pub fn parse(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, ResponseError> {
        let mut headers = [MaybeUninit::uninit(); MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut []);
        let config = httparse::ParserConfig::default();
        let result = config.parse_response_with_uninit_headers(&mut parsed, bytes, &mut headers);
        let length = match result {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(ResponseError("head cannot be parsed")),
        };
        if !framing::has_crlf_lines(&bytes[..length]) {
            return Err(ResponseError("head has a line without CR LF"));
        }
        let (Some(status), Some(version)) = (parsed.code, parsed.version) else {
            return Err(ResponseError("head has no status"));
        };
        // No version of HTTP defines other statuses. Callers would take such a response as final.
        if !(100..600).contains(&status) {
            return Err(ResponseError("status is not between 100 and 599"));
        }
        let http_10 = version == 0;
        let headers = framing::to_headers(parsed.headers)
            .ok_or(ResponseError("header field is not UTF-8"))?;
        let framing = framing::body_framing(&headers, http_10).map_err(|error| match error {
            FramingError::Ambiguous => ResponseError("length of the body is ambiguous"),
            FramingError::UnsupportedCoding => ResponseError("transfer coding is not supported"),
        })?;
        let connection_close = framing::list_contains(&headers, "connection", "close");
        let connection_keep_alive = framing::list_contains(&headers, "connection", "keep-alive");
        let head = ResponseHead {
            status,
            headers,
            framing,
            keep_alive: !connection_close && (!http_10 || connection_keep_alive),
            connection_close,
        };
        Ok(Some((head, length)))
    }
}
