//! A minimal HTTP/1.1 client with one persistent connection.

use std::{
    io::{
        self,
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    time::Duration,
};

use camphordale_standin::fleet::ACCESS_KEY;

/// Timeout for connecting and for each read of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a response head, in bytes.
const MAX_HEAD_SIZE: usize = 64 * 1024;

/// HTTP client for one server address.
pub(crate) struct Client {
    address: SocketAddr,
    stream: Option<TcpStream>,
    buffer: Vec<u8>,
}

impl Client {
    /// Creates a client. It connects when the first request is sent.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Client {
            address,
            stream: None,
            buffer: Vec::new(),
        }
    }

    /// Sends a `GET` request and returns the status and the body of the response. After an error
    /// the next request opens a new connection.
    pub(crate) fn get(&mut self, path: &str, headers: &str) -> io::Result<(u16, &[u8])> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect_timeout(&self.address, RESPONSE_TIMEOUT)?;
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
                stream
            }
        };
        let head = format!(
            "GET {path} HTTP/1.1\r\nhost: {}\r\n{headers}\r\n",
            self.address
        );
        stream.write_all(head.as_bytes())?;
        let (status, start, length) = read_head(&mut stream, &mut self.buffer)?;
        let end = start + length;
        let received = self.buffer.len();
        if received < end {
            self.buffer.resize(end, 0);
            stream.read_exact(&mut self.buffer[received..])?;
        }
        self.stream = Some(stream);
        Ok((status, &self.buffer[start..end]))
    }
}

/// Reads the response head into `buffer`. Returns the status, the offset of the body in `buffer`
/// and the body's length.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<(u16, usize, usize)> {
    buffer.clear();
    let mut chunk = [0; 16 * 1024];
    let end = loop {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        buffer.extend_from_slice(&chunk[..count]);
        if let Some(at) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            break at + 4;
        }
        if buffer.len() > MAX_HEAD_SIZE {
            return Err(io::ErrorKind::InvalidData.into());
        }
    };
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let head = std::str::from_utf8(&buffer[..end]).map_err(|_| invalid())?;
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default();
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let length = lines
        .filter_map(|line| line.split_once(':'))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map_or(Some(0), |(_, value)| value.trim().parse().ok());
    Ok((
        status.ok_or_else(invalid)?,
        end,
        length.ok_or_else(invalid)?,
    ))
}

/// Sends a `GET` request to an operator listener and returns the body of the response.
pub(crate) fn get_text(address: SocketAddr, path: &str) -> io::Result<String> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(RESPONSE_TIMEOUT))
        .build()
        .into();
    let request = agent
        .get(format!("http://{address}{path}"))
        .header("Authorization", format!("Bearer {ACCESS_KEY}"));
    let mut response = request.call().map_err(io::Error::other)?;
    response
        .body_mut()
        .read_to_string()
        .map_err(io::Error::other)
}
