//! The learned pace of one server.

use carawayseam_types::{EngineKey, Millis};

use super::shared::{PendingSamples, PublishedPace};
use super::{CommonCurve, MAX_CONCURRENCY, PaceReport, Sample, SampleMean, index};
use crate::server_loads::OwnerKey;

/// Time after which samples at one concurrency weigh half as much as new ones at another. Without new samples
/// nothing is forgotten.
const HALF_LIFE_MS: f64 = 20_000.0;
/// Largest weight of the samples at one concurrency, in samples.
const MAX_WEIGHT: f64 = 12.0;
/// Samples of one concurrency that have to be known to compare new ones with them.
const MIN_COMPARED_WEIGHT: f64 = 2.0;
/// Logarithm of the factor from which a sample differs from earlier ones of the same concurrency.
const CHANGE: f64 = 0.6;
/// Number of successive samples that differ in the same direction after which the server's pace has changed. One or
/// two long gaps also occur when a prompt is read.
const CHANGED_SAMPLES: u32 = 3;
/// Number of samples from which an estimate is used.
const MIN_SAMPLES: u32 = 8;
/// Smallest weight of the samples on either side of a knee.
const MIN_KNEE_WEIGHT: f64 = 2.0;
/// Smallest weight of the samples of one concurrency by which servers are compared.
const MIN_PACE_WEIGHT: f64 = 5.0;
/// Mean squared logarithmic error that a knee has to explain. The means of samples at one concurrency vary by less.
const MIN_KNEE_GAIN: f64 = 0.004;
/// Largest share of the error without a knee that may remain with it.
const MAX_KNEE_ERROR: f64 = 0.5;
/// The share of its fair throughput that one more request has to add.
const MIN_ADDED_SHARE: f64 = 0.1;
/// Number of samples of the first fits, which are made at once.
const EAGER_SAMPLES: u32 = 16;
/// Shortest time between later fits.
const FIT_INTERVAL: Millis = Millis(50);
/// Weight of a sample of the time per prompt token.
const TOKEN_WEIGHT: f64 = 0.2;

/// What is known of a server's pace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceEstimate {
    /// The time between events of a single request, in milliseconds.
    pub event_ms: f64,
    /// The concurrency from which the server's requests only share one speed; its slots if there is none below.
    pub knee: u32,
    /// The concurrency beyond which one more request adds less than a tenth of its fair share of the throughput.
    pub soft_capacity: u32,
    /// The number of samples.
    pub samples: u32,
}

/// Samples at one concurrency.
#[derive(Debug, Clone, Copy, Default)]
struct Bin {
    log_ms: f64,
    weight: f64,
    at: Millis,
}

impl Bin {
    fn weight_at(&self, now: Millis) -> f64 {
        self.weight * 0.5_f64.powf(now.since(self.at).0 as f64 / HALF_LIFE_MS)
    }

    fn add(&mut self, now: Millis, log_ms: f64) {
        let weight = self.weight_at(now).min(MAX_WEIGHT - 1.0) + 1.0;
        self.log_ms += (log_ms - self.log_ms) / weight;
        self.weight = weight;
        self.at = now;
    }
}

/// The pace of a single request and the concurrency from which requests only share one speed.
#[derive(Debug, Clone, Copy)]
struct Fit {
    level: f64,
    knee: u32,
    soft_capacity: u32,
    at: Millis,
}

/// The pace of one server by concurrency.
#[derive(Debug, Default)]
pub(crate) struct ServerCapacity {
    bins: Vec<Bin>,
    fit: Option<Fit>,
    samples: u32,
    sampled_at: Millis,
    /// Number of successive samples that were slower (positive) or faster (negative) than before, and their sum.
    changed: (i32, f64),
    token_log_ms: Option<f64>,
    /// Whether a time per prompt token was measured since samples were last taken.
    has_new_token_sample: bool,
    pub(super) pending: PendingSamples,
    published: PublishedPace,
}

