//! All engines and pools that the document declares.

use std::collections::HashMap;

use carawayseam_config::{BackendKind, Document, EngineSpec};
use carawayseam_types::{BackendName, EngineId, Millis, Tier, VersionId};

use crate::EngineStanding;
use crate::engine::{Engine, Length};
use crate::index::{EngineIx, Interner, PoolIx};
use crate::pool::{Pool, PoolKey};
use crate::speed::Speeds;

/// The least and the most that a slot counts for an engine slower or faster than the mean.
const SLOT_WEIGHT: (f64, f64) = (0.05, 2.0);

/// Engines and pools, by index.
#[derive(Debug)]
pub(crate) struct Fleet {
    engine_names: Interner<EngineId>,
    pub(crate) engines: Vec<Engine>,
    pool_names: Interner<PoolKey>,
    pub(crate) pools: Vec<Pool>,
    groups: HashMap<(BackendName, VersionId), Vec<PoolIx>>,
    /// Engines by backend, to apply the ceiling on ejections.
    by_backend: HashMap<BackendName, BackendCount>,
    kinds: HashMap<BackendName, BackendKind>,
    /// Standings heard before the document that declares the engine.
    early_standings: HashMap<EngineId, EngineStanding>,
}

/// Engines of one backend.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct BackendCount {
    pub(crate) declared: u32,
    pub(crate) ejected: u32,
}

impl Fleet {
    pub(crate) fn new() -> Self {
        Self {
            engine_names: Interner::new(),
            engines: Vec::new(),
            pool_names: Interner::new(),
            pools: Vec::new(),
            groups: HashMap::new(),
            by_backend: HashMap::new(),
            kinds: HashMap::new(),
            early_standings: HashMap::new(),
        }
    }

    pub(crate) fn engine(&self, ix: EngineIx) -> &Engine {
        &self.engines[ix.get()]
    }

    pub(crate) fn engine_mut(&mut self, ix: EngineIx) -> &mut Engine {
        &mut self.engines[ix.get()]
    }

    pub(crate) fn pool(&self, ix: PoolIx) -> &Pool {
        &self.pools[ix.get()]
    }

    pub(crate) fn pool_mut(&mut self, ix: PoolIx) -> &mut Pool {
        &mut self.pools[ix.get()]
    }

    pub(crate) fn find(&self, name: &EngineId) -> Option<EngineIx> {
        self.engine_names.get(name).map(EngineIx::from)
    }

    pub(crate) fn find_pool(&self, key: &PoolKey) -> Option<PoolIx> {
        self.pool_names.get(key).map(PoolIx::from)
    }

    pub(crate) fn pool_indices(&self) -> impl Iterator<Item = PoolIx> + use<> {
        (0..self.pools.len()).map(PoolIx::from)
    }

