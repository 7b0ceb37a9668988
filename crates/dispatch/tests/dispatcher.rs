//! Queueing, refusal and server choice of the dispatcher.

#[path = "support/refusals.rs"]
mod refusals;
mod support;
#[path = "support/waits.rs"]
mod waits;

use carawayseam_dispatch::engine::{PromptPart, ServerLoad};
use carawayseam_dispatch::load::{HostLoad, WaitingCount};
use carawayseam_dispatch::rollouts::VersionRule;
use carawayseam_dispatch::{Action, AttemptEnd, CallerTime, Dispatcher, Job, Ticket};
use carawayseam_types::{EngineKey, Millis, Tier};
use refusals::refused;
use support::{EVENT_GAP_MS, dispatcher, engine, id, job, started};
use waits::latest_start;

#[test]
fn a_request_starts_at_once_where_a_slot_is_free() {
    let mut dispatcher = dispatcher(&[("a", 1)]);
    let (ticket, actions) = dispatcher.submit(Millis(1), job(1, 0));
    assert_eq!(started(&actions), [(ticket, "a")]);
}

#[test]
fn a_freed_slot_goes_to_the_highest_tier() {
    let mut dispatcher = dispatcher(&[("a", 1)]);
    let (first, _) = dispatcher.submit(Millis(1), job(1, 0));
    let (_, none) = dispatcher.submit(Millis(2), job(2, 2));
    let (urgent, also_none) = dispatcher.submit(Millis(3), job(3, 1));
    assert!(none.is_empty() && also_none.is_empty());
    let actions = dispatcher.record_end(Millis(10), first, AttemptEnd::Complete);
    assert_eq!(started(&actions), [(urgent, "a")]);
}

/// Guards against a queued request that waits for a version without servers after its rollout is decided.
#[test]
fn a_waiting_request_follows_the_rule_of_a_decided_rollout() {
    let mut dispatcher = dispatcher(&[("a", 1)]);
    let v1 = engine("a", 1).version;
    let waiting = Job {
        version: VersionRule::Not(v1.clone()),
        ..job(1, 0)
    };
    let (ticket, actions) = dispatcher.submit(Millis(1), waiting);
    assert!(actions.is_empty());
    dispatcher.set_version_rule(&engine("a", 1).backend, &VersionRule::Only(v1));
    assert_eq!(started(&dispatcher.tick(Millis(2))), [(ticket, "a")]);
}

/// Guards against a tier that is shed before a lower one, because it has waited longer.
#[test]
fn a_higher_tier_starts_first_however_long_it_has_waited() {
    let mut dispatcher = dispatcher(&[("a", 1)]);
    let (first, _) = dispatcher.submit(Millis(1), job(1, 0));
    let (urgent, _) = dispatcher.submit(Millis(2), job(2, 0));
    let now = EVENT_GAP_MS - 100;
    dispatcher.submit(Millis(now), job(now, 1));
    let actions = dispatcher.record_end(Millis(now + 1), first, AttemptEnd::Complete);
    assert_eq!(started(&actions), [(urgent, "a")]);
}

/// Guards against callers that are kept waiting for an answer that would come after they have left.
#[test]
fn a_request_is_refused_when_it_can_no_longer_be_answered_in_time() {
    let mut dispatcher = dispatcher(&[("a", 1)]);
    dispatcher.submit(Millis(1), job(1, 0));
    let waiting = job(2, 0);
    let latest_start = latest_start(&dispatcher, &waiting);
    assert!(
        latest_start < Millis(2 + EVENT_GAP_MS),
        "the work and the way back take time"
    );
    let (ticket, _) = dispatcher.submit(Millis(2), waiting);
    assert!(dispatcher.tick(latest_start).is_empty());
    let actions = dispatcher.tick(latest_start + Millis(1));
    assert_eq!(refused(&actions).len(), 1);
    assert_eq!(refused(&actions)[0].0, ticket);
}

#[test]
fn a_withdrawn_request_gets_no_slot() {
    let mut dispatcher = dispatcher(&[("a", 1)]);
    let (first, _) = dispatcher.submit(Millis(1), job(1, 0));
    let (withdrawn, _) = dispatcher.submit(Millis(2), job(2, 0));
    dispatcher.withdraw(withdrawn);
    assert!(
        dispatcher
            .record_end(Millis(3), first, AttemptEnd::Complete)
            .is_empty()
    );
    assert_eq!(dispatcher.request_counts(), (0, 0));
}

