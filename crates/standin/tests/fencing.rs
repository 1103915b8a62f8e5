//! Compares the lease and token checks with a reference check over the full history.

use std::time::Duration;

use camphordale_standin::{
    AdmissionError,
    FencingState,
    Grant, //
};
use camphordale_types::Token;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};
use rstest::rstest;

const LEASE: Duration = Duration::from_millis(600);

fn token(seq: u64) -> Token {
    Token {
        term: 1 + seq / 10,
        epoch: 1,
        seq: seq % 10,
    }
}

enum Event {
    Renewed(Duration),
    /// Version and grants.
    Granted(u64, Vec<(u32, Token)>),
    Requested(u32, Token),
    SessionLost,
}

/// Reference check over the full history, newest event last.
fn reference_check(
    history: &[Event],
    now: Duration,
    shard: u32,
    requested: Token,
) -> Result<(), &'static str> {
    let since = history
        .iter()
        .rposition(|p| matches!(p, Event::SessionLost));
    let session = &history[since.map_or(0, |at| at + 1)..];
    let lease_valid = session
        .iter()
        .any(|p| matches!(p, Event::Renewed(sent) if now < *sent + LEASE * 9 / 10));
    if !lease_valid {
        return Err("lease");
    }
    let seen = history.iter().flat_map(|p| match p {
        Event::Granted(_, grants) => grants.clone(),
        Event::Requested(shard, token) => vec![(*shard, *token)],
        _ => Vec::new(),
    });
    if seen
        .filter(|(s, _)| *s == shard)
        .any(|(_, t)| t > requested)
    {
        return Err("stale");
    }
    let grants = session.iter().rev().find_map(|p| match p {
        Event::Granted(version, grants) => Some((version, grants)),
        _ => None,
    });
    match grants {
        Some((_, grants)) if grants.iter().any(|(s, _)| *s == shard) => Ok(()),
        Some((version, _)) if requested.seq > *version => Ok(()),
        _ => Err("grant"),
    }
}

/// Guards against any difference between the documented rules and the state that a target keeps,
/// in particular forgetting the highest token when a shard is revoked and granted again.
#[rstest]
fn agrees_with_a_check_of_the_full_history(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    println!("seed {seed}");
    let mut random = StdRng::seed_from_u64(seed);
    let mut fencing = FencingState::default();
    let mut history = Vec::new();
    let mut now = Duration::ZERO;
    let mut decisions = [0; 4];
    for version in 1..4000 {
        now += Duration::from_millis(random.random_range(0..90));
        match random.random_range(0..20) {
            0..4 => {
                let sent = now.saturating_sub(Duration::from_millis(random.random_range(0..60)));
                fencing.extend_lease(sent, LEASE);
                history.push(Event::Renewed(sent));
            }
            4 => {
                let shards = (0..3).filter(|_| random.random_bool(0.6));
                let shards: Vec<u32> = shards.collect();
                let granted = |s| {
                    (
                        s,
                        token(random.random_range(version / 40..version / 40 + 9)),
                    )
                };
                let grants: Vec<_> = shards.into_iter().map(granted).collect();
                let list: Vec<Grant> = grants
                    .iter()
                    .map(|(shard, token)| Grant {
                        service: "cat".into(),
                        shard: *shard,
                        token: *token,
                    })
                    .collect();
                // Requests use tokens below and above this version.
                let list_version = version / 40 + 5;
                fencing.replace_grants(list_version, &list);
                history.push(Event::Granted(list_version, grants));
            }
            5 if random.random_bool(0.1) => {
                fencing.clear_session();
                history.push(Event::SessionLost);
            }
            _ => {
                let shard = random.random_range(0..3);
                let requested = token(random.random_range(version / 40..version / 40 + 12));
                let expected = reference_check(&history, now, shard, requested);
                let name = format!("cat/{shard}");
                let actual = fencing.check(now, Some((&name, requested)));
                let actual = actual.map_err(|denied| match denied {
                    AdmissionError::LeaseExpired => "lease",
                    AdmissionError::NotGranted(_) => "grant",
                    AdmissionError::StaleToken { .. } => "stale",
                });
                assert_eq!(actual, expected, "step {version}");
                history.push(Event::Requested(shard, requested));
                decisions[match expected {
                    Ok(()) => 0,
                    Err("lease") => 1,
                    Err("grant") => 2,
                    Err(_) => 3,
                }] += 1;
            }
        }
    }
    // Each decision must occur often enough to be tested.
    assert!(decisions.iter().all(|count| *count > 20), "{decisions:?}");
}

/// Guards against a later, shorter lease reducing time that was already granted, and against a
/// lease measured from the response instead of the request.
#[test]
fn lease_counts_from_the_renewal_and_never_shrinks() {
    let mut fencing = FencingState::default();
    fencing.extend_lease(Duration::from_millis(100), LEASE);
    assert_eq!(fencing.lease_expiry(), Duration::from_millis(640));
    fencing.extend_lease(Duration::from_millis(110), Duration::from_millis(100));
    assert_eq!(fencing.lease_expiry(), Duration::from_millis(640));
    fencing.clear_session();
    let now = Duration::from_millis(111);
    assert_eq!(fencing.check(now, None), Err(AdmissionError::LeaseExpired));
}
