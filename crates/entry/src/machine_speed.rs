//! Speed of targets' machines, as targets state it and as latencies show it.
//!
//! Load pattern: targets of one service run on machines of different speed, and neighbours slow some
//! of them down for moments. The work of requests varies by more than that, so the speed that a target
//! states is known sooner than the one that its latencies show.

use crate::targets::LoadReport;

/// Weight of a higher slowdown in the usual one of a target's machine. Neighbours slow a machine down
/// for a fifth of the time; a machine that has become slower is known after some tens of responses.
const SLOWDOWN_RISE_WEIGHT: f64 = 0.03;
/// Least weight of one response in the mean latency of a service.
const SERVICE_LATENCY_WEIGHT: f64 = 0.02;

/// How long work takes on a target's machine at the moment, relative to the usual time of its
/// service: by the speed of the machine, and by what its neighbours take.
///
/// ```
/// use camphordale_entry::Slowdown;
///
/// assert_eq!(Slowdown::try_from(2.5).map(Slowdown::factor), Ok(2.5));
/// assert_eq!(Slowdown::default().factor(), 1.0);
/// assert!(Slowdown::try_from(f64::NAN).is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slowdown {
    per_mille: u32,
}

/// The value is not a number within the bounds of a [`Slowdown`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a number between {} and {}", Slowdown::MIN, Slowdown::MAX)]
pub struct InvalidSlowdown;

impl Slowdown {
    /// Smallest factor. One that is far below 1 would make a slow target look fast.
    pub const MIN: f64 = 0.1;
    /// Largest factor. The slowest machines take a few times the usual time.
    pub const MAX: f64 = 100.0;

    /// What the machine states when no neighbour slows it down, after `usual` by its earlier
    /// statements. Neighbours only slow it down, so the lowest recent value is its speed.
    pub(crate) fn usual(self, usual: Option<f64>) -> f64 {
        let stated = self.factor();
        match usual {
            Some(usual) if stated > usual => usual + (stated - usual) * SLOWDOWN_RISE_WEIGHT,
            Some(_) | None => stated,
        }
    }

    /// The factor; 1.0 is usual.
    pub fn factor(self) -> f64 {
        f64::from(self.per_mille) / 1000.0
    }
}

impl Default for Slowdown {
    fn default() -> Slowdown {
        Slowdown { per_mille: 1000 }
    }
}

impl TryFrom<f64> for Slowdown {
    type Error = InvalidSlowdown;

    fn try_from(factor: f64) -> Result<Slowdown, InvalidSlowdown> {
        match (Slowdown::MIN..=Slowdown::MAX).contains(&factor) {
            true => Ok(Slowdown {
                per_mille: (factor * 1000.0).round() as u32,
            }),
            false => Err(InvalidSlowdown),
        }
    }
}

/// Latencies of all targets of a service.
#[derive(Debug, Default)]
pub(crate) struct ServiceLatency {
    /// Mean in seconds.
    pub(crate) mean: f64,
    /// Mean on a machine of usual speed without neighbours, in seconds.
    work: f64,
    responses: u32,
    /// Whether targets state the slowdown of their machines. One that states none counts as 1.
    states_slowdown: bool,
}

impl ServiceLatency {
    /// Records a latency in seconds, and returns what it shows of its target, whose machine usually
    /// has the slowdown `usual`.
    pub(crate) fn record(
        &mut self,
        took: f64,
        report: Option<LoadReport>,
        usual: Option<f64>,
    ) -> f64 {
        let stated = report.map_or(Slowdown::default(), |report| report.slowdown);
        self.states_slowdown |= stated != Slowdown::default();
        self.responses = self.responses.saturating_add(1);
        let weight = (1.0 / f64::from(self.responses)).max(SERVICE_LATENCY_WEIGHT);
        self.work += (took / stated.factor() - self.work) * weight;
        let took = match usual {
            Some(usual) if self.states_slowdown => self.work * usual,
            Some(_) | None => took,
        };
        self.mean += (took - self.mean) * weight;
        took
    }
}
