//! How long a request may wait before it is sent to a server.

use carawayseam_dispatch::catalog::Route;
use carawayseam_dispatch::{CallerTime, Work};
use carawayseam_types::Millis;
use tokio::time::Instant;

use super::exchange::Exchange;
use crate::shared::lock;

/// Multiple of the expected time after which a server that sends nothing is slower than servers differ.
const SILENCE_FACTOR: u64 = 3;
/// Time for which a sound server may pause.
const SOUND_SERVER_PAUSE: Millis = Millis(800);

/// Longer than any request.
const FAR_AWAY: Millis = Millis::from_secs(365 * 24 * 60 * 60);

/// Returns the time in `span` from now, or one far away if it cannot be represented.
pub(super) fn instant_after(span: Millis) -> Instant {
    let now = Instant::now();
    now.checked_add(span.to_duration())
        .unwrap_or(now + FAR_AWAY.to_duration())
}

/// Returns when the caller of a route leaves, if it was last sent an event, or sent its request, at `last_event_at`.
pub(super) fn caller_time(route: &Route, deadline: Millis, last_event_at: Millis) -> CallerTime {
    let caller = CallerTime::until(deadline);
    match route.max_event_gap {
        Some(gap) => caller.with_next_event_by(last_event_at + gap),
        None => caller,
    }
}

impl Exchange {
    /// Returns when the caller leaves.
    pub(super) fn caller_time(&self) -> CallerTime {
        caller_time(&self.route_match.route, self.deadline, self.last_event_at)
    }

    /// Returns the expected duration of the rest of the request on a server of its backend.
    fn expected_work(&self) -> Work {
        let prompt = self.head.prompt.as_ref().map_or(0, |prompt| prompt.tokens);
        let dispatcher = &lock(&self.shared.dispatch).dispatcher;
        dispatcher.expected_work(&self.backend, prompt, self.expected_events())
    }

    /// Returns the latest time at which the request can be sent and still be answered within its caller's time.
    pub(super) fn latest_start(&self) -> Millis {
        self.caller_time().latest_start(self.expected_work())
    }

    /// Returns how long a server may be silent that is expected to send something within `expected`.
    ///
    /// Then it is late beyond a pause of a sound server, or another server, given as much time, could only just answer
    /// before the caller leaves. If that moment has passed, another server is of no use, and it may pause.
    pub(super) fn silence_limit(&self, expected: Millis) -> Millis {
        let paused = expected.times(SILENCE_FACTOR) + SOUND_SERVER_PAUSE;
        let work = self.expected_work();
        let elsewhere = Work {
            first_event: work.first_event.times(SILENCE_FACTOR),
            ..work
        };
        let latest_move = self
            .caller_time()
            .latest_start(elsewhere)
            .since(self.shared.now());
        if latest_move > expected.times(SILENCE_FACTOR) {
            paused.min(latest_move)
        } else {
            paused
        }
    }

    /// Returns when a place at a server is expected, for a caller whose request did not run.
    pub(super) fn retry_delay(&self) -> Millis {
        let job = self.job();
        let dispatcher = &mut lock(&self.shared.dispatch).dispatcher;
        dispatcher.retry_delay(self.shared.now(), &job)
    }

    /// Returns until when a response waits for room in this host's memory.
    pub(super) fn room_by(&self) -> Instant {
        instant_after(self.refusal_time_left())
    }

    /// Returns the time for which a refusal still reaches the caller.
    pub(super) fn refusal_time_left(&self) -> Millis {
        self.caller_time().latest_response().since(self.shared.now())
    }
}
