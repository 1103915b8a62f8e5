//! The senders that are compared.

use std::time::Duration;

use super::{
    policy_sender::PolicySender,
    router_sender::RouterSender, //
};

/// What a sender wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Action {
    /// Write the request to the target.
    Start { id: u128, target: usize },
    /// Refuse the request as not run.
    Refuse { id: u128 },
    /// Tell the caller that the outcome is unknown.
    Fail { id: u128 },
    /// Probe the target on a fresh connection.
    Probe { target: usize },
    /// End a request that was written.
    Abort { id: u128 },
}

/// How a request that was written ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptOutcome {
    /// With an answer.
    Responded,
    /// At its deadline.
    TimedOut,
    /// With a broken connection.
    Broken,
}

/// A sender.
pub(super) enum Sender {
    /// A choice among candidates with a queue in front of it.
    PolicySender(PolicySender),
    /// The router's reducer.
    RouterSender(Box<RouterSender>),
}

impl Sender {
    pub(super) fn request_arrived(&mut self, id: u128, now: Duration) -> Vec<Action> {
        match self {
            Sender::PolicySender(sender) => sender.request_arrived(id, now),
            Sender::RouterSender(sender) => sender.request_arrived(id, now),
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
            Sender::PolicySender(sender) => sender.attempt_ended(target, took, now),
            Sender::RouterSender(sender) => sender.attempt_ended(id, outcome, now),
        }
    }

    pub(super) fn load_reported(&mut self, target: usize, load: f32, now: Duration) -> Vec<Action> {
        match self {
            Sender::PolicySender(sender) => sender.load_reported(target, load),
            Sender::RouterSender(sender) => sender.load_reported(target, load, now),
        }
    }

    pub(super) fn probe_ended(&mut self, target: usize, alive: bool, now: Duration) -> Vec<Action> {
        match self {
            Sender::PolicySender(sender) => sender.probe_ended(target, alive, now),
            Sender::RouterSender(sender) => sender.probe_ended(target, alive, now),
        }
    }

    pub(super) fn tick(&mut self, now: Duration) -> Vec<Action> {
        match self {
            Sender::PolicySender(sender) => sender.tick(now),
            Sender::RouterSender(sender) => sender.tick(now),
        }
    }

    /// Adds a target that has just started.
    pub(super) fn target_joined(&mut self, target: usize, now: Duration) -> Vec<Action> {
        match self {
            Sender::PolicySender(sender) => sender.target_joined(target, now),
            Sender::RouterSender(sender) => sender.target_joined(target, now),
        }
    }
}
