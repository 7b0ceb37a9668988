//! The engine's loops: steps of the batch, readings of its load, loads of weights.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carawayseam_external::engine::{EngineLoadout, LoadReport, Role};
use carawayseam_external::weights::{FETCH_PATH, FetchRequest};
use carawayseam_types::Clock;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::Config;
use super::batch::{Batch, Stepped};
use super::loadout::Loadouts;
use crate::StandinError;
use crate::switch::{FaultSwitch, lock};

/// The exit code of an engine that a request crashed.
const CRASH_EXIT_CODE: i32 = 101;
/// From this speed on, in tokens a second, a step waits for nothing, so that
/// the time that a caller measures is that of the path and not of a timer.
const INSTANT_DECODE: f64 = 100_000.0;
const SHORTEST_STEP: Duration = Duration::from_millis(1);
const LONGEST_STEP: Duration = Duration::from_millis(50);
const READING_PERIOD: Duration = Duration::from_millis(20);
const MAX_READINGS: usize = 4_096;
const FETCH_RETRY: Duration = Duration::from_millis(100);

/// A running engine, shared by its loops and its handlers.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) cfg: Config,
    pub(crate) clock: Clock,
    pub(crate) switch: Arc<FaultSwitch>,
    pub(crate) batch: Mutex<Batch>,
    pub(crate) loadouts: Mutex<Loadouts>,
    pub(crate) arrived: Notify,
    readings: Mutex<VecDeque<LoadReport>>,
    client: reqwest::Client,
}

impl Engine {
    pub(crate) fn start(cfg: Config, switch: &Arc<FaultSwitch>) -> Result<Arc<Self>, StandinError> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .build()
            .map_err(|source| StandinError::Client { source })?;
        let loaded = cfg.version.clone().map(|version| EngineLoadout {
            model: cfg.model.clone(),
            version,
            adapters: Vec::new(),
            role: Role::PrefillAndDecode,
        });
        let engine = Arc::new(Self {
            clock: Clock::system(),
            switch: Arc::clone(switch),
            batch: Mutex::new(Batch::new(&cfg)),
            loadouts: Mutex::new(Loadouts::new(cfg.checks_fencing, loaded)),
            arrived: Notify::new(),
            readings: Mutex::default(),
            client,
            cfg,
        });
        engine.take_reading();
        tokio::spawn(Arc::clone(&engine).compute());
        tokio::spawn(Arc::clone(&engine).read_regularly());
        Ok(engine)
    }

    /// The newest reading that is old enough to show.
    pub(crate) fn shown_load(&self) -> Option<LoadReport> {
        let shown_until = self.clock.now() - self.cfg.load_lag;
        let readings = lock(&self.readings);
        let newest = readings
            .iter()
            .rfind(|reading| reading.reported_at <= shown_until.0);
        newest.or_else(|| readings.front()).cloned()
    }

    /// Fetches and loads what the order of this number wants.
    pub(crate) async fn load(self: Arc<Self>, load: u64, wanted: EngineLoadout) {
        while lock(&self.loadouts).is_current(load) && !self.fetch(&wanted).await {
            tokio::time::sleep(FETCH_RETRY).await;
        }
        tokio::time::sleep(self.cfg.load_time.to_duration()).await;
        lock(&self.loadouts).finish(load);
        log::info!(engine:% = self.cfg.name, version:% = wanted.version; "loaded");
    }

    async fn fetch(&self, wanted: &EngineLoadout) -> bool {
        let Some(store) = &self.cfg.weights else {
            return true;
        };
        let fetch = FetchRequest {
            model: wanted.model.clone(),
            version: wanted.version.clone(),
        };
        let sent = self
            .client
            .post(format!("{store}{FETCH_PATH}"))
            .json(&fetch)
            .send();
        sent.await.is_ok_and(|answer| answer.status().is_success())
    }

    async fn compute(self: Arc<Self>) {
        let step = Duration::from_secs_f64(1.0 / self.cfg.decode.0.max(1.0));
        let step = step.clamp(SHORTEST_STEP, LONGEST_STEP);
        let instant = self.cfg.decode.0 >= INSTANT_DECODE;
        let mut last = Instant::now();
        loop {
            let arrived = self.arrived.notified();
            if lock(&self.batch).is_idle() {
                arrived.await;
                last = Instant::now();
            }
            if instant {
                tokio::task::yield_now().await;
            } else {
                tokio::time::sleep(step).await;
            }
            let seconds = last.elapsed().as_secs_f64();
            last = Instant::now();
            self.step(seconds);
        }
    }

    fn step(&self, seconds: f64) {
        let faults = self.switch.faults();
        if faults.freeze {
            return;
        }
        let slowness = if faults.slow_factor > 0.0 {
            faults.slow_factor
        } else {
            1.0
        };
        let stepped = lock(&self.batch).step(self.clock.now(), seconds / slowness);
        if stepped == Stepped::Crash {
            log::error!(engine:% = self.cfg.name; "a request crashed the engine");
            std::process::exit(CRASH_EXIT_CODE);
        }
    }

    async fn read_regularly(self: Arc<Self>) {
        let mut period = tokio::time::interval(READING_PERIOD);
        loop {
            period.tick().await;
            self.take_reading();
        }
    }

    fn take_reading(&self) {
        let reading = lock(&self.batch).load(self.cfg.name.clone(), self.clock.now());
        let mut readings = lock(&self.readings);
        readings.push_back(reading);
        if readings.len() > MAX_READINGS {
            readings.pop_front();
        }
    }
}
