//! A handler that reports what it gets, and a relay that can go silent.

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

/// Longer than anything takes, so that a test fails instead of hanging.
pub(crate) const LONG: Duration = Duration::from_secs(20);

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

/// Reports each message. `wait` as a request is answered once the gate is opened.
pub(crate) struct Reporter {
    pub(crate) calls: AtomicUsize,
    casts: Mutex<Sender<(u32, Vec<u8>)>>,
    gate: Mutex<Receiver<()>>,
}

pub(crate) struct Reports {
    pub(crate) messages: Receiver<(u32, Vec<u8>)>,
    pub(crate) gate: Sender<()>,
}

pub(crate) fn reporter() -> (Arc<Reporter>, Reports) {
    let (sender, messages) = mpsc::channel();
    let (gate, opened) = mpsc::channel();
    let reporter = Reporter {
        calls: AtomicUsize::new(0),
        casts: Mutex::new(sender),
        gate: Mutex::new(opened),
    };
    (Arc::new(reporter), Reports { messages, gate })
}

impl Handler for Reporter {
    fn call(&self, _from: u32, request: Vec<u8>) -> Vec<u8> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        match &*request {
            b"panic" => panic!("requested by the test"),
            b"wait" => {
                let _ = self.gate.lock().unwrap().recv_timeout(LONG);
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

pub(crate) fn server(handler: Arc<Reporter>, keyring: Keyring, limits: ServerLimits) -> PeerServer {
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

/// Waits for a state that nothing announces.
pub(crate) fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + LONG;
    while !holds() {
        assert!(Instant::now() < deadline, "{what} did not happen");
        thread::yield_now();
    }
}

/// Forwards connections to a server. While it is silent, it accepts and reads but forwards
/// nothing; connections that were opened then stay silent for good.
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    pub(crate) accepted: Arc<AtomicUsize>,
    silent: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<u8>>>,
}

impl Relay {
    pub(crate) fn start(to: SocketAddr) -> Relay {
        let listener = TcpListener::bind(loopback(0)).unwrap();
        let relay = Relay {
            address: listener.local_addr().unwrap(),
            accepted: Arc::default(),
            silent: Arc::default(),
            sent: Arc::default(),
        };
        let (accepted, silent, sent) = (
            relay.accepted.clone(),
            relay.silent.clone(),
            relay.sent.clone(),
        );
        thread::spawn(move || {
            for stream in listener.incoming() {
                let there = stream.unwrap();
                let back = TcpStream::connect(to).unwrap();
                let dead = Arc::new(AtomicBool::new(silent.load(Ordering::SeqCst)));
                accepted.fetch_add(1, Ordering::SeqCst);
                for (from, to, sent) in [
                    (
                        there.try_clone().unwrap(),
                        back.try_clone().unwrap(),
                        Some(sent.clone()),
                    ),
                    (back, there, None),
                ] {
                    let (silent, dead) = (silent.clone(), dead.clone());
                    thread::spawn(move || pump(from, to, sent, &silent, &dead));
                }
            }
        });
        relay
    }

    pub(crate) fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    /// The bytes that clients sent.
    pub(crate) fn recorded(&self) -> Vec<u8> {
        self.sent.lock().unwrap().clone()
    }
}

fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    sent: Option<Arc<Mutex<Vec<u8>>>>,
    silent: &AtomicBool,
    dead: &AtomicBool,
) {
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        if silent.load(Ordering::SeqCst) {
            dead.store(true, Ordering::SeqCst);
        }
        if dead.load(Ordering::SeqCst) {
            continue;
        }
        if let Some(sent) = &sent {
            sent.lock().unwrap().extend_from_slice(&buffer[..count]);
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
