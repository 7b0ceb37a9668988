//! Quotas that hosts share without asking each other.

use carawayseam_dispatch::catalog::TokenQuota;
use carawayseam_dispatch::quota::{Hosts, Quotas};
use carawayseam_types::{Millis, OrganisationId, Tokens};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const QUOTA: TokenQuota = TokenQuota {
    per_second: 10_000.0,
    burst: 10_000.0,
    plain: Tokens(200),
};
const TOLERANCE: f64 = 5_000.0;
const STEP: u64 = 100;
const WINDOW: u64 = 8_000;
const CASES: u32 = 64;

fn organisation() -> OrganisationId {
    "dealer".parse().expect("a valid name")
}

/// What each host is asked for in each step, in tokens.
type Demand = Vec<f64>;

/// Runs hosts that are cut into two groups, and gives what all admitted in each step.
fn admitted(demand: &Demand, group: usize, steps: u64) -> Vec<f64> {
    admitted_with_restarts(demand, group, steps, &[])
}

/// The same for hosts that all start anew at some steps.
fn admitted_with_restarts(demand: &Demand, group: usize, steps: u64, restarts: &[u64]) -> Vec<f64> {
    let count = demand.len();
    let name = organisation();
    let mut hosts: Vec<Quotas> = (0..count).map(|_| Quotas::new(TOLERANCE)).collect();
    let same_group = |a: usize, b: usize| (a < group) == (b < group);
    let mut sums = Vec::new();
    for step in 0..steps {
        let now = Millis((step + 1) * STEP);
        if restarts.contains(&step) {
            hosts = (0..count).map(|_| Quotas::new(TOLERANCE)).collect();
        }
        let own: Vec<f64> = hosts
            .iter()
            .map(|host| host.demands().map(|(_, demand)| demand).sum())
            .collect();
        let mut sum = 0.0;
        for (ix, host) in hosts.iter_mut().enumerate() {
            let peers = (0..count).filter(|peer| *peer != ix && same_group(ix, *peer));
            let heard = peers.clone().count() as u32 + 1;
            host.set_hosts(Hosts {
                known: count as u32,
                heard,
            });
            host.set_peer_demand(&name, peers.map(|peer| own[peer]).sum());
            let mut asked = demand[ix];
            while asked > 0.0 {
                if host.take(now, &name, QUOTA, 100.0, Millis::ZERO).is_ok() {
                    sum += 100.0;
                }
                asked -= 100.0;
            }
        }
        sums.push(sum);
    }
    sums
}

fn most_in_a_window(sums: &[f64]) -> f64 {
    let steps = (WINDOW / STEP) as usize;
    sums.windows(steps)
        .map(|window| window.iter().sum())
        .fold(0.0, f64::max)
}

#[test]
fn hosts_that_are_cut_into_groups_stay_within_the_quota_together() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let demand = proptest::collection::vec(0.0..3_000.0, 2..6);
    let outcome = runner.run(&(demand, 0_usize..6), |(demand, group)| {
        let group = group.min(demand.len());
        let most = most_in_a_window(&admitted(&demand, group, 200));
        prop_assert!(most <= bound(), "{most} tokens in a window, bound {}", bound());
        Ok(())
    });
    outcome.expect("no window exceeds the bound");
}

fn bound() -> f64 {
    let in_window = QUOTA.per_second * WINDOW as f64 / 1_000.0 + QUOTA.burst;
    in_window * 1.1 + TOLERANCE
}

#[test]
fn a_fleet_that_restarts_twice_in_a_window_stays_within_the_quota() {
    let sums = admitted_with_restarts(&vec![3_000.0; 5], 5, 300, &[150, 190]);
    let most = most_in_a_window(&sums);
    assert!(most <= bound(), "{most} tokens in a window, bound {}", bound());
}

#[test]
fn demand_on_one_host_alone_gets_most_of_the_quota() {
    let sums = admitted(&vec![2_000.0, 0.0, 0.0, 0.0], 4, 200);
    let rate = sums[100..].iter().sum::<f64>() / 10.0;
    assert!(rate >= QUOTA.per_second * 0.7, "{rate} tokens a second");
}

#[test]
fn a_request_just_short_of_tokens_waits_for_them() {
    let mut quotas = Quotas::new(0.0);
    let name = organisation();
    quotas.open(Millis(0), std::iter::once(&name));
    assert_eq!(
        quotas.take(Millis(1_000), &name, QUOTA, 9_000.0, Millis(100)),
        Ok(Millis(0))
    );
    assert_eq!(
        quotas.take(Millis(1_000), &name, QUOTA, 1_500.0, Millis(100)),
        Ok(Millis(50))
    );
    assert_eq!(
        quotas.take(Millis(1_000), &name, QUOTA, 1_000.0, Millis(100)),
        Err(Millis(150))
    );
}

#[test]
fn a_restart_does_not_refill_a_quota() {
    let mut quotas = Quotas::new(0.0);
    let name = organisation();
    quotas.open(Millis(0), std::iter::once(&name));
    assert_eq!(
        quotas.take(Millis(10), &name, QUOTA, 1_000.0, Millis::ZERO),
        Err(Millis(90))
    );
}

#[test]
fn a_request_larger_than_the_bucket_is_admitted_from_a_full_one() {
    let mut quotas = Quotas::new(0.0);
    let name = organisation();
    quotas.open(Millis(0), std::iter::once(&name));
    let full = Millis(5_000);
    assert_eq!(
        quotas.take(full, &name, QUOTA, 30_000.0, Millis::ZERO),
        Ok(Millis::ZERO)
    );
    assert_eq!(
        quotas.take(full, &name, QUOTA, 100.0, Millis::ZERO),
        Err(Millis(2_010))
    );
}
