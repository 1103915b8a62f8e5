//! A small blocking HTTP/1.1 codec: messages with a length, one at a time on a connection.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

/// Long requests are sent in parts, with less than half of the rate of a link of 1,000 Mbit/s.
const PART: usize = 1 << 20;
const PART_TIME: Duration = Duration::from_millis(20);

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Header fields, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1).and_then(|s| s.parse().ok());
        status.unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message. `None` at the end of the connection before its first byte.
pub fn read(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let field = line.trim_end();
        if field.is_empty() {
            break;
        }
        if let Some((name, value)) = field.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
    let length = message
        .header("content-length")
        .and_then(|l| l.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    from.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Encodes a message; the length is added.
pub fn encode(start: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{start}\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// A connection of a client, which is kept for further requests.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(to: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Connection {
            reader: BufReader::new(stream),
        })
    }

    pub fn exchange(&mut self, request: &[u8], timeout: Duration) -> io::Result<Message> {
        self.reader.get_ref().set_read_timeout(Some(timeout))?;
        for (number, part) in request.chunks(PART).enumerate() {
            if number > 0 {
                thread::sleep(PART_TIME);
            }
            self.reader.get_mut().write_all(part)?;
        }
        read(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// Sends one request over a connection of its own.
pub fn call(to: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    Connection::open(to, timeout)?.exchange(request, timeout)
}

/// The number after `"name":` in a JSON text without nested objects of that name.
pub fn json_number(text: &str, name: &str) -> Option<u64> {
    let at = text.find(&format!("\"{name}\""))?;
    let rest = text[at..].split_once(':')?.1.trim_start();
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}

/// The text after `"name":` in such a JSON text.
pub fn json_text<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let at = text.find(&format!("\"{name}\""))?;
    let rest = text[at..].split_once(':')?.1.trim_start();
    rest.strip_prefix('"')?.split('"').next()
}
