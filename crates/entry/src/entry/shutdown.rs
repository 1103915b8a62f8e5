//! The end of a stopping VM: which requests it refuses.

use std::time::Duration;

use super::{
    Entry,
    Reason,
    request::ActiveRequest, //
};

/// Suggested retry delay while this VM stops: another one can serve the request at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// When a VM that is stopped serves what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// Until when new requests are served as before: callers have not noticed yet.
    pub notice_ends: Duration,
    /// When the process ends at the latest. It breaks off what is still in progress.
    pub ends_at: Duration,
}

impl Entry {
    /// Begins the shutdown: requests in progress are finished and no attempts are cancelled.
    pub fn begin_shutdown(&mut self, shutdown: Shutdown) {
        self.shutdown = Some(shutdown);
    }

    /// Whether a request may still be sent to a target. Once callers have noticed the stop, one that
    /// no target has is refused if the process may end before its deadline.
    pub(super) fn check_shutdown(
        &self,
        request: &ActiveRequest,
        now: Duration,
    ) -> Result<(), (Reason, Duration)> {
        let may_be_cut =
            |shutdown: Shutdown| now >= shutdown.notice_ends && request.deadline > shutdown.ends_at;
        let is_refused = !request.may_run() && self.shutdown.is_some_and(may_be_cut);
        match is_refused {
            true => Err((Reason::Stopping, STOPPING_RETRY_AFTER)),
            false => Ok(()),
        }
    }
}
