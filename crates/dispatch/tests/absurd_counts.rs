//! Counts from callers, peers and entries of servers that are too large to be added.

mod support;

use carawayseam_dispatch::engine::{PromptPart, ServerLoad};
use carawayseam_dispatch::load::HostLoad;
use carawayseam_dispatch::{AttemptEnd, CallerTime};
use carawayseam_types::{EngineKey, Millis};
use support::{dispatcher, engine, id, job, started};

/// Guards against an overflow when the slots of several servers are added.
#[test]
fn servers_with_absurd_slots_do_not_hide_the_others() {
    let mut dispatcher = dispatcher(&[("a", u32::MAX), ("b", u32::MAX), ("c", 1)]);
    for _ in 0..3 {
        let (_, actions) = dispatcher.submit(Millis(5), job(0, 0));
        assert_eq!(started(&actions).len(), 1);
    }
}

/// Guards against an overflow when the prompts that several peers announce are added.
#[test]
fn peers_may_announce_absurd_prompts() {
    let mut dispatcher = dispatcher(&[("a", 2)]);
    let load = ServerLoad {
        running: 0,
        prompt_ahead: u32::MAX,
    };
    let load = HostLoad {
        engines: vec![(EngineKey::from(&id("a")), load)],
        waiting: Vec::new(),
    };
    for host in ["front-1", "front-2"] {
        let host = host.parse().expect("a valid name");
        dispatcher.record_peer_load(Millis(5), &host, load.clone());
    }
    let (_, actions) = dispatcher.submit(Millis(6), job(0, 0));
    assert_eq!(started(&actions).len(), 1);
    for host in ["front-1", "front-2"] {
        let host = host.parse().expect("a valid name");
        dispatcher.record_peer_load(Millis(20), &host, HostLoad::default());
    }
}

/// Guards against an overflow when the cached parts of a prompt are added.
#[test]
fn a_prompt_may_have_parts_of_absurd_lengths() {
    let mut dispatcher = dispatcher(&[("a", 2)]);
    let mut job = job(0, 0);
    job.prompt = u32::MAX;
    job.caller = CallerTime::until(Millis::MAX);
    job.parts = [1, 2, 3].map(|id| PromptPart { id, tokens: u32::MAX }).to_vec();
    for now in [5, 50] {
        let (ticket, actions) = dispatcher.submit(Millis(now), job.clone());
        assert_eq!(started(&actions).len(), 1);
        dispatcher.record_first_event(Millis(now + 10), ticket);
        dispatcher.record_end(Millis(now + 20), ticket, AttemptEnd::Complete);
    }
}

/// Guards against a choice from no server: the score of the only one left is not a number, once the events of the
/// other one have long come without any time between them.
#[test]
fn a_server_whose_score_is_not_a_number_is_chosen_if_it_is_the_only_one() {
    const SAMPLES: u32 = 20_000;
    let mut dispatcher = dispatcher(&[("a", 1), ("b", 1)]);
    let mut job = job(0, 0);
    job.prompt = 0;
    let mut on_b = Vec::new();
    for _ in 0..4 {
        let (ticket, actions) = dispatcher.submit(Millis(5), job.clone());
        match started(&actions)[..] {
            [(_, "a")] => dispatcher.record_events(Millis(6), ticket, 25.0),
            [_] => on_b.push(ticket),
            _ => panic!("expected a start, got {actions:?}"),
        }
    }
    for _ in 0..SAMPLES {
        dispatcher.record_events(Millis(6), on_b[0], 0.0);
    }
    dispatcher.set_engines(Millis(7), vec![engine("a", 10)]);
    let (_, actions) = dispatcher.submit(Millis(8), job);
    assert_eq!(started(&actions).len(), 1);
}
