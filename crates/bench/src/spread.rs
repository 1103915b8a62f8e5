//! Least, middle and greatest of several runs.

use std::fmt;

/// The spread of one value over several runs.
///
/// # Examples
///
/// ```
/// use camphordale_bench::Spread;
///
/// let spread = Spread::of([3.0, 1.0, 2.0]);
/// assert_eq!((spread.min, spread.median, spread.max), (1.0, 2.0, 3.0));
/// assert_eq!(format!("{spread:.1}"), "1.0 / 2.0 / 3.0");
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Least.
    pub min: f64,
    /// Middle; the mean of the two middle ones of an even number.
    pub median: f64,
    /// Greatest.
    pub max: f64,
}

impl Spread {
    /// Returns the spread of `values`; of no values, all parts are not a number.
    pub fn of<V>(values: V) -> Spread
    where
        V: IntoIterator<Item = f64>,
    {
        let mut values: Vec<f64> = values.into_iter().collect();
        values.sort_by(f64::total_cmp);
        let count = values.len();
        if count == 0 {
            let none = f64::NAN;
            return Spread {
                min: none,
                median: none,
                max: none,
            };
        }
        Spread {
            min: values[0],
            median: (values[(count - 1) / 2] + values[count / 2]) / 2.0,
            max: values[count - 1],
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let places = f.precision().unwrap_or(2);
        let (min, median, max) = (self.min, self.median, self.max);
        write!(f, "{min:.places$} / {median:.places$} / {max:.places$}")
    }
}

/// Returns the value below which the part `quantile` of the sorted `values` lies.
pub(crate) fn quantile(values: &[f64], quantile: f64) -> f64 {
    let at = (values.len() as f64 * quantile) as usize;
    values
        .get(at.min(values.len().saturating_sub(1)))
        .copied()
        .unwrap_or(f64::NAN)
}

/// Returns the slope of the line through `points` with the least sum of squares.
///
/// # Examples
///
/// ```
/// use camphordale_bench::slope;
///
/// assert_eq!(slope(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]), 2.0);
/// ```
pub fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let over: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let under: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    over / under
}
