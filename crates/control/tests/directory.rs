//! The directory cache with stale, duplicate and reordered directories from several sources.

mod common;

use std::collections::BTreeMap;

use camphordale_bundle::SignedBundle;
use camphordale_control::{
    Command,
    Directory,
    DirectoryCache,
    EvacuationOrder,
    HomeChange,
    Outcome,
    State,
    Versioned,
    Versions, //
};
use camphordale_types::Digest;
use common::{
    declare_lost,
    evacuate,
    next_bundle,
    operators,
    return_domain,
    run_histories,
    seeds,
    signed,
    submission,
    successor_of,
    vm, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng,
    seq::IndexedRandom, //
};

/// Applies random commands and returns the initial state and the state after each accepted command.
fn states(rng: &mut StdRng) -> Vec<State> {
    let mut state = State::new(operators(1, &[1, 2]));
    let mut states = vec![state.clone()];
    for index in 1..30 {
        let domain: Box<str> = if rng.random() { "east" } else { "west" }.into();
        let command = match rng.random_range(0..6) {
            0 | 1 => submission(&next_bundle(&state), rng.random_range(1..3)),
            2 => Command::RegisterVm(vm(rng.random_range(0..6), index, &domain)),
            3 => {
                let members = state.vms().filter(|info| info.domain == domain);
                Command::FormGroup {
                    members: members
                        .map(|info| (info.vm, info.incarnation))
                        .take(3)
                        .collect(),
                    replaces: state.group(&domain).map_or(0, |group| group.term),
                    domain,
                }
            }
            4 => {
                let change = |index| HomeChange {
                    index,
                    expected_since: state.home("berths", index).map_or(0, |home| home.since),
                    to: domain.clone(),
                    immediate: rng.random(),
                };
                Command::SetHomes {
                    service: "berths".into(),
                    bundle: state.latest_bundle_id().map_or(0, |(version, _)| version),
                    changes: (0..8).map(change).collect(),
                }
            }
            _ if state.is_evacuated(&domain) => evacuate(&domain, EvacuationOrder::End),
            _ if rng.random_bool(0.3) => evacuate(&domain, EvacuationOrder::Start),
            _ if state.is_lost(&domain) => return_domain(&domain),
            _ => declare_lost(&domain),
        };
        if !matches!(state.apply(index, &command), Outcome::Rejected(_)) {
            states.push(state.clone());
        }
    }
    states
}

/// The content of each part of the directory by version, collected from all states.
#[derive(Default)]
struct Contents {
    vms: BTreeMap<u64, String>,
    groups: BTreeMap<u64, String>,
    homes: BTreeMap<u64, String>,
    lost: BTreeMap<u64, String>,
    bundles: BTreeMap<u64, Option<Digest>>,
}

impl Contents {
    fn collect(states: &[State]) -> Self {
        let mut contents = Contents::default();
        for state in states {
            let mut cache = DirectoryCache::new(0);
            cache.merge(state.directory(&Versions::default()));
            contents.record(&cache);
        }
        contents
    }

    fn parts(cache: &DirectoryCache) -> [(u64, String); 4] {
        let versions = cache.versions();
        [
            (versions.vms, format!("{:?}", cache.vms())),
            (versions.groups, format!("{:?}", cache.groups())),
            (versions.homes, format!("{:?}", cache.all_homes())),
            (
                versions.lost,
                format!("{:?} {:?}", cache.lost(), cache.evacuated()),
            ),
        ]
    }

    fn record(&mut self, cache: &DirectoryCache) {
        let maps = [
            &mut self.vms,
            &mut self.groups,
            &mut self.homes,
            &mut self.lost,
        ];
        for (map, (version, content)) in maps.into_iter().zip(Self::parts(cache)) {
            map.insert(version, content);
        }
        self.bundles.insert(cache.versions().bundle, cache.digest());
    }

