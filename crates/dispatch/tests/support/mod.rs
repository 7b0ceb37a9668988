//! Builders for a dispatcher of one host, its servers and its requests.

use carawayseam_dispatch::retries::RetryBounds;
use carawayseam_dispatch::rollouts::VersionRule;
use carawayseam_dispatch::{Action, Dispatcher, EngineEntry, Job, Ticket};
use carawayseam_types::{EngineId, Millis, Tier};

pub(crate) const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    extra: 8.0,
};
pub(crate) const OBJECTIVE_MS: u64 = 300;

pub(crate) fn id(name: &str) -> EngineId {
    name.parse().expect("a valid name")
}

pub(crate) fn engine(name: &str, slots: u32) -> EngineEntry {
    EngineEntry {
        id: id(name),
        backend: "guides".parse().expect("a valid name"),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "zone-a".parse().expect("a valid name"),
        version: "v1".parse().expect("a valid name"),
        slots,
        is_draining: false,
        started: Some(1),
    }
}

pub(crate) fn job(now: u64, tier: u8) -> Job {
    Job {
        backend: "guides".parse().expect("a valid name"),
        version: VersionRule::Any,
        tier: Tier(tier),
        objective: Millis(now + OBJECTIVE_MS),
        queue_deadline: Millis(now + 1_000),
        deadline: Millis(now + 10_000),
        gap_objective: Some(Millis(250)),
        expected_events: 10,
        tokens_per_event: 6,
        prompt: 500,
        parts: Vec::new(),
        tried: Vec::new(),
        excluded: None,
    }
}

pub(crate) fn dispatcher(engines: &[(&str, u32)]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("zone-a".parse().expect("a valid name"), BOUNDS, 7);
    let entries = engines.iter().map(|(name, slots)| engine(name, *slots)).collect();
    assert!(dispatcher.set_engines(Millis(0), entries).is_empty());
    dispatcher
}

/// Returns the requests that were started, each with the name of its server.
pub(crate) fn started(actions: &[Action]) -> Vec<(Ticket, &str)> {
    let starts = actions.iter().filter_map(|action| match action {
        Action::Start { ticket, engine, .. } => Some((*ticket, engine.as_str())),
        Action::Refuse { .. } => None,
    });
    starts.collect()
}
