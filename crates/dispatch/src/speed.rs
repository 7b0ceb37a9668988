//! Estimates how fast a backend server reads prompts and generates events, from its past responses.

use carawayseam_types::Millis;

use crate::caller_time::Work;

/// Weight of a new sample in the exponential average of a server.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Time without samples after which the deviation of a slow server from the baseline has halved.
const HALF_LIFE_MS: f64 = 6_000.0;
/// Minimum number of prompt tokens for a sample of the reading speed; a shorter prompt gives a sample of
/// the base time.
const MIN_READ_SAMPLE_TOKENS: f64 = 800.0;

/// Lower bound of a sample of the time between events, since paces are divided by each other.
const MIN_EVENT_MS: f64 = 0.001;

/// Processing times, as the baseline of a backend or as estimated for one of its servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Pace {
    /// Time to read one prompt token, in milliseconds.
    pub(crate) token: f64,
    /// Time to generate one event, in milliseconds.
    pub(crate) event: f64,
    /// Time to the first event without a prompt, in milliseconds.
    pub(crate) base: f64,
}

impl Pace {
    /// Baseline assumed before the first response.
    pub(crate) const ASSUMED: Self = Self {
        token: 0.012,
        event: 25.0,
        base: 12.0,
    };

    /// Returns the expected time to the first event with `tokens` to read before it.
    pub(crate) fn first_event_ms(&self, tokens: f64) -> f64 {
        tokens.mul_add(self.token, self.base)
    }

    /// Returns the expected duration of a request on a server that has nothing else to read.
    pub(crate) fn work(&self, prompt: u32, events: u32) -> Work {
        let first_event_ms = self.first_event_ms(f64::from(prompt));
        let total_ms = f64::from(events).mul_add(self.event, first_event_ms);
        Work {
            first_event: Millis(first_event_ms as u64),
            total: Millis(total_ms as u64),
        }
    }
}

/// An exponential average of samples; values slower than the backend's baseline decay towards it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingAverage {
    value: f64,
    at: Millis,
}

impl DecayingAverage {
    pub(crate) fn sample(&mut self, now: Millis, value: f64) {
        let weight = if self.value > 0.0 { SAMPLE_WEIGHT } else { 1.0 };
        self.value += (value - self.value) * weight;
        self.at = now;
    }

    /// Returns the average, or `baseline` if there are no samples.
    ///
    /// A value above `baseline` decays towards it with the time since the last sample.
    pub(crate) fn get(&self, now: Millis, baseline: f64) -> f64 {
        if self.value <= 0.0 {
            return baseline;
        }
        let retained = 0.5_f64.powf(now.since(self.at).0 as f64 / HALF_LIFE_MS);
        // Only slowness decays, so that a slow server is tried again.
        if self.value > baseline {
            retained.mul_add(self.value - baseline, baseline)
        } else {
            self.value
        }
    }
}

/// Speed estimates of one server.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Speed {
    token: DecayingAverage,
    event: DecayingAverage,
    base: DecayingAverage,
}

impl Speed {
    /// Records the time to a first event, with `tokens` to read before it; returns the time per token if it was long
    /// enough to be measured.
    pub(crate) fn on_first_event(
        &mut self,
        now: Millis,
        tokens: f64,
        millis: f64,
        baseline: &mut Pace,
    ) -> Option<f64> {
        if tokens >= MIN_READ_SAMPLE_TOKENS {
            let sample = (millis - baseline.base).max(millis * 0.3) / tokens;
            self.token.sample(now, sample);
            baseline.token = blend(baseline.token, sample);
            Some(sample)
        } else {
            self.base.sample(now, millis);
            baseline.base = blend(baseline.base, millis);
            None
        }
    }

    /// Records the mean time between events.
    pub(crate) fn on_events(&mut self, now: Millis, millis: f64, baseline: &mut Pace) {
        let millis = millis.max(MIN_EVENT_MS);
        self.event.sample(now, millis);
        baseline.event = blend(baseline.event, millis);
    }

    /// Returns the estimated pace of the server.
    ///
    /// Without samples of the reading speed, that speed is scaled by the ratio of the server's event time
    /// to the baseline.
    pub(crate) fn pace(&self, now: Millis, baseline: &Pace) -> Pace {
        let event = self.event.get(now, baseline.event);
        let ratio = event / baseline.event;
        let token = self.token.get(now, baseline.token * ratio);
        Pace {
            token,
            event,
            base: self.base.get(now, baseline.base),
        }
    }
}

/// Returns the average of a backend, moved slightly towards a sample.
fn blend(average: f64, sample: f64) -> f64 {
    const BACKEND_SAMPLE_WEIGHT: f64 = 0.05;
    (sample - average).mul_add(BACKEND_SAMPLE_WEIGHT, average)
}
