//! Operators, bundles and seeds shared by the tests.
#![allow(dead_code, unreachable_pub)]

use std::ops::Range;

use camphordale_bundle::{
    SignedBundle,
    SigningKey,
    parse_bundle, //
};
use camphordale_control::{
    Command,
    EvacuationOrder,
    State, //
};
use camphordale_types::{
    Bundle,
    Digest,
    Operator,
    Operators,
    VmInfo, //
};

/// Returns the seeds of a test: as many as CAMPHORDALE_HISTORIES says, or `default_count`.
pub fn seeds(default_count: u64) -> Range<u64> {
    let count = std::env::var("CAMPHORDALE_HISTORIES").ok();
    let count = count
        .and_then(|text| text.parse().ok())
        .unwrap_or(default_count);
    println!("seeds 0..{count}");
    0..count
}

/// Runs `history` for each seed on several threads and prints the seed of a failed history.
pub fn run_histories(seeds: Range<u64>, history: impl Fn(u64) + Sync) {
    const THREADS: u64 = 4;
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            let (seeds, history) = (seeds.clone(), &history);
            scope.spawn(move || {
                for seed in seeds.filter(|seed| seed % THREADS == thread) {
                    let run = std::panic::AssertUnwindSafe(|| history(seed));
                    if let Err(cause) = std::panic::catch_unwind(run) {
                        println!("failed with seed {seed}");
                        std::panic::resume_unwind(cause);
                    }
                }
            });
        }
    });
}

pub fn key(seed: u8) -> SigningKey {
    SigningKey::from_bytes(&[seed; 32])
}

/// Returns operators named `op-SEED`.
pub fn operators(needed: u32, seeds: &[u8]) -> Operators {
    let operator = |seed: &u8| Operator {
        name: format!("op-{seed}").into(),
        key: key(*seed).verifying_key().to_bytes(),
    };
    Operators {
        needed,
        keys: seeds.iter().map(operator).collect(),
    }
}

/// Returns a first bundle with the service `berths` (8 shards) and the unkeyed service `pages`.
pub fn first_bundle(operators: Operators) -> Bundle {
    let text = "
version: 1
operators: {needed: 1, keys: [{name: x, key: d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a}]}
services:
  - {name: berths, route: {prefix: /berths}, key: {segment: 1}, shards: 8, deadline: 1s, domain_lease: 10s, slots: 6, connections: 60}
  - {name: pages, route: {prefix: /pages}, slots: 6, connections: 60}
";
    let bundle = parse_bundle(text).expect("the text is a valid bundle");
    Bundle {
        operators,
        ..bundle
    }
}

/// Returns a copy of `bundle` that follows the bundle with this version and digest.
pub fn successor_of(bundle: &Bundle, version: u64, digest: Option<Digest>) -> Bundle {
    Bundle {
        version: version + 1,
        previous: digest,
        ..bundle.clone()
    }
}

pub fn signed(bundle: &Bundle, signers: &[u8]) -> SignedBundle {
    let mut signed = SignedBundle::new(bundle);
    for seed in signers {
        signed.sign(&format!("op-{seed}"), &key(*seed));
    }
    signed
}

pub fn vm(vm: u32, incarnation: u64, domain: &str) -> VmInfo {
    VmInfo {
        vm,
        incarnation,
        domain: domain.into(),
        inner: ([127, 0, 0, 1], 7000).into(),
        outer: ([127, 0, 0, 1], 7001).into(),
        entry: true,
    }
}

/// Returns a bundle that follows the latest one, or a first bundle.
pub fn next_bundle(state: &State) -> Bundle {
    match (state.bundle(), state.latest_bundle_id()) {
        (Some(old), Some((version, digest))) => successor_of(old, version, Some(digest)),
        _ => first_bundle(operators(1, &[1, 2])),
    }
}

/// Returns a command that submits `bundle` with the signature of one operator.
pub fn submission(bundle: &Bundle, signer: u8) -> Command {
    let signed = signed(bundle, &[signer]);
    Command::SubmitBundle { signed, at: 0 }
}

pub fn declare_lost(domain: &str) -> Command {
    let (domain, by) = (domain.into(), "op-1".into());
    Command::DeclareLost { domain, by, at: 0 }
}

pub fn return_domain(domain: &str) -> Command {
    let (domain, by) = (domain.into(), "op-1".into());
    Command::ReturnDomain { domain, by, at: 0 }
}

pub fn evacuate(domain: &str, order: EvacuationOrder) -> Command {
    Command::Evacuate {
        domain: domain.into(),
        order,
        by: "op-1".into(),
        at: 0,
    }
}
