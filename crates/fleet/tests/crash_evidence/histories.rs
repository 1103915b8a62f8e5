//! Random histories of several VMs, compared with the naive evidence.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use camphordale_fleet::{
    CrashEvidence,
    CrashRecord,
    Fingerprint,
    Holder,
    Verdict, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

use crate::{
    naive::NaiveEvidence,
    store::{
        holder,
        ms, //
    },
};

const REQUESTS: u128 = 4;
const HOLDERS: u64 = 7;
const VMS: usize = 5;

/// A VM with both kinds of evidence; number 0 is the leader. Its clock started at `start`.
struct Vm {
    evidence: CrashEvidence,
    naive: NaiveEvidence,
    start: Duration,
}

impl Vm {
    fn new(start: Duration) -> Vm {
        Vm {
            evidence: CrashEvidence::default(),
            naive: NaiveEvidence::default(),
            start,
        }
    }

    fn merge(&mut self, record: &CrashRecord, now: Duration) {
        self.evidence.merge(record, now + self.start);
        self.naive.merge(record, now + self.start);
    }

    fn refute(&mut self, holder: &Holder, now: Duration) {
        self.evidence.refute(holder, now + self.start);
        self.naive.refute(holder, now + self.start);
    }

    fn compare(&self, context: &str) {
        for fingerprint in 0..REQUESTS {
            let found: BTreeSet<Holder> = self.evidence.crashed(fingerprint).cloned().collect();
            assert_eq!(found, self.naive.crashes(fingerprint), "{context}");
            let verdict = self.evidence.verdict(fingerprint);
            assert_eq!(verdict, self.naive.verdict(fingerprint), "{context}");
        }
    }
}

/// Crashes, completions and signs of life are seen by different VMs, messages are lost and
/// repeated late, VMs restart and the leader changes. Returns how many requests were quarantined
/// somewhere.
fn history(seed: u64) -> usize {
    let mut random = StdRng::seed_from_u64(seed);
    let mut vms: Vec<Vm> = (0..VMS as u64)
        .map(|number| Vm::new(ms(number * 10_000)))
        .collect();
    let mut late: Vec<(Duration, CrashRecord)> = Vec::new();
    let mut quarantined: BTreeSet<Fingerprint> = BTreeSet::new();
    let mut now = ms(30_000);
    for step in 0..150 {
        now += ms(random.random_range(1..400));
        let at = random.random_range(1..VMS);
        let fingerprint = random.random_range(0..REQUESTS);
        let start = vms[at].start;
        match random.random_range(0..20) {
            0..=7 => {
                let holder = holder(random.random_range(0..HOLDERS));
                let vm = &mut vms[at];
                vm.evidence.record_crash(fingerprint, &holder, now + start);
                vm.naive.record_crash(fingerprint, &holder, now + start);
            }
            8 => {
                let vm = &mut vms[at];
                vm.evidence.record_completion(fingerprint, now + start);
                vm.naive.record_completion(fingerprint, now + start);
            }
            9 | 10 => {
                let holder = holder(random.random_range(0..HOLDERS));
                vms[0].refute(&holder, now);
                // Some entry VMs miss it.
                for vm in vms.iter_mut().skip(1) {
                    if random.random_bool(0.7) {
                        vm.refute(&holder, now);
                    }
                }
            }
            11 => vms[at] = Vm::new(ms(random.random_range(0..90_000))),
            12 => vms[0] = Vm::new(ms(random.random_range(0..90_000))),
            // A record on its way to the leader, or back.
            13..=18 => {
                let (from, to) = if random.random_bool(0.5) {
                    (at, 0)
                } else {
                    (0, at)
                };
                let sent_at = now + vms[from].start;
                if let Some(record) = vms[from].evidence.record(fingerprint, sent_at) {
                    late.push((now, record.clone()));
                    if random.random_bool(0.8) {
                        vms[to].merge(&record, now);
                    }
                }
            }
            // A record that was under way for long.
            _ => {
                if let Some((sent_at, record)) = late.pop() {
                    let mut aged = record;
                    let delay = now - sent_at;
                    for (_, age) in &mut aged.crashes {
                        *age += delay;
                    }
                    aged.completed = aged.completed.map(|age| age + delay);
                    aged.idle += delay;
                    vms[at].merge(&aged, now);
                }
            }
        }
        for (number, vm) in vms.iter().enumerate() {
            vm.compare(&format!("seed {seed}, step {step}, VM {number}"));
            quarantined
                .extend((0..REQUESTS).filter(|f| vm.evidence.verdict(*f) == Verdict::Quarantined));
        }
    }
    join(&mut vms, now, seed);
    quarantined.len()
}

/// Once every VM has exchanged all it knows with the leader, all agree.
fn join(vms: &mut [Vm], now: Duration, seed: u64) {
    for _ in 0..2 {
        for at in 1..VMS {
            for (from, to) in [(at, 0), (0, at)] {
                let sent_at = now + vms[from].start;
                let newest = vms[from].evidence.newest(100);
                let records: Vec<CrashRecord> = newest
                    .into_iter()
                    .filter_map(|fingerprint| vms[from].evidence.record(fingerprint, sent_at))
                    .collect();
                for record in records {
                    vms[to].merge(&record, now);
                }
            }
        }
    }
    for fingerprint in 0..REQUESTS {
        let expected = vms[0].evidence.verdict(fingerprint);
        for vm in vms.iter() {
            vm.compare(&format!("seed {seed}, at the end"));
            assert_eq!(vm.evidence.verdict(fingerprint), expected, "seed {seed}");
        }
    }
}

/// Guards against evidence that depends on the order of messages, and against an index that
/// disagrees with the records.
#[test]
fn random_histories_agree_with_evidence_that_is_recomputed() {
    let quarantined: usize = (0..400).map(history).sum();
    assert!(quarantined > 200, "only {quarantined} quarantines");
}
