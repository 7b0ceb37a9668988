//! The engines' side of the world: steps, reports, crashes.

use carawayseam_scheduler::{AttemptFailure, EngineReport, EngineStanding, Event};
use carawayseam_types::Millis;
use rand::RngExt;

use super::{AttemptNews, ENGINE_STEP, Fault, Happening, PROGRESS_PERIOD, REPORT_PERIOD, World};
use crate::cache::CacheChange;
use crate::engine::{Job, JobKey, News};
use crate::tally::AttemptEnd;

/// The age of a load report when it arrives.
const REPORT_LAG: Millis = Millis::from_secs(1);
/// The age of a cache event when it arrives.
const CACHE_LAG: Millis = Millis(500);
/// The part of cache events that is lost.
const CACHE_LOSS: f64 = 0.05;
/// The lag of the host list.
const STANDING_LAG: Millis = Millis::from_secs(2);
/// How long a crashed engine takes to come back.
const RESTART: Millis = Millis::from_secs(10);
/// One way inside an availability zone, and between two of them.
const NETWORK_DELAY: Millis = Millis(1);
const ZONE_CROSSING: Millis = Millis(1);

impl World {
    /// One way between a host and an engine.
    pub(super) fn delay(&self, host: usize, engine: usize) -> Millis {
        let firm = &self.setup.firm;
        if firm.members[host].zone == firm.document.engines[engine].zone {
            NETWORK_DELAY
        } else {
            NETWORK_DELAY + ZONE_CROSSING
        }
    }

    pub(super) fn engine_receives(&mut self, engine: usize, job: Job, import: Option<(usize, JobKey)>) {
        let key = job.key;
        match &self.engines[engine] {
            _ if !self.attempts.contains_key(&key) => {}
            target if !target.is_up() => {
                self.news(engine, key, AttemptNews::Failed(AttemptFailure::NotSent));
            }
            _ => {
                let imported = import.is_some_and(|(source, old)| self.engines[source].can_export(old));
                self.fates[self.owners[&key]].dispatches += 1;
                self.engines[engine].submit(job, imported);
            }
        }
    }

    pub(super) fn engine_cancels(&mut self, engine: usize, key: JobKey, end: AttemptEnd) {
        if let Some(spent) = self.engines[engine].cancel(key) {
            self.note_prefill(key, end, spent);
        }
    }

    fn note_prefill(&mut self, key: JobKey, end: AttemptEnd, spent: f64) {
        self.fates[self.owners[&key]].prefill.push((end, spent));
    }

    pub(super) fn step_engines(&mut self) {
        for engine in 0..self.engines.len() {
            let out = self.engines[engine].step(ENGINE_STEP);
            for (key, spent) in out.spent {
                self.note_prefill(key, AttemptEnd::Finished, spent);
            }
            for (key, news) in out.news {
                self.news(engine, key, news.into());
            }
            for change in out.cache {
                self.tell_cache(engine, change);
            }
            if out.crashed {
                self.crashes += 1;
                self.crash(engine);
                let back = self.now + RESTART;
                self.queue.push(back, Happening::EngineRestarts(engine));
            }
        }
        self.queue.push(self.now + ENGINE_STEP, Happening::EngineStep);
    }

    /// Sends an attempt's news to its host.
    fn news(&mut self, engine: usize, key: JobKey, news: AttemptNews) {
        let at = self.now + self.delay(key.host, engine);
        self.queue.push(at, Happening::AttemptNews { key, news });
    }

    pub(super) fn tell_progress(&mut self) {
        for engine in 0..self.engines.len() {
            for (key, produced) in self.engines[engine].progress() {
                self.news(engine, key, AttemptNews::Progress(produced));
            }
        }
        if self.setup.policy.is_product() {
            self.fail_silent_attempts();
        }
        self.queue.push(self.now + PROGRESS_PERIOD, Happening::Progress);
    }

    /// What the entry process does with its time limits on tokens.
    fn fail_silent_attempts(&mut self) {
        let limits = self.setup.firm.document.limits;
        let now = self.now;
        let silent = self.attempts.iter().filter(|(_, attempt)| {
            if attempt.began {
                now.since(attempt.last_news) > limits.token_gap_timeout
            } else {
                now.since(attempt.sent) > limits.first_token_timeout
            }
        });
        let silent: Vec<JobKey> = silent.map(|(key, _)| *key).collect();
        for key in silent {
            self.stop_attempt(key, AttemptEnd::Silent);
            self.fail_attempt(key, AttemptFailure::Silent);
        }
    }

    fn tell_cache(&mut self, engine: usize, change: CacheChange) {
        let name = self.setup.firm.document.engines[engine].name.clone();
        let event = if self.rng.random_bool(CACHE_LOSS) {
            Event::CacheGap { engine: name }
        } else {
            Event::Cache {
                engine: name,
                prefix: change.prefix,
                present: change.present,
            }
        };
        self.tell_all(CACHE_LAG, &event);
    }

    pub(super) fn report_loads(&mut self) {
        for at in 0..self.engines.len() {
            let engine = &self.engines[at];
            if !engine.is_up() {
                continue;
            }
            let report = EngineReport {
                engine: self.setup.firm.document.engines[at].name.clone(),
                reported_at: self.now,
                running: engine.running(),
                waiting: engine.waiting(),
                waiting_prompt: engine.waiting_prompt(),
            };
            self.tell_all(REPORT_LAG, &Event::Load(report));
        }
        self.queue.push(self.now + REPORT_PERIOD, Happening::Reports);
    }

    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Lose(engine) => self.crash(engine),
            Fault::Slow(engine, factor) => self.engines[engine].set_slow(factor),
        }
    }

    fn crash(&mut self, engine: usize) {
        for (key, spent) in self.engines[engine].crash() {
            self.note_prefill(key, AttemptEnd::Crashed, spent);
            self.news(engine, key, AttemptNews::Failed(AttemptFailure::ConnectionLost));
        }
        self.tell_standing(engine, EngineStanding::Gone);
    }

    pub(super) fn engine_restarts(&mut self, engine: usize) {
        self.engines[engine].restart();
        self.tell_standing(engine, EngineStanding::Live);
    }

    fn tell_standing(&mut self, engine: usize, standing: EngineStanding) {
        let engine = self.setup.firm.document.engines[engine].name.clone();
        let event = Event::EngineStanding { engine, standing };
        self.tell_all(STANDING_LAG, &event);
    }
}

impl From<News> for AttemptNews {
    fn from(news: News) -> Self {
        match news {
            News::First => Self::First,
            News::Progress(produced) => Self::Progress(produced),
            News::Finished(produced) => Self::Finished(produced),
        }
    }
}
