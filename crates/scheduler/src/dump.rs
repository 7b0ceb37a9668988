//! The scheduler's state for the state dump.

use std::collections::BTreeMap;

use carawayseam_types::{
    BackendName, Digest, EngineId, HostId, Millis, OrganisationId, Tier, TokensPerSecond, VersionId, ZoneId,
};
use serde::Serialize;

use crate::EngineStanding;
use crate::engine::Engine;
use crate::pool::Pool;
use crate::scheduler::Scheduler;

/// A scheduler's state, for the state dump.
#[derive(Debug, Clone, Serialize)]
pub struct SchedulerDump {
    /// The host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether a planned stop is under way.
    pub draining: bool,
    /// Attempts that run, by engine.
    pub running: BTreeMap<EngineId, u32>,
    /// The pools.
    pub pools: Vec<PoolDump>,
    /// The engines.
    pub engines: Vec<EngineDump>,
    /// Contents that crashed engines.
    pub poison: Vec<PoisonDump>,
    /// Repeats that the retry budget still allows.
    pub retry_budget: f64,
    /// Timers that are set.
    pub timers: usize,
}

/// A pool's state.
#[derive(Debug, Clone, Serialize)]
pub struct PoolDump {
    /// The availability zone of its engines.
    pub zone: ZoneId,
    /// The model or plain service.
    pub backend: BackendName,
    /// The version.
    pub version: VersionId,
    /// The host that admits for it; none means this host.
    pub owner: Option<HostId>,
    /// Engines that may get work.
    pub live_engines: u32,
    /// Requests that its engines may run at once now.
    pub slots: u32,
    /// Requests that wait, by tier and organisation.
    pub queued: Vec<QueueDump>,
    /// Attempts of this host that run.
    pub running: u32,
    /// The time in which its queue would be served.
    pub wait: Millis,
}

/// Requests that wait in one tier of a pool.
#[derive(Debug, Clone, Serialize)]
pub struct QueueDump {
    /// The tier.
    pub tier: Tier,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The number of requests.
    pub requests: usize,
}

/// An engine's state as this host knows it.
#[derive(Debug, Clone, Serialize)]
pub struct EngineDump {
    /// The engine.
    pub engine: EngineId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// How it stands.
    pub standing: EngineStanding,
    /// Whether the document names it.
    pub declared: bool,
    /// The concurrency limit now.
    pub limit: u32,
    /// Attempts of this host.
    pub running: u32,
    /// Requests of other hosts, by the last report.
    pub foreign: u32,
    /// The learned speed of reading prompts.
    pub prefill: TokensPerSecond,
    /// The learned speed of writing answers to one request.
    pub decode: TokensPerSecond,
    /// When its pause ends, if it is paused.
    pub paused_until: Option<Millis>,
    /// Whether the pause is an ejection.
    pub ejected: bool,
}

/// A content that crashed engines.
#[derive(Debug, Clone, Serialize)]
pub struct PoisonDump {
    /// The content.
    pub content: Digest,
    /// Crashes over all hosts.
    pub crashes: u32,
}

impl Scheduler {
    /// The model engines that this host decides for; their reports are worth reading.
    #[must_use]
    pub fn own_engines(&self) -> Vec<EngineId> {
        let own = self
            .fleet
            .pools
            .iter()
            .filter(|pool| !pool.is_service && pool.owner.is_none());
        let engines = own.flat_map(|pool| &pool.engines);
        engines.map(|ix| self.fleet.engine(*ix).name.clone()).collect()
    }

    /// The state, for the state dump.
    #[must_use]
    pub fn dump(&self) -> SchedulerDump {
        let busy = self.fleet.engines.iter().filter(|e| !e.running.is_empty());
        let contents = self.poison.contents().into_iter();
        SchedulerDump {
            host: self.config.host.clone(),
            zone: self.config.zone.clone(),
            draining: self.draining,
            running: busy.map(|e| (e.name.clone(), e.running.len() as u32)).collect(),
            pools: self.fleet.pools.iter().map(|pool| self.dump_pool(pool)).collect(),
            engines: self.fleet.engines.iter().map(dump_engine).collect(),
            poison: contents
                .map(|(content, crashes)| PoisonDump { content, crashes })
                .collect(),
            retry_budget: self.budget.level(),
            timers: self.timers.len(),
        }
    }

    fn dump_pool(&self, pool: &Pool) -> PoolDump {
        let queued = pool.queue.counts().map(|(tier, org, requests)| QueueDump {
            tier,
            organisation: self.organisations.name(org.get()).clone(),
            requests,
        });
        PoolDump {
            zone: pool.key.zone.clone(),
            backend: pool.key.backend.clone(),
            version: pool.key.version.clone(),
            owner: pool.owner.clone(),
            live_engines: pool.live,
            slots: pool.slots,
            queued: queued.collect(),
            running: pool.running_count(),
            wait: pool.load(self.now).wait,
        }
    }
}

fn dump_engine(engine: &Engine) -> EngineDump {
    EngineDump {
        engine: engine.name.clone(),
        zone: engine.zone.clone(),
        standing: engine.standing,
        declared: engine.declared,
        limit: engine.limit.get(),
        running: engine.running.len() as u32,
        foreign: engine.foreign,
        prefill: engine.speeds.prefill.as_rate(),
        decode: engine.speeds.decode.as_rate(),
        paused_until: engine.outlier.is_paused().then_some(engine.outlier.paused_until),
        ejected: engine.outlier.ejected,
    }
}
