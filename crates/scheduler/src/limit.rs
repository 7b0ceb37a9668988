//! The adaptive concurrency limit of one engine.

use carawayseam_types::Millis;

/// The weight of a new token gap in the smoothed one.
const GAP_WEIGHT: f64 = 0.1;
/// The shortest gap creeps up by this part with each step, so that it follows a slower engine.
const BASE_CREEP: f64 = 0.001;
/// Gaps below this multiple of the shortest one leave room for more requests.
const ROOM: f64 = 1.3;
/// Gaps above this multiple of the shortest one show that requests only share the same speed.
const CROWDED: f64 = 1.7;
/// The limit moves by one at most this often.
const STEP_PAUSE: Millis = Millis(500);
/// The limit of an engine about which nothing is known.
const START: f64 = 8.0;
/// The limit of an engine that returns from a failure.
const SLOW_START: f64 = 2.0;
/// The part of the limit that stays after a refusal or a silence.
const CUT: f64 = 0.7;
/// At most one cut in so long, because one overload shows in many answers.
const CUT_PAUSE: Millis = Millis(500);

/// Follows the concurrency beyond which requests slow each other down.
///
/// Beyond that point a request waits better here than at the engine, since
/// only here do tiers and deadlines order it.
#[derive(Debug, Clone)]
pub(crate) struct Limit {
    current: f64,
    max: f64,
    /// The shortest gap between tokens seen lately, in milliseconds; 0 before the first.
    base_gap: f64,
    gap: f64,
    stepped_at: Millis,
    cut_at: Millis,
}

impl Limit {
    pub(crate) fn new(max: u32) -> Self {
        let max = f64::from(max.max(1));
        Self {
            current: START.min(max),
            max,
            base_gap: 0.0,
            gap: 0.0,
            stepped_at: Millis::ZERO,
            cut_at: Millis::ZERO,
        }
    }

    pub(crate) const fn get(&self) -> u32 {
        self.current as u32
    }

    pub(crate) const fn max(&self) -> u32 {
        self.max as u32
    }

    /// Takes a new ceiling from the document.
    pub(crate) fn set_max(&mut self, max: u32) {
        self.max = f64::from(max.max(1));
        self.current = self.current.min(self.max);
    }

    /// Starts again from a little work; each answer then raises the limit by one.
    pub(crate) fn slow_start(&mut self) {
        self.current = SLOW_START.min(self.max);
    }

    /// A whole answer came while `running` requests shared the engine.
    pub(crate) fn on_success(&mut self, running: u32) {
        if self.current < START && f64::from(running) + 1.0 >= self.current {
            self.current = (self.current + 1.0).min(self.max);
        }
    }

    /// One of `running` requests got its tokens `gap` milliseconds apart.
    pub(crate) fn on_gap(&mut self, now: Millis, running: u32, gap: f64) {
        if self.base_gap == 0.0 {
            self.base_gap = gap;
            self.gap = gap;
        }
        self.base_gap = self.base_gap.min(gap);
        self.gap += GAP_WEIGHT * (gap - self.gap);
        if now.since(self.stepped_at) < STEP_PAUSE {
            return;
        }
        self.stepped_at = now;
        self.base_gap *= 1.0 + BASE_CREEP;
        let running = f64::from(running);
        let is_full = running + 1.0 >= self.current;
        self.current = match self.gap / self.base_gap {
            // Requests that share one speed are as many as the gap grew; more than the limit may
            // run for a while, and the limit must not pay for those.
            ratio if ratio > CROWDED => (self.current - 1.0).max((running / ratio).min(self.current)),
            ratio if ratio < ROOM && is_full => self.current + 1.0,
            _ => self.current,
        };
        self.current = self.current.clamp(1.0, self.max);
    }

    /// The engine refused or fell silent.
    pub(crate) fn cut(&mut self, now: Millis) {
        if now.since(self.cut_at) >= CUT_PAUSE {
            self.cut_at = now;
            self.current = (self.current * CUT).max(1.0);
        }
    }
}
