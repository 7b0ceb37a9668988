//! A fake of an engine: continuous batching, a bounded prefix cache, no priorities.
//!
//! It shares its compute between prefill and decode in fixed steps. Requests
//! beyond the batch wait in the order they came. A plain service's server is
//! an engine without prompts, whose answers are short runs of work units.

use std::collections::{BTreeMap, VecDeque};

use carawayseam_types::{AttemptId, Digest, Millis, Tokens};

use crate::cache::{CacheChange, PrefixCache};

/// The part of a step that prefill may always take, so that decoding never starves it.
const PREFILL_SHARE: f64 = 0.5;
/// Attempts whose prefilled state is kept for export after a cancel.
const EXPORTS_KEPT: usize = 64;

/// How fast an engine is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed {
    /// Prompt tokens a second.
    pub prefill: f64,
    /// Answer tokens a second, over the whole batch.
    pub decode: f64,
    /// Answer tokens a second of one request that runs alone.
    pub decode_one: f64,
}

/// Names an attempt over all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobKey {
    /// The index of the host that sent it.
    pub host: usize,
    /// The host's number for it.
    pub attempt: AttemptId,
}

/// One attempt at an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Its name.
    pub key: JobKey,
    /// The prompt's shared beginning.
    pub prefix: Digest,
    /// The length of the shared beginning.
    pub prefix_tokens: Tokens,
    /// Tokens to prefill when nothing is cached: the prompt, and what is resumed.
    pub prompt: Tokens,
    /// The answer's part that the caller has already.
    pub offset: Tokens,
    /// The answer's whole length, in tokens or work units.
    pub output: Tokens,
    /// Whether running it crashes the engine.
    pub poison: bool,
}

/// What an engine tells of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// The first token came.
    First,
    /// The answer's length so far.
    Progress(Tokens),
    /// The whole answer's length.
    Finished(Tokens),
}

/// What one step brought.
#[derive(Debug, Default)]
pub struct StepOutput {
    /// News of attempts.
    pub news: Vec<(JobKey, News)>,
    /// Changes of the prefix cache.
    pub cache: Vec<CacheChange>,
    /// Prefill spent by attempts that ended, in tokens.
    pub spent: Vec<(JobKey, f64)>,
    /// Whether a poison request began; the caller then lets the engine crash.
    pub crashed: bool,
}

/// What an engine did in its life, to check that no token is lost or invented.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Ledger {
    /// Prompt tokens computed.
    pub prefilled: f64,
    /// Prompt tokens taken from the cache.
    pub cached: f64,
    /// Answer tokens computed.
    pub decoded: f64,
}

#[derive(Debug)]
struct Running {
    job: Job,
    prefill_left: f64,
    prefill_spent: f64,
    produced: f64,
    begun: bool,
}

impl Running {
    fn is_decoding(&self) -> bool {
        self.prefill_left <= 0.0
    }

    fn output_left(&self) -> f64 {
        f64::from(self.job.output.0) - self.produced
    }
}

/// The fake.
#[derive(Debug)]
pub struct Engine {
    speed: Speed,
    max_running: usize,
    slow: f64,
    up: bool,
    waiting: VecDeque<(Job, bool)>,
    running: Vec<Running>,
    cache: PrefixCache,
    exports: VecDeque<JobKey>,
    ledger: Ledger,
}

impl Engine {
    /// Makes an idle engine.
    #[must_use]
    pub fn new(speed: Speed, max_running: u32, cache: Tokens) -> Self {
        Self {
            speed,
            max_running: max_running as usize,
            slow: 1.0,
            up: true,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: PrefixCache::new(cache),
            exports: VecDeque::new(),
            ledger: Ledger::default(),
        }
    }

    /// Whether it is up.
    #[must_use]
    pub const fn is_up(&self) -> bool {
        self.up
    }

    /// Requests in the batch.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Prompt tokens that wait.
    #[must_use]
    pub fn waiting_prompt(&self) -> Tokens {
        self.waiting.iter().map(|(job, _)| job.prompt).sum()
    }

    /// What it did so far.
    #[must_use]
    pub const fn ledger(&self) -> Ledger {
        self.ledger
    }

    /// Sets the factor of its speed; 1 is whole.
    pub const fn set_slow(&mut self, factor: f64) {
        self.slow = factor;
    }

    /// The time a job would take if it joined now, without waiting.
    #[must_use]
    pub fn time_to_serve(&self, prompt: f64, output: f64) -> Millis {
        let batch = self.running.len().max(1) as f64;
        let rate = self.speed.decode_one.min(self.speed.decode / batch);
        let secs = prompt / (self.speed.prefill * PREFILL_SHARE) + output / rate;
        Millis((secs * 1_000.0 / self.slow) as u64)
    }

    /// Takes a job; `imported` says that its prefilled state came from another engine.
    pub fn submit(&mut self, job: Job, imported: bool) {
        self.waiting.push_back((job, imported));
    }

    /// Whether the prefilled state of an attempt can be exported.
    #[must_use]
    pub fn can_export(&self, key: JobKey) -> bool {
        let runs = |r: &Running| r.job.key == key && r.is_decoding();
        self.up && (self.exports.contains(&key) || self.running.iter().any(runs))
    }

