//! Hands events over one by one, and picks the dispatches from what is to be done.

use carawayseam_scheduler::{Action, Event, Scheduler};
use carawayseam_types::{AttemptId, EngineId, Millis, RequestSeq};

pub const NOW: u64 = 1_000;
pub const LATER: Millis = Millis(60_000);

/// Hands over one event and gives what is to be done.
pub fn step(scheduler: &mut Scheduler, now: u64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    scheduler.handle(Millis(now), event, &mut actions);
    actions
}

/// The dispatches among actions.
pub fn dispatches(actions: &[Action]) -> Vec<(AttemptId, RequestSeq, EngineId)> {
    let dispatch = |action: &Action| match action {
        Action::Dispatch {
            attempt,
            request,
            engine,
            ..
        } => Some((*attempt, *request, engine.clone())),
        _ => None,
    };
    actions.iter().filter_map(dispatch).collect()
}
