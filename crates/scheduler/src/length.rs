//! Predicts the length of answers by route and class of prompt.

use std::collections::HashMap;

use carawayseam_types::Tokens;

use crate::index::RouteIx;

/// Two buckets to each doubling of the length.
const BUCKETS: usize = 48;
const BUCKETS_PER_DOUBLING: f64 = 2.0;
/// When so many lengths were counted, all counts are halved, so that old ones fade.
const FADE_AT: u32 = 400;
/// With fewer lengths than this the route's limit is the better guide.
const ENOUGH: u32 = 6;
/// The part of the allowed length that is expected of an unknown route.
const UNKNOWN_PART: f64 = 0.5;
/// The part of answers that count as few.
const FEW: f64 = 0.1;
/// The part of answers that count as likely.
const LIKELY: f64 = 0.6;
/// The part of answers that count as most.
const MOST: f64 = 0.99;
/// Prompts of one class differ in length by less than four times.
const CLASS_BITS: u32 = 2;

/// A histogram of lengths, in logarithmic buckets.
#[derive(Debug, Clone)]
struct Histogram {
    counts: [u32; BUCKETS],
    total: u32,
    mean: f64,
}

const MEAN_KEEP: f64 = 0.95;

impl Histogram {
    const fn new() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
            mean: 0.0,
        }
    }

    fn bucket(length: f64) -> usize {
        let place = (length.max(1.0).log2() * BUCKETS_PER_DOUBLING) as usize;
        place.min(BUCKETS - 1)
    }

    fn add(&mut self, length: f64) {
        self.counts[Self::bucket(length)] += 1;
        self.total += 1;
        let keep = MEAN_KEEP.min(1.0 - 1.0 / f64::from(self.total));
        self.mean = keep.mul_add(self.mean - length, length);
        if self.total >= FADE_AT {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    fn quantile(&self, share: f64) -> f64 {
        let wanted = (f64::from(self.total) * share).ceil() as u32;
        let mut seen = 0;
        for (place, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= wanted {
                return ((place as f64 + 0.5) / BUCKETS_PER_DOUBLING).exp2();
            }
        }
        self.mean
    }
}

/// What is expected of one answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Prediction {
    /// The length that few answers stay below.
    pub(crate) least: f64,
    /// The length that half of the answers stay below.
    pub(crate) median: f64,
    /// The length that three of five answers stay below.
    pub(crate) likely: f64,
    /// The length that most answers stay below.
    pub(crate) most: f64,
    /// The mean, by which queues are measured.
    pub(crate) mean: f64,
}

/// Answer lengths seen, by route and class of prompt.
#[derive(Debug, Default)]
pub(crate) struct Lengths {
    seen: HashMap<(RouteIx, u32), Histogram>,
}

/// Prompts whose lengths lie within a factor of four share a class.
fn prompt_class(prompt: Tokens) -> u32 {
    (u32::BITS - prompt.0.leading_zeros()) / CLASS_BITS
}

impl Lengths {
    pub(crate) fn learn(&mut self, route: RouteIx, prompt: Tokens, length: Tokens) {
        let key = (route, prompt_class(prompt));
        let histogram = self.seen.entry(key).or_insert_with(Histogram::new);
        histogram.add(f64::from(length.0));
    }

    pub(crate) fn predict(&self, route: RouteIx, prompt: Tokens, max: Tokens) -> Prediction {
        let max = f64::from(max.0).max(1.0);
        match self.seen.get(&(route, prompt_class(prompt))) {
            Some(histogram) if histogram.total >= ENOUGH => Prediction {
                least: histogram.quantile(FEW).min(max),
                median: histogram.quantile(0.5).min(max),
                likely: histogram.quantile(LIKELY).min(max),
                most: histogram.quantile(MOST).min(max),
                mean: histogram.mean.min(max),
            },
            _ => Prediction {
                least: 1.0,
                median: max * UNKNOWN_PART,
                likely: max * UNKNOWN_PART,
                most: max,
                mean: max * UNKNOWN_PART,
            },
        }
    }
}
