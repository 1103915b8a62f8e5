//! Requests that wait here: for the first routing, for a place, or for the next holder of a key.

use std::time::Duration;

use camphordale_fleet::Key;

use super::{
    Effect,
    Entry,
    IncomingRequest,
    LogEvent,
    Reason,
    RequestHandle,
    request::Flow, //
};
use crate::{
    handovers::LAST_WORK, //
    retry_budget::Budget,
};

/// Part of its patience for which a caller waits here for the first routing.
const ROUTING_PART: u32 = 4;
/// Longest wait for the first routing: the time that an election takes.
const ROUTING_WAIT: Duration = Duration::from_millis(300);
/// Most requests that wait for the first routing.
const MAX_UNROUTED: usize = 256;
/// When to come back if a key is still between two holders.
const MOVING_PAUSE: Duration = Duration::from_millis(150);
/// Part of its objective for which a request may wait here while its key changes the holder.
const HANDOVER_PART: u32 = 2;

/// A request that came before the first routing.
pub(super) struct Unrouted {
    pub(super) arrival: IncomingRequest,
    arrived: Duration,
    until: Duration,
}

impl Entry {
    /// Takes a request. A VM that has just started lets it wait for a moment: after a restart of
    /// everything the routing is on its way.
    pub(super) fn arrived(
        &mut self,
        arrival: IncomingRequest,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        if self.view.routing.is_some() || self.unrouted.len() >= MAX_UNROUTED {
            return self.request(arrival, now, now, out);
        }
        let caller_timeout = arrival
            .caller_timeout
            .unwrap_or(ROUTING_WAIT * ROUTING_PART);
        let until = now + (caller_timeout / ROUTING_PART).min(ROUTING_WAIT);
        self.timers.insert((until, arrival.handle));
        self.unrouted.push(Unrouted {
            arrival,
            arrived: now,
            until,
        });
    }

    /// Goes on with requests that waited for the first routing.
    pub(super) fn route_waiting(&mut self, now: Duration, out: &mut Vec<Effect>) {
        for waiting in std::mem::take(&mut self.unrouted) {
            self.request(waiting.arrival, waiting.arrived, now, out);
        }
    }

    /// The first routing did not come in time.
    pub(super) fn routing_overdue(
        &mut self,
        id: RequestHandle,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let found = self
            .unrouted
            .iter()
            .position(|waiting| waiting.arrival.handle == id && now >= waiting.until);
        if let Some(at) = found {
            let waiting = self.unrouted.swap_remove(at);
            self.request(waiting.arrival, waiting.arrived, now, out);
        }
    }

    /// The key of a request is between two holders: it waits for the word that the next one has
    /// it.
    pub(super) fn await_handover(
        &mut self,
        id: RequestHandle,
        again: Duration,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        let until = flow.wait_end(HANDOVER_PART);
        if now >= until {
            return self.refuse(id, Reason::Moving, MOVING_PAUSE, now, out);
        }
        flow.ask_again = again;
        self.park(id, until);
    }

    /// Lets a request wait until then, or until it is to be tried again.
    pub(super) fn park(&mut self, id: RequestHandle, until: Duration) {
        if let Some(flow) = self.flows.get_mut(&id) {
            flow.parked = Some(until);
            self.parked.insert(id);
            let next = match flow.ask_again.is_zero() {
                true => until,
                false => until.min(flow.ask_again),
            };
            self.timers.insert((next, id));
        }
    }

    /// Sends waiting requests for which there is a place now.
    pub(super) fn retry_parked(
        &mut self,
        service: Option<&str>,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        // A holder that has just sent a request away would do so again.
        self.retry_where(now, out, |flow| {
            now >= flow.ask_again && service.is_none_or(|service| *flow.service == *service)
        });
    }

    /// Sends waiting requests for the keys of a range, whose holder has changed.
    pub(super) fn retry_range(
        &mut self,
        service: &str,
        (from, to): (Key, Key),
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        self.retry_where(now, out, |flow| {
            let inside = flow.key.is_some_and(|key| from <= key && key <= to);
            inside && *flow.service == *service
        });
    }

    /// Looks at the work on a range again when it should have ended, because its holder was told to
    /// release the range.
    pub(super) fn limit_work(&mut self, service: &str, (from, to): (Key, Key), now: Duration) {
        let running = self.flows.iter().filter(|(_, flow)| {
            let inside = flow.key.is_some_and(|key| from <= key && key <= to);
            inside && *flow.service == *service && !flow.open.is_empty() && flow.is_idempotent()
        });
        self.timers
            .extend(running.map(|(id, _)| (now + LAST_WORK, *id)));
    }

    /// Cancels work that holds the release of its key up, if it may be repeated at the next holder.
    /// Returns whether it did.
    pub(super) fn cancel_overdue(
        &mut self,
        id: RequestHandle,
        now: Duration,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(flow) = self.flows.get_mut(&id) else {
            return false;
        };
        let key = flow.key.unwrap_or_default();
        let until = self.handovers.until(&flow.service, key, now);
        let overdue = flow.key.is_some()
            && !flow.open.is_empty()
            && flow.is_idempotent()
            && flow.sends < flow.route.max_attempts
            && !self.stopping
            && self.handovers.is_overdue(&flow.service, key, now);
        let Some(until) = until.filter(|_| overdue) else {
            return false;
        };
        let budget = self.budgets.get_mut(&flow.service);
        if !budget.is_some_and(Budget::take) {
            return false;
        }
        for (attempt, target) in std::mem::take(&mut flow.open) {
            self.attempts.remove(&attempt);
            self.peers.dropped(&target, attempt);
            out.push(Effect::Cancel(attempt));
        }
        flow.may_have_run = true;
        flow.cancelled = true;
        let decision = self.decision(id, Reason::Moving, now);
        out.extend(decision.map(|decision| Effect::Log(LogEvent::Retried(decision))));
        self.await_handover(id, until, now, out);
        true
    }

    /// Tries the waiting requests that `fits` names.
    pub(super) fn retry_where<Fits>(&mut self, now: Duration, out: &mut Vec<Effect>, fits: Fits)
    where
        Fits: Fn(&Flow) -> bool,
    {
        let waiting: Vec<RequestHandle> = self.parked.iter().copied().collect();
        for id in waiting {
            if self.flows.get(&id).is_some_and(&fits) {
                self.dispatch(id, now, out);
            }
        }
    }
}
