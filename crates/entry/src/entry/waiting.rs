//! Requests that wait: for a routing, for a free slot, or for the next holder of a key.

use std::time::Duration;

use camphordale_fleet::{
    Key,
    ServiceName, //
};

use super::{
    Effect,
    Entry,
    IncomingRequest,
    Reason,
    RequestHandle,
    request::ActiveRequest, //
};

/// A caller waits for a routing for its timeout divided by this.
const ROUTING_WAIT_DIVISOR: u32 = 4;
/// Maximum wait for a routing: the duration of an election.
const MAX_ROUTING_WAIT: Duration = Duration::from_millis(300);
/// Maximum number of requests that wait for a routing.
const MAX_UNROUTED: usize = 256;
/// Suggested retry delay if a key is still moving.
const MOVING_RETRY_AFTER: Duration = Duration::from_millis(150);
/// A request may wait for the next holder of its key for the latency objective divided by this.
const HANDOVER_WAIT_DIVISOR: u32 = 2;

/// Waiting requests that may be tried in vain after an attempt has ended. They are tried in the order
/// of urgency, so the next ones are hardly admitted either; the exceptions are those with more time
/// left.
const MAX_VAIN_TRIES: usize = 4;

/// Place of a waiting request in the order in which they are tried: by service, rank, whether its
/// objective has passed, and time of its objective. Where urgent requests do not go first, only the
/// number of the request counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ParkKey {
    service: ServiceName,
    rank: u32,
    is_late: bool,
    objective_at: Duration,
    request: RequestHandle,
}

/// A request that was received before the routing that it needs.
pub(super) struct UnroutedRequest {
    pub(super) incoming: IncomingRequest,
    arrived_at: Duration,
    until: Duration,
}

/// How long a request waits for a routing.
fn routing_wait(incoming: &IncomingRequest) -> Duration {
    let longest = MAX_ROUTING_WAIT * ROUTING_WAIT_DIVISOR;
    incoming.caller_timeout.unwrap_or(longest).min(longest) / ROUTING_WAIT_DIVISOR
}

impl Entry {
    /// Handles a new request. Right after the start of this VM it waits for a moment: after a
    /// restart of the whole fleet the routing is about to arrive.
    pub(super) fn on_request(
        &mut self,
        incoming: IncomingRequest,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let may_wait = self.unrouted.len() < MAX_UNROUTED && !self.is_ending(now);
        if self.view.routing.is_some() || !may_wait {
            return self.route_request(incoming, now, now, out);
        }
        let until = now + routing_wait(&incoming);
        self.await_routing(incoming, now, until);
    }

    /// Lets a request wait for the next routing.
    pub(super) fn await_routing(
        &mut self,
        incoming: IncomingRequest,
        arrived_at: Duration,
        until: Duration,
    ) {
        self.timers.insert((until, incoming.handle));
        self.unrouted.push(UnroutedRequest {
            incoming,
            arrived_at,
            until,
        });
    }

    /// Until when a request waits for a newer routing than the one in force, if its content should
    /// arrive in that time.
    pub(super) fn newer_routing_wait(
        &self,
        incoming: &IncomingRequest,
        arrived_at: Duration,
        now: Duration,
    ) -> Option<Duration> {
        let until = arrived_at + routing_wait(incoming);
        let arrives_at = now + self.transfer_time()?;
        let may_wait = self.unrouted.len() < MAX_UNROUTED && !self.is_ending(now);
        (may_wait && now < until && arrives_at <= until).then_some(until)
    }

    /// Time until the newest routing has arrived, if it is on its way.
    pub(super) fn transfer_time(&self) -> Option<Duration> {
        let is_open = self.control_stream.is_open();
        self.transfers.time_left().filter(|_| is_open)
    }

    /// Resumes requests that waited for a routing.
    pub(super) fn resume_unrouted(&mut self, now: Duration, out: &mut Vec<Effect>) {
        for waiting in std::mem::take(&mut self.unrouted) {
            self.route_request(waiting.incoming, waiting.arrived_at, now, out);
        }
    }

    /// Handles a request for which the routing did not arrive in time.
    pub(super) fn on_routing_timeout(
        &mut self,
        id: RequestHandle,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let found = self
            .unrouted
            .iter()
            .position(|waiting| waiting.incoming.handle == id && now >= waiting.until);
        if let Some(at) = found {
            let waiting = self.unrouted.swap_remove(at);
            self.route_request(waiting.incoming, waiting.arrived_at, now, out);
        }
    }

