//! Calls to leaders: each is sent to the current leader, redirected when leadership changes, and
//! retried until its deadline.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_control::Versions;
use camphordale_types::VmId;

use crate::{
    Call,
    CallId,
    ControlCall,
    ControlReply,
    DomainReply,
    Reply, //
};

/// Time without progress after which an attempt is given up.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout of a call of a listener, over all attempts.
const LISTENER_CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a call of the node itself, which makes such calls periodically.
const INTERNAL_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The receiver of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Destination {
    /// The control leader.
    Control,
    /// The leader of this VM's domain group.
    Domain,
    /// A given VM.
    Vm(VmId),
}

/// The origin of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// The node itself.
    Internal,
    /// A listener of this VM, under this id.
    Listener(CallId),
}

struct PendingCall {
    call: Call,
    destination: Destination,
    origin: Origin,
    deadline: Duration,
    retry_at: Duration,
    /// Receiver and start of the current or last attempt.
    started: Option<(VmId, Duration)>,
    in_flight: bool,
    /// Whether an earlier attempt may have been delivered.
    maybe_delivered: bool,
}

/// An attempt to start now.
pub(crate) struct CallAttempt {
    pub(crate) id: CallId,
    pub(crate) to: VmId,
    pub(crate) call: Call,
    pub(crate) timeout: Duration,
}

/// The attempts and time-outs that are due.
#[derive(Default)]
pub(crate) struct DueCalls {
    pub(crate) attempts: Vec<CallAttempt>,
    pub(crate) expired: Vec<(CallId, Reply)>,
}

/// The calls without a reply so far.
pub(crate) struct CallTracker {
    pending: BTreeMap<CallId, PendingCall>,
    next: CallId,
    /// This VM.
    own: VmId,
    voters: Vec<VmId>,
    control_leader: Option<VmId>,
    next_voter: usize,
}

impl CallTracker {
    pub(crate) fn new(own: VmId, voters: Vec<VmId>) -> Self {
        CallTracker {
            pending: BTreeMap::new(),
            next: 1,
            own,
            voters,
            control_leader: None,
            next_voter: 0,
        }
    }

    pub(crate) fn control_leader(&self) -> Option<VmId> {
        self.control_leader
    }

    pub(crate) fn add(
        &mut self,
        call: Call,
        destination: Destination,
        origin: Origin,
        now: Duration,
    ) {
        let timeout = match origin {
            Origin::Internal => INTERNAL_CALL_TIMEOUT,
            Origin::Listener(_) => LISTENER_CALL_TIMEOUT,
        };
        let pending = PendingCall {
            call,
            destination,
            origin,
            deadline: now + timeout,
            retry_at: now,
            started: None,
            in_flight: false,
            maybe_delivered: false,
        };
        self.pending.insert(self.next, pending);
        self.next += 1;
    }

    /// Returns the attempts to start now and the calls that have timed out. `leader` is the leader
    /// of the domain group, if known.
    pub(crate) fn due_calls(&mut self, now: Duration, leader: Option<VmId>) -> DueCalls {
        let mut due = DueCalls::default();
        let mut expired = Vec::new();
        for (&id, pending) in &mut self.pending {
            // The reply of another VM may be on its way for longer than the deadline. An attempt
            // without progress fails by itself; the control role of this VM may not reply at all.
            let arriving = pending.in_flight
                && pending.origin == Origin::Internal
                && pending.started.is_some_and(|(to, _)| to != self.own);
            if now >= pending.deadline && !arriving {
                expired.push(id);
                continue;
            }
            if pending.in_flight || now < pending.retry_at {
                continue;
            }
            let to = match pending.destination {
                Destination::Vm(vm) => Some(vm),
                Destination::Domain => leader,
                Destination::Control => self.control_leader.or_else(|| {
                    self.next_voter = self.next_voter.wrapping_add(1);
                    self.voters
                        .get(self.next_voter % self.voters.len().max(1))
                        .copied()
                }),
            };
            let Some(to) = to else {
                pending.retry_at = now + RETRY_DELAY;
                continue;
            };
            pending.in_flight = true;
            pending.started = Some((to, now));
            due.attempts.push(CallAttempt {
                id,
                to,
                call: pending.call.clone(),
                timeout: ATTEMPT_TIMEOUT.min(pending.deadline - now),
            });
        }
        for id in expired {
            if let Some(pending) = self.pending.remove(&id)
                && let Origin::Listener(caller) = pending.origin
            {
                due.expired.push((caller, timeout_reply(&pending)));
            }
        }
        due
    }

    /// Returns whether an attempt of a call that satisfies `predicate` is in flight.
    pub(crate) fn is_in_flight<F>(&self, predicate: F) -> bool
    where
        F: Fn(&Call, Destination) -> bool,
    {
        let mut pending = self.pending.values();
        pending.any(|pending| pending.in_flight && predicate(&pending.call, pending.destination))
    }

    /// Records a failed attempt; `maybe_delivered` tells whether it may have arrived.
    pub(crate) fn attempt_failed(&mut self, id: CallId, maybe_delivered: bool, now: Duration) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.in_flight = false;
        pending.maybe_delivered |= maybe_delivered;
        pending.retry_at = now + RETRY_DELAY;
        if pending.destination == Destination::Control {
            self.control_leader = None;
        }
    }

    /// Records a reply of a VM that is not the leader; `leader` is the one that it named.
    pub(crate) fn redirected(&mut self, id: CallId, leader: Option<VmId>, now: Duration) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.in_flight = false;
        pending.retry_at = if leader.is_some() {
            now
        } else {
            now + RETRY_DELAY
        };
        if pending.destination == Destination::Control {
            self.control_leader = leader;
        }
    }

    /// Removes a call that got its reply.
    pub(crate) fn complete(&mut self, id: CallId) -> Option<CompletedCall> {
        let pending = self.pending.remove(&id)?;
        let (to, started) = pending.started?;
        if pending.destination == Destination::Control {
            self.control_leader = Some(to);
        }
        Some(CompletedCall {
            origin: pending.origin,
            // Without the homes of shards, a reply does not renew the lease of the domain here.
            is_report: matches!(
                pending.call,
                Call::Control(ControlCall::Report { versions, .. }) if versions != Versions::NEWEST
            ),
            started,
        })
    }
}

/// A call that got its reply.
pub(crate) struct CompletedCall {
    pub(crate) origin: Origin,
    /// Whether the call was the report of a domain leader, which renews the lease of the domain.
    pub(crate) is_report: bool,
    /// Start of the attempt that got the reply.
    pub(crate) started: Duration,
}

fn timeout_reply(pending: &PendingCall) -> Reply {
    let may_commit = pending.maybe_delivered || pending.in_flight;
    let reason: Box<str> = "no leader answered in time".into();
    match pending.destination {
        Destination::Control => Reply::Control(ControlReply::Failed { may_commit, reason }),
        Destination::Domain | Destination::Vm(_) => {
            Reply::Domain(DomainReply::Failed { may_commit, reason })
        }
    }
}
