//! An overloaded host is told from partitioned or failed targets, and carries few relayed connections.

use carawayseam_dispatch::local_overload::{LocalOverload, Reached};
use carawayseam_dispatch::relay_budget::{CarriedBytes, RelayBudget};
use carawayseam_types::Millis;

const NOW: Millis = Millis(10_000);
const FAST: Reached = Reached::After(Millis(2));
const SLOW: Reached = Reached::After(Millis(180));
const FAILED: Reached = Reached::NotWithin(Millis(250));

/// Returns the measurements of so many servers and peers, of which the first ones are `Reached` otherwise.
fn measured(servers: [(usize, Reached); 2], peers: [(usize, Reached); 2]) -> LocalOverload {
    let mut overload = LocalOverload::default();
    let all = |kinds: [(usize, Reached); 2]| {
        kinds
            .into_iter()
            .flat_map(|(count, reached)| vec![reached; count])
            .enumerate()
    };
    for (number, reached) in all(servers) {
        overload.record_server(NOW, format!("i-{number}").parse().expect("a valid name"), reached);
    }
    for (number, reached) in all(peers) {
        overload.record_peer(
            NOW,
            format!("front-{number}").parse().expect("a valid name"),
            reached,
        );
    }
    overload
}

/// Guards against a partition or lost targets that are taken for overload, whose servers would not be marked as lost.
#[test]
fn failed_targets_are_no_overload() {
    let cases = [
        (
            "all servers fail",
            [(20, FAILED), (0, FAST)],
            [(0, FAILED), (10, FAST)],
        ),
        (
            "two of three zones fail",
            [(14, FAILED), (6, FAST)],
            [(7, FAILED), (3, FAST)],
        ),
        (
            "half of the peers fail",
            [(0, FAILED), (20, FAST)],
            [(5, FAILED), (5, FAST)],
        ),
        ("few targets", [(3, FAILED), (0, FAST)], [(3, FAILED), (0, FAST)]),
    ];
    for (name, servers, peers) in cases {
        let overload = measured(servers, peers);
        assert!(!overload.is_overloaded(NOW), "{name}");
        assert_eq!(overload.extra_time(NOW), Millis::ZERO, "{name}");
    }
}

/// Guards against servers that are marked as lost because this host's link is busy, and against timeouts that stay long.
#[test]
fn a_busy_link_delays_all_targets() {
    let overload = measured([(16, SLOW), (2, FAILED)], [(1, FAST), (9, FAILED)]);
    assert!(overload.is_overloaded(NOW));
    assert_eq!(overload.extra_time(NOW), Millis(360));
    assert!(!overload.is_overloaded(NOW + Millis(1_000)));
}

/// Guards against a single pause that counts as overload, and against a busy processor that does not.
#[test]
fn late_timers_show_a_busy_processor() {
    let mut overload = LocalOverload::default();
    overload.record_timer(NOW, Millis(900));
    overload.record_timer(NOW, Millis(3));
    assert!(!overload.is_overloaded(NOW));
    overload.record_timer(NOW, Millis(150));
    assert!(overload.is_overloaded(NOW));
    assert_eq!(overload.extra_time(NOW), Millis(300));
}

/// Guards against a host whose link is filled by the requests of others.
#[test]
fn relayed_connections_are_bounded_by_the_own_traffic() {
    let mut budget = RelayBudget::default();
    let carried = |own, relayed| CarriedBytes { own, relayed };
    assert!(budget.allows(NOW, carried(0, 0), 100));
    assert!(budget.allows(NOW + Millis(100), carried(4_000, 1_000), 100));
    assert!(!budget.allows(NOW + Millis(200), carried(4_000, 1_001), 100));
    assert!(budget.allows(NOW + Millis(200), carried(4_000, 9_000), 3));
    // What was carried long ago does not count.
    for step in 1..=30 {
        budget.record(NOW + Millis(step * 500), carried(4_000, 9_000));
    }
    assert!(budget.allows(NOW + Millis(15_100), carried(8_000, 10_000), 100));
    assert!(!budget.allows(NOW + Millis(15_100), carried(8_000, 10_001), 100));
}
