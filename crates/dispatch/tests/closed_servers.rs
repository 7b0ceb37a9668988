//! Servers that want nothing from this host for a while.

mod support;

use carawayseam_dispatch::{Action, AttemptEnd, Dispatcher, Job, Ticket};
use carawayseam_types::Millis;
use support::{OBJECTIVE, dispatcher, id, job, started};

fn close(dispatcher: &mut Dispatcher, now: u64, name: &str, span: u64) {
    dispatcher.close_server(Millis(now), &id(name), Millis(span));
}

fn refused(actions: &[Action]) -> Vec<(Ticket, Millis)> {
    let refusals = actions.iter().filter_map(|action| match action {
        Action::Refuse { ticket, retry_after } => Some((*ticket, *retry_after)),
        Action::Start { .. } => None,
    });
    refusals.collect()
}

#[test]
fn a_closed_server_gets_nothing_until_its_time_is_over() {
    let mut dispatcher = dispatcher(&[("a", 8), ("b", 8)]);
    close(&mut dispatcher, 1, "a", 2_000);
    for now in [2, 600, 1_999] {
        let (ticket, actions) = dispatcher.submit(Millis(now), job(now, 0));
        assert_eq!(started(&actions)[0].1, "b", "at {now} ms");
        dispatcher.record_end(Millis(now), ticket, AttemptEnd::Complete);
    }
    close(&mut dispatcher, 2_000, "b", 2_000);
    let (_, actions) = dispatcher.submit(Millis(2_002), job(2_002, 0));
    assert_eq!(started(&actions)[0].1, "a");
}

#[test]
fn a_shorter_word_does_not_cut_a_longer_one() {
    let mut dispatcher = dispatcher(&[("a", 8)]);
    close(&mut dispatcher, 1, "a", 2_000);
    close(&mut dispatcher, 2, "a", 100);
    let (_, actions) = dispatcher.submit(Millis(500), job(500, 0));
    assert!(started(&actions).is_empty());
}

/// It is full, not broken: no request of its counts against it.
#[test]
fn closing_is_no_failure() {
    let mut dispatcher = dispatcher(&[("a", 8)]);
    let (ticket, _) = dispatcher.submit(Millis(1), job(1, 0));
    close(&mut dispatcher, 2, "a", 500);
    dispatcher.record_end(Millis(2), ticket, AttemptEnd::Rejected);
    let dump = dispatcher.dump(Millis(3));
    assert!(dump[0].failure_share <= 0.0);
    assert!(!dump[0].takes_work);
}

/// All servers of a backend turn away under a crowd; callers hear at once when to come back.
#[test]
fn a_crowd_at_closed_servers_is_refused_at_once_until_the_first_opens() {
    let mut dispatcher = dispatcher(&[("a", 1), ("b", 1)]);
    let (first, _) = dispatcher.submit(Millis(1), job(1, 0));
    dispatcher.submit(Millis(1), job(1, 0));
    let (waiting, actions) = dispatcher.submit(Millis(2), job(2, 0));
    assert!(actions.is_empty());
    close(&mut dispatcher, 3, "a", 3_000);
    close(&mut dispatcher, 3, "b", 2_000);
    let actions = dispatcher.record_end(Millis(4), first, AttemptEnd::Rejected);
    let [(ticket, retry_after)] = refused(&actions)[..] else {
        panic!("what waits is refused, but {actions:?}");
    };
    assert_eq!(ticket, waiting);
    assert!(
        (Millis(1_999)..Millis(3_000)).contains(&retry_after),
        "{retry_after}"
    );
    let (new, actions) = dispatcher.submit(Millis(1_000), job(1_000, 0));
    let [(ticket, retry_after)] = refused(&actions)[..] else {
        panic!("a new request is refused, but {actions:?}");
    };
    assert_eq!(ticket, new);
    assert!(
        (Millis(1_003)..Millis(1_500)).contains(&retry_after),
        "{retry_after}"
    );
}

#[test]
fn what_can_still_be_in_time_waits_for_a_server_to_open() {
    let mut dispatcher = dispatcher(&[("a", 1)]);
    close(&mut dispatcher, 1, "a", OBJECTIVE / 2);
    let (ticket, actions) = dispatcher.submit(Millis(2), job(2, 0));
    assert!(actions.is_empty());
    let actions = dispatcher.tick(Millis(2 + OBJECTIVE / 2));
    assert_eq!(started(&actions), [(ticket, "a")]);
}

/// It may have run, so that nobody may be told to come back.
#[test]
fn a_request_that_was_sent_before_waits_longer() {
    let mut dispatcher = dispatcher(&[("a", 1)]);
    close(&mut dispatcher, 1, "a", 800);
    let sent_before = Job {
        tried: vec![id("b")],
        ..job(2, 0)
    };
    let (ticket, actions) = dispatcher.submit_unsent(Millis(2), sent_before);
    assert!(actions.is_empty());
    assert_eq!(started(&dispatcher.tick(Millis(801))), [(ticket, "a")]);
}
