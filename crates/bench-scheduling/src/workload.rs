//! Open-loop callers: Poisson arrivals, lengths a hundredfold apart, fixed seeds.
//!
//! Each stream of calls draws from its own generator, so that adding one
//! stream leaves the calls of all others as they were.

use carawayseam_types::{Digest, Millis, Tier, Tokens};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::firm::{Class, Firm, PREFILL_PER_DECODE, SERVICE_UNITS};

/// Draws for the mean work of a class.
const MEAN_DRAWS: u32 = 20_000;
/// Seeds the draws for the mean work, in each run alike.
const MEAN_SEED: u64 = 0x6d65_616e;
/// The shortest answer as a part of the longest.
const MIN_ANSWER: f64 = 0.25;

/// What a caller does when it is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryHabit {
    /// It gives up.
    GivesUp,
    /// Half of the callers wait as they are told, half ask again at once, until the deadline.
    AsksAgain,
    /// It asks again without end, whatever it is answered.
    Endless,
}

/// One caller's request.
#[derive(Debug, Clone)]
pub struct Call {
    /// When it is first sent.
    pub at: Millis,
    /// When its answer is due.
    pub deadline: Millis,
    /// Its class.
    pub class: Class,
    /// The digest of its content.
    pub content: Digest,
    /// The digest of its shared beginning.
    pub prefix: Digest,
    /// The length of its shared beginning.
    pub prefix_tokens: Tokens,
    /// Its prompt's length.
    pub prompt: Tokens,
    /// Its answer's length, in tokens or work units.
    pub output: Tokens,
    /// What its caller does when refused.
    pub habit: RetryHabit,
    /// Whether it crashes each engine that runs it.
    pub poison: bool,
}

/// Calls of one class at a constant rate.
#[derive(Debug, Clone, Copy)]
pub struct Stream {
    /// The class's place in the firm's list.
    pub class: usize,
    /// Tells apart two streams of one class.
    pub id: u64,
    /// Its first moment.
    pub from: Millis,
    /// Its end.
    pub until: Millis,
    /// Its work in answer tokens a second; a prompt counts by its compute.
    pub work: f64,
    /// What its callers do when refused.
    pub habit: RetryHabit,
}

/// The lengths of one call.
#[derive(Debug, Clone, Copy)]
struct Lengths {
    prompt: Tokens,
    output: Tokens,
}

fn draw_lengths(firm: &Firm, class: Class, rng: &mut StdRng) -> Lengths {
    let max_output = firm.document.routes[class.route].max_output;
    if max_output == Tokens(0) {
        return Lengths {
            prompt: Tokens(0),
            output: SERVICE_UNITS,
        };
    }
    let shape = firm.prompt_shape(class);
    let prompt = Tokens(rng.random_range(shape.min..=shape.max));
    let x: f64 = rng.random();
    let part = MIN_ANSWER + (1.0 - MIN_ANSWER) * x * x;
    let output = Tokens((f64::from(max_output.0) * part).ceil() as u32);
    Lengths { prompt, output }
}

/// The least work of a call, in answer tokens: its prefix counts as cached.
fn work(firm: &Firm, class: Class, lengths: Lengths) -> f64 {
    let prefix = firm.prompt_shape(class).prefix.min(lengths.prompt);
    let fresh = f64::from(lengths.prompt.0 - prefix.0);
    fresh / PREFILL_PER_DECODE + f64::from(lengths.output.0)
}

/// The mean of the least work of a class's calls, in answer tokens.
#[must_use]
pub fn mean_work(firm: &Firm, class: Class) -> f64 {
    let mut rng = StdRng::seed_from_u64(MEAN_SEED);
    let draws = (0..MEAN_DRAWS).map(|_| {
        let lengths = draw_lengths(firm, class, &mut rng);
        work(firm, class, lengths)
    });
    draws.sum::<f64>() / f64::from(MEAN_DRAWS)
}

/// All calls of the streams, in the order they are sent.
#[must_use]
pub fn trace(firm: &Firm, streams: &[Stream], seed: u64) -> Vec<Call> {
    let mut calls: Vec<Call> = streams
        .iter()
        .flat_map(|stream| stream_calls(firm, *stream, seed))
        .collect();
    calls.sort_by_key(|call| call.at);
    calls
}

fn stream_calls(firm: &Firm, stream: Stream, seed: u64) -> Vec<Call> {
    let class = firm.classes[stream.class];
    let key = format!("{seed}/{}/{}", stream.class, stream.id);
    let mut rng = StdRng::seed_from_u64(Digest::of(key.as_bytes()).0 as u64);
    let rate = stream.work / mean_work(firm, class);
    let mut calls = Vec::new();
    let mut at = stream.from.as_secs_f64();
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        let sent = Millis((at * 1_000.0) as u64);
        if rate <= 0.0 || sent >= stream.until {
            return calls;
        }
        let lengths = draw_lengths(firm, class, &mut rng);
        calls.push(call(firm, stream, sent, lengths, &mut rng));
    }
}

fn call(firm: &Firm, stream: Stream, at: Millis, lengths: Lengths, rng: &mut StdRng) -> Call {
    let class = firm.classes[stream.class];
    let shape = firm.prompt_shape(class);
    let prefix = format!("{}/{}", class.route, rng.random_range(0..shape.prefixes));
    Call {
        at,
        deadline: at + firm.document.routes[class.route].max_deadline,
        class,
        content: Digest(rng.random()),
        prefix: Digest::of(prefix.as_bytes()),
        prefix_tokens: shape.prefix.min(lengths.prompt),
        prompt: lengths.prompt,
        output: lengths.output,
        habit: stream.habit,
        poison: false,
    }
}

/// The least work of a call, in answer tokens.
#[must_use]
pub fn call_work(firm: &Firm, call: &Call) -> f64 {
    let lengths = Lengths {
        prompt: call.prompt,
        output: call.output,
    };
    work(firm, call.class, lengths)
}

/// A tier's name in reports.
#[must_use]
pub fn tier_name(firm: &Firm, tier: Tier) -> &str {
    firm.document.tiers[usize::from(tier.0)].as_str()
}
