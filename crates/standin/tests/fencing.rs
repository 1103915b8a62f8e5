//! Token and lease rules against a naive version that keeps the whole history.

use std::time::Duration;

use camphordale_standin::{
    Denied,
    Fence,
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

enum Past {
    Renewed(Duration),
    /// Version and content.
    Granted(u64, Vec<(u32, Token)>),
    Asked(u32, Token),
    Forgot,
}

/// Decides from the whole history, newest event last.
fn naive(past: &[Past], now: Duration, shard: u32, asked: Token) -> Result<(), &'static str> {
    let since = past.iter().rposition(|p| matches!(p, Past::Forgot));
    let session = &past[since.map_or(0, |at| at + 1)..];
    let leased = session
        .iter()
        .any(|p| matches!(p, Past::Renewed(sent) if now < *sent + LEASE * 9 / 10));
    if !leased {
        return Err("lease");
    }
    let seen = past.iter().flat_map(|p| match p {
        Past::Granted(_, grants) => grants.clone(),
        Past::Asked(shard, token) => vec![(*shard, *token)],
        _ => Vec::new(),
    });
    if seen.filter(|(s, _)| *s == shard).any(|(_, t)| t > asked) {
        return Err("stale");
    }
    let grants = session.iter().rev().find_map(|p| match p {
        Past::Granted(version, grants) => Some((version, grants)),
        _ => None,
    });
    match grants {
        Some((_, grants)) if grants.iter().any(|(s, _)| *s == shard) => Ok(()),
        Some((version, _)) if asked.seq > *version => Ok(()),
        _ => Err("grant"),
    }
}

/// Guards against any difference between the rules on the page and the state that a target
/// keeps, in particular forgetting tokens when a shard leaves and comes back.
#[rstest]
fn agrees_with_the_whole_history(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    println!("seed {seed}");
    let mut random = StdRng::seed_from_u64(seed);
    let mut fence = Fence::default();
    let mut past = Vec::new();
    let mut now = Duration::ZERO;
    let mut seen = [0; 4];
    for version in 1..4000 {
        now += Duration::from_millis(random.random_range(0..90));
        match random.random_range(0..20) {
            0..4 => {
                let sent = now.saturating_sub(Duration::from_millis(random.random_range(0..60)));
                fence.renewed(sent, LEASE);
                past.push(Past::Renewed(sent));
            }
            4 => {
                let shards = (0..3).filter(|_| random.random_bool(0.6));
                let shards: Vec<u32> = shards.collect();
                let made = |s| {
                    (
                        s,
                        token(random.random_range(version / 40..version / 40 + 9)),
                    )
                };
                let grants: Vec<_> = shards.into_iter().map(made).collect();
                let list: Vec<Grant> = grants
                    .iter()
                    .map(|(shard, token)| Grant {
                        service: "cat".into(),
                        shard: *shard,
                        token: *token,
                    })
                    .collect();
                // Requests are made with tokens on both sides of this version.
                let listed = version / 40 + 5;
                fence.replace(listed, &list);
                past.push(Past::Granted(listed, grants));
            }
            5 if random.random_bool(0.1) => {
                fence.forget();
                past.push(Past::Forgot);
            }
            _ => {
                let shard = random.random_range(0..3);
                let asked = token(random.random_range(version / 40..version / 40 + 12));
                let want = naive(&past, now, shard, asked);
                let name = format!("cat/{shard}");
                let got = fence.check(now, Some((&name, asked)));
                let got = got.map_err(|denied| match denied {
                    Denied::NoLease => "lease",
                    Denied::NoGrant(_) => "grant",
                    Denied::Stale { .. } => "stale",
                });
                assert_eq!(got, want, "step {version}");
                past.push(Past::Asked(shard, asked));
                seen[match want {
                    Ok(()) => 0,
                    Err("lease") => 1,
                    Err("grant") => 2,
                    Err(_) => 3,
                }] += 1;
            }
        }
    }
    // A history that never reaches one of the decisions would test nothing.
    assert!(seen.iter().all(|count| *count > 20), "{seen:?}");
}

/// Guards against a later, shorter lease cutting off time that was already granted, and against
/// the lease starting at the answer.
#[test]
fn lease_counts_from_the_renewal_and_never_shrinks() {
    let mut fence = Fence::default();
    fence.renewed(Duration::from_millis(100), LEASE);
    assert_eq!(fence.lease_until(), Duration::from_millis(640));
    fence.renewed(Duration::from_millis(110), Duration::from_millis(100));
    assert_eq!(fence.lease_until(), Duration::from_millis(640));
    fence.forget();
    let now = Duration::from_millis(111);
    assert_eq!(fence.check(now, None), Err(Denied::NoLease));
}
