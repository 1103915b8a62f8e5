//! UDP socket for authenticated datagrams.

use std::{
    io::ErrorKind::{
        ConnectionRefused,
        TimedOut,
        WouldBlock, //
    },
    net::{
        SocketAddr,
        UdpSocket, //
    },
    panic::{
        AssertUnwindSafe,
        catch_unwind, //
    },
    sync::{
        Arc,
        Mutex,
        PoisonError,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration, //
};

use camphordale_wire::{
    DATAGRAM_OVERHEAD,
    Datagram,
    Keyring,
    MAX_DATAGRAM_PAYLOAD,
    ReplayGuard, //
};

use crate::{
    counters::{
        Counter,
        DatagramStats,
        Traffic, //
    },
    error::{
        NetError,
        Operation,
        SendError, //
    },
    handler::Handler, //
};

/// Stack size of the receiver thread, which runs the handler, in bytes.
const STACK_SIZE: usize = 512 * 1024;

/// Interval at which the receiver checks for a shutdown, in case the wake-up datagram is lost.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Delay after a socket error, so that a persistent error does not cause a busy loop.
const ERROR_DELAY: Duration = Duration::from_millis(10);

/// Sends and receives authenticated datagrams.
///
/// # Examples
///
/// ```
/// use std::{net::SocketAddr, sync::{Arc, Mutex, mpsc}};
///
/// use camphordale_net::{DatagramSocket, Handler};
/// use camphordale_wire::{ClusterKey, Keyring};
///
/// struct Collect(Mutex<mpsc::Sender<(u32, Vec<u8>)>>);
///
/// impl Handler for Collect {
///     fn call(&self, _from: u32, request: Vec<u8>) -> Vec<u8> {
///         request
///     }
///     fn cast(&self, _from: u32, _message: Vec<u8>) {}
///     fn datagram(&self, from: u32, message: Vec<u8>, _source: SocketAddr) {
///         if let Ok(sender) = self.0.lock() {
///             let _ = sender.send((from, message));
///         }
///     }
/// }
///
/// let keyring = Keyring::new(vec![ClusterKey { id: 1, secret: [7; 32] }], 1)?;
/// let (sender, received) = mpsc::channel();
/// let handler = Arc::new(Collect(Mutex::new(sender)));
/// let any = "127.0.0.1:0".parse()?;
/// let one = DatagramSocket::start(any, 1, 1, keyring.clone(), handler.clone())?;
/// let two = DatagramSocket::start(any, 2, 1, keyring, handler)?;
/// one.send(two.local_addr(), b"renew")?;
/// assert_eq!(received.recv()?, (1, b"renew".to_vec()));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub struct DatagramSocket {
    shared: Arc<Shared>,
    address: SocketAddr,
    receiver: Mutex<Option<JoinHandle<()>>>,
}

struct Shared {
    socket: UdpSocket,
    vm: u32,
    incarnation: u64,
    counter: AtomicU64,
    keyring: Keyring,
    traffic: Traffic,
    panics: Counter,
    closing: AtomicBool,
}

impl DatagramSocket {
    /// Binds a socket and starts receiving. `incarnation` must increase with each start of the VM.
    ///
    /// # Errors
    ///
    /// [`NetError`] if the socket cannot be bound or the thread cannot be started.
    pub fn start(
        bind: SocketAddr,
        vm: u32,
        incarnation: u64,
        keyring: Keyring,
        handler: Arc<dyn Handler>,
    ) -> Result<DatagramSocket, NetError> {
        let at = |operation| {
            move |source| NetError {
                operation,
                address: bind,
                source,
            }
        };
        let socket = UdpSocket::bind(bind).map_err(at(Operation::Bind))?;
        let address = socket.local_addr().map_err(at(Operation::Bind))?;
        socket
            .set_read_timeout(Some(SHUTDOWN_POLL_INTERVAL))
            .map_err(at(Operation::Bind))?;
        let shared = Arc::new(Shared {
            socket,
            vm,
            incarnation,
            counter: AtomicU64::new(0),
            keyring,
            traffic: Traffic::default(),
            panics: Counter::default(),
            closing: AtomicBool::new(false),
        });
        let receiver = thread::Builder::new()
            .name("peer-datagrams".into())
            .stack_size(STACK_SIZE)
            .spawn({
                let shared = shared.clone();
                move || shared.receive(&*handler)
            })
            .map_err(at(Operation::Spawn))?;
        Ok(DatagramSocket {
            shared,
            address,
            receiver: Mutex::new(Some(receiver)),
        })
    }

