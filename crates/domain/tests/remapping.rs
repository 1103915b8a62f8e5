//! Bundles that change the shard of a key.

#![allow(clippy::unwrap_used)]

mod fixture;

use camphordale_domain::{
    Command,
    HomedShard,
    Outcome,
    Phase,
    State, //
};
use camphordale_types::{
    Service,
    ShardRef,
    Side,
    TargetId,
    TargetSpec, //
};

use fixture::{
    SERVICE,
    SHARDS, //
};

const HOT: &str = "berth-7";

fn service(deadline: u64) -> Service {
    Service {
        new_percent: 0,
        ..fixture::service(deadline)
    }
}

struct Group {
    state: State,
    index: u64,
}

impl Group {
    /// Creates a group in which one target owns every hashed shard and another may own the hot
    /// key's shard.
    fn start(service: &Service) -> (Self, TargetId, TargetId) {
        let mut group = Group {
            state: State::new(50, false),
            index: 0,
        };
        group.services(1, service);
        let [first, second] = ["t1", "t2"].map(|name| {
            let spec = TargetSpec {
                name: name.into(),
                service: SERVICE.into(),
                side: Side::Old,
                address: "127.0.0.1:9".parse().unwrap(),
                checks_tokens: true,
                slots: 4,
            };
            match group.apply(&Command::OpenTargetSession(spec)) {
                Outcome::Session(id) => id,
                other => panic!("{other:?}"),
            }
        });
        let shards = (0..=SHARDS).map(|index| HomedShard {
            index,
            since: 50,
            moved: false,
            leaving: false,
        });
        group.apply(&Command::SetHomes {
            service: SERVICE.into(),
            version: 1,
            shards: shards.collect(),
        });
        for index in 0..SHARDS {
            assert_eq!(group.assign(index, first), Outcome::Done);
        }
        (group, first, second)
    }

    fn apply(&mut self, command: &Command) -> Outcome {
        self.index += 1;
        self.state.apply(self.index, 1, command)
    }

    fn services(&mut self, version: u64, service: &Service) {
        let services = vec![service.clone()];
        let command = Command::SetServices { version, services };
        assert_eq!(self.apply(&command), Outcome::Done);
    }

    fn assign(&mut self, index: u32, owner: TargetId) -> Outcome {
        let shard = ShardRef::new(SERVICE, index);
        let expected_token = self.state.shard(&shard).unwrap().token;
        self.apply(&Command::Assign {
            shard,
            expected_token,
            owner,
        })
    }

    fn free(&mut self, index: u32) {
        let shard = ShardRef::new(SERVICE, index);
        let expected_token = self.state.shard(&shard).unwrap().token;
        assert_eq!(
            self.apply(&Command::Free {
                shard,
                expected_token
            }),
            Outcome::Done
        );
    }

    fn phase(&self, index: u32) -> Phase {
        let shard = ShardRef::new(SERVICE, index);
        self.state.shard(&shard).unwrap().phase
    }
}

/// Guards against two owners of a key, one under the old and one under the new mapping, when a
/// bundle moves a hot key to a shard of its own or back.
#[test]
fn a_key_changes_its_shard_only_without_an_owner() {
    let plain = service(1000);
    let mut isolated = plain.clone();
    isolated.hot_keys.push(HOT.into());
    let base = plain.hashed_shard(HOT);
    let (mut group, first, second) = Group::start(&plain);

    group.services(2, &isolated);
    assert_eq!(group.phase(base), Phase::Releasing(first));
    assert_eq!(group.phase((base + 1) % SHARDS), Phase::Held(first));
    assert_eq!(group.state.mapping_version(), 1);
    assert!(matches!(group.assign(SHARDS, second), Outcome::Refused(_)));
    group.free(base);
    assert_eq!(group.state.mapping_version(), 2);
    assert_eq!(group.assign(SHARDS, second), Outcome::Done);
    assert_eq!(group.assign(base, first), Outcome::Done);

    group.services(3, &plain);
    assert_eq!(group.phase(base), Phase::Releasing(first));
    assert_eq!(group.phase(SHARDS), Phase::Releasing(second));
    group.free(base);
    let again = group.assign(base, first);
    assert!(matches!(again, Outcome::Refused(_)), "{again:?}");
    group.free(SHARDS);
    assert_eq!(group.assign(base, first), Outcome::Done);
}

/// Guards against a view without the bundle version, which a router could combine with another
/// bundle.
#[test]
fn views_carry_the_bundle_version_in_force() {
    let (mut group, ..) = Group::start(&service(1000));
    let before = group.index;
    group.services(2, &service(900));
    let view = group.state.view(before);
    assert_eq!((view.since, view.bundle_version), (before, 2));
}
