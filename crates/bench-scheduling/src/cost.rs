//! The cost of one decision and the memory of a scheduler, on this machine.
//!
//! These figures are timed and never judged; the ratios within one run are
//! what they are good for.

use std::time::{Duration, Instant};

use carawayseam_scheduler::{Coordination, Event, PoolLoadAnnouncement};
use carawayseam_types::{BackendName, HostId, Millis};

use crate::drive::{Driver, TICK, ToPeers};
use crate::error::BenchError;
use crate::fleet::{Fleet, FleetSize};

const BATCHES: usize = 15;
const REQUESTS_PER_BATCH: usize = 2_000;
const WARM_UP_BATCHES: usize = 10;
/// Engines for each request that runs while the cost is measured, so that none has to wait long.
const ENGINES_PER_RUNNING: usize = 2;
/// Ticks after which each idle host has announced its pools.
const IDLE_TICKS: u64 = 55;
const REQUESTS_PER_TICK: usize = 10;
/// Schedulers alive at once while their memory is measured.
const MEASURED_SCHEDULERS: usize = 10;
/// Requests alive at once while their memory is measured.
const MEASURED_REQUESTS: usize = 20_000;

/// Mean times of one batch.
#[derive(Debug, Clone, Copy, Default)]
struct Cost {
    arrive: Duration,
    end: Duration,
    tick: Duration,
}

/// Prints the cost at each size, once as the only host and once as an owner among many.
///
/// # Errors
///
/// When a message cannot be encoded or a name is not valid; both are bugs.
pub fn print_cost() -> Result<(), BenchError> {
    print_memory()?;
    println!("\nhosts known  engines  request us  end us  tick us  over 330 engines");
    for alone in [true, false] {
        let mut before = Vec::new();
        for size in FleetSize::ALL {
            let fleet = Fleet::new(size)?;
            let cost = median_cost(&fleet, alone);
            let decision = cost.arrive.as_secs_f64() * 1e6;
            before.push(decision);
            let ratio = before.get(1).map_or(0.0, |base| decision / base);
            println!(
                "{:>11} {:>8} {decision:>11.2} {:>7.2} {:>8.2} {ratio:>17.2}",
                if alone { 1 } else { size.hosts },
                size.engines,
                cost.end.as_secs_f64() * 1e6,
                cost.tick.as_secs_f64() * 1e6,
            );
        }
    }
    Ok(())
}

/// A host under test and how it is loaded.
#[derive(Debug)]
struct Subject<'a> {
    driver: Driver<'a>,
    /// Requests that run while it is timed.
    kept: usize,
    /// The model of the pool that it owns, and a peer that forwards every other request to it.
    forwarded: Option<(BackendName, HostId)>,
}

/// Times a host that knows no other, or the owner of the largest pool of a whole fleet.
fn median_cost(fleet: &Fleet, alone: bool) -> Cost {
    let mut now = Millis(1);
    let mut subject = if alone {
        Subject {
            driver: Driver::start(fleet, 0, &fleet.members[..1], Coordination::Owners),
            kept: fleet.size.engines / ENGINES_PER_RUNNING,
            forwarded: None,
        }
    } else {
        start_owner(fleet, &mut now)
    };
    for _ in 0..WARM_UP_BATCHES {
        batch(&mut subject, &mut now);
    }
    let mut costs: Vec<Cost> = (0..BATCHES).map(|_| batch(&mut subject, &mut now)).collect();
    costs.sort_by_key(|cost| cost.arrive);
    costs[BATCHES / 2]
}

