//! Reconnection to control on links that hold connections back.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use camphordale_entry::{
    ControlStream,
    ControlStreamEffect, //
};
use camphordale_fleet::{
    EntryCounts,
    PeerMessage,
    View, //
};

use crate::harness::ms;

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
        stream.tick(view, *now, &mut effects);
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

/// A request for the updates after a view, and how it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Request {
    Follow,
    Resubscribe,
    Subscribe,
}

fn next_request(stream: &mut ControlStream, view: &View, now: &mut Duration) -> Request {
    let (_, request) = next_attempt(stream, view, now);
    match request {
        PeerMessage::Follow { .. } => Request::Follow,
        PeerMessage::Resubscribe { .. } => Request::Resubscribe,
        PeerMessage::Subscribe { .. } => Request::Subscribe,
        other => panic!("no request: {other:?}"),
    }
}

/// Guards against an entry VM that never gets a view from a control VM of an older version, which
/// closes the connection on a request that it does not know.
#[test]
fn a_rejected_request_is_made_in_another_form() {
    let (mut stream, mut now) = (stream(), ms(0));
    let view = View {
        index: 7,
        ..View::default()
    };
    let requests: Vec<Request> = (0..4)
        .map(|_| {
            let request = next_request(&mut stream, &view, &mut now);
            stream.on_rejected(now);
            request
        })
        .collect();
    let expected = [
        Request::Follow,
        Request::Resubscribe,
        Request::Subscribe,
        Request::Follow,
    ];
    assert_eq!(requests, expected);
    let whole = PeerMessage::Snapshot(Box::default());
    for _ in 0..2 {
        assert_ne!(next_request(&mut stream, &view, &mut now), Request::Follow);
        stream.on_message(&whole, now, &mut Vec::new());
        stream.on_closed(now);
    }
    assert_eq!(
        next_request(&mut stream, &view, &mut now),
        Request::Resubscribe,
        "an established stream is lost for other reasons"
    );
}

/// Guards against an entry VM that asks for the whole view again because its connections fail, which
/// takes more of a link that is loaded already.
#[test]
fn a_connection_that_fails_does_not_change_the_request() {
    let view = View {
        index: 7,
        ..View::default()
    };
    for rejections in 0..3 {
        let (mut stream, mut now) = (stream(), ms(0));
        for _ in 0..rejections {
            next_request(&mut stream, &view, &mut now);
            stream.on_rejected(now);
        }
        let first = next_request(&mut stream, &view, &mut now);
        for _ in 0..4 {
            stream.on_closed(now);
            assert_eq!(next_request(&mut stream, &view, &mut now), first);
        }
    }
    let (mut stream, mut now) = (stream(), ms(0));
    next_request(&mut stream, &view, &mut now);
    let resume = PeerMessage::Resume { index: view.index };
    stream.on_message(&resume, now, &mut Vec::new());
    for _ in 0..4 {
        stream.on_rejected(now);
        let request = next_request(&mut stream, &view, &mut now);
        assert_eq!(
            request,
            Request::Follow,
            "control has sent updates in parts"
        );
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
        stream.tick(&view, now, &mut Vec::new());
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
