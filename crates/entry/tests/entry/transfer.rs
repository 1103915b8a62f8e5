//! Contents of the routing and of the view that arrive in parts.

use std::{
    sync::Arc,
    time::Duration, //
};

use camphordale_entry::Event;
use camphordale_fleet::{
    Change,
    Command,
    ConfigResource,
    Content,
    Holder,
    KeyRange,
    Part,
    PeerMessage,
    RetryPolicy,
    View,
    Wanted, //
};
use rand::{
    RngCore,
    SeedableRng,
    rngs::StdRng, //
};

use crate::harness::{
    Harness,
    KEYED,
    READS,
    StepOutput,
    ms,
    route, //
};

/// Rate of the link of the harness in bytes per second.
const LINK_RATE: f64 = 200_000.0;
/// Time from a request for a part to its arrival.
const ROUND_TRIP: Duration = Duration::from_millis(5);

/// A change that adds routes of [`READS`] with random prefixes.
fn change(base: u64, version: u64, routes: usize) -> Change {
    let mut random = StdRng::seed_from_u64(version);
    let added = (0..routes).map(|number| {
        let mut spec = route(READS, RetryPolicy::Idempotent);
        spec.path_prefix = format!("/{version}-{number}/{:016x}/", random.next_u64()).into();
        let document = "".into();
        let name = format!("{version}-{number}").into();
        (name, ConfigResource { spec, document })
    });
    Change {
        base_version: base,
        version,
        replace_all: false,
        routes: added.collect(),
        services: Vec::new(),
        limits: None,
        removed_routes: Vec::new(),
        removed_services: Vec::new(),
        digest: [0; 16],
        received_ms: 0,
    }
}

fn notice(index: u64, content: &Content) -> PeerMessage {
    let part = content.part(0, 1024);
    PeerMessage::RoutingNotice { index, part }
}

fn version(harness: &Harness) -> u64 {
    harness.entry.view().routing.as_ref().unwrap().version
}

/// The part that is asked for, if any.
fn answer(output: &StepOutput, content: &Content) -> Option<Part> {
    output.messages.iter().find_map(|message| match message {
        PeerMessage::Pull { offset, length, .. } => {
            Some(content.part(*offset, *length as usize)) //
        }
        _ => None,
    })
}

/// Answers requests for parts until none follows or `until` bytes have arrived. Returns the times and
/// lengths of the parts.
fn transfer(
    harness: &mut Harness,
    mut output: StepOutput,
    content: &Content,
    until: usize,
) -> Vec<(Duration, usize)> {
    let mut parts = Vec::new();
    let mut arrived = 0;
    let end = harness.now + ms(60_000);
    while harness.now < end && arrived < until {
        if let Some(part) = answer(&output, content) {
            harness.now += ROUND_TRIP;
            arrived += part.bytes.len();
            parts.push((harness.now, part.bytes.len()));
            output = harness.receive(PeerMessage::Part(part));
            if harness.entry.transfer_progress() == (0, 0) {
                break;
            }
            continue;
        }
        // The leader answers pings meanwhile.
        harness.receive(PeerMessage::Pong {
            sent: harness.now,
            entries: Default::default(),
        });
        output = harness.advance(ms(10));
    }
    parts
}

/// Guards against a large change that takes the link away from callers, and holds up what waits behind
/// it.
#[test]
fn a_long_change_takes_a_share_of_the_link() {
    let mut harness = Harness::new();
    let content = Content::of_change(&change(1, 2, 3000)).unwrap();
    let length = content.about().length as usize;
    assert!(length > 30_000, "{length} bytes");
    let begun = harness.now;
    let output = harness.receive(notice(11, &content));
    let parts = transfer(&mut harness, output, &content, usize::MAX);
    assert_eq!(version(&harness), 2);
    let mut sum = 0;
    for (at, bytes) in parts {
        assert!(bytes <= 8192, "a part of {bytes} bytes");
        let share = (at - begun).as_secs_f64() * LINK_RATE / 2.0;
        assert!(sum as f64 <= share, "{sum} bytes before {at:?}");
        sum += bytes;
    }
    let took = harness.now - begun;
    assert!(
        took.as_secs_f64() < 8.0 * length as f64 / LINK_RATE,
        "{took:?}"
    );
}

