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
const SWAP_WAIT: Duration = Duration::from_millis(200);

/// A fault that hits a share of the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Answered as shed.
    Shed,
    /// Answered short.
    Cut,
    /// Answered after the deadline.
    Late,
    /// Answered with the answer of another request.
    Swap,
    /// Answered with a wrong request id.
    WrongId,
}

/// The faults in force.
#[derive(Debug, Default)]
pub struct Switches {
    state: Mutex<State>,
    changed: Condvar,
}

/// Faults in force, as shown by the `stats` endpoint.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Settings {
    /// Whether nothing is answered and the session is not renewed.
    pub frozen: bool,
    /// Milliseconds added to each run.
    pub slow_ms: u64,
    /// Milliseconds past the deadline at which late answers are sent.
    pub late_ms: u64,
    /// Whether the target reports no load.
    pub lie: bool,
}

#[derive(Debug, Default)]
struct State {
    settings: Settings,
    shares: BTreeMap<Fault, Share>,
    waiting: Option<(u64, Answer)>,
    swapped: BTreeMap<u64, Answer>,
    next: u64,
}

#[derive(Clone, Copy, Debug)]
struct Share {
    share: f64,
    seen: u64,
}

/// Request id and body of an answer that is swapped.
pub type Answer = (Box<str>, Vec<u8>);

impl Switches {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the settings.
    pub fn settings(&self) -> Settings {
        self.lock().settings
    }

    /// Changes the settings and wakes everyone who waits for a thaw.
    pub fn set(&self, change: impl FnOnce(&mut Settings)) {
        change(&mut self.lock().settings);
        self.changed.notify_all();
    }

    /// Lets `fault` hit `share` (0.0 to 1.0) of the requests from now on.
    pub fn set_share(&self, fault: Fault, share: f64) {
        let mut state = self.lock();
        state.shares.remove(&fault);
        if share > 0.0 {
            state.shares.insert(fault, Share { share, seen: 0 });
        }
    }

    /// Switches all faults off.
    pub fn clear(&self) {
        let mut state = self.lock();
        state.settings = Settings::default();
        state.shares.clear();
        drop(state);
        self.changed.notify_all();
    }

    /// Tells whether `fault` hits the present request. Hits are spread evenly, so that a run
    /// can be repeated.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_standin::{Fault, Switches};
    ///
    /// let switches = Switches::default();
    /// switches.set_share(Fault::Shed, 0.5);
    /// let hits: Vec<bool> = (0..4).map(|_| switches.hits(Fault::Shed)).collect();
    /// assert_eq!(hits, [false, true, false, true]);
    /// ```
    pub fn hits(&self, fault: Fault) -> bool {
        let mut state = self.lock();
        let Some(share) = state.shares.get_mut(&fault) else {
            return false;
        };
        let before = (share.seen as f64 * share.share) as u64;
        share.seen += 1;
        (share.seen as f64 * share.share) as u64 > before
    }

    /// Waits while the target is frozen.
    pub fn wait_thawed(&self) {
        let mut state = self.lock();
        while state.settings.frozen {
            let waited = self.changed.wait(state);
            state = waited.unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Waits for `work` and the time that is switched on; ends early when that is switched off.
    pub fn work(&self, work: Duration) {
        let began = Instant::now();
        let mut state = self.lock();
        loop {
            let slow = Duration::from_millis(state.settings.slow_ms);
            let left = (work + slow).saturating_sub(began.elapsed());
            if left.is_zero() {
                return;
            }
            let waited = self.changed.wait_timeout(state, left);
            (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Swaps `answer` with the next request that calls this within a bounded time; returns
    /// `answer` itself if none does.
    pub fn swap(&self, answer: Answer) -> Answer {
        let mut state = self.lock();
        if let Some((ticket, other)) = state.waiting.take() {
            state.swapped.insert(ticket, answer);
            drop(state);
            self.changed.notify_all();
            return other;
        }
        let ticket = state.next;
        state.next += 1;
        state.waiting = Some((ticket, answer.clone()));
        let present = |state: &mut State| !state.swapped.contains_key(&ticket);
        let waited = self.changed.wait_timeout_while(state, SWAP_WAIT, present);
        let (mut state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        match state.swapped.remove(&ticket) {
            Some(other) => other,
            None => {
                state.waiting = None;
                answer
            }
        }
    }
}
