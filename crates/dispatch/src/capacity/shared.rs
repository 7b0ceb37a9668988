//! What the owners of slots learn from the samples of all hosts.

use std::collections::BTreeMap;

use carawayseam_types::{EngineKey, Millis};

use super::{PaceEstimate, checked_log};
use crate::server_loads::OwnerKey;

/// An owner's estimate counts for this time; after that, a host uses its own samples.
const PACE_TTL: Millis = Millis::from_secs(30);
/// How long a host passes on an estimate that it learned, which reaches all hosts in that time.
const FORWARD_TIME: Millis = Millis(600);
/// Shortest time between two publications of one server.
const MIN_PUBLISH_INTERVAL: Millis = Millis(500);
/// Time after which an unchanged estimate is published again, for hosts that missed it.
const REFRESH_INTERVAL: Millis = Millis::from_secs(10);
/// Logarithm of the factor by which a pace has to change to be published at once.
const PUBLISHED_CHANGE: f64 = 0.15;
/// The largest count of samples kept at one concurrency until they are sent.
const MAX_PENDING: u32 = 64;

/// The mean of samples at one concurrency.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SampleMean {
    /// The number of requests that ran on the server.
    pub concurrency: u32,
    /// The mean time between events, in milliseconds.
    pub event_ms: f64,
    /// The time per prompt token, in milliseconds, if it was measured.
    pub token_ms: Option<f64>,
    /// The number of samples.
    pub count: u32,
}

/// An owner's estimate of the pace of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceReport {
    /// The server.
    pub engine: EngineKey,
    /// The owner of the server's slots.
    pub owner: OwnerKey,
    /// Increases with each estimate of one owner.
    pub version: u64,
    /// The time since the estimate was made.
    pub age: Millis,
    /// The estimate.
    pub estimate: PaceEstimate,
}

/// Samples of one server that its owner has not been told.
#[derive(Debug, Default)]
pub(crate) struct PendingSamples {
    /// Sum of logarithmic times and their number, by concurrency.
    events: BTreeMap<u32, (f64, u32)>,
}

impl PendingSamples {
    pub(super) fn add(&mut self, concurrency: u32, log_ms: f64) {
        let (sum, count) = self.events.entry(concurrency).or_default();
        if *count >= MAX_PENDING {
            (*sum, *count) = (0.0, 0);
        }
        *sum += log_ms;
        *count += 1;
    }

    /// Returns the means; the first one carries `token_ms`, which must count only once.
    pub(super) fn take(&mut self, mut token_ms: Option<f64>) -> Vec<SampleMean> {
        let events = std::mem::take(&mut self.events).into_iter();
        let means = events.map(|(concurrency, (sum, count))| SampleMean {
            concurrency,
            event_ms: (sum / f64::from(count)).exp(),
            token_ms: token_ms.take(),
            count,
        });
        means.collect()
    }
}

/// An estimate as it was last published by the owner, at this host or another one.
#[derive(Debug, Clone, Copy)]
struct Published {
    report: PaceReport,
    measured_at: Millis,
    learned_at: Millis,
}

/// The latest published estimate of one server.
#[derive(Debug, Default)]
pub(crate) struct PublishedPace {
    latest: Option<Published>,
    /// Estimates from before this time are outdated: the server was restarted, or its pace changed.
    valid_from: Millis,
}

impl PublishedPace {
    /// Records another owner's estimate; returns false if it is outdated or not plausible.
    pub(super) fn record(&mut self, now: Millis, report: PaceReport) -> bool {
        let measured_at = now - report.age;
        let is_plausible = checked_log(report.estimate.event_ms).is_some() && report.estimate.knee > 0;
        // An owner whose host was rebooted starts with low versions again.
        let valid = self
            .latest
            .filter(|latest| now.since(latest.measured_at) <= PACE_TTL);
        let is_newer = valid.is_none_or(|latest| {
            let is_later_version =
                latest.report.owner != report.owner || report.version > latest.report.version;
            is_later_version && measured_at > latest.measured_at
        });
        if !is_plausible || !is_newer || report.age > PACE_TTL || measured_at < self.valid_from {
            return false;
        }
        self.latest = Some(Published {
            report,
            measured_at,
            learned_at: now,
        });
        true
    }

    /// Publishes an estimate of this host if it differs from the last one, or that is old.
    pub(super) fn publish(
        &mut self,
        now: Millis,
        engine: EngineKey,
        owner: OwnerKey,
        estimate: PaceEstimate,
    ) {
        let is_due = self.latest.is_none_or(|latest| {
            let known = latest.report.estimate;
            let change = (estimate.event_ms / known.event_ms).ln().abs();
            let differs = change > PUBLISHED_CHANGE || estimate.knee != known.knee;
            let age = now.since(latest.measured_at);
            let is_own = latest.report.owner == owner;
            age >= REFRESH_INTERVAL || (age >= MIN_PUBLISH_INTERVAL && (differs || !is_own))
        });
        if is_due {
            self.latest = Some(Published {
                report: PaceReport {
                    engine,
                    owner,
                    version: now.0,
                    age: Millis::ZERO,
                    estimate,
                },
                measured_at: now,
                learned_at: now,
            });
        }
    }

    /// Returns the estimate to pass on, if it was learned lately or is wanted by a new peer.
    pub(super) fn forwarded(&self, now: Millis, is_for_new_peer: bool) -> Option<PaceReport> {
        let latest = self.latest.filter(|latest| {
            let is_recent = now.since(latest.learned_at) <= FORWARD_TIME;
            let is_valid = now.since(latest.measured_at) <= PACE_TTL && latest.measured_at >= self.valid_from;
            is_valid && (is_recent || is_for_new_peer)
        })?;
        Some(PaceReport {
            age: now.since(latest.measured_at),
            ..latest.report
        })
    }

    /// Returns the owner's estimate if it is recent enough.
    pub(super) fn estimate(&self, now: Millis) -> Option<PaceEstimate> {
        let latest = self.latest?;
        let is_valid = now.since(latest.measured_at) <= PACE_TTL && latest.measured_at >= self.valid_from;
        is_valid.then_some(latest.report.estimate)
    }

    /// Discards estimates from before `now`.
    pub(super) const fn invalidate(&mut self, now: Millis) {
        self.valid_from = now;
    }
}
