//! Tests of the decision whether a server has crashed.

use carawayseam_dispatch::crash_check::{CrashCheck, CrashVerdict};

/// Returns the verdict after connection attempts of which each was accepted or not.
fn verdict(attempts: &[bool]) -> CrashVerdict {
    let mut check = CrashCheck::default();
    let verdicts = attempts.iter().map(|was_accepted| check.record(*was_accepted));
    verdicts.last().expect("there is an attempt")
}

/// Guards against a crash that is not counted because the server's listener closed a moment after its connections
/// (a fourth server was reached, beside load).
#[test]
fn a_server_that_accepts_for_a_moment_only_has_crashed() {
    assert_eq!(verdict(&[true]), CrashVerdict::Undecided);
    assert_eq!(verdict(&[true, false]), CrashVerdict::Crashed);
    assert_eq!(verdict(&[true, true, false]), CrashVerdict::Crashed);
}

#[test]
fn a_server_that_refuses_at_once_has_crashed() {
    assert_eq!(verdict(&[false]), CrashVerdict::Crashed);
}

#[test]
fn a_server_that_goes_on_accepting_lives() {
    assert_eq!(verdict(&[true, true, true]), CrashVerdict::Alive);
}

#[test]
fn the_attempts_are_apart() {
    let mut check = CrashCheck::default();
    let mut pauses = Vec::new();
    for _ in 0..3 {
        pauses.push(check.pause().0);
        check.record(true);
    }
    assert_eq!(pauses, [0, 40, 160]);
}
