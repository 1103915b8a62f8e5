//! Locks that stay usable after a panic of another thread.

use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};

/// Locks `mutex`. The data under the daemon's locks is valid between any two statements, so a
/// panic while it was held does not make it unusable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
