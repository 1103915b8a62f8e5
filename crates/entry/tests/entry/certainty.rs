//! What a VM refuses for good while it is not sure that its routing is the newest one.

use std::time::Duration;

use camphordale_entry::{
    Event,
    IncomingRequest,
    Reason,
    Refusal,
    RequestHandle, //
};
use camphordale_fleet::{
    Change,
    ConfigResource,
    Content,
    EntryCounts,
    Part,
    PeerMessage,
    RetryPolicy,
    Version, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};
use rstest::rstest;

use crate::harness::{
    Harness,
    READS,
    StepOutput,
    complete,
    ms,
    promised,
    route, //
};

/// A path for which the first routing has no route.
const LATE: &str = "/late/x";
/// The path of a keyed service.
const KEYED_PATH: &str = "/keyed/x";
/// Bytes of a content that takes a second on a quarter of the harness's link, and more.
const LONG: usize = 80_000;

/// A change that adds the route `late`, whose content takes about `bytes`.
fn change(base: Version, bytes: usize) -> Content {
    let mut random = StdRng::seed_from_u64(7);
    let mut late = route(READS, RetryPolicy::Idempotent);
    late.path_prefix = "/late/".into();
    let mut letter = || char::from(random.random_range(b'!'..b'~'));
    let filler = (0..bytes).map(|_| letter()).collect::<String>();
    let routes = [("late", late.host.clone()), ("filler", filler.into())];
    let routes = routes.map(|(name, host)| {
        let spec = camphordale_fleet::Route {
            host,
            ..late.clone()
        };
        let document = "{}".into();
        (name.into(), ConfigResource { spec, document })
    });
    let change = Change {
        base_version: base,
        version: base + 1,
        replace_all: false,
        routes: routes.into(),
        services: Vec::new(),
        limits: None,
        removed_routes: Vec::new(),
        removed_services: Vec::new(),
        digest: [0; 16],
        received_ms: 0,
    };
    Content::of_change(&change).unwrap()
}

fn notice(part: Part) -> PeerMessage {
    PeerMessage::RoutingNotice { index: 11, part }
}

fn pong(sent: Duration) -> PeerMessage {
    PeerMessage::Pong {
        sent,
        entries: EntryCounts { all: 1, domain: 1 },
    }
}

/// Sends a request without a key.
fn ask(harness: &mut Harness, path: &str, caller_timeout: Duration) -> (RequestHandle, StepOutput) {
    let handle = 1000 + harness.now.as_nanos() as RequestHandle;
    harness.now += Duration::from_nanos(1);
    let output = harness.step(Event::Request(IncomingRequest {
        handle,
        host: "a.example".into(),
        path: path.into(),
        caller_timeout: Some(caller_timeout),
        key: None,
        fingerprint: handle.into(),
    }));
    (handle, output)
}

/// Guards against callers who are told for good that a route does not exist, or that their request
/// lacks a key, by a VM that was told of a newer routing.
#[rstest]
#[case(LATE)]
#[case(KEYED_PATH)]
fn nothing_is_refused_for_good_while_a_newer_routing_arrives(#[case] path: &str) {
    let mut harness = Harness::new();
    harness.receive(notice(change(1, LONG).part(0, 100)));
    let now = harness.now;
    harness.receive(pong(now));
    let (request, output) = ask(&mut harness, path, ms(1500));
    let [(refused, retry_after)] = promised(&output)[..] else {
        panic!("{output:?}");
    };
    assert_eq!(refused, request);
    assert!(
        retry_after >= ms(1000),
        "a second of parts: {retry_after:?}"
    );
    assert!(retry_after <= ms(2000), "{retry_after:?}");
    assert_eq!(output.decisions[0].reason, Reason::UnsureRouting);
}

/// Guards against a VM that takes its routing for the newest one because the content of a newer one
/// was given up, or the stream on which it was told of it is lost.
#[test]
fn a_notice_is_remembered_on_another_stream() {
    let mut harness = Harness::new();
    harness.receive(notice(change(1, LONG).part(0, 100)));
    harness.step(Event::StreamClosed);
    harness.receive(PeerMessage::Resume { index: 11 });
    let now = harness.now;
    harness.receive(pong(now));
    let (_, output) = ask(&mut harness, LATE, ms(1500));
    assert_eq!(promised(&output).len(), 1);
}

/// Guards against the same refusals by a VM that control cannot tell of a newer routing.
#[rstest]
#[case(LATE)]
#[case(KEYED_PATH)]
fn nothing_is_refused_for_good_without_a_stream(#[case] path: &str) {
    let mut harness = Harness::new();
    harness.step(Event::StreamClosed);
    let (request, output) = ask(&mut harness, path, ms(1500));
    let [(refused, retry_after)] = promised(&output)[..] else {
        panic!("{output:?}");
    };
    assert_eq!(refused, request);
    assert!(retry_after >= ms(250), "until a leader is expected");
    assert_eq!(output.decisions[0].reason, Reason::UnsureRouting);
}

