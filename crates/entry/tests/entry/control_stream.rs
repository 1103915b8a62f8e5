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

/// Advances the clock until the next attempt. Returns the limit of its connection, and whether it
/// goes on from the view.
fn next_attempt(stream: &mut ControlStream, view: &View, now: &mut Duration) -> (Duration, bool) {
    loop {
        let mut effects = Vec::new();
        stream.tick(view, *now, &mut effects);
        let limit = effects.iter().find_map(|effect| match effect {
            ControlStreamEffect::Connect { timeout, .. } => Some(*timeout),
            _ => None,
        });
        if let Some(limit) = limit {
            let resumes = effects.iter().any(|effect| {
                matches!(
                    effect,
                    ControlStreamEffect::Send(PeerMessage::Resubscribe { .. })
                )
            });
            return (limit, resumes);
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

/// A control VM of an older version closes the connection when it is asked to go on from a view.
#[test]
fn every_other_attempt_asks_for_the_whole_view() {
    let (mut stream, mut now) = (stream(), ms(0));
    let view = View {
        index: 7,
        ..View::default()
    };
    let resumes: Vec<bool> = (0..4)
        .map(|_| {
            let (_, resumes) = next_attempt(&mut stream, &view, &mut now);
            stream.on_closed(now);
            resumes
        })
        .collect();
    assert_eq!(resumes, [true, false, true, false]);
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
