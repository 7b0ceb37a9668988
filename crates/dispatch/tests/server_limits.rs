//! Rate limits that backend servers report.

use carawayseam_dispatch::server_limits::ServerLimits;
use carawayseam_types::{EngineId, Millis, RequestRate};

const LIMIT: RequestRate = RequestRate { per_1000_s: 2_400 };

fn id(name: &str) -> EngineId {
    name.parse().expect("a valid name")
}

/// Records responses of server `a` as (arrival, time of sending, reported limit); returns the final limit.
fn limit_after(responses: &[(u64, u64, Option<RequestRate>)]) -> Option<RequestRate> {
    let mut limits = ServerLimits::default();
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
    let mut limits = ServerLimits::default();
    assert!(limits.record_response(Millis(20), &id("a"), Millis(10), Some(LIMIT)));
    assert!(!limits.record_response(Millis(30), &id("a"), Millis(25), Some(LIMIT)));
    assert!(limits.record_response(Millis(40), &id("a"), Millis(35), None));
    assert!(!limits.record_response(Millis(50), &id("a"), Millis(45), None));
}
