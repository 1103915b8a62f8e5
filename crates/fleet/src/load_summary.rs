//! Load of targets that entry VMs see in responses, merged by the leader for all entry VMs.
//!
//! With hundreds of entry VMs and targets, one VM sees the load of a given target once in 5 to 17 s,
//! but all VMs together see it several times per second. The newest report of a target wins. A
//! summary carries only what changed, within a fixed number of bytes, so that the cost for an entry
//! VM is the same in a fleet of any size.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::registry::Incarnation;

/// Short name of an incarnation of a target: four bytes instead of the twelve or more of its id. Two
/// of 900 targets have the same tag in one of 10,000 fleets; each then also gets the loads of the
/// other.
pub type TargetTag = [u8; 4];

/// Time between two summaries. With 134 entry VMs and 237 targets, twice as many took 19 MB more
/// between failure domains in a minute, and no more requests were served.
pub const SUMMARY_INTERVAL: Duration = Duration::from_millis(400);
/// Targets in one summary: with about 6 bytes each and two or three summaries per second, 3 KB/s. The demand
/// takes another 0.5 KB/s with five plain services in three domains.
pub const MAX_SUMMARY_TARGETS: usize = 200;
/// Targets in one report of an entry VM.
pub const MAX_REPORTED_TARGETS: usize = 256;
/// Age at which a load says nothing any more: requests take 0.1 to 0.4 s, and the estimate of an entry
/// VM decays with 1.5 s. Its encoding fits one byte.
const MAX_AGE: Duration = Duration::from_millis(2500);
/// Time after which an unchanged load is as worth sending as one that changed by one request. The
/// worth grows with the square of the time, so that at 900 targets none is left out for more than 2 to
/// 3 s while others change by many requests.
const REFRESH_TIME: Duration = Duration::from_millis(400);
/// Least worth of a load that is sent.
const MIN_GAIN: f64 = 1.0;
/// Unit of ages in messages.
const AGE_UNIT: Duration = Duration::from_millis(10);

/// Offset basis and prime of the 32-bit FNV-1a hash.
const FNV_BASIS: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// The tag of an incarnation.
///
/// ```
/// use camphordale_fleet::load_summary::target_tag;
///
/// assert_ne!(target_tag("t1", 1), target_tag("t1", 2));
/// ```
pub fn target_tag(id: &str, incarnation: Incarnation) -> TargetTag {
    let bytes = id.bytes().chain(incarnation.to_le_bytes());
    let hash = bytes.fold(FNV_BASIS, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
    });
    hash.to_le_bytes()
}

/// Time since a load was seen, in units of 10 ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadAge(u8);

impl LoadAge {
    /// The age, or `None` if the load is too old to be of use.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_fleet::load_summary::LoadAge;
    ///
    /// let age = LoadAge::new(Duration::from_millis(123));
    /// assert_eq!(age.map(LoadAge::time), Some(Duration::from_millis(120)));
    /// assert_eq!(LoadAge::new(Duration::from_secs(3)), None);
    /// ```
    pub fn new(age: Duration) -> Option<LoadAge> {
        let units = age.as_millis() / AGE_UNIT.as_millis();
        let units = u8::try_from(units).ok()?;
        (age <= MAX_AGE).then_some(LoadAge(units))
    }

    /// The age as a time.
    pub fn time(self) -> Duration {
        AGE_UNIT * u32::from(self.0)
    }
}

/// Requests at a target, running and queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The incarnation of the target.
    pub tag: TargetTag,
    /// Requests there from all VMs.
    pub requests: u16,
    /// Time since the target stated them.
    pub age: LoadAge,
}

/// A load that the leader knows.
#[derive(Clone, Copy, Debug)]
struct KnownLoad {
    requests: u16,
    seen_at: Duration,
    /// What the entry VMs were told last, and when the target had stated it.
    sent: Option<(u16, Duration)>,
}

/// Time without a response of a target, before a VM that cannot reach it counts: the link of that VM
/// alone may be at fault.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(400);
/// Time for which a report that a target cannot be reached holds: three pings.
const UNREACHABLE_TIME: Duration = Duration::from_millis(900);

impl KnownLoad {
    /// How much the entry VMs gain by this load: the change in requests, and the time since they
    /// last got one. `None` if they know it.
    fn gain(&self) -> Option<f64> {
        let Some((requests, seen_at)) = self.sent else {
            return Some(f64::INFINITY);
        };
        let newer = self.seen_at.checked_sub(seen_at).filter(|t| !t.is_zero())?;
        let change = f64::from(self.requests.abs_diff(requests));
        let waited = newer.as_secs_f64() / REFRESH_TIME.as_secs_f64();
        Some(change + waited * waited)
    }
}

