//! What falls due when; a tick costs only what is due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use carawayseam_types::{AttemptId, Millis, RequestSeq};

use crate::index::EngineIx;

/// What falls due. A timer whose subject is gone by then is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    /// A queued request nears the last moment at which it can start.
    Urgent(RequestSeq),
    /// A queued request can no longer meet its deadline.
    TooLate(RequestSeq),
    /// A request that was held back may be queued.
    Release(RequestSeq),
    /// An attempt may be silent or past its deadline.
    Attempt(AttemptId),
    /// An engine's pause ends.
    Engine(EngineIx),
}

/// A heap of timers.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<(Millis, Due)>>,
}

impl Timers {
    pub(crate) fn set(&mut self, at: Millis, due: Due) {
        self.heap.push(Reverse((at, due)));
    }

    pub(crate) fn pop_due(&mut self, now: Millis) -> Option<Due> {
        match self.heap.peek() {
            Some(Reverse((at, _))) if *at <= now => self.heap.pop().map(|Reverse((_, due))| due),
            _ => None,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.heap.len()
    }
}
