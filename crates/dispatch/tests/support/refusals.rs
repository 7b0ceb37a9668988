//! Refusals among the actions of a dispatcher.

use carawayseam_dispatch::{Action, Ticket};
use carawayseam_types::Millis;

/// Returns the requests that were refused, each with the delay of its retry.
pub(crate) fn refused(actions: &[Action]) -> Vec<(Ticket, Millis)> {
    let refusals = actions.iter().filter_map(|action| match action {
        Action::Refuse {
            ticket, retry_after, ..
        } => Some((*ticket, *retry_after)),
        Action::Start { .. } => None,
    });
    refusals.collect()
}
