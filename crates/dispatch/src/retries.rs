//! The retry budget: limits how often requests are sent to another backend server.
//!
//! The bound applies to all hosts together: a ratio of the requests for a backend, plus a
//! fixed number of retries. Each host uses the ratio of its own requests and an even share of
//! the fixed number, so hosts need no coordination.

/// Fraction of the allowed ratio and of the allowed fixed number that is used.
const USED_FRACTION: f64 = 0.75;
/// Fraction of its capacity that a bucket holds at start.
const INITIAL_FRACTION: f64 = 0.25;

/// Bounds on the retries of all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Ratio of retries to requests.
    pub ratio: f64,
    /// Number of retries in one window in addition to that ratio.
    pub extra: f64,
}

/// A token bucket that requests fill and retries drain.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    bounds: RetryBounds,
    capacity: f64,
    level: f64,
}

impl RetryBudget {
    /// Creates the budget of one of `hosts` hosts.
    #[must_use]
    pub fn new(bounds: RetryBounds, hosts: u32) -> Self {
        let capacity = capacity(bounds, hosts);
        Self {
            bounds,
            capacity,
            level: capacity * INITIAL_FRACTION,
        }
    }

    /// Sets the number of hosts.
    pub fn set_host_count(&mut self, hosts: u32) {
        self.capacity = capacity(self.bounds, hosts);
        self.level = self.level.min(self.capacity);
    }

    /// Records a request, which adds to the budget.
    pub fn on_request(&mut self) {
        self.level = (self.level + self.bounds.ratio * USED_FRACTION).min(self.capacity);
    }

    /// Returns whether a retry is left.
    #[must_use]
    pub fn has_retry(&self) -> bool {
        self.level >= 1.0
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn take(&mut self) -> bool {
        let is_granted = self.has_retry();
        if is_granted {
            self.level -= 1.0;
        }
        is_granted
    }

    /// Returns a retry that was taken and not sent.
    pub fn give_back(&mut self) {
        self.level = (self.level + 1.0).min(self.capacity);
    }
}

fn capacity(bounds: RetryBounds, hosts: u32) -> f64 {
    (bounds.extra * USED_FRACTION / f64::from(hosts.max(1))).max(1.0)
}
