//! Names and numbers that identify one thing each.

use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ParseError;

const MAX_NAME_BYTES: usize = 64;
const NAME_FORM: &str = "1 to 64 letters, digits, `-`, `_` or `.`";

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(allowed)
}

/// Declares a newtype over a short text that follows the rule of [`is_name`].
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $wanted:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                if is_name(text) {
                    Ok(Self(CompactString::from(text)))
                } else {
                    Err(ParseError::new(text, $wanted, NAME_FORM))
                }
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = ParseError;

            fn try_from(text: CompactString) -> Result<Self, ParseError> {
                text.parse()
            }
        }

        impl From<$name> for CompactString {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

/// Declares a newtype over a number.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $repr:ty, $wanted:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            derive_more::Display, derive_more::From, derive_more::Into,
        )]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl $name {
            /// The number that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                match text.parse() {
                    Ok(number) => Ok(Self(number)),
                    Err(_) => Err(ParseError::new(text, $wanted, "a whole number")),
                }
            }
        }
    };
}

name_type!(
    /// An environment of engines, tiers and versions.
    EnvironmentId, "environment"
);
name_type!(
    /// An organisation whose callers send requests.
    OrganisationId, "organisation"
);
name_type!(
    /// A host that runs a process of the system.
    HostId, "host"
);
name_type!(
    /// An availability zone.
    ZoneId, "availability zone"
);
name_type!(
    /// One backend server: a model engine or a plain service's server.
    EngineId, "engine"
);
name_type!(
    /// A model or plain service that a route leads to.
    BackendName, "backend"
);
name_type!(
    /// A version of a model or plain service.
    VersionId, "version"
);
name_type!(
    /// A move of traffic from one version to another.
    RolloutId, "move"
);
name_type!(
    /// A route that callers name.
    RouteName, "route"
);
name_type!(
    /// A tier of callers, as operators name it.
    TierName, "tier"
);
name_type!(
    /// A caller's own id for a request.
    RequestId, "request id"
);

number_type!(
    /// A request's number inside one host; unique for the host's incarnation.
    RequestSeq, u64, "request number"
);
number_type!(
    /// An attempt to serve a request on one engine.
    AttemptId, u64, "attempt number"
);
number_type!(
    /// The revision of a configuration; it only grows.
    Revision, u64, "revision"
);
number_type!(
    /// A fencing token; a holder with a lower one has lost its lease.
    FencingToken, u64, "fencing token"
);
number_type!(
    /// Counts a host's starts, so that news of an earlier life is dropped.
    Incarnation, u64, "incarnation"
);
number_type!(
    /// A number drawn at random, by which a writer knows its own write again.
    Nonce, u64, "nonce"
);

/// A 128-bit digest of a body or document.
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
#[serde(into = "CompactString", try_from = "CompactString")]
#[display("{_0:032x}")]
pub struct Digest(pub u128);

impl Digest {
    /// Digests `bytes`; it recognises equal content and is no defence against forgery.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(xxhash_rust::xxh3::xxh3_128(bytes))
    }
}

/// A short digest of an engine's name, for messages that name many engines.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[serde(transparent)]
#[display("{_0:08x}")]
pub struct EngineKey(pub u32);

impl From<&EngineId> for EngineKey {
    fn from(engine: &EngineId) -> Self {
        Self(Digest::of(engine.as_str().as_bytes()).0 as u32)
    }
}

impl FromStr for Digest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match u128::from_str_radix(text, 16) {
            Ok(bits) => Ok(Self(bits)),
            Err(_) => Err(ParseError::new(text, "digest", "up to 32 hexadecimal digits")),
        }
    }
}

impl TryFrom<CompactString> for Digest {
    type Error = ParseError;

    fn try_from(text: CompactString) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Digest> for CompactString {
    fn from(digest: Digest) -> Self {
        compact_str::format_compact!("{digest}")
    }
}
