//! Metrics by which the new version is compared with the old one.

use crate::latency::{tail_count, total_count};
use crate::sequential::Trials;
use crate::{Fault, VersionCounts};

/// A quantity that is tested on each route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Metric {
    Failures,
    Unfinished,
    /// Times to the first token beyond the baseline's tail bucket.
    First,
    /// Times to the first token beyond the baseline's median.
    TypicalFirst,
    Gaps,
    Overdue,
}

impl Metric {
    /// All metrics.
    pub(crate) const ALL: [Self; 6] = [
        Self::Failures,
        Self::Unfinished,
        Self::First,
        Self::TypicalFirst,
        Self::Gaps,
        Self::Overdue,
    ];

    /// Returns the fault that is reported for a version that is worse in this metric.
    pub(crate) const fn fault(self) -> Fault {
        match self {
            Self::Failures => Fault::Failures,
            Self::Unfinished => Fault::Unfinished,
            Self::First | Self::TypicalFirst | Self::Gaps | Self::Overdue => Fault::Slow,
        }
    }

    /// Returns the fewest hits that count as conclusive evidence.
    ///
    /// A request that crashes its engine is sent again before it is
    /// recognised, so two failures are never enough evidence.
    pub(crate) const fn min_hits(self) -> u64 {
        match self {
            Self::Failures | Self::Unfinished => 3,
            Self::Overdue => 4,
            Self::First | Self::TypicalFirst | Self::Gaps => 5,
        }
    }

    /// Returns the share of the old version's times that lies beyond the baseline bucket.
    pub(crate) const fn tail_share(self) -> f64 {
        match self {
            Self::TypicalFirst => 0.5,
            _ => 0.08,
        }
    }

    /// Returns whether the metric compares times.
    pub(crate) const fn has_times(self) -> bool {
        matches!(self, Self::First | Self::TypicalFirst | Self::Gaps)
    }

    /// Returns the histogram of the compared times; empty for a metric without times.
    pub(crate) fn times(self, counts: &VersionCounts) -> &[u32] {
        match self {
            Self::First | Self::TypicalFirst => &counts.first,
            Self::Gaps => &counts.gaps,
            Self::Failures | Self::Unfinished | Self::Overdue => &[],
        }
    }

    /// Returns the counts as trials, in which a hit is evidence against the version.
    pub(crate) fn trials(self, counts: &VersionCounts, slow_from: usize) -> Trials {
        let (hits, total) = match self {
            Self::Failures => (counts.failed, counts.judged()),
            Self::Unfinished => (counts.unfinished, counts.judged()),
            Self::Overdue => (counts.overdue, counts.overdue.saturating_add(counts.prompt)),
            Self::First | Self::TypicalFirst | Self::Gaps => {
                let times = self.times(counts);
                (tail_count(times, slow_from), total_count(times))
            }
        };
        Trials { hits, total }
    }
}
