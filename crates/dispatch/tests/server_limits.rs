//! Rate limits that backend servers report.

use std::collections::BTreeSet;

use carawayseam_dispatch::server_limits::{ServerLimit, ServerLimits};
use carawayseam_types::{EngineId, HostId, Millis, RequestRate};

const LIMIT: RequestRate = RequestRate { per_1000_s: 2_400 };

fn id(name: &str) -> EngineId {
    name.parse().expect("a valid name")
}

fn host() -> HostId {
    "front-0".parse().expect("a valid name")
}

/// Records responses of server `a` as (arrival, time of sending, reported limit); returns the final limit.
fn limit_after(responses: &[(u64, u64, Option<RequestRate>)]) -> Option<RequestRate> {
    let mut limits = ServerLimits::new(host());
    for (at, sent_at, reported) in responses {
        limits.record_response(Millis(*at), &id("a"), Millis(*sent_at), *reported);
    }
    limits.get(&id("a"))
}

macro_rules! limit {
    ($name:ident: $responses:expr => $expected:expr) => {
        #[test]
        fn $name() {
            assert_eq!(limit_after(&$responses), $expected);
        }
    };
}

limit!(a_server_that_reports_no_limit_has_none: [(20, 10, None)] => None);
limit!(a_reported_limit_holds: [(20, 10, Some(LIMIT))] => Some(LIMIT));
limit!(a_response_to_an_earlier_request_does_not_end_a_limit:
    [(20, 10, Some(LIMIT)), (30, 15, None)] => Some(LIMIT));
limit!(a_response_to_a_later_request_ends_a_limit: [(20, 10, Some(LIMIT)), (30, 25, None)] => None);
limit!(a_limit_that_ended_holds_when_it_is_reported_again:
    [(20, 10, Some(LIMIT)), (30, 25, None), (40, 35, Some(LIMIT))] => Some(LIMIT));
limit!(the_latest_reported_limit_replaces_earlier_ones:
    [(20, 10, Some(LIMIT)), (30, 25, Some(RequestRate { per_1000_s: 900 }))]
    => Some(RequestRate { per_1000_s: 900 }));

#[test]
fn only_a_changed_limit_counts_as_a_change() {
    let mut limits = ServerLimits::new(host());
    assert!(limits.record_response(Millis(20), &id("a"), Millis(10), Some(LIMIT)));
    assert!(!limits.record_response(Millis(30), &id("a"), Millis(25), Some(LIMIT)));
    assert!(limits.record_response(Millis(40), &id("a"), Millis(35), None));
    assert!(!limits.record_response(Millis(50), &id("a"), Millis(45), None));
}

fn update(version: u64, limit: Option<RequestRate>) -> ServerLimit {
    ServerLimit {
        engine: id("a"),
        version,
        limit,
    }
}

macro_rules! peer_update {
    ($name:ident: $first:expr, then $second:expr => $expected:expr) => {
        #[test]
        fn $name() {
            let mut limits = ServerLimits::new(host());
            limits.record_peer_update(Millis(10), $first);
            limits.record_peer_update(Millis(20), $second);
            assert_eq!(limits.get(&id("a")), $expected);
        }
    };
}

const LOWER: RequestRate = RequestRate { per_1000_s: 900 };

peer_update!(a_later_version_ends_a_limit: update(1, Some(LIMIT)), then update(2, None) => None);
peer_update!(an_earlier_version_does_not_restore_a_limit:
    update(2, None), then update(1, Some(LIMIT)) => None);
peer_update!(of_two_limits_of_one_version_the_lower_holds:
    update(1, Some(LOWER)), then update(1, Some(LIMIT)) => Some(LOWER));
peer_update!(of_a_limit_and_its_end_in_one_version_the_limit_holds:
    update(2, None), then update(2, Some(LIMIT)) => Some(LIMIT));

/// Guards against a limit that peers never hear of, or that a peer's old report brings back.
#[test]
fn a_change_is_announced_with_a_later_version() {
    let mut limits = ServerLimits::new(host());
    limits.record_peer_update(Millis(10), update(4, Some(LIMIT)));
    limits.record_response(Millis(40), &id("a"), Millis(30), None);
    assert_eq!(limits.gossip_updates(Millis(50), false), [update(5, None)]);
    assert!(limits.gossip_updates(Millis(5_000), false).is_empty());
    assert_eq!(limits.gossip_updates(Millis(5_000), true), [update(5, None)]);
}

#[test]
fn limits_that_do_not_fit_one_update_are_announced_in_later_ones() {
    const SERVERS: usize = 100;
    let mut limits = ServerLimits::new(host());
    for ix in 0..SERVERS {
        limits.record_response(Millis(10), &id(&format!("s-{ix}")), Millis(5), Some(LIMIT));
    }
    let mut announced = BTreeSet::new();
    for _ in 0..10 {
        let updates = limits.gossip_updates(Millis(100), false);
        announced.extend(updates.into_iter().map(|update| update.engine));
    }
    assert_eq!(announced.len(), SERVERS);
}

/// The owner of the permits may not have heard of the limit, or know a lower one.
#[test]
fn the_lower_of_the_owners_and_the_requesters_limit_is_kept() {
    let mut limits = ServerLimits::new(host());
    limits.record_response(Millis(0), &id("a"), Millis(0), Some(LOWER));
    assert!(limits.take_permit(Millis(0), &id("a"), LIMIT).is_err());
    let wait = limits.take_permit(Millis(1), &id("a"), LIMIT);
    assert_eq!(wait, Err(Some(Millis(1_111))), "one request at 0.9 a second");
}

#[test]
fn a_refunded_permit_is_available_again() {
    let mut limits = ServerLimits::new(host());
    assert!(limits.take_permit(Millis(0), &id("a"), LIMIT).is_err());
    assert_eq!(limits.take_permit(Millis(500), &id("a"), LIMIT), Ok(()));
    assert!(limits.take_permit(Millis(500), &id("a"), LIMIT).is_err());
    limits.refund_permit(&id("a"));
    assert_eq!(limits.take_permit(Millis(500), &id("a"), LIMIT), Ok(()));
}
