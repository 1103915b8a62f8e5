//! Minimal HTTP/1.1 messages, as callers, targets and the operator send and read them.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A message: its first line, its header fields with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(other, _)| other == name);
        found.next().map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from a stream, and keeps what follows a message.
#[derive(Default)]
pub struct Reader {
    input: Vec<u8>,
}

impl Reader {
    /// Reads one message with a stated length. `None` at the end of the stream before its first byte.
    pub fn read(&mut self, stream: &mut TcpStream) -> io::Result<Option<Message>> {
        let mut buffer = [0; 16 << 10];
        loop {
            if let Some(message) = self.take()? {
                return Ok(Some(message));
            }
            match stream.read(&mut buffer) {
                Ok(0) if self.input.is_empty() => return Ok(None),
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(count) => self.input.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Adds bytes that were read elsewhere, and returns a message that is complete with them.
    pub fn push(&mut self, bytes: &[u8]) -> io::Result<Option<Message>> {
        self.input.extend_from_slice(bytes);
        self.take()
    }

    fn take(&mut self) -> io::Result<Option<Message>> {
        let end = self.input.windows(4).position(|part| part == b"\r\n\r\n");
        let Some(end) = end else {
            return Ok(None);
        };
        let head = String::from_utf8_lossy(&self.input[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message {
            first,
            headers,
            body: Vec::new(),
        };
        let length = match message.header("content-length") {
            Some(text) => text.parse().map_err(|_| ErrorKind::InvalidData)?,
            None => 0usize,
        };
        if self.input.len() < end + 4 + length {
            return Ok(None);
        }
        message.body = self.input[end + 4..end + 4 + length].to_vec();
        self.input.drain(..end + 4 + length);
        Ok(Some(message))
    }
}

/// Encodes a message. `head` holds the first line and header fields, without the length.
pub fn encode(head: &str, body: &[u8]) -> Vec<u8> {
    let mut out = format!("{head}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    out
}

/// Sends a request on a new connection and returns the response.
pub fn call(to: SocketAddr, head: &str, body: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_nodelay(true)?;
    exchange(&mut stream, head, body, limit)
}

/// Sends a request on an open connection and returns the response.
pub fn exchange(
    stream: &mut TcpStream,
    head: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let until = Instant::now() + limit;
    stream.write_all(&encode(head, body))?;
    let mut reader = Reader::default();
    let mut buffer = [0; 16 << 10];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut buffer) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(count) => {
                if let Some(message) = reader.push(&buffer[..count])? {
                    return Ok(message);
                }
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                return Err(ErrorKind::TimedOut.into());
            }
            Err(error) => return Err(error),
        }
    }
}
