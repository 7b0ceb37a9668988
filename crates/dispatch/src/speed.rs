//! How fast a backend server reads prompts and makes events, learned from its answers.

use carawayseam_types::Millis;

/// The weight of a new sample beside the average so far.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Without samples for this long, half of what was learned is forgotten.
const HALF_LIFE_MS: f64 = 6_000.0;
/// The least prompt that says something about the speed of reading, in tokens.
const TELLING_PROMPT: f64 = 800.0;

/// Times that are typical for a backend, or learned for one of its servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Pace {
    /// Reading one prompt token, in milliseconds.
    pub(crate) token: f64,
    /// Making one event, in milliseconds.
    pub(crate) event: f64,
    /// Answering at all, in milliseconds.
    pub(crate) base: f64,
}

impl Pace {
    /// What is assumed before the first answer.
    pub(crate) const ASSUMED: Self = Self {
        token: 0.012,
        event: 25.0,
        base: 12.0,
    };

    /// The time to a first event with `tokens` to read before it.
    pub(crate) fn first_event_ms(&self, tokens: f64) -> f64 {
        tokens.mul_add(self.token, self.base)
    }
}

/// The average of samples, forgotten over time in favour of the backend's average.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Learned {
    value: f64,
    at: Millis,
}

impl Learned {
    pub(crate) fn sample(&mut self, now: Millis, value: f64) {
        let weight = if self.value > 0.0 { SAMPLE_WEIGHT } else { 1.0 };
        self.value += (value - self.value) * weight;
        self.at = now;
    }

    /// The learned value, drawn towards `usual` with its age.
    pub(crate) fn get(&self, now: Millis, usual: f64) -> f64 {
        if self.value <= 0.0 {
            return usual;
        }
        let keep = 0.5_f64.powf(now.since(self.at).0 as f64 / HALF_LIFE_MS);
        // What is slower than usual is forgotten, so that the server is tried again; speed is not.
        if self.value > usual {
            keep.mul_add(self.value - usual, usual)
        } else {
            self.value
        }
    }
}

/// What is learned of one server.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Speed {
    token: Learned,
    event: Learned,
    base: Learned,
}

impl Speed {
    /// Takes the time to a first event, with `tokens` to read before it.
    pub(crate) fn on_first_event(&mut self, now: Millis, tokens: f64, millis: f64, usual: &mut Pace) {
        if tokens >= TELLING_PROMPT {
            let sample = (millis - usual.base).max(millis * 0.3) / tokens;
            self.token.sample(now, sample);
            usual.token = drift(usual.token, sample);
        } else {
            self.base.sample(now, millis);
            usual.base = drift(usual.base, millis);
        }
    }

    /// Takes the mean time between events.
    pub(crate) fn on_events(&mut self, now: Millis, millis: f64, usual: &mut Pace) {
        self.event.sample(now, millis);
        usual.event = drift(usual.event, millis);
    }

    /// The server's pace; what is not learned follows what is.
    pub(crate) fn pace(&self, now: Millis, usual: &Pace) -> Pace {
        let event = self.event.get(now, usual.event);
        let ratio = event / usual.event;
        let token = self.token.get(now, usual.token * ratio);
        Pace {
            token,
            event,
            base: self.base.get(now, usual.base),
        }
    }
}

/// Moves a backend's average a little towards a sample.
fn drift(average: f64, sample: f64) -> f64 {
    const BACKEND_SAMPLE_WEIGHT: f64 = 0.05;
    (sample - average).mul_add(BACKEND_SAMPLE_WEIGHT, average)
}
