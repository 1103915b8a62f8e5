//! Contents of the routing and of the view that entry VMs ask for in parts.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use camphordale_fleet::{
    Call,
    Change,
    ConfigResource,
    Content,
    ContentKind,
    Control,
    Effect,
    Event,
    KeyDelivery,
    Member,
    MemberList,
    PeerMessage,
    Reply,
    RetryPolicy,
    Route,
    Service,
    State,
    View,
    Wanted,
    WeightedService, //
};
use rand::{
    RngCore,
    SeedableRng,
    rngs::StdRng, //
};

use crate::cluster::{
    FIRST_WATCHED,
    TestCluster,
    announce,
    config,
    member,
    ms, //
};

/// Bytes of a part that tests ask for.
const PART_BYTES: u32 = 4096;

/// A change that adds a service if it is the first one, and routes with random prefixes.
fn change(base: u64, version: u64, routes: usize) -> Change {
    let mut random = StdRng::seed_from_u64(version);
    let added = (0..routes).map(|number| {
        let name = format!("r-{version}-{number}");
        let spec = Route {
            host: "a.example".into(),
            path_prefix: format!("/{version}/{:016x}/", random.next_u64()).into(),
            retry_policy: RetryPolicy::Idempotent,
            large_bodies: false,
            timeout: ms(800),
            latency_objective: ms(400),
            priority: 1,
            max_attempts: 2,
            split: vec![WeightedService {
                service: "s".into(),
                weight: 1.0,
            }],
        };
        let document = format!(r#"{{"name":"{name}","prefix":"{}"}}"#, spec.path_prefix).into();
        (name.into(), ConfigResource { spec, document })
    });
    let service = Service {
        health_path: "/health".into(),
        max_connections: 100,
        keys: KeyDelivery::Unkeyed,
        warm_up: Duration::ZERO,
        cold: None,
    };
    let service = ConfigResource {
        spec: service,
        document: "{}".into(),
    };
    let mut digest = [0; 16];
    digest[..8].copy_from_slice(&version.to_be_bytes());
    Change {
        base_version: base,
        version,
        replace_all: false,
        routes: added.collect(),
        services: if base == 0 {
            vec![("s".into(), service)]
        } else {
            Vec::new()
        },
        limits: None,
        removed_routes: Vec::new(),
        removed_services: Vec::new(),
        digest,
        received_ms: 0,
    }
}

/// A cluster with a routing and a target.
fn cluster(seed: u64) -> TestCluster {
    let mut cluster = TestCluster::new(seed);
    cluster.ask(Call::Change(Box::new(change(0, 2, 10))));
    cluster.ask(announce(1, 100, false));
    cluster.run(ms(500));
    cluster
}

fn view(cluster: &TestCluster) -> &View {
    let leader = &cluster.vms[&cluster.leader().unwrap()];
    &leader.control.as_ref().unwrap().state().view
}

fn send(cluster: &mut TestCluster, at: SocketAddr, conn: u64, message: PeerMessage) {
    cluster.step(at, Event::Stream { conn, message });
}

fn follow(cluster: &mut TestCluster, conn: u64, index: u64, version: u64) {
    let leader = cluster.leader().unwrap();
    let message = PeerMessage::Follow {
        entry_id: conn,
        domain: "a".into(),
        index,
        version,
    };
    send(cluster, leader, conn, message);
}

/// Submits a change. It is not acknowledged until the entry VMs act on it.
fn submit(cluster: &mut TestCluster, change: Change) {
    let leader = cluster.leader().unwrap();
    cluster.call(leader, Call::Change(Box::new(change)));
    cluster.run(ms(200));
}

/// What was streamed to an entry VM since the last call.
fn received(cluster: &mut TestCluster, conn: u64) -> Vec<PeerMessage> {
    cluster.watched.remove(&conn).unwrap_or_default()
}

fn streamed_bytes(messages: &[PeerMessage]) -> usize {
    let lengths = messages
        .iter()
        .map(|message| message.encode().unwrap().len());
    lengths.sum()
}

/// Asks the leader for what is missing of a content, up to `until` bytes.
fn pull(cluster: &mut TestCluster, conn: u64, wanted: Wanted, bytes: &mut Vec<u8>, until: usize) {
    while bytes.len() < until {
        let leader = cluster.leader().unwrap();
        let message = PeerMessage::Pull {
            wanted,
            offset: bytes.len() as u32,
            length: PART_BYTES,
        };
        send(cluster, leader, conn, message);
        let messages = received(cluster, conn);
        let [PeerMessage::Part(part)] = &messages[..] else {
            panic!("no part: {messages:?}");
        };
        assert_eq!(part.offset as usize, bytes.len());
        assert!(part.bytes.len() <= PART_BYTES as usize && !part.bytes.is_empty());
        bytes.extend_from_slice(&part.bytes);
    }
}

/// Guards against a change of many routes that is sent to each entry VM in one message, whatever the
/// link bears, together with documents that entry VMs never use.
#[test]
fn a_long_change_is_sent_as_it_is_asked_for() {
    let mut cluster = cluster(31);
    let index = view(&cluster).index;
    let conns = [FIRST_WATCHED, FIRST_WATCHED + 1];
    for conn in conns {
        follow(&mut cluster, conn, index, 2);
        let messages = received(&mut cluster, conn);
        assert_eq!(messages, [PeerMessage::Resume { index }]);
    }
    let change = change(2, 3, 1000);
    submit(&mut cluster, change.clone());
    for conn in conns {
        let messages = received(&mut cluster, conn);
        assert!(streamed_bytes(&messages) < 4096, "unasked");
        let part = messages.into_iter().find_map(|message| match message {
            PeerMessage::RoutingNotice { part, .. } => Some(part),
            _ => None,
        });
        let part = part.unwrap();
        let kind = ContentKind::Change {
            base: 2,
            version: 3,
        };
        assert_eq!(part.content.kind, kind);
        let length = part.content.length as usize;
        let mut bytes = part.bytes.to_vec();
        pull(&mut cluster, conn, Wanted::ChangeOn(2), &mut bytes, length);
        let found = Content::decode_change(&part.content, &bytes).unwrap();
        assert_eq!(found.routes.len(), change.routes.len());
        for ((name, item), (expected_name, expected)) in found.routes.iter().zip(&change.routes) {
            assert_eq!((name, &item.spec), (expected_name, &expected.spec));
            assert!(item.document.is_empty());
        }
    }
}

/// Guards against transfers that begin anew with each leader, and never end while leaders change.
#[test]
fn a_transfer_goes_on_with_the_next_leader() {
    let mut cluster = cluster(32);
    let index = view(&cluster).index;
    follow(&mut cluster, FIRST_WATCHED, index, 2);
    received(&mut cluster, FIRST_WATCHED);
    submit(&mut cluster, change(2, 3, 1000));
    let notice = received(&mut cluster, FIRST_WATCHED);
    let first = notice.iter().find_map(|message| match message {
        PeerMessage::RoutingNotice { part, .. } => Some(part.clone()),
        _ => None,
    });
    let first = first.unwrap();
    let length = first.content.length as usize;
    let mut bytes = first.bytes.to_vec();
    let wanted = Wanted::ChangeOn(2);
    pull(&mut cluster, FIRST_WATCHED, wanted, &mut bytes, length / 2);
    let old = cluster.leader().unwrap();
    cluster.stop(old);
    while cluster.leader().is_none() {
        cluster.run(ms(20));
    }
    let conn = FIRST_WATCHED + 1;
    follow(&mut cluster, conn, index, 2);
    let messages = received(&mut cluster, conn);
    let again = messages.iter().find_map(|message| match message {
        PeerMessage::RoutingNotice { part, .. } => Some(part.content),
        _ => None,
    });
    assert_eq!(again, Some(first.content), "the same bytes");
    pull(&mut cluster, conn, wanted, &mut bytes, length);
    assert!(Content::decode_change(&first.content, &bytes).is_ok());
}

/// Guards against entry VMs that are sent the whole view again and again after all control VMs have
/// started from a snapshot whose last entry is no command, which keeps the leader from all else.
#[test]
fn a_view_from_a_snapshot_is_followed() {
    let members: Vec<Member> = vec![member(1, 1)];
    let mut state = State::default();
    state.view.members.insert(1, members[0].clone());
    state.view.index = 4;
    let mut recovered = Control::bootstrap_state(members.clone()).unwrap();
    let snapshot = recovered.snapshot.as_mut().unwrap();
    (snapshot.index, snapshot.term) = (6, 1);
    snapshot.data = postcard::to_stdvec(&state).unwrap();
    recovered.hard_state.term = 1;
    let stored = MemberList::default();
    let config = config(members[0].clone(), 7);
    let mut control = Control::new(config, recovered, members, stored).unwrap();
    let mut now = ms(0);
    for _ in 0..1000 {
        now += ms(10);
        control.step(Event::Tick, now);
    }
    assert!(control.is_leader());
    let mut follow = |index: u64| {
        let message = PeerMessage::Follow {
            entry_id: 9,
            domain: "a".into(),
            index,
            version: 0,
        };
        let effects = control.step(Event::Stream { conn: 9, message }, now);
        let messages = effects.into_iter().filter_map(|effect| match effect {
            Effect::Stream { message, .. } => Some(message),
            _ => None,
        });
        messages.collect::<Vec<PeerMessage>>()
    };
    let whole = |message: &PeerMessage| matches!(message, PeerMessage::Part(_));
    assert!(follow(0).iter().any(whole));
    let resume = PeerMessage::Resume { index: 4 };
    assert_eq!(follow(4).last(), Some(&resume));
}

/// Guards against an acknowledgement of a change while an entry VM has received a view with it, and
/// still acts on the view before.
#[test]
fn a_received_view_counts_when_it_is_confirmed() {
    let mut cluster = cluster(36);
    let leader = cluster.leader().unwrap();
    let index = view(&cluster).index;
    follow(&mut cluster, FIRST_WATCHED, index, 2);
    let message = PeerMessage::Pull {
        wanted: Wanted::View([0; 16]),
        offset: 0,
        length: 1,
    };
    // What it asks for is not kept, so it is offered the view.
    send(&mut cluster, leader, FIRST_WATCHED, message);
    let call = Call::Change(Box::new(change(2, 3, 1000)));
    let token = cluster.call(leader, call);
    cluster.run(ms(200));
    let index = view(&cluster).index;
    follow(&mut cluster, FIRST_WATCHED, index, 3);
    cluster.run(ms(100));
    assert_eq!(cluster.reply(token), None);
    let message = PeerMessage::RoutingInForce(3);
    send(&mut cluster, leader, FIRST_WATCHED, message);
    cluster.run(ms(100));
    assert_eq!(cluster.reply(token), Some(&Reply::Done { is_leader: true }));
}

/// Guards against an entry VM that is sent the whole view, several times as long as the change that it
/// lacks, because it lost its stream while the change was on its way.
#[test]
fn an_entry_vm_that_lacks_a_long_change_is_not_sent_the_view() {
    let mut cluster = cluster(35);
    let index = view(&cluster).index;
    submit(&mut cluster, change(2, 3, 3000));
    cluster.ask(announce(2, 100, true));
    follow(&mut cluster, FIRST_WATCHED, index, 2);
    let messages = received(&mut cluster, FIRST_WATCHED);
    let [resume, notice, update] = &messages[..] else {
        panic!("{messages:?}");
    };
    assert_eq!(*resume, PeerMessage::Resume { index });
    assert!(matches!(notice, PeerMessage::RoutingNotice { .. }));
    assert!(matches!(update, PeerMessage::Update { .. }));
}

/// Guards against a VM that starts and never gets the whole view over a narrow link, or misses what
/// changes while it receives the view.
#[test]
fn a_whole_view_is_sent_as_it_is_asked_for() {
    let mut cluster = cluster(33);
    cluster.ask(Call::Change(Box::new(change(2, 3, 1000))));
    follow(&mut cluster, FIRST_WATCHED, 0, 0);
    let messages = received(&mut cluster, FIRST_WATCHED);
    assert!(streamed_bytes(&messages) < 4096, "unasked");
    let [PeerMessage::Part(part)] = &messages[..] else {
        panic!("no part: {messages:?}");
    };
    let mut bytes = part.bytes.to_vec();
    let (wanted, length) = (Wanted::View(part.content.id), part.content.length as usize);
    pull(&mut cluster, FIRST_WATCHED, wanted, &mut bytes, length / 2);
    cluster.ask(Call::Change(Box::new(change(3, 4, 1))));
    cluster.ask(announce(2, 100, true));
    assert!(
        received(&mut cluster, FIRST_WATCHED).is_empty(),
        "no view yet"
    );
    pull(&mut cluster, FIRST_WATCHED, wanted, &mut bytes, length);
    let mut found = Content::decode_view(&part.content, &bytes).unwrap();
    assert_eq!(found.routing.as_ref().unwrap().routes.len(), 1010);
    follow(&mut cluster, FIRST_WATCHED, found.index, 3);
    for message in received(&mut cluster, FIRST_WATCHED) {
        match message {
            PeerMessage::Update { index, command } => {
                found.apply(index, &command);
            }
            PeerMessage::RoutingNotice { index, part } => {
                let change = Content::decode_change(&part.content, &part.bytes).unwrap();
                found.change_routing(&change);
                found.index = index;
            }
            _ => {}
        }
    }
    let expected = view(&cluster);
    assert_eq!(
        (found.index, &found.targets),
        (expected.index, &expected.targets)
    );
    let version = |view: &View| view.routing.as_ref().unwrap().version;
    assert_eq!(version(&found), version(expected));
}

/// Guards against entry VMs of an older version that get messages which they do not know, in a rolling
/// upgrade.
#[test]
fn an_entry_vm_that_does_not_follow_gets_whole_updates() {
    let mut cluster = cluster(34);
    let leader = cluster.leader().unwrap();
    let message = PeerMessage::Resubscribe {
        entry_id: FIRST_WATCHED,
        domain: "a".into(),
        index: view(&cluster).index,
    };
    send(&mut cluster, leader, FIRST_WATCHED, message);
    cluster.ask(Call::Change(Box::new(change(2, 3, 1000))));
    let messages = received(&mut cluster, FIRST_WATCHED);
    let is_new = |message: &PeerMessage| {
        matches!(
            message,
            PeerMessage::Part(_) | PeerMessage::RoutingNotice { .. }
        )
    };
    assert!(!messages.iter().any(is_new));
    let is_update = |message: &PeerMessage| matches!(message, PeerMessage::Update { .. });
    assert_eq!(
        messages.iter().filter(|message| is_update(message)).count(),
        1
    );
}
