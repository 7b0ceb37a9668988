//! Refuses requests that the process cannot serve before its end.

use carawayseam_dispatch::catalog::RouteMatch;
use carawayseam_types::Millis;

use super::response::{Reason, Refusal};
use crate::request_log::StopOutcome;
use crate::shared::Shared;

/// Refuses a request that may not end before the process does; its caller has time to use another host.
///
/// `arrived` is when the head of the request arrived, `limit` its time limit.
pub(super) fn check_admission(
    shared: &Shared,
    route_match: &RouteMatch,
    arrived: Millis,
    limit: Millis,
) -> Result<(), Refusal> {
    let is_admitted = match shared.stop_plan.get() {
        None => true,
        Some(plan) if route_match.route.kind.is_stream() => plan.admits_stream(arrived),
        Some(plan) => plan.admits_plain(arrived + limit),
    };
    if is_admitted {
        return Ok(());
    }
    StopOutcome::Refused.count(shared);
    Err(Refusal::with_retry_after(Reason::Stopping, shared.retry_delay()))
}

/// Returns the final refusal of a request that is open shortly before the end of the process.
pub(super) fn final_refusal(shared: &Shared, may_have_run: bool) -> Refusal {
    StopOutcome::AnsweredAtEnd.count(shared);
    if may_have_run {
        Refusal::new(Reason::StoppingMayHaveRun)
    } else {
        Refusal::with_retry_after(Reason::Stopping, shared.retry_delay())
    }
}
