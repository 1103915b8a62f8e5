//! Network partitions between failure domains.

use std::{
    collections::HashMap,
    net::{
        Shutdown,
        TcpStream, //
    },
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};

use serde::Serialize;

/// Interval at which a connection that waits for a partition to heal checks whether it was closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A one-way partition: data sent from one domain to the other is held back until it heals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Partition {
    /// Sending domain; every domain other than `to` if `None`.
    pub from: Option<Box<str>>,
    /// Receiving domain; every domain other than `from` if `None`.
    pub to: Option<Box<str>>,
}

impl Partition {
    fn blocks(&self, from: &str, to: &str) -> bool {
        let matches = |side: &Option<Box<str>>, name: &str| match side {
            Some(side) => &**side == name,
            None => true,
        };
        // Traffic within a domain is never blocked.
        from != to && matches(&self.from, from) && matches(&self.to, to)
    }
}

/// The active partitions and the connections they affect.
#[derive(Debug, Default)]
pub struct Partitions {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    active: Vec<Partition>,
    directions: HashMap<(Box<str>, Box<str>), Arc<DirectionState>>,
    connections: HashMap<u64, Connection>,
    next_id: u64,
}

#[derive(Debug)]
struct Connection {
    direction: Arc<DirectionState>,
    streams: Vec<TcpStream>,
    closed: Arc<AtomicBool>,
}

/// One direction between two domains.
#[derive(Debug)]
pub(crate) struct DirectionState {
    from: Box<str>,
    to: Box<str>,
    blocked: Mutex<bool>,
    changed: Condvar,
}

impl DirectionState {
    /// Waits while the direction is blocked. Returns false if `is_closed` returns true before
    /// the partition heals.
    pub(crate) fn wait_until_open(&self, mut is_closed: impl FnMut() -> bool) -> bool {
        let mut blocked = lock(&self.blocked);
        while *blocked {
            if is_closed() {
                return false;
            }
            let waited = self.changed.wait_timeout(blocked, CLOSE_POLL_INTERVAL);
            (blocked, _) = waited.unwrap_or_else(PoisonError::into_inner);
        }
        true
    }

    fn set_blocked(&self, blocked: bool) {
        *lock(&self.blocked) = blocked;
        self.changed.notify_all();
    }
}

/// Unregisters a connection when dropped.
pub(crate) struct ConnectionGuard<'a> {
    partitions: &'a Partitions,
    id: u64,
    closed: Arc<AtomicBool>,
}

impl ConnectionGuard<'_> {
    /// Returns whether the connection was closed by [`Partitions::close_connections`].
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    pub(crate) fn add_stream(&self, stream: TcpStream) {
        if let Some(connection) = lock(&self.partitions.state).connections.get_mut(&self.id) {
            connection.streams.push(stream);
        }
    }
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        lock(&self.partitions.state).connections.remove(&self.id);
    }
}

impl Partitions {
    /// Adds a partition. Connections stay open, but no data passes in its direction.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_standin::{Partition, Partitions};
    ///
    /// let partitions = Partitions::default();
    /// let partition = Partition { from: Some("a".into()), to: None };
    /// partitions.add(partition.clone());
    /// assert_eq!(partitions.active(), [partition]);
    /// partitions.heal(Some("a"));
    /// assert!(partitions.active().is_empty());
    /// ```
    pub fn add(&self, partition: Partition) {
        let mut state = lock(&self.state);
        if !state.active.contains(&partition) {
            state.active.push(partition);
        }
        state.apply();
    }

    /// Removes the partitions that name `domain`, or all if it is `None`.
    pub fn heal(&self, domain: Option<&str>) {
        let mut state = lock(&self.state);
        state.active.retain(|partition| {
            let named = [partition.from.as_deref(), partition.to.as_deref()];
            domain.is_some() && !named.contains(&domain)
        });
        state.apply();
    }

    /// Closes the connections from or to `domain`, or all if it is `None`. Returns how many
    /// were closed.
    pub fn close_connections(&self, domain: Option<&str>) -> usize {
        let state = lock(&self.state);
        let affected = state.connections.values().filter(|connection| {
            let direction = &connection.direction;
            domain.is_none_or(|name| name == &*direction.from || name == &*direction.to)
        });
        let close = |connection: &Connection| {
            connection.closed.store(true, Ordering::SeqCst);
            for stream in &connection.streams {
                let _ = stream.shutdown(Shutdown::Both);
            }
        };
        affected.map(close).count()
    }

    /// Returns the active partitions.
    pub fn active(&self) -> Vec<Partition> {
        lock(&self.state).active.clone()
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        lock(&self.state).connections.len()
    }

    /// Returns the state of one direction between two domains.
    pub(crate) fn direction(&self, from: &str, to: &str) -> Arc<DirectionState> {
        let mut state = lock(&self.state);
        let blocked = state
            .active
            .iter()
            .any(|partition| partition.blocks(from, to));
        let entry = state.directions.entry((from.into(), to.into()));
        let direction = entry.or_insert_with(|| {
            Arc::new(DirectionState {
                from: from.into(),
                to: to.into(),
                blocked: Mutex::new(blocked),
                changed: Condvar::new(),
            })
        });
        direction.clone()
    }

    pub(crate) fn register(
        &self,
        direction: &Arc<DirectionState>,
        stream: TcpStream,
    ) -> ConnectionGuard<'_> {
        let mut state = lock(&self.state);
        let id = state.next_id;
        state.next_id += 1;
        let connection = Connection {
            direction: direction.clone(),
            streams: vec![stream],
            closed: Arc::default(),
        };
        let closed = connection.closed.clone();
        state.connections.insert(id, connection);
        ConnectionGuard {
            partitions: self,
            id,
            closed,
        }
    }
}

impl State {
    fn apply(&self) {
        for direction in self.directions.values() {
            direction.set_blocked(
                self.active
                    .iter()
                    .any(|partition| partition.blocks(&direction.from, &direction.to)),
            );
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
