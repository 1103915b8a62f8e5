//! Messages without response: a bounded queue and a writer thread for each peer.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    net::SocketAddr,
    sync::{
        Arc,
        Condvar,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use camphordale_wire::FrameKind;

use crate::{
    client::Shared,
    connection::Link, //
    error::LinkError,
};

/// Stack of a writer in bytes. It runs no code of a caller.
const WRITER_STACK: usize = 128 * 1024;

/// Bytes that one write takes out of a queue, unless its first message alone is longer.
const BATCH_BYTES: usize = 64 * 1024;

/// Interval at which a writer looks for confirmations while it awaits one.
const PONG_POLL: Duration = Duration::from_millis(50);

/// The queues of all peers.
pub(crate) struct Casts {
    shared: Arc<Shared>,
    queues: Arc<Queues>,
}

#[derive(Default)]
struct Queues {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    peers: HashMap<SocketAddr, Queue>,
    closing: bool,
}

/// The queue of one peer. It exists exactly while its writer runs.
struct Queue {
    messages: VecDeque<Vec<u8>>,
    bytes: usize,
    pushed: Instant,
    changed: Arc<Condvar>,
}

impl Casts {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Casts {
            shared,
            queues: Arc::default(),
        }
    }

    pub(crate) fn push(&self, to: SocketAddr, message: Vec<u8>) {
        let config = &self.shared.config;
        if message.len() > config.max_payload.min(config.cast_bytes) {
            self.shared.dropped.add(1);
            return;
        }
        let mut state = self.queues.lock();
        if state.closing {
            return;
        }
        let mut started = None;
        let queue = state.peers.entry(to).or_insert_with(|| {
            let changed = Arc::new(Condvar::new());
            started = Some(changed.clone());
            Queue {
                messages: VecDeque::new(),
                bytes: 0,
                pushed: Instant::now(),
                changed,
            }
        });
        queue.bytes += message.len();
        queue.messages.push_back(message);
        queue.pushed = Instant::now();
        while queue.messages.len() > config.cast_queue || queue.bytes > config.cast_bytes {
            let Some(oldest) = queue.messages.pop_front() else {
                break;
            };
            queue.bytes -= oldest.len();
            self.shared.dropped.add(1);
        }
        queue.changed.notify_one();
        if let Some(changed) = started {
            let writer = Writer {
                shared: self.shared.clone(),
                queues: self.queues.clone(),
                to,
                changed,
                backoff: config.backoff_min,
            };
            let spawned = thread::Builder::new()
                .name("peer-cast".into())
                .stack_size(WRITER_STACK)
                .spawn(move || writer.run());
            if spawned.is_err() {
                state.forget(to, &self.shared);
            }
        }
    }

    pub(crate) fn close(&self) {
        let mut state = self.queues.lock();
        state.closing = true;
        for queue in state.peers.values() {
            queue.changed.notify_one();
        }
    }
}

impl Queues {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn forget(&mut self, to: SocketAddr, shared: &Shared) {
        if let Some(queue) = self.peers.remove(&to) {
            shared.dropped.add(queue.messages.len());
        }
    }
}

/// What a writer does next.
enum Work {
    /// Write these messages.
    Batch(Vec<Vec<u8>>),
    /// Look for confirmations.
    Poll,
    /// End, because the peer was not sent to for a while or the client is dropped. The queue is
    /// removed.
    End,
}

struct Writer {
    shared: Arc<Shared>,
    queues: Arc<Queues>,
    to: SocketAddr,
    changed: Arc<Condvar>,
    backoff: Duration,
}

/// A connection of a writer and what the peer has confirmed on it.
struct Line {
    link: Link,
    sent: u64,
    /// Since when a confirmation is awaited.
    awaited: Option<Instant>,
}

