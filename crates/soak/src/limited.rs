//! Servers that report a rate limit for the requests of all gateways together.

use std::collections::{HashMap, VecDeque};

use carawayseam_types::Millis;

/// The limit of such a server, in requests per second.
pub(crate) const PER_SECOND: f64 = 3.0;
/// The limit binds in windows of this length.
pub(crate) const WINDOW: Millis = Millis(4_000);
/// How long after the first report it binds.
const LIMIT_LAG: Millis = Millis(3_000);
/// How long after it passed on a report a gateway is bound.
const TOLD_LAG: Millis = Millis(500);
/// The factor by which the limit may be exceeded in a window, and the requests beside it.
const OVER_FACTOR: f64 = 1.5;
const EXTRA: f64 = 5.0;

/// A gateway process, by the number of its starts.
type Process = (usize, u32);

/// Returns the number of requests that such a server may get in one window.
#[must_use]
pub fn max_in_limited_window() -> usize {
    (PER_SECOND * WINDOW.as_secs_f64()).mul_add(OVER_FACTOR, EXTRA) as usize
}

/// What a server with a limit got.
#[derive(Debug)]
pub(crate) struct Limited {
    since: Millis,
    /// When each gateway first passed on a response that reports the limit.
    told: HashMap<Process, Millis>,
    arrivals: VecDeque<(Millis, Process)>,
}

impl Limited {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            since: now,
            told: HashMap::new(),
            arrivals: VecDeque::new(),
        }
    }

    /// Notes that a gateway passed on a response that reports the limit.
    pub(crate) fn tell(&mut self, now: Millis, gateway: Process) {
        self.told.entry(gateway).or_insert(now);
    }

    /// Counts a request; gives how many came in one window from gateways that the limit binds.
    pub(crate) fn count(&mut self, now: Millis, from: Process, is_calm: impl Fn(usize) -> bool) -> usize {
        if now < self.since + LIMIT_LAG {
            return 0;
        }
        let is_told = self.told.get(&from).is_some_and(|at| *at + TOLD_LAG <= now);
        if is_told {
            self.arrivals.push_back((now, from));
        }
        self.arrivals.retain(|(at, _)| *at + WINDOW > now);
        let counted = self.arrivals.iter().filter(|(_, (gateway, _))| is_calm(*gateway));
        counted.count()
    }
}
