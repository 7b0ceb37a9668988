//! Identifiers: validated names, sequence numbers and digests.

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

/// Declares a newtype over a short text that [`is_name`] accepts.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $wanted:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                self.as_str()
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
            /// Returns the next number, saturating at the maximum.
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
    /// The name of an environment, which has its own engines, tiers and versions.
    EnvironmentId, "environment"
);
name_type!(
    /// The name of an organisation whose callers send requests.
    OrganisationId, "organisation"
);
name_type!(
    /// The name of a host that runs a carawayseam process.
    HostId, "host"
);
name_type!(
    /// The name of an availability zone.
    ZoneId, "availability zone"
);
name_type!(
    /// The name of a backend server: a model engine or a server of a plain service.
    EngineId, "engine"
);
name_type!(
    /// The name of a model or plain service that a route leads to.
    BackendName, "backend"
);
name_type!(
    /// The name of a version of a model or plain service.
    VersionId, "version"
);
name_type!(
    /// The name of a rollout, which shifts traffic from one version to another.
    RolloutId, "move"
);
name_type!(
    /// The name of a route, as it stands in a caller's request.
    RouteName, "route"
);
name_type!(
    /// The name that operators give a tier of callers.
    TierName, "tier"
);
name_type!(
    /// The id that a caller gives its request.
    RequestId, "request id"
);

number_type!(
    /// The sequence number of a request on one host, unique within the host's incarnation.
    RequestSeq, u64, "request number"
);
number_type!(
    /// The number of an attempt to serve a request on one engine.
    AttemptId, u64, "attempt number"
);
number_type!(
    /// The revision of a configuration; it increases with every change.
    Revision, u64, "revision"
);
number_type!(
    /// A fencing token; a holder whose token is lower than another has lost its lease.
    FencingToken, u64, "fencing token"
);
number_type!(
    /// A number that grows with each start of a host, so that messages from before a restart are dropped.
    Incarnation, u64, "incarnation"
);
number_type!(
    /// The number of times that the store was restored from a copy of its state.
    ///
    /// A restored store has lost its latest revisions and gives them out again.
    StoreEra, u64, "store era"
);
number_type!(
    /// A random number by which a writer recognises its own write.
    Nonce, u64, "nonce"
);

/// A 128-bit digest of a request body or document.
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
    /// Computes the digest of `bytes`.
    ///
    /// The hash (XXH3) is not cryptographic: it recognises equal content, but does
    /// not protect against forged content.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(xxhash_rust::xxh3::xxh3_128(bytes))
    }

    /// Returns the lowest 32 bits, for messages in which collisions are harmless.
    #[must_use]
    pub const fn low_bits(self) -> u32 {
        self.0 as u32
    }
}

/// A 32-bit digest of an engine's name, used in messages that list many engines.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[serde(transparent)]
#[display("{_0:08x}")]
pub struct EngineKey(pub u32);

impl From<&EngineId> for EngineKey {
    fn from(engine: &EngineId) -> Self {
        Self(Digest::of(engine.as_str().as_bytes()).low_bits())
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
