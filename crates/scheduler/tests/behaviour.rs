//! What the scheduler does in single situations.

mod common;

use carawayseam_scheduler::{Action, AttemptFailure, EngineStanding, Event, Notice, Origin, Scheduler};
use carawayseam_types::{
    AttemptId, Digest, EngineId, Millis, NotRunReason, RequestSeq, Tokens, UnknownReason,
};
use common::{ask, charge, engine, host, member};

const NOW: u64 = 1_000;
const LATER: Millis = Millis(60_000);

/// Hands over one event and gives what is to be done.
fn step(scheduler: &mut Scheduler, now: u64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    scheduler.handle(Millis(now), event, &mut actions);
    actions
}

/// The dispatches among actions.
fn dispatches(actions: &[Action]) -> Vec<(AttemptId, RequestSeq, EngineId)> {
    let dispatch = |action: &Action| match action {
        Action::Dispatch {
            attempt,
            request,
            engine,
            ..
        } => Some((*attempt, *request, engine.clone())),
        _ => None,
    };
    actions.iter().filter_map(dispatch).collect()
}

/// What becomes of a request after its first attempt failed.
#[derive(Debug, PartialEq, Eq)]
enum After {
    RunsAgain,
    NotRun,
    Unknown(UnknownReason),
}

fn after_failure(mut scheduler: Scheduler, is_charge: bool, failure: AttemptFailure) -> After {
    let request = if is_charge {
        charge(1, LATER)
    } else {
        ask(1, 0, LATER)
    };
    let first = dispatches(&step(&mut scheduler, NOW, Event::Arrive(request)))[0].clone();
    let event = Event::Failed {
        attempt: first.0,
        failure,
        produced: Tokens(0),
    };
    let actions = step(&mut scheduler, NOW + 10, event);
    let is_answer = |action: &&Action| matches!(action, Action::Refuse { .. } | Action::Abandon { .. });
    match (dispatches(&actions).first(), actions.iter().find(is_answer)) {
        (Some(_), None) => After::RunsAgain,
        (None, Some(Action::Abandon { reason, .. })) => After::Unknown(*reason),
        (None, Some(_)) => After::NotRun,
        (dispatch, answer) => panic!("both or neither: {dispatch:?}, {answer:?}"),
    }
}

/// Names a case of a first attempt that failed.
macro_rules! after_failure {
    ($name:ident, $is_charge:expr, $failure:ident, $after:expr) => {
        #[test]
        fn $name() {
            let after = after_failure(host("entry-1"), $is_charge, AttemptFailure::$failure);
            assert_eq!(after, $after);
        }
    };
}

after_failure!(call_that_was_not_sent_runs_again, true, NotSent, After::RunsAgain);
after_failure!(
    call_that_the_engine_refused_runs_again,
    true,
    EngineRefused,
    After::RunsAgain
);
after_failure!(
    call_on_a_lost_connection_is_unknown,
    true,
    ConnectionLost,
    After::Unknown(UnknownReason::ConnectionLost)
);
after_failure!(
    call_on_a_failed_engine_is_unknown,
    true,
    EngineFailed,
    After::Unknown(UnknownReason::EngineFailed)
);
after_failure!(
    silent_call_is_unknown,
    true,
    Silent,
    After::Unknown(UnknownReason::TimedOut)
);
after_failure!(
    question_on_a_lost_connection_runs_again,
    false,
    ConnectionLost,
    After::RunsAgain
);
after_failure!(
    question_past_its_deadline_is_given_up,
    false,
    DeadlinePassed,
    After::Unknown(UnknownReason::TimedOut)
);

#[test]
fn leaving_engine_gets_no_new_work_and_finishes_what_it_has() {
    let mut scheduler = host("entry-1");
    for name in ["m-a1", "m-b1"] {
        let standing = EngineStanding::Leaving;
        let actions = step(
            &mut scheduler,
            NOW,
            Event::EngineStanding {
                engine: engine(name),
                standing,
            },
        );
        assert!(actions.is_empty(), "nothing is cut: {actions:?}");
    }
    for seq in 0..10 {
        let actions = step(&mut scheduler, NOW, Event::Arrive(ask(seq, 0, LATER)));
        let engines = dispatches(&actions).into_iter().map(|(.., engine)| engine);
        assert!(engines.into_iter().all(|used| used == engine("m-a2")));
    }
}

