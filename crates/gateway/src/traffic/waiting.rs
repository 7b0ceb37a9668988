//! How long a request may wait before it is sent to a server.

use carawayseam_dispatch::CallerTime;
use carawayseam_types::Millis;

use super::exchange::Exchange;
use crate::shared::lock;

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

    /// Returns the time for which a refusal still reaches the caller.
    pub(super) fn refusal_time_left(&self) -> Millis {
        self.caller_time().latest_response().since(self.shared.now())
    }
}
