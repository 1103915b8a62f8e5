//! Reconnection to control on links that hold connections back.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use camphordale_entry::{
    ControlStream,
    ControlStreamEffect,
    Event, //
    Position,
};
use camphordale_fleet::{
    Content,
    EntryCounts,
    PeerMessage,
    View, //
};

use crate::harness::{
    Harness,
    KEYED,
    StepOutput,
    ms, //
};

fn stream() -> ControlStream {
    let seeds: Vec<SocketAddr> = vec!["10.0.0.1:7000".parse().unwrap()];
    ControlStream::new(1, "a".into(), seeds)
}

/// Advances the clock until the next attempt. Returns the limit of its connection, and its request.
fn next_attempt(
    stream: &mut ControlStream,
    view: &View,
    now: &mut Duration,
) -> (Duration, PeerMessage) {
    loop {
        let mut effects = Vec::new();
        stream.tick((view, Position::from(view)), *now, &mut effects);
        if let [
            ControlStreamEffect::Connect { timeout, .. },
            ControlStreamEffect::Send(request),
        ] = &effects[..]
        {
            return (*timeout, request.clone());
        }
        *now += ms(10);
    }
}

/// Guards against entry VMs that stay without control for seconds because each attempt ends before
/// the queue of a loaded link lets it through.
#[test]
fn attempts_that_fail_get_more_time() {
    let (mut stream, mut now) = (stream(), ms(0));
    let view = View::default();
    let limits: Vec<Duration> = (0..5)
        .map(|_| {
            let (limit, _) = next_attempt(&mut stream, &view, &mut now);
            now += limit;
            stream.on_closed(now);
            limit
        })
        .collect();
    assert_eq!(limits, [ms(250), ms(500), ms(1000), ms(1000), ms(1000)]);
    next_attempt(&mut stream, &view, &mut now);
    let whole = PeerMessage::Snapshot(Box::default());
    stream.on_message(&whole, now, &mut Vec::new());
    stream.on_closed(now);
    let (limit, _) = next_attempt(&mut stream, &view, &mut now);
    assert_eq!(limit, ms(250), "after an established stream");
}

/// How a control VM is asked for its updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Request {
    Follow,
    Subscribe,
}

fn next_request(stream: &mut ControlStream, view: &View, now: &mut Duration) -> Request {
    let (_, request) = next_attempt(stream, view, now);
    match request {
        PeerMessage::Follow { .. } => Request::Follow,
        PeerMessage::Subscribe { .. } => Request::Subscribe,
        other => panic!("no request: {other:?}"),
    }
}

fn view() -> View {
    View {
        index: 7,
        ..View::default()
    }
}

/// Guards against an entry VM that never gets a view from a control VM of an older version, which
/// closes the connection on a request that it does not know.
#[test]
fn a_control_vm_of_an_older_version_is_asked_for_the_whole_view() {
    let (mut stream, mut now) = (stream(), ms(0));
    let requests: Vec<Request> = (0..6)
        .map(|_| {
            let request = next_request(&mut stream, &view(), &mut now);
            stream.on_rejected(now);
            request
        })
        .collect();
    let cycle = [Request::Follow, Request::Follow, Request::Subscribe];
    assert_eq!(requests, [cycle, cycle].concat());
    for _ in 0..2 {
        next_request(&mut stream, &view(), &mut now);
        stream.on_rejected(now);
    }
    let request = next_request(&mut stream, &view(), &mut now);
    assert_eq!(request, Request::Subscribe);
    let whole = PeerMessage::Snapshot(Box::default());
    stream.on_message(&whole, now, &mut Vec::new());
    assert!(stream.is_established() && !stream.follows());
    stream.on_closed(now);
    let request = next_request(&mut stream, &view(), &mut now);
    assert_eq!(request, Request::Follow, "the next leader may be newer");
}

/// Guards against an entry VM that asks for the whole view in one message because its connections fail,
/// or because one control VM ended, which takes more of a link that is loaded already.
#[test]
fn a_connection_that_fails_does_not_change_the_request() {
    let (mut stream, mut now) = (stream(), ms(0));
    for _ in 0..4 {
        let request = next_request(&mut stream, &view(), &mut now);
        assert_eq!(request, Request::Follow);
        stream.on_closed(now);
    }
    for _ in 0..4 {
        next_request(&mut stream, &view(), &mut now);
        stream.on_rejected(now);
        let request = next_request(&mut stream, &view(), &mut now);
        assert_eq!(request, Request::Follow);
        let resume = PeerMessage::Resume { index: 7 };
        stream.on_message(&resume, now, &mut Vec::new());
        stream.on_rejected(now);
    }
}

/// Time after the last reply at which a stream is given up whose replies take `round_trip`.
fn silence_limit(round_trip: Duration) -> Duration {
    let mut stream = stream();
    let mut now = ms(0);
    let view = View::default();
    next_attempt(&mut stream, &view, &mut now);
    let whole = PeerMessage::Snapshot(Box::default());
    stream.on_message(&whole, now, &mut Vec::new());
    for _ in 0..20 {
        now += ms(300);
        let pong = PeerMessage::Pong {
            sent: now.saturating_sub(round_trip),
            entries: EntryCounts::default(),
        };
        stream.on_message(&pong, now, &mut Vec::new());
    }
    let last = now;
    while stream.is_established() {
        now += ms(10);
        stream.tick((&view, Position::from(&view)), now, &mut Vec::new());
    }
    now - last
}

