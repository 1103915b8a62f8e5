//! Compares the replicated state with a model that is computed from the whole history of commands.

// clippy.toml allows `unwrap` in test functions, but not in the helpers of an integration test.
#![allow(clippy::unwrap_used)]

mod fixture;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use camphordale_domain::{
    Command,
    HomedShard,
    Outcome,
    Phase,
    State,
    StoredResponse,
    View, //
};
use camphordale_types::{
    Digest,
    Service,
    ShardRef,
    Side,
    TargetId,
    TargetSpec,
    TargetState,
    Token,
    VmId, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};
use rstest::rstest;

use fixture::{
    SERVICE,
    SHARDS, //
};

const TERM: u64 = 50;

type Entry = (u64, u64, Command, Outcome);

fn service(new_percent: u8) -> Service {
    Service {
        new_percent,
        ..fixture::service(1000)
    }
}

fn spec(name: u8, side: Side) -> TargetSpec {
    TargetSpec {
        name: format!("t{name}").into(),
        service: SERVICE.into(),
        side,
        address: ([127, 0, 0, 1], u16::from(name)).into(),
        checks_tokens: name.is_multiple_of(2),
        slots: 4,
    }
}

/// Returns a random command that often, but not always, matches the state.
fn random_command(random: &mut StdRng, state: &State, index: u64) -> Command {
    let shard = ShardRef::new(SERVICE, random.random_range(0..SHARDS + 1));
    let known = state.shard(&shard).map_or(Token::default(), |s| s.token);
    let expected_token = match random.random_range(0..10) {
        0 => Token::default(),
        _ => known,
    };
    let ids: Vec<TargetId> = state.targets().map(|t| t.info.id).collect();
    let target = match ids.is_empty() {
        true => 1,
        false => ids[random.random_range(0..ids.len())],
    };
    let phase = state.shard(&shard).map(|s| s.phase);
    let serving = state
        .targets()
        .filter(|t| t.info.state == TargetState::Serving);
    if random.random_bool(0.3)
        && let (Some(phase), Some(target)) = (phase, serving.last())
    {
        let owner = target.info.id;
        return match phase {
            Phase::Free => Command::Assign {
                shard,
                expected_token,
                owner,
            },
            Phase::Held(_) => Command::Release {
                shard,
                expected_token,
            },
            Phase::Releasing(_) | Phase::Parked => Command::Free {
                shard,
                expected_token,
            },
        };
    }
    let vm: VmId = random.random_range(0..3);
    let incarnation = random.random_range(0..2);
    let key = Digest::of(&[random.random_range(0..8)]);
    let request = random.random_range(0..4);
    let side = if random.random() {
        Side::Old
    } else {
        Side::New
    };
    match random.random_range(0..17) {
        0 => Command::OpenVmSession { vm, incarnation },
        1 => Command::EndVmSession { vm, incarnation },
        2 => Command::OpenTargetSession(spec(random.random_range(0..4), side)),
        3 => Command::MarkTargetLeaving(target),
        4 => Command::MarkTargetLost(target),
        5 => Command::SetServices {
            version: index / 20 + random.random_range(0..3),
            services: vec![service([0, 0, 0, 50, 100][random.random_range(0..5)])],
        },
        6 => {
            let homed = |i: u32| HomedShard {
                index: i,
                since: 40 + 10 * u64::from(i) + index / 50 * 10,
                moved: i == 1,
                leaving: i == 2,
            };
            let shards = (0..SHARDS).filter(|_| random.random_bool(0.9)).map(homed);
            Command::SetHomes {
                service: SERVICE.into(),
                shards: shards.collect(),
                version: index / 30 + u64::from(index.is_multiple_of(3)),
            }
        }
        7 | 8 => Command::SetSender {
            target,
            expected_sender: state.target(target).and_then(|t| t.sender),
            sender: vm,
            session: match state.vm(vm) {
                Some(session) if random.random_bool(0.9) => session.id,
                _ => 1,
            },
        },
        9 | 10 => Command::Assign {
            shard,
            expected_token,
            owner: target,
        },
        11 => Command::Release {
            shard,
            expected_token,
        },
        12 => Command::Free {
            shard,
            expected_token,
        },
        13 => Command::Park {
            shard,
            expected_token,
        },
        14 => Command::CreateRecord {
            shard,
            token: expected_token,
            key,
            request,
        },
        15 => Command::FinishRecord {
            key,
            request,
            response: random.random::<bool>().then(|| StoredResponse {
                status: 200,
                headers: Vec::new(),
                body: Vec::new(),
            }),
        },
        _ => Command::EraseRecord { key, request },
    }
}

