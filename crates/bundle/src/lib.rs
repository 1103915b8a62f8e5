//! Configuration bundles: YAML parsing, validation, canonical encoding, signatures and diffs.
//!
//! Start with [`parse_bundle`], which reads the YAML text of an operator, then [`SignedBundle`],
//! which contains the canonical bytes and the signatures. [`diff()`] lists the differences between
//! two bundles.

mod codec;
mod diff;
mod error;
mod key;
mod line;
mod raw;
mod serde_adapters;
mod signed;
mod validate;
mod yaml;

pub use codec::{
    decode,
    encode, //
};
pub use diff::{
    Difference,
    diff, //
};
pub use ed25519_dalek::SigningKey;
pub use error::BundleError;
pub use key::{
    generate_key,
    key_from_text,
    key_to_text,
    public_from_text,
    public_to_text, //
};
pub use signed::{
    Signature,
    SignedBundle, //
};
pub use yaml::{
    parse_bundle,
    to_yaml, //
};
