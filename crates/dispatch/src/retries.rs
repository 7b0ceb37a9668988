//! The budget for sending a request to one more backend server.
//!
//! The bound is one over all hosts: a share of the requests for a backend, and a
//! fixed number beside it. Each host uses the share of its own requests and an even part
//! of the number, so no host needs to hear the others.

/// The part of the allowed share and number that is used.
const USED_PART: f64 = 0.75;
/// The part of a bucket that a host has at its start.
const FIRST_LEVEL: f64 = 0.25;

/// What all hosts together may repeat.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Repeats as a share of requests.
    pub ratio: f64,
    /// Repeats beside that share, in one window.
    pub extra: f64,
}

/// A bucket that requests fill and repeats empty.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    bounds: RetryBounds,
    depth: f64,
    level: f64,
}

impl RetryBudget {
    /// Makes the bucket of one of `hosts` hosts.
    #[must_use]
    pub fn new(bounds: RetryBounds, hosts: u32) -> Self {
        let depth = depth(bounds, hosts);
        Self {
            bounds,
            depth,
            level: depth * FIRST_LEVEL,
        }
    }

    /// Takes a new number of hosts.
    pub fn set_host_count(&mut self, hosts: u32) {
        self.depth = depth(self.bounds, hosts);
        self.level = self.level.min(self.depth);
    }

    /// Counts a request.
    pub fn on_request(&mut self) {
        self.level = (self.level + self.bounds.ratio * USED_PART).min(self.depth);
    }

    /// Takes one repeat, if there is one.
    pub fn take(&mut self) -> bool {
        let granted = self.level >= 1.0;
        if granted {
            self.level -= 1.0;
        }
        granted
    }
}

fn depth(bounds: RetryBounds, hosts: u32) -> f64 {
    (bounds.extra * USED_PART / f64::from(hosts.max(1))).max(1.0)
}
