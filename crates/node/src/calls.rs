//! Calls on their way to a leader: found, followed when leadership moves, retried until their
//! time is over.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_types::VmId;

use crate::{
    Call,
    CallId,
    ControlCall,
    ControlReply,
    DomainReply,
    Reply, //
};

/// Time limit of one try.
const TRY_LIMIT: Duration = Duration::from_millis(1_500);

/// Time between tries.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// Time after which a call is given up.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Time after which a call that the node makes for itself is given up; it makes a new one anyway.
const NODE_LIMIT: Duration = Duration::from_secs(2);

/// Where a call has to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Dest {
    /// The control leader.
    Control,
    /// The leader of this VM's domain group.
    Domain,
    /// One VM.
    Vm(VmId),
}

/// Who made a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// The node itself.
    Node,
    /// A listener of this VM, under this id.
    Listener(CallId),
}

struct Pending {
    call: Call,
    dest: Dest,
    origin: Origin,
    until: Duration,
    next: Duration,
    /// When the running or last try was started, and where it went.
    started: Option<(VmId, Duration)>,
    running: bool,
    /// Whether an earlier try may have been delivered.
    delivered: bool,
}

/// A try to be started.
pub(crate) struct Start {
    pub(crate) id: CallId,
    pub(crate) to: VmId,
    pub(crate) call: Call,
    pub(crate) timeout: Duration,
}

/// What is due.
#[derive(Default)]
pub(crate) struct Due {
    pub(crate) starts: Vec<Start>,
    pub(crate) expired: Vec<(CallId, Reply)>,
}

/// The calls under way.
pub(crate) struct Calls {
    pending: BTreeMap<CallId, Pending>,
    next: CallId,
    voters: Vec<VmId>,
    control: Option<VmId>,
    turn: usize,
}

impl Calls {
    pub(crate) fn new(voters: Vec<VmId>) -> Self {
        Calls {
            pending: BTreeMap::new(),
            next: 1,
            voters,
            control: None,
            turn: 0,
        }
    }

    pub(crate) fn control_leader(&self) -> Option<VmId> {
        self.control
    }

    pub(crate) fn add(&mut self, call: Call, dest: Dest, origin: Origin, now: Duration) {
        let limit = match origin {
            Origin::Node => NODE_LIMIT,
            Origin::Listener(_) => CALL_LIMIT,
        };
        let pending = Pending {
            call,
            dest,
            origin,
            until: now + limit,
            next: now,
            started: None,
            running: false,
            delivered: false,
        };
        self.pending.insert(self.next, pending);
        self.next += 1;
    }

    /// Returns the tries to start now and the calls whose time is over. `leader` is the leader of
    /// the domain group, if known.
    pub(crate) fn due(&mut self, now: Duration, leader: Option<VmId>) -> Due {
        let mut due = Due::default();
        let mut over = Vec::new();
        for (&id, pending) in &mut self.pending {
            if now >= pending.until {
                over.push(id);
                continue;
            }
            if pending.running || now < pending.next {
                continue;
            }
            let to = match pending.dest {
                Dest::Vm(vm) => Some(vm),
                Dest::Domain => leader,
                Dest::Control => self.control.or_else(|| {
                    self.turn = self.turn.wrapping_add(1);
                    self.voters
                        .get(self.turn % self.voters.len().max(1))
                        .copied()
                }),
            };
            let Some(to) = to else {
                pending.next = now + RETRY_AFTER;
                continue;
            };
            pending.running = true;
            pending.started = Some((to, now));
            due.starts.push(Start {
                id,
                to,
                call: pending.call.clone(),
                timeout: TRY_LIMIT.min(pending.until - now),
            });
        }
        for id in over {
            if let Some(pending) = self.pending.remove(&id)
                && let Origin::Listener(caller) = pending.origin
            {
                due.expired.push((caller, given_up(&pending)));
            }
        }
        due
    }

    /// A try failed; `delivered` tells whether it may have arrived.
    pub(crate) fn failed(&mut self, id: CallId, delivered: bool, now: Duration) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.running = false;
        pending.delivered |= delivered;
        pending.next = now + RETRY_AFTER;
        if pending.dest == Dest::Control {
            self.control = None;
        }
    }

    /// The receiver does not lead and named the leader if it knows it.
    pub(crate) fn moved(&mut self, id: CallId, leader: Option<VmId>, now: Duration) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.running = false;
        pending.next = if leader.is_some() {
            now
        } else {
            now + RETRY_AFTER
        };
        if pending.dest == Dest::Control {
            self.control = leader;
        }
    }

    /// Removes a call that was answered.
    pub(crate) fn finish(&mut self, id: CallId) -> Option<Finished> {
        let pending = self.pending.remove(&id)?;
        let (to, started) = pending.started?;
        if pending.dest == Dest::Control {
            self.control = Some(to);
        }
        Some(Finished {
            origin: pending.origin,
            report: matches!(pending.call, Call::Control(ControlCall::Report { .. })),
            started,
        })
    }
}

/// A call that was answered.
pub(crate) struct Finished {
    pub(crate) origin: Origin,
    /// Whether it was a domain leader's report, which renews the domain's lease.
    pub(crate) report: bool,
    /// When the answered try was started.
    pub(crate) started: Duration,
}

fn given_up(pending: &Pending) -> Reply {
    let may_commit = pending.delivered || pending.running;
    let reason: Box<str> = "no leader answered in time".into();
    match pending.dest {
        Dest::Control => Reply::Control(ControlReply::Failed { may_commit, reason }),
        Dest::Domain | Dest::Vm(_) => Reply::Domain(DomainReply::Failed { may_commit, reason }),
    }
}
