//! Compares the new version with the old one on each route.

use std::collections::BTreeMap;

use carawayseam_types::{HostId, Permille, RouteName};

use crate::baseline::Baseline;
use crate::ledger::Gained;
use crate::metric::Metric;
use crate::sequential::{SequentialTest, Trials};
use crate::{Fault, Finding, RouteEvidence, VersionCounts};

/// The log-likelihood ratio from which evidence is clear.
pub(crate) const CLEAR_SCORE: f64 = 8.5;
/// Up to this share of the new version, the old version carries the load.
const LOADED_SHARE: Permille = Permille::new(150);
/// Buckets above the old version's baseline latency that do not yet count as slow.
const SLOW_MARGIN: usize = 1;
/// `SLOW_MARGIN` while the new version carries nearly all traffic.
const SLOW_MARGIN_ALONE: usize = 2;

/// The highest score of a route's tests.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Suspicion {
    pub(crate) fault: Fault,
    pub(crate) route: RouteName,
    pub(crate) score: f64,
}

impl Suspicion {
    pub(crate) fn is_clear(&self) -> bool {
        self.score >= CLEAR_SCORE
    }

    /// Returns the finding that `host` reports.
    pub(crate) fn into_finding(self, host: &HostId) -> Finding {
        Finding {
            fault: self.fault,
            route: self.route,
            host: host.clone(),
        }
    }
}

/// Evaluates one rollout from the counts of all hosts.
#[derive(Debug, Clone, Default)]
pub(crate) struct Judge {
    routes: BTreeMap<RouteName, RouteJudge>,
    share: Permille,
}

impl Judge {
    /// Updates the new version's share of traffic.
    pub(crate) fn set_share(&mut self, share: Permille) {
        self.share = share;
        if share <= LOADED_SHARE {
            return;
        }
        for route in self.routes.values_mut() {
            route.baseline.unload();
        }
    }

    /// Adds counts that were not added before.
    pub(crate) fn add(&mut self, counts: &RouteEvidence) {
        let load = match self.share {
            Permille::WHOLE => Load::NewAlone,
            _ => Load::Shared,
        };
        self.route(&counts.route).add(&counts.old, &counts.new, load);
    }

    /// Adds counts from the past, which extend the baseline but are not evidence.
    fn add_to_baseline(&mut self, counts: &RouteEvidence) {
        self.route(&counts.route).add_to_baseline(&counts.old);
    }

    fn route(&mut self, name: &RouteName) -> &mut RouteJudge {
        let is_loaded = self.share <= LOADED_SHARE;
        self.routes
            .entry(name.clone())
            .or_insert_with(|| RouteJudge::new(is_loaded))
    }

    /// Adds the counts that a host's report gained over its earlier ones.
    pub(crate) fn add_gained(&mut self, gained: &Gained) {
        match gained {
            Gained::Recent(routes) => routes.iter().for_each(|route| self.add(route)),
            Gained::Delayed(routes) => routes.iter().for_each(|route| self.add_to_baseline(route)),
        }
    }

    /// Returns the strongest evidence against the new version.
    pub(crate) fn suspicion(&self) -> Option<Suspicion> {
        let scores = self.routes.iter().filter_map(|(name, route)| {
            let (fault, score) = route.worst_fault()?;
            Some((name, fault, score))
        });
        let (route, fault, score) = scores.max_by(|a, b| a.2.total_cmp(&b.2))?;
        let route = route.clone();
        Some(Suspicion { fault, route, score })
    }

    /// Returns the highest score, including tests with too few hits to be clear.
    pub(crate) fn max_score(&self) -> f64 {
        let max_scores = self.routes.values().map(RouteJudge::max_score);
        max_scores.fold(0.0, f64::max)
    }

    /// Returns the strongest evidence against the new version if it is clear.
    pub(crate) fn clear_suspicion(&self) -> Option<Suspicion> {
        self.suspicion().filter(Suspicion::is_clear)
    }
}

/// How the load is split between the versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Load {
    /// The old version carries at least as much as the new one.
    Shared,
    /// The new version carries nearly all traffic.
    NewAlone,
}

/// Compares the new version with the old one on one route.
///
/// The result is valid after every response, so it may be read at any time.
#[derive(Debug, Clone)]
pub struct RouteJudge {
    baseline: Baseline,
    tests: [SequentialTest; Metric::ALL.len()],
    base_rates: [f64; Metric::ALL.len()],
    slow_from: [Option<usize>; Metric::ALL.len()],
    load: Load,
}

impl Default for RouteJudge {
    /// Returns a judge of a route whose load the old version carries.
    fn default() -> Self {
        Self::new(true)
    }
}

