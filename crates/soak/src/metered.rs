//! An organisation with a quota, whose callers ask for several times as much.

use std::collections::VecDeque;

use carawayseam_platform_standins::documents::MeteredOrganisation;
use carawayseam_platform_standins::harness::QUOTA_TOLERANCE_TOKENS;
use carawayseam_types::Millis;

/// The number under which the ledger knows the organisation's key.
pub const METERED_KEY: usize = usize::MAX;
/// The organisation's key.
pub(crate) const KEY: &str = "key-metered";
/// The quota counts in windows of this length.
const WINDOW: Millis = Millis(2_000);
const PER_SECOND: u32 = 1_000;
const BURST: u32 = 500;
/// The part by which a quota may be exceeded, beside the gateways' tolerance.
const OVER_PART: f64 = 0.1;
/// What each of its requests counts.
const TOKENS: u32 = 100;

/// The organisation as the operator configures it.
pub(crate) fn organisation() -> MeteredOrganisation {
    MeteredOrganisation {
        name: "metered".to_owned(),
        api_key: KEY.to_owned(),
        tokens_per_second: PER_SECOND,
        burst: BURST,
        default_request_tokens: TOKENS,
    }
}

/// Requests that may run in a window, over all gateways, in touch with each other or not.
#[must_use]
pub fn most_in_window() -> usize {
    let quota = f64::from(PER_SECOND) * WINDOW.0 as f64 / 1_000.0 + f64::from(BURST);
    let tokens = quota * (1.0 + OVER_PART) + f64::from(QUOTA_TOLERANCE_TOKENS);
    (tokens / f64::from(TOKENS)) as usize
}

/// When the requests that ran lately were sent.
#[derive(Debug, Default)]
pub(crate) struct Runs(VecDeque<Millis>);

impl Runs {
    /// Counts a request that runs; gives how many of one window were both sent and run in it.
    pub(crate) fn count(&mut self, now: Millis, sent: Millis) -> usize {
        self.0.push_back(sent);
        self.0.retain(|sent| *sent + WINDOW >= now);
        self.0.len()
    }
}
