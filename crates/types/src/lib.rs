//! Ids, sizes, rates, tiers, outcomes and the clock that every carawayseam crate shares.
//!
//! Values that mean different things have different types, so an engine is
//! never passed where a host is expected. Each type reads and prints itself
//! through [`std::str::FromStr`] and [`std::fmt::Display`].
//!
//! ```
//! use carawayseam_types::{EngineId, Millis};
//!
//! let deadline: Millis = "2s".parse()?;
//! assert_eq!(deadline, Millis::from_secs(2));
//! let engine: EngineId = "model-a1".parse()?;
//! assert_eq!(engine.to_string(), "model-a1");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! The crate does no I/O of its own, but for [`Clock::system`] and
//! [`Clock::boot`], which read the operating system's clocks.

mod clock;
mod error;
mod ids;
mod outcome;
mod quantity;

pub use clock::{Clock, Millis};
pub use error::ParseError;
pub use ids::{
    AttemptId, BackendName, Digest, EngineId, EngineKey, EnvironmentId, FencingToken, HostId, Incarnation,
    Nonce, OrganisationId, RequestId, RequestSeq, Revision, RolloutId, RouteName, TierName, VersionId,
    ZoneId,
};
pub use outcome::{NotRunReason, Outcome, Refusal, UnknownReason};
pub use quantity::{Bytes, Permille, Tier, Tokens, TokensPerSecond};
