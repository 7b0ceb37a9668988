//! Each promise is seen to be broken where it is, and kept where it is.

use carawayseam_soak::{
    Answer, Broken, Ledger, METERED_KEY, RequestId, Route, Scope, max_in_limited_window, most_in_window,
};
use carawayseam_types::Millis;

const ID: RequestId = RequestId(7);
const LIMIT: Millis = Millis(1_500);
const REFUSED: Answer = Answer::Refused {
    status: 503,
    says_when: true,
};

/// A ledger with one request on gateway 0, sent at a time with key 0.
fn sent(at: u64, route: Route) -> Ledger {
    let mut ledger = Ledger::default();
    ledger.configured(Millis(0));
    ledger.sent(Millis(at), ID, (0, 1), route, 0);
    ledger
}

fn answered(ledger: &mut Ledger, at: u64, answer: &Answer) -> Result<(), Broken> {
    ledger.answered(Millis(at), ID, answer, LIMIT)
}

macro_rules! promise {
    ($name:ident: $broken:pat => $check:expr) => {
        #[test]
        fn $name() {
            let outcome: Result<(), Broken> = $check;
            assert!(matches!(outcome, $broken), "{outcome:?}");
        }
    };
}

promise!(an_answer_in_time_is_fine: Ok(()) => {
    let mut ledger = sent(0, Route::Calls);
    ledger.ran(Millis(5), ID, 1).and_then(|()| answered(&mut ledger, 50, &Answer::Success))
});

promise!(a_call_that_runs_twice: Err(Broken::RanTwice { .. }) => {
    let mut ledger = sent(0, Route::Calls);
    ledger.ran(Millis(5), ID, 1).and_then(|()| ledger.ran(Millis(9), ID, 2))
});

promise!(a_read_may_run_twice: Ok(()) => {
    let mut ledger = sent(0, Route::Reads);
    ledger.ran(Millis(5), ID, 1).and_then(|()| ledger.ran(Millis(9), ID, 2))
});

promise!(a_refusal_of_what_ran: Err(Broken::FalseRefusal { status: 503, .. }) => {
    let mut ledger = sent(0, Route::Calls);
    ledger.ran(Millis(5), ID, 1).and_then(|()| answered(&mut ledger, 50, &REFUSED))
});

promise!(a_refusal_of_what_runs_later: Err(Broken::FalseRefusal { status: 503, .. }) => {
    let mut ledger = sent(0, Route::Calls);
    answered(&mut ledger, 50, &REFUSED).and_then(|()| ledger.ran(Millis(60), ID, 1))
});

promise!(a_refusal_without_a_time: Err(Broken::NoTimeToComeBack { .. }) => {
    let refused = Answer::Refused { status: 429, says_when: false };
    answered(&mut sent(0, Route::Reads), 50, &refused)
});

promise!(an_answer_to_another: Err(Broken::WrongAnswer { .. }) => {
    answered(&mut sent(0, Route::Reads), 50, &Answer::Wrong("another".to_owned()))
});

promise!(a_request_that_nobody_sent: Err(Broken::WrongAnswer { .. }) => {
    Ledger::default().ran(Millis(5), ID, 1)
});

/// Runs requests of the organisation with a quota, `gap` milliseconds apart.
fn metered(count: usize, gap: u64) -> Result<(), Broken> {
    let mut ledger = Ledger::default();
    (0..count as u64).try_for_each(|number| {
        let (id, at) = (RequestId(number), Millis(number * gap));
        ledger.sent(at, id, (0, 1), Route::Calls, METERED_KEY);
        ledger.ran(at, id, 1)
    })
}

promise!(a_quota_that_is_used_up: Ok(()) => metered(most_in_window(), 0));

promise!(a_quota_that_is_exceeded: Err(Broken::OverQuota { .. }) => metered(most_in_window() + 1, 0));

promise!(a_quota_counts_in_windows: Ok(()) => metered(most_in_window() * 4, 100));

promise!(a_step_back: Err(Broken::SteppedBack { used: 1, seen: 2, .. }) => {
    let mut ledger = sent(0, Route::Steps);
    ledger.stepped(Millis(10), ID, 2).and_then(|()| {
        ledger.sent(Millis(300), RequestId(8), (0, 1), Route::Steps, 0);
        ledger.stepped(Millis(310), RequestId(8), 1)
    })
});

