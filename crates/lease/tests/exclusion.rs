//! At most one host gets permits at any time, as long as clock drift stays within the bounds.

mod store;

use carawayseam_lease::{Lease, LeaseAction, LeaseConfig, LeaseEvent};
use carawayseam_types::{Clock, Millis};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use store::Store;

const CASES: u32 = 300;
const HOSTS: usize = 3;
const TICK_MS: u64 = 50;
/// Rates of the hosts' clocks, in thousandths of the reference clock's.
const CLOCK_RATES_PER_MILLE: [u64; HOSTS] = [970, 1_000, 1_030];

#[derive(Debug, Clone)]
enum Step {
    Run {
        span_ms: u64,
    },
    /// A host is suspended, while its calls and their responses may still be in transit.
    Pause {
        host: usize,
        span_ms: u64,
    },
    /// Each request and response is delayed by up to `delay_ms`, and some of them are lost.
    Network {
        delay_ms: u64,
        loss_percent: u64,
    },
    ClockStepsAhead {
        host: usize,
        ahead_ms: u64,
    },
    ClockStepsBack {
        host: usize,
        back_ms: u64,
    },
    Resign {
        host: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        4 => (100..8_000_u64).prop_map(|span_ms| Step::Run { span_ms }),
        2 => (host.clone(), 100..25_000_u64).prop_map(|(host, span_ms)| Step::Pause { host, span_ms }),
        1 => (0..6_000_u64, 0..60_u64)
            .prop_map(|(delay_ms, loss_percent)| Step::Network { delay_ms, loss_percent }),
        1 => (host.clone(), 0..15_000_u64)
            .prop_map(|(host, ahead_ms)| Step::ClockStepsAhead { host, ahead_ms }),
        1 => (host.clone(), 100..15_000_u64)
            .prop_map(|(host, back_ms)| Step::ClockStepsBack { host, back_ms }),
        1 => host.prop_map(|host| Step::Resign { host }),
    ]
}

enum Message {
    Request(usize, LeaseAction),
    Response(usize, LeaseEvent),
}

struct Host {
    lease: Lease,
    clock: Clock,
    offset: u64,
    paused_until: u64,
}

struct Simulation {
    now: u64,
    store: Store,
    hosts: Vec<Host>,
    messages: Vec<(u64, Message)>,
    delay_ms: u64,
    loss_percent: u64,
    rng_state: u64,
    acquired: usize,
}

impl Simulation {
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
            messages: Vec::new(),
            delay_ms: 10,
            loss_percent: 0,
            rng_state: 1,
            acquired: 0,
        }
    }

    /// Returns a pseudorandom number below `below`, used only to vary delays and losses.
    fn random_below(&mut self, below: u64) -> u64 {
        self.rng_state = self
            .rng_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.rng_state >> 33) % below.max(1)
    }

    fn run(&mut self, span_ms: u64) {
        for _ in 0..span_ms / TICK_MS {
            self.now += TICK_MS;
            self.deliver();
            for (index, rate) in CLOCK_RATES_PER_MILLE.iter().enumerate() {
                let host = &self.hosts[index];
                let now = self.now * rate / 1_000 + host.offset;
                host.clock.set(Millis(now));
                if self.now >= host.paused_until {
                    self.handle(index, LeaseEvent::Tick);
                }
            }
            self.assert_exclusive();
        }
    }

    /// Asserts that at most one host gets a permit. Paused hosts are included, because their
    /// clocks continue to run.
    fn assert_exclusive(&mut self) {
        let permits = self
            .hosts
            .iter_mut()
            .filter_map(|host| host.lease.permit(&host.clock).ok());
        assert!(permits.count() <= 1, "two hosts got permits at {}", self.now);
    }

    fn handle(&mut self, index: usize, event: LeaseEvent) {
        let mut actions = Vec::new();
        let host = &mut self.hosts[index];
        host.lease.handle(host.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                LeaseAction::Call { .. } => self.schedule(Message::Request(index, action)),
                LeaseAction::Acquired { .. } => self.acquired += 1,
                LeaseAction::Lost { .. } => {}
            }
        }
    }

    fn schedule(&mut self, message: Message) {
        if self.random_below(100) < self.loss_percent {
            return;
        }
        let delay_ms = self.random_below(self.delay_ms + 1);
        self.messages.push((self.now + delay_ms, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let hosts = &self.hosts;
        // Responses to a paused host are held until it resumes.
        let is_due = |(at, message): &mut (u64, Message)| match message {
            Message::Request(..) => *at <= now,
            Message::Response(index, _) => *at <= now && hosts[*index].paused_until <= now,
        };
        let due: Vec<_> = self.messages.extract_if(.., is_due).collect();
        for (_, message) in due {
            match message {
                Message::Request(index, LeaseAction::Call { call, request }) => {
                    let response = self.store.call(now, &request);
                    self.schedule(Message::Response(index, LeaseEvent::Response { call, response }));
                }
                Message::Request(..) => {}
                Message::Response(index, event) => self.handle(index, event),
            }
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Run { span_ms } => self.run(span_ms),
            Step::Pause { host, span_ms } => self.hosts[host].paused_until = self.now + span_ms,
            Step::Network {
                delay_ms,
                loss_percent,
            } => (self.delay_ms, self.loss_percent) = (delay_ms, loss_percent),
            Step::ClockStepsAhead { host, ahead_ms } => self.hosts[host].offset += ahead_ms,
            Step::ClockStepsBack { host, back_ms } => self.step_clock_back(host, back_ms),
            Step::Resign { host } => {
                self.handle(host, LeaseEvent::Resign);
                self.hosts[host].lease = Lease::new(config(host + HOSTS * self.acquired));
            }
        }
    }

    /// Steps a host's clock back unless the host is paused: a step back during a pause cannot be
    /// detected and is not covered by the guarantee.
    fn step_clock_back(&mut self, index: usize, back_ms: u64) {
        let host = &mut self.hosts[index];
        if self.now >= host.paused_until {
            host.offset -= back_ms;
            host.clock.set(host.clock.now() - Millis(back_ms));
            self.handle(index, LeaseEvent::Tick);
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
        let mut simulation = Simulation::new();
        simulation.run(5_000);
        for step in &steps {
            simulation.apply(step);
        }
        (simulation.delay_ms, simulation.loss_percent) = (10, 0);
        simulation.run(60_000);
        let holders = simulation
            .hosts
            .iter_mut()
            .filter_map(|host| host.lease.permit(&host.clock).ok());
        prop_assert_eq!(holders.count(), 1);
        acquired.set(acquired.get() + simulation.acquired);
        Ok(())
    });
    result.expect("every sequence of faults ends with one holder");
    // Ensures that the cases exercise changes of the holder.
    assert!(
        acquired.get() > 2 * CASES as usize,
        "{} changes of holder",
        acquired.get()
    );
}
