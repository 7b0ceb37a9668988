//! Latency histograms whose bucket bounds grow by a factor of the square root of two.

use carawayseam_types::Millis;

/// Number of latency buckets; bucket `i` starts at `2^(i/2)` ms.
pub const LATENCY_BUCKETS: usize = 40;

const MICROS_PER_MILLI: u64 = 1_000;
/// Buckets per doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 2.0;

/// Returns the index of the bucket that holds a time.
pub(crate) fn bucket_of(time: Millis) -> usize {
    bucket_of_micros(time.0.saturating_mul(MICROS_PER_MILLI))
}

/// Returns the index of the bucket that holds a time in microseconds.
pub(crate) fn bucket_of_micros(micros: u64) -> usize {
    if micros <= MICROS_PER_MILLI {
        return 0;
    }
    let doublings = (micros as f64 / MICROS_PER_MILLI as f64).log2();
    ((doublings * BUCKETS_PER_DOUBLING) as usize).min(LATENCY_BUCKETS - 1)
}

/// Returns the lower bound of a bucket.
pub(crate) fn bucket_start(bucket: usize) -> Millis {
    Millis((bucket as f64 / BUCKETS_PER_DOUBLING).exp2().ceil() as u64)
}

/// Increments the count of a bucket.
pub(crate) fn increment_bucket(buckets: &mut Vec<u32>, bucket: usize) {
    if buckets.len() <= bucket {
        buckets.resize(bucket + 1, 0);
    }
    buckets[bucket] = buckets[bucket].saturating_add(1);
}

/// Adds the counts of `more` bucket by bucket.
pub(crate) fn add_buckets(buckets: &mut Vec<u32>, more: &[u32]) {
    // A datagram may carry more buckets than exist; the rest are ignored.
    let more = &more[..more.len().min(LATENCY_BUCKETS)];
    if buckets.len() < more.len() {
        buckets.resize(more.len(), 0);
    }
    for (count, added) in buckets.iter_mut().zip(more) {
        *count = count.saturating_add(*added);
    }
}

/// Returns the increase of each bucket since `earlier`.
pub(crate) fn buckets_since(now: &[u32], earlier: &[u32]) -> Vec<u32> {
    let earlier_count = |ix: usize| earlier.get(ix).copied().unwrap_or(0);
    let counts = now.iter().enumerate();
    counts
        .map(|(ix, count)| count.saturating_sub(earlier_count(ix)))
        .collect()
}

/// Returns the number of times in all buckets.
pub(crate) fn total_count(buckets: &[u32]) -> u64 {
    buckets.iter().map(|count| u64::from(*count)).sum()
}

/// Returns the number of times in bucket `from` and later ones.
pub(crate) fn tail_count(buckets: &[u32], from: usize) -> u64 {
    total_count(buckets.get(from..).unwrap_or_default())
}

/// Returns the first bucket such that it and later ones hold at most `share` of all times.
pub(crate) fn tail_bucket(buckets: &[u32], share: f64) -> usize {
    let max_beyond = total_count(buckets) as f64 * share;
    let mut beyond = 0.0;
    for (ix, count) in buckets.iter().enumerate().rev() {
        beyond += f64::from(*count);
        if beyond > max_beyond {
            return ix + 1;
        }
    }
    0
}
