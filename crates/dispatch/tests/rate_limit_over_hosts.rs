//! A backend server's rate limit, kept by hosts that are partitioned, frozen and restarted.

use std::ops::Range;

use carawayseam_dispatch::group::Group;
use carawayseam_dispatch::server_limits::ServerLimits;
use carawayseam_types::{EngineId, HostId, Millis, RequestRate};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const STEP_MS: u64 = 20;
const STEPS: usize = 1_000;
/// Steps in the time over which the requests to a server are bounded.
const WINDOW_STEPS: usize = 4_000 / STEP_MS as usize;
/// Steps after which a partition or freeze shows in the set of reachable hosts.
const REACHABILITY_DELAY_STEPS: usize = 400 / STEP_MS as usize;
/// Steps after which it shows in the number of live hosts.
const LIVENESS_DELAY_STEPS: usize = 1_000 / STEP_MS as usize;
/// Steps for which a host does not use the server after an owner did not respond.
const PAUSE_STEPS: usize = 100 / STEP_MS as usize;
const CASES: u32 = 96;

fn engine() -> EngineId {
    "i-1".parse().expect("a valid name")
}

fn host(ix: usize) -> HostId {
    format!("front-{ix}").parse().expect("a valid name")
}

/// Hosts that all have more requests for the server than its limit allows.
struct Fleet {
    limit: RequestRate,
    hosts: Vec<ServerLimits>,
    /// Step before which each host does not use the server.
    deferred_until: Vec<usize>,
    /// Hosts with an index below this one are partitioned from the others during `partition`.
    group: usize,
    partition: Range<usize>,
    frozen: Option<usize>,
    freeze: Range<usize>,
    /// Step in which all hosts restart.
    restart: Option<usize>,
}

impl Fleet {
    fn new(count: usize, limit: RequestRate) -> Self {
        Self {
            limit,
            hosts: new_hosts(count),
            deferred_until: vec![0; count],
            group: 0,
            partition: 0..0,
            frozen: None,
            freeze: 0..0,
            restart: None,
        }
    }

    fn is_frozen(&self, step: usize, ix: usize) -> bool {
        self.frozen == Some(ix) && self.freeze.contains(&step)
    }

    fn connected(&self, step: usize, a: usize, b: usize) -> bool {
        let is_cut = self.partition.contains(&step) && (a < self.group) != (b < self.group);
        !is_cut && !self.is_frozen(step, a) && !self.is_frozen(step, b)
    }

    /// Returns the group as known to a host.
    fn known_group(&self, step: usize, ix: usize) -> Group {
        let count = self.hosts.len();
        let connected_peers = |delay: usize| {
            let seen_at = step.saturating_sub(delay);
            (0..count).filter(move |peer| *peer == ix || self.connected(seen_at, ix, *peer))
        };
        Group {
            known: count as u32,
            live: connected_peers(LIVENESS_DELAY_STEPS).count() as u32,
            reachable: connected_peers(REACHABILITY_DELAY_STEPS).map(host).collect(),
        }
    }

    /// Sends as many requests as the hosts allow; returns the number that all send in each step.
    fn run(mut self) -> Vec<usize> {
        (0..STEPS).map(|step| self.step(step)).collect()
    }

    fn step(&mut self, step: usize) -> usize {
        let now = Millis((step as u64 + 1) * STEP_MS);
        if self.restart == Some(step) {
            self.hosts = new_hosts(self.hosts.len());
        }
        let active: Vec<usize> = (0..self.hosts.len())
            .filter(|ix| !self.is_frozen(step, *ix))
            .collect();
        for ix in &active {
            let group = self.known_group(step, *ix);
            self.hosts[*ix].set_group(now, group);
        }
        let mut sent = 0;
        for ix in active {
            while self.deferred_until[ix] <= step {
                match self.take_permit(step, now, ix) {
                    Ok(()) => sent += 1,
                    Err(steps) => self.deferred_until[ix] = step + steps,
                }
            }
        }
        sent
    }

    /// Takes a permit, or returns the number of steps until the host asks for one again.
    fn take_permit(&mut self, step: usize, now: Millis, ix: usize) -> Result<(), usize> {
        let owner = self.hosts[ix].remote_owner(&engine()).cloned();
        let owner = (0..self.hosts.len()).find(|other| owner.as_ref() == Some(&host(*other)));
        let owner = owner.unwrap_or(ix);
        if owner != ix && !self.connected(step, ix, owner) {
            return Err(PAUSE_STEPS);
        }
        let taken = self.hosts[owner].take_permit(now, &engine(), self.limit);
        taken.map_err(|wait| wait.map_or(PAUSE_STEPS, |wait| wait.0.div_ceil(STEP_MS) as usize))
    }
}

fn new_hosts(count: usize) -> Vec<ServerLimits> {
    (0..count).map(|ix| ServerLimits::new(host(ix))).collect()
}

fn peak_in_window(sent: &[usize]) -> usize {
    let windows = sent.windows(WINDOW_STEPS);
    windows
        .map(|window| window.iter().sum())
        .max()
        .unwrap_or_default()
}

/// Returns the maximum number of requests that the server may get in any window.
fn window_bound(limit: RequestRate) -> usize {
    (limit.per_second() * 4.0 * 1.5) as usize + 5
}

#[test]
fn partitioned_frozen_and_restarted_hosts_together_keep_a_limit() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let span = || (0..STEPS, 0..300_usize);
    let faults = (
        0..40_usize,
        span(),
        0..40_usize,
        span(),
        proptest::option::of(0..STEPS),
    );
    let cases = (1..40_usize, 0_u32..30_000, faults);
    let outcome = runner.run(&cases, |(count, per_1000_s, faults)| {
        let (group, cut, frozen, freeze, restart) = faults;
        let limit = RequestRate { per_1000_s };
        let mut fleet = Fleet::new(count, limit);
        fleet.group = group;
        fleet.partition = cut.0..cut.0 + cut.1;
        fleet.frozen = Some(frozen);
        fleet.freeze = freeze.0..freeze.0 + freeze.1;
        fleet.restart = restart;
        let peak = peak_in_window(&fleet.run());
        prop_assert!(
            peak <= window_bound(limit),
            "{peak} requests in 4 s, bound {}",
            window_bound(limit)
        );
        Ok(())
    });
    outcome.expect("no window has more requests than the bound");
}

macro_rules! uses_limit {
    ($name:ident: $hosts:expr, $per_1000_s:expr) => {
        #[test]
        fn $name() {
            let limit = RequestRate {
                per_1000_s: $per_1000_s,
            };
            let sent: usize = Fleet::new($hosts, limit).run().iter().sum();
            let allowed = limit.per_second() * (STEPS as u64 * STEP_MS) as f64 / 1_000.0;
            assert!(
                sent as f64 >= allowed * 0.9,
                "{sent} requests, the limit allows {allowed:.0}"
            );
        }
    };
}

uses_limit!(one_host_uses_a_limit: 1, 2_400);
uses_limit!(five_hosts_use_a_small_limit: 5, 2_400);
uses_limit!(hundreds_of_hosts_use_a_small_limit: 420, 2_400);
uses_limit!(hundreds_of_hosts_use_a_large_limit: 420, 40_000);