impl ServerCapacity {
    pub(crate) fn record_event(&mut self, now: Millis, curve: &mut CommonCurve, sample: Sample, log_ms: f64) {
        let ix = index(sample.concurrency);
        if self.bins.len() <= ix {
            self.bins.resize(ix + 1, Bin::default());
        }
        self.follow_change(now, ix, log_ms);
        self.bins[ix].add(now, log_ms);
        self.samples = self.samples.saturating_add(1);
        self.sampled_at = now;
        let is_due = |fit: Fit| now.since(fit.at) >= FIT_INTERVAL || self.samples <= EAGER_SAMPLES;
        if self.fit.is_none_or(is_due) {
            let fit = self.best_fit(now, curve, sample.slots);
            self.fit = Some(fit);
        }
        if let Some(fit) = self.fit.filter(|_| self.samples >= MIN_SAMPLES) {
            curve.record(
                sample.concurrency,
                log_ms - fit.level - shape(curve, fit.knee, sample.concurrency),
            );
        }
    }

    pub(crate) fn record_token(&mut self, log_ms: f64) {
        self.has_new_token_sample = true;
        let known = self.token_log_ms.get_or_insert(log_ms);
        *known = (log_ms - *known).mul_add(TOKEN_WEIGHT, *known);
    }

    /// Returns the estimate of the owner of the server's slots, or else that of this host's samples, if there are
    /// enough.
    pub(crate) fn estimate(&self, now: Millis, slots: u32) -> Option<PaceEstimate> {
        let estimate = self.published.estimate(now).or_else(|| self.own_estimate())?;
        Some(PaceEstimate {
            knee: estimate.knee.clamp(1, slots.max(1)),
            soft_capacity: estimate.soft_capacity.clamp(1, slots.max(1)),
            ..estimate
        })
    }

    fn own_estimate(&self) -> Option<PaceEstimate> {
        let fit = self.fit.filter(|_| self.samples >= MIN_SAMPLES)?;
        Some(PaceEstimate {
            event_ms: fit.level.exp(),
            knee: fit.knee,
            soft_capacity: fit.soft_capacity,
            samples: self.samples,
        })
    }

    /// Returns the samples of this host that the owner of the server's slots has not been told.
    pub(crate) fn take_samples(&mut self) -> Vec<SampleMean> {
        let has_new_token_sample = std::mem::take(&mut self.has_new_token_sample);
        let token_ms = self.token_ms().filter(|_| has_new_token_sample);
        self.pending.take(token_ms)
    }

    /// Publishes the estimate of this host, which owns the server's slots, if it is due.
    pub(crate) fn publish(&mut self, now: Millis, engine: EngineKey, owner: OwnerKey) {
        if let Some(estimate) = self.own_estimate() {
            self.published.publish(now, engine, owner, estimate);
        }
    }

    /// Records what another owner published; returns false if it is outdated or not plausible.
    pub(crate) fn record_report(&mut self, now: Millis, report: PaceReport) -> bool {
        self.published.record(now, report)
    }

    /// Returns the published estimate to pass on.
    pub(crate) fn forwarded(&self, now: Millis, is_for_new_peer: bool) -> Option<PaceReport> {
        self.published.forwarded(now, is_for_new_peer)
    }

    /// Forgets everything after a restart of the server.
    pub(crate) fn reset(&mut self, now: Millis) {
        *self = Self::default();
        self.published.invalidate(now);
    }

    /// Returns the time per prompt token in milliseconds, if it is known.
    pub(crate) fn token_ms(&self) -> Option<f64> {
        self.token_log_ms.map(f64::exp)
    }

    /// Returns when the last sample was recorded.
    pub(crate) const fn sampled_at(&self) -> Millis {
        self.sampled_at
    }

    /// Returns the paces at concurrencies of which enough is known to compare servers by them.
    pub(super) fn known_paces(&self, now: Millis, curve: &CommonCurve, slots: u32) -> Vec<(usize, f64)> {
        if let Some(estimate) = self.published.estimate(now) {
            let level = estimate.event_ms.ln();
            let last = slots.clamp(1, MAX_CONCURRENCY as u32);
            let growth = shape(curve, estimate.knee.max(1), last);
            return vec![(0, level), (index(last), level + growth)];
        }
        let bins = self.bins.iter().enumerate();
        let known = bins.filter(|(_, bin)| bin.weight >= MIN_PACE_WEIGHT);
        known.map(|(ix, bin)| (ix, bin.log_ms)).collect()
    }

