//! Admission of a request: its service, its key and its deadline.

use std::{sync::Arc, time::Duration};

use camphordale_types::{KeySource, NotRun, Service};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Origin, Request, Router,
    request::{Flight, Stage},
};

/// Share of the allowed time in which a request is no longer started, as a divisor.
const RESERVE_DIVISOR: u32 = 10;
/// Longest time before the deadline in which a request is no longer started.
const RESERVE_MAX: Duration = Duration::from_millis(20);
/// Header that carries the caller's idempotency key.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

impl Router {
    /// Admits the request of [`Event::Request`].
    pub(crate) fn admit(&mut self, request: Request) {
        // A request whose id is in use already is the same one, delivered twice.
        if self.flights.contains_key(&request.id) {
            return;
        }
        let id = request.id;
        self.counters.requests += 1;
        match self.check(request) {
            Ok(flight) => {
                self.slots[flight.slot].retries.earn();
                self.flights.insert(id, flight);
                self.place(id);
            }
            Err(reason) => self.refuse_new(id, reason),
        }
    }

    /// Finds the service, the key and the deadline.
    fn check(&self, request: Request) -> Result<Flight, NotRun> {
        let bundle = self.bundle.as_ref().ok_or(NotRun::NoBundle)?;
        if self.draining && request.origin == Origin::Caller {
            return Err(NotRun::ShuttingDown);
        }
        let name = &bundle
            .route(request.host.as_deref(), &request.path)
            .ok_or(NotRun::NoService)?
            .name;
        let slot = *self.names.get(name).ok_or(NotRun::NoService)?;
        let service = self.slots[slot].service.clone().ok_or(NotRun::NoService)?;
        let (key, shard) = match service.key {
            KeySource::None => ("".into(), None),
            _ => {
                let key = key_of(&service.key, &request).ok_or(NotRun::NoKey)?;
                let shard = service.shard_of(&key);
                (key, Some(shard))
            }
        };
        let allowed = match request.allowed {
            Some(allowed) => allowed.min(service.deadline),
            None => service.deadline,
        };
        if allowed.is_zero() {
            return Err(NotRun::Deadline);
        }
        let deadline = self.now.saturating_add(allowed);
        let idempotency = idempotency_of(&service, &request);
        if idempotency.is_some() && shard.is_none() {
            // Records belong to shards. A resend could reach a domain that has no record, so a
            // service without keys cannot keep the promise of the header.
            return Err(NotRun::Record);
        }
        let hops = match request.origin {
            Origin::Caller => 0,
            Origin::Vm { hops, .. } => hops,
        };
        Ok(Flight {
            repeatable: service.repeat.allows(&request.method),
            side: service.side_by_hash(xxh3_64(&request.id.to_le_bytes())),
            origin: request.origin,
            method: request.method,
            path: request.path,
            slot,
            service,
            shard,
            key,
            idempotency,
            deadline,
            start_by: deadline.saturating_sub((allowed / RESERVE_DIVISOR).min(RESERVE_MAX)),
            arrived: self.now,
            started: self.now,
            stage: Stage::New,
            timer: None,
            attempts: 0,
            hops,
            proceeded: false,
            aborted: false,
            cancelled: false,
            taint: None,
            record: None,
            token: Default::default(),
        })
    }

    /// Maps the key of a request to its shard again after a new bundle. Returns false if the
    /// service is gone or changed between keyed and unkeyed, and the request was refused.
    pub(crate) fn refresh(&mut self, id: u128) -> bool {
        let Some(flight) = self.flights.get_mut(&id) else {
            return false;
        };
        let Some(service) = self.slots[flight.slot].service.clone() else {
            self.refuse(id, NotRun::NoService);
            return false;
        };
        if service.is_keyed() != flight.shard.is_some() {
            self.refuse(id, NotRun::NoService);
            return false;
        }
        if !Arc::ptr_eq(&service, &flight.service) {
            if flight.shard.is_some() {
                flight.shard = Some(service.shard_of(&flight.key));
            }
            flight.service = service;
        }
        true
    }
}

fn idempotency_of(service: &Service, request: &Request) -> Option<Box<str>> {
    if service.repeat.allows(&request.method) {
        return None;
    }
    request
        .headers
        .iter()
        .find(|(name, _)| &**name == IDEMPOTENCY_HEADER)
        .map(|(_, value)| value.clone())
}

/// Returns the key of `request`; none if it has none, an undecodable one, or two different ones.
pub(crate) fn key_of(source: &KeySource, request: &Request) -> Option<Box<str>> {
    let (path, query) = match request.path.split_once('?') {
        Some((path, query)) => (path, query),
        None => (&*request.path, ""),
    };
    let key = match source {
        KeySource::None => None,
        KeySource::Header(name) => only(
            request
                .headers
                .iter()
                .filter(|(n, _)| n.eq_ignore_ascii_case(name))
                .map(|(_, value)| Some((**value).into())),
        ),
        KeySource::Segment(at) => path
            .split('/')
            .skip(1)
            .nth(*at as usize)
            .and_then(|segment| decode(segment, false)),
        KeySource::Query(name) => only(
            query
                .split('&')
                .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
                .filter(|(n, _)| decode(n, true).as_deref() == Some(&**name))
                .map(|(_, value)| decode(value, true)),
        ),
    };
    key.filter(|key| !key.is_empty())
}

/// Returns the value that all of `values` agree on. A target could read another occurrence than
/// the router, so differing ones are no key.
fn only(mut values: impl Iterator<Item = Option<Box<str>>>) -> Option<Box<str>> {
    let first = values.next()??;
    values
        .all(|v| v.as_deref() == Some(&*first))
        .then_some(first)
}

/// Decodes `%XX`, and `+` as a space where `plus` is set.
fn decode(text: &str, plus: bool) -> Option<Box<str>> {
    if !text.contains(['%', '+']) {
        return Some(text.into());
    }
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => {
                let high = char::from(rest.next()?).to_digit(16)?;
                let low = char::from(rest.next()?).to_digit(16)?;
                (high * 16 + low) as u8
            }
            b'+' if plus => b' ',
            other => other,
        });
    }
    String::from_utf8(bytes).ok().map(String::into_boxed_str)
}
