//! Freshness of the configuration, the retry budget, and the detection of partitions.

use carawayseam_dispatch::freshness::{Freshness, Reachability};
use carawayseam_dispatch::retries::{RetryBounds, RetryBudget};
use carawayseam_types::Millis;

macro_rules! expect_fresh {
    ($name:ident: confirmed $confirmed:expr, checked $checked:expr => $should_be_fresh:expr) => {
        #[test]
        fn $name() {
            let mut freshness = Freshness::new(Millis(3_600));
            for at in $confirmed {
                freshness.confirm(Millis(at));
            }
            assert_eq!(freshness.is_fresh(Millis($checked)), $should_be_fresh);
        }
    };
}

expect_fresh!(nothing_is_fresh_before_the_first_confirmation: confirmed [0; 0], checked 10 => false);
expect_fresh!(a_recent_confirmation_is_fresh: confirmed [1_000], checked 4_600 => true);
expect_fresh!(an_old_confirmation_is_not_fresh: confirmed [1_000], checked 4_601 => false);
expect_fresh!(a_confirmation_that_arrives_out_of_order_changes_nothing: confirmed [5_000, 1_000], checked 8_600 => true);
// The clock includes time in suspension, so a confirmation is old after a suspended host resumes.
expect_fresh!(a_suspension_ages_the_confirmation: confirmed [1_000], checked 60_000 => false);

const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    extra: 54.0,
};

/// Returns the retries granted to all hosts in one window, with `requests` requests each.
fn granted_retries(hosts: u32, requests: u32) -> u32 {
    let mut granted = 0;
    for _ in 0..hosts {
        let mut budget = RetryBudget::new(BOUNDS, hosts);
        for _ in 0..requests {
            budget.on_request();
            granted += u32::from(budget.take());
            granted += u32::from(budget.take());
        }
    }
    granted
}

macro_rules! check_retry_bound {
    ($name:ident: $hosts:expr, $requests:expr) => {
        #[test]
        fn $name() {
            let bound = BOUNDS.ratio * f64::from($hosts * $requests) + BOUNDS.extra;
            let granted_retries = f64::from(granted_retries($hosts, $requests));
            assert!(
                granted_retries <= bound,
                "{granted_retries} retries granted, bound {bound}"
            );
        }
    };
}

check_retry_bound!(one_host_stays_within_the_bound: 1, 500);
check_retry_bound!(four_hosts_together_stay_within_the_bound: 4, 500);
check_retry_bound!(a_large_fleet_with_little_traffic_stays_within_the_bound: 33, 5);

#[test]
fn a_small_fleet_may_retry_after_a_loss() {
    assert!(granted_retries(4, 20) >= 10);
}

/// Guards against a budget that retries which were not sent use up.
#[test]
fn a_retry_that_is_returned_can_be_taken_again() {
    let bounds = RetryBounds {
        ratio: 0.0,
        extra: 8.0,
    };
    let mut budget = RetryBudget::new(bounds, 1);
    assert!(budget.take());
    assert!(!budget.has_retry());
    budget.give_back();
    assert!(budget.take());
    assert!(!budget.has_retry());
}

/// Guards against a budget that grows beyond its capacity by retries that are returned.
#[test]
fn returned_retries_do_not_exceed_the_capacity() {
    let mut budget = RetryBudget::new(BOUNDS, 33);
    for _ in 0..5 {
        budget.give_back();
    }
    let granted = std::iter::repeat_with(|| budget.take()).take_while(|is_granted| *is_granted);
    assert_eq!(granted.count(), 1);
}

macro_rules! expect_partitioned {
    ($name:ident: $is_store_unavailable:expr, $has_unresponsive_peers:expr, $has_serving_peers:expr => $should_be_partitioned:expr) => {
        #[test]
        fn $name() {
            let reach = Reachability {
                is_store_unavailable: $is_store_unavailable,
                has_unresponsive_peers: $has_unresponsive_peers,
                has_serving_peers: $has_serving_peers,
            };
            assert_eq!(reach.is_partitioned(), $should_be_partitioned);
        }
    };
}

expect_partitioned!(a_host_that_reaches_the_store_is_not_partitioned: false, true, true => false);
expect_partitioned!(an_outage_of_the_store_for_all_hosts_partitions_none: true, false, false => false);
expect_partitioned!(a_host_that_alone_cannot_reach_the_store_is_partitioned: true, false, true => true);
expect_partitioned!(a_zone_that_reaches_neither_store_nor_other_zones_is_partitioned: true, true, false => true);
