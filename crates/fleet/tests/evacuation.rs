//! Evacuations in the replicated state: their encodings, and what follows from them.

#![allow(clippy::unwrap_used)]

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    sync::Arc,
};

use camphordale_fleet::{
    Accepted,
    Change,
    Command,
    ConfigResource,
    Digest,
    Domain,
    EvacuationOrder,
    EvacuationOrder::{
        End,
        Start, //
    },
    KeyDelivery,
    KeyMap,
    Limits,
    Member,
    Outcome,
    PeerMessage,
    Routing,
    Service,
    ServiceName,
    State,
    Target,
    TargetId,
    TargetState,
    View,
    WarmUp, //
};
use rstest::rstest;
use serde::{
    Deserialize,
    Serialize, //
};

/// The view of the version before evacuations.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct FormerView {
    index: u64,
    routing: Option<Arc<Routing>>,
    targets: BTreeMap<TargetId, Target>,
    keys: BTreeMap<ServiceName, KeyMap>,
    members: BTreeMap<u64, Member>,
}

impl FormerView {
    fn of(view: &View) -> FormerView {
        FormerView {
            index: view.index,
            routing: view.routing.clone(),
            targets: view.targets.clone(),
            keys: view.keys.clone(),
            members: view.members.clone(),
        }
    }
}

/// The state of the version before evacuations.
type FormerState = (FormerView, VecDeque<Accepted>, BTreeSet<Digest>);

/// Number of the variant of [`PeerMessage::Snapshot`].
const SNAPSHOT: u8 = 5;

fn target(service: &str, domain: &str) -> Target {
    Target {
        incarnation: 1,
        service: service.into(),
        address: format!("10.0.{}.1:80", service.len()).parse().unwrap(),
        domain: domain.into(),
        slots: 4,
        state: TargetState::Ready,
    }
}

/// A state with something in each of its parts.
fn state() -> State {
    let mut state = State::default();
    let change = Change {
        base_version: 0,
        version: 2,
        replace_all: true,
        routes: Vec::new(),
        services: Vec::new(),
        limits: Some(ConfigResource {
            spec: Limits::default(),
            document: "{}".into(),
        }),
        removed_routes: Vec::new(),
        removed_services: Vec::new(),
        digest: [7; 16],
        received_ms: 5,
    };
    let member = Member {
        id: 1,
        peer: "10.0.0.1:7000".parse().unwrap(),
        control: "10.0.0.1:8000".parse().unwrap(),
        domain: "a".into(),
    };
    let commands = [
        Command::Change(Box::new(change)),
        Command::Member(member),
        Command::Announce {
            id: "t1".into(),
            target: target("s", "a"),
        },
    ];
    for (index, command) in (1..).zip(&commands) {
        assert_eq!(state.apply(index, command), Outcome::Done);
    }
    state
}

fn evacuate(state: &mut State, domain: &str, order: camphordale_fleet::EvacuationOrder) {
    let domain: Domain = domain.into();
    let command = Command::Evacuate { domain, order };
    assert_eq!(state.apply(state.view.index + 1, &command), Outcome::Done);
}

fn encoded<Value>(value: &Value) -> Vec<u8>
where
    Value: Serialize,
{
    postcard::to_stdvec(value).unwrap()
}

fn decoded<Value>(bytes: &[u8]) -> Value
where
    Value: for<'de> Deserialize<'de>,
{
    postcard::from_bytes(bytes).unwrap()
}

fn snapshot(state: &State) -> PeerMessage {
    PeerMessage::Snapshot(Box::new(state.view.clone()))
}

/// Guards against another encoding for deployments that know no evacuations, and against a state or
/// a view of the version before that cannot be read.
#[test]
fn without_evacuations_the_encodings_are_those_of_the_version_before() {
    let state = state();
    let digests = BTreeSet::from([[7u8; 16]]);
    let former: FormerState = (FormerView::of(&state.view), state.history.clone(), digests);
    assert_eq!(encoded(&state), encoded(&former));
    assert_eq!(decoded::<State>(&encoded(&former)), state);
    let sent = [vec![SNAPSHOT], encoded(&former.0)].concat();
    assert_eq!(snapshot(&state).encode().unwrap(), sent);
    assert_eq!(PeerMessage::decode(&sent).unwrap(), snapshot(&state));
}

/// Guards against an evacuation that is lost with a snapshot, and against a member or an entry VM of
/// the version before that cannot read it.
#[rstest]
fn evacuations_are_stored_and_sent(#[values(1, 2, 3)] orders: usize) {
    let mut state = state();
    let all = [("b", Start), ("c", Start), ("b", End)];
    for (domain, order) in &all[..orders] {
        evacuate(&mut state, domain, *order);
    }
    assert_eq!(state.view.is_evacuated("b"), orders < 3);
    assert_eq!(state.view.is_evacuated("c"), orders > 1);
    let stored = encoded(&state);
    assert_eq!(decoded::<State>(&stored), state);
    let sent = snapshot(&state).encode().unwrap();
    assert_eq!(PeerMessage::decode(&sent).unwrap(), snapshot(&state));
    let former: FormerState = decoded(&stored);
    assert_eq!(former.0, FormerView::of(&state.view));
    assert_eq!(decoded::<FormerView>(&sent[1..]), former.0);
}

/// Guards against a record that was cut off, or that a later version wrote, and is read as no
/// evacuation.
#[test]
fn a_record_that_cannot_be_read_is_an_error() {
    let mut state = state();
    let without = encoded(&state).len();
    evacuate(&mut state, "b", Start);
    let mut stored = encoded(&state);
    for length in without + 1..stored.len() {
        assert!(postcard::from_bytes::<State>(&stored[..length]).is_err());
    }
    stored[without] += 1;
    assert!(postcard::from_bytes::<State>(&stored).is_err());
}

/// Guards against commands of earlier logs that are read as other ones.
#[test]
fn the_order_is_the_last_command() {
    let (domain, order): (Domain, _) = ("b".into(), End);
    let command = Command::Evacuate { domain, order };
    assert_eq!(encoded(&command), [6, 1, b'b', 1]);
}

/// Guards against targets that count as cold without a warm-up rate, or in another domain.
#[test]
fn targets_with_a_warm_up_rate_return_cold() {
    let mut view = state().view;
    let service = |cold| ConfigResource {
        spec: Service {
            health_path: "/".into(),
            max_connections: 10,
            keys: KeyDelivery::Unkeyed,
            warm_up: std::time::Duration::ZERO,
            cold,
        },
        document: "{}".into(),
    };
    let warm_up = WarmUp {
        time: std::time::Duration::from_secs(3),
        rate: 5.7.try_into().unwrap(),
    };
    let mut routing = Routing::default();
    routing
        .services
        .insert("slow".into(), service(Some(warm_up)));
    routing.services.insert("s".into(), service(None));
    view.routing = Some(Arc::new(routing));
    view.targets.insert("t2".into(), target("slow", "a"));
    view.targets.insert("t3".into(), target("slow", "b"));
    for order in [EvacuationOrder::Start, EvacuationOrder::End] {
        let domain = "a".into();
        view.apply(7, &Command::Evacuate { domain, order });
    }
    let is_cold = |target: &&str| view.targets[*target].state == TargetState::Cold;
    let cold: Vec<&str> = ["t1", "t2", "t3"]
        .into_iter()
        .filter(|t| is_cold(t))
        .collect();
    assert_eq!(cold, ["t2"]);
}
