//! The choice among targets of an unkeyed service.

use camphordale_types::TargetId;

/// What this VM knows of a candidate for a request without a key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) target: TargetId,
    /// Requests of this VM in flight there.
    pub(crate) in_flight: u32,
    /// Requests that this VM may have in flight there.
    pub(crate) share: u32,
    /// Expected time of a request in seconds.
    pub(crate) latency: f64,
    /// Recent refusals, decayed.
    pub(crate) refusals: f64,
    /// Reported load from 0 to 1.
    pub(crate) load: f64,
    /// Share of full load that it gets while it warms up, from above 0 to 1.
    pub(crate) warmth: f64,
}

/// Weight of the reported load. Reports lag and mislead, so even a full target costs no more than
/// a quarter above an idle one.
const LOAD_WEIGHT: f64 = 0.25;
/// Weight of one recent refusal.
const REFUSAL_WEIGHT: f64 = 1.0;

impl Candidate {
    /// Tells whether it can take one more request.
    fn has_room(&self) -> bool {
        // A target that warms up gets at least one request at a time, or it would never warm up.
        let allowed = (f64::from(self.share) * self.warmth).ceil();
        f64::from(self.in_flight) < allowed.min(f64::from(self.share))
    }

    /// Expected cost of one more request.
    fn cost(&self) -> f64 {
        f64::from(self.in_flight + 1) / f64::from(self.share.max(1))
            * self.latency
            * (1.0 + REFUSAL_WEIGHT * self.refusals)
            * (1.0 + LOAD_WEIGHT * self.load.clamp(0.0, 1.0))
            / self.warmth
    }
}

/// Returns the cheapest candidate with room; `start` decides between equal ones.
pub(crate) fn choose(candidates: &[Candidate], start: usize) -> Option<TargetId> {
    let count = candidates.len();
    let mut best: Option<(f64, TargetId)> = None;
    for i in 0..count {
        let candidate = &candidates[(start % count + i) % count];
        if !candidate.has_room() {
            continue;
        }
        let cost = candidate.cost();
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, candidate.target));
        }
    }
    best.map(|(_, target)| target)
}
