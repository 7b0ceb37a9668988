//! Loads of servers as the owners of their slots measured them.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod support;

use carawayseam_dispatch::engine::ServerLoad;
use carawayseam_dispatch::server_loads::{Measurement, OwnerKey, ServerLoads};
use carawayseam_types::{EngineKey, HostId, Millis};
use support::id;

const OWNER: OwnerKey = OwnerKey(1);
const OTHER: OwnerKey = OwnerKey(2);

fn key() -> EngineKey {
    EngineKey::from(&id("a"))
}

const fn load(running: u32) -> ServerLoad {
    ServerLoad {
        running,
        prompt_ahead: 0,
    }
}

fn measurement(owner: OwnerKey, version: u64, age: u64, running: u32) -> Measurement {
    Measurement {
        engine: key(),
        owner,
        version,
        age: Millis(age),
        load: load(running),
    }
}

fn running(loads: &ServerLoads, now: u64) -> Option<u32> {
    loads.load_on(Millis(now), key()).map(|load| load.running)
}

/// Names each measurement that arrives at 10,000 ms, after one of version 7 with 3 requests that was 100 ms old, and the
/// number of requests known then. Guards against outdated loads, which reach a host by longer ways.
macro_rules! second_measurements {
    ($($name:ident: $measurement:expr => $running:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut loads = ServerLoads::default();
                assert!(loads.record(Millis(10_000), &measurement(OWNER, 7, 100, 3)));
                assert_eq!(loads.record(Millis(10_000), &$measurement), $running != 3);
                assert_eq!(running(&loads, 10_000), Some($running));
                assert_eq!(loads.len(), 1);
            }
        )*
    };
}

second_measurements! {
    a_newer_version_of_the_owner: measurement(OWNER, 8, 50, 5) => 5;
    the_same_version_again: measurement(OWNER, 7, 100, 5) => 3;
    the_same_version_with_a_false_age: measurement(OWNER, 7, 0, 5) => 3;
    an_earlier_version_with_a_false_age: measurement(OWNER, 6, 0, 5) => 3;
    a_newer_version_that_is_older: measurement(OWNER, 8, 200, 5) => 3;
    a_younger_one_of_another_owner: measurement(OTHER, 1, 50, 5) => 5;
    an_older_one_of_another_owner: measurement(OTHER, u64::MAX, 150, 5) => 3;
    one_that_is_too_old: measurement(OTHER, 9, 3_001, 5) => 3;
    one_of_an_absurd_age: measurement(OWNER, u64::MAX, u64::MAX, 5) => 3;
    an_absurd_load: Measurement {
        load: ServerLoad { running: u32::MAX, prompt_ahead: u32::MAX }, ..measurement(OWNER, u64::MAX, 0, 0)
    } => u32::MAX;
}

/// Guards against a load that a partitioned owner measured long ago.
#[test]
fn a_measurement_counts_for_three_seconds() {
    let mut loads = ServerLoads::default();
    loads.record(Millis(10_000), &measurement(OWNER, 7, 500, 3));
    assert_eq!(running(&loads, 12_500), Some(3));
    assert_eq!(running(&loads, 12_501), None);
    loads.expire(Millis(12_501));
    assert!(loads.is_empty(), "nothing is kept of it");
}

/// Guards against a false version after which no other one counts.
#[test]
fn an_absurd_version_ends_with_its_age() {
    let mut loads = ServerLoads::default();
    loads.record(Millis(10_000), &measurement(OWNER, u64::MAX, 0, 3));
    assert!(!loads.record(Millis(12_000), &measurement(OWNER, 8, 0, 5)));
    assert!(loads.record(Millis(13_001), &measurement(OWNER, 9, 0, 5)));
}

