//! A handler that reports the messages it receives, and a proxy that can stop forwarding.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        IpAddr,
        Ipv4Addr,
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
        mpsc::{
            self,
            Receiver,
            Sender, //
        }, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use camphordale_net::{
    Handler,
    PeerClient,
    PeerClientConfig,
    PeerServer,
    PeerServerConfig,
    ServerLimits, //
};
use camphordale_wire::{
    ClusterKey,
    Keyring, //
};

pub(crate) const SERVER_VM: u32 = 1;
pub(crate) const CLIENT_VM: u32 = 2;

/// Exceeds the time that any tested operation takes, so that a test fails instead of hanging.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

pub(crate) fn keyring(ids: &[u8], send: u8) -> Keyring {
    let keys = ids.iter().map(|&id| ClusterKey {
        id,
        secret: [id; 32],
    });
    Keyring::new(keys.collect(), send).unwrap()
}

/// Length of the reply to the request `long` in bytes.
pub(crate) const LONG_REPLY: usize = 500_000;

/// Reports each one-way message. A request `wait` is answered only after the test opens the gate.
pub(crate) struct RecordingHandler {
    pub(crate) calls: AtomicUsize,
    casts: Mutex<Sender<(u32, Vec<u8>)>>,
    gate: Mutex<Receiver<()>>,
}

/// The test's side of a [`RecordingHandler`].
pub(crate) struct HandlerControl {
    pub(crate) messages: Receiver<(u32, Vec<u8>)>,
    pub(crate) gate: Sender<()>,
}

pub(crate) fn recording_handler() -> (Arc<RecordingHandler>, HandlerControl) {
    let (sender, messages) = mpsc::channel();
    let (gate, opened) = mpsc::channel();
    let handler = RecordingHandler {
        calls: AtomicUsize::new(0),
        casts: Mutex::new(sender),
        gate: Mutex::new(opened),
    };
    (Arc::new(handler), HandlerControl { messages, gate })
}

impl Handler for RecordingHandler {
    fn call(&self, _from: u32, request: Vec<u8>) -> Vec<u8> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        match &*request {
            b"panic" => panic!("requested by the test"),
            b"long" => return vec![7; LONG_REPLY],
            b"wait" => {
                let _ = self.gate.lock().unwrap().recv_timeout(TEST_TIMEOUT);
            }
            _ => {}
        }
        request
    }

    fn cast(&self, from: u32, message: Vec<u8>) {
        let _ = self.casts.lock().unwrap().send((from, message));
    }

    fn datagram(&self, from: u32, message: Vec<u8>, _source: SocketAddr) {
        self.cast(from, message);
    }
}

pub(crate) fn server(
    handler: Arc<RecordingHandler>,
    keyring: Keyring,
    limits: ServerLimits,
) -> PeerServer {
    let config = PeerServerConfig {
        bind: loopback(0),
        vm: SERVER_VM,
        keyring,
        limits,
    };
    PeerServer::start(config, handler).unwrap()
}

pub(crate) fn client(change: impl FnOnce(&mut PeerClientConfig)) -> PeerClient {
    let mut config = PeerClientConfig::new(CLIENT_VM, keyring(&[1], 1));
    change(&mut config);
    PeerClient::new(config)
}

/// Polls until a condition holds.
pub(crate) fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        thread::yield_now();
    }
}

/// Forwards connections to a server. While it is blocked, it accepts and reads but forwards
/// nothing. Connections that are opened or carry data in that time stay blocked for good.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    pub(crate) accepted: Arc<AtomicUsize>,
    blocked: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<u8>>>,
    /// Rate of each direction of a connection in bytes per second, 0 for no limit.
    rate: Arc<AtomicUsize>,
}

impl Proxy {
    pub(crate) fn start(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind(loopback(0)).unwrap();
        let proxy = Proxy {
            address: listener.local_addr().unwrap(),
            accepted: Arc::default(),
            blocked: Arc::default(),
            sent: Arc::default(),
            rate: Arc::default(),
        };
        let (accepted, blocked, sent) = (
            proxy.accepted.clone(),
            proxy.blocked.clone(),
            proxy.sent.clone(),
        );
        let rate = proxy.rate.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let client = stream.unwrap();
                let server = TcpStream::connect(to).unwrap();
                let connection_blocked = Arc::new(AtomicBool::new(blocked.load(Ordering::SeqCst)));
                accepted.fetch_add(1, Ordering::SeqCst);
                for (from, to, sent) in [
                    (
                        client.try_clone().unwrap(),
                        server.try_clone().unwrap(),
                        Some(sent.clone()),
                    ),
                    (server, client, None),
                ] {
                    let (blocked, connection_blocked) =
                        (blocked.clone(), connection_blocked.clone());
                    let rate = rate.clone();
                    thread::spawn(move || {
                        forward(from, to, sent, &blocked, &connection_blocked, &rate);
                    });
                }
            }
        });
        proxy
    }

    pub(crate) fn set_blocked(&self, blocked: bool) {
        self.blocked.store(blocked, Ordering::SeqCst);
    }

    /// Limits each direction of each connection to `rate` bytes per second.
    pub(crate) fn set_rate(&self, rate: usize) {
        self.rate.store(rate, Ordering::SeqCst);
    }

    /// Returns the bytes that clients sent.
    pub(crate) fn recorded(&self) -> Vec<u8> {
        self.sent.lock().unwrap().clone()
    }
}

fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    sent: Option<Arc<Mutex<Vec<u8>>>>,
    blocked: &AtomicBool,
    connection_blocked: &AtomicBool,
    rate: &AtomicUsize,
) {
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        if blocked.load(Ordering::SeqCst) {
            connection_blocked.store(true, Ordering::SeqCst);
        }
        if connection_blocked.load(Ordering::SeqCst) {
            continue;
        }
        if let Some(sent) = &sent {
            sent.lock().unwrap().extend_from_slice(&buffer[..count]);
        }
        if let rate @ 1.. = rate.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_secs(1) * count as u32 / rate as u32);
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
