//! One authenticated connection on a blocking socket.

use std::{
    io::{
        self,
        ErrorKind,
        Read,
        Write, //
    },
    net::{
        IpAddr,
        SocketAddr,
        TcpStream, //
    },
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use camphordale_wire::{
    Frame,
    FrameDecoder,
    FrameEncoder,
    FrameKind,
    HELLO_LEN,
    Handshake,
    Keyring,
    NONCE_LEN,
    Role,
    Session, //
};
use socket2::{
    Domain,
    Protocol,
    Socket,
    Type, //
};

use crate::{
    counters::Traffic,
    error::{
        ConnectionError,
        Operation, //
    }, //
};

const READ_SIZE: usize = 16 * 1024;

/// Capacity in bytes to which the output buffer is shrunk after a long frame.
const RETAINED_CAPACITY: usize = 64 * 1024;

/// Minimum socket timeout. To the operating system, zero means no timeout.
const MIN_SOCKET_TIMEOUT: Duration = Duration::from_micros(100);

pub(crate) struct Connection {
    stream: Arc<TcpStream>,
    /// Number of the peer's VM, authenticated by its tags.
    pub(crate) vm: u32,
    encoder: FrameEncoder,
    decoder: FrameDecoder,
    output: Vec<u8>,
    read_buffer: Box<[u8]>,
    traffic: Arc<Traffic>,
}

/// Time limit of a read or write.
#[derive(Clone, Copy)]
pub(crate) enum Limit {
    /// All bytes have to pass by this time.
    Deadline(Instant),
    /// Maximum time in which no byte passes.
    Silence(Duration),
}

impl Limit {
    /// Returns the deadline of the next byte.
    fn next_byte(self) -> Instant {
        match self {
            Limit::Deadline(deadline) => deadline,
            Limit::Silence(silence) => Instant::now() + silence,
        }
    }
}

/// A failed write, and whether any byte was written before the failure.
pub(crate) struct WriteError {
    pub(crate) maybe_written: bool,
    pub(crate) kind: ConnectionError,
}

impl Connection {
    /// Connects to `address` and authenticates both sides.
    pub(crate) fn connect(
        address: SocketAddr,
        source: Option<IpAddr>,
        vm: u32,
        keyring: &Keyring,
        max_payload: usize,
        deadline: Instant,
        traffic: &Arc<Traffic>,
    ) -> Result<Connection, (Operation, ConnectionError)> {
        let stream = connect(address, source, deadline).map_err(|e| (Operation::Connect, e))?;
        let at = |error| (Operation::Handshake, error);
        let (mut connection, _) = Connection::exchange_hellos(
            Role::Client,
            Arc::new(stream),
            vm,
            keyring,
            max_payload,
            deadline,
            traffic,
        )
        .map_err(at)?;
        connection
            .write(FrameKind::Ready, b"", Limit::Deadline(deadline))
            .map_err(|error| at(error.kind))?;
        connection.await_ready(deadline).map_err(at)?;
        connection.decoder.set_limit(max_payload);
        Ok(connection)
    }

    /// Authenticates the client of an accepted connection. The client waits for
    /// [`Connection::confirm`].
    pub(crate) fn accept(
        stream: Arc<TcpStream>,
        vm: u32,
        keyring: &Keyring,
        max_payload: usize,
        deadline: Instant,
        traffic: &Arc<Traffic>,
    ) -> Result<Connection, ConnectionError> {
        let (mut connection, own_hello) = Connection::exchange_hellos(
            Role::Server,
            stream,
            vm,
            keyring,
            max_payload,
            deadline,
            traffic,
        )?;
        write_all(
            &connection.stream,
            &own_hello,
            Limit::Deadline(deadline),
            traffic,
        )
        .map_err(|error| error.kind)?;
        connection.await_ready(deadline)?;
        connection.decoder.set_limit(max_payload);
        Ok(connection)
    }

    /// Tells the client that its connection is accepted.
    pub(crate) fn confirm(&mut self, deadline: Instant) -> Result<(), ConnectionError> {
        self.write(FrameKind::Ready, b"", Limit::Deadline(deadline))
            .map_err(|error| error.kind)
    }

    /// Exchanges hellos. A server only receives the hello of the peer and returns its own to the
    /// caller, so that nothing is sent to a client whose hello is invalid.
    fn exchange_hellos(
        role: Role,
        stream: Arc<TcpStream>,
        vm: u32,
        keyring: &Keyring,
        max_payload: usize,
        deadline: Instant,
        traffic: &Arc<Traffic>,
    ) -> Result<(Connection, [u8; HELLO_LEN]), ConnectionError> {
        stream.set_nodelay(true)?;
        let handshake = Handshake::new(role, vm, keyring, rand::random::<[u8; NONCE_LEN]>());
        let own_hello = handshake.hello();
        if role == Role::Client {
            write_all(&stream, &own_hello, Limit::Deadline(deadline), traffic)
                .map_err(|error| error.kind)?;
        }
        let mut peer_hello = [0; HELLO_LEN];
        let mut filled = 0;
        while filled < HELLO_LEN {
            filled += read_some(&stream, &mut peer_hello[filled..], deadline, traffic)?;
        }
        let Session {
            vm,
            encoder,
            decoder,
        } = handshake.finish(&peer_hello, keyring, max_payload)?;
        let connection = Connection {
            stream,
            vm,
            encoder,
            decoder,
            output: Vec::new(),
            read_buffer: vec![0; READ_SIZE].into_boxed_slice(),
            traffic: traffic.clone(),
        };
        Ok((connection, own_hello))
    }

    fn await_ready(&mut self, deadline: Instant) -> Result<(), ConnectionError> {
        match self.read(Limit::Deadline(deadline))?.kind {
            FrameKind::Ready => Ok(()),
            _ => Err(ConnectionError::Unexpected),
        }
    }

    /// Writes one frame.
    pub(crate) fn write(
        &mut self,
        kind: FrameKind,
        payload: &[u8],
        limit: Limit,
    ) -> Result<(), WriteError> {
        self.queue(kind, payload).map_err(|kind| WriteError {
            maybe_written: false,
            kind,
        })?;
        self.flush(limit)
    }

    /// Encodes a frame for the next [`Connection::flush`]. A frame that exceeds the limit is
    /// rejected without effect on the connection.
    pub(crate) fn queue(&mut self, kind: FrameKind, payload: &[u8]) -> Result<(), ConnectionError> {
        Ok(self.encoder.encode(kind, payload, &mut self.output)?)
    }

    /// Writes the queued frames.
    pub(crate) fn flush(&mut self, limit: Limit) -> Result<(), WriteError> {
        let result = write_all(&self.stream, &self.output, limit, &self.traffic);
        self.output.clear();
        self.output.shrink_to(RETAINED_CAPACITY);
        result
    }

    /// Reads one frame. After [`ConnectionError::Timeout`] the call can be repeated; no data is
    /// lost.
    pub(crate) fn read(&mut self, limit: Limit) -> Result<Frame, ConnectionError> {
        loop {
            if let Some(frame) = self.read_part(limit.next_byte())? {
                return Ok(frame);
            }
        }
    }

    /// Returns the next frame if it has arrived; otherwise waits for bytes, and returns the frame
    /// if they complete it. After [`ConnectionError::Timeout`] the call can be repeated.
    pub(crate) fn read_part(
        &mut self,
        deadline: Instant,
    ) -> Result<Option<Frame>, ConnectionError> {
        if let Some(frame) = self.decoder.next_frame()? {
            return Ok(Some(frame));
        }
        let read = read_some(&self.stream, &mut self.read_buffer, deadline, &self.traffic)?;
        self.decoder.push(&self.read_buffer[..read]);
        Ok(self.decoder.next_frame()?)
    }

    /// Returns one frame if all of it has arrived, without blocking.
    pub(crate) fn try_read(&mut self) -> Result<Option<Frame>, ConnectionError> {
        if let Some(frame) = self.decoder.next_frame()? {
            return Ok(Some(frame));
        }
        self.stream.set_nonblocking(true)?;
        let result = (&*self.stream).read(&mut self.read_buffer);
        self.stream.set_nonblocking(false)?;
        match result {
            Ok(0) => Err(ConnectionError::Closed),
            Ok(read) => {
                self.traffic.bytes_in.add(read);
                self.decoder.push(&self.read_buffer[..read]);
                Ok(self.decoder.next_frame()?)
            }
            Err(error) if would_block(&error) || error.kind() == ErrorKind::Interrupted => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    /// Whether part of a frame has arrived.
    pub(crate) fn is_inside_frame(&self) -> bool {
        self.decoder.pending() > 0
    }

    /// Returns the kind of the frame of which a part has arrived.
    pub(crate) fn pending_kind(&self) -> Option<FrameKind> {
        self.decoder.pending_kind()
    }

    /// Whether an idle connection is still open and has no unexpected data to read.
    pub(crate) fn is_open(&self) -> bool {
        if self.decoder.pending() > 0 || self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.stream.peek(&mut [0]);
        let restored = self.stream.set_nonblocking(false);
        restored.is_ok() && matches!(peeked, Err(error) if would_block(&error))
    }
}

fn connect(
    address: SocketAddr,
    source: Option<IpAddr>,
    deadline: Instant,
) -> Result<TcpStream, ConnectionError> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    if let Some(source) = source {
        socket.bind(&SocketAddr::new(source, 0).into())?;
    }
    match socket.connect_timeout(&address.into(), remaining_timeout(deadline)?) {
        Ok(()) => Ok(socket.into()),
        Err(error) if error.kind() == ErrorKind::TimedOut => Err(ConnectionError::Timeout),
        Err(error) => Err(error.into()),
    }
}

fn remaining_timeout(deadline: Instant) -> Result<Duration, ConnectionError> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return Err(ConnectionError::Timeout);
    }
    Ok(remaining.max(MIN_SOCKET_TIMEOUT))
}

