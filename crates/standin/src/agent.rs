//! HTTP client that can bind its connections to a source IP address.

use std::{
    io::{
        self,
        Read,
        Write, //
    },
    net::{
        IpAddr,
        SocketAddr,
        TcpStream, //
    },
    time::Duration,
};

use socket2::{
    Domain,
    Protocol,
    Socket,
    Type, //
};
use ureq::{
    Agent, Error, Timeout,
    config::Config,
    unversioned::{
        resolver::DefaultResolver,
        transport::{
            Buffers,
            ConnectionDetails,
            Connector,
            LazyBuffers,
            NextTimeout,
            Transport, //
        },
    },
};

/// Returns an agent that connects from `source`, or from any address if it is `None`. Statuses
/// of 400 and above are returned as responses, not errors, and redirects are not followed.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// let source = Some("127.0.0.1".parse()?);
/// let agent = camphordale_standin::agent(source, Duration::from_millis(200));
/// assert!(agent.get("http://127.0.0.1:1/").call().is_err());
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
pub fn agent(source: Option<IpAddr>, timeout: Duration) -> Agent {
    let config = Config::builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .timeout_global(Some(timeout))
        .max_idle_connections(512)
        .max_idle_connections_per_host(256)
        .max_idle_age(Duration::from_secs(30))
        .build();
    Agent::with_parts(
        config,
        SourceConnector { source },
        DefaultResolver::default(),
    )
}

#[derive(Debug)]
struct SourceConnector {
    source: Option<IpAddr>,
}

impl Connector for SourceConnector {
    type Out = SourceTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        _chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        let Some(address) = details.addrs.first() else {
            return Err(Error::HostNotFound);
        };
        let timeout = details.timeout.not_zero().map(|timeout| *timeout);
        let stream = connect_from(self.source, *address, timeout).map_err(|e| match e.kind() {
            io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => Error::Timeout(Timeout::Connect),
            _ => Error::ConnectionFailed,
        })?;
        let config = details.config;
        let buffers = LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
        Ok(Some(SourceTransport { stream, buffers }))
    }
}

/// Connects to `address` from `source`, or from any address if it is `None`.
///
/// # Errors
///
/// Returns an error if the socket cannot be bound or connected.
pub(crate) fn connect_from(
    source: Option<IpAddr>,
    address: SocketAddr,
    timeout: Option<Duration>,
) -> io::Result<TcpStream> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    if let Some(source) = source {
        socket.bind(&SocketAddr::new(source, 0).into())?;
    }
    match timeout {
        Some(timeout) => socket.connect_timeout(&address.into(), timeout)?,
        None => socket.connect(&address.into())?,
    }
    socket.set_tcp_nodelay(true)?;
    Ok(socket.into())
}

#[derive(Debug)]
struct SourceTransport {
    stream: TcpStream,
    buffers: LazyBuffers,
}

fn io_error(error: io::Error, timeout: NextTimeout) -> Error {
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => Error::Timeout(timeout.reason),
        _ => Error::Io(error),
    }
}

fn remaining_timeout(timeout: NextTimeout) -> Result<Option<Duration>, Error> {
    if timeout.after.is_zero() {
        return Err(Error::Timeout(timeout.reason));
    }
    Ok(timeout.not_zero().map(|timeout| *timeout))
}

impl Transport for SourceTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let io_timeout = remaining_timeout(timeout)?;
        self.stream.set_write_timeout(io_timeout)?;
        let output = &self.buffers.output()[..amount];
        let written = (&self.stream).write_all(output);
        written.map_err(|e| io_error(e, timeout))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let io_timeout = remaining_timeout(timeout)?;
        self.stream.set_read_timeout(io_timeout)?;
        let input = self.buffers.input_append_buf();
        let count = (&self.stream)
            .read(input)
            .map_err(|e| io_error(e, timeout))?;
        self.buffers.input_appended(count);
        Ok(count > 0)
    }

    fn is_open(&mut self) -> bool {
        // An idle connection has nothing to read. If the peer closed it, the read returns the end
        // of the stream; if the peer sent unexpected data, it returns bytes.
        if self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let idle = matches!(
            self.stream.peek(&mut [0]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock
        );
        idle && self.stream.set_nonblocking(false).is_ok()
    }
}