    fn check(&self, cache: &DirectoryCache) {
        let maps = [&self.vms, &self.groups, &self.homes, &self.lost];
        for (map, (version, content)) in maps.into_iter().zip(Self::parts(cache)) {
            assert_eq!(map.get(&version), Some(&content));
        }
        let versions = cache.versions();
        assert_eq!(self.bundles.get(&versions.bundle), Some(&cache.digest()));
        // A group is never cached without the bundle that was the latest when it was formed.
        let formed = self.bundles.range(..=versions.groups).next_back();
        assert!(formed.is_none_or(|(bundle, _)| *bundle <= versions.bundle));
    }
}

fn history(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let states = states(&mut rng);
    let contents = Contents::collect(&states);
    let mut caches = vec![DirectoryCache::new(0); 3];
    let mut sent: Vec<Directory> = Vec::new();
    for _ in 0..60 {
        let at = rng.random_range(0..caches.len());
        let requested = caches[rng.random_range(0..3)].versions();
        let message = match rng.random_range(0..4) {
            // An old reply arrives late or twice.
            0 if !sent.is_empty() => sent.choose(&mut rng).expect("not empty").clone(),
            1 => caches[rng.random_range(0..3)].directory(&caches[at].versions()),
            // The reply of a control voter, possibly far behind, to this or another VM.
            2 => states
                .choose(&mut rng)
                .expect("not empty")
                .directory(&requested),
            _ => states
                .choose(&mut rng)
                .expect("not empty")
                .directory(&caches[at].versions()),
        };
        sent.push(message.clone());
        let before = caches[at].clone();
        let mut message = message;
        if rng.random_bool(0.1) {
            corrupt_bundle(&mut message, &states, &before, &mut rng);
        }
        let outcome = caches[at].merge(message);
        let cache = &caches[at];
        assert!(cache.versions().covers(&before.versions()));
        let version = |cache: &DirectoryCache| cache.bundle().map_or(0, |bundle| bundle.version);
        assert!(
            version(&before) <= version(cache),
            "the bundle in force was replaced by an older one"
        );
        assert_eq!(outcome.any(), before.versions() != cache.versions());
        assert!(outcome.rejected.is_none() || !outcome.any());
        contents.check(cache);
        // After a restart, a bundle older than the one in force is rejected.
        if rng.random_bool(0.05) {
            let mut restarted = DirectoryCache::new(version(cache));
            restarted.merge(sent.choose(&mut rng).expect("not empty").clone());
            assert!(
                restarted
                    .bundle()
                    .is_none_or(|bundle| bundle.version >= version(cache))
            );
        }
    }
    let last = states.last().expect("not empty");
    for cache in &mut caches {
        cache.merge(last.directory(&cache.versions()));
        assert_eq!(cache.versions(), last.versions());
        assert!(last.directory(&cache.versions()).is_empty());
        contents.check(cache);
    }
}

/// Replaces the bundle in a message by an older or forged one with a newer index.
fn corrupt_bundle(
    message: &mut Directory,
    states: &[State],
    cache: &DirectoryCache,
    rng: &mut StdRng,
) {
    let Some(known) = cache.bundle() else {
        return;
    };
    let older: Vec<&SignedBundle> = states
        .iter()
        .filter(|state| {
            state
                .bundle()
                .is_some_and(|bundle| bundle.version < known.version)
        })
        .filter_map(State::signed_bundle)
        .collect();
    let mut other = known.clone();
    other.services[0].new_percent = 77;
    let forged = successor_of(&other, known.version, cache.digest());
    let content = match (rng.random_range(0..3), older.choose(rng)) {
        (0, Some(older)) => (*older).clone(),
        // Different content for the version in force.
        (1, _) => signed(&other, &[1]),
        // A successor that no operator signed.
        _ => signed(&forged, &[9]),
    };
    message.bundle = Some(Versioned {
        version: 1000,
        content,
    });
}

#[test]
fn the_version_in_force_never_decreases() {
    run_histories(seeds(800), history);
}