/// The host that owns the largest pool, with what all others announce when idle.
fn start_owner<'a>(fleet: &'a Fleet, now: &mut Millis) -> Subject<'a> {
    *now += TICK.times(IDLE_TICKS);
    let mut announcements = Vec::new();
    let mut owner = (0, 0, None);
    for host in 0..fleet.size.hosts {
        let mut driver = Driver::start(fleet, host, &fleet.members, Coordination::Owners);
        for tick in 1..IDLE_TICKS {
            driver.handle(TICK.times(tick), Event::Tick);
        }
        let announced = driver.collect(*now).into_iter().rev().find_map(announcement);
        let pools = announced.iter().flat_map(|load| &load.pools);
        if let Some(pool) = pools.max_by_key(|pool| pool.free_slots) {
            owner = owner.max((pool.free_slots, host, Some(pool.backend.clone())));
        }
        announcements.extend(announced);
    }
    let (_, host, backend) = owner;
    let mut driver = Driver::start(fleet, host, &fleet.members, Coordination::Owners);
    for load in announcements {
        driver.handle(*now, Event::PeerLoad(load));
    }
    let peer = fleet.members[(host + 1) % fleet.size.hosts].host.clone();
    let pools = fleet.size.zones * fleet.size.models;
    Subject {
        driver,
        kept: (fleet.size.engines / pools / ENGINES_PER_RUNNING).max(1),
        forwarded: backend.map(|backend| (backend, peer)),
    }
}

fn announcement(message: ToPeers) -> Option<PoolLoadAnnouncement> {
    match message {
        ToPeers::Announce(load) => Some(load),
        ToPeers::Forward(..) => None,
    }
}

fn batch(subject: &mut Subject<'_>, now: &mut Millis) -> Cost {
    let mut cost = Cost::default();
    let (mut ends, mut ticks) = (0_u32, 0_u32);
    for number in 0..REQUESTS_PER_BATCH {
        let request = next_request(subject, number, *now);
        let driver = &mut subject.driver;
        cost.arrive += timed(driver, *now, request);
        driver.collect(*now);
        while driver.running() > subject.kept {
            for event in driver.next_end(Millis::MAX).into_iter().flatten() {
                cost.end += timed(driver, *now, event);
            }
            ends += 1;
            driver.collect(*now);
        }
        if number.is_multiple_of(REQUESTS_PER_TICK) {
            *now += TICK;
            cost.tick += timed(driver, *now, Event::Tick);
            ticks += 1;
            driver.collect(*now);
        }
    }
    Cost {
        arrive: cost.arrive / REQUESTS_PER_BATCH as u32,
        end: cost.end / ends.max(1),
        tick: cost.tick / ticks.max(1),
    }
}

fn next_request(subject: &mut Subject<'_>, number: usize, now: Millis) -> Event {
    match &subject.forwarded {
        Some((backend, peer)) if number.is_multiple_of(2) => {
            subject.driver.next_forwarded(now, backend, peer)
        }
        _ => subject.driver.next_request(now),
    }
}

fn timed(driver: &mut Driver<'_>, now: Millis, event: Event) -> Duration {
    let start = Instant::now();
    driver.handle(now, event);
    start.elapsed()
}

/// Weighs schedulers and requests at the letter's size, where they outweigh the allocator's rounding.
fn print_memory() -> Result<(), BenchError> {
    let fleet = Fleet::new(FleetSize::ALL[2])?;
    let before = resident_kib();
    let start = |host| Driver::start(&fleet, host, &fleet.members, Coordination::Owners);
    let drivers: Vec<Driver<'_>> = (0..MEASURED_SCHEDULERS).map(start).collect();
    let each = resident_kib().saturating_sub(before) as f64 / drivers.len() as f64;
    let mut alone = Driver::start(&fleet, 0, &fleet.members[..1], Coordination::Owners);
    let requests: Vec<Event> = (0..MEASURED_REQUESTS)
        .map(|_| alone.next_request(Millis(2)))
        .collect();
    let before = resident_kib();
    for request in &requests {
        alone.handle(Millis(2), request.clone());
    }
    let request = resident_kib().saturating_sub(before) as f64 * 1_024.0 / requests.len() as f64;
    alone.collect(Millis(2));
    println!(
        "at {} engines: {each:.0} KiB a scheduler, {:.0} bytes an engine; {request:.0} bytes a request ({} of {} refused)",
        fleet.size.engines,
        each * 1_024.0 / fleet.size.engines as f64,
        alone.counts.refusals,
        requests.len(),
    );
    Ok(())
}

/// The process's resident set; 0 where the system does not tell.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let digits = line.and_then(|rest| rest.split_whitespace().next());
    digits.and_then(|text| text.parse().ok()).unwrap_or(0)
}
