//! Times at which log indexes were reached, to tell the age of records and homes.

use std::time::Duration;

/// Least time between two marks.
const STEP: Duration = Duration::from_millis(250);

/// Number of marks that are kept; beyond it every second one is removed.
const MARKS: usize = 1024;

#[derive(Debug, Default)]
pub(super) struct Marks {
    /// Time and index, in order.
    marks: Vec<(Duration, u64)>,
}

impl Marks {
    pub(super) fn add(&mut self, now: Duration, index: u64) {
        if self.marks.last().is_some_and(|&(at, _)| now < at + STEP) {
            return;
        }
        self.marks.push((now, index));
        if self.marks.len() > MARKS {
            let mut odd = false;
            self.marks.retain(|_| {
                odd = !odd;
                odd
            });
        }
    }

    /// Returns an index that was reached at least `age` ago.
    pub(super) fn reached(&self, age: Duration, now: Duration) -> Option<u64> {
        let old = |&(at, _): &(Duration, u64)| at + age <= now;
        let count = self.marks.partition_point(old);
        self.marks.get(count.checked_sub(1)?).map(|&(_, i)| i)
    }
}
