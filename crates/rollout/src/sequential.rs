//! A sequential likelihood-ratio test whose result is valid after every trial.

use crate::binomial::{ln_average_likelihood, ln_likelihood, ln_sum, ln_unusual_likelihood};

/// Factor by which the new version's rate may exceed the old version's without counting as worse.
pub(crate) const MAX_RATE_RATIO: f64 = 1.5;
/// Prior probability that a fault affects both versions.
const P_SHARED_FAULT: f64 = 0.5;

/// Number of hits and of all trials of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Trials {
    pub(crate) hits: u64,
    pub(crate) total: u64,
}

impl Trials {
    /// Returns the hit rate with one hit and two trials added, so that a few trials prove little.
    pub(crate) fn cautious_rate(self) -> f64 {
        (self.hits as f64 + 1.0) / (self.total as f64 + 2.0)
    }

    const fn plus(self, more: Self) -> Self {
        Self {
            hits: self.hits + more.hits,
            total: self.total + more.total,
        }
    }
}

/// Tests whether the new version's hit rate is higher than the old one's.
///
/// The score is the logarithm of a likelihood ratio, averaged over all rates
/// that the new version may have. The test restarts whenever the score is not
/// positive, so that earlier good responses do not hide a version that
/// becomes bad late.
///
/// The null hypothesis is that both versions have the old version's baseline
/// rate, or that both have the same different rate because a shared
/// dependency is faulty. Without concurrent trials of the old version, a
/// worse new version cannot be distinguished from a shared fault.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SequentialTest {
    new: Trials,
    old: Trials,
}

impl SequentialTest {
    /// Adds trials of the new version; `allowed_rate` is the highest rate it may have.
    pub(crate) fn add_new(&mut self, trials: Trials, allowed_rate: f64) {
        if self.has_no_hits() && trials.hits == 0 {
            return;
        }
        self.new = self.new.plus(trials);
        self.restart_unless_positive(allowed_rate);
    }

    /// Adds concurrent trials of the old version.
    pub(crate) fn add_old(&mut self, trials: Trials, allowed_rate: f64) {
        if self.has_no_hits() {
            return;
        }
        self.old = self.old.plus(trials);
        self.restart_unless_positive(allowed_rate);
    }

    /// Returns whether the new version has no hits, so that no allowed rate gives evidence against it.
    pub(crate) const fn has_no_hits(&self) -> bool {
        self.new.hits == 0
    }

    /// Returns the new version's hits since the last restart.
    pub(crate) const fn hits(&self) -> u64 {
        self.new.hits
    }

    /// Returns the logarithm of the likelihood ratio, assuming that no fault is shared by both versions.
    pub(crate) fn unshared_fault_score(&self, allowed_rate: f64) -> f64 {
        if self.has_no_hits() {
            return 0.0;
        }
        ln_average_likelihood(self.new) - ln_likelihood(self.new, allowed_rate)
    }

    /// Returns the score, or that of an unshared fault while there are fewer concurrent trials of the old version.
    pub(crate) fn suspicion(&self, allowed_rate: f64) -> f64 {
        if self.old.total < self.new.total {
            self.unshared_fault_score(allowed_rate)
        } else {
            self.score(allowed_rate)
        }
    }

    /// Returns the logarithm of the likelihood ratio.
    pub(crate) fn score(&self, allowed_rate: f64) -> f64 {
        if self.has_no_hits() {
            return 0.0;
        }
        let old_baseline = ln_likelihood(self.old, allowed_rate / MAX_RATE_RATIO);
        let worse = ln_average_likelihood(self.new) + old_baseline;
        let equal = ln_likelihood(self.new, allowed_rate) + old_baseline;
        let shared = ln_unusual_likelihood(self.new.plus(self.old));
        let null = ln_sum(equal + (-P_SHARED_FAULT).ln_1p(), shared + P_SHARED_FAULT.ln());
        worse - null
    }

    fn restart_unless_positive(&mut self, allowed_rate: f64) {
        if self.score(allowed_rate) <= 0.0 {
            *self = Self::default();
        }
    }
}
