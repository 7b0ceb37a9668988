//! Claims: how a call that may not be repeated is dispatched at most once.
//!
//! Before such a call is dispatched, the entry host creates a key in the
//! platform's key-value service with its own nonce. Only a create that is
//! known to be its own allows the dispatch. This crate decides; the `clients`
//! crate carries the reads and writes.
//!
//! ```
//! use carawayseam_claims::{Claim, WriteOutcome, HostIncarnation, NextStep};
//! use carawayseam_types::{Digest, Incarnation, Nonce};
//!
//! let me = HostIncarnation { host: "entry-a1".parse()?, incarnation: Incarnation(1) };
//! let claim = Claim::new("claims/e/o/1".to_owned(), me, Nonce(42), Digest(7));
//! let progress = claim.on_write(WriteOutcome::Committed { revision: 3 });
//! assert!(matches!(progress, NextStep::Held(_)));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! A claim is worth what the store keeps: once it expires, a repeat of the
//! same request id would run again, so it must outlive the last repeat.

mod claim;
mod value;

pub use claim::{Claim, ExistingClaim, Held, NextStep, Pending, ReadOutcome, WriteOutcome};
pub use value::{ClaimState, ClaimValue, HostIncarnation, StoredClaim, claim_key};
