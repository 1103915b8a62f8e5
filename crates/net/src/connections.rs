//! Admission of connections before and after the handshake, within the limits of the server.

use std::{
    collections::HashMap,
    net::{
        IpAddr,
        TcpStream, //
    },
    sync::{
        Arc,
        Condvar,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::config::ServerLimits;

/// Open connections of a server.
#[derive(Default)]
pub(crate) struct Connections {
    state: Mutex<State>,
    closed: Condvar,
}

#[derive(Default)]
struct State {
    next_id: u64,
    open: HashMap<u64, OpenConnection>,
    ip_counts: HashMap<IpAddr, usize>,
    /// Number of connections whose handshake is in progress.
    handshakes: usize,
    closing: bool,
}

struct OpenConnection {
    stream: Arc<TcpStream>,
    /// The source address while the handshake is in progress, then `None`.
    handshake_ip: Option<IpAddr>,
}

impl Connections {
    /// Admits a connection that was just accepted. Returns the metrics label of the exceeded limit
    /// if it is rejected.
    pub(crate) fn admit(
        self: &Arc<Self>,
        ip: IpAddr,
        stream: Arc<TcpStream>,
        limits: &ServerLimits,
    ) -> Result<ConnectionSlot, &'static str> {
        let mut state = self.lock();
        if state.closing {
            return Err("closing");
        }
        if state.handshakes >= limits.max_handshakes {
            return Err("unfinished");
        }
        let ip_handshakes = state.ip_counts.entry(ip).or_default();
        if *ip_handshakes >= limits.ip_limit {
            return Err("unfinished_per_ip");
        }
        *ip_handshakes += 1;
        state.handshakes += 1;
        let id = state.next_id;
        state.next_id += 1;
        let connection = OpenConnection {
            stream,
            handshake_ip: Some(ip),
        };
        state.open.insert(id, connection);
        Ok(ConnectionSlot {
            connections: self.clone(),
            id,
        })
    }

    /// Returns the number of authenticated connections.
    pub(crate) fn authenticated(&self) -> usize {
        let state = self.lock();
        state.open.len() - state.handshakes
    }

    /// Closes all connections and waits up to `timeout` until their threads have ended.
    pub(crate) fn close(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let mut state = self.lock();
        state.closing = true;
        for connection in state.open.values() {
            // Fails if the peer has already closed the connection.
            let _ = connection.stream.shutdown(std::net::Shutdown::Both);
        }
        while !state.open.is_empty() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return;
            }
            state = self
                .closed
                .wait_timeout(state, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Registration of one open connection; removed on drop.
pub(crate) struct ConnectionSlot {
    connections: Arc<Connections>,
    id: u64,
}

impl ConnectionSlot {
    /// Counts the connection as authenticated. Returns false if the server is at its limit of
    /// authenticated connections.
    pub(crate) fn finish_handshake(&self, limits: &ServerLimits) -> bool {
        let mut state = self.connections.lock();
        let authenticated = state.open.len() - state.handshakes;
        if authenticated >= limits.max_connections {
            return false;
        }
        let ip = state
            .open
            .get_mut(&self.id)
            .and_then(|connection| connection.handshake_ip.take());
        state.end_handshake(ip);
        true
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut state = self.connections.lock();
        let connection = state.open.remove(&self.id);
        state.end_handshake(connection.and_then(|connection| connection.handshake_ip));
        drop(state);
        self.connections.closed.notify_all();
    }
}

impl State {
    fn end_handshake(&mut self, ip: Option<IpAddr>) {
        let Some(ip) = ip else { return };
        self.handshakes -= 1;
        if let Some(count) = self.ip_counts.get_mut(&ip) {
            *count -= 1;
            if *count == 0 {
                self.ip_counts.remove(&ip);
            }
        }
    }
}
