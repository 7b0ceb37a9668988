//! Failures of one engine, its pauses and its return.

use carawayseam_types::Millis;

/// Failures in a row after which an engine is paused.
const FAILURES_TO_EJECT: u32 = 3;
/// Connections refused in a row after which an engine is paused: nobody listens there.
const REFUSED_CONNECTIONS_TO_EJECT: u32 = 2;
const FIRST_PAUSE: Millis = Millis::from_secs(1);
const LONGEST_PAUSE: Millis = Millis::from_secs(30);
/// A pause doubles with each ejection that follows within this time of the last return.
const MEMORY: Millis = Millis::from_secs(60);
/// The pause of an engine that the ceiling keeps in service.
pub(crate) const PROBE_PAUSE: Millis = Millis(500);
/// Connections that break together within this time are one failure.
const SAME_FAILURE: Millis = Millis(100);
const MAX_DOUBLINGS: u32 = 5;

/// One engine's failures.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outlier {
    in_a_row: u32,
    unsent_in_a_row: u32,
    failed_at: Millis,
    ejections: u32,
    returned_at: Millis,
    /// When the pause ends; zero when there is none.
    pub(crate) paused_until: Millis,
    /// Whether the pause counts against the ceiling.
    pub(crate) ejected: bool,
}

impl Outlier {
    pub(crate) const fn on_success(&mut self) {
        self.in_a_row = 0;
        self.unsent_in_a_row = 0;
    }

    /// Counts a failure; true if the engine should be paused.
    pub(crate) fn on_failure(&mut self, now: Millis) -> bool {
        if now.since(self.failed_at) >= SAME_FAILURE || self.failed_at == Millis::ZERO {
            self.in_a_row += 1;
        }
        self.failed_at = now;
        self.in_a_row >= FAILURES_TO_EJECT
    }

    /// Counts a refused connection; true if the engine should be paused.
    pub(crate) const fn on_not_sent(&mut self) -> bool {
        self.unsent_in_a_row += 1;
        self.unsent_in_a_row >= REFUSED_CONNECTIONS_TO_EJECT
    }

    /// Takes back a failure whose cause was the request.
    pub(crate) const fn forgive(&mut self) {
        self.in_a_row = self.in_a_row.saturating_sub(1);
    }

    pub(crate) fn next_pause(&self) -> Millis {
        let pause = FIRST_PAUSE.times(1 << self.ejections.min(MAX_DOUBLINGS));
        pause.min(LONGEST_PAUSE)
    }

    pub(crate) fn eject(&mut self, now: Millis, pause: Millis) {
        if now.since(self.returned_at) > MEMORY {
            self.ejections = 0;
        }
        self.ejections += 1;
        self.ejected = true;
        self.paused_until = now + pause;
    }

    /// Stops work for a short time without counting an ejection.
    pub(crate) fn pause(&mut self, until: Millis) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Ends the pause, if it is over; true if it was an ejection.
    pub(crate) fn readmit(&mut self, now: Millis) -> bool {
        let was_ejected = self.ejected;
        self.paused_until = Millis::ZERO;
        self.ejected = false;
        self.unsent_in_a_row = 0;
        // One more failure after the return is enough to pause again.
        self.in_a_row = self.in_a_row.min(FAILURES_TO_EJECT - 1);
        self.returned_at = now;
        was_ejected
    }

    pub(crate) const fn is_paused(&self) -> bool {
        self.paused_until.0 > 0
    }
}