promise!(a_new_process_may_begin_with_an_older_one: Ok(()) => {
    let mut ledger = sent(0, Route::Steps);
    ledger.stepped(Millis(10), ID, 2).and_then(|()| {
        ledger.sent(Millis(300), RequestId(8), (0, 2), Route::Steps, 0);
        ledger.stepped(Millis(310), RequestId(8), 1)
    })
});

promise!(an_old_configuration: Err(Broken::Outdated { used: 0, newest: 1, .. }) => {
    let mut ledger = sent(5_100, Route::Steps);
    ledger.configured(Millis(3_000));
    ledger.stepped(Millis(5_110), ID, 0)
});

promise!(an_old_configuration_out_of_touch: Ok(()) => {
    let mut ledger = sent(5_100, Route::Steps);
    ledger.configured(Millis(3_000));
    ledger.disturb(Scope::Gateway(0));
    ledger.stepped(Millis(5_110), ID, 0)
});

promise!(an_old_configuration_while_cut_from_all_servers: Err(Broken::Outdated { .. }) => {
    let mut ledger = sent(5_100, Route::Steps);
    ledger.configured(Millis(3_000));
    ledger.disturb(Scope::ServerLinks(0));
    ledger.stepped(Millis(5_110), ID, 0)
});

promise!(a_cut_from_all_servers_may_cut: Ok(()) => {
    let mut ledger = sent(0, Route::Calls);
    ledger.disturb(Scope::ServerLinks(0));
    ledger.ran(Millis(5), ID, 1).and_then(|()| answered(&mut ledger, 50, &Answer::Cut))
});

promise!(a_cut_of_another_gateway_from_all_servers_excuses_nothing: Err(Broken::CutByPlannedStop { .. }) => {
    let mut ledger = sent(0, Route::Calls);
    ledger.disturb(Scope::ServerLinks(1));
    ledger.ran(Millis(5), ID, 1).and_then(|()| answered(&mut ledger, 50, &Answer::Cut))
});

promise!(a_key_that_was_taken_away: Err(Broken::RevokedKey { ago: Millis(5_001), .. }) => {
    let mut ledger = sent(5_001, Route::Reads);
    ledger.revoked(Millis(0), 0);
    ledger.ran(Millis(5_002), ID, 1)
});

promise!(a_key_out_of_touch_is_bound_too: Err(Broken::RevokedKey { .. }) => {
    let mut ledger = sent(5_001, Route::Reads);
    ledger.disturb(Scope::Gateway(0));
    ledger.revoked(Millis(0), 0);
    ledger.ran(Millis(5_002), ID, 1)
});

promise!(a_server_that_leaves: Err(Broken::RanOnLeaving { server: 1, .. }) => {
    let mut ledger = sent(2_100, Route::Reads);
    ledger.leaving(Millis(0), 1);
    ledger.ran(Millis(2_105), ID, 1)
});

promise!(a_stop_that_cuts: Err(Broken::CutByPlannedStop { gateway: 0, .. }) => {
    let mut ledger = sent(0, Route::Guides);
    ledger.disturb(Scope::PlannedStop(0));
    ledger.ran(Millis(5), ID, 1).and_then(|()| answered(&mut ledger, 90, &Answer::Cut))
});

promise!(a_kill_may_cut: Ok(()) => {
    let mut ledger = sent(0, Route::Guides);
    ledger.disturb(Scope::Gateway(0));
    ledger.ran(Millis(5), ID, 1).and_then(|()| answered(&mut ledger, 90, &Answer::Cut))
});

promise!(a_stop_that_fails: Err(Broken::NoCleanEnd { gateway: 0 }) => {
    Ledger::default().stopped(Millis(0), 0, false)
});

promise!(late_answers: Err(Broken::Late { count: 6, .. }) => {
    let mut ledger = Ledger::default();
    (0..6).try_for_each(|number| {
        let id = RequestId(number);
        ledger.sent(Millis(0), id, (0, 1), Route::Reads, 0);
        ledger.answered(Millis(2_001), id, &Answer::Failure(504), LIMIT)
    })
});

promise!(too_many_on_a_bad_version: Err(Broken::Exposed { bad: 56, all: 56 }) => {
    let mut ledger = Ledger::default();
    ledger.exposure_begins();
    (0..56).try_for_each(|_| ledger.exposed(true))
});

promise!(a_move_without_end: Err(Broken::RolloutNotEnded { .. }) => {
    Ledger::default().move_ended(Millis(0), "complete", "running")
});

promise!(a_move_while_the_store_is_away: Ok(()) => {
    let mut ledger = Ledger::default();
    ledger.disturb(Scope::Store);
    ledger.move_ended(Millis(0), "complete", "running")
});

