//! Locking that ignores poisoning.

use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};

/// Locks `mutex`, also if a thread panicked while it had the lock. The data under the daemon's
/// locks is valid between any two statements, so a panic cannot leave it inconsistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
