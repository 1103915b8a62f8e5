//! Durable state of a VM: the Raft log of the control group and small files with checksums.
//!
//! [`Store`] persists the `Effect::Persist` writes of `camphordale-raft`. [`AtomicFile`] holds one
//! small value, such as the [`Identity`] of a member or the last bundle in force. Start with
//! [`Store::open`].
//!
//! A write is acknowledged only after it was synced. After a failed write or sync the content of
//! the page cache is undefined, so a store rejects all further writes until it is reopened.

mod atomic;
mod disk;
mod error;
mod identity;
mod record;
mod retried;
mod store;

pub use atomic::AtomicFile;
pub use disk::{Disk, DiskFile, OsDisk};
pub use error::StoreError;
pub use identity::Identity;
pub use retried::RetriedFile;
pub use store::Store;
