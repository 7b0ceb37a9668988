//! Token counts, rates, sizes, shares and tier ranks.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{Millis, ParseError};

/// A number of tokens.
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
    derive_more::Add,
    derive_more::AddAssign,
    derive_more::Sum,
)]
#[serde(transparent)]
pub struct Tokens(pub u32);

impl FromStr for Tokens {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text.parse() {
            Ok(count) => Ok(Self(count)),
            Err(_) => Err(ParseError::new(text, "token count", "a whole number")),
        }
    }
}

/// A rate in tokens per second.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize, derive_more::Display,
)]
#[serde(transparent)]
#[display("{_0:.1}/s")]
pub struct TokensPerSecond(pub f64);

impl TokensPerSecond {
    /// Returns the time that `tokens` take at this rate, or [`Millis::MAX`] if the rate is zero.
    #[must_use]
    pub fn time_for(self, tokens: Tokens) -> Millis {
        if self.0 <= 0.0 {
            return Millis::MAX;
        }
        Millis((f64::from(tokens.0) * 1_000.0 / self.0).ceil() as u64)
    }
}

impl FromStr for TokensPerSecond {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let digits = text.strip_suffix("/s").unwrap_or(text);
        match digits.parse::<f64>() {
            Ok(rate) if rate.is_finite() && rate >= 0.0 => Ok(Self(rate)),
            _ => Err(ParseError::new(
                text,
                "token rate",
                "a number a second, such as `40/s`",
            )),
        }
    }
}

/// A rate in requests per second, with a resolution of one request per 1,000 seconds.
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
#[serde(transparent)]
#[display("{}/s", self.per_second())]
pub struct RequestRate {
    /// The number of requests in 1,000 seconds.
    pub per_1000_s: u32,
}

impl RequestRate {
    /// Returns the rate in requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.per_1000_s) / 1_000.0
    }
}

impl FromStr for RequestRate {
    type Err = ParseError;

    /// Parses a decimal number without sign or exponent; a number that is too large becomes the largest rate.
    fn from_str(text: &str) -> Result<Self, ParseError> {
        let digits = text.strip_suffix("/s").unwrap_or(text);
        let is_decimal = digits.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        match digits.parse::<f64>() {
            Ok(per_second) if is_decimal => Ok(Self {
                per_1000_s: (per_second * 1_000.0).round() as u32,
            }),
            _ => Err(ParseError::new(
                text,
                "request rate",
                "a decimal number a second, such as `2.4/s`",
            )),
        }
    }
}

/// The number of requests that a server may turn away in a second.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[serde(transparent)]
#[display("{per_second}/s")]
pub struct RejectionLimit {
    /// The number of requests in a second.
    pub per_second: u32,
}

impl FromStr for RejectionLimit {
    type Err = ParseError;

    /// Parses a number as [`RequestRate`] does, and drops its fraction.
    fn from_str(text: &str) -> Result<Self, ParseError> {
        let rate: RequestRate = text.parse()?;
        Ok(Self {
            per_second: rate.per_1000_s / 1_000,
        })
    }
}

/// A size in bytes.
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
    derive_more::Add,
    derive_more::AddAssign,
    derive_more::Sum,
)]
#[serde(transparent)]
#[display("{_0}B")]
pub struct Bytes(pub u64);

const BYTES_PER_KIB: u64 = 1_024;
const BYTES_PER_MIB: u64 = 1_024 * BYTES_PER_KIB;

impl FromStr for Bytes {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let unit_at = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
        let (digits, unit) = text.split_at(unit_at);
        let factor = match unit {
            "B" => Some(1),
            "KiB" => Some(BYTES_PER_KIB),
            "MiB" => Some(BYTES_PER_MIB),
            _ => None,
        };
        factor
            .zip(digits.parse::<u64>().ok())
            .and_then(|(factor, count)| count.checked_mul(factor))
            .map(Self)
            .ok_or_else(|| ParseError::new(text, "size", "a whole number with a unit B, KiB or MiB"))
    }
}

/// A share in thousandths, at most 1000.
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
#[serde(transparent)]
#[display("{_0}‰")]
pub struct Permille(u16);

impl Permille {
    /// A share of 0.
    pub const NONE: Self = Self(0);
    /// A share of 1000 thousandths, the maximum.
    pub const WHOLE: Self = Self(1_000);

    /// Creates a share; values above 1000 are capped at 1000.
    #[must_use]
    pub const fn new(thousandths: u16) -> Self {
        if thousandths > 1_000 {
            Self::WHOLE
        } else {
            Self(thousandths)
        }
    }

    /// Returns the number of thousandths.
    #[must_use]
    pub const fn get(self) -> u16 {
        self.0
    }

    /// Returns the share as a fraction from 0 to 1.
    #[must_use]
    pub fn as_fraction(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

impl FromStr for Permille {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let digits = text.strip_suffix('‰').unwrap_or(text);
        match digits.parse::<u16>() {
            Ok(share) if share <= 1_000 => Ok(Self(share)),
            _ => Err(ParseError::new(text, "share", "0 to 1000 thousandths")),
        }
    }
}

/// The rank of a tier; rank 0 is the highest and is shed last.
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
#[serde(transparent)]
#[display("tier {_0}")]
pub struct Tier(pub u8);

impl Tier {
    /// The highest tier, which is shed last.
    pub const HIGHEST: Self = Self(0);

    /// Returns whether this tier ranks above `other` and is therefore shed after it.
    #[must_use]
    pub const fn outranks(self, other: Self) -> bool {
        self.0 < other.0
    }
}

impl FromStr for Tier {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text.parse() {
            Ok(rank) => Ok(Self(rank)),
            Err(_) => Err(ParseError::new(text, "tier rank", "a whole number from 0 to 255")),
        }
    }
}
