//! Claims, which ensure that a call that is not idempotent is dispatched at most once.
//!
//! Before it dispatches such a call, the entry host creates a key in the
//! platform's key-value service; the value contains a nonce of this host. It
//! dispatches the call only if it has confirmed that the stored value is its
//! own. This crate makes the decisions; the `clients` crate performs the reads
//! and writes.
//!
//! ```
//! use carawayseam_claims::{Claim, HostIncarnation, NextStep, WriteOutcome};
//! use carawayseam_types::{Digest, Incarnation, Nonce};
//!
//! let owner = HostIncarnation { host: "entry-a1".parse()?, incarnation: Incarnation(1) };
//! let claim = Claim::new("claims/e/o/1".to_owned(), owner, Nonce(42), Digest(7));
//! let next_step = claim.on_write(WriteOutcome::Committed { revision: 3 });
//! assert!(matches!(next_step, NextStep::Held(_)));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! A claim protects a request only while the store retains it: after it expires,
//! a retry with the same request id would run the call again. Its TTL must
//! therefore extend beyond the last retry.

mod claim;
mod value;

pub use claim::{Claim, ExistingClaim, Held, NextStep, Pending, ReadOutcome, WriteOutcome};
pub use value::{ClaimState, ClaimValue, HostIncarnation, StoredClaim, claim_key};
