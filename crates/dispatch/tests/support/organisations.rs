//! Organisations that send requests to the servers of one backend at one host, on a manual clock.

use std::collections::BTreeMap;
use std::ops::Range;

use carawayseam_dispatch::catalog::{Organisation, TokenQuota};
use carawayseam_dispatch::{Action, AttemptEnd, Dispatcher, Job, Ticket};
use carawayseam_types::{Millis, OrganisationId, Tokens};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::support::{EVENT_GAP_MS, dispatcher, job, started};

const ORGANISATIONS: usize = 16;
const LARGE_ORGANISATIONS: usize = 3;
const LARGE_QUOTA: f64 = 2_000.0;
const SMALL_QUOTA: f64 = 300.0;
const SERVERS: [(&str, u32); 4] = [("a", 32), ("b", 32), ("c", 32), ("d", 32)];
/// Work that all servers do in a millisecond, in milliseconds.
const CAPACITY: f64 = 128.0;
/// Usual requests of each organisation, as a fraction of its share of the servers.
const USUAL_USE: f64 = 0.8;
/// Every so many requests one has a long response.
const LONG_EVERY: u32 = 5;
const TICK_MS: u64 = 50;
/// Servers read several prompts at a time, so that a first event is not delayed by other requests.
const FIRST_EVENT_MS: f64 = 18.0;
/// Time for which the load continues after the burst, until all requests sent during it have ended.
const AFTER_BURST_MS: u64 = 4_000;
/// A server takes between these fractions of the expected time.
const DURATION: Range<f64> = 0.8..1.2;

pub(crate) fn name(text: &str) -> OrganisationId {
    text.parse().expect("a valid name")
}

pub(crate) fn job_of(organisation: &str, now: u64, tier: u8) -> Job {
    Job {
        organisation: Some(name(organisation)),
        ..job(now, tier)
    }
}

fn organisation_name(number: usize) -> OrganisationId {
    name(&format!("org-{number}"))
}

pub(crate) fn organisation(name: &OrganisationId, per_second: Option<f64>) -> Organisation {
    Organisation {
        name: name.clone(),
        keys: vec![format!("key-{name}").into()],
        tier: None,
        quota: per_second.map(|per_second| TokenQuota {
            per_second,
            burst: per_second,
            default_cost: Tokens(100),
        }),
    }
}

/// Returns the quota of an organisation of the load, in tokens per second.
const fn quota(number: usize) -> f64 {
    if number < LARGE_ORGANISATIONS {
        LARGE_QUOTA
    } else {
        SMALL_QUOTA
    }
}

/// A time in which some organisations send more than usual.
#[derive(Debug, Clone)]
pub(crate) struct Burst {
    pub(crate) span: Range<u64>,
    /// Factor of each organisation's requests.
    pub(crate) factor: fn(usize) -> f64,
    /// Whether the additional requests all have long responses.
    pub(crate) is_of_long_kind: bool,
}

/// The work of one organisation's requests that were sent during the burst, in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    pub(crate) asked: f64,
    pub(crate) served: f64,
    /// Its share of what the servers can do during the burst.
    pub(crate) share: f64,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Tick,
    Request { organisation: usize, is_extra: bool },
    Answer(Ticket),
    End(Ticket),
}

#[derive(Debug)]
struct Sent {
    organisation: usize,
    at: u64,
    work_ms: f64,
    is_answered: bool,
}

#[derive(Debug)]
struct Load {
    dispatcher: Dispatcher,
    burst: Burst,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    sent: BTreeMap<Ticket, Sent>,
    usage: Vec<Usage>,
    rng: StdRng,
}

/// Runs the load, and returns the work of each organisation during the burst.
pub(crate) fn run(
    seed: u64,
    burst: Burst,
    configure: impl Fn(&mut Dispatcher, &[Organisation]),
) -> Vec<Usage> {
    let organisations =
        (0..ORGANISATIONS).map(|number| organisation(&organisation_name(number), Some(quota(number))));
    let organisations: Vec<Organisation> = organisations.collect();
    let mut dispatcher = dispatcher(&SERVERS);
    configure(&mut dispatcher, &organisations);
    let quotas: f64 = (0..ORGANISATIONS).map(quota).sum();
    let capacity = (burst.span.end - burst.span.start) as f64 * CAPACITY;
    let usage = (0..ORGANISATIONS).map(|number| Usage {
        share: quota(number) / quotas * capacity,
        ..Usage::default()
    });
    let mut load = Load {
        dispatcher,
        burst,
        now: 0,
        events: BTreeMap::new(),
        event_count: 0,
        sent: BTreeMap::new(),
        usage: usage.collect(),
        rng: StdRng::seed_from_u64(seed),
    };
    load.run();
    load.usage
}

