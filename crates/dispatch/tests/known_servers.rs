//! Tests of the servers that the store lists, over outages and restores of the store.

use carawayseam_dispatch::EngineEntry;
use carawayseam_dispatch::known_servers::{KnownServers, ListSource};
use carawayseam_types::Millis;

const STARTED: u64 = 1_000;

fn entry(name: &str, is_draining: bool) -> EngineEntry {
    EngineEntry {
        id: name.parse().expect("a valid name"),
        backend: "guides".parse().expect("a valid name"),
        address: "127.0.0.1:80".parse().expect("a valid address"),
        zone: "zone-a".parse().expect("a valid name"),
        version: "v1".parse().expect("a valid name"),
        slots: 4,
        is_draining,
        started: Some(STARTED),
        warms_up_for: Millis::ZERO,
    }
}

fn ready(name: &str) -> EngineEntry {
    entry(name, false)
}

/// Lists servers, all of them ready, without an outage before.
fn list(servers: &mut KnownServers, now: u64, names: &[&str], source: ListSource) {
    let listed = names.iter().copied().map(ready).collect();
    servers.replace(Millis(now), listed, source, None);
}

/// Servers `a` and `b`, both listed at 1,000 ms.
fn two_servers() -> KnownServers {
    let mut servers = KnownServers::default();
    list(&mut servers, 1_000, &["a", "b"], ListSource::Latest);
    servers
}

/// Returns the names of the servers that may get new requests.
fn usable(servers: &KnownServers) -> String {
    let entries = servers.entries();
    let usable = entries.iter().filter(|entry| !entry.is_draining);
    usable.map(|entry| entry.id.as_str()).collect()
}

#[test]
fn a_server_that_is_not_listed_is_removed() {
    let mut servers = two_servers();
    list(&mut servers, 2_000, &["a"], ListSource::Latest);
    assert_eq!((servers.len(), usable(&servers)), (1, "a".to_owned()));
}

#[test]
fn a_server_that_is_missing_after_an_outage_is_kept_for_a_while() {
    let mut servers = two_servers();
    let keep_until = Some(Millis(4_000));
    servers.replace(Millis(2_000), vec![ready("a")], ListSource::Latest, keep_until);
    assert_eq!(usable(&servers), "ab");
    assert_eq!(servers.remove_expired(Millis(3_999)), []);
    assert_eq!(servers.remove_expired(Millis(4_000)), [ready("b").id]);
}

#[test]
fn a_draining_server_stays_so_until_it_starts_again() {
    let mut servers = two_servers();
    assert!(servers.update(entry("b", true)).is_some());
    servers.update(ready("b"));
    assert_eq!(usable(&servers), "a");
    let restarted = EngineEntry {
        started: Some(STARTED + 1),
        ..ready("b")
    };
    servers.update(restarted);
    assert_eq!(usable(&servers), "ab");
}

/// Guards against requests to a server that had reported that it drains, because the copy of the store has its
/// entry from before.
#[test]
fn a_server_that_drains_is_not_used_because_a_restored_store_lists_it_as_ready() {
    let mut servers = two_servers();
    servers.update(entry("b", true));
    list(&mut servers, 2_000, &["a", "b"], ListSource::Copy);
    assert_eq!(usable(&servers), "a");
}

/// Guards against requests to a server that had gone, because the copy of the store still has its entry.
#[test]
fn a_server_that_has_gone_is_not_used_because_a_restored_store_lists_it() {
    let mut servers = two_servers();
    servers.remove(Millis(1_500), &ready("b").id, None);
    list(&mut servers, 2_000, &["a", "b"], ListSource::Copy);
    assert_eq!(usable(&servers), "a");
    list(&mut servers, 2_500, &["a", "b"], ListSource::Latest);
    assert_eq!(usable(&servers), "a", "the entry is the same as in the copy");
    assert!(servers.update(ready("b")).is_some(), "the server has written it");
    assert_eq!(usable(&servers), "ab");
}

#[test]
fn a_server_whose_entry_expired_is_used_again_when_it_is_listed() {
    let mut servers = two_servers();
    servers.remove(Millis(1_500), &ready("b").id, None);
    list(&mut servers, 2_000, &["a", "b"], ListSource::Latest);
    assert_eq!(usable(&servers), "ab");
}

#[test]
fn an_entry_that_is_written_unchanged_changes_nothing() {
    let mut servers = two_servers();
    assert_eq!(servers.update(ready("a")), None);
}

/// Guards against a server that drains and whose entry says that it is ready: each of its writes would count as a
/// change.
#[test]
fn the_same_entry_of_a_server_that_stays_draining_is_no_change() {
    let mut servers = two_servers();
    servers.update(entry("b", true));
    assert_eq!(servers.update(ready("b")), None);
}
