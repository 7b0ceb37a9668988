//! Kills, cuts, late answers and racing operators: nothing accepted ever reverts.

use carawayseam_types::{Millis, Revision};
use rand::RngExt;

use super::cluster::{Cluster, Faults};
use super::document::{key, promote, promote_over};
use super::process::Watching;
use crate::report::{Bound, Row};

const SEEDS: u64 = 200;
const NODES: usize = 5;
const ZONES: usize = 3;
const TROUBLES: usize = 25;
const PAUSE_MS: u64 = 2_000;
const HEAL_LIMIT: Millis = Millis(60_000);
const HEAL_TARGET_MS: f64 = 5_000.0;

#[derive(Debug, Default)]
struct Outcome {
    reversions: u64,
    losses: u64,
    strangers: u64,
    promoted: u64,
    lost_races: u64,
    slowest_heal: Millis,
}

pub(super) fn run() -> Vec<Row> {
    let mut all = Outcome::default();
    for seed in 0..SEEDS {
        let run = one(seed);
        all.reversions += run.reversions;
        all.losses += run.losses;
        all.strangers += run.strangers;
        all.promoted += run.promoted;
        all.lost_races += run.lost_races;
        all.slowest_heal = all.slowest_heal.max(run.slowest_heal);
    }
    let zero = Bound::AtMost(0.0);
    vec![
        row("reversions", all.reversions as f64, "count", zero),
        row(
            "steps back after all copies were lost",
            all.losses as f64,
            "count",
            Bound::Unbounded,
        ),
        row("in force, never accepted", all.strangers as f64, "count", zero),
        row("promotions", all.promoted as f64, "count", Bound::Unbounded),
        row(
            "promotions that lost a race",
            all.lost_races as f64,
            "count",
            Bound::Unbounded,
        ),
        row(
            "slowest time in force after healing",
            all.slowest_heal.0 as f64,
            "ms",
            Bound::AtMost(HEAL_TARGET_MS),
        ),
    ]
}

fn row(figure: &'static str, value: f64, unit: &'static str, bound: Bound) -> Row {
    Row {
        scenario: format!("{SEEDS} seeded runs of faults"),
        policy: "watch and gossip",
        figure,
        value,
        unit,
        bound,
    }
}

fn one(seed: u64) -> Outcome {
    let mut cluster = Cluster::new(NODES, ZONES, Watching::FewPerZone, seed);
    cluster.tracks_served = true;
    let mut outcome = Outcome::default();
    promote(&mut cluster.store, 0, 0);
    cluster.run(Millis(5_000));
    for _ in 0..TROUBLES {
        trouble(&mut cluster, &mut outcome);
        let pause = cluster.rng.random_range(50..PAUSE_MS);
        cluster.run(Millis(pause));
    }
    heal(&mut cluster);
    let newest = cluster.store.newest(&key(0)).unwrap_or_default();
    outcome.slowest_heal = cluster.run_until(HEAL_LIMIT, |cluster| cluster.in_force(&key(0), newest));
    outcome.reversions = cluster.reversions();
    outcome.losses = cluster.losses();
    outcome.strangers = cluster.strangers();
    outcome
}

fn trouble(cluster: &mut Cluster, outcome: &mut Outcome) {
    let process = cluster.rng.random_range(0..cluster.processes.len());
    match cluster.rng.random_range(0..10) {
        0 => cluster.processes[process].up = false,
        1 | 2 => cluster.restart(process),
        3 => {
            let sides = [0; ZONES].map(|_| cluster.rng.random_range(0..2_u8));
            cluster.sides = sides.to_vec();
        }
        4 => {
            let up = cluster.rng.random_range(0..2) == 0;
            cluster.processes.iter_mut().for_each(|it| it.reaches_store = up);
        }
        5 => late_answer(cluster, process),
        6 => {
            cluster.faults = Faults {
                loss_percent: cluster.rng.random_range(0..30),
                duplicate_percent: cluster.rng.random_range(0..20),
                jitter_ms: cluster.rng.random_range(0..400),
            };
        }
        7 => {
            let watches = cluster.processes.iter_mut().filter_map(|it| it.watch.as_mut());
            watches.for_each(|watch| watch.silent = true);
        }
        8 => restart_all_but_one(cluster, process),
        _ => race(cluster, outcome),
    }
}

/// A process reads the document, and the answer comes long after.
fn late_answer(cluster: &mut Cluster, process: usize) {
    let delay = Millis(cluster.rng.random_range(0..20_000));
    if let Some(record) = cluster.store.read(&key(0)) {
        cluster.answer_later(process, delay, record);
    }
}

fn restart_all_but_one(cluster: &mut Cluster, kept: usize) {
    let others = (0..cluster.processes.len()).filter(|index| *index != kept);
    for index in others.collect::<Vec<_>>() {
        cluster.restart(index);
    }
}

/// Operators who read the same revision promote one after the other; the first wins.
fn race(cluster: &mut Cluster, outcome: &mut Outcome) {
    let read = cluster.store.newest(&key(0)).unwrap_or(Revision(0));
    for operator in 0..3 {
        let won = promote_over(&mut cluster.store, 0, operator, read);
        outcome.promoted += u64::from(won.is_some());
        outcome.lost_races += u64::from(won.is_none());
    }
}

fn heal(cluster: &mut Cluster) {
    cluster.faults = Faults::default();
    cluster.sides = vec![0; ZONES];
    for index in 0..cluster.processes.len() {
        if !cluster.processes[index].up {
            cluster.restart(index);
        }
        cluster.processes[index].reaches_store = true;
    }
}
