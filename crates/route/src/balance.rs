//! Load balancing among the targets of an unkeyed service.

use camphordale_types::TargetId;

/// A target that an unkeyed request can be sent to, with its load as this VM knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) target: TargetId,
    /// Requests that this VM has in flight at the target.
    pub(crate) in_flight: u32,
    /// Upper bound of requests that this VM may have in flight at the target.
    pub(crate) share: u32,
    /// Expected latency of a request, in seconds.
    pub(crate) latency: f64,
    /// Exponentially decayed number of refusals.
    pub(crate) refusals: f64,
    /// Load reported by the target, from 0 to 1.
    pub(crate) load: f64,
    /// Fraction of its share that a target gets during its warm-up, greater than 0 and at most 1.
    pub(crate) warm_up_factor: f64,
}

/// Weight of the reported load in the cost. Reports can be late or wrong, so a target at full load
/// costs at most 25 % more than an idle one.
const LOAD_WEIGHT: f64 = 0.25;
/// Weight of one recent refusal in the cost.
const REFUSAL_WEIGHT: f64 = 1.0;

impl Candidate {
    /// Returns the number of requests that this VM may send to the target now.
    pub(crate) fn free_slots(&self) -> u32 {
        // Rounded up, because a target that gets no request never completes its warm-up.
        let allowed = (f64::from(self.share) * self.warm_up_factor).ceil();
        (allowed as u32)
            .min(self.share)
            .saturating_sub(self.in_flight)
    }

    /// Returns the expected cost of one more request.
    fn cost(&self) -> f64 {
        f64::from(self.in_flight + 1) / f64::from(self.share.max(1))
            * self.latency
            * (1.0 + REFUSAL_WEIGHT * self.refusals)
            * (1.0 + LOAD_WEIGHT * self.load.clamp(0.0, 1.0))
            / self.warm_up_factor
    }
}

/// Returns the candidate with the lowest cost that has a free slot. Ties go to the first one,
/// counted from index `start`.
pub(crate) fn choose(candidates: &[Candidate], start: usize) -> Option<TargetId> {
    let count = candidates.len();
    let mut best: Option<(f64, TargetId)> = None;
    for i in 0..count {
        let candidate = &candidates[(start % count + i) % count];
        if candidate.free_slots() == 0 {
            continue;
        }
        let cost = candidate.cost();
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, candidate.target));
        }
    }
    best.map(|(_, target)| target)
}
