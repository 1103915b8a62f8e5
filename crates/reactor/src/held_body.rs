//! Bodies of requests that are kept until no further attempt may need them.

use std::{
    ops::Deref,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
};

/// Number of bytes that the complete bodies of a process take.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldBytes(Arc<AtomicUsize>);

impl HeldBytes {
    pub(crate) fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts a body for as long as it is kept.
    pub(crate) fn hold(&self, bytes: Vec<u8>) -> HeldBody {
        self.0.fetch_add(bytes.len(), Ordering::Relaxed);
        HeldBody {
            bytes,
            counter: self.clone(),
        }
    }
}

/// The complete body of a request. All connections that send it share one copy.
#[derive(Debug)]
pub struct HeldBody {
    bytes: Vec<u8>,
    counter: HeldBytes,
}

impl Deref for HeldBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let counter = &self.counter.0;
        counter.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}
