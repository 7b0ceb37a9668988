//! What the loss of a rack or a zone, and regions that part, cost the rest.

use carawayseam_types::{Millis, Revision};

use super::cluster::{Cluster, Traffic};
use super::document::{key, promote};
use super::process::Watching;
use crate::report::{Bound, Row};

const NODES: usize = 105;
const ZONES: usize = 7;
/// Zones of the first region; the others are the second.
const FIRST_REGION: usize = 4;
const RACK_NODES: usize = 5;
const WARM_UP: Millis = Millis(3_000);
const PARTED: Millis = Millis(40_000);
const LIMIT: Millis = Millis(60_000);
/// How long bytes are counted after a failure.
const COUNTED: Millis = Millis(10_000);
const BYTES_PER_KB: f64 = 1_000.0;
const TARGET_KB_PER_SECOND: f64 = 11.0;
const TARGET_MS: f64 = 5_000.0;

pub(super) fn run() -> Vec<Row> {
    let mut rows = lost("rack lost", |index| {
        index / 2 % ZONES == 2 && index / 2 / ZONES < RACK_NODES
    });
    rows.extend(lost("zone lost", |index| index / 2 % ZONES == 2));
    rows.extend(parted());
    rows
}

fn row(what: &str, figure: &'static str, value: f64, unit: &'static str, bound: Bound) -> Row {
    Row {
        scenario: format!("{NODES} nodes, {what}"),
        policy: "watch and gossip",
        figure,
        value,
        unit,
        bound,
    }
}

fn cluster() -> Cluster {
    let mut cluster = Cluster::new(NODES, ZONES, Watching::FewPerZone, 9);
    promote(&mut cluster.store, 0, 0);
    cluster.introduce();
    cluster.run(WARM_UP);
    cluster
}

/// Processes die at once, and the rest finds out.
fn lost(what: &str, dies: fn(usize) -> bool) -> Vec<Row> {
    let mut cluster = cluster();
    for process in cluster.processes.iter_mut().filter(|process| dies(process.index)) {
        process.up = false;
    }
    cluster.traffic.fill(Traffic::default());
    let start = cluster.now;
    let took = cluster.run_until(LIMIT, all_see_the_living);
    let bytes = kb_per_second(&cluster, cluster.now.since(start));
    vec![
        row(what, "slowest to see it", took.0 as f64, "ms", Bound::Unbounded),
        row(
            what,
            "bytes of a node until then",
            bytes,
            "kB/s",
            Bound::AtMost(TARGET_KB_PER_SECOND),
        ),
    ]
}

/// Two regions part, a document is promoted in one of them, and they meet again.
fn parted() -> Vec<Row> {
    let mut cluster = cluster();
    let in_second = |zone: usize| zone >= FIRST_REGION;
    cluster.sides = (0..ZONES).map(|zone| u8::from(in_second(zone))).collect();
    let second = cluster
        .processes
        .iter_mut()
        .filter(|process| in_second(process.zone));
    second.for_each(|process| process.reaches_store = false);
    cluster.run(PARTED);
    let revision = promote(&mut cluster.store, 0, 0).unwrap_or(Revision(u64::MAX));
    cluster.run(WARM_UP);
    cluster.sides = vec![0; ZONES];
    cluster.traffic.fill(Traffic::default());
    let in_force = cluster.run_until(LIMIT, |cluster| cluster.in_force(&key(0), revision));
    let met = in_force + cluster.run_until(LIMIT, all_see_the_living);
    cluster.run(COUNTED.since(met));
    let bytes = kb_per_second(&cluster, met.max(COUNTED));
    let what = "regions meet again";
    vec![
        row(
            what,
            "slowest time in force",
            in_force.0 as f64,
            "ms",
            Bound::AtMost(TARGET_MS),
        ),
        row(what, "slowest to see all", met.0 as f64, "ms", Bound::Unbounded),
        row(
            what,
            "bytes of a node",
            bytes,
            "kB/s",
            Bound::AtMost(TARGET_KB_PER_SECOND),
        ),
    ]
}

/// Whether each living process sees the living ones and no others.
fn all_see_the_living(cluster: &Cluster) -> bool {
    let living = cluster.processes.iter().filter(|process| process.up);
    let count = living.clone().count();
    living.into_iter().all(|process| process.peers.len() == count)
}

fn kb_per_second(cluster: &Cluster, span: Millis) -> f64 {
    let of = |traffic: &Traffic| traffic.datagram_bytes + traffic.stream_bytes;
    let bytes: u64 = cluster.traffic.iter().map(of).sum();
    let nodes = cluster.processes.iter().filter(|process| process.up).count() / 2;
    bytes as f64 / nodes as f64 / span.as_secs_f64() / BYTES_PER_KB
}
