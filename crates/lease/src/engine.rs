//! The planner's view of one engine: its wanted state and the state last read.

use carawayseam_external::engine::{EngineLoadout, EngineState};
use carawayseam_types::Millis;

/// Delay after the first failed order or read; it doubles with each further failure.
const INITIAL_BACKOFF: Millis = Millis(500);
/// Upper bound of the delay after a failure.
const MAX_BACKOFF: Millis = Millis(10_000);
/// Limit on the number of doublings, which avoids overflow; the delay reaches
/// [`MAX_BACKOFF`] earlier.
const MAX_DOUBLINGS: u32 = 10;
/// Interval between reads of an engine that is loading.
const LOADING_READ_INTERVAL: Millis = Millis(1_000);
/// Interval between reads of an engine in its wanted state.
const SETTLED_READ_INTERVAL: Millis = Millis(30_000);
/// An order or read without a response for this long counts as failed.
const REQUEST_TIMEOUT: Millis = Millis(10_000);

/// How the state last read of an engine compares with its wanted state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LoadStatus {
    /// No state is known, for example because none was read since this host acquired the lease.
    Unknown,
    /// The engine is loading the wanted state.
    Loading,
    /// The engine is loading a different state.
    LoadingOther,
    /// The engine serves the wanted state.
    Settled,
    /// The engine serves a different state or none, and is not loading.
    Mismatched,
}

/// An engine with its wanted state, the state last read and the pending request.
#[derive(Debug)]
pub(crate) struct TrackedEngine {
    pub(crate) wanted: EngineLoadout,
    pub(crate) checks_fencing: bool,
    state: Option<EngineState>,
    requested_at: Option<Millis>,
    is_order_pending: bool,
    consecutive_failures: u32,
    next_request_at: Millis,
}

impl TrackedEngine {
    pub(crate) const fn new(wanted: EngineLoadout, checks_fencing: bool) -> Self {
        Self {
            wanted,
            checks_fencing,
            state: None,
            requested_at: None,
            is_order_pending: false,
            consecutive_failures: 0,
            next_request_at: Millis::ZERO,
        }
    }

    pub(crate) fn load_status(&self) -> LoadStatus {
        let Some(state) = &self.state else {
            return LoadStatus::Unknown;
        };
        match (&state.loading, &state.loaded) {
            (Some(loading), _) if *loading == self.wanted => LoadStatus::Loading,
            (Some(_), _) => LoadStatus::LoadingOther,
            (None, Some(loaded)) if *loaded == self.wanted => LoadStatus::Settled,
            (None, _) => LoadStatus::Mismatched,
        }
    }

    /// Returns whether the engine uses bandwidth of the weight store, or may do so because an
    /// order is pending.
    pub(crate) fn is_loading(&self) -> bool {
        self.is_order_pending || matches!(self.load_status(), LoadStatus::Loading | LoadStatus::LoadingOther)
    }

    /// Returns whether the engine was read, or a read failed, since this host acquired the lease.
    pub(crate) const fn was_polled(&self) -> bool {
        self.state.is_some() || self.consecutive_failures > 0 || self.is_order_pending
    }

    pub(crate) const fn is_reachable(&self) -> bool {
        self.consecutive_failures == 0
    }

    pub(crate) const fn is_read_pending(&self) -> bool {
        self.requested_at.is_some() && !self.is_order_pending
    }

    /// Returns whether a new request may be sent to the engine now.
    pub(crate) fn is_due(&self, now: Millis) -> bool {
        self.requested_at.is_none() && now >= self.next_request_at
    }

    pub(crate) const fn record_request(&mut self, now: Millis, is_order: bool) {
        self.requested_at = Some(now);
        self.is_order_pending = is_order;
    }

    pub(crate) fn set_wanted(&mut self, wanted: &EngineLoadout, checks_fencing: bool) {
        if self.wanted != *wanted {
            self.next_request_at = Millis::ZERO;
        }
        self.wanted.clone_from(wanted);
        self.checks_fencing = checks_fencing;
    }

    /// Records a state that was read. If the engine did not follow an order, the order is repeated
    /// the next time the planner runs.
    pub(crate) fn record_state(&mut self, now: Millis, state: EngineState) {
        self.state = Some(state);
        self.requested_at = None;
        self.is_order_pending = false;
        self.consecutive_failures = 0;
        let wait = match self.load_status() {
            LoadStatus::Settled => SETTLED_READ_INTERVAL,
            LoadStatus::Loading | LoadStatus::LoadingOther => LOADING_READ_INTERVAL,
            LoadStatus::Mismatched | LoadStatus::Unknown => Millis::ZERO,
        };
        self.next_request_at = now + wait;
    }

    /// Schedules an immediate read, because the outcome of the order does not show the engine's
    /// state.
    pub(crate) fn schedule_read(&mut self, now: Millis) {
        self.state = None;
        self.requested_at = None;
        self.is_order_pending = false;
        self.next_request_at = now;
    }

    pub(crate) fn record_failure(&mut self, now: Millis) {
        self.requested_at = None;
        self.is_order_pending = false;
        self.state = None;
        let wait = INITIAL_BACKOFF.times(1 << self.consecutive_failures.min(MAX_DOUBLINGS));
        self.consecutive_failures += 1;
        self.next_request_at = now + wait.min(MAX_BACKOFF);
    }

    pub(crate) fn check_timeout(&mut self, now: Millis) {
        if self
            .requested_at
            .is_some_and(|at| now.since(at) >= REQUEST_TIMEOUT)
        {
            self.record_failure(now);
        }
    }

    /// Discards the state last read, because another host may have sent orders since.
    pub(crate) fn reset(&mut self) {
        self.state = None;
        self.requested_at = None;
        self.is_order_pending = false;
        self.consecutive_failures = 0;
        self.next_request_at = Millis::ZERO;
    }
}
