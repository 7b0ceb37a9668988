//! The responses of a backend from before a rollout.

use std::collections::BTreeMap;

use super::counts::{JudgedRoute, ResponseOutcome, RouteCounts};

/// Responses of all routes at which their counts are halved.
const MAX_RESPONSES: u32 = 4_096;

/// The responses of a backend while no rollout judges them, as the baseline of the next one.
#[derive(Debug, Default)]
pub(crate) struct RouteHistory {
    routes: BTreeMap<JudgedRoute, RouteCounts>,
    responses: u32,
}

impl RouteHistory {
    /// Records a response.
    pub(crate) fn record(&mut self, route: &JudgedRoute, outcome: ResponseOutcome) {
        let counts = self.routes.entry(route.within_limit(&self.routes)).or_default();
        counts.add(RouteCounts::response(outcome));
        self.responses += 1;
        if self.responses >= MAX_RESPONSES {
            self.halve();
        }
    }

    /// Iterates over the routes and their counts.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&JudgedRoute, RouteCounts)> {
        self.routes.iter().map(|(route, counts)| (route, *counts))
    }

    fn halve(&mut self) {
        for counts in self.routes.values_mut() {
            *counts = counts.halved();
        }
        self.routes.retain(|_, counts| counts.all > 0);
        self.responses = self.routes.values().map(|counts| counts.all).sum();
    }
}
