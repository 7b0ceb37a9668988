//! Where a request is expected to complete soonest, with the load spread by what the servers handle.

use carawayseam_types::Millis;

use super::server::{PaceEstimate, shape};
use super::{CommonCurve, ServerCapacity};
use crate::speed::Pace;

/// Weight of the sum of the expected times of the first and the last event against the relative load. It lets the fastest servers take at
/// most about a fifth more than their share by speed.
const COMPLETION_WEIGHT: f64 = 0.05;
/// The part of the new request that counts as load, so that servers with a small capacity, of which each request is a
/// large part, are neither preferred nor avoided. With half of it they got up to 1.23 times the mean load.
const NEW_REQUEST_SHARE: f64 = 0.75;
/// Servers whose score is within this share of a typical request's duration are chosen from at random.
const TOLERANCE: f64 = 0.04;

/// How requests are placed on the servers of a backend that differ.
#[derive(Debug)]
pub(crate) struct Placement {
    now: Millis,
    curve: CommonCurve,
    /// The typical time between events of a single request, in milliseconds.
    typical_event_ms: f64,
}

/// What is expected of a request on one server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Place {
    /// The server's pace with this request.
    pub(crate) pace: Pace,
    /// The number of requests that the server handles well.
    pub(crate) soft_capacity: u32,
    /// The time between events relative to the typical server's.
    pub(crate) slowness: f64,
    /// The time between events of a single request on a typical server, in milliseconds.
    pub(crate) typical_event_ms: f64,
}

impl Placement {
    pub(super) fn new(now: Millis, estimates: &[(PaceEstimate, u32)], curve: &CommonCurve) -> Self {
        let mut event_ms: Vec<f64> = estimates.iter().map(|(estimate, _)| estimate.event_ms).collect();
        event_ms.sort_by(f64::total_cmp);
        Self {
            now,
            curve: *curve,
            typical_event_ms: event_ms[event_ms.len() / 2],
        }
    }

    /// Returns what is expected of one more request on a server on which `used` run; an unknown server counts as a
    /// typical one.
    pub(crate) fn place(&self, server: &ServerCapacity, slots: u32, used: u32, baseline: &Pace) -> Place {
        let estimate = server.estimate(self.now, slots).unwrap_or(PaceEstimate {
            event_ms: self.typical_event_ms,
            knee: slots,
            soft_capacity: slots.max(1),
            samples: 0,
        });
        let event_ms = estimate.event_ms;
        let slowness = event_ms / self.typical_event_ms;
        let concurrency = used.saturating_add(1);
        Place {
            pace: Pace {
                token: server.token_ms().unwrap_or(baseline.token * slowness),
                event: event_ms * shape(&self.curve, estimate.knee, concurrency).exp(),
                base: baseline.base * slowness,
            },
            soft_capacity: estimate.soft_capacity,
            slowness,
            typical_event_ms: self.typical_event_ms,
        }
    }
}

impl Place {
    /// Returns the score of the server; lower is better.
    pub(crate) fn score(&self, tokens: f64, events: u32, used: f64, typical_ms: f64) -> f64 {
        let first_event_ms = self.pace.first_event_ms(tokens);
        let total_ms = f64::from(events).mul_add(self.pace.event, first_event_ms);
        let relative_load = (used + NEW_REQUEST_SHARE) / f64::from(self.soft_capacity);
        let completion = (total_ms + first_event_ms) * COMPLETION_WEIGHT;
        relative_load.mul_add(typical_ms, completion)
    }

    /// Returns the expected duration of a request, beside those that run or alone on the server.
    pub(crate) fn total_ms(&self, prompt: u32, events: u32, is_alone: bool) -> f64 {
        let event_ms = if is_alone {
            self.slowness * self.typical_event_ms
        } else {
            self.pace.event
        };
        f64::from(events).mul_add(event_ms, self.pace.first_event_ms(f64::from(prompt)))
    }

    /// Returns the difference of scores within which servers are chosen from at random.
    pub(crate) fn tolerance_ms(typical_ms: f64) -> f64 {
        typical_ms * TOLERANCE
    }
}
