//! Ranges of keys between two holders.
//!
//! While a range changes its holder, both targets send its requests away. The leader tells when
//! a change begins and when it is over, so that requests wait here instead.

use std::time::Duration;

use camphordale_fleet::{
    Key,
    ServiceName, //
};

/// Longest time for which requests wait for a range without further word, in case the leader is
/// lost: about as long as the work lasts that runs on the keys.
const RELEASING: Duration = Duration::from_millis(400);
/// Longest wait for the word that a new holder has its keys, after which it is asked all the same:
/// a few round trips between VMs of a region.
const GRANTING: Duration = Duration::from_millis(60);
/// Time that running work has before it is cancelled where it may be repeated, so that it does not
/// hold the release up: more than most requests take.
pub(crate) const LAST_WORK: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct Handover {
    service: ServiceName,
    from: Key,
    to: Key,
    until: Duration,
    /// When the former holder was told to release the range, until it has.
    released: Option<Duration>,
}

/// Ranges that are between two holders.
#[derive(Debug, Default)]
pub struct Handovers(Vec<Handover>);

impl Handovers {
    /// Notes that the holder of a range was told to release it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_entry::Handovers;
    ///
    /// let (mut handovers, now) = (Handovers::default(), Duration::ZERO);
    /// handovers.begin("s", (10, 20), now);
    /// handovers.end("s", (10, 15));
    /// assert_eq!(handovers.until("s", 15, now), None);
    /// assert!(handovers.until("s", 16, now).is_some());
    /// ```
    pub fn begin(&mut self, service: &str, range: (Key, Key), now: Duration) {
        self.mark(service, range, now + RELEASING, Some(now), now);
    }

    /// Notes that a range has another holder, who does not know it yet.
    pub fn assigned(&mut self, service: &str, range: (Key, Key), now: Duration) {
        self.mark(service, range, now + GRANTING, None, now);
    }

    fn mark(
        &mut self,
        service: &str,
        (from, to): (Key, Key),
        until: Duration,
        released: Option<Duration>,
        now: Duration,
    ) {
        self.end(service, (from, to));
        self.0.retain(|handover| handover.until > now);
        self.0.push(Handover {
            service: service.into(),
            from,
            to,
            until,
            released,
        });
    }

    /// Notes that a range is with its holder.
    pub fn end(&mut self, service: &str, (from, to): (Key, Key)) {
        let mut rest = Vec::new();
        self.0.retain_mut(|handover| {
            let apart = handover.from > to || handover.to < from;
            if apart || *handover.service != *service {
                return true;
            }
            let part = |from, to| Handover {
                service: handover.service.clone(),
                from,
                to,
                until: handover.until,
                released: handover.released,
            };
            if handover.from < from {
                rest.push(part(handover.from, from - 1));
            }
            if handover.to > to {
                rest.push(part(to + 1, handover.to));
            }
            false
        });
        self.0.append(&mut rest);
    }

    /// Forgets all ranges: the view is new.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Until when requests for a key wait, if it is between two holders.
    pub fn until(&self, service: &str, key: Key, now: Duration) -> Option<Duration> {
        let found = self.find(service, key);
        found.map(|found| found.until).filter(|until| *until > now)
    }

    /// Whether work on a key still runs at a holder that was told to release it some time ago.
    pub fn is_overdue(&self, service: &str, key: Key, now: Duration) -> bool {
        let found = self.find(service, key).and_then(|found| found.released);
        found.is_some_and(|released| now >= released + LAST_WORK)
    }

    fn find(&self, service: &str, key: Key) -> Option<&Handover> {
        self.0.iter().find(|handover| {
            *handover.service == *service && handover.from <= key && key <= handover.to
        })
    }
}
