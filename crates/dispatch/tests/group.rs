//! Which hosts do something for the others.

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
fn all_hosts_choose_the_same_delegates_whatever_order_they_know() {
    let one = group(0..24).select_hosts("store", 2, |_| true);
    let other = group((0..24).rev()).select_hosts("store", 2, |_| true);
    assert_eq!(one, other);
    assert_eq!(one.len(), 2);
}

#[test]
fn delegates_are_nearby() {
    let near = [host(3), host(9), host(20)];
    let selected = group(0..24).select_hosts("store", 2, |host| near.contains(host));
    assert!(selected.iter().all(|host| near.contains(host)), "{selected:?}");
}

#[test]
fn the_next_one_follows_when_a_delegate_is_gone() {
    let selected = group(0..24).select_hosts("store", 2, |_| true);
    let [first, second] = selected.as_slice() else {
        panic!("two were asked for");
    };
    let rest = group((0..24).filter(|number| host(*number) != *first));
    assert_eq!(rest.select_hosts("store", 2, |_| true).first(), Some(second));
}
