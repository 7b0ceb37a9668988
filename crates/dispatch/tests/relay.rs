//! Which backend servers a host connects to for its peers.

mod support;

use carawayseam_dispatch::dispatcher::RelayTarget;
use carawayseam_dispatch::draining_servers::DrainingServer;
use carawayseam_dispatch::{AttemptEnd, Dispatcher};
use carawayseam_types::Millis;
use support::{dispatcher, engine, id, job, started};

fn address() -> RelayTarget {
    RelayTarget::Address(engine("a", 1).address)
}

fn end(dispatcher: &mut Dispatcher, end: AttemptEnd) {
    let (ticket, _) = dispatcher.submit(Millis(1), job(1, 0));
    dispatcher.record_end(Millis(2), ticket, end);
}

fn drain(dispatcher: &mut Dispatcher) {
    let draining = DrainingServer {
        engine: id("a"),
        started: Some(1),
    };
    dispatcher.mark_draining(Millis(1), draining, false);
}

/// Names each state of a server `a`, and whether this host relays connections to it.
macro_rules! targets {
    ($($name:ident: $change:expr => $target:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut dispatcher = dispatcher(&[("a", 1)]);
                let change: fn(&mut Dispatcher) = $change;
                change(&mut dispatcher);
                assert_eq!(dispatcher.relay_target(&id("a")), $target);
            }
        )*
    };
}

targets! {
    a_listed_server_is_a_target: |_| {} => address();
    a_server_without_a_free_slot_is_a_target: |dispatcher| {
        let (_, actions) = dispatcher.submit(Millis(1), job(1, 0));
        assert_eq!(started(&actions).len(), 1);
    } => address();
    a_closed_server_is_a_target: |dispatcher| {
        dispatcher.close_server(Millis(1), &id("a"), Millis(2_000));
    } => address();
    a_server_that_failed_is_a_target: |dispatcher| end(dispatcher, AttemptEnd::Failed) => address();
    an_unlisted_server_is_unknown: |dispatcher| {
        dispatcher.set_engines(Millis(1), vec![engine("b", 1)]);
    } => RelayTarget::Unknown;
    a_draining_server_is_no_target: drain => RelayTarget::Draining;
    an_unreachable_server_is_no_target: |dispatcher| end(dispatcher, AttemptEnd::Unreachable)
        => RelayTarget::Unreachable;
    a_server_that_is_reachable_again_is_a_target: |dispatcher| {
        end(dispatcher, AttemptEnd::Unreachable);
        dispatcher.mark_reachable(Millis(3), &id("a"));
    } => address();
}
