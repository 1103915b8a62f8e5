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
        LinkError,
        Operation, //
    }, //
};

const READ_SIZE: usize = 16 * 1024;

/// Buffers that grew beyond this for one long frame are given back.
const KEEP_BUFFER: usize = 64 * 1024;

/// Shortest socket timeout; zero would mean none.
const LEAST_WAIT: Duration = Duration::from_micros(100);

pub(crate) struct Link {
    stream: Arc<TcpStream>,
    /// Number of the VM at the other end, proven by its tags.
    pub(crate) vm: u32,
    encoder: FrameEncoder,
    decoder: FrameDecoder,
    out: Vec<u8>,
    chunk: Box<[u8]>,
    traffic: Arc<Traffic>,
}

/// An error of a write, and whether any byte was written before it.
pub(crate) struct WriteError {
    pub(crate) wrote: bool,
    pub(crate) kind: LinkError,
}

impl Link {
    /// Connects and authenticates both sides.
    pub(crate) fn connect(
        address: SocketAddr,
        source: Option<IpAddr>,
        vm: u32,
        keyring: &Keyring,
        max_payload: usize,
        deadline: Instant,
        traffic: &Arc<Traffic>,
    ) -> Result<Link, (Operation, LinkError)> {
        let stream = connect(address, source, deadline).map_err(|e| (Operation::Connect, e))?;
        let at = |error| (Operation::Handshake, error);
        let (mut link, _) = Link::hello(
            Role::Client,
            Arc::new(stream),
            vm,
            keyring,
            max_payload,
            deadline,
            traffic,
        )
        .map_err(at)?;
        link.write(FrameKind::Ready, b"", deadline)
            .map_err(|error| at(error.kind))?;
        link.await_ready(deadline).map_err(at)?;
        link.decoder.set_limit(max_payload);
        Ok(link)
    }

    /// Authenticates the client of an accepted connection. The client awaits
    /// [`Link::confirm`].
    pub(crate) fn accept(
        stream: Arc<TcpStream>,
        vm: u32,
        keyring: &Keyring,
        max_payload: usize,
        deadline: Instant,
        traffic: &Arc<Traffic>,
    ) -> Result<Link, LinkError> {
        let (mut link, own) = Link::hello(
            Role::Server,
            stream,
            vm,
            keyring,
            max_payload,
            deadline,
            traffic,
        )?;
        write_all(&link.stream, &own, deadline, traffic).map_err(|error| error.kind)?;
        link.await_ready(deadline)?;
        link.decoder.set_limit(max_payload);
        Ok(link)
    }

    /// Tells the client that its connection is taken.
    pub(crate) fn confirm(&mut self, deadline: Instant) -> Result<(), LinkError> {
        self.write(FrameKind::Ready, b"", deadline)
            .map_err(|error| error.kind)
    }

    /// Exchanges hellos. A server reads first and does not send its own, so that it answers
    /// nothing to a stranger with a wrong hello.
    fn hello(
        role: Role,
        stream: Arc<TcpStream>,
        vm: u32,
        keyring: &Keyring,
        max_payload: usize,
        deadline: Instant,
        traffic: &Arc<Traffic>,
    ) -> Result<(Link, [u8; HELLO_LEN]), LinkError> {
        stream.set_nodelay(true)?;
        let handshake = Handshake::new(role, vm, keyring, rand::random::<[u8; NONCE_LEN]>());
        let own = handshake.hello();
        if role == Role::Client {
            write_all(&stream, &own, deadline, traffic).map_err(|error| error.kind)?;
        }
        let mut peer = [0; HELLO_LEN];
        let mut filled = 0;
        while filled < HELLO_LEN {
            filled += read_some(&stream, &mut peer[filled..], deadline, traffic)?;
        }
        let Session {
            vm,
            encoder,
            decoder,
        } = handshake.finish(&peer, keyring, max_payload)?;
        let link = Link {
            stream,
            vm,
            encoder,
            decoder,
            out: Vec::new(),
            chunk: vec![0; READ_SIZE].into_boxed_slice(),
            traffic: traffic.clone(),
        };
        Ok((link, own))
    }

    fn await_ready(&mut self, deadline: Instant) -> Result<(), LinkError> {
        match self.read(deadline)?.kind {
            FrameKind::Ready => Ok(()),
            _ => Err(LinkError::Unexpected),
        }
    }

