//! Requests that have not ended. Other threads queue the router's effects for a request here
//! until the thread that serves it takes them.

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

/// Number of independently locked maps, so that requests rarely contend for one lock.
const STRIPES: usize = 16;

/// The requests of this VM that have not ended.
pub(crate) struct InFlightRequests {
    stripes: Vec<Mutex<HashMap<RequestId, Arc<InFlightRequest>>>>,
}

/// One request that has not ended.
pub(crate) struct InFlightRequest {
    state: Mutex<RequestState>,
    effect_queued: Condvar,
}

#[derive(Default)]
struct RequestState {
    effects: VecDeque<Effect>,
    /// Ends the current exchange with a target.
    abort_handle: Option<AbortHandle>,
    aborted: bool,
}

impl InFlightRequests {
    pub(crate) fn new() -> Self {
        InFlightRequests {
            stripes: (0..STRIPES).map(|_| Mutex::default()).collect(),
        }
    }

    pub(crate) fn register(&self, id: RequestId) -> Arc<InFlightRequest> {
        let request = Arc::new(InFlightRequest {
            state: Mutex::default(),
            effect_queued: Condvar::new(),
        });
        lock(self.stripe(id)).insert(id, Arc::clone(&request));
        request
    }

    pub(crate) fn remove(&self, id: RequestId) {
        lock(self.stripe(id)).remove(&id);
    }

    pub(crate) fn len(&self) -> usize {
        self.stripes.iter().map(|stripe| lock(stripe).len()).sum()
    }

    /// Queues an effect for the thread that serves the request and wakes it.
    pub(crate) fn deliver(&self, id: RequestId, effect: Effect) {
        let request = lock(self.stripe(id)).get(&id).cloned();
        if let Some(request) = request {
            lock(&request.state).effects.push_back(effect);
            request.effect_queued.notify_one();
        }
    }

    /// Aborts the request's exchange with a target, also one that is about to start.
    pub(crate) fn abort(&self, id: RequestId) {
        let request = lock(self.stripe(id)).get(&id).cloned();
        if let Some(request) = request {
            let mut state = lock(&request.state);
            state.aborted = true;
            if let Some(abort_handle) = &state.abort_handle {
                abort_handle.abort();
            }
        }
    }

    fn stripe(&self, id: RequestId) -> &Mutex<HashMap<RequestId, Arc<InFlightRequest>>> {
        &self.stripes[(id as usize) % STRIPES]
    }
}

impl InFlightRequest {
    /// Waits for the next effect of the request until `deadline`.
    pub(crate) fn next_effect(&self, deadline: Instant) -> Option<Effect> {
        let mut state = lock(&self.state);
        loop {
            if let Some(effect) = state.effects.pop_front() {
                return Some(effect);
            }
            let remaining = deadline.checked_duration_since(Instant::now())?;
            state = self
                .effect_queued
                .wait_timeout(state, remaining)
                .map(|(guard, _)| guard)
                .unwrap_or_else(|poisoned| poisoned.into_inner().0);
        }
    }

    /// Sets the abort handle of the exchange that is about to start. Returns false if the exchange
    /// has already been aborted.
    pub(crate) fn set_abort_handle(&self, abort_handle: AbortHandle) -> bool {
        let mut state = lock(&self.state);
        state.abort_handle = Some(abort_handle);
        !state.aborted
    }

    /// Removes the abort handle and clears an abort of the exchange that has ended.
    pub(crate) fn clear_abort_handle(&self) {
        let mut state = lock(&self.state);
        state.abort_handle = None;
        state.aborted = false;
    }
}
