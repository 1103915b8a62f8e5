//! Baseline policies, for comparison with [`LoadBalancer`](super::LoadBalancer).

use camphordale_types::TargetId;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

use super::Candidate;

/// A load-balancing policy that does not combine the sender's measurements into a cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// A random candidate with a free slot.
    Random,
    /// The candidates with a free slot in rotation.
    RoundRobin,
    /// The candidate with the lowest reported load.
    LeastReported,
    /// The candidate with fewer requests in flight, out of two random ones.
    TwoChoices,
    /// A Metropolis-Hastings random walk on a ring of the candidates, whose stationary distribution
    /// is proportional to their free slots. A node knows only its neighbours.
    RandomWalk {
        /// Number of neighbours on each side.
        reach: usize,
        /// Number of steps per choice.
        steps: usize,
    },
}

/// Runs a [`Policy`].
///
/// # Examples
///
/// ```
/// use camphordale_placement::load_balancer::baseline::{Baseline, Policy};
///
/// let mut baseline = Baseline::new(Policy::RoundRobin, 1);
/// assert_eq!(baseline.pick(&[]), None);
/// ```
#[derive(Clone, Debug)]
pub struct Baseline {
    policy: Policy,
    random: StdRng,
    next: usize,
}

impl Baseline {
    /// Creates a baseline whose random choices are derived from `seed`.
    pub fn new(policy: Policy, seed: u64) -> Self {
        Baseline {
            policy,
            random: StdRng::seed_from_u64(seed),
            next: 0,
        }
    }

    /// Returns a candidate with a free slot, or `None` if there is none.
    pub fn pick(&mut self, candidates: &[Candidate]) -> Option<TargetId> {
        let free: Vec<&Candidate> = candidates.iter().filter(|c| c.has_free_slot()).collect();
        if free.is_empty() {
            return None;
        }
        let picked = match self.policy {
            Policy::Random => free[self.random.random_range(0..free.len())],
            Policy::RoundRobin => {
                self.next = self.next.wrapping_add(1);
                free[self.next % free.len()]
            }
            Policy::LeastReported => free
                .iter()
                .copied()
                .min_by(|a, b| a.reported_load.total_cmp(&b.reported_load))?,
            Policy::TwoChoices => {
                let one = free[self.random.random_range(0..free.len())];
                let other = free[self.random.random_range(0..free.len())];
                if other.in_flight < one.in_flight {
                    other
                } else {
                    one
                }
            }
            Policy::RandomWalk { reach, steps } => free[self.random_walk(&free, reach, steps)],
        };
        Some(picked.id)
    }

    fn random_walk(&mut self, nodes: &[&Candidate], reach: usize, steps: usize) -> usize {
        let reach = reach.clamp(1, nodes.len());
        let mut at = self.next % nodes.len();
        for _ in 0..steps {
            let hop = self.random.random_range(1..=reach);
            let forward: bool = self.random.random();
            let to = if forward {
                (at + hop) % nodes.len()
            } else {
                (at + nodes.len() - hop % nodes.len()) % nodes.len()
            };
            // All nodes have the same degree, so the acceptance probability depends only on the
            // weights.
            let weight = |c: &Candidate| f64::from(c.usable_slots() - c.in_flight);
            if self.random.random::<f64>() < weight(nodes[to]) / weight(nodes[at]) {
                at = to;
            }
        }
        self.next = at;
        at
    }
}
