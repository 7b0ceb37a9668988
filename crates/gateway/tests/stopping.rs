//! The times of a planned shutdown.

use carawayseam_gateway::stopping::StopPlan;
use carawayseam_types::Millis;

const STARTED_AT: Millis = Millis(1_000);

fn plan(stop_within_ms: u64) -> StopPlan {
    StopPlan::new(STARTED_AT, Millis(stop_within_ms))
}

macro_rules! the_times_are_in_order {
    ($name:ident: $stop_within_ms:expr) => {
        #[test]
        fn $name() {
            let plan = plan($stop_within_ms);
            let times = [
                plan.started_at,
                plan.refuse_streams_at,
                plan.close_idle_at,
                plan.stop_accepting_at,
                plan.answer_at,
                plan.end_at,
                STARTED_AT + Millis($stop_within_ms),
            ];
            assert!(times.is_sorted(), "{plan:?}");
        }
    };
}

the_times_are_in_order!(the_times_of_eight_seconds_are_in_order: 8_000);
the_times_are_in_order!(the_times_of_a_minute_are_in_order: 60_000);
the_times_are_in_order!(the_times_of_a_second_are_in_order: 1_000);
the_times_are_in_order!(the_times_of_a_millisecond_are_in_order: 1);

#[test]
fn a_request_is_admitted_only_if_its_time_limit_ends_before_the_final_responses() {
    let plan = plan(8_000);
    assert!(plan.admits_plain(plan.answer_at - Millis(100)));
    assert!(!plan.admits_plain(plan.answer_at - Millis(99)));
    assert!(!plan.admits_plain(Millis::MAX));
}

/// Guards against streams that are refused before their callers can go elsewhere.
#[test]
fn a_stream_is_admitted_until_the_balancer_has_noticed() {
    let plan = plan(8_000);
    assert!(plan.admits_stream(STARTED_AT + Millis(2_799)));
    assert!(!plan.admits_stream(STARTED_AT + Millis(2_800)));
}

/// Guards against an end that leaves no time for the final responses to be sent.
#[test]
fn the_final_responses_have_time_before_the_end() {
    let plan = plan(8_000);
    assert!(plan.end_at - plan.answer_at >= Millis(300));
    assert!(STARTED_AT + Millis(8_000) - plan.end_at >= Millis(300));
}
