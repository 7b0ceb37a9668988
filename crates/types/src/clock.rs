//! Time in whole milliseconds, and the clocks that read it.

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
/// The time of the boot on [`Clock::boot`], so that earlier times can be represented.
const TIME_BEFORE_BOOT: Millis = Millis(24 * MILLIS_PER_HOUR);

/// A time span, or a point in time since the Unix epoch, in milliseconds.
///
/// Sums and differences saturate, so a clock that steps back never panics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// A span of length zero, or the Unix epoch.
    pub const ZERO: Self = Self(0);
    /// The largest value; it stands for a point in time that is never reached.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a span from whole seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(MILLIS_PER_SECOND))
    }

    /// Returns the span in seconds.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MILLIS_PER_SECOND as f64
    }

    /// Returns the span as a [`Duration`].
    #[must_use]
    pub const fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns the span since `earlier`, or zero if `earlier` is later than `self`.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Multiplies the span by `factor`, saturating at [`Millis::MAX`].
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
            .and_then(|factor| parse_millis(digits, factor))
            .map(Self)
            .ok_or_else(|| ParseError::new(text, "time span", "a number with a unit ms, s, m or h"))
    }
}

/// Multiplies a decimal number by a unit's milliseconds and rounds to whole milliseconds.
///
/// Returns none if `digits` is not a number or the product overflows.
fn parse_millis(digits: &str, factor: u64) -> Option<u64> {
    match digits.parse::<u64>() {
        Ok(whole) => whole.checked_mul(factor),
        Err(_) if digits.starts_with(|c: char| c.is_ascii_digit()) && digits.contains('.') => {
            let millis = digits.parse::<f64>().ok()? * factor as f64;
            (millis < u64::MAX as f64).then_some(millis.round() as u64)
        }
        Err(_) => None,
    }
}

/// Source of the current time; tests and simulations replace the operating system's clock by it.
#[derive(Debug, Clone)]
pub struct Clock(Source);

#[derive(Debug, Clone)]
enum Source {
    System,
    Boot,
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// Creates a clock that reads the operating system's wall-clock time.
    #[must_use]
    pub const fn system() -> Self {
        Self(Source::System)
    }

    /// Creates a clock that reads the time since a day before the host booted.
    ///
    /// Peers report how long ago something happened, which may be before this host booted. The clock
    /// includes the time in which the host was suspended, and is not affected by changes of the wall-clock
    /// time.
    #[must_use]
    pub const fn boot() -> Self {
        Self(Source::Boot)
    }

    /// Creates a clock that changes only by [`Clock::set`]; clones share its time.
    #[must_use]
    pub fn manual(start: Millis) -> Self {
        Self(Source::Manual(Arc::new(AtomicU64::new(start.0))))
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Millis {
        match &self.0 {
            Source::System => {
                let since_epoch = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or(Duration::ZERO);
                Millis(since_epoch.as_millis() as u64)
            }
            Source::Boot => boot_time(),
            Source::Manual(now) => Millis(now.load(Ordering::SeqCst)),
        }
    }

    /// Sets the time of a manual clock; has no effect on other clocks.
    pub fn set(&self, now: Millis) {
        if let Source::Manual(time) = &self.0 {
            time.store(now.0, Ordering::SeqCst);
        }
    }
}

fn boot_time() -> Millis {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let millis = u64::try_from(time.tv_nsec).unwrap_or_default() / NANOS_PER_MILLI;
    TIME_BEFORE_BOOT + Millis::from_secs(secs) + Millis(millis)
}
