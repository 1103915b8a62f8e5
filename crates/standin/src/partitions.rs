//! Cuts between failure domains.

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

/// Time between two looks at whether a connection that waits for a heal has ended.
const GONE_POLL: Duration = Duration::from_millis(100);

/// Everything that is sent from one domain to another passes nothing while it is cut.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Cut {
    /// Sending domain; any other domain than `to` if none.
    pub from: Option<Box<str>>,
    /// Receiving domain; any other domain than `from` if none.
    pub to: Option<Box<str>>,
}

impl Cut {
    fn hits(&self, from: &str, to: &str) -> bool {
        let matches = |side: &Option<Box<str>>, name: &str| match side {
            Some(side) => &**side == name,
            None => true,
        };
        // A cut separates domains; what stays within one is not touched.
        from != to && matches(&self.from, from) && matches(&self.to, to)
    }
}

/// The cuts in force and the connections they act on.
#[derive(Debug, Default)]
pub struct Cuts {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    cuts: Vec<Cut>,
    paths: HashMap<(Box<str>, Box<str>), Arc<PathState>>,
    connections: HashMap<u64, Connection>,
    next: u64,
}

#[derive(Debug)]
struct Connection {
    path: Arc<PathState>,
    streams: Vec<TcpStream>,
    closed: Arc<AtomicBool>,
}

/// One direction between two domains.
#[derive(Debug)]
pub(crate) struct PathState {
    from: Box<str>,
    to: Box<str>,
    cut: Mutex<bool>,
    changed: Condvar,
}

impl PathState {
    /// Waits while the direction is cut. Returns false if `is_gone` became true before it
    /// healed.
    pub(crate) fn wait_open(&self, mut is_gone: impl FnMut() -> bool) -> bool {
        let mut cut = lock(&self.cut);
        while *cut {
            if is_gone() {
                return false;
            }
            let waited = self.changed.wait_timeout(cut, GONE_POLL);
            (cut, _) = waited.unwrap_or_else(PoisonError::into_inner);
        }
        true
    }

    fn set(&self, cut: bool) {
        *lock(&self.cut) = cut;
        self.changed.notify_all();
    }
}

/// Removes a connection from the list when it ends.
pub(crate) struct Ticket<'a> {
    cuts: &'a Cuts,
    id: u64,
    closed: Arc<AtomicBool>,
}

impl Ticket<'_> {
    /// Tells whether the connection was closed by a reset.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    pub(crate) fn add(&self, stream: TcpStream) {
        if let Some(connection) = lock(&self.cuts.state).connections.get_mut(&self.id) {
            connection.streams.push(stream);
        }
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        lock(&self.cuts.state).connections.remove(&self.id);
    }
}

impl Cuts {
    /// Adds a cut; connections stay open and pass nothing in its direction.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_standin::{Cut, Cuts};
    ///
    /// let cuts = Cuts::default();
    /// let cut = Cut { from: Some("a".into()), to: None };
    /// cuts.add(cut.clone());
    /// assert_eq!(cuts.list(), [cut]);
    /// cuts.heal(Some("a"));
    /// assert!(cuts.list().is_empty());
    /// ```
    pub fn add(&self, cut: Cut) {
        let mut state = lock(&self.state);
        if !state.cuts.contains(&cut) {
            state.cuts.push(cut);
        }
        state.update();
    }

    /// Removes the cuts that name `domain`, or all if there is none.
    pub fn heal(&self, domain: Option<&str>) {
        let mut state = lock(&self.state);
        state.cuts.retain(|cut| {
            let named = [cut.from.as_deref(), cut.to.as_deref()];
            domain.is_some() && !named.contains(&domain)
        });
        state.update();
    }

    /// Closes the connections from or to `domain`, or all if there is none; returns their
    /// number.
    pub fn reset(&self, domain: Option<&str>) -> usize {
        let state = lock(&self.state);
        let hit = state.connections.values().filter(|connection| {
            let path = &connection.path;
            domain.is_none_or(|name| name == &*path.from || name == &*path.to)
        });
        let close = |connection: &Connection| {
            connection.closed.store(true, Ordering::SeqCst);
            for stream in &connection.streams {
                let _ = stream.shutdown(Shutdown::Both);
            }
        };
        hit.map(close).count()
    }

    /// Returns the cuts in force.
    pub fn list(&self) -> Vec<Cut> {
        lock(&self.state).cuts.clone()
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        lock(&self.state).connections.len()
    }

    /// Returns the state of one direction.
    pub(crate) fn path(&self, from: &str, to: &str) -> Arc<PathState> {
        let mut state = lock(&self.state);
        let cut = state.cuts.iter().any(|cut| cut.hits(from, to));
        let entry = state.paths.entry((from.into(), to.into()));
        let path = entry.or_insert_with(|| {
            Arc::new(PathState {
                from: from.into(),
                to: to.into(),
                cut: Mutex::new(cut),
                changed: Condvar::new(),
            })
        });
        path.clone()
    }

    pub(crate) fn register(&self, path: &Arc<PathState>, stream: TcpStream) -> Ticket<'_> {
        let mut state = lock(&self.state);
        let id = state.next;
        state.next += 1;
        let connection = Connection {
            path: path.clone(),
            streams: vec![stream],
            closed: Arc::default(),
        };
        let closed = connection.closed.clone();
        state.connections.insert(id, connection);
        Ticket {
            cuts: self,
            id,
            closed,
        }
    }
}

impl State {
    fn update(&self) {
        for path in self.paths.values() {
            path.set(self.cuts.iter().any(|cut| cut.hits(&path.from, &path.to)));
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