/// Computes a shard's phase and token from the commands that took effect.
fn model_shard(history: &[Entry], shard: &ShardRef) -> Option<(Phase, Token)> {
    let (mut current, mut newest, mut since) = (None, 0, 0);
    let mut listed = false;
    for (index, epoch, command, _) in history.iter().filter(|e| e.3 == Outcome::Done) {
        match command {
            Command::SetHomes { shards, .. } => {
                newest = shards.iter().map(|s| s.since).fold(newest, u64::max);
                let home = shards.iter().find(|s| s.index == shard.index);
                listed = home.is_some();
                current = match (home, current) {
                    (Some(_), None) => Some((Phase::Free, Token::default())),
                    (Some(h), Some((Phase::Parked, token))) if h.since > since => {
                        Some((Phase::Free, token))
                    }
                    (None, Some((Phase::Free | Phase::Parked, _))) => None,
                    (_, same) => same,
                };
                since = home.map_or(since, |h| h.since.max(since));
            }
            Command::Assign {
                shard: s, owner, ..
            } if s == shard => {
                let token = Token {
                    term: TERM.max(newest),
                    epoch: *epoch,
                    seq: *index,
                };
                current = Some((Phase::Held(*owner), token));
            }
            Command::Release { shard: s, .. } if s == shard => {
                let (phase, token) = current.unwrap();
                current = Some((Phase::Releasing(phase.owner().unwrap()), token));
            }
            Command::Free {
                shard: s,
                expected_token,
            } if s == shard => {
                current = listed.then_some((Phase::Free, *expected_token));
            }
            Command::Park {
                shard: s,
                expected_token,
            } if s == shard => {
                current = Some((Phase::Parked, *expected_token));
            }
            _ => {}
        }
    }
    current
}

/// Computes a target's state, sender and token from the commands that took effect.
fn model_target(history: &[Entry], id: TargetId) -> Option<(TargetState, Option<VmId>, Token)> {
    let mut current: Option<(TargetState, Option<VmId>, Token)> = None;
    let (mut name, mut newest) = (None, 0);
    let mut sessions: BTreeMap<VmId, u64> = BTreeMap::new();
    for (index, epoch, command, outcome) in history {
        if matches!(outcome, Outcome::Refused(_)) {
            continue;
        }
        match command {
            Command::SetHomes { shards, .. } => {
                newest = shards.iter().map(|s| s.since).fold(newest, u64::max);
            }
            Command::OpenTargetSession(spec) if *index == id => {
                current = Some((TargetState::Serving, None, Token::default()));
                name = Some(&spec.name);
            }
            Command::OpenTargetSession(spec) if name == Some(&spec.name) => {
                current = current.map(|(_, sender, token)| (TargetState::Lost, sender, token));
            }
            Command::MarkTargetLeaving(t) if *t == id => {
                current = current.map(|(_, sender, token)| (TargetState::Leaving, sender, token));
            }
            Command::MarkTargetLost(t) if *t == id => {
                current = current.map(|(_, sender, token)| (TargetState::Lost, sender, token));
            }
            Command::OpenVmSession { vm, incarnation } => {
                if sessions.insert(*vm, *incarnation) != Some(*incarnation)
                    && let Some((_, sender, _)) = &mut current
                    && *sender == Some(*vm)
                {
                    *sender = None;
                }
            }
            Command::EndVmSession { vm, .. } => {
                sessions.remove(vm);
                if let Some((_, sender, _)) = &mut current
                    && *sender == Some(*vm)
                {
                    *sender = None;
                }
            }
            Command::SetSender { target, sender, .. } if *target == id => {
                let token = Token {
                    term: TERM.max(newest),
                    epoch: *epoch,
                    seq: *index,
                };
                assert!(sessions.contains_key(sender));
                current = current.map(|(state, _, _)| (state, Some(*sender), token));
            }
            _ => {}
        }
    }
    current
}