    /// The pools, one a zone, that serve a version.
    pub(crate) fn group(&self, backend: &BackendName, version: &VersionId) -> &[PoolIx] {
        let key = (backend.clone(), version.clone());
        self.groups.get(&key).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn kind(&self, backend: &BackendName) -> BackendKind {
        self.kinds.get(backend).copied().unwrap_or(BackendKind::Model)
    }

    /// Concurrency that the document allows in all.
    pub(crate) fn concurrency(&self) -> u32 {
        self.engines.iter().map(|engine| engine.limit.max()).sum()
    }

    pub(crate) fn backend_count(&mut self, ix: EngineIx) -> &mut BackendCount {
        let backend = &self.pools[self.engines[ix.get()].pool.get()].key.backend;
        if !self.by_backend.contains_key(backend) {
            self.by_backend.insert(backend.clone(), BackendCount::default());
        }
        self.by_backend.entry(backend.clone()).or_default()
    }

    /// Takes over what a document declares; engines that it drops finish what they have.
    pub(crate) fn configure(&mut self, document: &Document) {
        let kinds = document.backends.iter().map(|b| (b.name.clone(), b.kind));
        self.kinds = kinds.collect();
        self.engines.iter_mut().for_each(|engine| engine.declared = false);
        for spec in &document.engines {
            self.declare(spec);
        }
        self.recount();
    }

    pub(crate) fn remember_standing(&mut self, name: EngineId, standing: EngineStanding) {
        self.early_standings.insert(name, standing);
    }

    pub(crate) fn set_standing(&mut self, ix: EngineIx, standing: EngineStanding) {
        let engine = self.engine_mut(ix);
        let was_live = engine.is_live();
        engine.standing = standing;
        let is_live = engine.is_live();
        let pool = engine.pool;
        let live = &mut self.pool_mut(pool).live;
        match (was_live, is_live) {
            (true, false) => *live -= 1,
            (false, true) => *live += 1,
            _ => {}
        }
        self.refresh(ix);
    }

    /// Brings the pool's sums and its list of free engines up to date with one engine.
    pub(crate) fn refresh(&mut self, ix: EngineIx) {
        let engine = &mut self.engines[ix.get()];
        let pool = &mut self.pools[engine.pool.get()];
        let slots = engine.slots();
        let ratio = engine.speeds.decode.per_ms() / pool.speeds.decode.per_ms();
        let capacity = f64::from(slots) * ratio.clamp(SLOT_WEIGHT.0, SLOT_WEIGHT.1);
        pool.slots = pool.slots + slots - engine.counted_slots;
        pool.capacity = (pool.capacity + capacity - engine.counted_capacity).max(0.0);
        engine.counted_slots = slots;
        engine.counted_capacity = capacity;
        match (engine.free_at, engine.has_slot_for(Length::Short, Tier::HIGHEST)) {
            (None, true) => {
                engine.free_at = Some(pool.free.len());
                pool.free.push(ix);
            }
            (Some(_), false) => self.leave_free_list(ix),
            _ => {}
        }
    }

    fn leave_free_list(&mut self, ix: EngineIx) {
        let engine = &mut self.engines[ix.get()];
        let Some(place) = engine.free_at.take() else {
            return;
        };
        let pool = &mut self.pools[engine.pool.get()];
        pool.free.swap_remove(place);
        if let Some(moved) = pool.free.get(place) {
            self.engines[moved.get()].free_at = Some(place);
        }
    }

    fn declare(&mut self, spec: &EngineSpec) {
        let pool = self.pool_of(spec);
        let ix = EngineIx::from(self.engine_names.intern(&spec.name));
        if ix.get() == self.engines.len() {
            let speeds = Speeds::like(&self.pool(pool).speeds);
            let mut engine = Engine::new(spec, pool, speeds);
            if let Some(standing) = self.early_standings.remove(&spec.name) {
                engine.standing = standing;
            }
            self.engines.push(engine);
            return;
        }
        self.engine_mut(ix).declared = true;
        self.engine_mut(ix).limit.set_max(spec.max_concurrency);
        if self.engine(ix).pool != pool {
            self.move_engine(ix, pool);
        }
    }

    /// An engine that runs another version is in another pool; what it learnt may not hold there.
    fn move_engine(&mut self, ix: EngineIx, pool: PoolIx) {
        self.leave_free_list(ix);
        let speeds = Speeds::like(&self.pool(pool).speeds);
        let engine = &mut self.engines[ix.get()];
        let old = &mut self.pools[engine.pool.get()];
        old.slots -= engine.counted_slots;
        old.capacity = (old.capacity - engine.counted_capacity).max(0.0);
        engine.counted_slots = 0;
        engine.counted_capacity = 0.0;
        engine.pool = pool;
        engine.speeds = speeds;
    }

    fn pool_of(&mut self, spec: &EngineSpec) -> PoolIx {
        let key = PoolKey {
            zone: spec.zone.clone(),
            backend: spec.backend.clone(),
            version: spec.version.clone(),
        };
        let ix = PoolIx::from(self.pool_names.intern(&key));
        if ix.get() == self.pools.len() {
            let group = (key.backend.clone(), key.version.clone());
            self.groups.entry(group).or_default().push(ix);
            let is_service = self.kind(&key.backend) == BackendKind::Service;
            self.pools.push(Pool::new(key, is_service));
        }
        ix
    }

    fn recount(&mut self) {
        for pool in &mut self.pools {
            pool.live = 0;
            pool.engines.clear();
        }
        self.by_backend.clear();
        for place in 0..self.engines.len() {
            let engine = &self.engines[place];
            let (declared, live, ejected) = (engine.declared, engine.is_live(), engine.outlier.ejected);
            let pool = engine.pool;
            self.pool_mut(pool).live += u32::from(live);
            if declared {
                self.pool_mut(pool).engines.push(EngineIx::from(place));
            }
            let count = self.backend_count(EngineIx::from(place));
            count.declared += u32::from(declared);
            count.ejected += u32::from(ejected);
            self.refresh(EngineIx::from(place));
        }
    }

    /// Teaches an engine and its pool a prefill speed.
    pub(crate) fn learn_prefill(&mut self, ix: EngineIx, now: Millis, tokens: f64, elapsed: Millis) {
        let engine = &mut self.engines[ix.get()];
        engine.speeds.prefill.sample(now, tokens, elapsed);
        let pool = &mut self.pools[engine.pool.get()];
        pool.speeds.prefill.sample(now, tokens, elapsed);
    }

    /// Teaches an engine and its pool a decode speed.
    pub(crate) fn learn_decode(&mut self, ix: EngineIx, now: Millis, tokens: f64, elapsed: Millis) {
        let engine = &mut self.engines[ix.get()];
        engine.speeds.decode.sample(now, tokens, elapsed);
        let pool = &mut self.pools[engine.pool.get()];
        pool.speeds.decode.sample(now, tokens, elapsed);
    }
}
