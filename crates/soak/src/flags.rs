//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use carawayseam_types::{Clock, Millis};
use eyre::WrapErr;

use crate::run::{Verdict, run};
use crate::schedule::{Schedule, Size};

/// Runs gateway processes under faults that are drawn from seeds.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Flags {
    /// Plays this seed; may be repeated.
    #[bpaf(argument("NUMBER"))]
    seed: Vec<u64>,
    /// Plays so many new seeds.
    #[bpaf(argument("COUNT"), fallback(0))]
    fresh: u64,
    /// Gateway processes.
    #[bpaf(argument("COUNT"), fallback(5))]
    gateways: usize,
    /// Backend servers of the movable backend.
    #[bpaf(argument("COUNT"), fallback(4))]
    servers: usize,
    /// How long a run lasts, in seconds.
    #[bpaf(argument("SECONDS"), fallback(36))]
    seconds: u64,
    /// Folder of the gateway program; the folder of this program if left out.
    #[bpaf(argument("DIR"))]
    programs: Option<PathBuf>,
    /// Prints the schedules and plays nothing.
    schedule: bool,
}

/// Plays the seeds of the command line; fails with the first broken promise.
#[must_use]
pub fn main() -> ExitCode {
    match play(&flags().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("carawayseam-soak: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn play(flags: &Flags) -> eyre::Result<bool> {
    let size = Size {
        gateways: flags.gateways.max(1),
        servers: flags.servers.max(1),
        length: Millis::from_secs(flags.seconds),
    };
    let first_fresh = Clock::system().now().0;
    let seeds = flags
        .seed
        .iter()
        .copied()
        .chain(first_fresh..first_fresh + flags.fresh);
    let program = program(flags)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .wrap_err("cannot start threads")?;
    let mut all_kept = true;
    for seed in seeds {
        if flags.schedule {
            println!("{:#?}", Schedule::draw(seed, size));
            continue;
        }
        let verdict = runtime.block_on(run(&program, seed, size))?;
        all_kept &= verdict.broken.is_none();
        print(&verdict);
    }
    Ok(all_kept)
}

fn program(flags: &Flags) -> eyre::Result<PathBuf> {
    let me = std::env::current_exe().wrap_err("cannot find this program")?;
    let beside = me.parent().map(PathBuf::from).unwrap_or_default();
    let dir = flags.programs.clone().unwrap_or(beside);
    let program = dir.join("carawayseam-gateway");
    eyre::ensure!(
        program.exists(),
        "{} does not exist; build it first",
        program.display()
    );
    Ok(program)
}

/// Prints a verdict, with all that is needed to see it again.
pub fn print(verdict: &Verdict) {
    let Schedule { seed, entries } = &verdict.schedule;
    let (served, sent) = verdict.calm;
    println!(
        "seed {seed}: {} faults, {} requests, {served} of {sent} served in calm",
        entries.len(),
        verdict.requests
    );
    let Some((at, broken)) = &verdict.broken else {
        return;
    };
    println!("BROKEN after {at}: {broken}");
    for entry in entries {
        println!("  at {} for {}: {:?}", entry.at, entry.lasts, entry.fault);
    }
    if let Some(logs) = &verdict.logs {
        println!("logs: {}", logs.display());
    }
    let Size {
        gateways,
        servers,
        length,
    } = verdict.size;
    let seconds = length.0 / 1_000;
    println!(
        "again: carawayseam-soak --seed {seed} --gateways {gateways} --servers {servers} --seconds {seconds}"
    );
}
