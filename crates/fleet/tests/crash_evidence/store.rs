//! The store of one VM.

use std::time::Duration;

use camphordale_fleet::{
    CrashEvidence,
    CrashRecord,
    Holder,
    PeerMessage,
    Verdict,
    crash_evidence::{
        MAX_CRASHES,
        QUARANTINE_LIFETIME,
        REFRESH_INTERVAL,
        REFUTE_AFTER,
        SUSPECT_LIFETIME, //
    }, //
};

pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(crate) fn holder(number: u64) -> Holder {
    Holder {
        id: format!("t{number}").into(),
        incarnation: number,
    }
}

fn quarantined(fingerprint: u128, now: Duration) -> CrashEvidence {
    let mut evidence = CrashEvidence::default();
    for number in 0..3 {
        evidence.record_crash(fingerprint, &holder(number), now);
    }
    evidence
}

/// Guards against requests that are shut out because one target closes many connections.
#[test]
fn an_incarnation_counts_once() {
    let mut evidence = CrashEvidence::default();
    for at in 0..20 {
        evidence.record_crash(7, &holder(1), ms(at));
    }
    assert_eq!(evidence.verdict(7), Verdict::Clear);
    evidence.record_crash(7, &holder(2), ms(20));
    assert_eq!(evidence.verdict(7), Verdict::Suspect);
    let restarted = Holder {
        incarnation: 99,
        ..holder(1)
    };
    evidence.record_crash(7, &restarted, ms(21));
    assert_eq!(evidence.verdict(7), Verdict::Quarantined);
}

/// Guards against crashes that are believed although the target goes on announcing itself, and
/// against a late announcement that hides a crash.
#[test]
fn a_crash_is_refuted_by_a_later_sign_of_life_only() {
    let mut evidence = quarantined(7, ms(1000));
    let late = ms(999) + REFUTE_AFTER;
    assert!(evidence.refute(&holder(1), late).is_empty());
    assert_eq!(evidence.refute(&holder(1), ms(1000) + REFUTE_AFTER), [7]);
    assert_eq!(evidence.verdict(7), Verdict::Suspect);
    // A crash after that sign of life counts again.
    evidence.record_crash(7, &holder(1), ms(1600));
    assert_eq!(evidence.verdict(7), Verdict::Quarantined);
}

/// Guards against a cleared request that is suspected again, because another VM that missed it
/// sends what it knows.
#[test]
fn outdated_evidence_does_not_return_after_a_completion() {
    let mut evidence = quarantined(7, ms(1000));
    let outdated = evidence.record(7, ms(1100)).unwrap();
    assert!(evidence.record_completion(7, ms(1200)));
    assert!(!evidence.merge(&outdated, ms(1300)));
    assert_eq!(evidence.verdict(7), Verdict::Clear);
    // The completion reaches the other VM as well, whatever its clock says.
    let mut other = quarantined(7, ms(50_000));
    let cleared = evidence.record(7, ms(1300)).unwrap();
    assert!(other.merge(&cleared, ms(50_400)));
    assert_eq!(other.verdict(7), Verdict::Clear);
}

/// Guards against a quarantine that ends while the request is still received.
#[test]
fn a_quarantine_lasts_while_the_request_is_received() {
    let mut evidence = quarantined(7, ms(0));
    let mut other = evidence.clone();
    let mut told = 0;
    let steps = QUARANTINE_LIFETIME.as_secs() * 2;
    for step in 0..steps {
        let now = Duration::from_secs(step);
        // Only one VM receives the request.
        if evidence.refresh(7, now) {
            told += 1;
            other.merge(&evidence.record(7, now).unwrap(), now);
        }
        evidence.expire(now);
        other.expire(now);
        assert_eq!(evidence.verdict(7), Verdict::Quarantined);
        assert_eq!(other.verdict(7), Verdict::Quarantined);
    }
    assert!(told <= steps / REFRESH_INTERVAL.as_secs(), "{told}");
    // And it ends when the request is not received any more.
    let end = Duration::from_secs(steps) + QUARANTINE_LIFETIME;
    evidence.expire(end);
    assert!(evidence.is_empty());
}

/// Guards against evidence of other times that adds up.
#[test]
fn old_suspicion_is_dropped() {
    let mut evidence = CrashEvidence::default();
    evidence.record_crash(7, &holder(1), ms(0));
    evidence.record_crash(7, &holder(2), ms(10));
    evidence.expire(SUSPECT_LIFETIME);
    assert_eq!(evidence.verdict(7), Verdict::Suspect);
    evidence.expire(SUSPECT_LIFETIME + ms(10));
    assert!(evidence.is_empty());
    // A record that outlived its time elsewhere is not taken.
    let record = quarantined(7, ms(0)).record(7, QUARANTINE_LIFETIME);
    assert!(!evidence.merge(&record.unwrap(), QUARANTINE_LIFETIME));
    assert!(evidence.is_empty());
}

/// Guards against memory that grows with the number of requests on crashed targets, and against a
/// quarantine that is lost in such a flood.
#[test]
fn memory_is_bounded_and_a_quarantine_is_dropped_last() {
    let mut evidence = CrashEvidence::new(100);
    for number in 0..3 {
        evidence.record_crash(0, &holder(number), ms(0));
    }
    for number in 1..5000u64 {
        evidence.record_crash(u128::from(number), &holder(number), ms(number));
        assert!(evidence.len() <= 100);
    }
    assert_eq!(evidence.verdict(0), Verdict::Quarantined);
    assert!(evidence.contains(4999) && !evidence.contains(4000));
    // Completed requests make room for those that are not.
    for number in 4900..4999 {
        evidence.record_completion(number, ms(5000));
    }
    evidence.record_crash(6000, &holder(1), ms(5001));
    evidence.record_crash(6001, &holder(1), ms(5001));
    assert!(evidence.contains(4999) && evidence.contains(6000));
    assert!(!evidence.contains(4901));
    for number in 0..100 {
        evidence.record_crash(0, &holder(number), ms(number));
    }
    assert_eq!(evidence.crashed(0).count(), MAX_CRASHES);
    assert_eq!(evidence.newest(1), [0]);
}

/// Guards against messages that are larger than `docs/platform.md` says.
#[test]
fn a_record_takes_little_room_in_a_message() {
    let size = |crashes: u64, records: u128| {
        let record = |fingerprint| CrashRecord {
            fingerprint: u128::MAX - fingerprint,
            crashes: (0..crashes)
                .map(|number| {
                    let id = format!("i-7f3a91c{number}").into();
                    let incarnation = 1_765_000_000_000 + number;
                    (Holder { id, incarnation }, ms(99_999))
                })
                .collect(),
            completed: Some(ms(99_999)),
            idle: ms(99_999),
        };
        let message = PeerMessage::CrashEvidence {
            records: (0..records).map(record).collect(),
            alive: Vec::new(),
            trials: Vec::new(),
        };
        message.encode().unwrap().len()
    };
    assert!(size(1, 1) <= 70, "{}", size(1, 1));
    assert!(size(3, 1) <= 120, "{}", size(3, 1));
    assert!(size(3, 16) <= 1900, "{}", size(3, 16));
    assert!(size(3, 256) <= 30_000, "{}", size(3, 256));
}
