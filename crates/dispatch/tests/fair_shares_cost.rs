//! The time in which a host chooses the requests to refuse.

#[path = "support/refusals.rs"]
mod refusals;
mod support;

use std::time::Instant;

use carawayseam_dispatch::Job;
use carawayseam_dispatch::catalog::{Organisation, TokenQuota};
use carawayseam_dispatch::fair_shares::ShareWeights;
use carawayseam_types::{Millis, OrganisationId, Tokens};
use refusals::refused;
use support::{dispatcher, engine, job, started};

const RUNS: usize = 15;

fn organisation(name: &OrganisationId) -> Organisation {
    Organisation {
        name: name.clone(),
        keys: Vec::new(),
        tier: None,
        quota: Some(TokenQuota {
            per_second: 100.0,
            burst: 100.0,
            default_cost: Tokens(100),
        }),
    }
}

/// Returns the least time of some decisions in microseconds, and the numbers of waiting and of refused requests.
///
/// Half of the slots are lost at once, so that one call has to choose among all waiting requests.
fn decide(slots: u32, has_shares: bool) -> (u128, usize, usize) {
    let names = (0..16).map(|number| format!("org-{number}").parse().expect("a valid name"));
    let names: Vec<OrganisationId> = names.collect();
    let organisations: Vec<Organisation> = names.iter().map(organisation).collect();
    let runs = (0..RUNS).map(|_| {
        let mut dispatcher = dispatcher(&[("s", slots)]);
        if has_shares {
            dispatcher.set_share_weights(ShareWeights::new(&organisations));
        }
        for number in 0..slots * 7 {
            // The first organisation sends as much as all others, and lengths differ.
            let sender = if number % 2 == 0 { 0 } else { number / 2 % 16 };
            let job = Job {
                expected_events: if number % 5 == 0 { 20 } else { 6 },
                organisation: Some(names[sender as usize].clone()),
                ..job(1, 0)
            };
            dispatcher.submit(Millis(1), job);
        }
        let (waiting, _) = dispatcher.request_counts();
        let begun = Instant::now();
        let actions = dispatcher.set_engines(Millis(2), vec![engine("s", slots / 2)]);
        let took = begun.elapsed().as_micros();
        assert!(started(&actions).is_empty(), "no slot is free");
        (took, waiting, refused(&actions).len())
    });
    runs.min().expect("there are runs")
}

/// Guards against a decision whose cost grows with the square of the queue.
///
/// The least of several times does not depend on what else the machine does.
#[test]
fn the_time_of_a_decision_grows_with_the_queue_and_not_with_its_square() {
    let (small, large) = (decide(43, true), decide(170, true));
    println!("off: {:?}, {:?}", decide(43, false), decide(170, false));
    println!("on: {small:?}, {large:?} (least of us, waiting, refused)");
    assert!(large.1 >= 1_000, "{large:?}");
    // Four times the queue: 4 if the cost is linear, 16 if it is quadratic.
    assert!(large.0 < 9 * small.0.max(1), "{small:?}, {large:?}");
    if !cfg!(debug_assertions) {
        assert!(large.0 < 1_000, "{large:?}");
    }
}
