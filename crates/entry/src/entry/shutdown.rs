//! The end of a stopping VM: which requests it still sends, and which it refuses.

use std::{
    cmp::Reverse,
    time::Duration, //
};

use super::{
    AttemptId,
    Effect,
    Entry,
    Reason,
    RequestHandle,
    request::ActiveRequest, //
};

/// Time after a termination signal for which a VM still serves new connections: until load balancers
/// have detected that it is not ready.
const NOTICE_TIME: Duration = Duration::from_millis(2600);
/// Time reserved at the end of the grace period, before the process is killed.
const KILL_RESERVE: Duration = Duration::from_millis(300);
/// Time before the end of the process in which nothing is sent to a target: the answers of the last
/// moments must reach their callers.
const REFUSAL_TIME: Duration = Duration::from_millis(50);
/// Suggested retry delay while this VM stops: another one can serve the request at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// When a VM that is stopped serves what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// Until when new requests are served as before: load balancers may not have detected the stop.
    pub notice_ends: Duration,
    /// When the process ends at the latest. It breaks off what is still in progress.
    pub ends_at: Duration,
}

impl Shutdown {
    /// The shutdown of a process that was told to stop at `now` and is killed `grace_period` later.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_entry::Shutdown;
    ///
    /// let shutdown = Shutdown::new(Duration::from_secs(10), Duration::from_secs(6));
    /// assert_eq!(shutdown.notice_ends, Duration::from_millis(12_600));
    /// assert_eq!(shutdown.ends_at, Duration::from_millis(15_700));
    /// ```
    pub fn new(now: Duration, grace_period: Duration) -> Shutdown {
        let ends_at = now + grace_period.saturating_sub(KILL_RESERVE);
        Shutdown {
            notice_ends: ends_at.min(now + NOTICE_TIME),
            ends_at,
        }
    }

    /// From when nothing is sent to a target any more.
    pub(super) fn last_send(self) -> Duration {
        self.ends_at.saturating_sub(REFUSAL_TIME)
    }
}

impl Entry {
    /// Begins the shutdown: requests that were sent to a target are left to end.
    pub fn begin_shutdown(&mut self, shutdown: Shutdown) {
        self.shutdown = Some(shutdown);
        self.refuse_unsent_at = Some(shutdown.last_send());
    }

    /// Whether this VM is about to end, so that nothing is sent to a target any more.
    pub(super) fn is_ending(&self, now: Duration) -> bool {
        self.shutdown
            .is_some_and(|shutdown| now >= shutdown.last_send())
    }

    /// Time in which a target can respond to a request: until its deadline or the end of the process.
    pub(super) fn time_left(&self, request: &ActiveRequest, now: Duration) -> Duration {
        let ends_at = self.shutdown.map_or(Duration::MAX, |s| s.ends_at);
        request.deadline.min(ends_at).saturating_sub(now)
    }

    /// Whether a request may still be sent to a target. Once load balancers have detected the stop,
    /// one that no target can be executing is refused if the process may end before its deadline.
    pub(super) fn check_shutdown(
        &self,
        request: &ActiveRequest,
        now: Duration,
    ) -> Result<(), (Reason, Duration)> {
        let may_be_cut =
            |shutdown: Shutdown| now >= shutdown.notice_ends && request.deadline > shutdown.ends_at;
        let is_refused = !request.may_run() && self.shutdown.is_some_and(may_be_cut);
        match is_refused || self.is_ending(now) {
            true => Err((Reason::Stopping, STOPPING_RETRY_AFTER)),
            false => Ok(()),
        }
    }

    /// Refuses requests that are not sent yet, shortly before the process ends. Attempts that wait for
    /// a connection are withdrawn; those that have one go on.
    pub(super) fn refuse_unsent(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if self.refuse_unsent_at.take_if(|at| now >= *at).is_none() {
            return;
        }
        self.resume_unrouted(now, out);
        let waiting: Vec<RequestHandle> = self.waiting().collect();
        for id in waiting {
            self.dispatch(id, now, out);
        }
        // The last ones first: the end of an attempt lets the next one have a connection.
        let mut attempts: Vec<AttemptId> = self.attempts.keys().copied().collect();
        attempts.sort_unstable_by_key(|attempt| Reverse(*attempt));
        out.extend(attempts.into_iter().map(Effect::Withdraw));
    }
}
