//! Builders for a dispatcher of one host, its servers and its requests.

use carawayseam_dispatch::retries::RetryBounds;
use carawayseam_dispatch::rollouts::VersionRule;
use carawayseam_dispatch::{Action, CallerTime, Dispatcher, EngineEntry, Job, Ticket};
use carawayseam_types::{EngineId, Millis, Tier};

pub(crate) const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    extra: 8.0,
};
/// Time without an event after which the callers of streams leave.
pub(crate) const EVENT_GAP_MS: u64 = 2_000;
/// Time for which callers wait for the complete response.
pub(crate) const TIME_LIMIT_MS: u64 = 10_000;

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
        warms_up_for: Millis::ZERO,
    }
}

/// Returns the times of a caller that sent a request for a stream at `now`.
pub(crate) fn stream_caller(now: u64) -> CallerTime {
    CallerTime::until(Millis(now + TIME_LIMIT_MS)).with_next_event_by(Millis(now + EVENT_GAP_MS))
}

pub(crate) fn job(now: u64, tier: u8) -> Job {
    Job {
        backend: "guides".parse().expect("a valid name"),
        organisation: None,
        version: VersionRule::Any,
        tier: Tier(tier),
        caller: stream_caller(now),
        max_event_gap: Some(Millis(EVENT_GAP_MS)),
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
