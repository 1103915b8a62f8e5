//! Durable state of a VM: the log of the control group and small checked files.
//!
//! [`Store`] keeps what `camphordale-raft` hands out in `Effect::Persist`. [`AtomicFile`] keeps
//! one small value, such as the [`Identity`] of a member or the last bundle acted on. Start with
//! [`Store::open`].
//!
//! Everything is acknowledged only after it was synced. After a failed write or sync the content
//! of the page cache is unknown, so a store that failed refuses all further work until it is
//! opened again.

mod atomic;
mod disk;
mod error;
mod identity;
mod record;
mod store;

pub use atomic::AtomicFile;
pub use disk::{Disk, DiskFile, OsDisk};
pub use error::StoreError;
pub use identity::Identity;
pub use store::Store;
