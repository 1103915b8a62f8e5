//! Requests under way: where the router's effects for a request wait for the thread that serves
//! it.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    sync::{
        Arc,
        Condvar,
        Mutex, //
    },
    time::Instant,
};

use camphordale_http::AbortHandle;
use camphordale_route::Effect;
use camphordale_types::RequestId;

use crate::sync::lock;

/// Number of independently locked maps.
const STRIPES: usize = 16;

/// The requests under way on this VM.
pub(crate) struct Flights {
    stripes: Vec<Mutex<HashMap<RequestId, Arc<Flight>>>>,
}

/// One request under way.
pub(crate) struct Flight {
    waiting: Mutex<Waiting>,
    wake: Condvar,
}

#[derive(Default)]
struct Waiting {
    effects: VecDeque<Effect>,
    aborter: Option<AbortHandle>,
    aborted: bool,
}

impl Flights {
    pub(crate) fn new() -> Self {
        Flights {
            stripes: (0..STRIPES).map(|_| Mutex::default()).collect(),
        }
    }

    pub(crate) fn start(&self, id: RequestId) -> Arc<Flight> {
        let flight = Arc::new(Flight {
            waiting: Mutex::default(),
            wake: Condvar::new(),
        });
        lock(self.stripe(id)).insert(id, Arc::clone(&flight));
        flight
    }

    pub(crate) fn end(&self, id: RequestId) {
        lock(self.stripe(id)).remove(&id);
    }

    pub(crate) fn len(&self) -> usize {
        self.stripes.iter().map(|stripe| lock(stripe).len()).sum()
    }

    /// Hands an effect to the thread that serves the request.
    pub(crate) fn deliver(&self, id: RequestId, effect: Effect) {
        let flight = lock(self.stripe(id)).get(&id).cloned();
        if let Some(flight) = flight {
            lock(&flight.waiting).effects.push_back(effect);
            flight.wake.notify_one();
        }
    }

    /// Ends a running exchange of the request.
    pub(crate) fn abort(&self, id: RequestId) {
        let flight = lock(self.stripe(id)).get(&id).cloned();
        if let Some(flight) = flight {
            let mut waiting = lock(&flight.waiting);
            waiting.aborted = true;
            if let Some(aborter) = &waiting.aborter {
                aborter.abort();
            }
        }
    }

    fn stripe(&self, id: RequestId) -> &Mutex<HashMap<RequestId, Arc<Flight>>> {
        &self.stripes[(id as usize) % STRIPES]
    }
}

impl Flight {
    /// Waits for the next effect of the request until `deadline`.
    pub(crate) fn next(&self, deadline: Instant) -> Option<Effect> {
        let mut waiting = lock(&self.waiting);
        loop {
            if let Some(effect) = waiting.effects.pop_front() {
                return Some(effect);
            }
            let left = deadline.checked_duration_since(Instant::now())?;
            waiting = self
                .wake
                .wait_timeout(waiting, left)
                .map(|(guard, _)| guard)
                .unwrap_or_else(|poisoned| poisoned.into_inner().0);
        }
    }

    /// Sets what ends the exchange that is about to start; false if it was aborted already.
    pub(crate) fn arm(&self, aborter: AbortHandle) -> bool {
        let mut waiting = lock(&self.waiting);
        waiting.aborter = Some(aborter);
        !waiting.aborted
    }

    pub(crate) fn disarm(&self) {
        let mut waiting = lock(&self.waiting);
        waiting.aborter = None;
        waiting.aborted = false;
    }
}
