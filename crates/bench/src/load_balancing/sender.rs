//! Common interface of the senders that are compared.

use std::time::Duration;

use super::{
    policy_sender::PolicySender,
    router_sender::RouterSender, //
};

/// An action that a sender requests from the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Action {
    /// Write the request to the target.
    Start { id: u128, target: usize },
    /// Refuse the request; no target has executed it.
    Refuse { id: u128 },
    /// Tell the caller that the outcome is unknown.
    Fail { id: u128 },
    /// Probe the target on a new connection.
    Probe { target: usize },
    /// Abort a request that has been written.
    Abort { id: u128 },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptOutcome {
    /// With a response.
    Responded,
    /// At its deadline.
    TimedOut,
    /// With a broken connection.
    Broken,
}

/// A sender under test.
pub(super) enum Sender {
    /// A queue with a load-balancing policy.
    Policy(PolicySender),
    /// The router's state machine.
    Router(Box<RouterSender>),
}

impl Sender {
    pub(super) fn request_arrived(&mut self, id: u128, now: Duration) -> Vec<Action> {
        match self {
            Sender::Policy(sender) => sender.request_arrived(id, now),
            Sender::Router(sender) => sender.request_arrived(id, now),
        }
    }

    pub(super) fn attempt_ended(
        &mut self,
        id: u128,
        target: usize,
        outcome: AttemptOutcome,
        took: Duration,
        now: Duration,
    ) -> Vec<Action> {
        match self {
            Sender::Policy(sender) => sender.attempt_ended(target, took, now),
            Sender::Router(sender) => sender.attempt_ended(id, outcome, now),
        }
    }

    pub(super) fn load_reported(&mut self, target: usize, load: f32, now: Duration) -> Vec<Action> {
        match self {
            Sender::Policy(sender) => sender.load_reported(target, load),
            Sender::Router(sender) => sender.load_reported(target, load, now),
        }
    }

    pub(super) fn probe_ended(&mut self, target: usize, alive: bool, now: Duration) -> Vec<Action> {
        match self {
            Sender::Policy(sender) => sender.probe_ended(target, alive, now),
            Sender::Router(sender) => sender.probe_ended(target, alive, now),
        }
    }

    pub(super) fn tick(&mut self, now: Duration) -> Vec<Action> {
        match self {
            Sender::Policy(sender) => sender.tick(now),
            Sender::Router(sender) => sender.tick(now),
        }
    }

    /// Reports that a target has started.
    pub(super) fn target_joined(&mut self, target: usize, now: Duration) -> Vec<Action> {
        match self {
            Sender::Policy(sender) => sender.target_joined(target, now),
            Sender::Router(sender) => sender.target_joined(target, now),
        }
    }
}