/// Guards against transfers that begin with the first byte again and again, and never end, because
/// streams are lost on a loaded link.
#[test]
fn a_transfer_goes_on_where_it_was_broken_off() {
    let mut harness = Harness::new();
    let content = Content::of_change(&change(1, 2, 3000)).unwrap();
    let length = content.about().length as usize;
    let output = harness.receive(notice(11, &content));
    let mut arrived = 1024;
    let mut parts = transfer(&mut harness, output, &content, length / 4);
    for until in [length / 4, length / 4, usize::MAX] {
        arrived += parts.iter().map(|(_, bytes)| bytes).sum::<usize>();
        harness.step(Event::StreamClosed);
        harness.advance(ms(500));
        let output = harness.receive(PeerMessage::Resume { index: 11 });
        harness.receive(notice(11, &content));
        let (received, _) = harness.entry.transfer_progress();
        assert_eq!(received, arrived, "kept");
        parts = transfer(&mut harness, output, &content, until);
    }
    assert_eq!(version(&harness), 2);
}

/// Guards against keys and targets that stay where they were for requests, because their updates wait
/// behind a large change.
#[test]
fn updates_do_not_wait_for_a_long_change() {
    let mut harness = Harness::new();
    let content = Content::of_change(&change(1, 2, 3000)).unwrap();
    harness.receive(notice(11, &content));
    let holder = |number: u8| Holder {
        id: format!("{KEYED}-{number}").into(),
        incarnation: 1,
    };
    let command = Box::new(Command::Assign {
        service: KEYED.into(),
        previous: Some(holder(0)),
        range: KeyRange {
            from: 0,
            to: u16::MAX,
            holder: Some(holder(1)),
            handover: None,
        },
    });
    harness.receive(PeerMessage::Update { index: 12, command });
    let view = harness.entry.view();
    assert_eq!(view.keys[KEYED].find(7).holder, Some(holder(1)));
    assert_eq!((version(&harness), view.index), (1, 12));
}

/// Guards against a short change that takes effect before the long one that it is based on, or never.
#[test]
fn changes_take_effect_in_their_order() {
    let mut harness = Harness::new();
    let long = Content::of_change(&change(1, 2, 3000)).unwrap();
    let short = Content::of_change(&change(2, 5, 1)).unwrap();
    let output = harness.receive(notice(11, &long));
    let waiting = harness.receive(notice(12, &short));
    assert_eq!(version(&harness), 1);
    assert!(answer(&waiting, &long).is_none(), "one part at a time");
    transfer(&mut harness, output, &long, usize::MAX);
    assert_eq!(version(&harness), 5);
}

/// Guards against an entry VM that stays at an old routing because it missed a change.
#[test]
fn a_missing_change_is_asked_for() {
    let mut harness = Harness::new();
    let later = Content::of_change(&change(3, 4, 1)).unwrap();
    let output = harness.receive(notice(12, &later));
    let follows = |message: &PeerMessage| matches!(message, PeerMessage::Follow { version: 1, .. });
    assert!(output.messages.iter().any(follows), "{:?}", output.messages);
    harness.receive(PeerMessage::Resume { index: 12 });
    for (base, version) in [(1, 3), (3, 4)] {
        let content = Content::of_change(&change(base, version, 1)).unwrap();
        harness.receive(notice(12, &content));
    }
    assert_eq!(version(&harness), 4);
}

