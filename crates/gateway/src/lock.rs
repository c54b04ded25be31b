//! Locks that a panic of their holder does not make unusable: each holder leaves a
//! valid value.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
