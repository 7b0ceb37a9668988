//! How soon a promoted document is in force everywhere.

use carawayseam_types::{Millis, Revision};

use super::cluster::{Cluster, Faults};
use super::document::{key, promote};
use super::process::Watching;
use crate::report::{Bound, Row};

const SEEDS: u64 = 20;
const TARGET_MS: f64 = 5_000.0;
const LIMIT: Millis = Millis(60_000);
const WARM_UP: Millis = Millis(15_000);

/// What is wrong while the document is promoted.
#[derive(Debug, Clone, Copy)]
struct Trouble {
    scenario: &'static str,
    strike: fn(&mut Cluster),
}

const TROUBLES: [Trouble; 5] = [
    Trouble {
        scenario: "promotion, 5 nodes, store up",
        strike: |_| {},
    },
    Trouble {
        scenario: "promotion, 5 nodes, store down for 2 of 3 zones",
        strike: |cluster| {
            let cut_off = cluster.processes.iter_mut().filter(|process| process.zone != 1);
            cut_off.for_each(|process| process.reaches_store = false);
        },
    },
    Trouble {
        scenario: "promotion, 5 nodes, store up for 1 watcher",
        strike: |cluster| {
            let mut watchers = cluster.processes.iter_mut().filter(|it| it.watch.is_some());
            watchers.next();
            watchers.for_each(|process| process.reaches_store = false);
        },
    },
    Trouble {
        scenario: "promotion, 5 nodes, 20% loss",
        strike: |cluster| {
            cluster.faults = Faults {
                loss_percent: 20,
                duplicate_percent: 5,
                jitter_ms: 80,
            };
        },
    },
    Trouble {
        scenario: "promotion, 5 nodes, all watches silent",
        strike: |cluster| {
            let watches = cluster.processes.iter_mut().filter_map(|it| it.watch.as_mut());
            watches.for_each(|watch| watch.silent = true);
        },
    },
];

pub(super) fn run() -> Vec<Row> {
    TROUBLES.iter().map(slowest).collect()
}

fn slowest(trouble: &Trouble) -> Row {
    let slowest = (0..SEEDS).map(|seed| time_in_force(trouble, seed)).max();
    Row {
        scenario: trouble.scenario.to_owned(),
        policy: "watch and gossip",
        figure: "slowest time in force",
        value: slowest.unwrap_or(LIMIT).0 as f64,
        unit: "ms",
        bound: Bound::AtMost(TARGET_MS),
    }
}

fn time_in_force(trouble: &Trouble, seed: u64) -> Millis {
    let mut cluster = Cluster::new(5, 3, Watching::FewPerZone, seed);
    promote(&mut cluster.store, 0, 0);
    cluster.run(WARM_UP + Millis(seed * 130));
    (trouble.strike)(&mut cluster);
    let revision = promote(&mut cluster.store, 0, 0).unwrap_or(Revision(u64::MAX));
    cluster.run_until(LIMIT, |cluster| cluster.in_force(&key(0), revision))
}
