//! Evidence that a version's responses take longer than those of the old version.
//!
//! Servers of one backend differ in speed by their hardware, and a host learns the speed of each
//! from its responses. A response of a new version is therefore not compared with its own server's
//! earlier ones, which are as slow, but with the responses of the old version. Each version may run
//! on slow hardware in part, so two things count as evidence: a majority of responses that are
//! slower than a typical one, and some responses that are slower than those of the slowest server.

use std::collections::BTreeMap;

use carawayseam_types::{EngineId, Millis};

use crate::rollouts::{JudgedRoute, MAX_ROUTES};

/// A response is slow if it takes this multiple of the time that it is compared with.
const SLOW_FACTOR: f64 = 1.5;
/// Time by which a response may be later without being slow.
const SLOW_MARGIN_MS: f64 = 10.0;
/// Relative change of the typical ratio with each response.
const RATIO_STEP: f64 = 0.02;
/// Weight of a new sample in the exponential average of a server's ratio.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Upper bound of the slowest server's ratio, as a multiple of the typical one; a slower server is faulty.
const MAX_SERVER_SPREAD: f64 = 4.0;
/// Limit of servers whose ratios are kept for one backend.
const MAX_SERVERS: usize = 1_024;
/// Responses of a route from which it has a typical ratio of its own.
const MIN_ROUTE_RESPONSES: u32 = 16;

/// The times of one response, and those expected of a typical server of the backend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseTime {
    /// Time from the dispatch to the end of the response, or to now if it has not ended.
    pub elapsed: Millis,
    /// Expected time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Expected time between two events, in milliseconds.
    pub event_ms: f64,
    /// Number of events received.
    pub events: u32,
}

impl ResponseTime {
    /// Returns the expected time of this response, in milliseconds; at least 1.
    fn expected_ms(&self) -> f64 {
        let later_events = f64::from(self.events.saturating_sub(1));
        later_events.mul_add(self.event_ms, self.first_event_ms).max(1.0)
    }

    fn ratio(&self) -> f64 {
        self.elapsed.0 as f64 / self.expected_ms()
    }

    /// Returns whether the response takes much longer than one with this ratio.
    fn is_slower_than(&self, ratio: f64) -> bool {
        let allowed_ms = (self.expected_ms() * ratio).mul_add(SLOW_FACTOR, SLOW_MARGIN_MS);
        self.elapsed.0 as f64 > allowed_ms
    }
}

/// How slow a response is compared with those of the old version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PaceRating {
    Normal,
    /// Slower than a typical response.
    Slow,
    /// Slower than the responses of the slowest server.
    VerySlow,
}

/// A ratio that half of the responses exceed.
#[derive(Debug, Clone, Copy)]
struct TypicalRatio {
    value: f64,
    responses: u32,
}

impl TypicalRatio {
    const fn new(value: f64) -> Self {
        Self { value, responses: 0 }
    }

    fn record(&mut self, ratio: f64) {
        self.responses = self.responses.saturating_add(1);
        self.value *= if ratio > self.value {
            1.0 + RATIO_STEP
        } else {
            1.0 - RATIO_STEP
        };
    }
}

/// The ratios of actual to expected time of a backend's responses.
#[derive(Debug)]
pub(crate) struct PaceBaseline {
    typical: TypicalRatio,
    /// The typical ratio of each route, since the expected times are those of all routes together.
    routes: BTreeMap<JudgedRoute, TypicalRatio>,
    /// The average ratio of each server, as a multiple of the typical one of its requests' routes.
    servers: BTreeMap<EngineId, f64>,
}

impl Default for PaceBaseline {
    fn default() -> Self {
        Self {
            typical: TypicalRatio::new(1.0),
            routes: BTreeMap::new(),
            servers: BTreeMap::new(),
        }
    }
}

impl PaceBaseline {
    /// Records a complete response.
    pub(crate) fn record(&mut self, route: &JudgedRoute, engine: &EngineId, time: ResponseTime) {
        let ratio = time.ratio();
        let spread = ratio / self.typical_ratio(route);
        self.typical.record(ratio);
        if self.routes.contains_key(route) || self.routes.len() < MAX_ROUTES {
            let first = TypicalRatio::new(ratio);
            self.routes.entry(route.clone()).or_insert(first).record(ratio);
        }
        if let Some(average) = self.servers.get_mut(engine) {
            *average += (spread - *average) * SAMPLE_WEIGHT;
            return;
        }
        if self.servers.len() >= MAX_SERVERS {
            self.servers.pop_first();
        }
        self.servers.insert(engine.clone(), spread);
    }

    pub(crate) fn rate(&self, route: &JudgedRoute, time: ResponseTime) -> PaceRating {
        let typical = self.typical_ratio(route);
        if time.is_slower_than(typical * self.server_spread()) {
            PaceRating::VerySlow
        } else if time.is_slower_than(typical) {
            PaceRating::Slow
        } else {
            PaceRating::Normal
        }
    }