#[test]
fn a_draining_server_gets_no_new_requests() {
    let mut dispatcher = dispatcher(&[("a", 4), ("b", 4)]);
    let mut is_draining = engine("a", 4);
    is_draining.is_draining = true;
    dispatcher.set_engines(Millis(1), vec![is_draining, engine("b", 4)]);
    for now in 2..6 {
        let (_, actions) = dispatcher.submit(Millis(now), job(now, 0));
        assert_eq!(started(&actions)[0].1, "b");
    }
}

#[test]
fn an_unreachable_server_is_probed_before_it_gets_requests() {
    let mut dispatcher = dispatcher(&[("a", 4)]);
    let (ticket, _) = dispatcher.submit(Millis(1), job(1, 0));
    dispatcher.record_end(Millis(2), ticket, AttemptEnd::Unreachable);
    let (retry, actions) = dispatcher.submit_unsent(Millis(3), job(3, 0));
    assert!(actions.is_empty());
    assert_eq!(dispatcher.due_probes(Millis(4)).len(), 1);
    assert!(dispatcher.due_probes(Millis(5)).is_empty(), "probes are paced");
    let actions = dispatcher.mark_reachable(Millis(6), &id("a"));
    assert_eq!(started(&actions), [(retry, "a")]);
}

#[test]
fn a_server_that_fails_requests_gets_few_more() {
    let mut dispatcher = dispatcher(&[("bad", 50), ("good", 50)]);
    let mut failed = 0;
    for now in 1..60 {
        let (ticket, actions) = dispatcher.submit(Millis(now), job(now, 0));
        let is_bad = started(&actions)[0].1 == "bad";
        failed += u32::from(is_bad);
        dispatcher.record_first_event(Millis(now), ticket);
        let end = if is_bad {
            AttemptEnd::Failed
        } else {
            AttemptEnd::Complete
        };
        dispatcher.record_end(Millis(now), ticket, end);
    }
    assert!(failed <= 6, "{failed} of 59 requests went to the failing server");
}

/// Guards against requests that follow the one that crashed a server, before the crash is certain.
#[test]
fn a_server_that_may_have_crashed_gets_no_requests_while_another_has_a_slot() {
    let mut dispatcher = dispatcher(&[("a", 4), ("b", 4)]);
    let (lost, actions) = dispatcher.submit(Millis(1), job(1, 0));
    let may_have_crashed = started(&actions)[0].1;
    dispatcher.begin_loss_check(lost);
    for at in [2, 3, 4] {
        let (_, actions) = dispatcher.submit(Millis(at), job(at, 0));
        assert_ne!(started(&actions)[0].1, may_have_crashed, "at {at} ms");
    }
    dispatcher.record_end(Millis(5), lost, AttemptEnd::Cancelled);
    let (_, actions) = dispatcher.submit(Millis(6), job(6, 0));
    assert_eq!(started(&actions)[0].1, may_have_crashed, "the check has ended");
}

/// Guards against requests that wait for a check although no other server can take them.
#[test]
fn the_only_server_gets_requests_while_it_is_checked() {
    let mut dispatcher = dispatcher(&[("a", 4)]);
    let (lost, _) = dispatcher.submit(Millis(1), job(1, 0));
    dispatcher.begin_loss_check(lost);
    let (_, actions) = dispatcher.submit(Millis(2), job(2, 0));
    assert_eq!(started(&actions).len(), 1);
}

#[test]
fn a_long_response_waits_for_a_server_that_completes_it_in_time() {
    let mut dispatcher = dispatcher(&[("slow", 4), ("fast", 1)]);
    record_paces(&mut dispatcher);
    let (first, actions) = dispatcher.submit(Millis(2_000), job(2_000, 0));
    assert_eq!(started(&actions)[0].1, "fast", "the fast server is preferred");
    let mut long = job(2_001, 0);
    long.expected_events = 100;
    let (ticket, actions) = dispatcher.submit(Millis(2_001), long);
    assert!(actions.is_empty(), "the slow server would take too long");
    let actions = dispatcher.record_end(Millis(2_100), first, AttemptEnd::Complete);
    assert_eq!(started(&actions), [(ticket, "fast")]);
}

/// Records event times that are ten times longer at the server `slow` than at the other.
fn record_paces(dispatcher: &mut Dispatcher) {
    for now in 1..40 {
        let (ticket, actions) = dispatcher.submit(Millis(now), job(now, 0));
        let event_ms = if started(&actions)[0].1 == "slow" {
            100.0
        } else {
            10.0
        };
        dispatcher.record_first_event(Millis(now), ticket);
        dispatcher.record_events(Millis(now), ticket, event_ms);
        dispatcher.record_end(Millis(now), ticket, AttemptEnd::Complete);
    }
}

