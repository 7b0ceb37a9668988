//! The schedule by which a rollout's share increases.

use carawayseam_config::RolloutSpec;
use carawayseam_types::{Millis, Permille};

use crate::gate::MAX_REPORT_INTERVAL;
use crate::record::finish_margin;
use crate::{Phase, RolloutRecord};

/// The factor by which small shares increase in each step.
const GROWTH_FACTOR: u16 = 3;
/// The largest share, in permille, that a step by [`GROWTH_FACTOR`] may reach.
const MAX_FACTOR_SHARE: u16 = 450;
/// The last share before all traffic.
///
/// A larger one would leave the old version with too few requests, and too
/// little load, for a comparison.
const HALF: Permille = Permille::new(500);
/// The fraction of the allowed time in which a rollout with little traffic should finish.
const PLANNED_FRACTION: f64 = 0.85;
/// The minimum time at each share is at most the allowed time divided by this.
///
/// Even with good evidence all shares together take half of the allowed time, so that a version that
/// starts to fail late does so while the old one is still loaded.
const DWELL_DIVISOR: u64 = 13;
/// Each share lasts at least the allowed time divided by this, even if the engines were ready late.
const MIN_DWELL_DIVISOR: u64 = 60;
/// The fraction of a step's time that good evidence cannot shorten.
const DWELL_STEP_FRACTION: f64 = 0.8;

/// Returns the share that follows `share`.
pub(crate) fn next_share(share: Permille) -> Permille {
    let grown = share.get().saturating_mul(GROWTH_FACTOR);
    if grown <= MAX_FACTOR_SHARE {
        return Permille::new(grown);
    }
    if share < HALF { HALF } else { Permille::WHOLE }
}

/// The steps of a rollout that has little traffic, as planned from its declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedSteps {
    /// The number of steps.
    pub steps: u64,
    /// The time for each step.
    pub step_time: Millis,
    /// The time between two reports of a host with little traffic.
    pub report_interval: Millis,
}

impl PlannedSteps {
    /// Plans the steps of a rollout whose engines are ready at its start.
    #[must_use]
    pub fn of(spec: &RolloutSpec) -> Self {
        let allowed = spec.within - finish_margin(spec.within);
        let planned = Millis((allowed.0 as f64 * PLANNED_FRACTION) as u64);
        let steps = steps_from(spec.first_share);
        Self {
            steps,
            step_time: Millis(planned.0 / steps),
            report_interval: MAX_REPORT_INTERVAL,
        }
    }

    /// Returns whether a step may end before each host has reported on it.
    #[must_use]
    pub fn is_too_short(&self) -> bool {
        self.step_time < self.report_interval
    }
}

/// Returns the number of steps from this record to the finished rollout.
fn steps_left(record: &RolloutRecord) -> u64 {
    steps_from(match record.phase {
        Phase::Preparing => record.spec.first_share,
        _ => record.share,
    })
}

/// Returns the number of steps from a share to the finished rollout.
fn steps_from(mut share: Permille) -> u64 {
    let mut steps = 1;
    while share < Permille::WHOLE {
        share = next_share(share);
        steps += 1;
    }
    steps
}

/// Returns when good evidence permits the next step.
pub(crate) fn earliest_step_at(record: &RolloutRecord, step_began: Millis) -> Millis {
    let allowed = record.deadline.since(record.started_at);
    let step = Millis((step_time(record, step_began).0 as f64 * DWELL_STEP_FRACTION) as u64);
    let dwell = step.min(Millis(allowed.0 / DWELL_DIVISOR));
    step_began + dwell.max(min_dwell(record))
}

/// Returns the minimum time for which hosts must have been reporting before a step.
pub(crate) fn min_dwell(record: &RolloutRecord) -> Millis {
    let allowed = record.deadline.since(record.started_at);
    Millis(allowed.0 / MIN_DWELL_DIVISOR)
}

/// Returns when the next step is due even with little evidence.
pub(crate) fn step_due_at(record: &RolloutRecord, step_began: Millis) -> Millis {
    earliest_step_at(record, step_began).max(step_began + step_time(record, step_began))
}

/// Returns the time for this step: an equal part of the time left for all remaining steps.
fn step_time(record: &RolloutRecord, step_began: Millis) -> Millis {
    let allowed = record.finish_by().since(record.started_at);
    let planned = record.started_at + Millis((allowed.0 as f64 * PLANNED_FRACTION) as u64);
    let end = if step_began < planned {
        planned
    } else {
        record.finish_by()
    };
    Millis(end.since(step_began).0 / steps_left(record))
}