/// Guards against the same refusals by a VM whose messages are held up on a loaded link: its stream
/// is established, but newer notices may be under way.
#[rstest]
#[case(LATE)]
#[case(KEYED_PATH)]
fn nothing_is_refused_for_good_on_an_old_confirmation(#[case] path: &str) {
    let mut harness = Harness::new();
    for _ in 0..5 {
        harness.advance(ms(400));
        let sent = harness.now.saturating_sub(ms(1800));
        harness.receive(pong(sent));
    }
    let (_, output) = ask(&mut harness, path, ms(1500));
    assert_eq!(promised(&output).len(), 1);
    assert_eq!(output.decisions[0].reason, Reason::UnsureRouting);
}

/// A reply that precedes the answer to a subscription came before notices that the leader sent
/// meanwhile, which are dropped.
#[test]
fn a_reply_before_the_stream_is_established_confirms_nothing() {
    let mut harness = Harness::new();
    harness.advance(ms(800));
    // A change before it is missing, so the VM subscribes again.
    harness.receive(notice(change(5, 10).part(0, 100)));
    let now = harness.now;
    harness.receive(pong(now));
    let (_, output) = ask(&mut harness, LATE, ms(1500));
    assert_eq!(promised(&output).len(), 1);
}

/// Guards against callers who come back again and again for a route that does not exist.
#[rstest]
#[case(LATE, Refusal::NotFound)]
#[case(KEYED_PATH, Refusal::Malformed)]
fn a_vm_that_is_sure_refuses_for_good(#[case] path: &str, #[case] refusal: Refusal) {
    let mut harness = Harness::new();
    for _ in 0..10 {
        harness.advance(ms(300));
        let sent = harness.now - ms(250);
        harness.receive(pong(sent));
        let (request, output) = ask(&mut harness, path, ms(1500));
        assert_eq!(output.refused, [(request, refusal)]);
    }
}

/// Guards against requests that stay refused after the routing has arrived.
#[test]
fn what_the_newer_routing_allows_is_served_and_the_rest_refused_for_good() {
    let mut harness = Harness::new();
    let content = change(1, LONG);
    harness.receive(notice(content.part(0, 100)));
    harness.receive(PeerMessage::Part(content.part(100, usize::MAX)));
    let now = harness.now;
    harness.receive(pong(now));
    let (request, output) = ask(&mut harness, LATE, ms(1500));
    let attempt = output.sent[0].0;
    let output = harness.end_attempt(attempt, complete(200));
    assert_eq!(output.forwarded, [request]);
    let (request, output) = ask(&mut harness, "/never/x", ms(1500));
    assert_eq!(output.refused, [(request, Refusal::NotFound)]);
}

/// Guards against refusals of requests for a new route whose routing is about to arrive.
#[test]
fn a_request_waits_for_a_routing_that_is_about_to_arrive() {
    let mut harness = Harness::new();
    let content = change(1, 5000);
    harness.receive(notice(content.part(0, 100)));
    let (request, output) = ask(&mut harness, LATE, ms(1500));
    assert!(output.refused.is_empty(), "{output:?}");
    assert!(harness.entry.has_request(request));
    harness.now += ms(90);
    let output = harness.receive(PeerMessage::Part(content.part(100, usize::MAX)));
    assert_eq!(output.sent.len(), 1, "{output:?}");
}

/// Guards against requests that are held while one newer routing after the other is announced, or
/// that are held until their callers give up.
#[rstest]
#[case(ms(1500), ms(300))]
#[case(ms(800), ms(200))]
fn the_wait_for_the_routing_is_bounded(#[case] caller_timeout: Duration, #[case] bound: Duration) {
    let mut harness = Harness::new();
    let start = harness.now;
    harness.receive(notice(change(1, 5000).part(0, 100)));
    let (request, output) = ask(&mut harness, LATE, caller_timeout);
    assert!(output.refused.is_empty(), "{output:?}");
    let output = loop {
        let output = harness.advance(ms(10));
        if !output.refused.is_empty() {
            break output;
        }
    };
    let waited = harness.now - start;
    assert_eq!(promised(&output)[0].0, request);
    assert!(waited >= bound && waited <= bound + ms(20), "{waited:?}");
}

/// Guards against a failure domain that stops serving when it is cut off from control.
#[test]
fn a_vm_that_is_not_sure_serves_the_routes_that_it_has() {
    let mut harness = Harness::new();
    harness.receive(notice(change(1, LONG).part(0, 100)));
    harness.step(Event::StreamClosed);
    harness.advance(ms(5000));
    let (request, output) = harness.request(READS);
    let attempt = output.sent[0].0;
    let output = harness.end_attempt(attempt, complete(200));
    assert_eq!(output.forwarded, [request]);
}

/// Guards against callers who are left at a VM that does not get the routing that the others have.
#[test]
fn a_vm_that_stays_behind_is_not_ready() {
    let mut harness = Harness::new();
    let content = change(1, LONG);
    let live = |harness: &mut Harness, time: Duration| {
        let until = harness.now + time;
        while harness.now < until {
            harness.advance(ms(200));
            let now = harness.now;
            harness.receive(pong(now));
        }
    };
    harness.receive(notice(content.part(0, 100)));
    live(&mut harness, ms(5800));
    let now = harness.now;
    assert!(harness.entry.is_ready(now), "it may still be in time");
    live(&mut harness, ms(400));
    let now = harness.now;
    assert!(!harness.entry.is_ready(now));
    harness.receive(PeerMessage::Part(content.part(100, usize::MAX)));
    assert!(harness.entry.is_ready(now));
}
