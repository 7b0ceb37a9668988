//! Revisions of the platform's store, which may be restored from a copy.

use serde::{Deserialize, Serialize};

use crate::StoreEra;

/// A revision of the store, in the order in which the store's states were in force: by era, then by number.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[display("{era}.{number}")]
pub struct StoreRevision {
    /// The era in which the store gave out the number.
    pub era: StoreEra,
    /// The store's own number, which is unique within the era.
    pub number: u64,
}

impl StoreRevision {
    /// Returns a revision of an era.
    #[must_use]
    pub const fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }
}
