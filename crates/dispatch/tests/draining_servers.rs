//! Servers that say of themselves that they leave.

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

fn born(at: u64) -> EngineEntry {
    EngineEntry {
        started: Some(at),
        ..engine("a", 8)
    }
}

/// The servers that get the next requests.
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
fn a_server_that_says_so_gets_nothing_more() {
    let mut dispatcher = dispatcher(&[("a", 8), ("b", 8)]);
    assert!(dispatcher.mark_draining(Millis(1), draining(1), true));
    assert_eq!(next_servers(&mut dispatcher, 2), ["b"; 4]);
}

/// The store may list what a server said before it began to leave, also after a while without it.
#[test]
fn an_old_entry_brings_no_leaver_back() {
    let mut dispatcher = dispatcher(&[("a", 8), ("b", 8)]);
    dispatcher.mark_draining(Millis(1), draining(1), true);
    dispatcher.set_engines(Millis(2), vec![engine("b", 8)]);
    dispatcher.set_engines(Millis(3), vec![born(1), engine("b", 8)]);
    assert_eq!(next_servers(&mut dispatcher, 4), ["b"; 4]);
}

#[test]
fn a_new_start_ends_the_mark() {
    let mut dispatcher = dispatcher(&[("a", 8)]);
    dispatcher.mark_draining(Millis(1), draining(1), true);
    dispatcher.set_engines(Millis(2), vec![born(2)]);
    assert_eq!(next_servers(&mut dispatcher, 3), ["a"; 4]);
}

#[test]
fn a_late_answer_of_an_earlier_start_marks_no_later_one() {
    let mut dispatcher = dispatcher(&[("a", 8)]);
    dispatcher.set_engines(Millis(1), vec![born(2)]);
    dispatcher.mark_draining(Millis(2), draining(1), true);
    assert_eq!(next_servers(&mut dispatcher, 3), ["a"; 4]);
}

#[test]
fn peers_are_told_for_a_while_and_heed_it_before_they_know_the_server() {
    let mut here = dispatcher(&[("a", 8)]);
    here.mark_draining(Millis(1), draining(1), true);
    let told = here.draining_servers(Millis(100), false);
    assert_eq!(told, [draining(1)]);
    assert!(here.draining_servers(Millis(10_000), false).is_empty());
    let mut peer = dispatcher(&[("b", 8)]);
    for draining in told {
        peer.mark_draining(Millis(101), draining, false);
    }
    assert!(
        peer.draining_servers(Millis(102), false).is_empty(),
        "only who heard it itself tells it"
    );
    peer.set_engines(Millis(103), vec![born(1), engine("b", 8)]);
    assert_eq!(next_servers(&mut peer, 104), ["b"; 4]);
}

/// A host that starts knows of no server that left; the store may still list one.
#[test]
fn a_host_that_starts_is_told_what_any_peer_knows() {
    let mut here = dispatcher(&[("b", 8)]);
    here.mark_draining(Millis(1), draining(1), false);
    assert!(here.draining_servers(Millis(20_000), false).is_empty());
    let told = here.draining_servers(Millis(20_000), true);
    assert_eq!(told, [draining(1)]);
    let mut restarted = dispatcher(&[("a", 8), ("b", 8)]);
    for draining in told {
        restarted.mark_draining(Millis(1), draining, false);
    }
    assert_eq!(next_servers(&mut restarted, 2), ["b"; 4]);
}
