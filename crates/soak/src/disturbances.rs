//! What is disturbed when, for promises that hold only in calm.

use carawayseam_types::Millis;

/// Faults are felt for this long after their end.
const FAULT_FELT: Millis = Millis(3_000);

/// What a disturbance concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// One gateway, or its links.
    Gateway(usize),
    /// The links of one gateway to all backend servers.
    ServerLinks(usize),
    /// A planned stop of a gateway.
    PlannedStop(usize),
    /// Backend servers, or the links to them.
    Servers,
    /// The store.
    Store,
}

#[derive(Debug)]
struct Disturbance {
    scope: Scope,
    until: Millis,
}

/// The disturbances of a run.
#[derive(Debug, Default)]
pub(crate) struct Disturbances(Vec<Disturbance>);

impl Disturbances {
    /// Notes that something is disturbed from now on; gives its number.
    pub(crate) fn begin(&mut self, scope: Scope) -> usize {
        self.0.push(Disturbance {
            scope,
            until: Millis::MAX,
        });
        self.0.len() - 1
    }

    /// Notes that a disturbance ended.
    pub(crate) fn end(&mut self, now: Millis, number: usize) {
        if let Some(disturbance) = self.0.get_mut(number) {
            disturbance.until = now;
        }
    }

    /// Returns whether nothing of these scopes was disturbed from a time on, nor shortly before.
    pub(crate) fn were_absent(&self, from: Millis, scopes: &[Scope]) -> bool {
        let since = from - FAULT_FELT;
        let mut felt = self.0.iter().filter(|disturbance| disturbance.until >= since);
        !felt.any(|disturbance| scopes.contains(&disturbance.scope))
    }
}
