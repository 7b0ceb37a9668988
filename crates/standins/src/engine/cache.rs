//! A bounded prefix cache, and its events as the outside sees them: late and with gaps.

use std::collections::VecDeque;

use carawayseam_external::engine::{
    BYTES_PER_TOKEN, CacheEvent, CacheEvents, estimate_tokens, prefix_digest,
};
use carawayseam_types::{Digest, Millis, Permille};
use xxhash_rust::xxh3::xxh3_64;

/// Events kept for readers that come late.
const MAX_EVENTS: usize = 4_096;

#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: u32,
    used: u32,
    /// Most recently used first.
    prompts: VecDeque<Cached>,
    events: Events,
}

#[derive(Debug)]
struct Cached {
    prefix: Digest,
    prompt: String,
    tokens: u32,
}

impl PrefixCache {
    pub(crate) fn new(capacity: u32, lag: Millis, loss: Permille) -> Self {
        Self {
            capacity,
            used: 0,
            prompts: VecDeque::new(),
            events: Events::new(lag, loss),
        }
    }

    /// The prompt's tokens that need no prefill; counts as a use.
    pub(crate) fn hit(&mut self, prompt: &str) -> u32 {
        let prefix = prefix_digest(prompt);
        let Some(at) = self.prompts.iter().position(|cached| cached.prefix == prefix) else {
            return 0;
        };
        let Some(cached) = self.prompts.remove(at) else {
            return 0;
        };
        let both = cached.prompt.bytes().zip(prompt.bytes());
        let common = both.take_while(|(a, b)| a == b).count();
        self.prompts.push_front(cached);
        (common / BYTES_PER_TOKEN) as u32
    }

    /// Keeps a prompt whose prefill is done, evicting those used longest ago.
    pub(crate) fn insert(&mut self, now: Millis, prompt: &str) {
        let prefix = prefix_digest(prompt);
        let tokens = estimate_tokens(prompt).0;
        if tokens > self.capacity {
            return;
        }
        if let Some(at) = self.prompts.iter().position(|cached| cached.prefix == prefix) {
            self.forget(at);
        } else {
            self.events.push(now, prefix, true);
        }
        while self.used + tokens > self.capacity && !self.prompts.is_empty() {
            let evicted = self.forget(self.prompts.len() - 1);
            self.events.push(now, evicted, false);
        }
        self.used += tokens;
        self.prompts.push_front(Cached {
            prefix,
            prompt: prompt.to_owned(),
            tokens,
        });
    }

    pub(crate) fn events(&self, now: Millis, after: u64) -> CacheEvents {
        self.events.shown(now, after)
    }

    fn forget(&mut self, at: usize) -> Digest {
        let gone = self.prompts.remove(at);
        self.used -= gone.as_ref().map_or(0, |cached| cached.tokens);
        gone.map_or_else(Digest::default, |cached| cached.prefix)
    }
}

#[derive(Debug)]
struct Events {
    lag: Millis,
    loss: Permille,
    newest: u64,
    log: VecDeque<(Millis, CacheEvent)>,
}

impl Events {
    const fn new(lag: Millis, loss: Permille) -> Self {
        Self {
            lag,
            loss,
            newest: 0,
            log: VecDeque::new(),
        }
    }

    fn push(&mut self, now: Millis, prefix: Digest, present: bool) {
        self.newest += 1;
        let seq = self.newest;
        // The number alone decides, so that a run repeats its gaps.
        let draw = xxh3_64(&seq.to_le_bytes()) % u64::from(Permille::WHOLE.get());
        if draw < u64::from(self.loss.get()) {
            return;
        }
        let event = CacheEvent { seq, prefix, present };
        self.log.push_back((now + self.lag, event));
        if self.log.len() > MAX_EVENTS {
            self.log.pop_front();
        }
    }

    fn shown(&self, now: Millis, after: u64) -> CacheEvents {
        let visible = self.log.iter().filter(|(from, _)| *from <= now);
        let events: Vec<CacheEvent> = visible
            .map(|(_, event)| event.clone())
            .filter(|event| event.seq > after)
            .collect();
        let newest = events.last().map_or(after, |event| event.seq);
        CacheEvents { events, newest }
    }
}
