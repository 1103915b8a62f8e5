//! Share of the VM's link that long responses may take.
//!
//! A target sends a response as fast as the network takes it. Several long responses at once fill
//! the queue of a narrow link, and everything else waits behind them. So only as many are asked for
//! at a time as pass the link within [`LONG_RESPONSE_WINDOW`].

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use camphordale_fleet::RouteName;

/// Length in bytes from which a response counts as long.
const LONG_RESPONSE_BYTES: f64 = 16_384.0;
/// Time in which the long responses that are asked for at once pass the link.
const LONG_RESPONSE_WINDOW: Duration = Duration::from_millis(600);
/// Weight of one response in the mean length of those of its route.
const LENGTH_WEIGHT: f64 = 0.1;

/// Lengths of responses by route, and the rate of the link.
#[derive(Debug, Default)]
pub struct LinkShare {
    /// Bytes per second, if it is known.
    rate: Option<f64>,
    lengths: BTreeMap<RouteName, f64>,
}

impl LinkShare {
    /// Starts without known lengths. `rate` is in bytes per second.
    pub fn new(rate: Option<f64>) -> LinkShare {
        LinkShare {
            rate,
            lengths: BTreeMap::new(),
        }
    }

    /// Records the length of a response in bytes.
    pub fn record(&mut self, route: &RouteName, length: usize) {
        let length = length as f64;
        match self.lengths.get_mut(route) {
            Some(mean) => *mean += (length - *mean) * LENGTH_WEIGHT,
            None => {
                self.lengths.insert(route.clone(), length);
            }
        }
    }

    /// Expected length in bytes of a response, if it is long and the rate of the link is known.
    pub fn expected(&self, route: &RouteName) -> Option<f64> {
        self.rate?;
        let mean = self.lengths.get(route).copied()?;
        (mean >= LONG_RESPONSE_BYTES).then_some(mean)
    }

    /// Decides whether a long response may be asked for while `pending` bytes of others are on
    /// their way. One may always be.
    ///
    /// # Errors
    ///
    /// The time until there is room for it.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_entry::LinkShare;
    ///
    /// let link = LinkShare::new(Some(100_000.0));
    /// assert_eq!(link.admit(50_000.0, 0.0), Ok(()));
    /// assert_eq!(link.admit(50_000.0, 50_000.0), Err(Duration::from_millis(400)));
    /// ```
    pub fn admit(&self, expected: f64, pending: f64) -> Result<(), Duration> {
        let Some(rate) = self.rate else {
            return Ok(());
        };
        let excess = pending + expected - rate * LONG_RESPONSE_WINDOW.as_secs_f64();
        match pending == 0.0 || excess <= 0.0 {
            true => Ok(()),
            false => Err(Duration::from_secs_f64(excess / rate)),
        }
    }
}