/// Applies a view as a router does.
fn apply_view(known: &mut View, view: View) {
    if view.since == 0 {
        *known = view;
        return;
    }
    known.targets.retain(|t| {
        !view.removed_targets.contains(&t.info.id)
            && view.targets.iter().all(|n| n.info.id != t.info.id)
    });
    known.shards.retain(|s| {
        !view.removed_shards.contains(&(s.service.clone(), s.index))
            && view.shards.iter().all(|n| n.index != s.index)
    });
    known.targets.extend(view.targets);
    known.shards.extend(view.shards);
    known.targets.sort_by_key(|t| t.info.id);
    known.shards.sort_by_key(|s| s.index);
    known.vms = view.vms;
    known.bundle_version = view.bundle_version;
    known.index = view.index;
}

// Guards against owners, senders or tokens that differ from the model, against views whose
// differences do not add up to the state, and against snapshots that lose data.
#[rstest]
fn state_matches_the_model_of_the_history(#[values(0, 1000, 2000, 3000)] first: u64) {
    let mut assigned = 0;
    for seed in first..first + 400 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut state = State::new(TERM, false);
        let mut history: Vec<Entry> = Vec::new();
        let mut routers = vec![View::default(); 2];
        let mut epoch = 1;
        let mut targets = BTreeSet::new();
        for step in 1..=200u64 {
            let index = step * 2;
            epoch += u64::from(random.random_bool(0.05));
            let command = random_command(&mut random, &state, index);
            let before = state.clone();
            let outcome = state.apply(index, epoch, &command);
            if let Outcome::Session(id) = &outcome {
                targets.insert(*id);
            }
            if matches!(outcome, Outcome::Refused(_)) {
                assert_eq!(
                    before.layout_index(),
                    state.layout_index(),
                    "seed {seed}: {command:?}"
                );
            }
            assigned += u32::from(matches!(
                (&command, &outcome),
                (Command::Assign { .. }, Outcome::Done)
            ));
            history.push((index, epoch, command, outcome));
            for router in routers.iter_mut().filter(|_| random.random_bool(0.2)) {
                apply_view(router, state.view(router.index));
                let whole = state.view(0);
                assert_eq!(
                    *router,
                    View {
                        since: router.since,
                        ..whole
                    },
                    "seed {seed}"
                );
            }
        }
        assert_eq!(State::decode(&state.encode().unwrap()).unwrap(), state);
        for index in 0..SHARDS {
            let shard = ShardRef::new(SERVICE, index);
            let actual = state.shard(&shard).map(|s| (s.phase, s.token));
            assert_eq!(
                actual,
                model_shard(&history, &shard),
                "seed {seed}: {shard}"
            );
        }
        for id in targets {
            let expected = model_target(&history, id).unwrap();
            match state.target(id) {
                Some(t) => assert_eq!((t.info.state, t.sender, t.token), expected, "seed {seed}"),
                None => assert_eq!(expected.0, TargetState::Lost, "seed {seed}"),
            }
        }
    }
    assert!(assigned > 1000, "only {assigned} assignments");
}

// Guards against an outdated list of homes that restores a shard that has moved away, and against
// the assignment of a parked shard that may have moved already after a report of this group.
#[test]
fn outdated_home_lists_restore_no_moved_or_parked_shard() {
    let mut state = State::new(TERM, false);
    let home = |since, leaving| HomedShard {
        index: 0,
        since,
        moved: false,
        leaving,
    };
    let list = |version, shards| Command::SetHomes {
        service: SERVICE.into(),
        version,
        shards,
    };
    let shard = ShardRef::new(SERVICE, 0);
    state.apply(1, 1, &list(5, vec![home(60, true)]));
    let park = Command::Park {
        shard: shard.clone(),
        expected_token: Token::default(),
    };
    assert_eq!(state.apply(2, 1, &park), Outcome::Done);
    state.apply(3, 1, &list(6, vec![home(60, false)]));
    assert_eq!(state.shard(&shard).unwrap().phase, Phase::Parked);
    state.apply(4, 1, &list(7, Vec::new()));
    let old = state.apply(5, 1, &list(6, vec![home(60, false)]));
    assert!(matches!(old, Outcome::Refused(_)));
    assert_eq!(state.shard(&shard), None);
    state.apply(6, 1, &list(8, vec![home(70, false)]));
    assert_eq!(state.shard(&shard).unwrap().phase, Phase::Free);
}