#[test]
fn a_prompt_goes_to_the_server_that_cached_its_prefix() {
    let mut dispatcher = dispatcher(&[("a", 8), ("b", 8)]);
    let with_parts = |now| Job {
        prompt: 8_000,
        parts: vec![
            PromptPart { id: 1, tokens: 7_900 },
            PromptPart { id: now, tokens: 100 },
        ],
        ..job(now, 0)
    };
    let (ticket, actions) = dispatcher.submit(Millis(1), with_parts(1));
    let first_server = started(&actions)[0].1.to_owned();
    dispatcher.record_first_event(Millis(90), ticket);
    dispatcher.record_end(Millis(200), ticket, AttemptEnd::Complete);
    for now in 300..310 {
        let (ticket, actions) = dispatcher.submit(Millis(now), with_parts(now));
        assert_eq!(started(&actions)[0].1, first_server);
        dispatcher.record_first_event(Millis(now), ticket);
        dispatcher.record_end(Millis(now), ticket, AttemptEnd::Complete);
    }
}

#[test]
fn slots_in_use_by_peers_are_not_assigned() {
    let mut dispatcher = dispatcher(&[("a", 2)]);
    let load = HostLoad {
        engines: vec![(
            EngineKey::from(&id("a")),
            ServerLoad {
                running: 2,
                prompt_ahead: 0,
            },
        )],
        waiting: Vec::new(),
    };
    let peer = "peer".parse().expect("a valid name");
    dispatcher.record_peer_load(Millis(1), &peer, load);
    let (ticket, actions) = dispatcher.submit(Millis(2), job(2, 0));
    assert!(actions.is_empty());
    let actions = dispatcher.record_peer_load(Millis(100), &peer, HostLoad::default());
    assert_eq!(started(&actions), [(ticket, "a")]);
}

#[test]
fn a_free_slot_is_left_to_a_higher_tier_that_waits_at_a_peer() {
    let mut dispatcher = dispatcher(&[("a", 1)]);
    let load = HostLoad {
        engines: Vec::new(),
        waiting: vec![WaitingCount {
            backend: "guides".parse().expect("a valid name"),
            tier: Tier(0),
            count: 1,
        }],
    };
    let peer = "peer".parse().expect("a valid name");
    dispatcher.record_peer_load(Millis(1), &peer, load);
    let (_, actions) = dispatcher.submit(Millis(2), job(2, 3));
    assert!(actions.is_empty());
    let (urgent, actions) = dispatcher.submit(Millis(3), job(3, 0));
    assert_eq!(started(&actions), [(urgent, "a")]);
}

#[test]
fn retries_stop_when_the_budget_is_used_up() {
    let mut dispatcher = dispatcher(&[("a", 100)]);
    let granted = (0..20).filter(|_| dispatcher.submit_retry(Millis(1), job(1, 0)).is_some());
    assert!(granted.count() <= 8);
}

#[test]
fn a_restarted_server_with_the_same_id_is_reachable_again() {
    let mut dispatcher = dispatcher(&[("a", 1)]);
    let (ticket, _) = dispatcher.submit(Millis(1), job(1, 0));
    dispatcher.record_end(Millis(2), ticket, AttemptEnd::Unreachable);
    let mut restarted = engine("a", 1);
    restarted.started = Some(2);
    dispatcher.set_engines(Millis(3), vec![restarted]);
    let (_, actions) = dispatcher.submit(Millis(4), job(4, 0));
    assert_eq!(started(&actions).len(), 1);
}

/// Guards against an answer that comes too late although another one could have waited.
#[test]
fn the_request_with_the_least_time_to_spare_starts_first() {
    let mut dispatcher = dispatcher(&[("a", 1)]);
    let (first, _) = dispatcher.submit(Millis(1), job(1, 0));
    dispatcher.submit(Millis(2), job(2, 0));
    let mut long = job(3, 0);
    long.expected_events = 390;
    let (long, _) = dispatcher.submit(Millis(3), long);
    let actions = dispatcher.record_end(Millis(10), first, AttemptEnd::Complete);
    assert_eq!(started(&actions), [(long, "a")]);
}

