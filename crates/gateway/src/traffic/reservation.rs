//! What an attempt holds at its backend server, and what its end says about the server's version.

use std::sync::Arc;

use carawayseam_dispatch::pace::ResponseTime;
use carawayseam_dispatch::rollouts::{ResponseOutcome, ResponseSource};
use carawayseam_dispatch::{AttemptEnd, Ticket};
use carawayseam_types::{Millis, RequestRate};

use super::rate_limits::Permit;
use super::slots::RemoteSlot;
use crate::shared::{Assignment, Shared, lock};

/// A first event or plain response counts as slow after this multiple of the expected time plus the margin.
const SLOW_FACTOR: u64 = 4;
const SLOW_MARGIN: Millis = Millis(150);

/// The number of events after which it is checked whether a stream is very slow.
const EVENTS_PER_PACE_CHECK: u32 = 4;

/// The version that an attempt was assigned to, and the data to rate its response time.
#[derive(Debug)]
struct AssignedVersion {
    source: ResponseSource,
    at: Millis,
    expected: Millis,
    typical_first_event_ms: f64,
    typical_event_ms: f64,
    events: u32,
    is_slow: bool,
    /// Whether the time of the response was counted before its end.
    is_pace_recorded: bool,
}

impl AssignedVersion {
    fn response_time(&self, now: Millis) -> ResponseTime {
        ResponseTime {
            elapsed: now.since(self.at),
            first_event_ms: self.typical_first_event_ms,
            event_ms: self.typical_event_ms,
            events: self.events,
        }
    }
}

/// A request's slot at a backend server, released on drop.
#[derive(Debug)]
pub(crate) struct Slot {
    shared: Arc<Shared>,
    ticket: Ticket,
    assigned: Option<AssignedVersion>,
    remote: Option<RemoteSlot>,
    permit: Option<Permit>,
    ended: bool,
}

impl Slot {
    pub(crate) const fn new(shared: Arc<Shared>, ticket: Ticket) -> Self {
        Self {
            shared,
            ticket,
            assigned: None,
            remote: None,
            permit: None,
            ended: false,
        }
    }

    pub(crate) const fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// Records the server to which the request is sent.
    pub(crate) fn assign(&mut self, source: ResponseSource, assignment: &Assignment) {
        self.assigned = Some(AssignedVersion {
            source,
            at: self.shared.now(),
            expected: assignment.expected_first_event,
            typical_first_event_ms: assignment.typical_first_event_ms,
            typical_event_ms: assignment.typical_event_ms,
            events: 0,
            is_slow: false,
            is_pace_recorded: false,
        });
    }

    /// Stores the slot held at the host that owns the server's slots, if that is another host.
    pub(super) fn set_remote_slot(&mut self, remote_slot: Option<RemoteSlot>) {
        self.remote = remote_slot;
    }

    /// Stores the permit to send the request, if the server has a rate limit.
    pub(super) fn set_permit(&mut self, permit: Option<Permit>) {
        self.permit = permit;
    }

    /// Returns the rate limit of the server, if the request needed a permit.
    pub(super) fn rate_limit(&self) -> Option<RequestRate> {
        self.permit.as_ref().map(Permit::limit)
    }

    /// Returns the permit, because the request is not sent.
    pub(super) fn refund_permit(&mut self) {
        if let Some(permit) = self.permit.take() {
            permit.refund(&self.shared);
        }
    }

    fn release(&mut self) {
        if let Some(remote_slot) = self.remote.take() {
            remote_slot.release(&self.shared);
        }
    }

    /// Records that the first event or a plain response was received.
    pub(crate) fn record_first_event(&mut self) {
        let now = self.shared.now();
        if let Some(assigned) = &mut self.assigned {
            let slow_after = assigned.expected.times(SLOW_FACTOR) + SLOW_MARGIN;
            assigned.is_slow = now.since(assigned.at) > slow_after;
        }
        lock(&self.shared.dispatch)
            .dispatcher
            .record_first_event(now, self.ticket);
    }

    /// Records that a stream's events were received.
    pub(crate) fn record_events(&mut self, count: u32) {
        let Some(assigned) = &mut self.assigned else {
            return;
        };
        let checks_before = assigned.events / EVENTS_PER_PACE_CHECK;
        assigned.events += count;
        if assigned.events / EVENTS_PER_PACE_CHECK > checks_before {
            self.record_unfinished_pace();
        }
    }

    pub(crate) fn end(mut self, end: AttemptEnd) {
        self.ended = true;
        self.record_version_outcome(end);
        match end {
            AttemptEnd::Complete => self.record_pace(),
            AttemptEnd::Cancelled => self.record_unfinished_pace(),
            // Other ends are failures, or say nothing about the version's pace.
            _ => {}
        }
        self.release();
        lock(&self.shared.dispatch).end_attempt(self.shared.now(), self.ticket, end);
    }

    /// Records the attempt as a success or failure of its version, if its end depends on the version.
    fn record_version_outcome(&self, end: AttemptEnd) {
        let Some(assigned) = &self.assigned else {
            return;
        };
        let outcome = match end {
            AttemptEnd::Complete if assigned.is_slow => ResponseOutcome::Late,
            AttemptEnd::Complete => ResponseOutcome::Good,
            AttemptEnd::Failed | AttemptEnd::Unresponsive => ResponseOutcome::Failed,
            AttemptEnd::ConnectionLost => ResponseOutcome::Lost,
            AttemptEnd::Unreachable
            | AttemptEnd::Rejected
            | AttemptEnd::NoSlot
            | AttemptEnd::RateLimited
            | AttemptEnd::Misdirected
            | AttemptEnd::RelayFailed
            | AttemptEnd::LocalOverload
            | AttemptEnd::LinkLost
            | AttemptEnd::Cancelled => return,
        };
        let now = self.shared.now();
        lock(&self.shared.rollouts).record_response(now, &assigned.source, outcome);
    }

    /// Records how long the complete response of the version took.
    fn record_pace(&self) {
        let assigned = self.assigned.as_ref();
        if let Some(assigned) = assigned.filter(|assigned| !assigned.is_pace_recorded) {
            let time = assigned.response_time(self.shared.now());
            let mut rollouts = lock(&self.shared.rollouts);
            rollouts.record_pace(&assigned.source, time);
        }
    }

    /// Records how long the unfinished response of the version takes if it is very slow already; its caller
    /// may not wait for its end.
    fn record_unfinished_pace(&mut self) {
        let assigned = self.assigned.as_mut();
        if let Some(assigned) = assigned.filter(|assigned| !assigned.is_pace_recorded) {
            let time = assigned.response_time(self.shared.now());
            let mut rollouts = lock(&self.shared.rollouts);
            assigned.is_pace_recorded = rollouts.record_unfinished_pace(&assigned.source, time);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.ended {
            // An attempt that was not assigned to a server was not sent.
            if self.assigned.is_none() {
                self.refund_permit();
            }
            self.record_unfinished_pace();
            self.release();
            lock(&self.shared.dispatch).cancel(self.shared.now(), self.ticket);
        }
    }
}
