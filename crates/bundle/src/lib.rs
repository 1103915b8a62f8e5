//! Bundles: written in YAML, checked, turned into canonical bytes, signed and verified.
//!
//! Start with [`SignedBundle`].

mod signed;

pub use signed::{Signature, SignedBundle};