/// Guards against streams that are given up because their replies wait in the queue of a loaded
/// link, while updates arrive. It took seconds to replace them over the same link.
#[test]
fn a_slow_stream_is_not_given_up() {
    assert_eq!(silence_limit(ms(20)), ms(900));
    assert_eq!(silence_limit(ms(600)), ms(1800));
    assert_eq!(silence_limit(ms(5000)), ms(3000));
}

fn pong(now: Duration) -> PeerMessage {
    PeerMessage::Pong {
        sent: now,
        entries: EntryCounts::default(),
    }
}

fn view_part() -> PeerMessage {
    let content = Content::of_view(&Harness::view()).unwrap();
    PeerMessage::Part(content.part(0, 10))
}

/// The messages before a long one: it is the reply to the request, a part of the whole view, or an
/// update.
fn beginnings() -> [Vec<PeerMessage>; 3] {
    let whole = PeerMessage::Snapshot(Box::default());
    [vec![], vec![view_part()], vec![whole, pong(ms(0))]]
}

/// A stream on which these messages have arrived.
fn begun(messages: &[PeerMessage], now: &mut Duration) -> ControlStream {
    let mut stream = stream();
    next_attempt(&mut stream, &View::default(), now);
    for message in messages {
        stream.on_message(message, *now, &mut Vec::new());
    }
    stream
}

/// Whether the stream is given up.
fn is_given_up(stream: &mut ControlStream, now: Duration) -> bool {
    let mut effects = Vec::new();
    stream.tick((&View::default(), Position::default()), now, &mut effects);
    effects.contains(&ControlStreamEffect::Close)
}

/// Guards against entry VMs that never get a large change or view: each stream on which it took longer
/// than a time limit was closed, and the next one began with the first byte.
#[test]
fn a_message_that_takes_longer_than_every_limit_arrives() {
    for messages in beginnings() {
        let mut now = ms(0);
        let mut stream = begun(&messages, &mut now);
        for _ in 0..100 {
            now += ms(600);
            stream.on_progress(now);
            now += ms(90);
            assert!(!is_given_up(&mut stream, now), "after {messages:?}");
        }
        let whole = PeerMessage::Snapshot(Box::default());
        assert!(stream.on_message(&whole, now, &mut Vec::new()));
        assert!(stream.is_established());
    }
}

/// Guards against entry VMs that wait for a control VM that has stopped in the middle of a message.
#[test]
fn a_message_without_progress_is_given_up() {
    for (messages, limit) in beginnings().into_iter().zip([700, 900, 900]) {
        let mut now = ms(0);
        let mut stream = begun(&messages, &mut now);
        for _ in 0..3 {
            now += ms(500);
            stream.on_progress(now);
        }
        assert!(!is_given_up(&mut stream, now + ms(limit - 10)));
        assert!(is_given_up(&mut stream, now + ms(limit)), "{messages:?}");
    }
}

/// Guards against an entry VM that takes callers with an old view because a long message about it is
/// under way.
#[test]
fn progress_does_not_confirm_the_view() {
    let mut harness = Harness::new();
    for _ in 0..13 {
        assert!(harness.entry.is_ready(harness.now));
        harness.step(Event::StreamProgress);
        harness.advance(ms(100));
    }
    assert!(!harness.entry.is_ready(harness.now));
    harness.step(Event::StreamProgress);
    assert!(!harness.entry.is_ready(harness.now));
    let output = harness.receive(pong(harness.now));
    assert!(harness.entry.is_ready(harness.now), "{output:?}");
}

/// Guards against a control VM that gives up a stream because the VM at the other end says nothing
/// while it receives a long reply.
#[test]
fn a_vm_pings_while_it_receives_a_long_reply() {
    for messages in beginnings() {
        let mut now = ms(0);
        let mut stream = begun(&messages, &mut now);
        if messages.is_empty() {
            assert!(!stream.ping_due(now + ms(300)), "no reply has begun");
        }
        let mut pings = 0;
        for _ in 0..100 {
            now += ms(100);
            stream.on_progress(now);
            if stream.ping_due(now) {
                stream.ping(0, Default::default(), now, &mut Vec::new());
                pings += 1;
            }
        }
        assert!((33..=34).contains(&pings), "{pings} pings in 10 s");
    }
}

/// Guards against reports that are lost with a ping that no leader counts yet.
#[test]
fn a_ping_before_the_view_holds_no_reports() {
    let mut harness = Harness::new();
    let (_, output) = harness.request(KEYED);
    assert_eq!(output.sent.len(), 1);
    harness.receive(view_part());
    let loads = |output: StepOutput| -> Vec<usize> {
        let messages = output.messages.into_iter();
        let loads = messages.filter_map(|message| match message {
            PeerMessage::Ping { load, .. } => Some(load.len()),
            _ => None,
        });
        loads.collect()
    };
    assert_eq!(loads(harness.advance(ms(300))), [0]);
    let whole = PeerMessage::Snapshot(Box::new(Harness::view()));
    let output = harness.receive(whole);
    assert_eq!(loads(output), [1], "the report follows");
}
