//! How long a request may wait before it is sent to a server.

use carawayseam_dispatch::{CallerTime, Work};
use carawayseam_types::Millis;

use super::exchange::Exchange;
use crate::shared::lock;

/// Multiple of the expected time after which a server that sends nothing is slower than servers differ.
const SILENCE_FACTOR: u64 = 3;
/// Time for which a sound server may pause.
const SOUND_SERVER_PAUSE: Millis = Millis(800);

impl Exchange {
    /// Returns when the caller leaves.
    pub(super) fn caller_time(&self) -> CallerTime {
        let caller = CallerTime::until(self.deadline);
        match self.route_match.route.max_event_gap {
            Some(gap) => caller.with_next_event_by(self.last_event_at + gap),
            None => caller,
        }
    }

    /// Returns the latest time at which the request can be sent and still be answered within its caller's time.
    pub(super) fn latest_start(&self) -> Millis {
        let job = self.job();
        let work = lock(&self.shared.dispatch).dispatcher.expected_work(&job);
        job.caller.latest_start(work)
    }

    /// Returns how long a server may be silent that is expected to send something within `expected`.
    ///
    /// Then it is late beyond a pause of a sound server, or another server, given as much time, could only just answer
    /// before the caller leaves. If that moment has passed, another server is of no use, and it may pause.
    pub(super) fn silence_limit(&self, expected: Millis) -> Millis {
        let paused = expected.times(SILENCE_FACTOR) + SOUND_SERVER_PAUSE;
        let job = self.job();
        let work = lock(&self.shared.dispatch).dispatcher.expected_work(&job);
        let elsewhere = Work {
            first_event: work.first_event.times(SILENCE_FACTOR),
            ..work
        };
        let latest_move = job.caller.latest_start(elsewhere).since(self.shared.now());
        if latest_move > expected.times(SILENCE_FACTOR) {
            paused.min(latest_move)
        } else {
            paused
        }
    }

    /// Returns the time for which a refusal still reaches the caller.
    pub(super) fn refusal_time_left(&self) -> Millis {
        self.caller_time().latest_response().since(self.shared.now())
    }
}
