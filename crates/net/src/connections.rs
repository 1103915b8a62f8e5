//! Places for connections before and after the handshake.

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

/// The open connections of a server.
#[derive(Default)]
pub(crate) struct Slots {
    state: Mutex<State>,
    ended: Condvar,
}

#[derive(Default)]
struct State {
    next: u64,
    open: HashMap<u64, Place>,
    per_ip: HashMap<IpAddr, usize>,
    unfinished: usize,
    closing: bool,
}

struct Place {
    stream: Arc<TcpStream>,
    /// The source, until the handshake is finished.
    unfinished: Option<IpAddr>,
}

impl Slots {
    /// Takes a place for a connection that was just accepted, or names the limit that is
    /// reached.
    pub(crate) fn enter(
        self: &Arc<Self>,
        ip: IpAddr,
        stream: Arc<TcpStream>,
        limits: &ServerLimits,
    ) -> Result<Slot, &'static str> {
        let mut state = self.lock();
        if state.closing {
            return Err("closing");
        }
        if state.unfinished >= limits.max_handshakes {
            return Err("unfinished");
        }
        let from_ip = state.per_ip.entry(ip).or_default();
        if *from_ip >= limits.handshakes_per_ip {
            return Err("unfinished_per_ip");
        }
        *from_ip += 1;
        state.unfinished += 1;
        let id = state.next;
        state.next += 1;
        let place = Place {
            stream,
            unfinished: Some(ip),
        };
        state.open.insert(id, place);
        Ok(Slot {
            slots: self.clone(),
            id,
        })
    }

    /// Returns the number of connections whose handshake is finished.
    pub(crate) fn finished(&self) -> usize {
        let state = self.lock();
        state.open.len() - state.unfinished
    }

    /// Closes all connections and waits until their threads have ended.
    pub(crate) fn close(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        let mut state = self.lock();
        state.closing = true;
        for place in state.open.values() {
            // An error means that the peer has closed the connection already.
            let _ = place.stream.shutdown(std::net::Shutdown::Both);
        }
        while !state.open.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            state = self
                .ended
                .wait_timeout(state, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The place of one connection; dropped when the connection ends.
pub(crate) struct Slot {
    slots: Arc<Slots>,
    id: u64,
}

impl Slot {
    /// Moves the connection to the authenticated ones. Reports whether there is room.
    pub(crate) fn finish(&self, limits: &ServerLimits) -> bool {
        let mut state = self.slots.lock();
        let finished = state.open.len() - state.unfinished;
        if finished >= limits.max_connections {
            return false;
        }
        let ip = state
            .open
            .get_mut(&self.id)
            .and_then(|place| place.unfinished.take());
        state.forget(ip);
        true
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.slots.lock();
        let place = state.open.remove(&self.id);
        state.forget(place.and_then(|place| place.unfinished));
        drop(state);
        self.slots.ended.notify_all();
    }
}

impl State {
    fn forget(&mut self, ip: Option<IpAddr>) {
        let Some(ip) = ip else { return };
        self.unfinished -= 1;
        if let Some(count) = self.per_ip.get_mut(&ip) {
            *count -= 1;
            if *count == 0 {
                self.per_ip.remove(&ip);
            }
        }
    }
}
