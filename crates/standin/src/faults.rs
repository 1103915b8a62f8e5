//! Fault injection in a target.

use std::{
    collections::BTreeMap,
    sync::{
        Condvar,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use serde::Serialize;

/// Maximum time that a request waits for another one to swap responses with.
const SWAP_TIMEOUT: Duration = Duration::from_millis(200);

/// A fault that affects a share of the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The request is refused as not run.
    Shed,
    /// The response is truncated.
    Truncate,
    /// The response is sent after the deadline.
    Late,
    /// The response is swapped with that of another request.
    Swap,
    /// The response carries a wrong request id.
    WrongId,
}

/// Active faults of a target, shared by its threads.
#[derive(Debug, Default)]
pub struct FaultInjector {
    state: Mutex<FaultState>,
    changed: Condvar,
}

/// Active faults that affect all requests, as shown by the `stats` endpoint.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct FaultSettings {
    /// Whether the target sends no responses and does not renew its session.
    pub frozen: bool,
    /// Milliseconds added to the processing time of each request.
    pub slow_ms: u64,
    /// Delay of late responses past their deadline, in milliseconds.
    pub late_ms: u64,
    /// Whether the target reports zero load in its renewals.
    #[serde(rename = "lie")]
    pub hide_load: bool,
}

#[derive(Debug, Default)]
struct FaultState {
    settings: FaultSettings,
    shares: BTreeMap<Fault, Share>,
    pending_swap: Option<(u64, SwappedResponse)>,
    swapped: BTreeMap<u64, SwappedResponse>,
    next_ticket: u64,
}

#[derive(Clone, Copy, Debug)]
struct Share {
    share: f64,
    requests: u64,
}

/// Request id and body of a response that is swapped.
pub type SwappedResponse = (Box<str>, Vec<u8>);

impl FaultInjector {
    fn lock(&self) -> MutexGuard<'_, FaultState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current settings.
    pub fn settings(&self) -> FaultSettings {
        self.lock().settings
    }

    /// Changes the settings and wakes the threads that wait for a thaw.
    pub fn update(&self, change: impl FnOnce(&mut FaultSettings)) {
        change(&mut self.lock().settings);
        self.changed.notify_all();
    }

    /// Injects `fault` into a `share` (0.0 to 1.0) of the requests from now on.
    pub fn set_share(&self, fault: Fault, share: f64) {
        let mut state = self.lock();
        state.shares.remove(&fault);
        if share > 0.0 {
            state.shares.insert(fault, Share { share, requests: 0 });
        }
    }

    /// Disables all faults.
    pub fn clear(&self) {
        let mut state = self.lock();
        state.settings = FaultSettings::default();
        state.shares.clear();
        drop(state);
        self.changed.notify_all();
    }

    /// Returns whether to inject `fault` into the current request. Injections are spread evenly
    /// over the requests, so that runs are reproducible.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_standin::{Fault, FaultInjector};
    ///
    /// let faults = FaultInjector::default();
    /// faults.set_share(Fault::Shed, 0.5);
    /// let hits: Vec<bool> = (0..4).map(|_| faults.should_inject(Fault::Shed)).collect();
    /// assert_eq!(hits, [false, true, false, true]);
    /// ```
    pub fn should_inject(&self, fault: Fault) -> bool {
        let mut state = self.lock();
        let Some(share) = state.shares.get_mut(&fault) else {
            return false;
        };
        let before = (share.requests as f64 * share.share) as u64;
        share.requests += 1;
        (share.requests as f64 * share.share) as u64 > before
    }

    /// Waits while the target is frozen.
    pub fn wait_until_thawed(&self) {
        let mut state = self.lock();
        while state.settings.frozen {
            let waited = self.changed.wait(state);
            state = waited.unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Waits for `work_time` plus the injected delay; returns early when the delay is removed.
    pub fn simulate_work(&self, work_time: Duration) {
        let started = Instant::now();
        let mut state = self.lock();
        loop {
            let slow = Duration::from_millis(state.settings.slow_ms);
            let left = (work_time + slow).saturating_sub(started.elapsed());
            if left.is_zero() {
                return;
            }
            let waited = self.changed.wait_timeout(state, left);
            (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Swaps `response` with that of the next request that calls this within a bounded time.
    /// Returns `response` itself if there is none.
    pub fn swap_response(&self, response: SwappedResponse) -> SwappedResponse {
        let mut state = self.lock();
        if let Some((ticket, other)) = state.pending_swap.take() {
            state.swapped.insert(ticket, response);
            drop(state);
            self.changed.notify_all();
            return other;
        }
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.pending_swap = Some((ticket, response.clone()));
        let waiting = |state: &mut FaultState| !state.swapped.contains_key(&ticket);
        let waited = self
            .changed
            .wait_timeout_while(state, SWAP_TIMEOUT, waiting);
        let (mut state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        match state.swapped.remove(&ticket) {
            Some(other) => other,
            None => {
                state.pending_swap = None;
                response
            }
        }
    }
}
