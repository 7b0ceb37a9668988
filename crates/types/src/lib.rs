//! Identifiers, quantities, request outcomes and clocks shared by all carawayseam crates.
//!
//! Values of different meaning have different types, so that the compiler
//! rejects an engine's name where a host's name is expected. Types that appear
//! in settings are parsed by [`std::str::FromStr`] and printed by
//! [`std::fmt::Display`].
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
//! The crate does no I/O except in [`Clock::system`] and [`Clock::boot`],
//! which read the operating system's clocks.

mod clock;
mod difference;
mod error;
mod finding;
mod ids;
mod outcome;
mod quantity;
mod store_revision;

pub use clock::{Clock, Millis};
pub use difference::{Difference, Entry, Field, FieldChange, Section, SectionDifference, Sections};
pub use error::ParseError;
pub use finding::{Finding, Place, Severity};
pub use ids::{
    AttemptId, BackendName, Digest, EngineId, EngineKey, EnvironmentId, FencingToken, HostId, Incarnation,
    Nonce, OrganisationId, RequestId, RequestSeq, Revision, RolloutId, RouteName, StoreEra, TierName,
    VersionId, ZoneId,
};
pub use outcome::{NotRunReason, Outcome, Refusal, UnknownReason};
pub use quantity::{Bytes, Permille, RejectionLimit, RequestRate, Tier, Tokens, TokensPerSecond};
pub use store_revision::StoreRevision;
