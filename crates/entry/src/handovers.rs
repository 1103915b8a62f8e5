//! Key ranges that are moving between two holders.
//!
//! While a range moves, both targets reject its requests. The leader notifies entry VMs when a move
//! starts and ends, so that requests wait here instead.

use std::time::Duration;

use camphordale_fleet::{
    Key,
    KeyDelivery,
    ServiceName, //
};

/// Maximum time for which requests wait for a release if the leader sends no further notice, for
/// example because it is lost: about as long as the requests that run on the keys.
const MAX_RELEASE_WAIT: Duration = Duration::from_millis(400);
/// The same limit if the routing is contended. Where ranges move because their holder is saturated,
/// its requests take longer. The holder would reject a request that is sent meanwhile.
const CONTENDED_RELEASE_WAIT: Duration = Duration::from_millis(1000);
/// Maximum time for which requests wait for the notice that a new holder has its keys: a few round
/// trips between VMs of a region. After it the new holder is tried anyway.
const MAX_GRANT_WAIT: Duration = Duration::from_millis(60);
/// The same limit where the holder is told in the answer to its next announcement: about one
/// interval between announcements.
const MAX_CLAIM_WAIT: Duration = Duration::from_millis(1000);

#[derive(Debug)]
struct Handover {
    service: ServiceName,
    from: Key,
    to: Key,
    /// Time until which requests for the range wait.
    wait_until: Duration,
}

/// Key ranges that are moving between two holders.
#[derive(Debug, Default)]
pub struct Handovers {
    moving: Vec<Handover>,
    is_contended: bool,
}

impl Handovers {
    /// Records that the holder of a range was ordered to release it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_entry::Handovers;
    ///
    /// let (mut handovers, now) = (Handovers::default(), Duration::ZERO);
    /// handovers.begin("s", (10, 20), now);
    /// handovers.end("s", (10, 15));
    /// assert_eq!(handovers.wait_until("s", 15, now), None);
    /// assert!(handovers.wait_until("s", 16, now).is_some());
    /// ```
    pub fn begin(&mut self, service: &str, range: (Key, Key), now: Duration) {
        let wait = match self.is_contended {
            true => CONTENDED_RELEASE_WAIT,
            false => MAX_RELEASE_WAIT,
        };
        self.set(service, range, now + wait, now);
    }

    /// Sets whether the routing is contended. If it is, requests wait longer for a release.
    pub fn set_contended(&mut self, is_contended: bool) {
        self.is_contended = is_contended;
    }

    /// Records that a range was assigned to another holder, which has not acknowledged it yet.
    pub fn assigned(
        &mut self,
        service: &str,
        range: (Key, Key),
        delivery: KeyDelivery,
        now: Duration,
    ) {
        let wait = match delivery {
            KeyDelivery::Heartbeat => MAX_CLAIM_WAIT,
            KeyDelivery::Call | KeyDelivery::Unkeyed => MAX_GRANT_WAIT,
        };
        self.set(service, range, now + wait, now);
    }

    fn set(&mut self, service: &str, (from, to): (Key, Key), wait_until: Duration, now: Duration) {
        self.end(service, (from, to));
        self.moving.retain(|handover| handover.wait_until > now);
        self.moving.push(Handover {
            service: service.into(),
            from,
            to,
            wait_until,
        });
    }

    /// Records that a range is no longer moving: its holder has it.
    pub fn end(&mut self, service: &str, (from, to): (Key, Key)) {
        let mut rest = Vec::new();
        self.moving.retain_mut(|handover| {
            let disjoint = handover.from > to || handover.to < from;
            if disjoint || *handover.service != *service {
                return true;
            }
            let remainder = |from, to| Handover {
                service: handover.service.clone(),
                from,
                to,
                wait_until: handover.wait_until,
            };
            if handover.from < from {
                rest.push(remainder(handover.from, from - 1));
            }
            if handover.to > to {
                rest.push(remainder(to + 1, handover.to));
            }
            false
        });
        self.moving.append(&mut rest);
    }

    /// Clears all ranges, for a new view.
    pub fn clear(&mut self) {
        self.moving.clear();
    }

    /// Time until which requests for a key wait, if the key is moving.
    pub fn wait_until(&self, service: &str, key: Key, now: Duration) -> Option<Duration> {
        let found = self.moving.iter().find(|handover| {
            *handover.service == *service && handover.from <= key && key <= handover.to
        });
        found
            .map(|found| found.wait_until)
            .filter(|wait_until| *wait_until > now)
    }
}