/// Guards against free slots that are kept from those who have waited long.
#[test]
fn requests_that_have_waited_long_get_all_slots() {
    let mut dispatcher = dispatcher(&[("a", 20)]);
    let now = EVENT_GAP_MS - 100;
    let starts = (0..20).filter(|_| !dispatcher.submit(Millis(now), job(1, 1)).1.is_empty());
    assert_eq!(starts.count(), 20);
}

/// Guards against a queue that callers wait in until they leave.
#[test]
fn a_request_that_cannot_start_in_time_behind_its_tier_is_refused_at_once() {
    let mut dispatcher = dispatcher(&[("a", 1)]);
    dispatcher.submit(Millis(1), job(1, 0));
    let mut refusals = 0;
    for now in 2..40 {
        let (ticket, actions) = dispatcher.submit(Millis(now), job(now, 0));
        for (other, retry_after) in refused(&actions) {
            assert_eq!(other, ticket);
            assert!(
                retry_after >= Millis(1_000),
                "{retry_after}: the queue is as long"
            );
            refusals += 1;
        }
    }
    assert!(refusals > 20, "{refusals} of 38 requests were refused at once");
    assert!(dispatcher.request_counts().0 >= 2, "some may wait");
}

/// Guards against a higher tier that is refused, or waits, because of lower ones.
#[test]
fn a_higher_tier_displaces_what_waits_in_a_lower_one() {
    let mut dispatcher = dispatcher(&[("a", 1)]);
    dispatcher.submit(Millis(1), job(1, 0));
    let lower: Vec<Ticket> = (2..20)
        .map(|now| dispatcher.submit(Millis(now), job(now, 1)).0)
        .collect();
    let mut displaced = Vec::new();
    for now in 20..24 {
        let (ticket, actions) = dispatcher.submit(Millis(now), job(now, 0));
        displaced.extend(refused(&actions).into_iter().map(|(refused, _)| refused));
        assert!(!displaced.contains(&ticket), "the higher tier waits");
    }
    assert!(!displaced.is_empty());
    assert!(displaced.iter().all(|ticket| lower.contains(ticket)));
}

/// Names a way in which a request that is sent for the first time, or once more, comes into the queue.
macro_rules! waits_like_any_other {
    ($name:ident: $submit:expr) => {
        /// Guards against a wait that depends on whether a request was sent before.
        #[test]
        fn $name() {
            let submit: fn(&mut Dispatcher, Millis, Job) -> (Ticket, Vec<Action>) = $submit;
            let mut dispatcher = dispatcher(&[("a", 1)]);
            dispatcher.submit(Millis(1), job(1, 0));
            let waiting = job(2, 0);
            let latest_start = latest_start(&dispatcher, &waiting);
            let (ticket, actions) = submit(&mut dispatcher, Millis(2), waiting);
            assert!(actions.is_empty());
            assert!(dispatcher.tick(latest_start).is_empty());
            assert_eq!(
                refused(&dispatcher.tick(latest_start + Millis(1)))[0].0,
                ticket
            );
            let (_, actions) = submit(&mut dispatcher, latest_start + Millis(2), job(1, 0));
            assert_eq!(refused(&actions).len(), 1, "it is refused at once");
        }
    };
}

waits_like_any_other!(a_first_attempt_waits_while_it_can_be_answered:
    |dispatcher, now, job| dispatcher.submit(now, job));
waits_like_any_other!(an_unsent_request_waits_while_it_can_be_answered:
    |dispatcher, now, job| dispatcher.submit_unsent(now, job));
waits_like_any_other!(a_retry_waits_while_it_can_be_answered: |dispatcher, now, job| {
    dispatcher.return_retry(&job.backend);
    let tried = vec![id("b")];
    let submitted = dispatcher.submit_retry(now, Job { tried, ..job });
    submitted.expect("the budget allows it")
});

/// Guards against callers that are told one time, or a time that has nothing to do with the queue.
#[test]
fn refused_callers_are_told_when_a_place_is_expected() {
    let mut dispatcher = dispatcher(&[("a", 1)]);
    let Job {
        backend,
        prompt,
        expected_events,
        ..
    } = job(1, 0);
    let work = dispatcher.expected_work(&backend, prompt, expected_events);
    dispatcher.submit(Millis(1), job(1, 0));
    let caller = CallerTime::until(Millis(60_000)).with_next_event_by(Millis(EVENT_GAP_MS));
    let submitted = (0..40).flat_map(|_| {
        let waiting = Job { caller, ..job(2, 0) };
        refused(&dispatcher.submit(Millis(2), waiting).1)
    });
    let delays: Vec<Millis> = submitted.map(|(_, retry_after)| retry_after).collect();
    assert!(
        delays[0] + Millis(2) > caller.latest_start(work),
        "a place within its time is none to be refused"
    );
    let steps = delays.windows(2).map(|pair| pair[1].since(pair[0]));
    assert!(steps.into_iter().all(|step| step == work.total), "{delays:?}");
}

