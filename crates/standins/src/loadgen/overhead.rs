//! What an entry host adds to a direct call, in one run.
//!
//! Both ways take turns, call by call, so that a busy moment of the machine
//! falls on both.

use std::fmt;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use carawayseam_config::BackendKind;
use futures_util::future::join_all;
use serde::Serialize;

use super::flags::{OverheadFlags, read_document};
use super::path::{Target, Way};
use super::report::{Percentiles, histogram, record};
use super::{EXIT_UNSOUND, client, failed};
use crate::server::block_on;

/// Calls made before anything is measured, on each way.
const WARM_UP_CALLS: u64 = 200;
/// The length of the answers that are open when memory is read, in tokens.
const OPEN_STREAM_TOKENS: u32 = 200;
const KIB_PER_MIB: f64 = 1_024.0;

/// What was measured.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Overhead {
    direct_ms: Percentiles,
    entry_ms: Percentiles,
    direct_per_second: f64,
    entry_per_second: f64,
    memory: Option<Memory>,
    not_whole: u64,
}

/// Resident memory of the entry host's process.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct Memory {
    streams: usize,
    idle_mib: f64,
    open_mib: f64,
}

pub(super) fn main(flags: &OverheadFlags) -> ExitCode {
    let target = match prepare(flags) {
        Ok(target) => target,
        Err(e) => return failed(&e),
    };
    match block_on("loadgen", async { Ok(measure(flags, &target).await) }) {
        Ok(overhead) => print(flags, &overhead),
        Err(e) => failed(&eyre::Report::new(e)),
    }
}

fn prepare(flags: &OverheadFlags) -> eyre::Result<Target> {
    let document = read_document(&flags.document)?;
    let client = client()?;
    let (entry, direct) = (flags.entry.clone(), flags.direct.clone());
    Ok(Target::new(client, entry, direct, &document, &flags.route)?)
}

fn print(flags: &OverheadFlags, overhead: &Overhead) -> ExitCode {
    match serde_json::to_string_pretty(overhead) {
        Ok(text) if flags.json => println!("{text}"),
        _ => println!("{overhead}"),
    }
    if overhead.not_whole == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_UNSOUND)
    }
}

async fn measure(flags: &OverheadFlags, target: &Target) -> Overhead {
    let not_whole = Arc::new(AtomicU64::new(0));
    for number in 0..WARM_UP_CALLS {
        target.call(Way::Direct, number).await;
        target.call(Way::Entry, number).await;
    }
    let (mut direct, mut entry) = (histogram(), histogram());
    for number in WARM_UP_CALLS..WARM_UP_CALLS + u64::from(flags.calls) {
        record(&mut direct, time(target, Way::Direct, number, &not_whole).await);
        record(&mut entry, time(target, Way::Entry, number, &not_whole).await);
    }
    Overhead {
        direct_ms: Percentiles::of(&direct),
        entry_ms: Percentiles::of(&entry),
        direct_per_second: throughput(flags, target, Way::Direct, &not_whole).await,
        entry_per_second: throughput(flags, target, Way::Entry, &not_whole).await,
        memory: memory(flags, target).await,
        not_whole: not_whole.load(Ordering::Relaxed),
    }
}

async fn time(target: &Target, way: Way, number: u64, not_whole: &AtomicU64) -> Duration {
    let started = Instant::now();
    if !target.call(way, number).await {
        not_whole.fetch_add(1, Ordering::Relaxed);
    }
    started.elapsed()
}

/// Whole answers a second with several callers, each with one call at a time.
async fn throughput(flags: &OverheadFlags, target: &Target, way: Way, not_whole: &Arc<AtomicU64>) -> f64 {
    let started = Instant::now();
    let callers = (0..flags.callers as u64).map(|caller| {
        let (target, not_whole) = (target.clone(), Arc::clone(not_whole));
        let span = flags.span.to_duration();
        tokio::spawn(async move { call_for(&target, way, caller << 32, span, &not_whole).await })
    });
    let counts = join_all(callers).await;
    let whole: u64 = counts.into_iter().flatten().sum();
    whole as f64 / started.elapsed().as_secs_f64()
}

async fn call_for(target: &Target, way: Way, first: u64, span: Duration, not_whole: &AtomicU64) -> u64 {
    let started = Instant::now();
    let mut whole = 0;
    for number in first.. {
        if target.call(way, number).await {
            whole += 1;
        } else {
            not_whole.fetch_add(1, Ordering::Relaxed);
        }
        if started.elapsed() >= span {
            break;
        }
    }
    whole
}

/// Reads the process's memory, idle and with open streams.
async fn memory(flags: &OverheadFlags, target: &Target) -> Option<Memory> {
    let pid = flags.pid.filter(|_| target.kind == BackendKind::Model)?;
    let idle_mib = resident_mib(pid)?;
    let opening = (0..flags.streams as u64).map(|number| {
        let prompt = Target::prompt(number, OPEN_STREAM_TOKENS);
        target.request(Way::Entry, number, &prompt).send()
    });
    // An entry host answers a stream's head at once, and the tokens as they come.
    let answers = join_all(opening).await;
    let open_mib = resident_mib(pid)?;
    let open: Vec<_> = answers
        .into_iter()
        .flatten()
        .filter(|answer| answer.status().is_success())
        .collect();
    Some(Memory {
        streams: open.len(),
        idle_mib,
        open_mib,
    })
}

fn resident_mib(pid: u32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: f64 = line.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kib / KIB_PER_MIB)
}

impl fmt::Display for Overhead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (direct, entry) = (self.direct_ms, self.entry_ms);
        writeln!(
            f,
            "{:<12}{:>10}{:>10}{:>10}{:>12}",
            "way", "p50", "p95", "p99", "whole/s"
        )?;
        for (way, ms, rate) in [
            ("direct", direct, self.direct_per_second),
            ("entry host", entry, self.entry_per_second),
        ] {
            writeln!(
                f,
                "{way:<12}{:>8.3}ms{:>8.3}ms{:>8.3}ms{rate:>12.0}",
                ms.p50, ms.p95, ms.p99
            )?;
        }
        let (p50, p95, p99) = (
            entry.p50 - direct.p50,
            entry.p95 - direct.p95,
            entry.p99 - direct.p99,
        );
        writeln!(f, "{:<12}{p50:>8.3}ms{p95:>8.3}ms{p99:>8.3}ms", "added")?;
        if let Some(memory) = self.memory {
            let Memory {
                streams,
                idle_mib,
                open_mib,
            } = memory;
            writeln!(
                f,
                "memory: {idle_mib:.1} MiB idle, {open_mib:.1} MiB with {streams} streams open"
            )?;
        }
        write!(f, "answers that were not whole: {}", self.not_whole)
    }
}
