//! Admission of a request: its service, its key and its deadline.

use std::{sync::Arc, time::Duration};

use camphordale_types::{KeySource, NotRun, Service};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Origin, Request, Router,
    request::{ActiveRequest, Stage},
};

/// A request is written only if its timeout divided by this is left until its deadline.
const START_MARGIN_DIVISOR: u32 = 10;
/// Upper bound of the time that must be left.
const MAX_START_MARGIN: Duration = Duration::from_millis(20);
/// Header that carries the caller's idempotency key.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Age of the domain's last renewal with the control group from which the bundle in force may have
/// been replaced without the domain's knowledge. Domain leaders renew four times in this time.
const MAX_RENEWAL_AGE: Duration = Duration::from_secs(1);

impl Router {
    /// Admits the request of [`Event::Request`].
    pub(crate) fn admit(&mut self, request: Request) {
        // An id in use means that the same request was delivered twice.
        if self.requests.contains_key(&request.id) {
            return;
        }
        let (id, origin) = (request.id, request.origin);
        self.counters.requests += 1;
        match self.resolve(request) {
            Ok(request) => {
                self.services[request.service_index].retry_budget.deposit();
                self.requests.insert(id, request);
                self.route_request(id);
            }
            Err(reason) => self.refuse_new(id, self.confirmed(reason, origin)),
        }
    }

    /// Resolves the service, the shard and the deadline of a request.
    fn resolve(&self, request: Request) -> Result<ActiveRequest, NotRun> {
        let bundle = self.bundle.as_ref().ok_or(NotRun::NoBundle)?;
        if self.draining && request.origin == Origin::Caller {
            return Err(NotRun::ShuttingDown);
        }
        let name = &bundle
            .route(request.host.as_deref(), &request.path)
            .ok_or(NotRun::NoService)?
            .name;
        let service_index = *self.service_indices.get(name).ok_or(NotRun::NoService)?;
        let service = self.services[service_index]
            .service
            .clone()
            .ok_or(NotRun::NoService)?;
        let (key, shard) = match service.key {
            KeySource::None => ("".into(), None),
            _ => {
                let key = routing_key(&service.key, &request).ok_or(NotRun::NoKey)?;
                let shard = service.shard_of(&key);
                (key, Some(shard))
            }
        };
        let timeout = match request.timeout {
            Some(timeout) => timeout.min(service.deadline),
            None => service.deadline,
        };
        if timeout.is_zero() {
            return Err(NotRun::Deadline);
        }
        let deadline = self.now.saturating_add(timeout);
        let idempotency = idempotency_of(&service, &request);
        if idempotency.is_some() && shard.is_none() {
            // Idempotency records are kept per shard. A resend of an unkeyed service could reach a
            // domain without a record of the first request, so the header cannot be honored.
            return Err(NotRun::Record);
        }
        let hops = match request.origin {
            Origin::Caller => 0,
            Origin::Vm { hops, .. } => hops,
        };
        Ok(ActiveRequest {
            retryable: service.repeat.allows(&request.method),
            side: service.side_by_hash(xxh3_64(&request.id.to_le_bytes())),
            origin: request.origin,
            method: request.method,
            path: request.path,
            service_index,
            service,
            shard,
            key,
            idempotency,
            deadline,
            start_by: deadline
                .saturating_sub((timeout / START_MARGIN_DIVISOR).min(MAX_START_MARGIN)),
            arrived: self.now,
            started: self.now,
            stage: Stage::New,
            timer: None,
            attempts: 0,
            hops,
            written: false,
            aborted: false,
            retry_taken: false,
            reconnected: false,
            cancelled: false,
            unknown_outcome: None,
            record: None,
            token: Default::default(),
        })
    }

    /// Maps the key of a request to its shard again if the bundle has changed. Returns false if
    /// the request was refused, because the service was removed or changed between keyed and
    /// unkeyed.
    pub(crate) fn refresh_shard(&mut self, id: u128) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        let origin = request.origin;
        let Some(service) = self.services[request.service_index].service.clone() else {
            let reason = self.confirmed(NotRun::NoService, origin);
            self.refuse(id, reason);
            return false;
        };
        if service.is_keyed() != request.shard.is_some() {
            let reason = self.confirmed(NotRun::NoService, origin);
            self.refuse(id, reason);
            return false;
        }
        if !Arc::ptr_eq(&service, &request.service) {
            if request.shard.is_some() {
                request.shard = Some(service.shard_of(&request.key));
            }
            request.service = service;
        }
        true
    }

    /// Returns the refusal of a caller's request: a reason that the caller takes as final only if
    /// it cannot be due to an outdated bundle. Other VMs get `reason` and decide by their own bundle.
    fn confirmed(&self, reason: NotRun, origin: Origin) -> NotRun {
        match reason {
            NotRun::NoService | NotRun::NoKey
                if origin == Origin::Caller && !self.is_bundle_confirmed() =>
            {
                NotRun::UnconfirmedBundle
            }
            _ => reason,
        }
    }

    /// Returns whether the bundle in force is the newest one, as far as the domain and the control
    /// group have told this VM a short time ago.
    fn is_bundle_confirmed(&self) -> bool {
        let version = self.bundle.as_ref().map_or(0, |bundle| bundle.version);
        !self.bundle_outdated
            && self.group.bundle_version <= version
            && self.has_lease()
            && self.lease.control_age(self.now) <= MAX_RENEWAL_AGE
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

/// Returns the routing key of `request`, or `None` if the key is missing, empty, cannot be decoded
/// or has two different values.
pub(crate) fn routing_key(source: &KeySource, request: &Request) -> Option<Box<str>> {
    let (path, query) = match request.path.split_once('?') {
        Some((path, query)) => (path, query),
        None => (&*request.path, ""),
    };
    let key = match source {
        KeySource::None => None,
        KeySource::Header(name) => single_value(
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
            .and_then(|segment| percent_decode(segment, false)),
        KeySource::Query(name) => single_value(
            query
                .split('&')
                .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
                .filter(|(n, _)| percent_decode(n, true).as_deref() == Some(&**name))
                .map(|(_, value)| percent_decode(value, true)),
        ),
    };
    key.filter(|key| !key.is_empty())
}

/// Returns the value if all of `values` are equal. Of differing values, a target could use another
/// one than the router.
fn single_value(mut values: impl Iterator<Item = Option<Box<str>>>) -> Option<Box<str>> {
    let first = values.next()??;
    values
        .all(|v| v.as_deref() == Some(&*first))
        .then_some(first)
}

/// Decodes `%XX`, and `+` as a space if `plus` is set.
fn percent_decode(text: &str, plus: bool) -> Option<Box<str>> {
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