/// Guards against places that are kept for callers who do not return.
#[test]
fn a_place_beyond_a_callers_time_is_told_to_others_too() {
    let mut dispatcher = dispatcher(&[("a", 1)]);
    dispatcher.submit(Millis(1), job(1, 0));
    let caller = CallerTime::until(Millis(2_000));
    let submitted = (0..40).flat_map(|_| {
        let waiting = Job { caller, ..job(2, 0) };
        refused(&dispatcher.submit(Millis(2), waiting).1)
    });
    let delays: Vec<Millis> = submitted.map(|(_, retry_after)| retry_after).collect();
    assert!(delays.windows(2).all(|pair| pair[0] == pair[1]), "{delays:?}");
    assert!(
        delays[0] > Millis(2_000 / 3),
        "the true time, though it is not within the caller's"
    );
}

/// Plain requests take about 15 ms, so they end before the load that peers announce for them arrives.
#[test]
fn plain_requests_queue_at_a_busy_server_for_a_while() {
    let mut dispatcher = dispatcher(&[("a", 2)]);
    let plain = || Job {
        expected_events: 0,
        prompt: 0,
        max_event_gap: None,
        ..job(1, 0)
    };
    let starts = (0..5).filter(|_| !started(&dispatcher.submit(Millis(1), plain()).1).is_empty());
    assert_eq!(starts.count(), 4);
}

/// Guards against a silent server that gets the request again that it still has.
#[test]
fn a_request_does_not_go_to_the_server_that_still_has_it() {
    let mut dispatcher = dispatcher(&[("a", 2)]);
    let elsewhere = Job {
        excluded: Some(id("a")),
        ..job(1, 0)
    };
    let (ticket, actions) = dispatcher.submit_unsent(Millis(1), elsewhere);
    assert!(actions.is_empty());
    let actions = dispatcher.set_engines(Millis(2), vec![engine("a", 2), engine("b", 1)]);
    assert_eq!(started(&actions), [(ticket, "b")]);
}

/// Guards against retries that are charged to requests which only wait for another server.
#[test]
fn a_request_that_waits_for_another_server_takes_no_retry() {
    let mut dispatcher = dispatcher(&[("a", 100)]);
    let backend = job(1, 0).backend;
    let mut retries = 0;
    while dispatcher.has_retry(&backend) {
        let waiting = Job {
            excluded: Some(id("a")),
            ..job(1, 0)
        };
        let (ticket, actions) = dispatcher.submit_unsent(Millis(1), waiting);
        assert!(actions.is_empty());
        assert!(dispatcher.has_retry(&backend), "waiting took a retry");
        dispatcher.withdraw(ticket);
        assert!(dispatcher.take_retry(&backend));
        retries += 1;
    }
    assert!(retries > 0);
    assert!(!dispatcher.take_retry(&backend));
    assert!(dispatcher.submit_retry(Millis(1), job(1, 0)).is_none());
}

/// Guards against a request that leaves a silent server for one that cannot finish it.
#[test]
fn a_request_goes_elsewhere_only_if_it_can_finish_there() {
    let mut dispatcher = dispatcher(&[("a", 1), ("b", 1)]);
    let late = Job {
        excluded: Some(id("a")),
        caller: CallerTime::until(Millis(50)),
        ..job(1, 0)
    };
    let (ticket, actions) = dispatcher.submit_unsent(Millis(1), late);
    assert_eq!(refused(&actions)[0].0, ticket);
}

/// Guards against requests that are sent to a silent server while it still has others.
#[test]
fn a_silent_server_gets_no_requests_until_it_is_reachable() {
    let mut dispatcher = dispatcher(&[("a", 3)]);
    let (_, actions) = dispatcher.submit(Millis(1), job(1, 0));
    assert_eq!(started(&actions).len(), 1);
    dispatcher.mark_silent(Millis(2), &id("a"), None);
    let (ticket, actions) = dispatcher.submit(Millis(3), job(3, 0));
    assert!(actions.is_empty());
    assert_eq!(dispatcher.due_probes(Millis(4)).len(), 1);
    let actions = dispatcher.mark_reachable(Millis(5), &id("a"));
    assert_eq!(started(&actions), [(ticket, "a")]);
}