impl Load {
    fn run(&mut self) {
        self.schedule(TICK_MS, Event::Tick);
        for organisation in 0..ORGANISATIONS {
            self.schedule_request(organisation, false);
            let begin = self.burst.span.start;
            let is_extra = true;
            self.schedule(
                begin,
                Event::Request {
                    organisation,
                    is_extra,
                },
            );
        }
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at >= self.burst.span.end + AFTER_BURST_MS {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now + delay, self.event_count), event);
    }

    /// Schedules the next of an organisation's usual requests, or of those that it sends beyond them.
    fn schedule_request(&mut self, organisation: usize, is_extra: bool) {
        let job = |events| work_ms(&self.dispatcher, &request(0, organisation, events));
        let (short, long) = (job(SHORT_EVENTS), job(LONG_EVENTS));
        let long_fraction = 1.0 / f64::from(LONG_EVERY);
        let mean_work = long_fraction.mul_add(long - short, short);
        let quotas: f64 = (0..ORGANISATIONS).map(quota).sum();
        let usual_per_ms = USUAL_USE * CAPACITY * quota(organisation) / quotas / mean_work;
        let factor = if is_extra {
            (self.burst.factor)(organisation) - 1.0
        } else {
            1.0
        };
        if factor <= 0.0 {
            return;
        }
        let interval = -self.rng.random_range(f64::EPSILON..1.0).ln() / (usual_per_ms * factor);
        self.schedule(
            interval as u64,
            Event::Request {
                organisation,
                is_extra,
            },
        );
    }

    fn handle(&mut self, event: Event) {
        let now = Millis(self.now);
        let actions = match event {
            Event::Tick => {
                self.schedule(TICK_MS, Event::Tick);
                self.dispatcher.tick(now)
            }
            Event::Request {
                organisation,
                is_extra,
            } => {
                if is_extra && !self.burst.span.contains(&self.now) {
                    return;
                }
                self.schedule_request(organisation, is_extra);
                self.send(organisation, is_extra)
            }
            Event::Answer(ticket) => {
                self.dispatcher.record_first_event(now, ticket);
                let sent = self.sent.get_mut(&ticket).expect("the request was sent");
                sent.is_answered = self.now <= sent.at + EVENT_GAP_MS;
                Vec::new()
            }
            Event::End(ticket) => {
                let sent = self.sent.remove(&ticket).expect("the request was sent");
                if sent.is_answered && self.burst.span.contains(&sent.at) {
                    self.usage[sent.organisation].served += sent.work_ms;
                }
                self.dispatcher.record_end(now, ticket, AttemptEnd::Complete)
            }
        };
        self.apply(&actions);
    }

    fn send(&mut self, organisation: usize, is_extra: bool) -> Vec<Action> {
        let is_long = (is_extra && self.burst.is_of_long_kind) || self.rng.random_range(0..LONG_EVERY) == 0;
        let events = if is_long { LONG_EVENTS } else { SHORT_EVENTS };
        let job = request(self.now, organisation, events);
        let work_ms = work_ms(&self.dispatcher, &job);
        if self.burst.span.contains(&self.now) {
            self.usage[organisation].asked += work_ms;
        }
        let (ticket, actions) = self.dispatcher.submit(Millis(self.now), job);
        let sent = Sent {
            organisation,
            at: self.now,
            work_ms,
            is_answered: false,
        };
        self.sent.insert(ticket, sent);
        actions
    }

    fn apply(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Start { ticket, .. } => {
                    let factor = self.rng.random_range(DURATION);
                    let work_ms = self.sent[ticket].work_ms;
                    self.schedule((FIRST_EVENT_MS * factor) as u64, Event::Answer(*ticket));
                    self.schedule((work_ms * factor) as u64, Event::End(*ticket));
                }
                Action::Refuse { ticket, .. } => {
                    self.sent.remove(ticket);
                }
            }
        }
    }
}

const SHORT_EVENTS: u32 = 10;
const LONG_EVENTS: u32 = 40;

fn request(now: u64, organisation: usize, expected_events: u32) -> Job {
    Job {
        organisation: Some(organisation_name(organisation)),
        expected_events,
        ..job(now, 0)
    }
}

/// Returns the time for which a request is expected to occupy a server, in milliseconds.
fn work_ms(dispatcher: &Dispatcher, job: &Job) -> f64 {
    let work = dispatcher.expected_work(&job.backend, job.prompt, job.expected_events);
    work.total.0 as f64
}

/// Sends requests of several organisations, each at an interval and with a number of events; returns the work of each
/// that was started.
pub(crate) fn flood(
    dispatcher: &mut Dispatcher,
    senders: &[(&str, u64, u32)],
    span: Range<u64>,
) -> BTreeMap<OrganisationId, f64> {
    let mut sent: BTreeMap<Ticket, (OrganisationId, f64)> = BTreeMap::new();
    let mut ends: BTreeMap<u64, Vec<Ticket>> = BTreeMap::new();
    let mut done = BTreeMap::new();
    let until = span.end + 2_000;
    for now in span.start..until {
        let mut actions = dispatcher.tick(Millis(now));
        for ticket in ends.remove(&now).unwrap_or_default() {
            actions.extend(dispatcher.record_end(Millis(now), ticket, AttemptEnd::Complete));
        }
        for (organisation, interval, events) in senders {
            if !now.is_multiple_of(*interval) || now >= span.end {
                continue;
            }
            let job = Job {
                expected_events: *events,
                ..job_of(organisation, now, 0)
            };
            let work = work_ms(dispatcher, &job);
            let (ticket, more) = dispatcher.submit(Millis(now), job);
            sent.insert(ticket, (name(organisation), work));
            actions.extend(more);
        }
        for (ticket, _) in started(&actions) {
            let (organisation, work) = &sent[&ticket];
            if now < span.end {
                *done.entry(organisation.clone()).or_default() += work;
            }
            ends.entry(now + *work as u64).or_default().push(ticket);
        }
    }
    done
}

/// Checks the ratio of two organisations' work, to a tenth.
#[track_caller]
pub(crate) fn assert_ratio(done: &BTreeMap<OrganisationId, f64>, of: &str, to: &str, wanted: f64) {
    let ratio = done[&name(of)] / done[&name(to)];
    assert!(
        (ratio / wanted - 1.0).abs() < 0.1,
        "{ratio:.2} rather than {wanted}"
    );
}