impl Writer {
    fn run(mut self) {
        let mut line = None;
        loop {
            let awaits = line.as_ref().is_some_and(|l: &Line| l.awaited.is_some());
            match self.next(awaits) {
                Work::End => return,
                Work::Poll => {}
                Work::Batch(batch) => {
                    // The peer may have restarted since the last write.
                    if line
                        .as_mut()
                        .is_some_and(|l| l.check(&self.shared).is_err())
                    {
                        line = None;
                    }
                    if line.is_none() {
                        line = self.connect();
                    }
                    match &mut line {
                        Some(open) => {
                            if let Err(error) = open.send(&batch, &self.shared) {
                                self.shared.traffic.refused.add(error.reason());
                                self.shared.dropped.add(batch.len());
                                line = None;
                            }
                        }
                        None => self.shared.dropped.add(batch.len()),
                    }
                }
            }
            if let Some(Err(error)) = line.as_mut().map(|l| l.check(&self.shared)) {
                self.shared.traffic.refused.add(error.reason());
                line = None;
            }
        }
    }

    /// Waits for messages.
    fn next(&self, awaits: bool) -> Work {
        let config = &self.shared.config;
        let mut state = self.queues.lock();
        let mut polled = false;
        loop {
            let closing = state.closing;
            let Some(queue) = state.peers.get_mut(&self.to) else {
                return Work::End;
            };
            let idle = queue.pushed.elapsed();
            if closing || (queue.messages.is_empty() && idle >= config.writer_timeout) {
                state.forget(self.to, &self.shared);
                return Work::End;
            }
            let batch = queue.take();
            if !batch.is_empty() {
                return Work::Batch(batch);
            }
            if polled {
                return Work::Poll;
            }
            let left = config.writer_timeout - idle;
            let wait = if awaits { left.min(PONG_POLL) } else { left };
            let (guard, result) = self
                .changed
                .wait_timeout(state, wait)
                .unwrap_or_else(PoisonError::into_inner);
            state = guard;
            polled = awaits && result.timed_out();
        }
    }

    /// Connects, or fails and waits so that an unreachable peer is not tried too often.
    fn connect(&mut self) -> Option<Line> {
        let config = &self.shared.config;
        match self
            .shared
            .connect(self.to, Instant::now() + config.connect_timeout)
        {
            Ok(link) => {
                self.backoff = config.backoff_min;
                Some(Line {
                    link,
                    sent: 0,
                    awaited: None,
                })
            }
            Err((_, error)) => {
                self.shared.traffic.refused.add(error.reason());
                let deadline = Instant::now() + self.backoff;
                self.backoff = (self.backoff * 2).min(config.backoff_max);
                let mut state = self.queues.lock();
                while !state.closing {
                    let left = deadline.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self
                        .changed
                        .wait_timeout(state, left)
                        .unwrap_or_else(PoisonError::into_inner)
                        .0;
                }
                None
            }
        }
    }
}

impl Queue {
    fn take(&mut self) -> Vec<Vec<u8>> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        while let Some(message) = self.messages.front() {
            if !batch.is_empty() && bytes + message.len() > BATCH_BYTES {
                break;
            }
            bytes += message.len();
            batch.extend(self.messages.pop_front());
        }
        self.bytes -= bytes;
        batch
    }
}

impl Line {
    fn send(&mut self, batch: &[Vec<u8>], shared: &Shared) -> Result<(), LinkError> {
        for message in batch {
            self.link.queue(FrameKind::Cast, message)?;
        }
        let now = Instant::now();
        self.link
            .flush(now + shared.config.write_timeout)
            .map_err(|error| error.kind)?;
        self.sent += batch.len() as u64;
        self.awaited.get_or_insert(now);
        shared.traffic.messages_out.add(batch.len());
        Ok(())
    }

    /// Takes the confirmations that have arrived. Fails if one is overdue or the peer has closed
    /// the connection.
    fn check(&mut self, shared: &Shared) -> Result<(), LinkError> {
        while let Some(frame) = self.link.read_arrived()? {
            let count = match (frame.kind, <[u8; 8]>::try_from(frame.payload)) {
                (FrameKind::Ack, Ok(bytes)) => u64::from_be_bytes(bytes),
                _ => return Err(LinkError::Unexpected),
            };
            self.awaited = (count < self.sent).then(Instant::now);
        }
        match self.awaited {
            Some(since) if since.elapsed() >= shared.config.ack_timeout => Err(LinkError::Timeout),
            _ => Ok(()),
        }
    }
}
