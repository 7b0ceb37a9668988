//! Requests that find out whether a slow server has recovered.

use carawayseam_types::Millis;

use super::Place;

/// One in this many requests of a backend may go to a slow server to measure it. The bound is one in twenty.
const REQUESTS_PER_PROBE: u32 = 25;
/// Time without samples after which a slow server is measured.
const SAMPLE_TTL: Millis = Millis(500);
/// Time without samples after which a slow server is measured even with a request that is expected to end late
/// there; without that, a server that was very slow would never be used again.
const LONG_SAMPLE_TTL: Millis = Millis::from_secs(5);
/// Slowness, relative to a typical server, from which a server has to be measured.
const SLOW: f64 = 2.0;

/// The requests of one backend since the last one that measured a slow server.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    requests: u32,
}

impl Probes {
    /// Counts a request that is placed.
    pub(crate) const fn record_request(&mut self) {
        self.requests = self.requests.saturating_add(1);
    }

    /// Counts the request that measures a slow server.
    pub(crate) const fn record_probe(&mut self) {
        self.requests = 0;
    }

    /// Returns whether the next request may measure a slow server.
    pub(crate) const fn is_due(&self) -> bool {
        self.requests + 1 >= REQUESTS_PER_PROBE
    }
}

/// Returns whether a server that runs nothing of this host has to be measured, with a request of a number of `tokens`
/// to read and of `events`.
pub(crate) fn wants_probe(
    now: Millis,
    place: &Place,
    sampled_at: Millis,
    tokens: f64,
    events: u32,
    time_left: Millis,
) -> bool {
    let age = now.since(sampled_at);
    let total_ms = f64::from(events).mul_add(place.pace.event, place.pace.first_event_ms(tokens));
    let fits = total_ms < time_left.0 as f64;
    place.slowness >= SLOW && age >= SAMPLE_TTL && (fits || age >= LONG_SAMPLE_TTL)
}
