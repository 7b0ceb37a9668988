//! The versions of a backend that may run a request during and after a rollout.

use carawayseam_dispatch::Dispatcher;
use carawayseam_dispatch::rollouts::{JudgedRoute, VersionRule};
use carawayseam_types::{BackendName, Millis};

use crate::shared::{Shared, lock};

/// Returns which versions may run a request of a route now; `draw` is the request's random number from 0 to 1.
pub(super) fn rule(shared: &Shared, backend: &BackendName, route: &JudgedRoute, draw: f64) -> VersionRule {
    let (rule, is_complete) = {
        let rollouts = lock(&shared.rollouts);
        let rule = rollouts.version_rule(shared.now(), backend, route, shared.may_use_keys(), draw);
        (rule, rollouts.is_complete(backend))
    };
    match rule {
        VersionRule::Only(_) if !is_complete => {
            servable_rule(&lock(&shared.dispatch).dispatcher, backend, rule)
        }
        rule => rule,
    }
}

/// Applies the rules of rollouts without a canary share to waiting requests, which arrived under other ones: the
/// servers that they wait for may have stopped.
pub(crate) fn update_waiting(shared: &Shared, now: Millis) {
    let rules: Vec<(BackendName, VersionRule, bool)> = {
        let rollouts = lock(&shared.rollouts);
        let settled = rollouts.settled_rules(now, shared.may_use_keys()).into_iter();
        let rules = settled.map(|(backend, rule)| {
            let is_complete = rollouts.is_complete(&backend);
            (backend, rule, is_complete)
        });
        rules.collect()
    };
    if rules.is_empty() {
        return;
    }
    let dispatcher = &mut lock(&shared.dispatch).dispatcher;
    for (backend, rule, is_complete) in rules {
        let rule = if is_complete {
            rule
        } else {
            servable_rule(dispatcher, &backend, rule)
        };
        dispatcher.set_version_rule(&backend, &rule);
    }
}

/// Returns the rule of a rollout that is not complete: a version without servers gets no requests.
fn servable_rule(dispatcher: &Dispatcher, backend: &BackendName, rule: VersionRule) -> VersionRule {
    match rule {
        VersionRule::Only(version) if !dispatcher.has_server_of(backend, &version) => {
            VersionRule::Not(version)
        }
        rule => rule,
    }
}