#[test]
fn stream_of_a_gone_engine_resumes_at_its_offset() {
    let mut scheduler = host("entry-1");
    let (attempt, _, first) =
        dispatches(&step(&mut scheduler, NOW, Event::Arrive(ask(1, 0, LATER))))[0].clone();
    step(&mut scheduler, NOW + 100, Event::FirstToken { attempt });
    let produced = Tokens(40);
    step(&mut scheduler, NOW + 900, Event::Progress { attempt, produced });
    let gone = Event::EngineStanding {
        engine: first.clone(),
        standing: EngineStanding::Gone,
    };
    let actions = step(&mut scheduler, NOW + 1_000, gone);
    let resumed = actions.iter().find_map(|action| match action {
        Action::Dispatch {
            resume_offset,
            engine,
            version,
            ..
        } => Some((*resume_offset, engine, version)),
        _ => None,
    });
    let (offset, second, version) = resumed.expect("the stream goes on");
    assert_eq!((offset, version.as_str()), (produced, "v1"));
    assert_ne!(*second, first);
}

#[test]
fn events_of_attempts_that_are_over_are_ignored() {
    let mut scheduler = host("entry-1");
    let (attempt, ..) = dispatches(&step(&mut scheduler, NOW, Event::Arrive(ask(1, 0, LATER))))[0].clone();
    let produced = Tokens(50);
    step(&mut scheduler, NOW + 900, Event::Finished { attempt, produced });
    for event in [
        Event::Finished { attempt, produced },
        Event::Progress { attempt, produced },
        Event::FirstToken {
            attempt: AttemptId(99),
        },
    ] {
        assert!(step(&mut scheduler, NOW + 901, event).is_empty());
    }
    let failure = AttemptFailure::ConnectionLost;
    assert!(
        step(
            &mut scheduler,
            NOW + 902,
            Event::Failed {
                attempt,
                failure,
                produced
            }
        )
        .is_empty()
    );
}

#[test]
fn silent_connection_is_cancelled_and_a_fresh_one_used() {
    let mut scheduler = host("entry-1");
    let (attempt, ..) = dispatches(&step(&mut scheduler, NOW, Event::Arrive(ask(1, 0, LATER))))[0].clone();
    let actions = step(&mut scheduler, NOW + 10_100, Event::Tick);
    let cancelled =
        |action: &Action| matches!(action, Action::Cancel { attempt: over, .. } if *over == attempt);
    assert!(actions.iter().any(cancelled), "{actions:?}");
    assert_eq!(dispatches(&actions).len(), 1);
}

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
fn request_is_forwarded_once_and_comes_home_when_its_owner_is_lost() {
    let alone = Event::Members(vec![member("entry-1", "a")]);
    let both = Event::Members(vec![
        member("entry-1", "a"),
        member("entry-2", "a"),
        member("entry-3", "b"),
    ]);
    let is_forwarded = |actions: &[Action]| matches!(actions, [Action::Forward { .. }]);
    // Which of two hosts owns a pool follows from their names, so one of them forwards.
    let forwards = ["entry-1", "entry-2"].map(|name| {
        let mut scheduler = host(name);
        step(&mut scheduler, NOW, both.clone());
        let is_forwarded = is_forwarded(&step(&mut scheduler, NOW, Event::Arrive(ask(1, 0, LATER))));
        let mut again = ask(2, 0, LATER);
        again.origin = Origin::Peer("entry-3".parse().expect("a valid name"));
        assert_eq!(
            dispatches(&step(&mut scheduler, NOW, Event::Arrive(again))).len(),
            1
        );
        step(&mut scheduler, NOW, alone.clone());
        assert_eq!(
            dispatches(&step(&mut scheduler, NOW, Event::Arrive(ask(3, 0, LATER)))).len(),
            1
        );
        is_forwarded
    });
    assert_eq!(forwards.iter().filter(|forwarded| **forwarded).count(), 1);
}

#[test]
fn plain_call_is_never_forwarded() {
    for name in ["entry-1", "entry-2", "entry-3"] {
        let mut scheduler = host(name);
        let members = ["entry-1", "entry-2", "entry-3"].map(|name| member(name, "a"));
        step(&mut scheduler, NOW, Event::Members(members.to_vec()));
        assert_eq!(
            dispatches(&step(&mut scheduler, NOW, Event::Arrive(charge(1, LATER)))).len(),
            1
        );
    }
}

