//! Trials of requests that are refused because targets crashed while they executed them.
//!
//! A target that crashes ends all requests that it was executing, so crashes alone do not prove that
//! a request caused them. A refusal keeps the request from any target that would show that it is
//! sound. The control leader therefore lets one entry VM at a time send such a request to one
//! target: if it completes, it is cleared everywhere, and if the target crashes, the evidence is no
//! longer a coincidence.
//!
//! All VMs keep the same counts, which only grow and can be joined in any order. A leader that knows
//! less than the one before learns them from the entry VMs.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use serde::{
    Deserialize,
    Deserializer,
    Serialize, //
};

use crate::crash_evidence::{
    Fingerprint,
    MAX_RECORDS,
    SETTLE_AFTER,
    SUSPECT_LIFETIME, //
};

/// Number of a trial of one request.
pub type TrialNumber = u8;

/// Trials of one request that may reach a target. The users' rule BUDGET allows three repetitions of
/// a request after the third crash.
pub const MAX_TRIALS: u32 = 3;
/// Time before the next trial after one that ended in a crash or without a result. A target that goes
/// up and down by turns is likely to have settled by then.
pub const REPEATED_TRIAL_DELAY: Duration = Duration::from_secs(10);
/// Time before the last trial, after several that ended in crashes.
pub const LAST_TRIAL_DELAY: Duration = Duration::from_secs(600);
/// Crashed trials after which a refusal is final, also if all crashes were of one target.
pub const FINAL_CRASHED_TRIALS: u32 = 2;
/// Numbers of trials, with those that were not sent.
const MAX_NUMBERS: TrialNumber = u32::BITS as TrialNumber;

/// How a trial ended that did not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialEnd {
    /// Nothing of the request was sent, so the trial may be given again.
    Unsent,
    /// The target closed the connection while it had the request.
    Crashed,
}

/// The trials of one request.
///
/// ```
/// use camphordale_fleet::crash_trials::{TrialEnd, Trials};
///
/// let mut trials = Trials::default();
/// let first = trials.begin();
/// trials.end(first, TrialEnd::Unsent);
/// let second = trials.begin();
/// trials.end(second, TrialEnd::Crashed);
/// assert_eq!((trials.sent(), trials.crashed()), (1, 1));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trials {
    /// Number of trials that the leader gave.
    begun: TrialNumber,
    /// Bits of the trials of which nothing was sent.
    unsent: u32,
    /// Bits of the trials whose target crashed.
    crashed: u32,
}

impl Trials {
    /// Begins the next trial.
    pub fn begin(&mut self) -> TrialNumber {
        let number = self.begun;
        self.begun = self.begun.saturating_add(1);
        number
    }

    /// Number of the last trial that began.
    pub fn last(self) -> Option<TrialNumber> {
        self.begun.checked_sub(1)
    }

    /// Records how a trial ended.
    pub fn end(&mut self, number: TrialNumber, end: TrialEnd) {
        let bit = 1u32.checked_shl(number.into()).unwrap_or(0);
        match end {
            TrialEnd::Unsent => self.unsent |= bit,
            TrialEnd::Crashed => self.crashed |= bit,
        }
    }

    /// Adds what another VM knows. Returns whether there is news.
    ///
    /// ```
    /// use camphordale_fleet::crash_trials::Trials;
    ///
    /// let (mut one, mut other) = (Trials::default(), Trials::default());
    /// one.begin();
    /// assert!(other.join(one) && !other.join(one));
    /// assert_eq!(other.sent(), 1);
    /// ```
    pub fn join(&mut self, other: Trials) -> bool {
        let before = *self;
        self.begun = self.begun.max(other.begun);
        self.unsent |= other.unsent;
        self.crashed |= other.crashed;
        *self != before
    }

    /// Trials that reached a target, or may have.
    pub fn sent(self) -> u32 {
        u32::from(self.begun).saturating_sub(self.unsent.count_ones())
    }

    /// Trials whose target crashed.
    pub fn crashed(self) -> u32 {
        self.crashed.count_ones()
    }

    /// Time from the last crash or trial to the next trial; `None` if there is none.
    ///
    /// ```
    /// use camphordale_fleet::crash_trials::{MAX_TRIALS, Trials};
    ///
    /// let mut trials = Trials::default();
    /// for _ in 0..MAX_TRIALS {
    ///     assert!(trials.delay().is_some());
    ///     trials.begin();
    /// }
    /// assert_eq!(trials.delay(), None);
    /// ```
    pub fn delay(self) -> Option<Duration> {
        let may_begin = self.sent() < MAX_TRIALS && self.begun < MAX_NUMBERS;
        may_begin.then(|| match (self.crashed(), self.sent()) {
            (FINAL_CRASHED_TRIALS.., _) => LAST_TRIAL_DELAY,
            (0, 0) => SETTLE_AFTER,
            _ => REPEATED_TRIAL_DELAY,
        })
    }
}

/// Requests with a crash that the leader refuted, and the time. If the sign of life was under way for
/// seconds, the crash has happened, and the request has reached more targets than are counted: it
/// gets no trial. At most [`MAX_RECORDS`] requests are kept, for [`SUSPECT_LIFETIME`].
#[derive(Clone, Debug, Default)]
pub struct RefutedCrashes(BTreeMap<Fingerprint, Duration>);

impl RefutedCrashes {
    /// Records that a crash was refuted.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_fleet::crash_trials::RefutedCrashes;
    ///
    /// let mut refuted = RefutedCrashes::default();
    /// refuted.record(7, Duration::ZERO);
    /// assert!(refuted.contains(7) && !refuted.contains(8));
    /// refuted.expire(Duration::from_secs(200));
    /// assert!(!refuted.contains(7));
    /// ```
    pub fn record(&mut self, fingerprint: Fingerprint, now: Duration) {
        self.0.insert(fingerprint, now);
        if self.0.len() > MAX_RECORDS {
            let oldest = self.0.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.map(|oldest| self.0.remove(&oldest));
        }
    }

    /// Whether a crash of the request was refuted.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.0.contains_key(&fingerprint)
    }

    /// Forgets a request that a target completed.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.0.remove(&fingerprint);
    }

    /// Forgets requests without a refuted crash for long.
    pub fn expire(&mut self, now: Duration) {
        self.0
            .retain(|_, at| now < at.saturating_add(SUSPECT_LIFETIME));
    }
}

/// What a message about the trials of a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialOrder {
    /// Nothing; it tells what the sender knows.
    Known,
    /// An entry VM has the request and wants to try it.
    Request,
    /// The leader lets the recipient send the request to one target, as the last trial that began.
    Grant,
}

/// The trials of one request, as VMs exchange them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialNews {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Its trials.
    pub trials: Trials,
    /// Time since the last one began.
    pub age: Duration,
    /// What the sender asks for.
    pub order: TrialOrder,
}

/// Decodes the trials at the end of a message. Builds that do not know them send none.
pub(crate) fn deserialize_last<'de, Source>(source: Source) -> Result<Vec<TrialNews>, Source::Error>
where
    Source: Deserializer<'de>,
{
    Ok(Vec::deserialize(source).unwrap_or_default())
}