    /// Lets a request wait until the next holder has its key.
    pub(super) fn await_handover(
        &mut self,
        id: RequestHandle,
        retry_at: Duration,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let until = request.wait_deadline(HANDOVER_WAIT_DIVISOR);
        if now >= until {
            return self.refuse(id, Reason::Moving, MOVING_RETRY_AFTER, now, out);
        }
        request.retry_at = retry_at;
        self.park(id, until, now);
    }

    /// Lets a request wait until the given time, or until it is to be tried again.
    pub(super) fn park(&mut self, id: RequestHandle, until: Duration, now: Duration) {
        let is_contended = self.routes.is_contended();
        let until = self.shutdown.map_or(until, |s| until.min(s.last_send()));
        if let Some(request) = self.requests.get_mut(&id) {
            request.parked_until = Some(until);
            let key = match is_contended {
                true => ParkKey {
                    service: request.service.clone(),
                    rank: request.urgency.rank,
                    is_late: now >= request.objective_at,
                    objective_at: request.objective_at,
                    request: id,
                },
                false => ParkKey {
                    request: id,
                    ..ParkKey::default()
                },
            };
            if request.park_key.as_ref() != Some(&key) {
                let previous = request.park_key.replace(key.clone());
                previous.map(|previous| self.parked.remove(&previous));
                self.parked.insert(key);
            }
            let next = match request.retry_at.is_zero() {
                true => until,
                false => until.min(request.retry_at),
            };
            self.timers.insert((next, id));
        }
    }

    /// Tries waiting requests after a slot may have become free.
    pub(super) fn retry_parked(
        &mut self,
        service: Option<&str>,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        // A holder that has just rejected a request would do so again.
        self.retry_where(now, out, |request| {
            now >= request.retry_at && service.is_none_or(|service| *request.service == *service)
        });
    }

    /// Tries waiting requests after an attempt at a target has ended. Where urgent requests go first,
    /// it stops when the target admits no more.
    pub(super) fn retry_parked_at(
        &mut self,
        service: &str,
        target: &str,
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        if !self.routes.is_contended() {
            return self.retry_parked(Some(service), now, out);
        }
        let is_keyed = self.view.is_keyed(service);
        let mut next = ParkKey {
            service: service.into(),
            ..ParkKey::default()
        };
        let mut vain = 0;
        while vain < MAX_VAIN_TRIES
            && let Some(key) = self.parked.range(&next..).next().cloned()
            && *key.service == *service
        {
            let id = key.request;
            next = ParkKey {
                request: id + 1,
                ..key
            };
            let fits = self.requests.get(&id).is_some_and(|request| {
                let holder = self.holder_of(request);
                let may_fit = !is_keyed || holder.is_some_and(|holder| **holder == *target);
                now >= request.retry_at && may_fit
            });
            if !fits {
                continue;
            }
            self.dispatch(id, now, out);
            let request = self.requests.get(&id);
            if request.is_some_and(|request| request.park_key.is_some()) {
                vain += 1;
            }
        }
    }

    /// Waiting requests in the order in which they are tried.
    pub(super) fn waiting(&self) -> impl Iterator<Item = RequestHandle> {
        self.parked.iter().map(|key| key.request)
    }

    /// Removes a request from those that wait.
    pub(super) fn unpark(&mut self, id: RequestHandle) {
        let request = self.requests.get_mut(&id);
        if let Some(key) = request.and_then(|request| request.park_key.take()) {
            self.parked.remove(&key);
        }
    }

    /// Tries waiting requests for the keys of a range whose holder has changed.
    pub(super) fn retry_range(
        &mut self,
        service: &str,
        (from, to): (Key, Key),
        now: Duration,
        out: &mut Vec<Effect>,
    ) {
        self.retry_where(now, out, |request| {
            let inside = request.key.is_some_and(|key| from <= key && key <= to);
            inside && *request.service == *service
        });
    }

    /// Tries the waiting requests for which `fits` returns `true`.
    pub(super) fn retry_where<Fits>(&mut self, now: Duration, out: &mut Vec<Effect>, fits: Fits)
    where
        Fits: Fn(&ActiveRequest) -> bool,
    {
        let waiting: Vec<RequestHandle> = self.waiting().collect();
        for id in waiting {
            if self.requests.get(&id).is_some_and(&fits) {
                self.dispatch(id, now, out);
            }
        }
    }
}
