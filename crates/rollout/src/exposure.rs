//! Limits how much of a route's traffic the new version gets.

use carawayseam_types::{Digest, Permille};

use crate::{Phase, RolloutRecord, VersionCounts};

/// The most dispatches of a route during the canary phase, over all hosts.
const MAX_CANARY_DISPATCHES: u64 = 24;
/// The most dispatches of a route in flight before any has ended.
const MAX_UNPROVEN_IN_FLIGHT: u64 = 8;
/// The responses needed on idempotent routes before other routes get traffic.
const MIN_IDEMPOTENT_RESPONSES: u64 = 8;
/// From this share on, other routes get traffic even if idempotent routes have no callers.
const MIN_UNPROVEN_SHARE: Permille = Permille::new(250);
/// The fraction of the share that non-idempotent routes get.
const NON_IDEMPOTENT_FRACTION: f64 = 0.5;

/// The inputs for deciding a route's share.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RouteView {
    /// Whether the route is idempotent.
    pub idempotent: bool,
    /// Whether the backend has other routes that are idempotent.
    pub has_idempotent_routes: bool,
    /// Responses of the new version on idempotent routes, over all hosts.
    pub idempotent_responses: u64,
}

/// Returns the fraction of a route's requests that go to the new version.
pub(crate) fn fraction(record: &RolloutRecord, view: RouteView) -> f64 {
    let share = record.share.as_fraction();
    match view {
        _ if matches!(record.phase, Phase::Whole | Phase::Finished) => 1.0,
        view if view.idempotent => share,
        view if !view.has_idempotent_routes => share * NON_IDEMPOTENT_FRACTION,
        _ if record.phase == Phase::Canary => 0.0,
        view if view.idempotent_responses >= MIN_IDEMPOTENT_RESPONSES => share * NON_IDEMPOTENT_FRACTION,
        _ if record.share >= MIN_UNPROVEN_SHARE => share * NON_IDEMPOTENT_FRACTION,
        _ => 0.0,
    }
}

/// Returns whether a further dispatch stays within the absolute limits.
///
/// Beyond the first `MAX_UNPROVEN_IN_FLIGHT`, at most as many dispatches may be in
/// flight as attempts were judged, so a version that never responds gets only a
/// few requests.
pub(crate) fn within_counts(phase: Phase, counts: &VersionCounts, in_flight: u64) -> bool {
    let canary_is_full = phase == Phase::Canary && counts.dispatched >= MAX_CANARY_DISPATCHES;
    !canary_is_full && in_flight < MAX_UNPROVEN_IN_FLIGHT.saturating_add(counts.judged())
}

/// Returns a pseudo-random number from 0 to 1 for a request.
///
/// The hash covers the number of the pick in addition to the content, so that
/// a retried request does not always get the same version.
pub(crate) fn draw(seed: u64, content: Digest, number: u64) -> f64 {
    let folded = (content.0 as u64) ^ ((content.0 >> u64::BITS) as u64);
    let mixed = mix(folded ^ mix(seed ^ mix(number)));
    (mixed >> (u64::BITS - f64::MANTISSA_DIGITS)) as f64 / (1_u64 << f64::MANTISSA_DIGITS) as f64
}

/// The `SplitMix64` finalizer.
const fn mix(bits: u64) -> u64 {
    let bits = bits.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
