//! Tests of quotas shared by hosts, both connected and partitioned.

use carawayseam_dispatch::catalog::TokenQuota;
use carawayseam_dispatch::group::Group;
use carawayseam_dispatch::quota::{AccountKind, Quotas};
use carawayseam_types::{HostId, Millis, OrganisationId, Tokens};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const QUOTA: TokenQuota = TokenQuota {
    per_second: 10_000.0,
    burst: 10_000.0,
    default_cost: Tokens(200),
};
const TOLERANCE: f64 = 5_000.0;
const STEP_MS: u64 = 100;
const WINDOW_MS: u64 = 8_000;
const CASES: u32 = 64;
/// Number of steps after which a partition shows in the number of live hosts.
const LIVENESS_DELAY_STEPS: u64 = 10;
/// Number of steps after which a partition shows in the set of reachable hosts.
const REACHABILITY_DELAY_STEPS: u64 = 4;

fn organisation() -> OrganisationId {
    "dealer".parse().expect("a valid name")
}

fn host(ix: usize) -> HostId {
    format!("front-{ix}").parse().expect("a valid name")
}

/// Simulated hosts that are partitioned into two groups from some step on, and restart at given steps.
struct Fleet {
    demand: Vec<f64>,
    /// Hosts with an index below this one are partitioned from the others.
    group: usize,
    partitioned_from: u64,
    /// Steps in which the store lists no host: all hosts are live, but none can reach another.
    unlisted: std::ops::Range<u64>,
    restarts: Vec<u64>,
    /// The number of tokens of one request.
    request: f64,
    quota: TokenQuota,
    hosts: Vec<Quotas>,
}

impl Fleet {
    fn new(demand: &[f64]) -> Self {
        Self {
            demand: demand.to_vec(),
            group: 0,
            partitioned_from: u64::MAX,
            unlisted: 0..0,
            restarts: Vec::new(),
            request: 100.0,
            quota: QUOTA,
            hosts: new_quotas(demand.len()),
        }
    }

    fn partition(mut self, group: usize, from: u64) -> Self {
        self.group = group.min(self.demand.len());
        self.partitioned_from = from;
        self
    }

    fn connected(&self, step: u64, a: usize, b: usize) -> bool {
        step < self.partitioned_from || (a < self.group) == (b < self.group)
    }

    /// Returns the group as known to a host.
    fn known_group(&self, step: u64, ix: usize) -> Group {
        let count = self.demand.len();
        let connected_peers = |delay: u64| {
            (0..count)
                .filter(move |peer| *peer == ix || self.connected(step.saturating_sub(delay), ix, *peer))
        };
        let listed = |peer: &usize| *peer == ix || !self.unlisted.contains(&step);
        Group {
            known: count as u32,
            live: connected_peers(LIVENESS_DELAY_STEPS).count() as u32,
            reachable: connected_peers(REACHABILITY_DELAY_STEPS)
                .filter(listed)
                .map(host)
                .collect(),
        }
    }

    /// Admits each host's demand within the quota; returns the tokens admitted by all hosts in each step.
    fn run(mut self, steps: u64) -> Vec<f64> {
        let mut sums = Vec::new();
        let count = self.demand.len();
        // Requests arrive at different times at different hosts.
        let mut pending: Vec<f64> = (0..count)
            .map(|ix| self.request * ix as f64 / count as f64)
            .collect();
        for step in 0..steps {
            let now = Millis((step + 1) * STEP_MS);
            if self.restarts.contains(&step) {
                self.hosts = new_quotas(self.demand.len());
            }
            for ix in 0..self.demand.len() {
                let known_group = self.known_group(step, ix);
                self.hosts[ix].set_group(now, known_group);
            }
            let mut sum = 0.0;
            for (ix, pending) in pending.iter_mut().enumerate() {
                *pending += self.demand[ix];
                while *pending >= self.request {
                    *pending -= self.request;
                    if self.admit(step, now, ix) {
                        sum += self.request;
                    }
                }
            }
            sums.push(sum);
        }
        sums
    }

    fn admit(&mut self, step: u64, now: Millis, ix: usize) -> bool {
        let (name, quota, tokens) = (organisation(), self.quota, self.request);
        if self.hosts[ix].take_local(now, &name, quota, tokens) {
            return true;
        }
        let requested = self.hosts[ix].remote_owner(&name).cloned();
        let owner = requested.map_or(ix, |requested| {
            (0..self.demand.len())
                .find(|ix| host(*ix) == requested)
                .expect("the owner is one of the hosts")
        });
        if self.connected(step, ix, owner) {
            let taken = self.hosts[owner].take_shared(now, &name, quota, tokens, Millis::ZERO);
            return taken.is_ok();
        }
        self.hosts[ix]
            .take_local_or_wait(now, &name, quota, tokens, Millis::ZERO)
            .is_ok()
    }
}

fn new_quotas(count: usize) -> Vec<Quotas> {
    (0..count).map(|ix| Quotas::new(host(ix), TOLERANCE)).collect()
}

fn peak_in_window(sums: &[f64]) -> f64 {
    let steps = (WINDOW_MS / STEP_MS) as usize;
    sums.windows(steps)
        .map(|window| window.iter().sum())
        .fold(0.0, f64::max)
}

fn window_bound() -> f64 {
    let in_window = QUOTA.per_second * WINDOW_MS as f64 / 1_000.0 + QUOTA.burst;
    in_window * 1.1 + TOLERANCE
}

