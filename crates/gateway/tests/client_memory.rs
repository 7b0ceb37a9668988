//! Whose connections are closed when the memory for clients is used up, and what is counted.

use std::sync::Arc;

use carawayseam_gateway::client_memory::{CONNECTION_BYTES, ClientMemory, Closed, Scarce};
use carawayseam_types::Millis;

fn budget(connections: usize) -> Arc<ClientMemory> {
    Arc::new(ClientMemory::with_limits(
        connections * CONNECTION_BYTES,
        usize::MAX,
        1_024,
    ))
}

/// Guards against connections that are closed although a server works on their requests, and against idle ones that
/// are closed before those that stopped half-way.
#[test]
fn clients_that_stop_half_way_are_closed_first() {
    let memory = budget(4);
    let [working, stopped, idle] = [(); 3].map(|()| memory.admit(Millis(0)).expect("there is room"));
    working.state().set_request(Millis(0), true);
    working.state().begin_wait();
    stopped.state().set_request(Millis(900), true);
    idle.state().set_request(Millis(0), true);
    idle.state().set_request(Millis(0), false);
    memory.close_stalled(Millis(1_800), Scarce::Connections);
    assert_eq!(idle.state().closing_reason(), Some(Closed::Idle));
    assert!(
        stopped.state().closing_reason().is_none(),
        "it is behind by less than a second"
    );
    drop(idle);
    memory.close_stalled(Millis(1_900), Scarce::Connections);
    assert_eq!(stopped.state().closing_reason(), Some(Closed::HalfWay));
    assert!(working.state().closing_reason().is_none());
}

/// Guards against clients that keep their connections by sending a byte now and then.
#[test]
fn a_trickle_does_not_keep_a_connection() {
    let memory = budget(2);
    let [trickling, sending] = [(); 2].map(|()| memory.admit(Millis(0)).expect("there is room"));
    for client in [&trickling, &sending] {
        client.state().set_request(Millis(0), true);
    }
    for now in (100..=2_000).step_by(100) {
        trickling.state().record_progress(Millis(now), 1);
        sending.state().record_progress(Millis(now), 4_096);
    }
    memory.close_stalled(Millis(2_000), Scarce::Connections);
    assert!(trickling.state().closing_reason().is_some());
    assert!(sending.state().closing_reason().is_none());
}

/// Guards against clients that are closed for the time in which the gateway kept them waiting, and against clients
/// that gain time by many short waits.
#[test]
fn only_the_time_of_a_wait_is_granted() {
    let memory = budget(2);
    let [kept_waiting, stopped] = [(); 2].map(|()| memory.admit(Millis(0)).expect("there is room"));
    kept_waiting.state().begin_wait();
    kept_waiting.state().end_wait(Millis(1_500), Millis(0));
    for now in (100..=1_500).step_by(100) {
        stopped.state().begin_wait();
        stopped.state().end_wait(Millis(now), Millis(now));
    }
    memory.close_stalled(Millis(1_500), Scarce::Connections);
    assert!(kept_waiting.state().closing_reason().is_none());
    assert!(stopped.state().closing_reason().is_some());
}

/// Guards against bytes that stay counted after they are given back, and against an exceeded budget.
#[test]
fn charges_are_given_back() {
    let memory = budget(2);
    let client = memory.admit(Millis(0)).expect("there is room");
    let mut charge = memory.try_charge(CONNECTION_BYTES).expect("there is room");
    assert!(memory.admit(Millis(0)).is_none());
    assert!(!charge.try_resize(CONNECTION_BYTES + 1));
    assert!(charge.try_resize(1));
    drop((charge, client));
    assert_eq!(memory.held(), 0);
}
