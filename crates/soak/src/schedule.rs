//! What goes wrong when, drawn from a seed.

use std::time::Duration;

use carawayseam_platform_standins::{Cut, StoreFault};
use carawayseam_testbed::Link;
use carawayseam_types::Millis;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Faults overlap in this part of a round; the rest is calm.
const FAULTY_PART: f64 = 0.6;
/// A round of faults and calm.
const ROUND: Millis = Millis(18_000);
/// Faults of a round, for each gateway.
const FAULTS_PER_GATEWAY: f64 = 0.8;
/// Faults of a round beside these, in which servers speak of themselves or without end.
const SERVER_FAULTS: usize = 2;
/// How long a server reports a rate limit: longer than the limit takes to bind, and one window.
const LIMIT_LASTS: Millis = Millis(10_000);
/// Planned stops begin this long after the faults, when their effects are over.
const STOP_AFTER_FAULTS: Millis = Millis(3_300);
const SHORTEST_FAULT: u64 = 200;
const LONGEST_FAULT: u64 = 3_500;
/// The age of the oldest copy from which the store is restored.
const OLDEST_COPY: u64 = 7_000;
const LONGEST_HOST_CUT: u64 = 8_000;
/// A gateway that is cut from the store for so long outlives the time in which keys may be used.
const LONG_CUT: Millis = Millis(8_500);
/// A key is taken away this long after the cut began.
const REVOKED_AFTER: Millis = Millis(700);

/// How much takes part in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Gateway processes.
    pub gateways: usize,
    /// Backend servers of the movable backend.
    pub servers: usize,
    /// How long the run lasts.
    pub length: Millis,
}

/// How a backend server misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Misbehaviour {
    /// It says that it is full.
    Full,
    /// It answers with failures.
    Fails,
    /// It runs requests and closes the connection.
    LosesAnswers,
    /// It breaks answers off in the middle.
    BreaksOff,
    /// It answers for another request.
    Garbles,
    /// It refuses, and says that it wants nothing for a while.
    Closes,
    /// It sends bytes without end.
    Endless,
}

/// One thing that happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A gateway process stands still.
    Freeze(usize),
    /// A gateway process is killed, and started again afterwards.
    Kill(usize),
    /// A gateway process is asked to stop, and started again when it has ended.
    Stop(usize),
    /// A gateway's settings file is to be read again.
    Reload(usize),
    /// A gateway's path to the store suffers.
    StoreLink(usize, Link),
    /// A gateway gets no datagrams of the others.
    PeerLink(usize),
    /// Some or all gateways are cut from all servers.
    HostCut {
        /// The first of them.
        first: usize,
        /// How many, beginning with the first.
        count: usize,
        /// How they are cut.
        form: Cut,
    },
    /// All gateways' path to a server suffers.
    ServerLink(usize, Link),
    /// The store misbehaves.
    Store(StoreFault),
    /// The store forgets its history.
    Forget,
    /// The store is unavailable for a moment, and is restored from a copy made when the fault began.
    Restore,
    /// All leases end.
    Lapse,
    /// A server crashes, and starts anew afterwards.
    Crash(usize),
    /// A server misbehaves.
    Misbehave(usize, Misbehaviour),
    /// A server says that it leaves, and is replaced.
    Leave(usize),
    /// A server says only in its answers that it leaves, and is replaced.
    LeaveByWord(usize),
    /// A server reports a rate limit.
    Limit(usize),
    /// The operator writes the next configuration.
    Configure,
    /// The operator takes a key away.
    Revoke,
    /// The operator orders a move to a version that is good or bad.
    Move(Quality),
}

/// Whether a version answers well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Quality {
    /// It answers as the old one does.
    Good,
    /// Half of its answers are failures.
    Bad,
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// When it begins, from the start of traffic.
    pub at: Millis,
    /// How long it lasts, where that has a meaning.
    pub lasts: Millis,
    /// What happens.
    pub fault: Fault,
}

