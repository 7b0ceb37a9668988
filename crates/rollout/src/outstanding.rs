//! Dispatches of one version on one route that are in flight.

use std::collections::VecDeque;

use carawayseam_types::Millis;

use crate::latency::{bucket_of, bucket_start, increment_bucket, tail_bucket, total_count};

/// Bounds the dispatches tracked individually; the oldest are dropped first.
const MAX_TRACKED_DISPATCHES: usize = 4_096;
/// The longest delay between the first byte and the observed end.
const MAX_OBSERVATION_DELAY: Millis = Millis(50);
const WINDOW_SAMPLES: u64 = 64;
const MIN_WINDOW_SAMPLES: u64 = 16;
/// The fraction of durations that lies above the baseline.
const TAIL_FRACTION: f64 = 0.05;
/// Buckets above the baseline from which a dispatch is overdue.
const OVERDUE_MARGIN_BUCKETS: usize = 3;
const MIN_OVERDUE: Millis = Millis(500);

/// The distribution of recent dispatch durations.
#[derive(Debug, Clone, Default)]
pub(crate) struct BaselineDurations {
    current: Vec<u32>,
    previous: Vec<u32>,
    overdue_after: Option<Millis>,
}

impl BaselineDurations {
    fn record(&mut self, in_flight_for: Millis) {
        increment_bucket(&mut self.current, bucket_of(in_flight_for));
        if total_count(&self.current) >= WINDOW_SAMPLES {
            self.previous = std::mem::take(&mut self.current);
        }
        self.overdue_after = self.compute_overdue_after();
    }

    /// Returns the time after which a dispatch is overdue, or `None` with too few samples.
    pub(crate) const fn overdue_after(&self) -> Option<Millis> {
        self.overdue_after
    }

    fn compute_overdue_after(&self) -> Option<Millis> {
        let windows = [&self.current, &self.previous];
        let known = windows
            .into_iter()
            .filter(|times| total_count(times) >= MIN_WINDOW_SAMPLES);
        let baseline = known.map(|times| tail_bucket(times, TAIL_FRACTION)).max()?;
        Some(bucket_start(baseline + OVERDUE_MARGIN_BUCKETS).max(MIN_OVERDUE))
    }
}

/// Dispatches in flight, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outstanding {
    dispatches: VecDeque<Dispatch>,
    baseline: BaselineDurations,
}

#[derive(Debug, Clone, Copy)]
struct Dispatch {
    at: Millis,
    overdue: bool,
}

impl Outstanding {
    /// Records a dispatch.
    pub(crate) fn dispatch(&mut self, at: Millis) {
        if self.dispatches.len() == MAX_TRACKED_DISPATCHES {
            self.dispatches.pop_front();
        }
        self.dispatches.push_back(Dispatch { at, overdue: false });
    }

    /// Removes the dispatch that most likely ended; returns whether it was in time.
    ///
    /// `response_time` is the total response time where known, as for plain
    /// services; otherwise the oldest dispatch is assumed to have ended.
    pub(crate) fn end(&mut self, now: Millis, response_time: Option<Millis>, excused: bool) -> bool {
        let ended = response_time.and_then(|after| self.newest_dispatch_before(now, after));
        let Some(dispatch) = self.dispatches.remove(ended.unwrap_or(0)) else {
            return false;
        };
        if excused {
            return false;
        }
        self.baseline.record(now.since(dispatch.at));
        !dispatch.overdue
    }

    /// Counts the dispatches that have become overdue since the last call.
    pub(crate) fn count_overdue(&mut self, now: Millis, after: Millis) -> u64 {
        let mut count = 0;
        for dispatch in &mut self.dispatches {
            match dispatch {
                Dispatch { at, .. } if now.since(*at) < after => break,
                Dispatch { overdue: true, .. } => {}
                Dispatch { overdue, .. } => {
                    *overdue = true;
                    count += 1;
                }
            }
        }
        count
    }

    /// Returns the baseline dispatch durations.
    pub(crate) const fn baseline(&self) -> &BaselineDurations {
        &self.baseline
    }

    /// Returns the index of the newest dispatch that can have taken `response_time`.
    fn newest_dispatch_before(&self, now: Millis, response_time: Millis) -> Option<usize> {
        let in_flight_for = |dispatch: &Dispatch| now.since(dispatch.at) + MAX_OBSERVATION_DELAY;
        self.dispatches
            .iter()
            .rposition(|dispatch| in_flight_for(dispatch) >= response_time)
    }
}
