//! Tests of the clocks.

use carawayseam_types::{Clock, Millis};

/// Guards against reports of peers whose age exceeds the time since this host booted: their time would become
/// that of the boot, so all of them would appear to be of the same moment.
#[test]
fn times_of_a_day_before_the_boot_differ_from_each_other() {
    let now = Clock::boot().now();
    let a_day_ago = now - Millis::from_secs(24 * 60 * 60);
    let an_hour_later = now - Millis::from_secs(23 * 60 * 60);
    assert!(a_day_ago < an_hour_later);
}

#[test]
fn the_boot_clock_does_not_go_back() {
    let clock = Clock::boot();
    let before = clock.now();
    assert!(clock.now() >= before);
}