    /// Stops a job and gives the prefill it spent, if it was here.
    pub fn cancel(&mut self, key: JobKey) -> Option<f64> {
        self.waiting.retain(|(job, _)| job.key != key);
        let at = self.running.iter().position(|r| r.job.key == key)?;
        let stopped = self.running.remove(at);
        if stopped.is_decoding() {
            self.exports.push_back(key);
            self.exports
                .drain(..self.exports.len().saturating_sub(EXPORTS_KEPT));
        }
        Some(stopped.prefill_spent)
    }

    /// Goes down and gives each lost job with the prefill it spent.
    pub fn crash(&mut self) -> Vec<(JobKey, f64)> {
        self.up = false;
        self.cache.clear();
        self.exports.clear();
        let ran = self.running.drain(..).map(|r| (r.job.key, r.prefill_spent));
        let waited = self.waiting.drain(..).map(|(job, _)| (job.key, 0.0));
        ran.chain(waited).collect()
    }

    /// Comes up again, empty.
    pub const fn restart(&mut self) {
        self.up = true;
    }

    /// Lets `dt` pass.
    pub fn step(&mut self, dt: Millis) -> StepOutput {
        let mut out = StepOutput::default();
        if !self.up {
            return out;
        }
        self.fill_batch();
        let budget = dt.as_secs_f64() * self.slow;
        let decode_need = self.decode_need(budget);
        let prefill_limit = (budget * PREFILL_SHARE).max(budget - decode_need);
        let prefill_used = self.prefill(prefill_limit, &mut out);
        self.decode(budget, decode_need, budget - prefill_used, &mut out);
        self.retire(&mut out);
        out
    }

    fn fill_batch(&mut self) {
        while self.running.len() < self.max_running {
            let Some((job, imported)) = self.waiting.pop_front() else {
                return;
            };
            let hit = self.cache.touch(job.prefix);
            let known = match (imported, hit) {
                (true, _) => job.prompt,
                (false, true) => job.prefix_tokens.min(job.prompt),
                (false, false) => Tokens(0),
            };
            self.ledger.cached += f64::from(known.0);
            self.running.push(Running {
                prefill_left: f64::from(job.prompt.0) - f64::from(known.0),
                prefill_spent: 0.0,
                produced: f64::from(job.offset.0),
                begun: false,
                job,
            });
        }
    }

    /// Compute seconds that the decoding requests could use, each at its own top speed.
    fn decode_need(&self, budget: f64) -> f64 {
        let top = self.speed.decode_one * budget;
        let wanted = self.running.iter().filter(|r| r.is_decoding());
        wanted.map(|r| r.output_left().min(top)).sum::<f64>() / self.speed.decode
    }

    fn prefill(&mut self, limit: f64, out: &mut StepOutput) -> f64 {
        let mut left = limit;
        for r in self.running.iter_mut().filter(|r| !r.is_decoding()) {
            out.crashed |= r.job.poison;
            let done = r.prefill_left.min(left * self.speed.prefill);
            r.prefill_left -= done;
            r.prefill_spent += done;
            self.ledger.prefilled += done;
            left -= done / self.speed.prefill;
            if r.prefill_left < 1e-6 {
                r.prefill_left = 0.0;
                self.cache
                    .insert(r.job.prefix, r.job.prefix_tokens, &mut out.cache);
            }
        }
        limit - left
    }

    fn decode(&mut self, budget: f64, need: f64, left: f64, out: &mut StepOutput) {
        if need <= 0.0 {
            return;
        }
        let scale = (left / need).min(1.0);
        let top = self.speed.decode_one * budget;
        for r in self.running.iter_mut().filter(|r| r.is_decoding()) {
            out.crashed |= r.job.poison;
            let done = r.output_left().min(top) * scale;
            r.produced += done;
            self.ledger.decoded += done;
            if !r.begun && r.produced >= f64::from(r.job.offset.0) + 1.0 {
                r.begun = true;
                out.news.push((r.job.key, News::First));
            }
        }
    }

    fn retire(&mut self, out: &mut StepOutput) {
        let done = |r: &Running| r.is_decoding() && r.output_left() < 1e-6;
        for r in self.running.iter().filter(|r| done(r)) {
            out.news.push((r.job.key, News::Finished(r.job.output)));
            out.spent.push((r.job.key, r.prefill_spent));
        }
        self.running.retain(|r| !done(r));
    }

    /// The answers' lengths so far.
    #[must_use]
    pub fn progress(&self) -> BTreeMap<JobKey, Tokens> {
        let begun = self.running.iter().filter(|r| r.begun);
        begun.map(|r| (r.job.key, Tokens(r.produced as u32))).collect()
    }

    /// Tokens of running work that are still to be prefilled and decoded.
    #[must_use]
    pub fn work_left(&self) -> (f64, f64) {
        let prefill = self.running.iter().map(|r| r.prefill_left).sum();
        let decode = self.running.iter().map(Running::output_left).sum();
        (prefill, decode)
    }
}