/// Guards against servers that fill up between two measurements, as a host does not see its own requests on them.
#[test]
fn own_requests_since_the_measurement_count() {
    let mut loads = ServerLoads::default();
    loads.record_start(Millis(9_000), key());
    assert!(loads.is_empty(), "nothing is kept without a measurement");
    loads.record(Millis(10_000), &measurement(OWNER, 7, 100, 3));
    loads.record_start(Millis(10_050), key());
    loads.record_start(Millis(10_100), key());
    assert_eq!(running(&loads, 10_100), Some(5));
    loads.record_end(Millis(10_150), key());
    assert_eq!(running(&loads, 10_150), Some(4));
    // The first start is in the measurement of 10,080 ms; the others came later.
    loads.record(Millis(10_200), &measurement(OWNER, 8, 120, 4));
    assert_eq!(running(&loads, 10_200), Some(4));
}

/// Guards against sums that wrap, and against a list of own requests that grows without bound.
#[test]
fn absurd_loads_and_many_own_requests_overflow_nothing() {
    let mut loads = ServerLoads::default();
    loads.record(Millis(10_000), &measurement(OWNER, 7, 0, u32::MAX));
    for _ in 0..1_000 {
        loads.record_start(Millis(10_001), key());
    }
    assert_eq!(running(&loads, 10_001), Some(u32::MAX));
    loads.record(Millis(10_002), &measurement(OWNER, 8, 0, 0));
    for _ in 0..1_000 {
        loads.record_end(Millis(10_003), key());
    }
    assert_eq!(running(&loads, 10_003), Some(0));
}

/// Guards against repeated claims on a server whose owner just refused one, and against a mark that outlives it.
#[test]
fn a_refused_claim_marks_a_server_as_full_until_a_newer_measurement() {
    let mut loads = ServerLoads::default();
    loads.record_claim(Millis(10_000), key(), OWNER, load(9), true);
    assert!(loads.is_full(Millis(10_039), key()));
    assert!(!loads.is_full(Millis(10_040), key()));
    assert!(
        !loads.record(Millis(10_030), &measurement(OWNER, 7, 40, 8)),
        "measured before the refusal"
    );
    assert!(loads.is_full(Millis(10_030), key()));
    assert!(loads.record(Millis(10_035), &measurement(OWNER, 8, 20, 8)));
    assert!(!loads.is_full(Millis(10_035), key()));
    assert_eq!(running(&loads, 10_035), Some(8));
}

/// Guards against claims in vain: a host makes at most 100 a second while all servers are full.
#[test]
fn a_mark_lasts_longer_the_more_servers_are_full() {
    let mut loads = ServerLoads::default();
    let mut refused = 0;
    for now in 10_000..13_000 {
        for server in 0..60 {
            let server = EngineKey(server);
            if !loads.is_full(Millis(now), server) {
                loads.record_claim(Millis(now), server, OWNER, load(9), true);
                refused += u32::from(now >= 11_000);
            }
        }
    }
    // In the first second, the marks of the first servers are short: few are known to be full.
    assert!(refused <= 2 * 100, "{refused} claims in the last two seconds");
    let mut few = ServerLoads::default();
    few.record_claim(Millis(10_000), EngineKey(1), OWNER, load(9), true);
    few.record_claim(Millis(10_000), EngineKey(2), OWNER, load(9), true);
    assert!(!few.is_full(Millis(10_040), EngineKey(2)));
}

/// Guards against a freed slot that stays unused because the server is still marked as full.
#[test]
fn the_end_of_an_own_request_ends_the_mark() {
    let mut loads = ServerLoads::default();
    loads.record_claim(Millis(10_000), key(), OWNER, load(9), true);
    loads.record_end(Millis(10_010), key());
    assert!(!loads.is_full(Millis(10_010), key()));
    assert_eq!(running(&loads, 10_010), Some(8));
}

#[test]
fn the_digest_of_an_owner_differs_between_hosts() {
    let owners: std::collections::BTreeSet<OwnerKey> = (0..1_000)
        .map(|number| OwnerKey::from(&format!("front-{number}").parse::<HostId>().expect("a valid name")))
        .collect();
    assert_eq!(owners.len(), 1_000);
}