    /// Returns the typical ratio of a route's responses, or of all while the route has had few.
    fn typical_ratio(&self, route: &JudgedRoute) -> f64 {
        let of_route = self.routes.get(route);
        let known = of_route.filter(|typical| typical.responses >= MIN_ROUTE_RESPONSES);
        known.unwrap_or(&self.typical).value
    }

    /// Returns the ratio of the slowest server that is not faulty, as a multiple of the typical one.
    fn server_spread(&self) -> f64 {
        let slowest = self.servers.values().copied().fold(1.0, f64::max);
        slowest.min(MAX_SERVER_SPREAD)
    }
}

/// How many of a version's responses were slow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PaceCounts {
    /// All complete responses, and incomplete ones that were very slow already.
    pub all: u32,
    /// Slow and very slow responses.
    pub slow: u32,
    /// Very slow responses.
    pub very_slow: u32,
}

impl PaceCounts {
    pub(crate) fn record(&mut self, rating: PaceRating) {
        self.all += 1;
        self.slow += u32::from(rating != PaceRating::Normal);
        self.very_slow += u32::from(rating == PaceRating::VerySlow);
    }

    /// Returns the responses counted since `earlier`.
    pub(crate) const fn since(self, earlier: Self) -> Self {
        Self {
            all: self.all.saturating_sub(earlier.all),
            slow: self.slow.saturating_sub(earlier.slow),
            very_slow: self.very_slow.saturating_sub(earlier.very_slow),
        }
    }

    pub(crate) fn add(&mut self, other: Self) {
        self.all = self.all.saturating_add(other.all);
        self.slow = self.slow.saturating_add(other.slow);
        self.very_slow = self.very_slow.saturating_add(other.very_slow);
    }
}

/// One host's counts of both versions during a rollout.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PaceReport {
    /// The new version.
    pub new: PaceCounts,
    /// The old versions.
    pub old: PaceCounts,
}

impl PaceReport {
    /// Returns whether this is an earlier report of the host, or one of a host that started anew and has
    /// counted less since.
    pub(crate) const fn is_earlier_than(self, other: Self) -> bool {
        self.new.all < other.new.all || self.old.all < other.old.all
    }
}

/// Bounds of one kind of evidence.
struct Bounds {
    /// Share of the counted responses up to which the evidence decreases.
    min_share: f64,
    /// The same share, counted from that of the old version.
    margin: f64,
    /// Evidence at which the new version counts as slow, in responses.
    regression: f64,
    /// Evidence from which the new version may not get all traffic, in responses.
    suspicion: f64,
}

/// Most responses are slow.
const SLOW_BOUNDS: Bounds = Bounds {
    min_share: 0.6,
    margin: 0.3,
    regression: 5.0,
    suspicion: 3.0,
};
/// Some responses are very slow.
const VERY_SLOW_BOUNDS: Bounds = Bounds {
    min_share: 0.15,
    margin: 0.15,
    regression: 4.0,
    suspicion: 2.5,
};

/// Evidence that grows with each counted response of the new version and decreases with each other one, but
/// not below zero.
///
/// A version that turns slow late is therefore found as fast as one that is slow from the start.
#[derive(Debug, Clone, Copy, Default)]
struct Level {
    value: f64,
    peaked: bool,
}

impl Level {
    fn add(&mut self, bounds: &Bounds, counted: u32, all: u32, old_share: f64) {
        let allowed_share = bounds.min_share.max(old_share + bounds.margin);
        let change = f64::from(counted) - f64::from(all) * allowed_share;
        self.value = (self.value + change).max(0.0);
        self.peaked |= self.value >= bounds.regression;
    }
}

/// Evidence of all hosts that the new version is slow.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PaceEvidence {
    old: PaceCounts,
    slow: Level,
    very_slow: Level,
}

impl PaceEvidence {
    /// Adds the responses that a host counted since its report `earlier`.
    pub(crate) fn add(&mut self, report: PaceReport, earlier: PaceReport) {
        self.old.add(report.old.since(earlier.old));
        let new = report.new.since(earlier.new);
        let old_share = |count| f64::from(count) / f64::from(self.old.all.max(1));
        let slow_share = old_share(self.old.slow);
        let very_slow_share = old_share(self.old.very_slow);
        self.slow.add(&SLOW_BOUNDS, new.slow, new.all, slow_share);
        self.very_slow
            .add(&VERY_SLOW_BOUNDS, new.very_slow, new.all, very_slow_share);
    }

    /// Returns whether the new version is or was slow.
    pub(crate) const fn shows_regression(&self) -> bool {
        self.slow.peaked || self.very_slow.peaked
    }

    /// Returns whether the new version may get all traffic.
    pub(crate) fn allows_completion(&self) -> bool {
        !self.shows_regression()
            && self.slow.value < SLOW_BOUNDS.suspicion
            && self.very_slow.value < VERY_SLOW_BOUNDS.suspicion
    }
}
