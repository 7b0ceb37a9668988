//! Baseline of the old version on a route, against which the new version is compared.

use crate::VersionCounts;
use crate::latency::{tail_bucket, total_count};
use crate::metric::Metric;
use crate::sequential::{MAX_RATE_RATIO, Trials};

/// Responses in each half of the recent window.
const WINDOW_RESPONSES: u64 = 128;
/// Fewest responses from which a latency baseline is derived.
const MIN_LATENCY_RESPONSES: u64 = 16;
/// Fewest responses in a window that may become the slowest one.
const MIN_SLOWEST_RESPONSES: u64 = 48;
/// Upper limit of the rate that a baseline allows.
const MAX_ALLOWED_RATE: f64 = 0.9;

/// Recent responses of the old version, and its slowest window while it carried the load.
///
/// The new version has to be worse than both. The recent window captures what
/// affects both versions now; the slowest window captures the old version
/// under as much load as the new version carries late in the rollout.
#[derive(Debug, Clone, Default)]
pub(crate) struct Baseline {
    current: VersionCounts,
    previous: VersionCounts,
    recent: VersionCounts,
    slowest: Option<VersionCounts>,
    is_loaded: bool,
}

impl Baseline {
    /// Creates an empty baseline; `is_loaded` is whether the old version still carries the load.
    pub(crate) fn new(is_loaded: bool) -> Self {
        Self {
            is_loaded,
            ..Self::default()
        }
    }

    /// Adds responses of the old version.
    pub(crate) fn add(&mut self, counts: &VersionCounts) {
        self.current.add(counts);
        self.recent.add(counts);
        if self.current.judged() >= WINDOW_RESPONSES {
            self.rotate();
        }
    }

    /// Records that the old version no longer carries the load.
    pub(crate) fn unload(&mut self) {
        if self.is_loaded {
            self.save_if_slowest();
        }
        self.is_loaded = false;
    }

    /// Returns the hit rate that the new version may have.
    pub(crate) fn allowed_rate(&self, trials: impl Fn(&VersionCounts) -> Trials) -> f64 {
        max_allowed_rate(trials(&self.recent).cautious_rate())
    }

    /// Like [`Self::allowed_rate`], but no lower than the rate allowed by the slowest loaded window.
    pub(crate) fn allowed_rate_at_load(&self, trials: impl Fn(&VersionCounts) -> Trials) -> f64 {
        let slowest = self.slowest.as_ref();
        let slowest = slowest.map_or(0.0, |counts| trials(counts).cautious_rate());
        max_allowed_rate(trials(&self.recent).cautious_rate().max(slowest))
    }

    /// Returns the first bucket beyond a metric's baseline times; `None` with too few responses.
    pub(crate) fn baseline_bucket(&self, metric: Metric) -> Option<usize> {
        let times = metric.times(&self.recent);
        (total_count(times) >= MIN_LATENCY_RESPONSES).then(|| tail_bucket(times, metric.tail_share()))
    }

    /// Like [`Self::baseline_bucket`], but no earlier than the bucket of the slowest loaded window.
    pub(crate) fn baseline_bucket_at_load(&self, metric: Metric) -> Option<usize> {
        let baseline_bucket = self.baseline_bucket(metric)?;
        let slowest = self.slowest.as_ref().map(|counts| metric.times(counts));
        let slowest = slowest.map(|times| tail_bucket(times, metric.tail_share()));
        Some(slowest.map_or(baseline_bucket, |slowest| slowest.max(baseline_bucket)))
    }

    fn rotate(&mut self) {
        if self.is_loaded {
            self.save_if_slowest();
        }
        self.previous = std::mem::take(&mut self.current);
        self.recent = self.previous.clone();
    }

    fn save_if_slowest(&mut self) {
        let median = |counts: &VersionCounts| tail_bucket(&counts.first, 0.5);
        let slowest = self.slowest.as_ref().map(median);
        let enough = total_count(&self.current.first) >= MIN_SLOWEST_RESPONSES;
        if enough && slowest < Some(median(&self.current)) {
            self.slowest = Some(self.current.clone());
        }
    }
}

const fn max_allowed_rate(rate: f64) -> f64 {
    (MAX_RATE_RATIO * rate).min(MAX_ALLOWED_RATE)
}
