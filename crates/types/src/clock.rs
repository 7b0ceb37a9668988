//! Time in whole milliseconds, and the clock that gives it.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::ParseError;

const NANOS_PER_MILLI: u64 = 1_000_000;
const MILLIS_PER_SECOND: u64 = 1_000;
const MILLIS_PER_MINUTE: u64 = 60 * MILLIS_PER_SECOND;
const MILLIS_PER_HOUR: u64 = 60 * MILLIS_PER_MINUTE;

/// A time span, or a point in time since the Unix epoch, in milliseconds.
///
/// Sums and differences saturate, so a clock that steps back never panics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// No time at all.
    pub const ZERO: Self = Self(0);
    /// A point in time that is never reached.
    pub const MAX: Self = Self(u64::MAX);

    /// Converts whole seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(MILLIS_PER_SECOND))
    }

    /// The span in seconds.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MILLIS_PER_SECOND as f64
    }

    /// The span as the standard library's duration.
    #[must_use]
    pub const fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// The span since `earlier`, zero if `earlier` lies ahead.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Multiplies the span by a whole number.
    #[must_use]
    pub const fn times(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        self.since(rhs)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            ms if ms > 0 && ms.is_multiple_of(MILLIS_PER_HOUR) => write!(f, "{}h", ms / MILLIS_PER_HOUR),
            ms if ms > 0 && ms.is_multiple_of(MILLIS_PER_MINUTE) => write!(f, "{}m", ms / MILLIS_PER_MINUTE),
            ms if ms > 0 && ms.is_multiple_of(MILLIS_PER_SECOND) => write!(f, "{}s", ms / MILLIS_PER_SECOND),
            ms => write!(f, "{ms}ms"),
        }
    }
}

impl FromStr for Millis {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let unit_at = text
            .find(|c: char| !c.is_ascii_digit() && c != '.')
            .unwrap_or(text.len());
        let (digits, unit) = text.split_at(unit_at);
        let factor = match unit {
            "ms" => Some(1),
            "s" => Some(MILLIS_PER_SECOND),
            "m" => Some(MILLIS_PER_MINUTE),
            "h" => Some(MILLIS_PER_HOUR),
            _ => None,
        };
        factor
            .and_then(|factor| count_millis(digits, factor))
            .map(Self)
            .ok_or_else(|| ParseError::new(text, "time span", "a number with a unit ms, s, m or h"))
    }
}

/// Multiplies a number by a unit's milliseconds; a fraction is rounded.
fn count_millis(digits: &str, factor: u64) -> Option<u64> {
    match digits.parse::<u64>() {
        Ok(whole) => whole.checked_mul(factor),
        Err(_) if digits.starts_with(|c: char| c.is_ascii_digit()) && digits.contains('.') => {
            let millis = digits.parse::<f64>().ok()? * factor as f64;
            (millis < u64::MAX as f64).then_some(millis.round() as u64)
        }
        Err(_) => None,
    }
}

/// Gives the time to code that must not read the system's clock itself.
#[derive(Debug, Clone)]
pub struct Clock(Source);

#[derive(Debug, Clone)]
enum Source {
    System,
    Boot,
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// A clock that reads the operating system's time.
    #[must_use]
    pub const fn system() -> Self {
        Self(Source::System)
    }

    /// A clock that reads the time since the host's boot.
    ///
    /// It counts the time in which the host was suspended, and never jumps.
    #[must_use]
    pub const fn boot() -> Self {
        Self(Source::Boot)
    }

    /// A clock that stands still until it is set; clones share its time.
    #[must_use]
    pub fn manual(start: Millis) -> Self {
        Self(Source::Manual(Arc::new(AtomicU64::new(start.0))))
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Millis {
        match &self.0 {
            Source::System => {
                let since_epoch = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or(Duration::ZERO);
                Millis(since_epoch.as_millis() as u64)
            }
            Source::Boot => since_boot(),
            Source::Manual(now) => Millis(now.load(Ordering::SeqCst)),
        }
    }

    /// Sets a manual clock; other clocks ignore it.
    pub fn set(&self, now: Millis) {
        if let Source::Manual(time) = &self.0 {
            time.store(now.0, Ordering::SeqCst);
        }
    }
}

fn since_boot() -> Millis {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let millis = u64::try_from(time.tv_nsec).unwrap_or_default() / NANOS_PER_MILLI;
    Millis::from_secs(secs) + Millis(millis)
}
