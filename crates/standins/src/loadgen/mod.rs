//! A load generator: open loop, seeded, and it checks each answer.
//!
//! Requests leave at their drawn times whether or not earlier ones have
//! ended, so a slow system meets a growing queue, as with real callers.

mod caller;
mod check;
mod flags;
mod overhead;
mod path;
mod report;
mod sse;
mod workload;

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Arc;

use carawayseam_external::service::{COUNTS_PATH, Counts};
use reqwest::Client;
use serde::de::DeserializeOwned;
use tokio::task::JoinSet;
use tokio::time::Instant;

pub use caller::Served;
pub use check::{Ending, StreamCheck, check_call, check_refusal};
use flags::{Flags, Mode};
pub use flags::{Plan, PlanError};
pub use report::{Percentiles, Prefill, Report, Tally, TierRow};
pub use sse::{SseEvent, SseReader};
pub use workload::{Ask, Mix, RouteShare, Shot, Workload};

use crate::StandinError;
use crate::engine::Stats;
use crate::faults::STATS_PATH;
use crate::server::block_on;

/// The report names something that must never happen.
const EXIT_UNSOUND: u8 = 1;
/// The flags make no plan, or the load cannot be run.
const EXIT_USAGE: u8 = 2;

/// Runs the process.
#[must_use]
pub fn main() -> ExitCode {
    match flags::options().run() {
        Mode::Load(flags) => load(flags),
        Mode::Overhead(flags) => overhead::main(&flags),
    }
}

fn load(flags: Flags) -> ExitCode {
    let plan = match flags.into_plan() {
        Ok(plan) => plan,
        Err(e) => return failed(&eyre::Report::new(e)),
    };
    match block_on("loadgen", run(&plan)) {
        Ok(report) => print(&plan, &report),
        Err(e) => failed(&eyre::Report::new(e)),
    }
}

fn failed(error: &eyre::Report) -> ExitCode {
    eprintln!("carawayseam-loadgen: {error:#}");
    ExitCode::from(EXIT_USAGE)
}

fn print(plan: &Plan, report: &Report) -> ExitCode {
    match serde_json::to_string_pretty(report) {
        Ok(text) if plan.json => println!("{text}"),
        _ => println!("{report}"),
    }
    if report.is_sound() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_UNSOUND)
    }
}

fn client() -> Result<Client, StandinError> {
    Client::builder()
        .no_proxy()
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        .build()
        .map_err(|source| StandinError::Client { source })
}

/// Runs a load to its end.
///
/// # Errors
///
/// When no HTTP client can be made; failed requests are in the report.
pub async fn run(plan: &Plan) -> Result<Report, StandinError> {
    let client = client()?;
    let before = prefill(&client, &plan.engines).await;
    let tally = send_all(&client, plan).await;
    let after = prefill(&client, &plan.engines).await;
    let spent = Prefill {
        tokens: after.tokens - before.tokens,
        wasted: after.wasted - before.wasted,
        saved: after.saved - before.saved,
    };
    let runs = runs(&client, &plan.services).await;
    Ok(tally.report(plan.mix.duration, plan.mix.seed, spent, &runs))
}

async fn send_all(client: &Client, plan: &Plan) -> Tally {
    let started = Instant::now();
    let mix = Arc::new(plan.mix.clone());
    let mut calls = JoinSet::new();
    let mut tally = Tally::default();
    for (at, shot) in Workload::new(plan.mix.clone()).enumerate() {
        let due = started + shot.at.to_duration();
        tokio::time::sleep_until(due).await;
        let url = plan.entries[at % plan.entries.len()].clone();
        let (client, mix) = (client.clone(), Arc::clone(&mix));
        calls.spawn(async move { caller::send(client, url, &mix, shot).await });
        while let Some(ended) = calls.try_join_next() {
            count(&mut tally, ended);
        }
    }
    while let Some(ended) = calls.join_next().await {
        count(&mut tally, ended);
    }
    tally
}

fn count(tally: &mut Tally, ended: Result<Served, tokio::task::JoinError>) {
    match ended {
        Ok(served) => tally.add(&served),
        Err(e) => log::error!("a caller broke off: {e}"),
    }
}

/// The engines' prefill so far; an engine that does not answer counts nothing.
async fn prefill(client: &Client, engines: &[String]) -> Prefill {
    let mut sum = Prefill::default();
    for engine in engines {
        let Some(stats) = get::<Stats>(client, &format!("{engine}{STATS_PATH}")).await else {
            continue;
        };
        sum.tokens += stats.prefill_tokens;
        sum.wasted += stats.wasted_prefill_tokens;
        sum.saved += stats.saved_tokens as f64;
    }
    sum
}

/// The runs of each request over all services.
async fn runs(client: &Client, services: &[String]) -> BTreeMap<String, u32> {
    let mut runs = BTreeMap::new();
    for service in services {
        let counts = get::<Counts>(client, &format!("{service}{COUNTS_PATH}")).await;
        for (key, count) in counts.map(|counts| counts.runs).unwrap_or_default() {
            *runs.entry(key).or_insert(0) += count;
        }
    }
    runs
}

async fn get<T: DeserializeOwned>(client: &Client, url: &str) -> Option<T> {
    match client.get(url).send().await {
        Ok(answer) => answer.json().await.ok(),
        Err(e) => {
            log::warn!("{url} does not answer: {e}");
            None
        }
    }
}
