//! Backend servers that report that they are draining.

mod support;

use carawayseam_dispatch::draining_servers::DrainingServer;
use carawayseam_dispatch::{AttemptEnd, Dispatcher, EngineEntry};
use carawayseam_types::Millis;
use support::{dispatcher, engine, id, job, started};

fn draining(started: u64) -> DrainingServer {
    DrainingServer {
        engine: id("a"),
        started: Some(started),
    }
}

fn entry_started_at(at: u64) -> EngineEntry {
    EngineEntry {
        started: Some(at),
        warms_up_for: Millis::ZERO,
        ..engine("a", 8)
    }
}

/// Submits and completes four requests; returns the servers that they were sent to.
fn next_servers(dispatcher: &mut Dispatcher, now: u64) -> Vec<String> {
    let mut names = Vec::new();
    for at in now..now + 4 {
        let (ticket, actions) = dispatcher.submit(Millis(at), job(at, 0));
        names.extend(started(&actions).iter().map(|(_, name)| (*name).to_owned()));
        dispatcher.record_end(Millis(at), ticket, AttemptEnd::Complete);
        dispatcher.withdraw(ticket);
    }
    names
}

#[test]
fn a_draining_server_gets_no_new_requests() {
    let mut dispatcher = dispatcher(&[("a", 8), ("b", 8)]);
    assert!(dispatcher.mark_draining(Millis(1), draining(1), true));
    assert_eq!(next_servers(&mut dispatcher, 2), ["b"; 4]);
}

/// The store may list an entry from before the server began to drain, even after the entry was
/// missing for a while.
#[test]
fn an_old_entry_does_not_end_draining() {
    let mut dispatcher = dispatcher(&[("a", 8), ("b", 8)]);
    dispatcher.mark_draining(Millis(1), draining(1), true);
    dispatcher.set_engines(Millis(2), vec![engine("b", 8)]);
    dispatcher.set_engines(Millis(3), vec![entry_started_at(1), engine("b", 8)]);
    assert_eq!(next_servers(&mut dispatcher, 4), ["b"; 4]);
}

#[test]
fn a_restart_ends_draining() {
    let mut dispatcher = dispatcher(&[("a", 8)]);
    dispatcher.mark_draining(Millis(1), draining(1), true);
    dispatcher.set_engines(Millis(2), vec![entry_started_at(2)]);
    assert_eq!(next_servers(&mut dispatcher, 3), ["a"; 4]);
}

#[test]
fn a_late_report_of_an_earlier_start_does_not_drain_a_later_one() {
    let mut dispatcher = dispatcher(&[("a", 8)]);
    dispatcher.set_engines(Millis(1), vec![entry_started_at(2)]);
    dispatcher.mark_draining(Millis(2), draining(1), true);
    assert_eq!(next_servers(&mut dispatcher, 3), ["a"; 4]);
}

#[test]
fn peers_receive_recent_reports_and_apply_them_before_the_server_is_listed() {
    let mut here = dispatcher(&[("a", 8)]);
    here.mark_draining(Millis(1), draining(1), true);
    let updates = here.draining_servers(Millis(100), false);
    assert_eq!(updates, [draining(1)]);
    assert!(here.draining_servers(Millis(10_000), false).is_empty());
    let mut peer = dispatcher(&[("b", 8)]);
    for draining in updates {
        peer.mark_draining(Millis(101), draining, false);
    }
    assert!(
        peer.draining_servers(Millis(102), false).is_empty(),
        "only the host that received the report from the server announces it"
    );
    peer.set_engines(Millis(103), vec![entry_started_at(1), engine("b", 8)]);
    assert_eq!(next_servers(&mut peer, 104), ["b"; 4]);
}

/// A starting host knows of no draining servers, and the store may still list one as available.
#[test]
fn a_starting_host_receives_the_draining_servers_that_any_peer_knows() {
    let mut here = dispatcher(&[("b", 8)]);
    here.mark_draining(Millis(1), draining(1), false);
    assert!(here.draining_servers(Millis(20_000), false).is_empty());
    let updates = here.draining_servers(Millis(20_000), true);
    assert_eq!(updates, [draining(1)]);
    let mut restarted = dispatcher(&[("a", 8), ("b", 8)]);
    for draining in updates {
        restarted.mark_draining(Millis(1), draining, false);
    }
    assert_eq!(next_servers(&mut restarted, 2), ["b"; 4]);
}
