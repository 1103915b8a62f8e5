//! Replay protection for datagrams.

use std::collections::HashMap;

/// Number of counters, up to the highest one, whose arrival is tracked.
const WINDOW_SIZE: u64 = 64;

/// Maximum number of VMs that a guard tracks. Evicting a VM would allow replays of its datagrams,
/// so datagrams from further VMs are rejected instead.
const MAX_VMS: usize = 65_536;

/// Why a datagram was rejected as a possible replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplayError {
    /// The counter was already received.
    #[error("datagram counter {0} was already received")]
    Duplicate(u64),
    /// The counter is below the replay window, so a replay could not be detected.
    #[error("datagram counter {0} is below the replay window")]
    TooOld(u64),
    /// A datagram from a newer incarnation of the VM was already received.
    #[error(
        "datagram is from incarnation {found} of a VM, but incarnation {newest} was already seen"
    )]
    OldIncarnation {
        /// Newest incarnation seen.
        newest: u64,
        /// Incarnation of the datagram.
        found: u64,
    },
    /// The guard already tracks the maximum number of VMs.
    #[error("more than {MAX_VMS} VMs have sent datagrams")]
    TooManyVms,
}

impl ReplayError {
    /// Returns the label of the error in metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            ReplayError::Duplicate(_) => "seen",
            ReplayError::TooOld(_) => "old",
            ReplayError::OldIncarnation { .. } => "incarnation",
            ReplayError::TooManyVms => "vms",
        }
    }
}

/// The counters received from one incarnation of a VM. Bit `n` of the bitmap stands for the
/// counter `highest - n`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    highest: u64,
    bitmap: u64,
}

impl ReplayWindow {
    /// Records a counter.
    ///
    /// # Errors
    ///
    /// [`ReplayError::Duplicate`] or [`ReplayError::TooOld`] if the counter may have been
    /// recorded before.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_wire::{ReplayError, ReplayWindow};
    ///
    /// let mut window = ReplayWindow::default();
    /// assert_eq!(window.accept(2), Ok(()));
    /// assert_eq!(window.accept(1), Ok(()));
    /// assert_eq!(window.accept(2), Err(ReplayError::Duplicate(2)));
    /// ```
    pub fn accept(&mut self, counter: u64) -> Result<(), ReplayError> {
        if self.bitmap == 0 || counter > self.highest {
            let shift = counter.saturating_sub(self.highest);
            self.bitmap = if shift < WINDOW_SIZE {
                self.bitmap << shift
            } else {
                0
            } | 1;
            self.highest = counter;
            return Ok(());
        }
        let offset = self.highest - counter;
        if offset >= WINDOW_SIZE {
            return Err(ReplayError::TooOld(counter));
        }
        if self.bitmap & (1 << offset) != 0 {
            return Err(ReplayError::Duplicate(counter));
        }
        self.bitmap |= 1 << offset;
        Ok(())
    }
}

/// Replay protection for the datagrams of all VMs: the newest incarnation of each VM and its
/// [`ReplayWindow`].
///
/// # Examples
///
/// ```
/// use camphordale_wire::{ReplayError, ReplayGuard};
///
/// let mut guard = ReplayGuard::default();
/// assert_eq!(guard.accept(7, 1, 5), Ok(()));
/// assert_eq!(guard.accept(7, 2, 1), Ok(()));
/// let expected = ReplayError::OldIncarnation { newest: 2, found: 1 };
/// assert_eq!(guard.accept(7, 1, 6), Err(expected));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    windows: HashMap<u32, (u64, ReplayWindow)>,
}

impl ReplayGuard {
    /// Records an authenticated datagram. A newer incarnation of a VM replaces the older one.
    ///
    /// # Errors
    ///
    /// [`ReplayError`] if the datagram may be a replay.
    pub fn accept(&mut self, vm: u32, incarnation: u64, counter: u64) -> Result<(), ReplayError> {
        if self.windows.len() >= MAX_VMS && !self.windows.contains_key(&vm) {
            return Err(ReplayError::TooManyVms);
        }
        let (newest, window) = self.windows.entry(vm).or_default();
        if incarnation < *newest {
            return Err(ReplayError::OldIncarnation {
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
