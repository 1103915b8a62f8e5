//! The senders that are compared.

use std::time::Duration;

use super::{
    policy_sender::Plain,
    router_sender::Routed, //
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
pub(super) enum Ended {
    /// With an answer.
    Answered,
    /// At its deadline.
    TimedOut,
    /// With a broken connection.
    Broken,
}

/// A sender.
pub(super) enum Sender {
    /// A choice among candidates with a queue in front of it.
    Plain(Plain),
    /// The router's reducer.
    Routed(Box<Routed>),
}

impl Sender {
    pub(super) fn arrive(&mut self, id: u128, now: Duration) -> Vec<Action> {
        match self {
            Sender::Plain(sender) => sender.arrive(id, now),
            Sender::Routed(sender) => sender.arrive(id, now),
        }
    }

    pub(super) fn ended(
        &mut self,
        id: u128,
        target: usize,
        ended: Ended,
        took: Duration,
        now: Duration,
    ) -> Vec<Action> {
        match self {
            Sender::Plain(sender) => sender.ended(target, took, now),
            Sender::Routed(sender) => sender.ended(id, ended, now),
        }
    }

    pub(super) fn report(&mut self, target: usize, load: f32, now: Duration) -> Vec<Action> {
        match self {
            Sender::Plain(sender) => sender.report(target, load),
            Sender::Routed(sender) => sender.report(target, load, now),
        }
    }

    pub(super) fn probed(&mut self, target: usize, alive: bool, now: Duration) -> Vec<Action> {
        match self {
            Sender::Plain(sender) => sender.probed(target, alive, now),
            Sender::Routed(sender) => sender.probed(target, alive, now),
        }
    }

    pub(super) fn tick(&mut self, now: Duration) -> Vec<Action> {
        match self {
            Sender::Plain(sender) => sender.tick(now),
            Sender::Routed(sender) => sender.tick(now),
        }
    }

    /// Adds a target that has just started.
    pub(super) fn join(&mut self, target: usize, now: Duration) -> Vec<Action> {
        match self {
            Sender::Plain(sender) => sender.join(target, now),
            Sender::Routed(sender) => sender.join(target, now),
        }
    }
}
