//! Trials of quarantined requests.

use std::time::Duration;

use camphordale_fleet::{
    CrashEvidence, Holder, PeerMessage,
    crash_evidence::{
        COMMON_CAUSE_WINDOW,
        QUARANTINE_LIFETIME,
        SETTLE_AFTER, //
    },
    crash_trials::{
        MAX_TRIALS,
        TrialEnd,
        TrialOrder, //
    },
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

use crate::store::{
    holder,
    ms, //
};

/// Crashes of lives of one target.
fn lives(id: u64) -> impl Iterator<Item = Holder> {
    (0..).map(move |incarnation| Holder {
        incarnation,
        ..holder(id)
    })
}

/// Guards against a request that crashes its target and is tried without end, for as long as it comes.
#[test]
fn a_request_that_crashes_its_target_is_tried_a_few_times_only() {
    let mut evidence = CrashEvidence::default();
    let mut lives = lives(1);
    for at in 0..3 {
        evidence.record_crash(7, &lives.next().unwrap(), ms(1000 * at));
    }
    let mut tried = Vec::new();
    for second in 2..10_000 {
        let now = Duration::from_secs(second);
        if let Some(number) = evidence.begin_trial(7, now) {
            tried.push(now);
            evidence.record_crash(7, &lives.next().unwrap(), now);
            evidence.end_trial(7, number, TrialEnd::Crashed);
        }
        evidence.refresh(7, now);
        evidence.expire(now);
    }
    assert_eq!(tried.len(), MAX_TRIALS as usize);
    assert!(tried[0] >= ms(2000) + SETTLE_AFTER);
    // Within a day of a deployment fewer than allowed.
    assert!(tried[2] >= tried[1] + QUARANTINE_LIFETIME);
}

/// Guards against a final answer on crashes that are those of one target, or of a failure domain.
#[test]
fn a_final_answer_takes_a_crashed_trial_and_crashes_without_a_common_cause() {
    let settled = ms(10_000);
    let is_final = |crashes: &[(Holder, Duration)], trials: usize| {
        let mut evidence = CrashEvidence::default();
        for (holder, at) in crashes {
            evidence.record_crash(7, holder, *at);
        }
        for _ in 0..trials {
            let at = evidence.next_trial(7).unwrap();
            let number = evidence.begin_trial(7, at).unwrap();
            evidence.end_trial(7, number, TrialEnd::Crashed);
        }
        evidence.is_final(7, settled)
    };
    let apart: Vec<_> = (0..3).map(|n| (holder(n), ms(1000 * n))).collect();
    let together: Vec<_> = (0..3).map(|n| (holder(n), ms(1000 + n))).collect();
    let one: Vec<_> = lives(1).zip((0..3).map(|n| ms(1000 * n))).collect();
    let two: Vec<_> = one[..2].iter().cloned().chain([apart[2].clone()]).collect();
    assert_eq!([0, 1].map(|trials| is_final(&apart, trials)), [false, true]);
    for crashes in [together, one, two] {
        let verdicts = [0, 1, 2].map(|trials| is_final(&crashes, trials));
        assert_eq!(verdicts, [false, false, true], "{crashes:?}");
    }
    // Lives of one target that crashed in a trial as well are no reason; another target is.
    let mut evidence = CrashEvidence::default();
    for number in 0..3 {
        evidence.record_crash(7, &holder(number), ms(number));
    }
    let trial = evidence.begin_trial(7, ms(5000)).unwrap();
    evidence.record_crash(7, &holder(9), ms(5000) + COMMON_CAUSE_WINDOW);
    evidence.end_trial(7, trial, TrialEnd::Crashed);
    assert!(evidence.is_final(7, ms(5100)));
}

/// Guards against a sound request that runs out of trials, because nothing of them was sent.
#[test]
fn a_trial_of_which_nothing_was_sent_may_be_given_again() {
    let mut evidence = CrashEvidence::default();
    for number in 0..3 {
        evidence.record_crash(7, &holder(number), ms(0));
    }
    for _ in 0..10 {
        let at = evidence.next_trial(7).unwrap();
        let number = evidence.begin_trial(7, at).unwrap();
        evidence.end_trial(7, number, TrialEnd::Unsent);
    }
    let at = evidence.next_trial(7).unwrap();
    assert!(evidence.begin_trial(7, at).is_some());
    assert!(evidence.record_completion(7, at + ms(100)));
    // What was learnt before the completion is void.
    let outdated = evidence.trial_news(7, TrialOrder::Known, at + ms(200));
    assert_eq!(outdated, None);
    assert_eq!(evidence.next_trial(7), None);
}

/// Guards against more trials than are allowed after the leader has changed, and against counts that
/// depend on the order of messages.
#[test]
fn random_histories_of_leaders_keep_the_limit() {
    for seed in 0..300 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut vms: Vec<CrashEvidence> = vec![CrashEvidence::default(); 4];
        for vm in &mut vms {
            for number in 0..3 {
                vm.record_crash(7, &holder(number), ms(number));
            }
        }
        let (mut sent, mut now, mut lives) = (0, ms(0), lives(20));
        for _ in 0..200 {
            now += ms(random.random_range(0..20_000));
            let at = random.random_range(1..vms.len());
            if random.random_bool(0.2) {
                // The next leader knows nothing until the entry VMs report.
                let mut next = CrashEvidence::default();
                for vm in &vms[1..] {
                    next.merge(&vm.record(7, now).unwrap(), now);
                    let news = vm.trial_news(7, TrialOrder::Known, now);
                    news.map(|news| next.merge_trials(&news, now));
                }
                vms[0] = next;
            }
            if let Some(number) = vms[0].begin_trial(7, now) {
                let grant = vms[0].trial_news(7, TrialOrder::Grant, now).unwrap();
                assert_eq!(grant.trials.last(), Some(number));
                vms[at].merge_trials(&grant, now);
                let end = match random.random_bool(0.3) {
                    true => Some(TrialEnd::Unsent),
                    false => random.random_bool(0.7).then_some(TrialEnd::Crashed),
                };
                sent += u32::from(end != Some(TrialEnd::Unsent));
                if end == Some(TrialEnd::Crashed) {
                    vms[at].record_crash(7, &lives.next().unwrap(), now);
                }
                if let Some(end) = end {
                    vms[at].end_trial(7, number, end);
                }
            }
            // Some reports arrive, more than once and in any order.
            for _ in 0..random.random_range(0..4) {
                let from = random.random_range(0..vms.len());
                let to = random.random_range(0..vms.len());
                let news = vms[from].trial_news(7, TrialOrder::Known, now);
                news.map(|news| vms[to].merge_trials(&news, now));
            }
        }
        assert!(sent <= MAX_TRIALS, "seed {seed}: {sent}");
    }
}

/// Guards against messages that builds without trials can't read, and against theirs.
#[test]
fn trials_stand_at_the_end_of_a_message_where_other_builds_ignore_them() {
    let message = PeerMessage::CrashEvidence {
        records: Vec::new(),
        alive: vec![(holder(1), ms(5))],
        trials: Vec::new(),
    };
    let encoded = message.encode().unwrap();
    // Without trials, the last byte is their number.
    let before = &encoded[..encoded.len() - 1];
    assert_eq!(PeerMessage::decode(before).unwrap(), message);
    let mut evidence = CrashEvidence::default();
    evidence.record_crash(7, &holder(1), ms(0));
    let news = evidence.trial_news(7, TrialOrder::Request, ms(1)).unwrap();
    let with_trials = PeerMessage::CrashEvidence {
        records: Vec::new(),
        alive: vec![(holder(1), ms(5))],
        trials: vec![news],
    };
    let encoded = with_trials.encode().unwrap();
    assert!(encoded.starts_with(before));
    assert_eq!(PeerMessage::decode(&encoded).unwrap(), with_trials);
}