fn would_block(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

fn read_some(
    mut stream: &TcpStream,
    buffer: &mut [u8],
    deadline: Instant,
    traffic: &Traffic,
) -> Result<usize, ConnectionError> {
    loop {
        stream.set_read_timeout(Some(remaining_timeout(deadline)?))?;
        match stream.read(buffer) {
            Ok(0) => return Err(ConnectionError::Closed),
            Ok(read) => {
                traffic.bytes_in.add(read);
                return Ok(read);
            }
            Err(error) if would_block(&error) || error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
}

fn write_all(
    mut stream: &TcpStream,
    bytes: &[u8],
    limit: Limit,
    traffic: &Traffic,
) -> Result<(), WriteError> {
    let mut written = 0;
    let mut write = || -> Result<(), ConnectionError> {
        let mut deadline = limit.next_byte();
        while written < bytes.len() {
            stream.set_write_timeout(Some(remaining_timeout(deadline)?))?;
            match stream.write(&bytes[written..]) {
                Ok(0) => return Err(ConnectionError::Closed),
                Ok(count) => {
                    traffic.bytes_out.add(count);
                    written += count;
                    deadline = limit.next_byte();
                }
                Err(error) if would_block(&error) || error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
        Ok(())
    };
    write().map_err(|kind| WriteError {
        maybe_written: written > 0,
        kind,
    })
}
