//! How long a request's caller waits, and by when the request has to start to be answered within that time.
//!
//! Each wait, refusal and rank of a request follows from these times and the work that is left. A latency objective is
//! none of them: it says when an answer is early, not when it is no longer wanted.

use carawayseam_types::Millis;

/// Time that a request takes from its caller to this host, and the response back.
const CALLER_TRANSIT: Millis = Millis(50);
/// Callers honour a retry delay up to the remaining time divided by this, as the protocol promises.
const HONOURED_RETRY_DIVISOR: u64 = 3;

/// The expected duration of a request on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// Time to the first event, or to a plain response.
    pub first_event: Millis,
    /// Time to the end of the response.
    pub total: Millis,
}

/// The times at which a request's caller leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerTime {
    /// When the caller leaves if the response is not complete: at its own limit or the operator's, whichever is sooner.
    deadline: Millis,
    /// When the caller of a stream leaves if it has received no further event.
    next_event_by: Millis,
}

impl CallerTime {
    /// Creates the times of a caller that waits for the complete response until `deadline`.
    #[must_use]
    pub const fn until(deadline: Millis) -> Self {
        Self {
            deadline,
            next_event_by: deadline,
        }
    }

    /// Returns the times of a caller that also leaves if it has received no further event by `next_event_by`.
    #[must_use]
    pub fn with_next_event_by(self, next_event_by: Millis) -> Self {
        Self {
            next_event_by: next_event_by.min(self.deadline),
            ..self
        }
    }

    /// Returns the latest time at which a response or its next event can be sent and still reaches the caller.
    #[must_use]
    pub fn latest_response(self) -> Millis {
        self.next_event_by - CALLER_TRANSIT
    }

    /// Returns the latest time at which the request can start and still be answered completely.
    #[must_use]
    pub fn latest_start(self, work: Work) -> Millis {
        let for_next_event = self.next_event_by - work.first_event;
        let for_end = self.deadline - work.total;
        for_next_event.min(for_end) - CALLER_TRANSIT
    }

    /// Returns the time until which the caller of a refused request waits before it sends the request again.
    ///
    /// A caller that is told a later time does not return.
    #[must_use]
    pub fn latest_return(self, now: Millis) -> Millis {
        now + Millis(self.deadline.since(now).0 / HONOURED_RETRY_DIVISOR)
    }

    /// Returns the time that is left for the complete response.
    #[must_use]
    pub const fn time_left(self, now: Millis) -> Millis {
        self.deadline.since(now)
    }
}
