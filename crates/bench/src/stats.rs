//! Statistics: minimum, median and maximum, quantiles, and linear least squares.

use std::fmt;

/// Minimum, median and maximum of a value over several runs.
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
    /// Minimum.
    pub min: f64,
    /// Median; of an even number of values, the mean of the two in the middle.
    pub median: f64,
    /// Maximum.
    pub max: f64,
}

impl Spread {
    /// Returns the spread of `values`. All fields are NaN if there are no values.
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

/// Returns the given quantile (0.0 to 1.0) of `values`, which must be sorted in ascending order.
/// Returns NaN if there are no values.
pub(crate) fn quantile(values: &[f64], quantile: f64) -> f64 {
    let at = (values.len() as f64 * quantile) as usize;
    values
        .get(at.min(values.len().saturating_sub(1)))
        .copied()
        .unwrap_or(f64::NAN)
}

/// Fits a linear function to samples by ordinary least squares. Returns its coefficients: the
/// constant first, then one for each column of the samples. Returns `None` if the samples do not
/// determine them.
///
/// # Examples
///
/// ```
/// use camphordale_bench::least_squares;
///
/// let samples = [([0.0], 1.0), ([1.0], 3.0), ([2.0], 5.0)];
/// let line = least_squares(&samples).unwrap_or_default();
/// assert!((line[0] - 1.0).abs() < 1e-9 && (line[1] - 2.0).abs() < 1e-9);
/// ```
pub fn least_squares<const COLUMNS: usize>(samples: &[([f64; COLUMNS], f64)]) -> Option<Vec<f64>> {
    let size = COLUMNS + 1;
    // Columns of very different magnitudes would make the Gaussian elimination inexact.
    let scale: Vec<f64> = (0..COLUMNS)
        .map(|at| samples.iter().map(|s| s.0[at].abs()).fold(1.0, f64::max))
        .collect();
    let mut rows = vec![vec![0.0; size + 1]; size];
    for (sample, value) in samples {
        let scaled = sample.iter().zip(&scale).map(|(x, scale)| x / scale);
        let line: Vec<f64> = std::iter::once(1.0).chain(scaled).collect();
        for (row, &x) in rows.iter_mut().zip(&line) {
            for (cell, &y) in row.iter_mut().zip(line.iter().chain([value])) {
                *cell += x * y;
            }
        }
    }
    for at in 0..size {
        let best = (at..size).max_by(|&a, &b| rows[a][at].abs().total_cmp(&rows[b][at].abs()))?;
        rows.swap(at, best);
        if rows[at][at].abs() < 1e-9 {
            return None;
        }
        let pivot = rows[at].clone();
        for (other, row) in rows.iter_mut().enumerate() {
            if other != at {
                let factor = row[at] / pivot[at];
                for (cell, value) in row.iter_mut().zip(&pivot) {
                    *cell -= factor * value;
                }
            }
        }
    }
    let solved = rows.iter().enumerate().map(|(at, row)| row[size] / row[at]);
    let scales = std::iter::once(&1.0).chain(&scale);
    Some(
        solved
            .zip(scales)
            .map(|(value, scale)| value / scale)
            .collect(),
    )
}
