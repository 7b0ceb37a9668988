//! Messages and bytes of coordination, at today's size and on a slope to the letter's.
//!
//! All hosts of a fleet run together; each announcement reaches all others a
//! tick later. Nothing is timed, so the figures repeat.

use std::collections::BTreeMap;

use carawayseam_scheduler::{Coordination, Event};
use carawayseam_types::{HostId, Millis};
use carawayseam_wire::encode;

use crate::drive::{Driver, TICK, ToPeers};
use crate::error::BenchError;
use crate::fleet::{Fleet, FleetSize};

/// How long a fleet warms up before its messages are counted.
const WARM_UP: Millis = Millis::from_secs(2);
/// How long its messages are counted.
const SPAN: Millis = Millis::from_secs(3);
/// How long a request runs.
const SERVICE_TIME: Millis = Millis::from_secs(2);

/// The most announcements a tick that are handed to every host; more are counted only,
/// since hearing them all would take hours here as it would on the hosts.
const HEARD_PER_TICK: usize = 100;

/// Messages of a fleet.
#[derive(Debug, Clone, Copy, Default)]
struct Messages {
    forwards: u64,
    forwarded_bytes: u64,
    announcements: u64,
    announced_bytes: u64,
    largest: u64,
}

/// A fleet whose hosts run together.
#[derive(Debug)]
struct Running<'a> {
    hosts: Vec<Driver<'a>>,
    places: BTreeMap<HostId, usize>,
    messages: Messages,
    /// Requests due, in thousandths.
    due: u64,
    next_host: usize,
    hears: bool,
}

/// Prints one line for each size and way of coordination.
///
/// # Errors
///
/// When a message cannot be encoded or a name is not valid; both are bugs.
pub fn print_scale() -> Result<(), BenchError> {
    println!(
        "way        hosts engines  refused %  forwards/s/host  KB/s/host  busiest host/mean  announcing hosts  announcements/s  bytes each  largest  KB/s/host if all hear all"
    );
    for way in [Coordination::Owners, Coordination::Announced] {
        for size in FleetSize::ALL {
            print_line(way, &Fleet::new(size)?)?;
        }
    }
    Ok(())
}

fn print_line(way: Coordination, fleet: &Fleet) -> Result<(), BenchError> {
    let mut running = Running::start(fleet, way);
    let mut now = Millis(1);
    running.run(fleet, &mut now, WARM_UP)?;
    running.messages = Messages::default();
    for host in &mut running.hosts {
        host.counts = crate::drive::Counts::default();
    }
    let announcing = running.run(fleet, &mut now, SPAN)?;
    let messages = running.messages;
    let hosts = fleet.size.hosts as f64;
    let rate = |count: u64| count as f64 / SPAN.as_secs_f64();
    let dispatches = running.hosts.iter().map(|host| host.counts.dispatches);
    let busiest = dispatches.clone().max().unwrap_or(0) as f64;
    let placed = dispatches.sum::<u64>().max(1) as f64;
    let refused: u64 = running.hosts.iter().map(|host| host.counts.refusals).sum();
    let heard = rate(messages.announced_bytes) * (hosts - 1.0) / hosts;
    println!(
        "{:<10} {:>5} {:>7} {:>10.2} {:>16.2} {:>10.2} {:>18.2} {announcing:>17} {:>16.1} {:>11.0} {:>8} {:>26.2}",
        format!("{way:?}").to_lowercase(),
        fleet.size.hosts,
        fleet.size.engines,
        100.0 * refused as f64 / (refused as f64 + placed),
        rate(messages.forwards) / hosts,
        rate(messages.forwarded_bytes) / hosts / 1_000.0,
        busiest * hosts / placed,
        rate(messages.announcements),
        messages.announced_bytes as f64 / messages.announcements.max(1) as f64,
        messages.largest,
        heard / 1_000.0,
    );
    Ok(())
}

impl<'a> Running<'a> {
    fn start(fleet: &'a Fleet, way: Coordination) -> Self {
        let start = |host| Driver::start(fleet, host, &fleet.members, way);
        let names = fleet.members.iter().map(|member| member.host.clone());
        Self {
            hosts: (0..fleet.size.hosts).map(start).collect(),
            places: names.zip(0..).collect(),
            messages: Messages::default(),
            due: 0,
            next_host: 0,
            hears: true,
        }
    }

    /// Lets `span` pass; gives the number of hosts that announced anything.
    fn run(&mut self, fleet: &Fleet, now: &mut Millis, span: Millis) -> Result<usize, BenchError> {
        let end = *now + span;
        let mut announced = vec![false; self.hosts.len()];
        while *now < end {
            *now += TICK;
            self.arrive(fleet, *now);
            let mut out = Vec::new();
            for (at, host) in self.hosts.iter_mut().enumerate() {
                finish(host, *now);
                host.handle(*now, Event::Tick);
                out.extend(host.collect(*now).into_iter().map(|message| (at, message)));
            }
            let heard = out
                .iter()
                .filter(|(_, message)| matches!(message, ToPeers::Announce(_)));
            self.hears = heard.count() <= HEARD_PER_TICK;
            for (from, message) in out {
                announced[from] |= matches!(message, ToPeers::Announce(_));
                self.deliver(from, message, *now)?;
            }
        }
        Ok(announced.iter().filter(|yes| **yes).count())
    }

    fn arrive(&mut self, fleet: &Fleet, now: Millis) {
        self.due += fleet.size.requests_per_s * TICK.0;
        while self.due >= 1_000 {
            self.due -= 1_000;
            let host = &mut self.hosts[self.next_host];
            let request = host.next_request(now);
            host.handle(now, request);
            self.next_host = (self.next_host + 1) % self.hosts.len();
        }
    }

    fn deliver(&mut self, from: usize, message: ToPeers, now: Millis) -> Result<(), BenchError> {
        match message {
            ToPeers::Forward(to, request) => {
                self.messages.forwards += 1;
                self.messages.forwarded_bytes += encode(&*request)?.len() as u64;
                let name = self.hosts[from].host().clone();
                let to = &mut self.hosts[self.places[&to]];
                let request = to.forwarded(*request, name);
                to.handle(now, request);
            }
            ToPeers::Announce(announcement) => {
                let bytes = encode(&announcement)?.len() as u64;
                self.messages.announcements += 1;
                self.messages.announced_bytes += bytes;
                self.messages.largest = self.messages.largest.max(bytes);
                let hears = self.hears;
                let others = self.hosts.iter_mut().enumerate();
                for (_, host) in others.filter(|(at, _)| hears && *at != from) {
                    host.handle(now, Event::PeerLoad(announcement.clone()));
                }
            }
        }
        Ok(())
    }
}

fn finish(host: &mut Driver<'_>, now: Millis) {
    while let Some(events) = host.next_end(now - SERVICE_TIME) {
        for event in events {
            host.handle(now, event);
        }
    }
}