/// Guards against a VM that starts and never gets a long view over a narrow link.
#[test]
fn a_whole_view_arrives_in_parts() {
    let mut harness = Harness::without_view();
    harness
        .entry
        .set_seeds(vec!["10.0.0.1:7000".parse().unwrap()]);
    harness.advance(ms(0));
    let view = Harness::view();
    let routing = (**view.routing.as_ref().unwrap()).clone();
    let routing = routing.with_change(&change(1, 2, 3000)).unwrap();
    let view = View {
        routing: Some(Arc::new(routing)),
        ..view
    };
    let content = Content::of_view(&view).unwrap();
    let output = harness.receive(PeerMessage::Part(content.part(0, 1024)));
    let wanted = output.messages.iter().find_map(|message| match message {
        PeerMessage::Pull { wanted, .. } => Some(*wanted),
        _ => None,
    });
    assert_eq!(wanted, Some(Wanted::View(content.about().id)));
    let begun = harness.now;
    transfer(&mut harness, output, &content, usize::MAX);
    // It has no callers yet to whom it would leave the link.
    let passes = f64::from(content.about().length) / LINK_RATE;
    assert!((harness.now - begun).as_secs_f64() < 1.5 * passes);
    let index = view.index;
    harness.receive(PeerMessage::Resume { index });
    assert_eq!(harness.entry.view().index, index);
    let (_, output) = harness.request(READS);
    assert_eq!(output.sent.len(), 1);
    assert!(harness.entry.is_ready(harness.now));
}

/// Guards against a VM that starts and sends requests to a target that has left, or by a routing that
/// was replaced, since the content of its view was made.
#[test]
fn the_first_view_is_not_used_before_the_updates_after_it() {
    let mut harness = Harness::without_view();
    harness.advance(ms(0));
    let view = Harness::view();
    let index = view.index;
    let content = Content::of_view(&view).unwrap();
    let output = harness.receive(PeerMessage::Part(content.part(0, usize::MAX)));
    let follows = |message: &PeerMessage| match message {
        PeerMessage::Follow { index, version, .. } => Some((*index, *version)),
        _ => None,
    };
    assert_eq!(output.messages.iter().find_map(follows), Some((index, 1)));
    let (request, output) = harness.request(READS);
    assert_eq!((output.sent.len(), output.refused.len()), (0, 0));
    for number in 0..2 {
        let output = harness.receive(PeerMessage::Update {
            index: index + 1 + number,
            command: Box::new(Command::Remove {
                id: format!("{READS}-{number}").into(),
                incarnation: 1,
            }),
        });
        assert_eq!((output.sent.len(), output.refused.len()), (0, 0));
    }
    let short = Content::of_change(&change(1, 2, 1)).unwrap();
    harness.receive(notice(index + 3, &short));
    assert!(!harness.entry.is_ready(harness.now));
    let output = harness.receive(PeerMessage::Resume { index });
    let [(_, sent, target)] = &output.sent[..] else {
        panic!("{:?}", output.sent);
    };
    assert_eq!((*sent, &**target), (request, "reads-2"));
    let confirmed = PeerMessage::RoutingInForce(2);
    assert!(output.messages.contains(&confirmed), "an operator waits");
    assert_eq!(
        (version(&harness), harness.entry.view().index),
        (2, index + 3)
    );
}

/// Guards against a VM that serves by an old view, or by none, after a change that does not fit to its
/// routing.
#[test]
fn the_whole_view_replaces_one_that_a_change_does_not_fit() {
    let mut harness = Harness::new();
    let mut unknown = change(1, 2, 1);
    unknown.routes[0].1.spec.split[0].service = "unknown".into();
    let content = Content::of_change(&unknown).unwrap();
    let output = harness.receive(notice(11, &content));
    let whole = |message: &PeerMessage| matches!(message, PeerMessage::Follow { index: 0, .. });
    assert!(output.messages.iter().any(whole), "{:?}", output.messages);
    let (_, output) = harness.request(READS);
    assert_eq!(output.sent.len(), 1, "by the view that it has");
    let older = View {
        index: 9,
        ..Harness::view()
    };
    let content = Content::of_view(&older).unwrap();
    harness.receive(PeerMessage::Part(content.part(0, usize::MAX)));
    harness.receive(PeerMessage::Resume { index: 9 });
    assert_eq!(harness.entry.view().index, 11, "never an older one");
}
