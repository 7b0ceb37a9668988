//! Bounds how often a message is logged that callers or clients can cause at any rate.

use std::sync::Mutex;

use carawayseam_types::Millis;

use crate::shared::lock;

/// Allows one log line in an interval, and counts the events in between.
#[derive(Debug)]
pub(crate) struct LogLimit {
    interval: Millis,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    last_line: Option<Millis>,
    unlogged: u64,
}

impl LogLimit {
    pub(crate) fn new(interval: Millis) -> Self {
        Self {
            interval,
            state: Mutex::default(),
        }
    }

    /// Counts an event; returns the number of events since the last line if another line is due.
    pub(crate) fn record(&self, now: Millis) -> Option<u64> {
        let mut state = lock(&self.state);
        state.unlogged += 1;
        if state
            .last_line
            .is_some_and(|last| now.since(last) < self.interval)
        {
            return None;
        }
        state.last_line = Some(now);
        Some(std::mem::take(&mut state.unlogged))
    }
}
