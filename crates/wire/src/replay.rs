//! Refusal of repeated datagrams.

use std::collections::HashMap;

/// Number of counters below the highest one that are still told apart.
const WINDOW: u64 = 64;

/// VM numbers that a guard remembers. Forgetting a VM would allow repeats of its datagrams, so
/// further VMs are refused instead.
const MAX_VMS: usize = 65_536;

/// A datagram that is refused because it could be a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplayError {
    /// The counter was seen before.
    #[error("datagram counter {0} was seen before")]
    Seen(u64),
    /// The counter is too far below the highest one to be told apart from a repeat.
    #[error("datagram counter {0} is below the replay window")]
    Old(u64),
    /// A newer incarnation of the VM has been heard.
    #[error("datagram is from incarnation {found} of a VM, after incarnation {newest}")]
    Incarnation {
        /// Newest incarnation heard.
        newest: u64,
        /// Incarnation of the datagram.
        found: u64,
    },
    /// More VMs than a guard remembers.
    #[error("more than {MAX_VMS} VMs have sent datagrams")]
    Vms,
}

impl ReplayError {
    /// Returns a short name for counters.
    pub fn reason(&self) -> &'static str {
        match self {
            ReplayError::Seen(_) => "seen",
            ReplayError::Old(_) => "old",
            ReplayError::Incarnation { .. } => "incarnation",
            ReplayError::Vms => "vms",
        }
    }
}

/// The counters of one incarnation of one VM. Bit `n` of the map stands for the counter
/// `highest - n`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    highest: u64,
    seen: u64,
}

impl ReplayWindow {
    /// Notes a counter.
    ///
    /// # Errors
    ///
    /// [`ReplayError::Seen`] or [`ReplayError::Old`] if the counter may have been noted before.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_wire::{ReplayError, ReplayWindow};
    ///
    /// let mut window = ReplayWindow::default();
    /// assert_eq!(window.accept(2), Ok(()));
    /// assert_eq!(window.accept(1), Ok(()));
    /// assert_eq!(window.accept(2), Err(ReplayError::Seen(2)));
    /// ```
    pub fn accept(&mut self, counter: u64) -> Result<(), ReplayError> {
        if self.seen == 0 || counter > self.highest {
            let shift = counter.saturating_sub(self.highest);
            self.seen = if shift < WINDOW {
                self.seen << shift
            } else {
                0
            } | 1;
            self.highest = counter;
            return Ok(());
        }
        let below = self.highest - counter;
        if below >= WINDOW {
            return Err(ReplayError::Old(counter));
        }
        if self.seen & (1 << below) != 0 {
            return Err(ReplayError::Seen(counter));
        }
        self.seen |= 1 << below;
        Ok(())
    }
}

/// The newest incarnation of each VM and its [`ReplayWindow`].
///
/// # Examples
///
/// ```
/// use camphordale_wire::{ReplayError, ReplayGuard};
///
/// let mut guard = ReplayGuard::default();
/// assert_eq!(guard.accept(7, 1, 5), Ok(()));
/// assert_eq!(guard.accept(7, 2, 1), Ok(()));
/// let refused = ReplayError::Incarnation { newest: 2, found: 1 };
/// assert_eq!(guard.accept(7, 1, 6), Err(refused));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    windows: HashMap<u32, (u64, ReplayWindow)>,
}

impl ReplayGuard {
    /// Notes an authenticated datagram. A newer incarnation of a VM replaces the older one.
    ///
    /// # Errors
    ///
    /// [`ReplayError`] if the datagram could be a repeat.
    pub fn accept(&mut self, vm: u32, incarnation: u64, counter: u64) -> Result<(), ReplayError> {
        if self.windows.len() >= MAX_VMS && !self.windows.contains_key(&vm) {
            return Err(ReplayError::Vms);
        }
        let (newest, window) = self.windows.entry(vm).or_default();
        if incarnation < *newest {
            return Err(ReplayError::Incarnation {
                newest: *newest,
                found: incarnation,
            });
        }
        if incarnation > *newest {
            *newest = incarnation;
            *window = ReplayWindow::default();
        }
        window.accept(counter)
    }
}
