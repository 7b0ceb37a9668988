//! When callers leave, and by when their requests have to start.

use carawayseam_dispatch::{CallerTime, Work};
use carawayseam_types::Millis;

const WORK: Work = Work {
    first_event: Millis(100),
    total: Millis(1_100),
};

macro_rules! has_to_start_before {
    ($name:ident: $caller:expr => $range:expr) => {
        #[test]
        fn $name() {
            let latest = $caller.latest_start(WORK).0;
            assert!($range.contains(&latest), "{latest}");
        }
    };
}

// The way to the caller and back takes time, but not a share of the caller's.
has_to_start_before!(a_response_is_complete_before_the_deadline:
    CallerTime::until(Millis(10_000)) => 8_800..8_900);
has_to_start_before!(a_first_event_comes_before_the_caller_of_a_stream_leaves:
    CallerTime::until(Millis(10_000)).with_next_event_by(Millis(2_000)) => 1_800..1_900);
has_to_start_before!(a_long_response_is_complete_before_the_deadline_of_its_stream:
    CallerTime::until(Millis(2_500)).with_next_event_by(Millis(2_000)) => 1_300..1_400);
has_to_start_before!(a_deadline_before_the_next_event_binds:
    CallerTime::until(Millis(1_500)).with_next_event_by(Millis(2_000)) => 300..400);
has_to_start_before!(a_caller_with_less_time_than_the_work_takes_cannot_be_answered:
    CallerTime::until(Millis(900)) => 0..1);

#[test]
fn a_refusal_reaches_its_caller_before_it_leaves() {
    let caller = CallerTime::until(Millis(10_000)).with_next_event_by(Millis(2_000));
    assert!((1_850..2_000).contains(&caller.latest_response().0));
}

/// The protocol promises that callers honour a retry delay up to a third of the time they have left.
#[test]
fn a_caller_returns_within_a_third_of_its_time() {
    let caller = CallerTime::until(Millis(7_000)).with_next_event_by(Millis(2_000));
    assert_eq!(caller.latest_return(Millis(1_000)), Millis(3_000));
}
