//! Speeds learned from what engines were seen to do.

use carawayseam_types::{Millis, Tokens, TokensPerSecond};

/// A ratio of two decaying sums: long samples weigh more than short ones.
///
/// A mean of ratios would let a prompt of ten tokens, whose time is all network, spoil the figure.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rate {
    tokens: f64,
    millis: f64,
    sampled_at: Millis,
}

/// The part of the old sums that a new sample leaves in place.
const KEEP: f64 = 0.85;
/// The shortest time a sample is taken for, so that a zero never divides.
const MIN_SAMPLE_MS: f64 = 1.0;
/// After so long without a sample a figure counts half, and the pool's mean the other half.
const HALF_LIFE_IDLE_MS: f64 = 20_000.0;

impl Rate {
    /// Starts from a guess that carries the weight of `weight_ms`.
    pub(crate) fn guess(per_second: f64, weight_ms: f64) -> Self {
        Self {
            tokens: per_second * weight_ms / 1_000.0,
            millis: weight_ms,
            sampled_at: Millis::ZERO,
        }
    }

    pub(crate) fn sample(&mut self, now: Millis, tokens: f64, elapsed: Millis) {
        self.tokens = self.tokens.mul_add(KEEP, tokens);
        self.millis = self.millis.mul_add(KEEP, (elapsed.0 as f64).max(MIN_SAMPLE_MS));
        self.sampled_at = now;
    }

    /// Tokens a millisecond.
    pub(crate) fn per_ms(&self) -> f64 {
        (self.tokens / self.millis).max(1e-6)
    }

    /// Tokens a millisecond, drawn towards `mean` by the time without samples.
    pub(crate) fn per_ms_towards(&self, now: Millis, mean: f64) -> f64 {
        let idle = now.since(self.sampled_at).0 as f64;
        let own = HALF_LIFE_IDLE_MS / (HALF_LIFE_IDLE_MS + idle);
        own.mul_add(self.per_ms() - mean, mean)
    }

    pub(crate) fn as_rate(&self) -> TokensPerSecond {
        TokensPerSecond(self.per_ms() * 1_000.0)
    }
}

/// What a request asks of an engine: prompt tokens to read and tokens to write.
///
/// A call of a plain service reads nothing and writes one unit, the call itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Work {
    pub(crate) prefill: f64,
    pub(crate) decode: f64,
}

impl Work {
    pub(crate) fn of_call() -> Self {
        Self {
            prefill: 0.0,
            decode: 1.0,
        }
    }

    pub(crate) fn of_model(prompt: Tokens, output: f64) -> Self {
        Self {
            prefill: f64::from(prompt.0),
            decode: output.max(1.0),
        }
    }
}

/// The two speeds of an engine or of a pool's mean engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Speeds {
    pub(crate) prefill: Rate,
    pub(crate) decode: Rate,
}

const GUESSED_PREFILL_PER_S: f64 = 4_000.0;
const GUESSED_DECODE_PER_S: f64 = 40.0;
const GUESSED_CALLS_PER_S: f64 = 10.0;
const GUESS_WEIGHT_MS: f64 = 200.0;

impl Speeds {
    pub(crate) fn of_model() -> Self {
        Self {
            prefill: Rate::guess(GUESSED_PREFILL_PER_S, GUESS_WEIGHT_MS),
            decode: Rate::guess(GUESSED_DECODE_PER_S, GUESS_WEIGHT_MS),
        }
    }

    pub(crate) fn of_service() -> Self {
        Self {
            decode: Rate::guess(GUESSED_CALLS_PER_S, GUESS_WEIGHT_MS),
            ..Self::of_model()
        }
    }

    /// A new engine starts from its pool's mean, with little weight.
    pub(crate) fn like(mean: &Self) -> Self {
        Self {
            prefill: Rate::guess(mean.prefill.per_ms() * 1_000.0, GUESS_WEIGHT_MS),
            decode: Rate::guess(mean.decode.per_ms() * 1_000.0, GUESS_WEIGHT_MS),
        }
    }

    /// The time that `work` takes at these speeds, in milliseconds.
    pub(crate) fn millis_for(&self, work: Work) -> f64 {
        work.prefill / self.prefill.per_ms() + work.decode / self.decode.per_ms()
    }
}
