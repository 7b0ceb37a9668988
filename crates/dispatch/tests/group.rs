//! The selection of hosts that perform a task for the others.

use carawayseam_dispatch::group::Group;
use carawayseam_types::HostId;

fn host(number: usize) -> HostId {
    format!("front-{number}").parse().expect("a valid name")
}

fn group(hosts: impl Iterator<Item = usize>) -> Group {
    let reachable: Vec<HostId> = hosts.map(host).collect();
    Group {
        known: reachable.len() as u32,
        live: reachable.len() as u32,
        reachable,
    }
}

#[test]
fn all_hosts_select_the_same_hosts_whatever_the_order_of_their_lists() {
    let forward = group(0..24).select_hosts("store", 2, |_| true);
    let reversed = group((0..24).rev()).select_hosts("store", 2, |_| true);
    assert_eq!(forward, reversed);
    assert_eq!(forward.len(), 2);
}

#[test]
fn selected_hosts_are_near() {
    let near = [host(3), host(9), host(20)];
    let selected = group(0..24).select_hosts("store", 2, |host| near.contains(host));
    assert!(selected.iter().all(|host| near.contains(host)), "{selected:?}");
}

#[test]
fn the_second_host_becomes_first_when_the_first_is_gone() {
    let selected = group(0..24).select_hosts("store", 2, |_| true);
    let [first, second] = selected.as_slice() else {
        panic!("expected two hosts");
    };
    let remaining = group((0..24).filter(|number| host(*number) != *first));
    assert_eq!(remaining.select_hosts("store", 2, |_| true).first(), Some(second));
}