impl RouteJudge {
    /// Adds counts of both versions that were not added before.
    pub fn add_counts(&mut self, old: &VersionCounts, new: &VersionCounts) {
        self.add(old, new, Load::Shared);
    }

    /// Adds counts of the old version from before the rollout, which are no evidence by themselves.
    pub fn add_to_baseline(&mut self, old: &VersionCounts) {
        self.baseline.add(old);
    }

    /// Returns how much likelier the new version is worse than as good as the old one, as a logarithm; 0 at the least.
    ///
    /// While the old version serves too little to compare, a fault that both versions share counts too.
    #[must_use]
    pub fn suspicion(&self) -> f64 {
        let tests = self.tests.iter().zip(self.base_rates);
        let scores = tests.map(|(test, base)| test.suspicion(base));
        scores.fold(0.0, f64::max)
    }

    /// Returns the way in which the new version is worse, if the evidence is clear.
    #[must_use]
    pub fn clear_fault(&self) -> Option<Fault> {
        let (fault, score) = self.worst_fault()?;
        (score >= CLEAR_SCORE).then_some(fault)
    }

    fn new(is_loaded: bool) -> Self {
        Self {
            baseline: Baseline::new(is_loaded),
            tests: [SequentialTest::default(); Metric::ALL.len()],
            base_rates: [0.0; Metric::ALL.len()],
            slow_from: [None; Metric::ALL.len()],
            load: Load::Shared,
        }
    }

    fn add(&mut self, old: &VersionCounts, new: &VersionCounts, load: Load) {
        // Thresholds are set before the counts are added, so that no response is compared with itself.
        self.update_thresholds(load);
        self.test(new, SequentialTest::add_new);
        self.baseline.add(old);
        self.test(old, SequentialTest::add_old);
    }

    /// Sets the bucket from which latencies count as slow, for each metric.
    ///
    /// A test that has begun keeps its threshold, so that its hits stay comparable.
    fn update_thresholds(&mut self, load: Load) {
        let is_new_load = self.load != load;
        self.load = load;
        for (at, metric) in Metric::ALL.into_iter().enumerate() {
            if is_new_load && metric.has_times() {
                self.tests[at] = SequentialTest::default();
            }
            if self.tests[at].has_no_hits() {
                self.slow_from[at] = self.slow_threshold(metric);
            }
        }
    }

    /// Adds the trials of one version to the tests that they can change.
    fn test(&mut self, counts: &VersionCounts, add: fn(&mut SequentialTest, Trials, f64)) {
        for (at, metric) in Metric::ALL.into_iter().enumerate() {
            let Some(slow_from) = self.slow_from[at] else {
                continue;
            };
            let trials = metric.trials(counts, slow_from);
            if trials.total > 0 && (trials.hits > 0 || !self.tests[at].has_no_hits()) {
                self.base_rates[at] = self.base_rate(metric, slow_from);
                add(&mut self.tests[at], trials, self.base_rates[at]);
            }
        }
    }

    fn base_rate(&self, metric: Metric, slow_from: usize) -> f64 {
        let trials = |old: &VersionCounts| metric.trials(old, slow_from);
        match self.load {
            Load::NewAlone if metric.has_times() => self.baseline.allowed_rate_at_load(trials),
            Load::NewAlone | Load::Shared => self.baseline.allowed_rate(trials),
        }
    }

    /// Returns the bucket from which latencies count as slow, 0 for a metric without latencies.
    fn slow_threshold(&self, metric: Metric) -> Option<usize> {
        match self.load {
            _ if !metric.has_times() => Some(0),
            Load::Shared => Some(self.baseline.baseline_bucket(metric)? + SLOW_MARGIN),
            Load::NewAlone => Some(self.baseline.baseline_bucket_at_load(metric)? + SLOW_MARGIN_ALONE),
        }
    }

    fn max_score(&self) -> f64 {
        let tests = self.tests.iter().zip(self.base_rates);
        let max_scores = tests.map(|(test, base)| test.unshared_fault_score(base));
        max_scores.fold(0.0, f64::max)
    }

    fn worst_fault(&self) -> Option<(Fault, f64)> {
        let tests = Metric::ALL.into_iter().zip(&self.tests).zip(self.base_rates);
        let scores = tests
            .filter(|((metric, test), _)| test.hits() >= metric.min_hits())
            .map(|((metric, test), base)| (metric.fault(), test.score(base)));
        scores
            .filter(|(_, score)| *score > 0.0)
            .max_by(|a, b| a.1.total_cmp(&b.1))
    }
}
