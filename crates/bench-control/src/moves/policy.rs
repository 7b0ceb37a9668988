//! What decides on versions, and what its moves come to.

use carawayseam_rollout::Served;
use carawayseam_types::{Digest, Millis};

use super::case::Expected;

/// What decides on versions.
pub(super) trait Policy {
    /// Lets time pass.
    fn advance(&mut self, now: Millis);
    /// Whether the new version serves a request.
    fn pick(&mut self, now: Millis, host: usize, route: usize, content: Digest) -> bool;
    /// An attempt ended.
    fn ended(&mut self, now: Millis, end: &End);
    /// When clear evidence was first seen at any host.
    fn shown_at(&self) -> Option<Millis>;
    /// Whether a host knows that the move is finished.
    fn is_finished_at(&self, host: usize) -> bool;
    /// What became of the move, once every host follows it.
    fn outcome(&self) -> Option<Outcome>;
}

/// What became of a move, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Outcome {
    pub became: Expected,
    pub at: Millis,
}

/// An attempt's end.
#[derive(Debug, Clone, Copy)]
pub(super) struct End {
    pub host: usize,
    pub route: usize,
    pub new: bool,
    pub served: Served,
    pub first: Option<Millis>,
    pub gap_micros: Option<u32>,
    pub dispatched_at: Millis,
}

/// What one move came to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Tally {
    pub outcome: Option<Outcome>,
    /// Requests that reached the new version where and while it was bad, before it showed.
    pub exposed: u64,
    /// Those of them whose calls may not be repeated.
    pub exposed_unrepeatable: u64,
    /// The longest time from clear evidence to a request to the new version.
    pub latest_after_shown: Millis,
    /// Requests to the new version at a host that passed the deadline without "finished".
    pub after_deadline: u64,
}
