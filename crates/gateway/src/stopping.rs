//! The phases of a planned shutdown and their times.

use carawayseam_types::Millis;

/// The time after which the balancer has noticed that a host is not ready.
const DRAIN_NOTICE_TIME: Millis = Millis(2_800);
/// The delay between the refusal of new streams and the closing of idle connections.
const CLOSE_DELAY: Millis = Millis(700);
/// The fraction of `stop_within` after which no connections are accepted even if requests are open.
const ACCEPT_FRACTION: f64 = 0.8;
/// The fraction of `stop_within` after which the process exits even if responses are not complete.
const END_FRACTION: f64 = 0.95;
/// The fraction of `stop_within` after which requests get final responses; the rest is for these to reach the callers.
const ANSWER_FRACTION: f64 = 0.9;
/// A request is admitted only if its time limit ends this long before the final responses.
const ADMISSION_MARGIN: Millis = Millis(100);

/// The phases of a planned shutdown, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Normal operation; no shutdown has begun.
    Serving,
    /// Not ready, but still serving; responses ask callers to close their connections.
    Draining,
    /// New streams are refused, because they could outlast the remaining time.
    RefusingStreams,
    /// Idle connections are closed.
    ClosingIdle,
    /// No new connections are accepted.
    NotAccepting,
    /// Requests without a begun response get a final one.
    Answering,
    /// Streams are broken off.
    BreakingOff,
}

/// The times of a planned shutdown, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// When the shutdown began.
    pub started_at: Millis,
    /// From when on new streams are refused.
    pub refuse_streams_at: Millis,
    /// When idle connections are closed.
    pub close_idle_at: Millis,
    /// When the last connections are accepted.
    pub stop_accepting_at: Millis,
    /// When requests without a begun response get a final one.
    pub answer_at: Millis,
    /// When streams are broken off; the process exits after their last bytes.
    pub end_at: Millis,
}

impl StopPlan {
    /// Creates the plan of a shutdown that begins at `started_at` and may take `stop_within`.
    #[must_use]
    pub fn new(started_at: Millis, stop_within: Millis) -> Self {
        let time_at = |fraction: f64| started_at + Millis((stop_within.0 as f64 * fraction) as u64);
        let stop_accepting_at = time_at(ACCEPT_FRACTION);
        let refuse_streams_at = (started_at + DRAIN_NOTICE_TIME).min(stop_accepting_at);
        Self {
            started_at,
            refuse_streams_at,
            close_idle_at: (refuse_streams_at + CLOSE_DELAY).min(stop_accepting_at),
            stop_accepting_at,
            answer_at: time_at(ANSWER_FRACTION),
            end_at: time_at(END_FRACTION),
        }
    }

    /// Returns whether a stream whose head has arrived at `arrived` is admitted.
    ///
    /// Its time limit does not matter: it may be broken off at the end, and until the balancer has noticed the
    /// shutdown its caller may not find another host.
    #[must_use]
    pub fn admits_stream(&self, arrived: Millis) -> bool {
        arrived < self.refuse_streams_at
    }

    /// Returns whether a request with a plain response is admitted whose time limit ends at `deadline`.
    #[must_use]
    pub fn admits_plain(&self, deadline: Millis) -> bool {
        deadline + ADMISSION_MARGIN <= self.answer_at
    }
}
