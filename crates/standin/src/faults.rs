//! Faults that tests switch on in a target.

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

/// Longest time that a request waits for another one to swap answers with.
const SWAP_TIMEOUT: Duration = Duration::from_millis(200);

/// A fault that hits a share of the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Answered as shed.
    Shed,
    /// Answered short.
    Truncate,
    /// Answered after the deadline.
    Late,
    /// Answered with the answer of another request.
    Swap,
    /// Answered with a wrong request id.
    WrongId,
}

/// The faults in force.
#[derive(Debug, Default)]
pub struct FaultInjector {
    state: Mutex<FaultState>,
    changed: Condvar,
}

/// Faults in force, as shown by the `stats` endpoint.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct FaultSettings {
    /// Whether nothing is answered and the session is not renewed.
    pub frozen: bool,
    /// Milliseconds added to each run.
    pub slow_ms: u64,
    /// Milliseconds past the deadline at which late answers are sent.
    pub late_ms: u64,
    /// Whether the target reports no load.
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

/// Request id and body of an answer that is swapped.
pub type SwappedResponse = (Box<str>, Vec<u8>);

impl FaultInjector {
    fn lock(&self) -> MutexGuard<'_, FaultState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the settings.
    pub fn settings(&self) -> FaultSettings {
        self.lock().settings
    }

    /// Changes the settings and wakes everyone who waits for a thaw.
    pub fn update(&self, change: impl FnOnce(&mut FaultSettings)) {
        change(&mut self.lock().settings);
        self.changed.notify_all();
    }

    /// Lets `fault` hit `share` (0.0 to 1.0) of the requests from now on.
    pub fn set_share(&self, fault: Fault, share: f64) {
        let mut state = self.lock();
        state.shares.remove(&fault);
        if share > 0.0 {
            state.shares.insert(fault, Share { share, requests: 0 });
        }
    }

    /// Switches all faults off.
    pub fn clear(&self) {
        let mut state = self.lock();
        state.settings = FaultSettings::default();
        state.shares.clear();
        drop(state);
        self.changed.notify_all();
    }

    /// Tells whether `fault` hits the waiting request. Hits are spread evenly, so that a run
    /// can be repeated.
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

    /// Waits for `work` and the time that is switched on; ends early when that is switched off.
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

    /// Swaps `response` with the next request that calls this within a bounded time; returns
    /// `response` itself if none does.
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
