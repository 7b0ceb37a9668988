//! Counters and latency histograms, served as text.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Mutex;

use carawayseam_types::{Millis, Tier};
use hdrhistogram::Histogram;

/// The largest time that a histogram records; longer times count as this one.
const MAX_TIME_MS: u64 = 60_000;
const SIGNIFICANT_DIGITS: u8 = 2;
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// All counters and histograms of the process.
#[derive(Debug, Default)]
pub(crate) struct Metrics(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    counters: BTreeMap<(&'static str, &'static str), u64>,
    times: BTreeMap<(&'static str, Tier), Histogram<u32>>,
}

impl Metrics {
    /// Increments a counter.
    pub(crate) fn count(&self, name: &'static str, label: &'static str) {
        let mut state = crate::shared::lock(&self.0);
        *state.counters.entry((name, label)).or_default() += 1;
    }

    /// Returns the value of a counter.
    pub(crate) fn value(&self, name: &'static str, label: &'static str) -> u64 {
        let state = crate::shared::lock(&self.0);
        state.counters.get(&(name, label)).copied().unwrap_or_default()
    }

    /// Records one time in a histogram.
    pub(crate) fn record_time(&self, name: &'static str, tier: Tier, time: Millis) {
        let mut state = crate::shared::lock(&self.0);
        let times = state.times.entry((name, tier)).or_insert_with(new_histogram);
        times.saturating_record(time.0.max(1));
    }

    /// Renders all counters and histograms as text, one line for each value.
    pub(crate) fn render(&self) -> String {
        let state = crate::shared::lock(&self.0);
        let mut text = String::new();
        for ((name, label), count) in &state.counters {
            write_line(
                &mut text,
                format_args!("carawayseam_{name}_total{{kind=\"{label}\"}} {count}"),
            );
        }
        for ((name, tier), times) in &state.times {
            for quantile in QUANTILES {
                let value = times.value_at_quantile(quantile);
                let labels = format_args!("tier=\"{}\",quantile=\"{quantile}\"", tier.0);
                write_line(
                    &mut text,
                    format_args!("carawayseam_{name}_ms{{{labels}}} {value}"),
                );
            }
            let (tier, count) = (tier.0, times.len());
            write_line(
                &mut text,
                format_args!("carawayseam_{name}_ms_count{{tier=\"{tier}\"}} {count}"),
            );
        }
        text
    }
}

fn new_histogram() -> Histogram<u32> {
    let histogram = Histogram::new_with_bounds(1, MAX_TIME_MS, SIGNIFICANT_DIGITS);
    histogram.expect("the bounds are valid")
}

fn write_line(text: &mut String, args: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    if writeln!(text, "{args}").is_err() {
        log::error!("a metric was not written");
    }
}