    /// Returns the local address of the socket.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Sends a message of at most [`MAX_DATAGRAM_PAYLOAD`] bytes. It may be lost, delayed or
    /// reordered.
    ///
    /// # Errors
    ///
    /// [`SendError`] if the message is too long or the socket returns an error.
    pub fn send(&self, to: SocketAddr, message: &[u8]) -> Result<(), SendError> {
        let shared = &self.shared;
        let datagram = Datagram {
            vm: shared.vm,
            incarnation: shared.incarnation,
            counter: shared.counter.fetch_add(1, Ordering::Relaxed),
            payload: message.to_vec(),
        };
        let bytes = datagram
            .encode(&shared.keyring)
            .map_err(|source| SendError::Datagram { peer: to, source })?;
        let sent = shared
            .socket
            .send_to(&bytes, to)
            .map_err(|source| SendError::Io { peer: to, source })?;
        shared.traffic.bytes_out.add(sent);
        shared.traffic.messages_out.add(1);
        Ok(())
    }

    /// Returns the current counters.
    pub fn stats(&self) -> DatagramStats {
        let Shared {
            traffic, panics, ..
        } = &*self.shared;
        DatagramStats {
            bytes_in: traffic.bytes_in.get(),
            bytes_out: traffic.bytes_out.get(),
            messages_in: traffic.messages_in.get(),
            messages_out: traffic.messages_out.get(),
            panics: panics.get(),
            refused: traffic.refused.get(),
        }
    }

    /// Stops receiving, after a running handler has returned.
    pub fn shutdown(&self) {
        self.shared.closing.store(true, Ordering::SeqCst);
        // Wakes the receiver. If this datagram is lost, the receiver wakes after
        // SHUTDOWN_POLL_INTERVAL.
        let _ = self.shared.socket.send_to(&[], self.address);
        let receiver = self
            .receiver
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(receiver) = receiver {
            // Handler panics are caught, so the thread does not panic.
            let _ = receiver.join();
        }
    }
}

impl Drop for DatagramSocket {
    fn drop(&mut self) {
        self.shutdown();
    }
}

impl Shared {
    fn receive(&self, handler: &dyn Handler) {
        let mut replay_guard = ReplayGuard::default();
        // One byte longer than the longest valid datagram, so that longer ones are detected.
        let mut buffer = [0; DATAGRAM_OVERHEAD + MAX_DATAGRAM_PAYLOAD + 1];
        loop {
            let received = self.socket.recv_from(&mut buffer);
            if self.closing.load(Ordering::SeqCst) {
                return;
            }
            let (length, source) = match received {
                Ok(received) => received,
                Err(error) if matches!(error.kind(), WouldBlock | TimedOut | ConnectionRefused) => {
                    continue;
                }
                Err(_) => {
                    self.traffic.refused.add("receive");
                    thread::sleep(ERROR_DELAY);
                    continue;
                }
            };
            self.traffic.bytes_in.add(length);
            let datagram = match Datagram::decode(&buffer[..length], &self.keyring) {
                Ok(datagram) => datagram,
                Err(error) => {
                    self.traffic.refused.add(error.reason());
                    continue;
                }
            };
            let Datagram {
                vm,
                incarnation,
                counter,
                payload,
            } = datagram;
            if let Err(error) = replay_guard.accept(vm, incarnation, counter) {
                self.traffic.refused.add(error.reason());
                continue;
            }
            self.traffic.messages_in.add(1);
            let run = || handler.datagram(vm, payload, source);
            if catch_unwind(AssertUnwindSafe(run)).is_err() {
                self.panics.add(1);
            }
        }
    }
}
