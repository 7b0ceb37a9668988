//! The hosts that poll each other for changes of the store, and the calls to the store that remain.

use std::collections::BTreeMap;

use carawayseam_dispatch::hosts::Hosts;
use carawayseam_dispatch::store_tree::{Registration, StoreSources};
use carawayseam_types::{HostId, Millis};

fn zone(hosts: usize) -> Vec<HostId> {
    let name = |number| format!("front-{number}").parse().expect("a valid name");
    (0..hosts).map(name).collect()
}

fn sources(ranked: &[HostId]) -> Vec<StoreSources> {
    ranked.iter().map(|host| StoreSources::of(host, ranked)).collect()
}

/// Returns the number of polls between each host and the store, if the source with this index is used.
fn depths(ranked: &[HostId], used: usize) -> Vec<usize> {
    let mut depths: BTreeMap<&HostId, usize> = BTreeMap::new();
    let sources = sources(ranked);
    for (host, sources) in ranked.iter().zip(&sources) {
        // A source has a higher rank, so there is no circle.
        let depth = sources.hosts.get(used).map_or(0, |source| depths[source] + 1);
        depths.insert(host, depth);
    }
    ranked.iter().map(|host| depths[host]).collect()
}

/// Guards against other sources in a zone that needs no tree.
#[test]
fn in_a_small_zone_all_poll_the_two_hosts_that_watch() {
    for hosts in [1, 2, 3, 18] {
        let ranked = zone(hosts);
        for (rank, sources) in sources(&ranked).into_iter().enumerate() {
            let expected = if rank < 2 { &[] } else { &ranked[..2] };
            assert_eq!(sources.hosts, expected, "rank {rank} of {hosts}");
            assert_eq!(
                (sources.poll_interval(), sources.polls_in_tree()),
                (Millis(300), false)
            );
        }
    }
}

/// Guards against a host whose load grows with its zone, and against confirmations that are old after many polls.
#[test]
fn in_a_large_zone_no_host_is_polled_by_many() {
    for (hosts, max_depths) in [(19, [2, 2]), (43, [2, 2]), (100, [2, 3]), (333, [3, 3])] {
        let ranked = zone(hosts);
        for used in [0, 1] {
            assert!(
                depths(&ranked, used).into_iter().max() <= Some(max_depths[used]),
                "{hosts} hosts"
            );
            let sources = sources(&ranked);
            assert_eq!(
                sources.iter().filter(|sources| sources.hosts.is_empty()).count(),
                2
            );
            for host in &ranked {
                let polling = sources
                    .iter()
                    .filter(|sources| sources.hosts.get(used) == Some(host));
                assert!(polling.count() <= 8, "{host} of {hosts}");
            }
        }
    }
}

/// Guards against a quota share that is kept for 20 s for a host that is gone, and against a lease that ends after one
/// renewal that fails.
#[test]
fn a_host_that_is_gone_is_soon_unknown() {
    const PROPAGATION: Millis = Millis(1_900);
    for Registration {
        lease,
        renew_interval,
    } in [Registration::SMALL_FLEET, Registration::LARGE_FLEET]
    {
        assert!(renew_interval.times(2) < lease);
        let mut hosts = Hosts::default();
        let host = zone(1).remove(0);
        hosts.insert(host.clone(), ([10, 0, 0, 1], 1).into());
        hosts.remove(lease + PROPAGATION, &host);
        hosts.remove_expired(Millis(20_000), |_| false);
        assert!(!hosts.contains(&host), "{lease}");
    }
}
