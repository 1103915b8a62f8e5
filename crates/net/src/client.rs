//! Calls and casts to peers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use camphordale_wire::FrameKind;

use crate::{
    cast_queue::Casts,
    config::PeerClientConfig,
    connection::Link,
    counters::{
        ClientStats,
        Count,
        Traffic, //
    },
    error::{
        CallError,
        CallErrorKind,
        LinkError,
        Operation, //
    },
    pool::{
        Pool,
        Pooled, //
    }, //
};

/// Sends requests and messages to peers.
///
/// A connection carries one call at a time, so that a response can never reach another call, and
/// is closed after a timeout. See [`crate::PeerServer`] for an example.
pub struct PeerClient {
    shared: Arc<Shared>,
    pool: Pool,
    reaped: Mutex<Instant>,
    casts: Casts,
}

pub(crate) struct Shared {
    pub(crate) config: PeerClientConfig,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) connects: Count,
    pub(crate) dropped: Count,
}

impl PeerClient {
    /// Makes a client. It opens no connection before the first message.
    pub fn new(config: PeerClientConfig) -> Self {
        let shared = Arc::new(Shared {
            config,
            traffic: Arc::default(),
            connects: Count::default(),
            dropped: Count::default(),
        });
        PeerClient {
            casts: Casts::new(shared.clone()),
            shared,
            pool: Pool::default(),
            reaped: Mutex::new(Instant::now()),
        }
    }

    /// Sends a request and awaits the response. If `expect` is given, the request is sent only if
    /// the VM with that number answers at the address.
    ///
    /// # Errors
    ///
    /// [`CallError`] if there is no response within `timeout`. It states whether the peer may
    /// have received the request.
    pub fn call(
        &self,
        to: SocketAddr,
        expect: Option<u32>,
        request: &[u8],
        timeout: Duration,
    ) -> Result<Vec<u8>, CallError> {
        let deadline = Instant::now() + timeout;
        let failed = |step, maybe_delivered, kind: CallErrorKind| {
            if let CallErrorKind::Link(error) = &kind {
                self.shared.traffic.refused.add(error.reason());
            }
            CallError {
                step,
                peer: to,
                maybe_delivered,
                kind,
            }
        };
        self.reap();
        let config = &self.shared.config;
        let mut permit = self
            .pool
            .acquire(to, expect, config, deadline)
            .ok_or_else(|| failed(Operation::Acquire, false, CallErrorKind::Busy))?;
        let pooled = match &mut permit.pooled {
            Some(pooled) => pooled,
            none => {
                let link = self
                    .shared
                    .connect(to, deadline)
                    .map_err(|(step, error)| failed(step, false, error.into()))?;
                none.insert(Pooled::new(link))
            }
        };
        let link = &mut pooled.link;
        if let Some(expected) = expect.filter(|vm| *vm != link.vm) {
            let found = link.vm;
            let kind = CallErrorKind::WrongPeer { expected, found };
            return Err(failed(Operation::Handshake, false, kind));
        }
        link.write(FrameKind::Call, request, deadline)
            .map_err(|error| failed(Operation::Write, error.wrote, error.kind.into()))?;
        self.shared.traffic.messages_out.add(1);
        let frame = link
            .read(deadline)
            .map_err(|error| failed(Operation::Read, true, error.into()))?;
        if frame.kind != FrameKind::Reply {
            return Err(failed(Operation::Read, true, LinkError::Unexpected.into()));
        }
        self.shared.traffic.messages_in.add(1);
        permit.put_back();
        Ok(frame.payload)
    }

    /// Queues a message without response. Never blocks: the oldest queued message is dropped if
    /// the queue of the peer is full.
    pub fn cast(&self, to: SocketAddr, message: Vec<u8>) {
        self.casts.push(to, message);
    }

    /// Returns the counters.
    pub fn stats(&self) -> ClientStats {
        let Shared {
            traffic,
            connects,
            dropped,
            ..
        } = &*self.shared;
        ClientStats {
            bytes_in: traffic.bytes_in.get(),
            bytes_out: traffic.bytes_out.get(),
            messages_in: traffic.messages_in.get(),
            messages_out: traffic.messages_out.get(),
            connects: connects.get(),
            casts_dropped: dropped.get(),
            refused: traffic.refused.get(),
        }
    }

    fn reap(&self) {
        let interval = self.shared.config.idle_timeout / 2;
        let mut reaped = self.reaped.lock().unwrap_or_else(PoisonError::into_inner);
        if reaped.elapsed() >= interval {
            *reaped = Instant::now();
            drop(reaped);
            self.pool.reap(&self.shared.config);
        }
    }
}

impl Drop for PeerClient {
    fn drop(&mut self) {
        self.casts.close();
    }
}

impl Shared {
    pub(crate) fn connect(
        &self,
        to: SocketAddr,
        deadline: Instant,
    ) -> Result<Link, (Operation, LinkError)> {
        let config = &self.config;
        let link = Link::connect(
            to,
            config.bind_ip,
            config.vm,
            &config.keyring,
            config.max_payload,
            deadline.min(Instant::now() + config.connect_timeout),
            &self.traffic,
        )?;
        self.connects.add(1);
        Ok(link)
    }
}
