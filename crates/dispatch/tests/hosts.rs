//! The known hosts while their entries are added and removed.

use std::net::SocketAddr;

use carawayseam_dispatch::hosts::Hosts;
use carawayseam_types::{HostId, Millis};

fn host(number: u16) -> (HostId, SocketAddr) {
    let name = format!("front-{number}").parse().expect("a valid name");
    (name, SocketAddr::from(([10, 0, 0, 1], number)))
}

fn five_hosts() -> (Hosts, HostId) {
    let mut hosts = Hosts::default();
    hosts.set(Millis(0), (1..=5).map(host));
    (hosts, host(1).0)
}

#[test]
fn hosts_without_entries_stay_known_for_a_limited_time() {
    let (mut hosts, me) = five_hosts();
    hosts.set(Millis(1_000), []);
    assert_eq!(
        (hosts.other_listed_count(&me), hosts.other_known_count(&me)),
        (0, 4)
    );
    assert!(!hosts.remove_expired(Millis(5_000), |_| false));
    assert!(hosts.remove_expired(Millis(6_000), |_| false));
    assert_eq!(hosts.other_known_count(&me), 0);
}

#[test]
fn a_live_host_stays_known_without_an_entry() {
    let (mut hosts, me) = five_hosts();
    for number in 1..=5 {
        hosts.remove(Millis(1_000), &host(number).0);
    }
    let live = host(3);
    hosts.remove_expired(Millis(60_000), |host| *host == live.0);
    let known: Vec<_> = hosts.others(&me).collect();
    assert_eq!(known, [(&live.0, live.1)]);
}

#[test]
fn a_host_that_is_listed_again_is_known_once() {
    let (mut hosts, me) = five_hosts();
    hosts.remove(Millis(1_000), &host(2).0);
    let (name, _) = host(2);
    let (_, address) = host(9);
    hosts.insert(name.clone(), address);
    assert_eq!(hosts.other_known_count(&me), 4);
    assert!(hosts.others(&me).any(|known| known == (&name, address)));
}