promise!(too_little_served_in_calm: Err(Broken::NotServing { served: 0, sent: 1 }) => {
    let mut ledger = sent(0, Route::Reads);
    answered(&mut ledger, 50, &REFUSED).and_then(|()| ledger.finish(0.95))
});

#[test]
fn a_disturbance_is_felt_for_a_while_after_its_end() {
    let mut ledger = sent(2_900, Route::Guides);
    let number = ledger.disturb(Scope::Gateway(0));
    ledger.end_disturbance(Millis(0), number);
    ledger.ran(Millis(2_905), ID, 1).expect("it is sent");
    answered(&mut ledger, 2_950, &Answer::Cut).expect("the fault may have cut it");
}

/// A server closes for 1.5 s, and a request of the same gateway comes to it so much later.
fn comes_to_closed(ledger: &mut Ledger, late: &[u64]) -> Result<(), Broken> {
    ledger.closed(Millis(5), ID, 1, Millis(1_500))?;
    late.iter().try_for_each(|at| {
        let id = RequestId(1_000 + at);
        ledger.sent(Millis(*at), id, (0, 1), Route::Reads, 0);
        ledger.ran(Millis(*at), id, 1)
    })
}

promise!(a_server_that_wants_nothing: Err(Broken::SentWhileClosed { server: 1, arrivals: 3, .. }) => {
    comes_to_closed(&mut sent(0, Route::Reads), &[600, 900, 1_400])
});

promise!(requests_on_their_way_to_a_server_that_closes: Ok(()) => {
    comes_to_closed(&mut sent(0, Route::Reads), &[50, 100, 400, 600, 1_400])
});

promise!(a_server_that_wants_requests_again: Ok(()) => {
    comes_to_closed(&mut sent(0, Route::Reads), &[1_600, 1_700, 1_800])
});

/// A server says in an answer that it leaves, and a request of the same gateway is sent so much later.
fn sent_after_the_word(ledger: &mut Ledger, later: u64) -> Result<(), Broken> {
    ledger.ran(Millis(5), ID, 1)?;
    ledger.says_leaving(ID, 1);
    answered(ledger, 50, &Answer::Success)?;
    let id = RequestId(1_000);
    ledger.sent(Millis(50 + later), id, (0, 1), Route::Reads, 0);
    ledger.ran(Millis(55 + later), id, 1)
}

promise!(a_server_that_leaves_by_its_own_word: Err(Broken::RanOnLeaving { server: 1, .. }) => {
    sent_after_the_word(&mut sent(0, Route::Reads), 2_100)
});

promise!(a_server_that_has_just_said_that_it_leaves: Ok(()) => {
    sent_after_the_word(&mut sent(0, Route::Reads), 1_900)
});

/// A server with a rate limit gets requests of two gateways from a time on; the first one tells them of it.
fn come_to_limited(ledger: &mut Ledger, count: usize, from: u64) -> Result<(), Broken> {
    ledger.limit(Millis(0), 1, true);
    for gateway in 0..2 {
        let id = RequestId(100 + gateway as u64);
        ledger.sent(Millis(10), id, (gateway, 1), Route::Reads, 0);
        ledger.came_to_limited(Millis(20), id, 1)?;
        ledger.answered(Millis(30), id, &Answer::Success, LIMIT)?;
    }
    (0..count).try_for_each(|ix| {
        let (id, at) = (RequestId(1_000 + ix as u64), Millis(from + ix as u64));
        ledger.sent(at, id, (ix % 2, 1), Route::Reads, 0);
        ledger.came_to_limited(at, id, 1)
    })
}

promise!(more_requests_than_a_limit_allows: Err(Broken::OverLimit { server: 1, .. }) => {
    come_to_limited(&mut sent(0, Route::Reads), max_in_limited_window() + 1, 4_000)
});

promise!(as_many_requests_as_a_limit_allows: Ok(()) => {
    come_to_limited(&mut sent(0, Route::Reads), max_in_limited_window(), 4_000)
});

promise!(requests_before_a_limit_binds: Ok(()) => {
    come_to_limited(&mut sent(0, Route::Reads), max_in_limited_window() + 1, 1_000)
});

promise!(requests_of_a_gateway_that_was_frozen: Ok(()) => {
    let mut ledger = sent(0, Route::Reads);
    for gateway in 0..2 {
        ledger.disturb(Scope::Gateway(gateway));
    }
    come_to_limited(&mut ledger, max_in_limited_window() + 1, 4_000)
});