/// The newest loads by the reports of all entry VMs.
///
/// ```
/// use std::time::Duration;
/// use camphordale_fleet::load_summary::{LoadAge, LoadMerger, TargetLoad, target_tag};
///
/// let now = Duration::from_secs(1);
/// let mut merger = LoadMerger::default();
/// if let Some(age) = LoadAge::new(Duration::ZERO) {
///     let tag = target_tag("t1", 1);
///     merger.record(&[TargetLoad { tag, requests: 3, age }], now);
/// }
/// assert_eq!(merger.take_changes(now).len(), 1);
/// assert!(merger.take_changes(now).is_empty());
/// ```
#[derive(Debug, Default)]
pub struct LoadMerger {
    loads: BTreeMap<TargetTag, KnownLoad>,
    /// When an entry VM last reported that it cannot reach a target.
    unreachable: BTreeMap<TargetTag, Duration>,
}

impl LoadMerger {
    /// Adopts the report of an entry VM. A load that is older than the known one is ignored.
    pub fn record(&mut self, loads: &[TargetLoad], now: Duration) {
        for load in loads.iter().take(MAX_REPORTED_TARGETS) {
            let seen_at = now.saturating_sub(load.age.time());
            let requests = load.requests;
            let known = self.loads.entry(load.tag).or_insert(KnownLoad {
                requests,
                seen_at,
                sent: None,
            });
            if seen_at > known.seen_at {
                known.requests = requests;
                known.seen_at = seen_at;
            }
        }
    }

    /// Adopts the report of an entry VM that it cannot reach these targets.
    pub fn record_unreachable(&mut self, tags: &[TargetTag], now: Duration) {
        let tags = tags.iter().take(MAX_REPORTED_TARGETS);
        self.unreachable.extend(tags.map(|tag| (*tag, now)));
    }

    /// Requests at a target by the newest report, if there was a recent one.
    #[must_use]
    pub fn requests_at(&self, tag: TargetTag, now: Duration) -> Option<u16> {
        let known = self.loads.get(&tag);
        let recent = known.filter(|known| now.saturating_sub(known.seen_at) <= MAX_AGE);
        recent.map(|known| known.requests)
    }

    /// Whether an entry VM cannot reach a target, and none has had a response for a moment before.
    #[must_use]
    pub fn is_unreachable(&self, tag: TargetTag, now: Duration) -> bool {
        let Some(at) = self.unreachable.get(&tag) else {
            return false;
        };
        let responded = self.loads.get(&tag).map(|known| known.seen_at);
        now.saturating_sub(*at) <= UNREACHABLE_TIME
            && responded.is_none_or(|seen_at| *at >= seen_at + UNREACHABLE_AFTER)
    }

    /// Drops old loads, and takes those that entry VMs gain most by.
    pub fn take_changes(&mut self, now: Duration) -> Vec<TargetLoad> {
        self.loads
            .retain(|_, known| now.saturating_sub(known.seen_at) <= MAX_AGE);
        self.unreachable
            .retain(|_, at| now.saturating_sub(*at) <= UNREACHABLE_TIME);
        let known = self.loads.iter();
        let gains = known.filter_map(|(tag, known)| Some((known.gain()?, *tag)));
        let mut gains: Vec<(f64, TargetTag)> =
            gains.filter(|(gain, _)| *gain >= MIN_GAIN).collect();
        gains.sort_by(|(gain, tag), (other, other_tag)| {
            other.total_cmp(gain).then(tag.cmp(other_tag))
        });
        gains.truncate(MAX_SUMMARY_TARGETS);
        let changes = gains.into_iter().filter_map(|(_, tag)| {
            let known = self.loads.get_mut(&tag)?;
            known.sent = Some((known.requests, known.seen_at));
            Some(TargetLoad {
                tag,
                requests: known.requests,
                age: LoadAge::new(now.saturating_sub(known.seen_at))?,
            })
        });
        changes.collect()
    }

    /// Makes the next summaries state all loads again, for an entry VM that has just begun to take
    /// them.
    pub fn resend_all(&mut self) {
        for known in self.loads.values_mut() {
            known.sent = None;
        }
    }
}