    /// Writes one frame.
    pub(crate) fn write(
        &mut self,
        kind: FrameKind,
        payload: &[u8],
        deadline: Instant,
    ) -> Result<(), WriteError> {
        self.queue(kind, payload)
            .map_err(|kind| WriteError { wrote: false, kind })?;
        self.flush(deadline)
    }

    /// Seals a frame for the next [`Link::flush`]. A frame over the limit is refused without
    /// effect.
    pub(crate) fn queue(&mut self, kind: FrameKind, payload: &[u8]) -> Result<(), LinkError> {
        Ok(self.encoder.encode(kind, payload, &mut self.out)?)
    }

    /// Writes the queued frames.
    pub(crate) fn flush(&mut self, deadline: Instant) -> Result<(), WriteError> {
        let result = write_all(&self.stream, &self.out, deadline, &self.traffic);
        self.out.clear();
        self.out.shrink_to(KEEP_BUFFER);
        result
    }

    /// Reads one frame. After [`LinkError::Timeout`] the call can be repeated; nothing is lost.
    pub(crate) fn read(&mut self, deadline: Instant) -> Result<Frame, LinkError> {
        loop {
            if let Some(frame) = self.decoder.next_frame()? {
                return Ok(frame);
            }
            let read = read_some(&self.stream, &mut self.chunk, deadline, &self.traffic)?;
            self.decoder.push(&self.chunk[..read]);
        }
    }

    /// Reads one frame if all of it has arrived, without waiting.
    pub(crate) fn read_arrived(&mut self) -> Result<Option<Frame>, LinkError> {
        if let Some(frame) = self.decoder.next_frame()? {
            return Ok(Some(frame));
        }
        self.stream.set_nonblocking(true)?;
        let result = (&*self.stream).read(&mut self.chunk);
        self.stream.set_nonblocking(false)?;
        match result {
            Ok(0) => Err(LinkError::Closed),
            Ok(read) => {
                self.traffic.bytes_in.add(read);
                self.decoder.push(&self.chunk[..read]);
                Ok(self.decoder.next_frame()?)
            }
            Err(error) if waits(&error) || error.kind() == ErrorKind::Interrupted => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    /// Reports whether part of a frame has arrived.
    pub(crate) fn is_inside_frame(&self) -> bool {
        self.decoder.pending() > 0
    }

    /// Reports whether an unused connection is still open and silent.
    pub(crate) fn is_open(&self) -> bool {
        if self.decoder.pending() > 0 || self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.stream.peek(&mut [0]);
        let restored = self.stream.set_nonblocking(false);
        restored.is_ok() && matches!(peeked, Err(error) if waits(&error))
    }
}

fn connect(
    address: SocketAddr,
    source: Option<IpAddr>,
    deadline: Instant,
) -> Result<TcpStream, LinkError> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    if let Some(source) = source {
        socket.bind(&SocketAddr::new(source, 0).into())?;
    }
    match socket.connect_timeout(&address.into(), left(deadline)?) {
        Ok(()) => Ok(socket.into()),
        Err(error) if error.kind() == ErrorKind::TimedOut => Err(LinkError::Timeout),
        Err(error) => Err(error.into()),
    }
}

fn left(deadline: Instant) -> Result<Duration, LinkError> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(LinkError::Timeout);
    }
    Ok(left.max(LEAST_WAIT))
}

fn waits(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

fn read_some(
    mut stream: &TcpStream,
    buffer: &mut [u8],
    deadline: Instant,
    traffic: &Traffic,
) -> Result<usize, LinkError> {
    loop {
        stream.set_read_timeout(Some(left(deadline)?))?;
        match stream.read(buffer) {
            Ok(0) => return Err(LinkError::Closed),
            Ok(read) => {
                traffic.bytes_in.add(read);
                return Ok(read);
            }
            Err(error) if waits(&error) || error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
}

fn write_all(
    mut stream: &TcpStream,
    bytes: &[u8],
    deadline: Instant,
    traffic: &Traffic,
) -> Result<(), WriteError> {
    let mut written = 0;
    let mut write = || -> Result<(), LinkError> {
        while written < bytes.len() {
            stream.set_write_timeout(Some(left(deadline)?))?;
            match stream.write(&bytes[written..]) {
                Ok(0) => return Err(LinkError::Closed),
                Ok(count) => {
                    traffic.bytes_out.add(count);
                    written += count;
                }
                Err(error) if waits(&error) || error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
        Ok(())
    };
    write().map_err(|kind| WriteError {
        wrote: written > 0,
        kind,
    })
}
