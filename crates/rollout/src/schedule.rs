//! When the share of a move grows, and by how much.

use carawayseam_types::{Millis, Permille};

use crate::{Phase, RolloutRecord};

/// How much a small share grows with each step.
const GROWTH: u16 = 3;
/// Shares up to this one grow by the factor.
const SMALL_SHARES: u16 = 450;
/// The last share before the whole.
///
/// A larger one would leave the old version with too few requests, and too
/// little load, to be compared with.
const HALF: Permille = Permille::new(500);
/// The part of the time allowed in which a move without much traffic is to be finished.
const PLANNED_PART: f64 = 0.85;
/// The part of the time allowed that each share lasts, however good the evidence is.
///
/// All shares together take half of the time allowed, so that a version that
/// turns bad late does so while the old one still stands ready.
const DWELL_PARTS: u64 = 13;
/// The part that each share lasts even if the engines were ready late.
const SHORTEST_DWELL_PARTS: u64 = 60;
/// The part of a step's time that may not be cut by good evidence.
const DWELL_OF_STEP: f64 = 0.8;

/// The share after this one.
pub(crate) fn next_share(share: Permille) -> Permille {
    let grown = share.get().saturating_mul(GROWTH);
    if grown <= SMALL_SHARES {
        return Permille::new(grown);
    }
    if share < HALF { HALF } else { Permille::WHOLE }
}

/// The steps from this record to the finished move.
fn steps_left(record: &RolloutRecord) -> u64 {
    let mut share = match record.phase {
        Phase::Preparing => record.spec.first_share,
        _ => record.share,
    };
    let mut steps = 1;
    while share < Permille::WHOLE {
        share = next_share(share);
        steps += 1;
    }
    steps
}

/// When the next step may be taken on good evidence; `from` is when this step began.
pub(crate) fn earliest(record: &RolloutRecord, from: Millis) -> Millis {
    let allowed = record.deadline.since(record.started_at);
    let step = Millis((step_time(record, from).0 as f64 * DWELL_OF_STEP) as u64);
    let dwell = step.min(Millis(allowed.0 / DWELL_PARTS));
    from + dwell.max(shortest_dwell(record))
}

/// The least time for which hosts are heard before a step is taken.
pub(crate) fn shortest_dwell(record: &RolloutRecord) -> Millis {
    let allowed = record.deadline.since(record.started_at);
    Millis(allowed.0 / SHORTEST_DWELL_PARTS)
}

/// When the next step is due even if little was seen; `from` is when this step began.
pub(crate) fn due(record: &RolloutRecord, from: Millis) -> Millis {
    earliest(record, from).max(from + step_time(record, from))
}

/// The time for this step, so that those after it have as much.
fn step_time(record: &RolloutRecord, from: Millis) -> Millis {
    let allowed = record.finish_by().since(record.started_at);
    let planned = record.started_at + Millis((allowed.0 as f64 * PLANNED_PART) as u64);
    let end = if from < planned {
        planned
    } else {
        record.finish_by()
    };
    Millis(end.since(from).0 / steps_left(record))
}
