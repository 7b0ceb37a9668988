//! Never do two hosts get permits at once, while their clocks drift within bounds.

mod store;

use carawayseam_lease::{Lease, LeaseAction, LeaseConfig, LeaseEvent};
use carawayseam_types::{Clock, Millis};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use store::Store;

const CASES: u32 = 300;
const HOSTS: usize = 3;
const TICK: u64 = 50;
/// Clock rates in thousandths of the true one.
const RATES: [u64; HOSTS] = [970, 1_000, 1_030];

#[derive(Debug, Clone)]
enum Step {
    Run {
        span: u64,
    },
    /// A host does nothing, while its calls and their answers may still be under way.
    Pause {
        host: usize,
        span: u64,
    },
    /// Requests and answers take up to this long, and some of them are lost.
    Network {
        delay: u64,
        loss_percent: u64,
    },
    ClockAhead {
        host: usize,
        ahead: u64,
    },
    ClockBack {
        host: usize,
        back: u64,
    },
    Resign {
        host: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        4 => (100..8_000_u64).prop_map(|span| Step::Run { span }),
        2 => (host.clone(), 100..25_000_u64).prop_map(|(host, span)| Step::Pause { host, span }),
        1 => (0..6_000_u64, 0..60_u64)
            .prop_map(|(delay, loss_percent)| Step::Network { delay, loss_percent }),
        1 => (host.clone(), 0..15_000_u64).prop_map(|(host, ahead)| Step::ClockAhead { host, ahead }),
        1 => (host.clone(), 100..15_000_u64).prop_map(|(host, back)| Step::ClockBack { host, back }),
        1 => host.prop_map(|host| Step::Resign { host }),
    ]
}

enum Delivery {
    Request(usize, LeaseAction),
    Answer(usize, LeaseEvent),
}

struct Host {
    lease: Lease,
    clock: Clock,
    offset: u64,
    paused_until: u64,
}

struct World {
    now: u64,
    store: Store,
    hosts: Vec<Host>,
    deliveries: Vec<(u64, Delivery)>,
    delay: u64,
    loss_percent: u64,
    draws: u64,
    acquired: usize,
}

impl World {
    fn new() -> Self {
        let host = |index: usize| Host {
            lease: Lease::new(config(index)),
            clock: Clock::manual(Millis::ZERO),
            offset: 1_000_000,
            paused_until: 0,
        };
        Self {
            now: 100_000,
            store: Store::default(),
            hosts: (0..HOSTS).map(host).collect(),
            deliveries: Vec::new(),
            delay: 10,
            loss_percent: 0,
            draws: 1,
            acquired: 0,
        }
    }

    /// A cheap generator; its only use is to vary delays and losses.
    fn draw(&mut self, below: u64) -> u64 {
        self.draws = self
            .draws
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.draws >> 33) % below.max(1)
    }

    fn run(&mut self, span: u64) {
        for _ in 0..span / TICK {
            self.now += TICK;
            self.deliver();
            for (index, rate) in RATES.iter().enumerate() {
                let host = &self.hosts[index];
                let now = self.now * rate / 1_000 + host.offset;
                host.clock.set(Millis(now));
                if self.now >= host.paused_until {
                    self.give(index, LeaseEvent::Tick);
                }
            }
            self.check();
        }
    }

    /// Permits are asked for at all hosts, paused ones too: their clocks run on.
    fn check(&mut self) {
        let permits = self
            .hosts
            .iter_mut()
            .filter_map(|host| host.lease.permit(&host.clock).ok());
        assert!(permits.count() <= 1, "two hosts may give orders at {}", self.now);
    }

    fn give(&mut self, index: usize, event: LeaseEvent) {
        let mut actions = Vec::new();
        let host = &mut self.hosts[index];
        host.lease.handle(host.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                LeaseAction::Call { .. } => self.schedule(Delivery::Request(index, action)),
                LeaseAction::Acquired { .. } => self.acquired += 1,
                LeaseAction::Lost { .. } => {}
            }
        }
    }

    fn schedule(&mut self, delivery: Delivery) {
        if self.draw(100) < self.loss_percent {
            return;
        }
        let delay = self.draw(self.delay + 1);
        self.deliveries.push((self.now + delay, delivery));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let hosts = &self.hosts;
        // What comes to a paused host waits for it.
        let is_due = |(at, delivery): &mut (u64, Delivery)| match delivery {
            Delivery::Request(..) => *at <= now,
            Delivery::Answer(index, _) => *at <= now && hosts[*index].paused_until <= now,
        };
        let due: Vec<_> = self.deliveries.extract_if(.., is_due).collect();
        for (_, delivery) in due {
            match delivery {
                Delivery::Request(index, LeaseAction::Call { call, request }) => {
                    let answer = self.store.call(now, &request);
                    self.schedule(Delivery::Answer(
                        index,
                        LeaseEvent::Response {
                            call,
                            response: answer,
                        },
                    ));
                }
                Delivery::Request(..) => {}
                Delivery::Answer(index, event) => self.give(index, event),
            }
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Run { span } => self.run(span),
            Step::Pause { host, span } => self.hosts[host].paused_until = self.now + span,
            Step::Network { delay, loss_percent } => (self.delay, self.loss_percent) = (delay, loss_percent),
            Step::ClockAhead { host, ahead } => self.hosts[host].offset += ahead,
            Step::ClockBack { host, back } => self.step_back(host, back),
            Step::Resign { host } => {
                self.give(host, LeaseEvent::Resign);
                self.hosts[host].lease = Lease::new(config(host + HOSTS * self.acquired));
            }
        }
    }

    /// A step back that falls into a pause cannot be seen, and is outside the promise.
    fn step_back(&mut self, index: usize, back: u64) {
        let host = &mut self.hosts[index];
        if self.now >= host.paused_until {
            host.offset -= back;
            host.clock.set(host.clock.now() - Millis(back));
            self.give(index, LeaseEvent::Tick);
        }
    }
}

fn config(index: usize) -> LeaseConfig {
    let host = format!("host-{}", index % HOSTS).parse().expect("a name");
    LeaseConfig::new("ben-slama".parse().expect("a name"), host, index as u64)
}

#[test]
fn two_hosts_never_get_permits_at_once() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let acquired = std::cell::Cell::new(0);
    let steps = proptest::collection::vec(step(), 1..30);
    let result = runner.run(&steps, |steps| {
        let mut world = World::new();
        world.run(5_000);
        for step in &steps {
            world.apply(step);
        }
        (world.delay, world.loss_percent) = (10, 0);
        world.run(60_000);
        let holders = world
            .hosts
            .iter_mut()
            .filter_map(|host| host.lease.permit(&host.clock).ok());
        prop_assert_eq!(holders.count(), 1);
        acquired.set(acquired.get() + world.acquired);
        Ok(())
    });
    result.expect("every sequence of faults ends with one holder");
    // Without changes of holder the cases would prove nothing.
    assert!(
        acquired.get() > 2 * CASES as usize,
        "{} changes of holder",
        acquired.get()
    );
}
