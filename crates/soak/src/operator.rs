//! What the operator writes: configurations, keys, and orders to move.

use carawayseam_platform_standins::Store;
use carawayseam_platform_standins::documents::{
    CONFIGURATION_KEY, Configuration, GOAL_MS, Limits, Route as ConfiguredRoute, RouteKind, rollout_order,
    rollout_status_key,
};

use crate::callers::TIME_LIMIT;
use crate::metered;
use crate::request::Route;

/// The backend of all routes but the steps.
pub(crate) const BACKEND: &str = "app";
/// The maximum number of servers that a request is sent to.
const MAX_ATTEMPTS: u32 = 2;
/// Keys that are never taken away.
const LASTING_KEYS: usize = 2;

/// The operator, with the newest configuration.
#[derive(Debug)]
pub(crate) struct Operator {
    store: Store,
    revision: u64,
    /// Which backend serves the steps.
    pub(crate) step: usize,
    keys: Vec<String>,
    /// Whether a move is under way.
    pub(crate) moves: bool,
}

/// The backend that serves the steps in a configuration.
pub(crate) fn step_backend(step: usize) -> String {
    format!("step-{step}")
}

impl Operator {
    pub(crate) fn new(store: Store, keys: &[String]) -> Self {
        Self {
            store,
            revision: 0,
            step: 0,
            keys: keys.to_vec(),
            moves: false,
        }
    }

    /// Writes the configuration as it stands.
    pub(crate) fn write(&mut self) {
        self.revision += 3;
        let route = |route: Route, kind, backend: &str| ConfiguredRoute {
            path_segment: route.to_string(),
            kind,
            backend: backend.to_owned(),
            timeout_ms: TIME_LIMIT.0,
            max_attempts: MAX_ATTEMPTS,
            goal_ms: GOAL_MS,
            priority: 0,
        };
        let configuration = Configuration {
            revision: self.revision,
            routes: vec![
                route(Route::Calls, RouteKind::NonIdempotent, BACKEND),
                route(Route::Reads, RouteKind::Idempotent, BACKEND),
                route(Route::Guides, RouteKind::Streaming, BACKEND),
                route(Route::Steps, RouteKind::Idempotent, &step_backend(self.step)),
            ],
            api_keys: self.keys.clone(),
            metered_organisation: Some(metered::organisation()),
            limits: Limits::default(),
        };
        let document = configuration.document().to_string();
        self.store.put(CONFIGURATION_KEY, document.as_bytes());
    }

    /// Takes the last key away that may be; gives its number.
    pub(crate) fn take_key(&mut self) -> Option<usize> {
        if self.keys.len() <= LASTING_KEYS {
            return None;
        }
        self.keys.pop();
        self.write();
        Some(self.keys.len())
    }

    /// Orders a move of the backend to a version.
    pub(crate) fn order_move(&self, version: &str, over_s: u32) {
        let (key, order) = rollout_order(BACKEND, version, over_s);
        self.store.put(&key, order.to_string().as_bytes());
    }

    /// How the move to a version stands, as the gateways wrote it.
    pub(crate) fn move_state(&self, version: &str) -> String {
        let status = self.store.get(&rollout_status_key(BACKEND));
        let status = status.filter(|status| status["target"] == version);
        let state = status.as_ref().and_then(|status| status["state"].as_str());
        state.unwrap_or("running").to_owned()
    }
}
