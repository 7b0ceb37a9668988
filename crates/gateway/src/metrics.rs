//! Counters and latency histograms, served as text.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Mutex;

use carawayseam_types::{Millis, Tier};
use hdrhistogram::Histogram;

/// The longest time that a histogram tells apart, in milliseconds.
const LONGEST_MS: u64 = 60_000;
const SIGNIFICANT_DIGITS: u8 = 2;
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// All counters and histograms of the process.
#[derive(Debug, Default)]
pub(crate) struct Metrics(Mutex<Figures>);

#[derive(Debug, Default)]
struct Figures {
    counters: BTreeMap<(&'static str, &'static str), u64>,
    times: BTreeMap<(&'static str, Tier), Histogram<u32>>,
}

impl Metrics {
    /// Counts one event under a label.
    pub(crate) fn count(&self, name: &'static str, label: &'static str) {
        let mut figures = crate::shared::lock(&self.0);
        *figures.counters.entry((name, label)).or_default() += 1;
    }

    /// Takes one time.
    pub(crate) fn record_time(&self, name: &'static str, tier: Tier, time: Millis) {
        let mut figures = crate::shared::lock(&self.0);
        let times = figures.times.entry((name, tier)).or_insert_with(histogram);
        times.saturating_record(time.0.max(1));
    }

    /// All figures, a line each.
    pub(crate) fn text(&self) -> String {
        let figures = crate::shared::lock(&self.0);
        let mut text = String::new();
        for ((name, label), count) in &figures.counters {
            line(
                &mut text,
                format_args!("carawayseam_{name}_total{{kind=\"{label}\"}} {count}"),
            );
        }
        for ((name, tier), times) in &figures.times {
            for quantile in QUANTILES {
                let value = times.value_at_quantile(quantile);
                let labels = format_args!("tier=\"{}\",quantile=\"{quantile}\"", tier.0);
                line(
                    &mut text,
                    format_args!("carawayseam_{name}_ms{{{labels}}} {value}"),
                );
            }
            let (tier, count) = (tier.0, times.len());
            line(
                &mut text,
                format_args!("carawayseam_{name}_ms_count{{tier=\"{tier}\"}} {count}"),
            );
        }
        text
    }
}

fn histogram() -> Histogram<u32> {
    let made = Histogram::new_with_bounds(1, LONGEST_MS, SIGNIFICANT_DIGITS);
    made.expect("the bounds are valid")
}

fn line(text: &mut String, args: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    if writeln!(text, "{args}").is_err() {
        log::error!("a metric was not written");
    }
}
