//! Store calls, control bytes and state at 5, 50 and 420 nodes, beside other ways of spread.

use std::collections::BTreeMap;

use carawayseam_membership::Event;
use carawayseam_types::{Millis, Revision};
use carawayseam_wire::{Body, Datagram, PeerRole, Topic, encode};

use super::cluster::{Cluster, Traffic};
use super::document::{key, promote};
use super::process::{WATCHERS_PER_ZONE, Watching};
use crate::report::{Bound, Row};

const MILLIS_PER_DAY: u64 = 24 * 3_600 * 1_000;
const CHANGES_PER_DAY: u64 = 14_000;
const CHANGE_EVERY: Millis = Millis(MILLIS_PER_DAY / CHANGES_PER_DAY);
/// Time in which probes and watches begin.
const WARM_UP: Millis = Millis(3_000);
const MEASURED_CHANGES: u64 = 3;
const LOAD_EVERY: Millis = Millis(500);
const BEAT_EVERY: Millis = Millis(2_000);
/// A pool's load in a message, in bytes.
const LOAD_BYTES: usize = 40;
const BYTES_PER_KB: f64 = 1_000.0;
const TARGET_KB_PER_SECOND: f64 = 11.0;
const TARGET_MS: f64 = 5_000.0;
const TARGET_STATE_MB: f64 = 64.0;
/// Of the store's two thousand reads a second, the part that control may take.
const TARGET_CALLS_PER_SECOND: f64 = 100.0;
const UDP_OVERHEAD_BYTES: usize = 28;

#[derive(Debug, Clone, Copy)]
struct Size {
    nodes: usize,
    zones: usize,
    environments: usize,
}

const SIZES: [Size; 3] = [
    Size {
        nodes: 5,
        zones: 3,
        environments: 1,
    },
    Size {
        nodes: 50,
        zones: 4,
        environments: 12,
    },
    Size {
        nodes: 420,
        zones: 7,
        environments: 100,
    },
];

/// What one size cost.
#[derive(Debug)]
struct Cost {
    calls_per_second: f64,
    datagram_kb_per_second: f64,
    stream_kb_per_second: f64,
    busiest_kb_per_second: f64,
    datagrams_per_second: f64,
    slowest: Millis,
    state_mb: f64,
    heartbeat_bytes: usize,
}

pub(super) fn run() -> Vec<Row> {
    // Without gossip each process costs the store the same, so one size gives the slope.
    let slope_of = SIZES[1];
    let calls = measure(slope_of, Watching::Everyone).calls_per_second;
    let calls_per_watch = calls / (2 * slope_of.nodes) as f64;
    let rows = SIZES.iter().map(|size| rows(*size, calls_per_watch));
    rows.flatten().collect()
}

fn rows(size: Size, calls_per_watch: f64) -> Vec<Row> {
    let everyone = calls_per_watch * (2 * size.nodes) as f64;
    let watches = WATCHERS_PER_ZONE * size.zones * size.environments;
    let per_environment = calls_per_watch * watches as f64;
    let cost = measure(size, Watching::FewPerZone);
    let few = "watch and gossip";
    let mesh = mesh_kb_per_second(size, cost.heartbeat_bytes);
    let row = |policy, figure, value, unit, bound| Row {
        scenario: format!("{} nodes, 14,000 changes a day", size.nodes),
        policy,
        figure,
        value,
        unit,
        bound,
    };
    let free = Bound::Unbounded;
    let kb = Bound::AtMost(TARGET_KB_PER_SECOND);
    let calls = Bound::AtMost(TARGET_CALLS_PER_SECOND);
    let mean = cost.datagram_kb_per_second + cost.stream_kb_per_second;
    vec![
        row(
            few,
            "slowest time in force",
            cost.slowest.0 as f64,
            "ms",
            Bound::AtMost(TARGET_MS),
        ),
        row(few, "store calls", cost.calls_per_second, "1/s", calls),
        row(
            "watch each env",
            "store calls, by slope",
            per_environment,
            "1/s",
            free,
        ),
        row("all watch", "store calls, by slope", everyone, "1/s", free),
        row(few, "control bytes of a node", mean, "kB/s", kb),
        row(
            few,
            "control bytes of the busiest node",
            cost.busiest_kb_per_second,
            "kB/s",
            free,
        ),
        row(few, "datagrams' part", cost.datagram_kb_per_second, "kB/s", free),
        row(few, "datagrams of a node", cost.datagrams_per_second, "1/s", free),
        row(few, "streams' part", cost.stream_kb_per_second, "kB/s", free),
        row("full mesh", "heartbeats alone, of a node", mesh, "kB/s", free),
        row(
            few,
            "encoded state of a node",
            cost.state_mb,
            "MB",
            Bound::AtMost(TARGET_STATE_MB),
        ),
    ]
}

