//! Schedules are drawn from their seed alone.

use std::collections::HashSet;
use std::mem::discriminant;

use carawayseam_soak::{Schedule, Size};
use carawayseam_types::Millis;

const SIZE: Size = Size {
    gateways: 5,
    servers: 4,
    length: Millis(36_000),
};

#[test]
fn a_seed_gives_the_same_schedule_again() {
    assert_eq!(Schedule::draw(11, SIZE), Schedule::draw(11, SIZE));
    assert_ne!(Schedule::draw(11, SIZE), Schedule::draw(12, SIZE));
}

#[test]
fn faults_come_in_order_and_within_the_run() {
    let schedule = Schedule::draw(11, SIZE);
    assert!(schedule.entries.is_sorted_by_key(|entry| entry.at));
    assert!(schedule.entries.iter().all(|entry| entry.at < SIZE.length));
}

#[test]
fn every_kind_of_fault_comes_up() {
    const KINDS: usize = 20;
    let seeds = 0..40;
    let entries = seeds.flat_map(|seed| Schedule::draw(seed, SIZE).entries);
    let kinds: HashSet<_> = entries.map(|entry| discriminant(&entry.fault)).collect();
    assert_eq!(kinds.len(), KINDS);
}
