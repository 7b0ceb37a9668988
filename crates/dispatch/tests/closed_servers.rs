//! Servers that asked this host to send no requests for some time.

#[path = "support/refusals.rs"]
mod refusals;
mod support;

use carawayseam_dispatch::{AttemptEnd, CallerTime, Dispatcher, Job};
use carawayseam_types::Millis;
use refusals::refused;
use support::{EVENT_GAP_MS, dispatcher, id, job, started};

fn close(dispatcher: &mut Dispatcher, now: u64, name: &str, span: u64) {
    dispatcher.close_server(Millis(now), &id(name), Millis(span));
}

#[test]
fn a_closed_server_gets_no_requests_until_it_reopens() {
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
fn a_shorter_closure_does_not_shorten_a_longer_one() {
    let mut dispatcher = dispatcher(&[("a", 8)]);
    close(&mut dispatcher, 1, "a", 2_000);
    close(&mut dispatcher, 2, "a", 100);
    let (_, actions) = dispatcher.submit(Millis(500), job(500, 0));
    assert!(started(&actions).is_empty());
}

/// The server is at capacity, not broken, so its rejections do not raise its failure share.
#[test]
fn closing_does_not_count_as_a_failure() {
    let mut dispatcher = dispatcher(&[("a", 8)]);
    let (ticket, _) = dispatcher.submit(Millis(1), job(1, 0));
    close(&mut dispatcher, 2, "a", 500);
    dispatcher.record_end(Millis(2), ticket, AttemptEnd::Rejected);
    let dump = dispatcher.dump(Millis(3));
    assert!(dump[0].failure_share <= 0.0);
    assert!(!dump[0].takes_work);
}

/// Under overload, all servers of a backend reject requests. Callers are refused at once with the delay
/// until the first server reopens.
#[test]
fn requests_are_refused_at_once_while_all_servers_are_closed() {
    let mut dispatcher = dispatcher(&[("a", 1), ("b", 1)]);
    let (first, _) = dispatcher.submit(Millis(1), job(1, 0));
    dispatcher.submit(Millis(1), job(1, 0));
    let (waiting, actions) = dispatcher.submit(Millis(2), job(2, 0));
    assert!(actions.is_empty());
    close(&mut dispatcher, 3, "a", 3_000);
    close(&mut dispatcher, 3, "b", 2_000);
    let actions = dispatcher.record_end(Millis(4), first, AttemptEnd::Rejected);
    let [(ticket, retry_after)] = refused(&actions)[..] else {
        panic!("expected the waiting request to be refused, got {actions:?}");
    };
    assert_eq!(ticket, waiting);
    assert!(
        (Millis(1_999)..Millis(3_000)).contains(&retry_after),
        "{retry_after}"
    );
    let leaves_sooner = Job {
        caller: CallerTime::until(Millis(1_900)),
        ..job(1_000, 0)
    };
    let (new, actions) = dispatcher.submit(Millis(1_000), leaves_sooner);
    let [(ticket, retry_after)] = refused(&actions)[..] else {
        panic!("expected the new request to be refused, got {actions:?}");
    };
    assert_eq!(ticket, new);
    assert!(
        (Millis(1_003)..Millis(1_500)).contains(&retry_after),
        "{retry_after}"
    );
}

#[test]
fn a_request_that_can_be_answered_in_time_waits_for_a_server_to_reopen() {
    let mut dispatcher = dispatcher(&[("a", 1)]);
    close(&mut dispatcher, 1, "a", EVENT_GAP_MS / 2);
    let (ticket, actions) = dispatcher.submit(Millis(2), job(2, 0));
    assert!(actions.is_empty());
    let actions = dispatcher.tick(Millis(2 + EVENT_GAP_MS / 2));
    assert_eq!(started(&actions), [(ticket, "a")]);
}

/// Guards against a wait that depends on whether the request was sent before.
#[test]
fn a_request_that_was_already_sent_waits_as_long_as_a_new_one() {
    for (span, waits) in [(1_500, true), (2_000, false)] {
        let mut dispatcher = dispatcher(&[("a", 1)]);
        close(&mut dispatcher, 1, "a", span);
        let sent_before = Job {
            tried: vec![id("b")],
            ..job(2, 0)
        };
        let (_, actions) = dispatcher.submit_unsent(Millis(2), sent_before);
        assert_eq!(actions.is_empty(), waits, "sent before, closed for {span} ms");
        let (_, actions) = dispatcher.submit(Millis(2), job(2, 1));
        assert_eq!(refused(&actions).is_empty(), waits, "new, closed for {span} ms");
    }
}
