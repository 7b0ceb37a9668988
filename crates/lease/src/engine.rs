//! One engine as the planner sees it.

use carawayseam_external::engine::{EngineLoadout, EngineState};
use carawayseam_types::Millis;

/// The wait after a first failed order or reading; it doubles with each.
const BACKOFF: Millis = Millis(500);
/// The longest such wait.
const BACKOFF_LIMIT: Millis = Millis(10_000);
/// Doublings after which the wait stands at its limit anyway.
const MAX_DOUBLINGS: u32 = 10;
/// How often an engine that loads is read.
const LOADING_PERIOD: Millis = Millis(1_000);
/// How often an engine in its wanted state is read.
const SETTLED_PERIOD: Millis = Millis(30_000);
/// An order or reading unanswered for this long has failed.
const ANSWER_TIMEOUT: Millis = Millis(10_000);

/// How an engine stands to its wanted state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Not read since this host holds the lease.
    Unknown,
    /// It loads the wanted state.
    Loading,
    /// It loads something else.
    LoadingOther,
    /// It serves the wanted state.
    Settled,
    /// It serves something else, or nothing.
    Astray,
}

/// An engine, its wanted state and what was read of it.
#[derive(Debug)]
pub(crate) struct Tracked {
    pub(crate) wanted: EngineLoadout,
    pub(crate) checks_fencing: bool,
    state: Option<EngineState>,
    asked_at: Option<Millis>,
    is_order_under_way: bool,
    failures: u32,
    next_at: Millis,
}

impl Tracked {
    pub(crate) const fn new(wanted: EngineLoadout, checks_fencing: bool) -> Self {
        Self {
            wanted,
            checks_fencing,
            state: None,
            asked_at: None,
            is_order_under_way: false,
            failures: 0,
            next_at: Millis::ZERO,
        }
    }

    pub(crate) fn standing(&self) -> Standing {
        let Some(state) = &self.state else {
            return Standing::Unknown;
        };
        match (&state.loading, &state.loaded) {
            (Some(loading), _) if *loading == self.wanted => Standing::Loading,
            (Some(_), _) => Standing::LoadingOther,
            (None, Some(loaded)) if *loaded == self.wanted => Standing::Settled,
            (None, _) => Standing::Astray,
        }
    }

    /// Whether it takes from the weight store's rate, or may do so.
    pub(crate) fn is_loading(&self) -> bool {
        self.is_order_under_way || matches!(self.standing(), Standing::Loading | Standing::LoadingOther)
    }

    /// Whether it was read, or could not be, since this host holds the lease.
    pub(crate) const fn is_surveyed(&self) -> bool {
        self.state.is_some() || self.failures > 0 || self.is_order_under_way
    }

    pub(crate) const fn is_reachable(&self) -> bool {
        self.failures == 0
    }

    pub(crate) const fn is_being_read(&self) -> bool {
        self.asked_at.is_some() && !self.is_order_under_way
    }

    /// Whether it may be asked for anything now.
    pub(crate) fn is_due(&self, now: Millis) -> bool {
        self.asked_at.is_none() && now >= self.next_at
    }

    pub(crate) const fn asked(&mut self, now: Millis, is_order: bool) {
        self.asked_at = Some(now);
        self.is_order_under_way = is_order;
    }

    pub(crate) fn want(&mut self, wanted: &EngineLoadout, checks_fencing: bool) {
        if self.wanted != *wanted {
            self.next_at = Millis::ZERO;
        }
        self.wanted.clone_from(wanted);
        self.checks_fencing = checks_fencing;
    }

    /// Takes what was read; an order that was not followed is repeated at the next turn.
    pub(crate) fn read(&mut self, now: Millis, state: EngineState) {
        self.state = Some(state);
        self.asked_at = None;
        self.is_order_under_way = false;
        self.failures = 0;
        let wait = match self.standing() {
            Standing::Settled => SETTLED_PERIOD,
            Standing::Loading | Standing::LoadingOther => LOADING_PERIOD,
            Standing::Astray | Standing::Unknown => Millis::ZERO,
        };
        self.next_at = now + wait;
    }

    /// Reads the state again soon, because an order's answer tells too little.
    pub(crate) fn read_again(&mut self, now: Millis) {
        self.state = None;
        self.asked_at = None;
        self.is_order_under_way = false;
        self.next_at = now;
    }

    pub(crate) fn failed(&mut self, now: Millis) {
        self.asked_at = None;
        self.is_order_under_way = false;
        self.state = None;
        let wait = BACKOFF.times(1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        self.next_at = now + wait.min(BACKOFF_LIMIT);
    }

    pub(crate) fn time_out(&mut self, now: Millis) {
        if self.asked_at.is_some_and(|at| now.since(at) >= ANSWER_TIMEOUT) {
            self.failed(now);
        }
    }

    /// Forgets what was read, because another host may have given orders since.
    pub(crate) fn forget(&mut self) {
        self.state = None;
        self.asked_at = None;
        self.is_order_under_way = false;
        self.failures = 0;
        self.next_at = Millis::ZERO;
    }
}
