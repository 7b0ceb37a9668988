//! How much load each server of a backend handles well, learned from the pace of its responses.
//!
//! The servers of one backend differ in speed, and some slow down before all their slots are used. Requests are
//! placed by what was learned only once the servers are seen to differ; alike servers are chosen as without it.

mod choice;
mod curve;
mod placement;
mod probes;
mod server;
mod shared;

use carawayseam_types::Millis;

pub(crate) use choice::{Offer, Queue, choose};
use curve::CommonCurve;
pub(crate) use placement::Place;
use placement::Placement;
pub(crate) use probes::{Probes, wants_probe};
pub use server::PaceEstimate;
pub(crate) use server::ServerCapacity;
pub use shared::{PaceReport, SampleMean};

/// The largest concurrency at which paces are told apart; a knee above it is not found.
const MAX_CONCURRENCY: usize = 64;
/// Shortest time between events or per prompt token that counts as a sample, in milliseconds.
const MIN_SAMPLE_MS: f64 = 1e-6;
/// Longest time between events or per prompt token that counts as a sample, in milliseconds; callers leave earlier.
const MAX_SAMPLE_MS: f64 = 10_000.0;
/// The largest number of samples for which the mean of one message counts, so that a host has a bounded influence.
const MAX_PEER_COUNT: u32 = 4;
/// Servers of one backend differ if, at one concurrency, the logarithm of the slowest one's pace exceeds that of the
/// fastest by this: it takes 1.5 times as long. The measured paces of alike servers vary by less.
const MIN_SPREAD: f64 = 0.4;

/// What one backend's servers have in common, as learned by this host.
#[derive(Debug, Default)]
pub(crate) struct BackendCapacity {
    curve: CommonCurve,
    pub(crate) probes: Probes,
}

impl BackendCapacity {
    /// Records the time between events, or per prompt token, on a server with this many running requests.
    ///
    /// Samples that no server can have caused change nothing.
    pub(crate) fn record(&mut self, now: Millis, server: &mut ServerCapacity, sample: Sample) {
        if sample.slots < 2 {
            return;
        }
        if let Some(log_ms) = checked_log(sample.event_ms) {
            server.record_event(now, &mut self.curve, sample, log_ms);
            server.pending.add(sample.concurrency, log_ms);
        }
    }

    /// Records samples of a peer, as the owner of the server's slots.
    pub(crate) fn record_peer(
        &mut self,
        now: Millis,
        server: &mut ServerCapacity,
        slots: u32,
        mean: SampleMean,
    ) {
        let sample = Sample {
            slots,
            concurrency: mean.concurrency,
            event_ms: mean.event_ms,
        };
        let Some(log_ms) = checked_log(sample.event_ms).filter(|_| slots > 1) else {
            return;
        };
        for _ in 0..mean.count.min(MAX_PEER_COUNT) {
            server.record_event(now, &mut self.curve, sample, log_ms);
        }
        if let Some(token_ms) = mean.token_ms {
            Self::record_token(server, token_ms);
        }
    }

    /// Records the time per prompt token on a server.
    pub(crate) fn record_token(server: &mut ServerCapacity, token_ms: f64) {
        if let Some(log_ms) = checked_log(token_ms) {
            server.record_token(log_ms);
        }
    }

    /// Returns how requests are placed on the servers, or `None` if too little is known or the servers are alike.
    pub(crate) fn placement<'a>(
        &self,
        now: Millis,
        servers: impl Iterator<Item = (&'a ServerCapacity, u32)>,
    ) -> Option<Placement> {
        let mut estimates: Vec<(PaceEstimate, u32)> = Vec::new();
        let mut fastest = [f64::INFINITY; MAX_CONCURRENCY];
        let mut slowest = [f64::NEG_INFINITY; MAX_CONCURRENCY];
        for (server, slots) in servers {
            estimates.extend(server.estimate(now, slots).map(|estimate| (estimate, slots)));
            for (ix, log_ms) in server.known_paces(now, &self.curve, slots) {
                fastest[ix] = fastest[ix].min(log_ms);
                slowest[ix] = slowest[ix].max(log_ms);
            }
        }
        // Paces at different concurrencies say nothing about a difference between servers.
        let mut ranges = fastest.iter().zip(&slowest);
        let differs = ranges.any(|(fastest, slowest)| slowest - fastest > MIN_SPREAD);
        let differs = differs && !estimates.is_empty();
        differs.then(|| Placement::new(now, &estimates, &self.curve))
    }
}

/// A measured time between events.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sample {
    /// The server's slots.
    pub(crate) slots: u32,
    /// Requests that ran on the server.
    pub(crate) concurrency: u32,
    /// The time between events of one request, in milliseconds.
    pub(crate) event_ms: f64,
}

/// Returns the logarithm of a sample, or `None` if it is not plausible.
fn checked_log(millis: f64) -> Option<f64> {
    (MIN_SAMPLE_MS..=MAX_SAMPLE_MS)
        .contains(&millis)
        .then(|| millis.ln())
}

/// Returns the index of a concurrency in a table of them.
fn index(concurrency: u32) -> usize {
    (concurrency.max(1) as usize).min(MAX_CONCURRENCY) - 1
}
