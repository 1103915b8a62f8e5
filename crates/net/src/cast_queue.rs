//! One-way messages: a bounded queue and a writer thread for each peer.

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
    connection::{
        Connection,
        Limit, //
    },
    error::ConnectionError, //
};

/// Stack size of a writer thread in bytes. It runs no handler.
const WRITER_STACK_SIZE: usize = 128 * 1024;

/// Maximum bytes of messages in one write, unless the first message alone is longer.
const MAX_BATCH_BYTES: usize = 64 * 1024;

/// Interval at which a writer polls for acknowledgements while any are outstanding.
const ACK_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Cast queues of all peers.
pub(crate) struct CastQueues {
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

/// Queue of one peer. It exists as long as the writer thread of the peer runs.
struct Queue {
    messages: VecDeque<Vec<u8>>,
    bytes: usize,
    last_push: Instant,
    changed: Arc<Condvar>,
}

impl CastQueues {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        CastQueues {
            shared,
            queues: Arc::default(),
        }
    }

    pub(crate) fn push(&self, to: SocketAddr, message: Vec<u8>) {
        let config = &self.shared.config;
        if message.len() > config.max_payload.min(config.cast_bytes) {
            self.shared.casts_dropped.add(1);
            return;
        }
        let mut state = self.queues.lock();
        if state.closing {
            return;
        }
        let mut new_queue = None;
        let queue = state.peers.entry(to).or_insert_with(|| {
            let changed = Arc::new(Condvar::new());
            new_queue = Some(changed.clone());
            Queue {
                messages: VecDeque::new(),
                bytes: 0,
                last_push: Instant::now(),
                changed,
            }
        });
        queue.bytes += message.len();
        queue.messages.push_back(message);
        queue.last_push = Instant::now();
        while queue.messages.len() > config.cast_queue || queue.bytes > config.cast_bytes {
            let Some(oldest) = queue.messages.pop_front() else {
                break;
            };
            queue.bytes -= oldest.len();
            self.shared.casts_dropped.add(1);
        }
        queue.changed.notify_one();
        if let Some(changed) = new_queue {
            let writer = Writer {
                shared: self.shared.clone(),
                queues: self.queues.clone(),
                to,
                changed,
                backoff: config.backoff_min,
            };
            let spawned = thread::Builder::new()
                .name("peer-cast".into())
                .stack_size(WRITER_STACK_SIZE)
                .spawn(move || writer.run());
            if spawned.is_err() {
                state.remove_queue(to, &self.shared);
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
    fn remove_queue(&mut self, to: SocketAddr, shared: &Shared) {
        if let Some(queue) = self.peers.remove(&to) {
            shared.casts_dropped.add(queue.messages.len());
        }
    }
}

/// Next action of a writer.
enum Work {
    /// Write the messages.
    Batch(Vec<Vec<u8>>),
    /// Read acknowledgements that have arrived.
    ReadAcks,
    /// Exit, because no message was queued for the writer timeout or the client was dropped. The
    /// queue has been removed.
    Exit,
}

struct Writer {
    shared: Arc<Shared>,
    queues: Arc<Queues>,
    to: SocketAddr,
    changed: Arc<Condvar>,
    backoff: Duration,
}

/// Connection of a writer, with the state of acknowledgements.
struct CastConnection {
    connection: Connection,
    sent: u64,
    /// Start of the current wait for an acknowledgement, if casts are outstanding.
    unacked_since: Option<Instant>,
}

impl Writer {
    fn run(mut self) {
        let mut connection = None;
        loop {
            let awaiting_ack = connection
                .as_ref()
                .is_some_and(|c: &CastConnection| c.unacked_since.is_some());
            match self.next_work(awaiting_ack) {
                Work::Exit => return,
                Work::ReadAcks => {}
                Work::Batch(batch) => {
                    // The peer may have restarted and closed the connection since the last write.
                    if connection
                        .as_mut()
                        .is_some_and(|c| c.read_acks(&self.shared).is_err())
                    {
                        connection = None;
                    }
                    if connection.is_none() {
                        connection = self.connect();
                    }
                    match &mut connection {
                        Some(open) => {
                            if let Err(error) = open.send(&batch, &self.shared) {
                                self.shared.traffic.refused.add(error.reason());
                                self.shared.casts_dropped.add(batch.len());
                                connection = None;
                            }
                        }
                        None => self.shared.casts_dropped.add(batch.len()),
                    }
                }
            }
            if let Some(Err(error)) = connection.as_mut().map(|c| c.read_acks(&self.shared)) {
                self.shared.traffic.refused.add(error.reason());
                connection = None;
            }
        }
    }

    /// Waits for messages, for the next poll or for the end of the writer.
    fn next_work(&self, awaiting_ack: bool) -> Work {
        let config = &self.shared.config;
        let mut state = self.queues.lock();
        let mut poll_due = false;
        loop {
            let closing = state.closing;
            let Some(queue) = state.peers.get_mut(&self.to) else {
                return Work::Exit;
            };
            let idle = queue.last_push.elapsed();
            if closing || (queue.messages.is_empty() && idle >= config.writer_timeout) {
                state.remove_queue(self.to, &self.shared);
                return Work::Exit;
            }
            let batch = queue.take_batch();
            if !batch.is_empty() {
                return Work::Batch(batch);
            }
            if poll_due {
                return Work::ReadAcks;
            }
            let remaining = config.writer_timeout - idle;
            let wait = if awaiting_ack {
                remaining.min(ACK_POLL_INTERVAL)
            } else {
                remaining
            };
            let (guard, result) = self
                .changed
                .wait_timeout(state, wait)
                .unwrap_or_else(PoisonError::into_inner);
            state = guard;
            poll_due = awaiting_ack && result.timed_out();
        }
    }

    /// Connects. After a failure, waits with exponential backoff before it returns `None`.
    fn connect(&mut self) -> Option<CastConnection> {
        let config = &self.shared.config;
        match self
            .shared
            .connect(self.to, Instant::now() + config.connect_timeout)
        {
            Ok(connection) => {
                self.backoff = config.backoff_min;
                Some(CastConnection {
                    connection,
                    sent: 0,
                    unacked_since: None,
                })
            }
            Err((_, error)) => {
                self.shared.traffic.refused.add(error.reason());
                let deadline = Instant::now() + self.backoff;
                self.backoff = (self.backoff * 2).min(config.backoff_max);
                let mut state = self.queues.lock();
                while !state.closing {
                    let remaining = deadline.saturating_duration_since(Instant::now());
                    if remaining.is_zero() {
                        break;
                    }
                    state = self
                        .changed
                        .wait_timeout(state, remaining)
                        .unwrap_or_else(PoisonError::into_inner)
                        .0;
                }
                None
            }
        }
    }
}

impl Queue {
    fn take_batch(&mut self) -> Vec<Vec<u8>> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        while let Some(message) = self.messages.front() {
            if !batch.is_empty() && bytes + message.len() > MAX_BATCH_BYTES {
                break;
            }
            bytes += message.len();
            batch.extend(self.messages.pop_front());
        }
        self.bytes -= bytes;
        batch
    }
}

impl CastConnection {
    fn send(&mut self, batch: &[Vec<u8>], shared: &Shared) -> Result<(), ConnectionError> {
        for message in batch {
            self.connection.queue(FrameKind::Cast, message)?;
        }
        self.connection
            .flush(Limit::Silence(shared.config.write_timeout))
            .map_err(|error| error.kind)?;
        self.sent += batch.len() as u64;
        self.unacked_since.get_or_insert_with(Instant::now);
        shared.traffic.messages_out.add(batch.len());
        Ok(())
    }

    /// Processes the acknowledgements that have arrived. Fails if one is overdue or the peer has
    /// closed the connection.
    fn read_acks(&mut self, shared: &Shared) -> Result<(), ConnectionError> {
        while let Some(frame) = self.connection.try_read()? {
            let acked = match (frame.kind, <[u8; 8]>::try_from(frame.payload)) {
                (FrameKind::Ack, Ok(bytes)) => u64::from_be_bytes(bytes),
                _ => return Err(ConnectionError::Unexpected),
            };
            self.unacked_since = (acked < self.sent).then(Instant::now);
        }
        match self.unacked_since {
            Some(since) if since.elapsed() >= shared.config.ack_timeout => {
                Err(ConnectionError::Timeout)
            }
            _ => Ok(()),
        }
    }
}