/// All faults of a run, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Schedule {
    /// What it was drawn from.
    pub seed: u64,
    /// The faults.
    pub entries: Vec<Entry>,
}

impl Schedule {
    /// Draws the faults of a run.
    #[must_use]
    pub fn draw(seed: u64, size: Size) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut entries = Vec::new();
        let mut from = Millis::ZERO;
        while from < size.length {
            round(&mut rng, size, from, &mut entries);
            from += ROUND;
        }
        add_server_faults(seed, size, &mut entries);
        add_limits(seed, size, &mut entries);
        add_restores(seed, size, &mut entries);
        add_host_cuts(seed, size, &mut entries);
        entries.retain(|entry| entry.at < size.length);
        entries.sort_by_key(|entry| entry.at);
        Self { seed, entries }
    }
}

/// Adds what servers say of themselves, from a generator of its own: the other faults of a seed stay as they were.
fn add_server_faults(seed: u64, size: Size, entries: &mut Vec<Entry>) {
    let mut rng = StdRng::seed_from_u64(!seed);
    let faulty = (ROUND.0 as f64 * FAULTY_PART) as u64;
    let mut from = Millis::ZERO;
    while from < size.length {
        for _ in 0..SERVER_FAULTS {
            let server = rng.random_range(0..size.servers);
            let fault = match rng.random_range(0..3) {
                0 => Fault::LeaveByWord(server),
                1 => Fault::Misbehave(server, Misbehaviour::Closes),
                _ => Fault::Misbehave(server, Misbehaviour::Endless),
            };
            entries.push(Entry {
                at: from + Millis(rng.random_range(0..faulty)),
                lasts: Millis(rng.random_range(SHORTEST_FAULT..LONGEST_FAULT)),
                fault,
            });
        }
        from += ROUND;
    }
}

/// Adds rate limits of servers, from a generator of its own.
fn add_limits(seed: u64, size: Size, entries: &mut Vec<Entry>) {
    let mut rng = StdRng::seed_from_u64(!seed.rotate_left(1));
    let faulty = (ROUND.0 as f64 * FAULTY_PART) as u64;
    let mut from = Millis::ZERO;
    while from < size.length {
        entries.push(Entry {
            at: from + Millis(rng.random_range(0..faulty)),
            lasts: LIMIT_LASTS,
            fault: Fault::Limit(rng.random_range(0..size.servers)),
        });
        from += ROUND;
    }
}

/// Adds restores of the store from a copy, from a generator of its own.
fn add_restores(seed: u64, size: Size, entries: &mut Vec<Entry>) {
    let mut rng = StdRng::seed_from_u64(!seed.rotate_left(2));
    let faulty = (ROUND.0 as f64 * FAULTY_PART) as u64;
    let mut from = Millis::ZERO;
    while from < size.length {
        let lasts = rng.random_range(SHORTEST_FAULT..OLDEST_COPY);
        entries.push(Entry {
            at: from + Millis(rng.random_range(0..faulty - lasts)),
            lasts: Millis(lasts),
            fault: Fault::Restore,
        });
        from += ROUND;
    }
}

/// Adds cuts of gateways from all servers, from a generator of its own.
fn add_host_cuts(seed: u64, size: Size, entries: &mut Vec<Entry>) {
    let mut rng = StdRng::seed_from_u64(!seed.rotate_left(3));
    let faulty = (ROUND.0 as f64 * FAULTY_PART) as u64;
    let mut from = Millis::ZERO;
    while from < size.length {
        let lasts = rng.random_range(SHORTEST_FAULT..LONGEST_HOST_CUT);
        entries.push(Entry {
            at: from + Millis(rng.random_range(0..faulty - lasts)),
            lasts: Millis(lasts),
            fault: Fault::HostCut {
                first: rng.random_range(0..size.gateways),
                count: rng.random_range(1..=size.gateways),
                form: [Cut::Silent, Cut::Reset, Cut::RefuseNew][rng.random_range(0..3)],
            },
        });
        from += ROUND;
    }
}

