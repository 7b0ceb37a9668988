//! Continuous batching: requests enter the running batch as others leave it.

use std::collections::VecDeque;

use carawayseam_external::engine::{AttemptRef, CacheEvents, KvExport, LoadReport};
use carawayseam_types::{EngineId, Millis};
use serde::{Deserialize, Serialize};

use super::Config;
use super::cache::PrefixCache;
use super::sequence::{Sequence, Standing};

/// Prefilled states of ended attempts that are kept for export.
const MAX_EXPORTS: usize = 256;

/// What an engine has done since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Stats {
    /// Requests taken into the queue.
    pub requests: u64,
    /// Answers sent whole.
    pub whole: u64,
    /// Requests that ended otherwise.
    pub broken: u64,
    /// Prompt tokens prefilled.
    pub prefill_tokens: f64,
    /// Prompt tokens that the cache or an import saved.
    pub saved_tokens: u64,
    /// Prompt tokens prefilled for requests that did not end whole.
    pub wasted_prefill_tokens: f64,
    /// Tokens sent.
    pub decoded_tokens: u64,
    /// Requests in the batch now.
    pub running: u32,
    /// Requests that wait now.
    pub waiting: u32,
}

/// What a step came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stepped {
    Done,
    /// A request makes the process crash.
    Crash,
}

#[derive(Debug)]
pub(crate) struct Batch {
    prefill_rate: f64,
    decode_rate: f64,
    capacity: usize,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    cache: PrefixCache,
    exports: VecDeque<(AttemptRef, KvExport)>,
    stats: Stats,
}

impl Batch {
    pub(crate) fn new(cfg: &Config) -> Self {
        Self {
            prefill_rate: cfg.prefill.0,
            decode_rate: cfg.decode.0,
            capacity: cfg.max_batch,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: PrefixCache::new(cfg.cache_tokens, cfg.cache_lag, cfg.cache_loss),
            exports: VecDeque::new(),
            stats: Stats::default(),
        }
    }

    pub(crate) fn push(&mut self, sequence: Sequence) {
        self.stats.requests += 1;
        self.waiting.push_back(sequence);
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Requests in the batch or waiting, and those seen so far.
    pub(crate) fn counts(&self) -> (u32, u64) {
        (
            (self.running.len() + self.waiting.len()) as u32,
            self.stats.requests,
        )
    }

    pub(crate) fn cancel(&mut self, attempt: &AttemptRef) {
        let all = self.running.iter_mut().chain(&mut self.waiting);
        let named = all.filter(|sequence| sequence.attempt == *attempt);
        named.for_each(Sequence::cancel);
    }

    pub(crate) fn export(&self, attempt: &AttemptRef) -> Option<KvExport> {
        let running = self.running.iter().find(|sequence| sequence.attempt == *attempt);
        let ended = self.exports.iter().find(|(ended, _)| ended == attempt);
        running
            .map(Sequence::export)
            .or_else(|| ended.map(|(_, export)| export.clone()))
    }

    pub(crate) fn cache_events(&self, now: Millis, after: u64) -> CacheEvents {
        self.cache.events(now, after)
    }

    pub(crate) fn stats(&self) -> Stats {
        Stats {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            ..self.stats
        }
    }

    pub(crate) fn load(&self, engine: EngineId, now: Millis) -> LoadReport {
        let queued = self.waiting.iter().map(Sequence::prompt_tokens);
        LoadReport {
            engine,
            reported_at: now.0,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            waiting_prompt_tokens: queued.sum(),
        }
    }

    /// Computes what `seconds` allow.
    pub(crate) fn step(&mut self, now: Millis, seconds: f64) -> Stepped {
        self.drop_abandoned();
        if self.admit() == Stepped::Crash {
            return Stepped::Crash;
        }
        self.prefill(now, seconds);
        self.decode(seconds);
        Stepped::Done
    }

    fn drop_abandoned(&mut self) {
        let mut at = 0;
        while at < self.running.len() {
            if self.running[at].is_abandoned() {
                self.leave(at, Standing::Broken);
            } else {
                at += 1;
            }
        }
        let before = self.waiting.len();
        self.waiting.retain(|sequence| !sequence.is_abandoned());
        self.stats.broken += (before - self.waiting.len()) as u64;
    }

    fn admit(&mut self) -> Stepped {
        while self.running.len() < self.capacity {
            let Some(mut sequence) = self.waiting.pop_front() else {
                break;
            };
            if sequence.crashes() {
                return Stepped::Crash;
            }
            let cached = self.cache.hit(&sequence.prompt);
            let to_prefill = sequence.begin(cached);
            self.stats.saved_tokens += u64::from(sequence.prompt_tokens() - to_prefill);
            self.running.push(sequence);
        }
        Stepped::Done
    }

    fn prefill(&mut self, now: Millis, seconds: f64) {
        let mut budget = self.prefill_rate * seconds;
        for sequence in self
            .running
            .iter_mut()
            .filter(|sequence| !sequence.is_prefilled())
        {
            let before = sequence.prefill_spent;
            let done = sequence.prefill(&mut budget);
            self.stats.prefill_tokens += sequence.prefill_spent - before;
            if !done {
                break;
            }
            self.cache.insert(now, &sequence.prompt);
        }
    }

    fn decode(&mut self, seconds: f64) {
        // A full batch decodes each stream at half the speed of an empty one.
        let crowding = 1.0 + self.running.len() as f64 / self.capacity as f64;
        let tokens = self.decode_rate * seconds / crowding;
        let mut at = 0;
        while at < self.running.len() {
            let sequence = &mut self.running[at];
            let (count, standing) = if sequence.is_prefilled() {
                sequence.decode(tokens)
            } else {
                (0, Standing::Going)
            };
            self.stats.decoded_tokens += u64::from(count);
            match standing {
                Standing::Going => at += 1,
                ended => self.leave(at, ended),
            }
        }
    }

    fn leave(&mut self, at: usize, standing: Standing) {
        let sequence = self.running.remove(at);
        if standing == Standing::Whole {
            self.stats.whole += 1;
        } else {
            self.stats.broken += 1;
            self.stats.wasted_prefill_tokens += sequence.prefill_spent;
        }
        self.exports
            .push_back((sequence.attempt.clone(), sequence.export()));
        if self.exports.len() > MAX_EXPORTS {
            self.exports.pop_front();
        }
    }
}
