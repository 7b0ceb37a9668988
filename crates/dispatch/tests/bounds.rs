//! Freshness of the configuration, and the budget for repeats.

use carawayseam_dispatch::freshness::{Freshness, Reachability};
use carawayseam_dispatch::retries::{RetryBounds, RetryBudget};
use carawayseam_types::Millis;

macro_rules! fresh {
    ($name:ident: confirmed $confirmed:expr, asked $asked:expr => $fresh:expr) => {
        #[test]
        fn $name() {
            let mut freshness = Freshness::new(Millis(3_600));
            for at in $confirmed {
                freshness.confirm(Millis(at));
            }
            assert_eq!(freshness.is_fresh(Millis($asked)), $fresh);
        }
    };
}

fresh!(nothing_is_fresh_before_the_first_proof: confirmed [0; 0], asked 10 => false);
fresh!(a_young_proof_is_enough: confirmed [1_000], asked 4_600 => true);
fresh!(an_old_proof_is_not: confirmed [1_000], asked 4_601 => false);
fresh!(an_earlier_proof_that_comes_later_changes_nothing: confirmed [5_000, 1_000], asked 8_600 => true);
// The clock counts suspension, so a host that was frozen finds its proof aged.
fresh!(a_suspension_ages_the_proof: confirmed [1_000], asked 60_000 => false);

const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    extra: 54.0,
};

/// Repeats of all hosts in one window, at `requests` requests each.
fn repeats(hosts: u32, requests: u32) -> u32 {
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

macro_rules! within_budget {
    ($name:ident: $hosts:expr, $requests:expr) => {
        #[test]
        fn $name() {
            let bound = BOUNDS.ratio * f64::from($hosts * $requests) + BOUNDS.extra;
            let repeats = f64::from(repeats($hosts, $requests));
            assert!(repeats <= bound, "{repeats} repeats, bound {bound}");
        }
    };
}

within_budget!(one_host_keeps_the_bound: 1, 500);
within_budget!(four_hosts_keep_the_bound_together: 4, 500);
within_budget!(a_large_fleet_with_little_traffic_keeps_the_bound: 33, 5);

#[test]
fn a_small_fleet_may_repeat_after_a_loss() {
    assert!(repeats(4, 20) >= 10);
}

macro_rules! cut_off {
    ($name:ident: $is_store_unavailable:expr, $has_unresponsive_peers:expr, $has_serving_peers:expr => $cut_off:expr) => {
        #[test]
        fn $name() {
            let reach = Reachability {
                is_store_unavailable: $is_store_unavailable,
                has_unresponsive_peers: $has_unresponsive_peers,
                has_serving_peers: $has_serving_peers,
            };
            assert_eq!(reach.is_partitioned(), $cut_off);
        }
    };
}

cut_off!(a_host_that_reaches_the_store_is_not_cut_off: false, true, true => false);
cut_off!(an_outage_that_hits_all_hosts_cuts_off_none: true, false, false => false);
cut_off!(a_host_that_alone_is_turned_away_is_cut_off: true, false, true => true);
cut_off!(a_zone_without_store_and_other_zones_is_cut_off: true, true, false => true);
