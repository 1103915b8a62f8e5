//! The same evidence, recomputed from a plain list on every question.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use camphordale_fleet::{
    CrashRecord,
    Fingerprint,
    Holder,
    Verdict,
    crash_evidence::{
        QUARANTINE_CRASHES,
        REFUTE_AFTER,
        SUSPECT_CRASHES, //
    }, //
};

enum Fact {
    Crash(Fingerprint, Holder, Duration),
    Completion(Fingerprint, Duration),
    Alive(Holder, Duration),
}

/// Everything that one VM was told, in order.
#[derive(Default)]
pub(crate) struct NaiveEvidence {
    facts: Vec<Fact>,
}

impl NaiveEvidence {
    pub(crate) fn record_crash(&mut self, fingerprint: Fingerprint, holder: &Holder, at: Duration) {
        self.facts
            .push(Fact::Crash(fingerprint, holder.clone(), at));
    }

    /// A completion of a request of which nothing is known says nothing.
    pub(crate) fn record_completion(&mut self, fingerprint: Fingerprint, at: Duration) {
        if !self.crashes(fingerprint).is_empty() || self.completed(fingerprint).is_some() {
            self.facts.push(Fact::Completion(fingerprint, at));
        }
    }

    pub(crate) fn refute(&mut self, holder: &Holder, at: Duration) {
        self.facts.push(Fact::Alive(holder.clone(), at));
    }

    pub(crate) fn merge(&mut self, record: &CrashRecord, now: Duration) {
        let fingerprint = record.fingerprint;
        if let Some(age) = record.completed {
            self.facts.push(Fact::Completion(fingerprint, now - age));
        }
        for (holder, age) in &record.crashes {
            self.record_crash(fingerprint, holder, now - *age);
        }
    }

    fn completed(&self, fingerprint: Fingerprint) -> Option<Duration> {
        let completions = self.facts.iter().filter_map(|fact| match fact {
            Fact::Completion(of, at) if *of == fingerprint => Some(*at),
            _ => None,
        });
        completions.max()
    }

    /// Whether the crash that is fact number `index` is refuted by what was learnt after it. The
    /// last crash of a holder replaces its earlier ones.
    fn is_refuted(&self, index: usize, holder: &Holder, crashed: Duration) -> bool {
        self.facts[index..].iter().any(|fact| match fact {
            Fact::Alive(of, at) => of == holder && crashed + REFUTE_AFTER <= *at,
            _ => false,
        })
    }

    pub(crate) fn crashes(&self, fingerprint: Fingerprint) -> BTreeSet<Holder> {
        let completed = self.completed(fingerprint);
        let facts = self.facts.iter().enumerate();
        let crashes = facts.filter_map(|(index, fact)| match fact {
            Fact::Crash(of, holder, at) if *of == fingerprint => {
                let counts = completed.is_none_or(|completed| *at > completed)
                    && !self.is_refuted(index, holder, *at);
                counts.then(|| holder.clone())
            }
            _ => None,
        });
        crashes.collect()
    }

    pub(crate) fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        let crashes = self.crashes(fingerprint).len();
        if crashes >= QUARANTINE_CRASHES {
            Verdict::Quarantined
        } else if crashes >= SUSPECT_CRASHES {
            Verdict::Suspect
        } else {
            Verdict::Clear
        }
    }
}