    /// Applies a lasting change of the pace to all concurrencies, so that the knee stays known.
    fn follow_change(&mut self, now: Millis, ix: usize, log_ms: f64) {
        let bin = self.bins[ix];
        if bin.weight_at(now) < MIN_COMPARED_WEIGHT {
            return;
        }
        let difference = log_ms - bin.log_ms;
        let (count, sum) = self.changed;
        self.changed = match difference {
            slower if slower > CHANGE => (count.max(0) + 1, if count > 0 { sum + slower } else { slower }),
            faster if faster < -CHANGE => (count.min(0) - 1, if count < 0 { sum + faster } else { faster }),
            _ => (0, 0.0),
        };
        let (count, sum) = self.changed;
        if count.unsigned_abs() >= CHANGED_SAMPLES {
            for bin in &mut self.bins {
                bin.log_ms += sum / f64::from(count.unsigned_abs());
            }
            self.token_log_ms = None;
            self.changed = (0, 0.0);
            self.fit = None;
            self.published.invalidate(now);
        }
    }

    fn best_fit(&self, now: Millis, curve: &CommonCurve, slots: u32) -> Fit {
        let no_knee = self.fit_knee(now, curve, slots);
        let observed = slots.min(MAX_CONCURRENCY as u32);
        let weight_of = |range: std::ops::RangeInclusive<u32>| -> f64 {
            let bins = range.filter_map(|concurrency| self.bins.get(index(concurrency)));
            bins.map(|bin| bin.weight_at(now)).sum()
        };
        let knees = (1..observed).filter(|knee| {
            weight_of(1..=*knee) >= MIN_KNEE_WEIGHT && weight_of(knee + 1..=observed) >= MIN_KNEE_WEIGHT
        });
        let with_knee = knees.map(|knee| (knee, self.fit_knee(now, curve, knee)));
        let best = with_knee.min_by(|(_, one), (_, other)| one.1.total_cmp(&other.1));
        let (limit, level) = match best {
            Some((knee, (level, error)))
                if error + MIN_KNEE_GAIN < no_knee.1 && error < no_knee.1 * MAX_KNEE_ERROR =>
            {
                (knee, level)
            }
            _ => (slots, no_knee.0),
        };
        Fit {
            level,
            knee: limit,
            soft_capacity: soft_capacity(curve, limit, slots),
            at: now,
        }
    }

    /// Returns the logarithmic pace of a single request and the mean squared error if the server has this knee.
    fn fit_knee(&self, now: Millis, curve: &CommonCurve, knee: u32) -> (f64, f64) {
        let (mut weights, mut sum, mut squares) = (0.0, 0.0, 0.0);
        for (concurrency, bin) in (1..).zip(&self.bins) {
            let weight = bin.weight_at(now);
            let level = bin.log_ms - shape(curve, knee, concurrency);
            weights += weight;
            sum += weight * level;
            squares += weight * level * level;
        }
        if weights <= 0.0 {
            return (0.0, 0.0);
        }
        let level = sum / weights;
        (level, level.mul_add(-level, squares / weights).max(0.0))
    }
}

/// Returns the logarithm of the time between events at a concurrency, relative to that of a single request.
pub(super) fn shape(curve: &CommonCurve, knee: u32, concurrency: u32) -> f64 {
    let shared = f64::from(concurrency) / f64::from(knee.max(1));
    curve.growth(concurrency) + shared.max(1.0).ln()
}

/// Returns the largest concurrency up to which each further request adds enough to the throughput.
fn soft_capacity(curve: &CommonCurve, knee: u32, slots: u32) -> u32 {
    let rate = |concurrency: u32| f64::from(concurrency) / shape(curve, knee, concurrency).exp();
    let adds_little = |concurrency: &u32| {
        let fair_share = rate(*concurrency) / f64::from(*concurrency);
        rate(concurrency + 1) - rate(*concurrency) < MIN_ADDED_SHARE * fair_share
    };
    let learned = slots.min(MAX_CONCURRENCY as u32);
    (1..learned).find(adds_little).unwrap_or(slots).max(1)
}
