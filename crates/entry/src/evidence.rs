//! What shows that a request was not executed, and the promise that rests on it.
//!
//! [`NotRun`] is the only way to tell a caller that its request was not executed. It has no public
//! constructor: it is made from the [`Execution`] of the request, so neither the status of a target's
//! response nor a decision of this VM can become one by itself.

use std::time::Duration;

/// What shows that a request was not executed and will not be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// No byte of it was sent to a target.
    Unsent,
    /// Each target that got it stated that it did not execute it.
    Stated,
}

impl Evidence {
    /// Name in logs.
    ///
    /// ```
    /// assert_eq!(camphordale_entry::Evidence::Unsent.name(), "unsent");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Evidence::Unsent => "unsent",
            Evidence::Stated => "stated",
        }
    }
}

/// What is known about the execution of a request from the attempts that have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Execution {
    /// It was not executed by any of them.
    Excluded(Evidence),
    /// It may have been executed, once and for all.
    Possible,
}

impl Execution {
    /// No attempt has ended yet.
    pub(crate) const NONE: Execution = Execution::Excluded(Evidence::Unsent);

    /// Records that a target stated that it did not execute the request.
    pub(crate) fn record_statement(&mut self) {
        if let Execution::Excluded(evidence) = self {
            *evidence = Evidence::Stated;
        }
    }

    /// Records an attempt that may have been executed.
    pub(crate) fn record_possible(&mut self) {
        *self = Execution::Possible;
    }

    /// The evidence that the request was not executed, if there is any.
    pub(crate) fn evidence(self) -> Option<Evidence> {
        match self {
            Execution::Excluded(evidence) => Some(evidence),
            Execution::Possible => None,
        }
    }

    /// The promise that the request was not executed, if there is evidence for it. `in_flight` tells
    /// whether an attempt has not ended.
    pub(crate) fn promise(self, in_flight: bool, retry_after: Duration) -> Option<NotRun> {
        let evidence = self.evidence().filter(|_| !in_flight)?;
        Some(NotRun {
            evidence,
            retry_after,
        })
    }
}

/// A promise to a caller that its request was not executed and will not be.
///
/// ```
/// use std::time::Duration;
/// use camphordale_entry::{Config, Effect, Entry, Event, Evidence, IncomingRequest, Refusal};
///
/// let mut entry = Entry::new(Config {
///     entry_id: 1,
///     domain: "a".into(),
///     seeds: Vec::new(),
///     retry_ratio: 0.1,
///     retry_extra: 10.0,
///     drain_grace: Duration::from_secs(1),
///     evacuation_grace: Duration::from_secs(4),
///     admission: camphordale_entry::AdmissionRule::default(),
///     warm_up: camphordale_fleet::WarmUpBounds::default(),
///     link_rate: None,
///     seed: 7,
/// });
/// entry.step(Event::Request(IncomingRequest {
///     handle: 1,
///     host: "a.example".into(),
///     path: "/".into(),
///     caller_timeout: Some(Duration::from_secs(1)),
///     key: None,
///     fingerprint: 1,
/// }), Duration::ZERO);
/// let effects = entry.step(Event::Tick, Duration::from_secs(1));
/// let promise = effects.iter().find_map(|effect| match effect {
///     Effect::Refuse { refusal: Refusal::NotRun(promise), .. } => Some(*promise),
///     _ => None,
/// });
/// assert_eq!(promise.unwrap().evidence(), Evidence::Unsent);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun {
    evidence: Evidence,
    retry_after: Duration,
}

impl NotRun {
    /// The promise to a request that has not been passed to any target.
    pub(crate) fn before_dispatch(retry_after: Duration) -> NotRun {
        NotRun {
            evidence: Evidence::Unsent,
            retry_after,
        }
    }

    /// What the promise rests on.
    pub fn evidence(self) -> Evidence {
        self.evidence
    }

    /// Time after which the caller may send the request again.
    pub fn retry_after(self) -> Duration {
        self.retry_after
    }
}
