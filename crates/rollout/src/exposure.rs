//! How much of a route's traffic the new version may get.

use carawayseam_types::{Digest, Permille};

use crate::{Phase, RolloutRecord, VersionCounts};

/// Dispatches of a route over all hosts in the first, small share.
const FIRST_EXPOSURE: u64 = 24;
/// Dispatches of a route that may be out before any came back.
const FIRST_IN_FLIGHT: u64 = 8;
/// Answers on idempotent routes before the others get anything.
const SHOWN_GOOD: u64 = 8;
/// From this share on the others get something even if idempotent routes have no callers.
const UNPROVED_SHARE: Permille = Permille::new(250);
/// The part of the share that routes get whose calls may not be repeated.
const UNREPEATABLE_PART: f64 = 0.5;

/// What is known when a route's share is decided.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RouteView {
    /// Whether calls of the route may be repeated.
    pub idempotent: bool,
    /// Whether the backend has other routes that are idempotent.
    pub has_idempotent_routes: bool,
    /// Answers of the new version on idempotent routes, over all hosts.
    pub idempotent_responses: u64,
}

/// The fraction of a route's requests that go to the new version.
pub(crate) fn fraction(record: &RolloutRecord, view: RouteView) -> f64 {
    let share = record.share.as_fraction();
    match view {
        _ if matches!(record.phase, Phase::Whole | Phase::Finished) => 1.0,
        view if view.idempotent => share,
        view if !view.has_idempotent_routes => share * UNREPEATABLE_PART,
        _ if record.phase == Phase::Canary => 0.0,
        view if view.idempotent_responses >= SHOWN_GOOD => share * UNREPEATABLE_PART,
        _ if record.share >= UNPROVED_SHARE => share * UNREPEATABLE_PART,
        _ => 0.0,
    }
}

/// Whether a further dispatch keeps the bounds that are counts, not shares.
///
/// Dispatches that are out may at most double what came back, so a version
/// that answers nothing gets a handful of requests and no more.
pub(crate) fn within_counts(phase: Phase, counts: &VersionCounts, in_flight: u64) -> bool {
    let first_is_full = phase == Phase::Canary && counts.dispatched >= FIRST_EXPOSURE;
    !first_is_full && in_flight < FIRST_IN_FLIGHT.saturating_add(counts.judged())
}

/// Draws a number from 0 to 1 for a request.
///
/// The number of the pick goes in beside the content, so that a request
/// that is sent again does not always meet the same version.
pub(crate) fn draw(seed: u64, content: Digest, number: u64) -> f64 {
    let folded = (content.0 as u64) ^ ((content.0 >> u64::BITS) as u64);
    let mixed = mix(folded ^ mix(seed ^ mix(number)));
    (mixed >> (u64::BITS - f64::MANTISSA_DIGITS)) as f64 / (1_u64 << f64::MANTISSA_DIGITS) as f64
}

/// The finishing step of a common 64-bit hash.
const fn mix(bits: u64) -> u64 {
    let bits = bits.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
