//! The end of a VM that is stopped: what it no longer sends.

use std::time::Duration;

use camphordale_entry::{
    Reason,
    Shutdown, //
};
use camphordale_fleet::PeerMessage;

use crate::harness::{
    Harness,
    KEYED,
    READS,
    StepOutput,
    ms,
    promised, //
};

/// Begins a shutdown that callers have noticed after `notice`, of a process that ends `rest` later.
fn stop(harness: &mut Harness, notice: Duration, rest: Duration) {
    harness.entry.begin_shutdown(Shutdown {
        notice_ends: harness.now + notice,
        ends_at: harness.now + notice + rest,
    });
}

fn handover(done: bool) -> PeerMessage {
    PeerMessage::Handover {
        service: KEYED.into(),
        from: 0,
        to: u16::MAX,
        done,
    }
}

fn reasons(output: &StepOutput) -> Vec<Reason> {
    let decisions = output.decisions.iter();
    decisions.map(|decision| decision.reason).collect()
}

/// Guards against a request that waits for the first routing until callers have noticed the stop, is
/// sent then, and cut off at the end of the process.
#[test]
fn a_request_that_waited_for_the_first_routing_is_refused_if_it_may_be_cut() {
    let mut harness = Harness::without_view();
    stop(&mut harness, ms(100), ms(1000));
    let (request, output) = harness.request(READS);
    assert_eq!(output.refused, []);
    harness.now += ms(200);
    let view = Box::new(Harness::view());
    let output = harness.receive(PeerMessage::Snapshot(view));
    assert_eq!(output.sent, []);
    assert_eq!(promised(&output), [(request, ms(50))]);
    assert_eq!(reasons(&output), [Reason::Stopping]);
}

/// Guards against a request that waits for the next holder of its key until callers have noticed the
/// stop, is sent then, and cut off at the end of the process.
#[test]
fn a_request_that_waited_for_a_holder_is_refused_if_it_may_be_cut() {
    let mut harness = Harness::new();
    stop(&mut harness, ms(100), ms(1000));
    harness.receive(handover(false));
    let (late, output) = harness.request(KEYED);
    assert_eq!(output.sent, []);
    let (in_time, _) = harness.request_within(KEYED, ms(900));
    harness.now += ms(200);
    let output = harness.receive(handover(true));
    let sent: Vec<_> = output.sent.iter().map(|(_, request, _)| *request).collect();
    assert_eq!(sent, [in_time]);
    assert_eq!(promised(&output), [(late, ms(50))]);
    assert_eq!(reasons(&output), [Reason::Stopping]);
}
