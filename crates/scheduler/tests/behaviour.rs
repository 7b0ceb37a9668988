//! What the scheduler does in single situations.

mod common;
mod steps;

use carawayseam_scheduler::{Action, AttemptFailure, EngineStanding, Event, Notice, Origin, Scheduler};
use carawayseam_types::{AttemptId, Millis, NotRunReason, RequestSeq, Tokens, UnknownReason};
use common::{ask, charge, engine, host, member};
use steps::{LATER, NOW, dispatches, step};

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
