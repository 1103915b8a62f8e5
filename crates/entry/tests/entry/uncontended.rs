//! Deployments that do not call for the decisions under contended load.

use camphordale_entry::{
    AttemptId,
    ControlStreamEffect,
    Effect,
    Event,
    IncomingRequest,
    Refusal, //
};
use camphordale_fleet::{
    EntryCounts,
    PeerMessage, //
};

use crate::harness::{
    Harness,
    KEYED,
    ORDERS,
    READS,
    complete,
    complete_with,
    failed,
    ms,
    not_executed, //
};

/// A hash (FNV-1a) of what a VM does, and the attempts that are in progress.
#[derive(Default)]
struct Trace {
    hash: u64,
    attempts: Vec<AttemptId>,
}

impl Trace {
    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn record(&mut self, effects: Vec<Effect>) {
        self.add(&[effects.len() as u8]);
        for effect in effects {
            match effect {
                Effect::Send {
                    attempt,
                    target,
                    connections,
                    ..
                } => {
                    self.attempts.push(attempt);
                    self.add(target.as_bytes());
                    self.add(&(connections as u64).to_le_bytes());
                }
                Effect::Refuse { request, refusal } => {
                    self.add(&request.to_le_bytes());
                    if let Refusal::NotRun(promise) = refusal {
                        self.add(&promise.retry_after().as_millis().to_le_bytes());
                    }
                }
                Effect::ControlStream(ControlStreamEffect::Send(message)) => {
                    self.add(&message.encode().unwrap());
                }
                _ => {}
            }
        }
    }
}

/// Guards against a change of messages, decisions, effects or random choices in the deployments that
/// are not contended: the value was recorded before there was a plan for the requests that leave a
/// failure domain (commit e0140c9).
#[test]
fn an_uncontended_routing_is_served_as_before() {
    let mut harness = Harness::new();
    let mut trace = Trace::default();
    for round in 0..600u64 {
        harness.now += ms(13);
        let service = [READS, ORDERS, READS, KEYED][round as usize % 4];
        for _ in 0..1 + round % 40 / 20 {
            let before = trace.attempts.len();
            let handle = 10_000 + round * 2 + before as u64 % 2;
            let request = IncomingRequest {
                handle,
                host: "a.example".into(),
                path: format!("/{service}/x").into(),
                caller_timeout: Some(ms(1500 - round % 7 * 100)),
                key: (service == KEYED).then_some(round as u16 * 97),
                fingerprint: u128::from(handle),
            };
            let effects = harness.entry.step(Event::Request(request), harness.now);
            trace.record(effects);
        }
        trace.record(harness.entry.step(Event::Tick, harness.now));
        if round % 3 != 0 && !trace.attempts.is_empty() {
            let attempt = trace.attempts.remove(0);
            let result = match round % 17 {
                0 => failed(round % 2 == 0),
                5 => not_executed(503),
                9 => complete(500),
                other => complete_with(other as u32 % 5, other as u32 / 6),
            };
            let ended = Event::AttemptEnded {
                attempt,
                result,
                length: 300,
            };
            trace.record(harness.entry.step(ended, harness.now));
        }
        if round % 20 == 0 {
            let pong = PeerMessage::Pong {
                sent: harness.now,
                entries: EntryCounts { all: 6, domain: 3 },
            };
            trace.record(harness.entry.step(Event::Stream(pong), harness.now));
        }
    }
    assert_eq!(trace.hash, 12_296_567_259_478_291_919);
}
