//! Contents that crash engines, and engines that crash under any content.

mod common;
mod steps;

use carawayseam_scheduler::{Action, AttemptFailure, Event, Notice, Scheduler};
use carawayseam_types::{AttemptId, Digest, EngineId, NotRunReason, Tokens};
use common::{ask, charge, engine, host, member};
use steps::{LATER, NOW, dispatches, step};

#[test]
fn content_is_blocked_after_its_second_crash_without_a_time_to_come_back() {
    let mut scheduler = host("entry-1");
    let poison = |seq| {
        let mut request = ask(seq, 0, LATER);
        request.content = Digest(13);
        Event::Arrive(request)
    };
    let crash = |scheduler: &mut Scheduler, at, attempt| {
        let failure = AttemptFailure::ConnectionLost;
        step(
            scheduler,
            at,
            Event::Failed {
                attempt,
                failure,
                produced: Tokens(0),
            },
        )
    };
    let (first, ..) = dispatches(&step(&mut scheduler, NOW, poison(1)))[0].clone();
    let (second, ..) = dispatches(&crash(&mut scheduler, NOW + 2_000, first))[0].clone();
    let actions = crash(&mut scheduler, NOW + 4_000, second);
    assert!(dispatches(&actions).is_empty());
    let blocked = |action: &Action| matches!(action, Action::Note(Notice::PoisonBlocked { crashes: 2, .. }));
    assert!(actions.iter().any(blocked), "{actions:?}");
    let actions = step(&mut scheduler, NOW + 5_000, poison(2));
    let [Action::Refuse { refusal, .. }] = actions.as_slice() else {
        panic!("one refusal: {actions:?}");
    };
    assert_eq!(
        (refusal.reason, refusal.retry_after),
        (NotRunReason::Poison, None)
    );
}

#[test]
fn suspect_content_goes_to_the_host_that_saw_its_crash() {
    let mut scheduler = host("entry-1");
    step(
        &mut scheduler,
        NOW,
        Event::Members(vec![member("entry-1", "a"), member("entry-2", "a")]),
    );
    let peer = "entry-2".parse().expect("a valid name");
    let report = Event::PoisonReported {
        content: Digest(13),
        engine: engine("m-a1"),
        crashes: 1,
        host: peer,
    };
    step(&mut scheduler, NOW, report);
    let mut request = ask(1, 0, LATER);
    request.content = Digest(13);
    let actions = step(&mut scheduler, NOW, Event::Arrive(request));
    assert!(
        matches!(actions.as_slice(), [Action::Forward { host, .. }] if host.as_str() == "entry-2"),
        "{actions:?}"
    );
}

#[test]
fn content_that_ran_twice_on_one_engine_is_blamed_once_for_its_crash() {
    let mut scheduler = host("entry-1");
    let same = |seq| {
        let mut request = ask(seq, 0, LATER);
        request.content = Digest(13);
        Event::Arrive(request)
    };
    let mut attempts = Vec::new();
    for seq in 1..=4 {
        attempts.extend(dispatches(&step(&mut scheduler, NOW, same(seq))));
    }
    let (.., engine) = attempts[0].clone();
    let on_it = attempts
        .iter()
        .filter(|attempt| attempt.2 == engine)
        .map(|attempt| attempt.0);
    let lost: Vec<_> = on_it.collect();
    assert!(lost.len() >= 2, "{attempts:?}");
    let mut actions = Vec::new();
    for attempt in lost {
        let (failure, produced) = (AttemptFailure::ConnectionLost, Tokens(0));
        actions.extend(step(
            &mut scheduler,
            NOW + 500,
            Event::Failed {
                attempt,
                failure,
                produced,
            },
        ));
    }
    let announced = |action: &&Action| matches!(action, Action::AnnouncePoison { crashes: 1, .. });
    assert_eq!(actions.iter().filter(announced).count(), 1, "{actions:?}");
    let refused = |action: &&Action| matches!(action, Action::Refuse { .. } | Action::Abandon { .. });
    assert_eq!(actions.iter().find(refused), None);
}

/// Sends a charge with the content 13 and gives its attempt and its engine.
fn send_charge(scheduler: &mut Scheduler, at: u64, seq: u64) -> (AttemptId, EngineId) {
    let mut request = charge(seq, LATER);
    request.content = Digest(13);
    step(scheduler, at, Event::Tick);
    let actions = step(scheduler, at, Event::Arrive(request));
    let Some((attempt, _, engine)) = dispatches(&actions).pop() else {
        panic!("{seq} is sent at {at}: {actions:?}");
    };
    (attempt, engine)
}

#[test]
fn engine_that_breaks_what_another_answers_gets_no_content_blocked() {
    let mut scheduler = host("entry-1");
    let lost = |attempt| Event::Failed {
        attempt,
        failure: AttemptFailure::ConnectionLost,
        produced: Tokens(0),
    };
    let (first, broken) = send_charge(&mut scheduler, NOW, 1);
    step(&mut scheduler, NOW, lost(first));
    let (second, whole) = send_charge(&mut scheduler, NOW, 2);
    assert_ne!(broken, whole);
    let produced = Tokens(0);
    step(
        &mut scheduler,
        NOW + 10,
        Event::Finished {
            attempt: second,
            produced,
        },
    );
    // Long calls take every place of the engine that answers.
    for seq in 3..=4 {
        let actions = step(&mut scheduler, NOW + 10, Event::Arrive(charge(seq, LATER)));
        assert_eq!(dispatches(&actions)[0].2, whole);
    }
    for number in 1..=4 {
        let at = NOW + number * 5_000;
        let (attempt, engine) = send_charge(&mut scheduler, at, 4 + number);
        assert_eq!(engine, broken);
        let actions = step(&mut scheduler, at + 10, lost(attempt));
        let said = |action: &Action| matches!(action, Action::AnnouncePoison { .. });
        assert!(!actions.iter().any(said), "{actions:?}");
    }
}

#[test]
fn crash_that_two_hosts_saw_is_one_crash() {
    let mut scheduler = host("entry-1");
    for peer in ["entry-2", "entry-3"] {
        let report = Event::PoisonReported {
            content: Digest(13),
            engine: engine("t-a"),
            crashes: 1,
            host: peer.parse().expect("a valid name"),
        };
        step(&mut scheduler, NOW, report);
    }
    let mut request = ask(1, 0, LATER);
    request.content = Digest(13);
    let actions = step(&mut scheduler, NOW, Event::Arrive(request));
    assert_eq!(dispatches(&actions).len(), 1, "{actions:?}");
}