fn measure(size: Size, watching: Watching) -> Cost {
    let mut cluster = Cluster::new(size.nodes, size.zones, watching, 5);
    for environment in 0..size.environments {
        promote(&mut cluster.store, environment, 0);
    }
    cluster.introduce();
    cluster.run(WARM_UP);
    cluster.traffic.fill(Traffic::default());
    let calls_before = cluster.store.calls.all();
    let mut confirmed = BTreeMap::new();
    let mut slowest = Millis::ZERO;
    for change in 0..MEASURED_CHANGES {
        let environment = change as usize % size.environments;
        let revision = promote(&mut cluster.store, environment, 0).unwrap_or(Revision(u64::MAX));
        let took = work(&mut cluster, environment, revision, &mut confirmed);
        slowest = slowest.max(took);
    }
    let seconds = CHANGE_EVERY.as_secs_f64() * MEASURED_CHANGES as f64;
    let calls = cluster.store.calls.all() - calls_before;
    let total = cluster
        .traffic
        .iter()
        .fold((0, 0), |(datagrams, streams), traffic| {
            (datagrams + traffic.datagram_bytes, streams + traffic.stream_bytes)
        });
    let datagrams: u64 = cluster.traffic.iter().map(|traffic| traffic.datagrams).sum();
    let per_node = seconds * size.nodes as f64 * BYTES_PER_KB;
    Cost {
        calls_per_second: calls as f64 / seconds,
        datagram_kb_per_second: total.0 as f64 / per_node,
        stream_kb_per_second: total.1 as f64 / per_node,
        busiest_kb_per_second: busiest_node(&cluster) as f64 / seconds / BYTES_PER_KB,
        datagrams_per_second: datagrams as f64 / seconds / size.nodes as f64,
        slowest,
        state_mb: state_bytes(&cluster) as f64 / 1e6,
        heartbeat_bytes: heartbeat_bytes(&cluster),
    }
}

/// Publishes what processes publish until the next change, and says when this one was in force.
fn work(
    cluster: &mut Cluster,
    environment: usize,
    revision: Revision,
    confirmed: &mut BTreeMap<usize, Revision>,
) -> Millis {
    let start = cluster.now;
    let end = start + CHANGE_EVERY;
    let mut in_force_at = None;
    while cluster.now < end {
        cluster.run(Millis(50));
        if in_force_at.is_none() && cluster.in_force(&key(environment), revision) {
            in_force_at = Some(cluster.now);
        }
        publish_loads(cluster);
        publish_beats(cluster);
        publish_confirmed(cluster, environment, confirmed);
    }
    in_force_at.unwrap_or(Millis::MAX).since(start)
}

fn publish_loads(cluster: &mut Cluster) {
    if !cluster.now.0.is_multiple_of(LOAD_EVERY.0) {
        return;
    }
    for index in 0..cluster.processes.len() {
        if cluster.processes[index].role == PeerRole::Entry {
            publish(cluster, index, Topic::PoolLoad, vec![1; LOAD_BYTES]);
        }
    }
}

/// One control process holds the lease and says so.
fn publish_beats(cluster: &mut Cluster) {
    if cluster.now.0.is_multiple_of(BEAT_EVERY.0) {
        publish(cluster, 1, Topic::Holder, vec![1; 2]);
    }
}

fn publish_confirmed(cluster: &mut Cluster, environment: usize, confirmed: &mut BTreeMap<usize, Revision>) {
    for index in 0..cluster.processes.len() {
        let revision = cluster.processes[index].in_force.get(&key(environment)).copied();
        let is_news = revision.is_some() && confirmed.get(&index) != revision.as_ref();
        if let Some(revision) = revision.filter(|_| is_news) {
            confirmed.insert(index, revision);
            publish(cluster, index, Topic::Confirmed, vec![1; 3]);
        }
    }
}

fn publish(cluster: &mut Cluster, index: usize, topic: Topic, payload: Vec<u8>) {
    let name = "environment-0".to_owned();
    cluster.give(index, Event::Publish { topic, name, payload });
}

fn busiest_node(cluster: &Cluster) -> u64 {
    let bytes = |node: &[Traffic]| -> u64 {
        let of = |traffic: &Traffic| traffic.datagram_bytes + traffic.stream_bytes;
        node.iter().map(of).sum()
    };
    cluster.traffic.chunks(2).map(bytes).max().unwrap_or_default()
}

/// The encoded peers, heads and bodies that both processes of a node keep.
fn state_bytes(cluster: &Cluster) -> usize {
    let processes = cluster.processes.iter().take(2);
    let bytes = processes.map(|process| {
        let dump = process.membership.dump();
        let bodies = dump
            .heads
            .iter()
            .filter_map(|head| process.membership.record(&head.key));
        let bodies: usize = bodies.map(|record| record.body.len()).sum();
        let listed = encode(&(&dump.peers, &dump.heads)).map_or(0, |buf| buf.len());
        bodies + listed
    });
    bytes.sum()
}

fn heartbeat_bytes(cluster: &Cluster) -> usize {
    let from = cluster.processes[0].membership.dump().me;
    let (body, news) = (Body::Probe { seq: 1 }, Vec::new());
    let heartbeat = Datagram {
        from,
        body,
        updates: news,
    };
    encode(&heartbeat).map_or(0, |buf| buf.len()) + UDP_OVERHEAD_BYTES
}

/// One heartbeat a second from each process to each other one, sent and received.
fn mesh_kb_per_second(size: Size, heartbeat_bytes: usize) -> f64 {
    let processes = 2 * size.nodes;
    let heartbeats = 2 * processes * (processes - 1) / size.nodes;
    (heartbeats * heartbeat_bytes) as f64 / BYTES_PER_KB
}