#[test]
fn partitioned_hosts_together_stay_within_the_quota() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let demand = proptest::collection::vec(0.0..3_000.0, 2..6);
    let outcome = runner.run(&(demand, 0_usize..6, 0_u64..150), |(demand, group, from)| {
        let peak = peak_in_window(&Fleet::new(&demand).partition(group, from).run(200));
        prop_assert!(
            peak <= window_bound(),
            "{peak} tokens in a window, bound {}",
            window_bound()
        );
        Ok(())
    });
    outcome.expect("the tokens of no window exceed the bound");
}

#[test]
fn hosts_missing_from_the_store_together_stay_within_the_quota() {
    let mut fleet = Fleet::new(&[3_000.0; 5]);
    fleet.unlisted = 100..130;
    let peak = peak_in_window(&fleet.run(200));
    assert!(
        peak <= window_bound(),
        "{peak} tokens in a window, bound {}",
        window_bound()
    );
}

#[test]
fn a_fleet_that_restarts_twice_in_a_window_stays_within_the_quota() {
    let mut fleet = Fleet::new(&[3_000.0; 5]);
    fleet.restarts = vec![150, 190];
    let peak = peak_in_window(&fleet.run(300));
    assert!(
        peak <= window_bound(),
        "{peak} tokens in a window, bound {}",
        window_bound()
    );
}

#[test]
fn demand_on_a_single_host_gets_most_of_the_quota() {
    let sums = Fleet::new(&[2_000.0, 0.0, 0.0, 0.0]).run(200);
    let rate = sums[100..].iter().sum::<f64>() / 10.0;
    assert!(rate >= QUOTA.per_second * 0.7, "{rate} tokens a second");
}

/// Guards against rejecting long prompts while the quota lasts.
///
/// In a fleet of 33 hosts, an even share of a small quota is less than one long prompt.
#[test]
fn long_prompts_on_many_hosts_are_admitted_while_the_quota_lasts() {
    let mut fleet = Fleet::new(&[60.6; 33]);
    fleet.request = 7_000.0;
    fleet.quota.per_second = 36_000.0;
    fleet.quota.burst = 36_000.0;
    let requested: f64 = fleet.demand.iter().sum::<f64>() * 400.0;
    let admitted: f64 = fleet.run(400).iter().sum();
    assert!(admitted >= requested * 0.95, "{admitted} of {requested} tokens");
}

#[test]
fn a_host_that_takes_over_an_account_starts_with_an_empty_one() {
    let name = organisation();
    let owner = |ix: usize| {
        let group = Group {
            known: 3,
            live: 3,
            reachable: (0..3).map(host).collect(),
        };
        (group.owner(name.as_str()) == Some(&host(ix))).then_some(group)
    };
    let (ix, group) = (0..3)
        .find_map(|ix| Some((ix, owner(ix)?)))
        .expect("one host owns it");
    let without_owner = Group {
        known: 3,
        live: 3,
        reachable: (0..3).filter(|other| *other != ix).map(host).collect(),
    };
    let next = without_owner
        .owner(name.as_str())
        .expect("one host owns it")
        .clone();
    let mut quotas = Quotas::new(next, 0.0);
    quotas.open_accounts(Millis(0), std::iter::once(&name));
    quotas.set_group(Millis(0), group);
    let take = |quotas: &mut Quotas, at| quotas.take_shared(Millis(at), &name, QUOTA, 4_000.0, Millis::ZERO);
    assert_eq!(take(&mut quotas, 5_000), Err(None), "another host owns it");
    quotas.set_group(Millis(5_000), without_owner);
    assert!(matches!(take(&mut quotas, 5_000), Err(Some(_))));
    assert_eq!(take(&mut quotas, 5_800), Ok(Millis::ZERO));
}

/// Returns the quotas of a host without peers: 85 % in its shared account, and 15 % in its local account.
fn quotas_without_peers() -> (Quotas, OrganisationId) {
    let name = organisation();
    let mut quotas = Quotas::new(host(0), 0.0);
    quotas.open_accounts(Millis(0), std::iter::once(&name));
    (quotas, name)
}

#[test]
fn a_request_just_short_of_tokens_waits_for_them() {
    let (mut quotas, name) = quotas_without_peers();
    let mut take = |tokens| quotas.take_shared(Millis(1_000), &name, QUOTA, tokens, Millis(100));
    assert_eq!(take(7_650.0), Ok(Millis(0)));
    assert_eq!(take(1_275.0), Ok(Millis(50)));
    assert_eq!(take(850.0), Err(Some(Millis(150))));
}

#[test]
fn a_restart_does_not_refill_a_quota() {
    let (mut quotas, name) = quotas_without_peers();
    let taken = quotas.take_shared(Millis(10), &name, QUOTA, 850.0, Millis::ZERO);
    assert_eq!(taken, Err(Some(Millis(90))));
    assert!(!quotas.take_local(Millis(10), &name, QUOTA, 16.0));
}

#[test]
fn a_request_larger_than_the_bucket_is_admitted_when_the_bucket_is_full() {
    let (mut quotas, name) = quotas_without_peers();
    let mut take = |tokens| quotas.take_shared(Millis(5_000), &name, QUOTA, tokens, Millis::ZERO);
    assert_eq!(take(25_500.0), Ok(Millis::ZERO));
    assert_eq!(take(85.0), Err(Some(Millis(2_010))));
}

#[test]
fn refunded_tokens_are_available_again() {
    let (mut quotas, name) = quotas_without_peers();
    assert!(quotas.take_local(Millis(1_000), &name, QUOTA, 1_500.0));
    assert!(!quotas.take_local(Millis(1_000), &name, QUOTA, 1_500.0));
    quotas.refund(&name, AccountKind::Local, 1_500.0);
    assert!(quotas.take_local(Millis(1_000), &name, QUOTA, 1_500.0));
}
