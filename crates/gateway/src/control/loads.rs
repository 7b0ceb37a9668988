//! Converts the loads that hosts tell each other.

use carawayseam_dispatch::engine::ServerLoad;
use carawayseam_dispatch::load::WaitingCount;
use carawayseam_types::EngineKey;
use carawayseam_wire::{EngineLoad, WaitingLoad};

pub(super) const fn encode_server_load((engine, load): (EngineKey, ServerLoad)) -> EngineLoad {
    EngineLoad {
        engine,
        running: load.running,
        pending_prompt_tokens: load.prompt_ahead,
    }
}

pub(super) const fn decode_server_load(load: &EngineLoad) -> (EngineKey, ServerLoad) {
    let server_load = ServerLoad {
        running: load.running,
        prompt_ahead: load.pending_prompt_tokens,
    };
    (load.engine, server_load)
}

pub(super) fn encode_waiting(waiting: WaitingCount) -> WaitingLoad {
    WaitingLoad {
        backend: waiting.backend,
        tier: waiting.tier,
        count: waiting.count,
    }
}

pub(super) fn decode_waiting(waiting: &WaitingLoad) -> WaitingCount {
    WaitingCount {
        backend: waiting.backend.clone(),
        tier: waiting.tier,
        count: waiting.count,
    }
}
