//! How long requests may wait.

use carawayseam_dispatch::{Dispatcher, Job};
use carawayseam_types::Millis;

/// Returns the latest time at which a request can start and still be answered within its caller's time.
pub(crate) fn latest_start(dispatcher: &Dispatcher, job: &Job) -> Millis {
    let work = dispatcher.expected_work(&job.backend, job.prompt, job.expected_events);
    job.caller.latest_start(work)
}