fn round(rng: &mut StdRng, size: Size, from: Millis, entries: &mut Vec<Entry>) {
    let faulty = (ROUND.0 as f64 * FAULTY_PART) as u64;
    let count = (size.gateways as f64 * FAULTS_PER_GATEWAY).ceil() as usize + 2;
    for _ in 0..count {
        entries.push(Entry {
            at: from + Millis(rng.random_range(0..faulty)),
            lasts: Millis(rng.random_range(SHORTEST_FAULT..LONGEST_FAULT)),
            fault: draw(rng, size),
        });
    }
    if rng.random() {
        revoke_behind_a_cut(rng, size, from, entries);
    }
    // Planned work goes on in the calm part, too.
    let calm = from + Millis(faulty) + STOP_AFTER_FAULTS;
    for fault in [Fault::Stop(rng.random_range(0..size.gateways)), Fault::Configure] {
        entries.push(Entry {
            at: calm,
            lasts: Millis::ZERO,
            fault,
        });
    }
}

/// A gateway does not hear that a key is taken away.
fn revoke_behind_a_cut(rng: &mut StdRng, size: Size, from: Millis, entries: &mut Vec<Entry>) {
    let gateway = rng.random_range(0..size.gateways);
    let link = if rng.random() { Link::Silent } else { Link::Reset };
    let cut = Entry {
        at: from,
        lasts: LONG_CUT,
        fault: Fault::StoreLink(gateway, link),
    };
    let revoked = Entry {
        at: from + REVOKED_AFTER,
        lasts: Millis::ZERO,
        fault: Fault::Revoke,
    };
    entries.extend([cut, revoked]);
}

fn draw(rng: &mut StdRng, size: Size) -> Fault {
    let gateway = rng.random_range(0..size.gateways);
    let server = rng.random_range(0..size.servers);
    match rng.random_range(0..20) {
        0 | 1 => Fault::Freeze(gateway),
        2 | 3 => Fault::Kill(gateway),
        4 => Fault::Stop(gateway),
        5 => Fault::Reload(gateway),
        6 | 7 => Fault::StoreLink(gateway, link(rng)),
        8 => Fault::PeerLink(gateway),
        9 | 10 => Fault::ServerLink(server, link(rng)),
        11 => Fault::Store(store_fault(rng)),
        12 => Fault::Forget,
        13 => Fault::Lapse,
        14 => Fault::Crash(server),
        15 | 16 => Fault::Misbehave(server, misbehaviour(rng)),
        17 => Fault::Leave(server),
        18 => Fault::Revoke,
        _ if rng.random() => Fault::Move(Quality::Good),
        _ => Fault::Move(Quality::Bad),
    }
}

fn link(rng: &mut StdRng) -> Link {
    match rng.random_range(0..4) {
        0 => Link::Delayed(Millis(rng.random_range(5..400))),
        1 => Link::Silent,
        2 => Link::OneWay,
        _ => Link::Reset,
    }
}

fn store_fault(rng: &mut StdRng) -> StoreFault {
    match rng.random_range(0..5) {
        0 => StoreFault::Refuses,
        1 => StoreFault::Silent,
        2 => StoreFault::Slow(Duration::from_millis(rng.random_range(50..600))),
        3 => StoreFault::LosesAnswers,
        _ => StoreFault::WritesLate(Duration::from_millis(rng.random_range(1_000..5_000))),
    }
}

fn misbehaviour(rng: &mut StdRng) -> Misbehaviour {
    match rng.random_range(0..5) {
        0 => Misbehaviour::Full,
        1 => Misbehaviour::Fails,
        2 => Misbehaviour::LosesAnswers,
        3 => Misbehaviour::BreaksOff,
        _ => Misbehaviour::Garbles,
    }
}