#[test]
fn higher_tier_near_its_deadline_takes_the_place_of_running_lower_work() {
    let mut scheduler = host("entry-1");
    let lower = (0..9).map(|seq| ask(seq, 2, LATER));
    let filled: usize = lower
        .map(|r| dispatches(&step(&mut scheduler, NOW, Event::Arrive(r))).len())
        .sum();
    assert!(filled >= 6, "all slots are taken: {filled}");
    let higher = ask(100, 0, Millis(NOW + 3_000));
    assert!(dispatches(&step(&mut scheduler, NOW, Event::Arrive(higher))).is_empty());
    let actions = step(&mut scheduler, NOW + 2_700, Event::Tick);
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::Cancel { .. })),
        "{actions:?}"
    );
    assert_eq!(dispatches(&actions)[0].1, RequestSeq(100));
}

#[test]
fn drain_hands_requests_to_peers_and_refuses_calls_as_not_run() {
    let mut scheduler = host("entry-1");
    step(
        &mut scheduler,
        NOW,
        Event::Members(vec![member("entry-1", "a"), member("entry-2", "a")]),
    );
    let running = step(&mut scheduler, NOW, Event::Arrive(charge(1, LATER)));
    assert_eq!(dispatches(&running).len(), 1);
    let actions = step(&mut scheduler, NOW, Event::Drain);
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::Cancel { .. })),
        "nothing is cut"
    );
    let actions = step(&mut scheduler, NOW, Event::Arrive(ask(2, 0, LATER)));
    assert!(matches!(actions.as_slice(), [Action::Forward { host, .. }] if host.as_str() == "entry-2"));
    let actions = step(&mut scheduler, NOW, Event::Arrive(charge(3, LATER)));
    let stopping = |action: &Action| matches!(action, Action::Refuse { refusal, .. } if refusal.reason == NotRunReason::Stopping);
    assert!(actions.iter().all(stopping), "{actions:?}");
}

#[test]
fn ejections_stop_at_the_ceiling() {
    let mut scheduler = host("entry-1");
    let mut ejected = 0;
    for seq in 0..60 {
        let now = NOW + seq * 600;
        let mut actions = step(&mut scheduler, now, Event::Tick);
        actions.extend(step(
            &mut scheduler,
            now,
            Event::Arrive(ask(seq, 0, Millis(now + 500))),
        ));
        while let Some((attempt, ..)) = dispatches(&actions).first().cloned() {
            let failure = AttemptFailure::EngineFailed;
            let more = step(
                &mut scheduler,
                now,
                Event::Failed {
                    attempt,
                    failure,
                    produced: Tokens(0),
                },
            );
            let is_ejection = |action: &&Action| matches!(action, Action::Note(Notice::Ejected { .. }));
            ejected += more.iter().filter(is_ejection).count();
            actions = more;
        }
        let out = scheduler
            .dump()
            .engines
            .iter()
            .filter(|engine| engine.ejected)
            .count();
        // Three tenths of four model engines.
        assert!(out <= 1, "{out} engines are ejected at once");
    }
    assert!(ejected > 0, "an engine that always fails is ejected");
}

#[test]
fn refused_callers_are_spread_over_the_time_to_come_back() {
    let mut scheduler = host("entry-1");
    for name in ["m-a1", "m-a2", "m-b1"] {
        let standing = EngineStanding::Gone;
        step(
            &mut scheduler,
            NOW,
            Event::EngineStanding {
                engine: engine(name),
                standing,
            },
        );
    }
    let times =
        (0..20).map(
            |seq| match step(&mut scheduler, NOW, Event::Arrive(ask(seq, 0, LATER))).as_slice() {
                [Action::Refuse { refusal, .. }] => refusal.retry_after.expect("a time to come back"),
                other => panic!("one refusal: {other:?}"),
            },
        );
    let times: std::collections::BTreeSet<Millis> = times.collect();
    assert!(times.len() > 10, "{times:?}");
}

#[test]
fn queued_requests_follow_a_withdrawn_version() {
    let mut scheduler = host("entry-1");
    for seq in 0..20 {
        step(&mut scheduler, NOW, Event::Arrive(ask(seq, 0, LATER)));
    }
    let [backend, from, to] = ["model", "v1", "v2"];
    let withdrawn = Event::VersionWithdrawn {
        backend: backend.parse().expect("a valid name"),
        from: from.parse().expect("a valid name"),
        to: to.parse().expect("a valid name"),
    };
    let actions = step(&mut scheduler, NOW, withdrawn);
    let versions = actions.iter().filter_map(|action| match action {
        Action::Dispatch { version, .. } => Some(version.as_str()),
        _ => None,
    });
    let versions: Vec<&str> = versions.collect();
    assert!(
        !versions.is_empty() && versions.iter().all(|version| *version == "v2"),
        "{versions:?}"
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
