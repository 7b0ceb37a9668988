//! Claims of slots that one host owns: tiers, confirmations, returns and changes of the owner.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod support;

use std::collections::BTreeMap;

use carawayseam_dispatch::Dispatcher;
use carawayseam_dispatch::engine::ServerLoad;
use carawayseam_dispatch::group::SlotOwners;
use carawayseam_dispatch::load::{HostLoad, WaitingCount};
use carawayseam_dispatch::server_loads::{Measurement, OwnerKey};
use carawayseam_types::{EngineKey, HostId, Incarnation, Millis, Tier, ZoneId};
use support::{dispatcher, id};

const HIGH: Tier = Tier(0);
const LOW: Tier = Tier(2);

fn key() -> EngineKey {
    EngineKey::from(&id("a"))
}

fn host(number: usize) -> HostId {
    format!("front-{number}").parse().expect("a valid name")
}

const fn running(running: u32) -> ServerLoad {
    ServerLoad {
        running,
        prompt_ahead: 0,
    }
}

fn claim(owner: &mut Dispatcher, now: u64, number: usize, request_id: u64, tier: Tier) -> bool {
    let claimed = owner.grant_claim(Millis(now), &host(number), request_id, key(), tier);
    claimed.expect("the server is known").is_granted
}

fn confirm(owner: &mut Dispatcher, now: u64, number: usize, process: (u64, u64), as_of: u64, held: u32) {
    let (incarnation, seq) = process;
    let engines = if held == 0 {
        Vec::new()
    } else {
        vec![(key(), running(held))]
    };
    owner.confirm_held_slots(
        Millis(now),
        &host(number),
        (Incarnation(incarnation), seq),
        as_of,
        engines,
    );
}

fn used(owner: &Dispatcher, now: u64) -> u32 {
    owner.dump(Millis(now))[0].used
}

/// Guards against a lower tier that takes the slot for which a higher one was just refused.
#[test]
fn a_free_slot_goes_to_the_higher_tier_that_was_refused() {
    let mut owner = dispatcher(&[("a", 1)]);
    assert!(claim(&mut owner, 10, 1, 1, LOW));
    assert!(!claim(&mut owner, 20, 2, 1, HIGH));
    owner.release_slot(Millis(30), &host(1), key());
    assert!(!claim(&mut owner, 40, 3, 1, LOW), "the slot is kept");
    assert!(
        !owner.may_use_own_slot(Millis(40), &id("a"), LOW),
        "also from the owner itself"
    );
    assert!(owner.may_use_own_slot(Millis(40), &id("a"), HIGH));
    assert!(claim(&mut owner, 50, 2, 2, HIGH));
    owner.release_slot(Millis(60), &host(2), key());
    assert!(claim(&mut owner, 70, 3, 2, LOW), "the higher tier got its slot");
}

/// Guards against a slot that stays free for a host that no longer wants it.
#[test]
fn a_refused_claim_keeps_a_slot_for_a_tenth_of_a_second() {
    let mut owner = dispatcher(&[("a", 1)]);
    assert!(claim(&mut owner, 10, 1, 1, LOW));
    assert!(!claim(&mut owner, 20, 2, 1, HIGH));
    owner.release_slot(Millis(30), &host(1), key());
    assert!(!claim(&mut owner, 120, 3, 1, LOW));
    assert!(claim(&mut owner, 121, 3, 2, LOW));
}

/// Guards against a host whose refused claim of a lower tier ends the precedence of its higher one.
#[test]
fn a_refused_claim_of_a_lower_tier_does_not_replace_one_of_a_higher_tier() {
    let mut owner = dispatcher(&[("a", 1)]);
    assert!(claim(&mut owner, 10, 1, 1, LOW));
    assert!(!claim(&mut owner, 20, 2, 1, HIGH));
    assert!(!claim(&mut owner, 21, 2, 2, LOW));
    owner.release_slot(Millis(30), &host(1), key());
    assert!(!claim(&mut owner, 40, 3, 1, LOW));
    assert!(claim(&mut owner, 50, 2, 3, HIGH));
}

/// Guards against lower tiers that start before higher ones at other hosts while the servers are overloaded.
#[test]
fn at_one_and_a_half_times_the_load_no_lower_tier_starts_while_a_higher_one_is_refused() {
    const SLOTS: u32 = 8;
    const RUN_MS: u64 = 400;
    let mut owner = dispatcher(&[("a", SLOTS)]);
    let mut ends: Vec<(u64, usize)> = Vec::new();
    let mut waiting: Vec<(Tier, usize)> = Vec::new();
    let (mut started, mut high_waits, mut next_id) = ([0_u32; 2], 0_u64, 0);
    // 8 slots of 400 ms serve 20 requests a second; 30 arrive, a third of them of the higher tier.
    for now in (0..20_000_u64).step_by(10) {
        if now % 500 == 0 {
            // The slots are held by the hosts that run the requests.
            for number in 0..30 {
                let held = ends.iter().filter(|(_, by)| *by == number).count() as u32;
                confirm(&mut owner, now, number, (1, now / 500 + 1), next_id, held);
            }
        }
        let (done, rest): (Vec<_>, Vec<_>) = ends.into_iter().partition(|(at, _)| *at <= now);
        ends = rest;
        for (_, number) in done {
            owner.release_slot(Millis(now), &host(number), key());
        }
        if now % 100 == 0 {
            for ix in 0..3 {
                let tier = if ix == 0 { HIGH } else { LOW };
                waiting.push((tier, ((now / 100 + ix * 7) % 30) as usize));
            }
        }
        // Each claims again every 50 ms; hosts do not know of each other, so lower tiers may claim first.
        let mut refused_high = false;
        let mut still = Vec::new();
        for (ix, (tier, number)) in waiting.into_iter().rev().enumerate() {
            let is_due = (now / 10 + ix as u64).is_multiple_of(5);
            next_id += u64::from(is_due);
            if is_due && claim(&mut owner, now, number, next_id, tier) {
                assert!(tier == HIGH || !refused_high, "a lower tier started at {now} ms");
                started[usize::from(tier == LOW)] += 1;
                ends.push((now + RUN_MS, number));
            } else {
                refused_high |= is_due && tier == HIGH;
                high_waits += u64::from(tier == HIGH);
                still.push((tier, number));
            }
        }
        still.reverse();
        waiting = still;
        assert!(ends.len() <= SLOTS as usize, "more slots are granted than exist");
        let above = waiting.iter().filter(|(tier, _)| *tier == HIGH).count();
        assert!(above < 10, "{above} requests of the higher tier wait at {now} ms");
    }
    println!("started {started:?}, ticks of waiting of the higher tier {high_waits}");
    assert!(started[0] >= 195 && started[1] >= 150, "{started:?}");
}

/// Guards against a slot that leaks when the datagram that returns it is lost.
#[test]
fn a_slot_whose_return_is_lost_is_free_again_at_the_next_confirmation() {
    let mut owner = dispatcher(&[("a", 1)]);
    assert!(claim(&mut owner, 10, 1, 1, LOW));
    assert!(!claim(&mut owner, 20, 2, 1, LOW));
    confirm(&mut owner, 500, 1, (1, 1), 1, 0);
    assert!(claim(&mut owner, 510, 2, 2, LOW));
}

/// Guards against the same for a host that sends no confirmation, since it uses no server of this owner any more.
#[test]
fn a_slot_that_is_not_confirmed_is_free_again() {
    let mut owner = dispatcher(&[("a", 1)]);
    assert!(claim(&mut owner, 10, 1, 1, LOW));
    owner.tick(Millis(1_510));
    assert!(!claim(&mut owner, 1_510, 2, 1, LOW));
    owner.tick(Millis(1_511));
    assert!(claim(&mut owner, 1_511, 2, 2, LOW));
}

/// Guards against a lost return that leaks its slot as long as the host claims others.
#[test]
fn later_claims_do_not_keep_a_slot_whose_return_was_lost() {
    let mut owner = dispatcher(&[("a", 2)]);
    assert!(claim(&mut owner, 0, 1, 1, LOW));
    for (request_id, now) in (100..5_000_u64).step_by(100).enumerate() {
        owner.tick(Millis(now));
        assert!(claim(&mut owner, now, 1, request_id as u64 + 2, LOW));
        owner.release_slot(Millis(now + 50), &host(1), key());
    }
    owner.tick(Millis(5_000));
    assert_eq!(used(&owner, 5_000), 0);
}

/// Guards against the same for slots that the host confirmed before, and against a peer that is lost while it holds slots.
#[test]
fn later_claims_do_not_keep_slots_that_were_confirmed_once() {
    let mut owner = dispatcher(&[("a", 3)]);
    confirm(&mut owner, 0, 1, (1, 1), 0, 2);
    assert!(claim(&mut owner, 1_000, 1, 1, LOW));
    owner.tick(Millis(1_501));
    assert_eq!(used(&owner, 1_501), 1);
    owner.tick(Millis(2_501));
    assert_eq!(used(&owner, 2_501), 0);
}

/// Guards against slots of an earlier process that the confirmations of its successor keep: its requests are numbered anew.
#[test]
fn slots_of_an_earlier_process_are_free_again() {
    let mut owner = dispatcher(&[("a", 2)]);
    assert!(claim(&mut owner, 0, 1, 5_000, LOW));
    for seq in 1..8 {
        confirm(&mut owner, seq * 500, 1, (2, seq), 3, 0);
        owner.tick(Millis(seq * 500));
    }
    assert_eq!(used(&owner, 3_500), 0);
}

/// Guards against a confirmation that frees a slot which was granted after it was sent.
#[test]
fn a_confirmation_does_not_free_slots_that_were_claimed_later() {
    let mut owner = dispatcher(&[("a", 2)]);
    assert!(claim(&mut owner, 10, 1, 7, LOW));
    confirm(&mut owner, 12, 1, (1, 1), 6, 0);
    assert_eq!(used(&owner, 12), 1);
    confirm(&mut owner, 512, 1, (1, 2), 7, 1);
    assert_eq!(used(&owner, 512), 1);
}

/// Names the confirmations that change nothing, after one of incarnation 2 with number 5 at 1,000 ms that holds one slot.
macro_rules! outdated_confirmations {
    ($($name:ident: $process:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut owner = dispatcher(&[("a", 4)]);
                confirm(&mut owner, 1_000, 1, (2, 5), 0, 1);
                confirm(&mut owner, 1_100, 1, $process, u64::MAX, 3);
                assert_eq!(used(&owner, 1_100), 1);
            }
        )*
    };
}

outdated_confirmations! {
    a_replayed_confirmation: (2, 5);
    an_earlier_confirmation: (2, 4);
    a_confirmation_of_an_earlier_process: (1, u64::MAX);
}

/// Guards against a host that is ignored for ever, because its time of day stepped back while it restarted.
#[test]
fn a_process_that_started_at_an_earlier_time_is_accepted_after_a_pause() {
    let mut owner = dispatcher(&[("a", 4)]);
    confirm(&mut owner, 1_000, 1, (2, 5), 0, 1);
    confirm(&mut owner, 3_501, 1, (1, 1), 0, 2);
    assert_eq!(used(&owner, 3_501), 2);
}

/// Guards against two slots for one claim that arrived twice, of which only one is returned.
#[test]
fn a_claim_that_arrives_twice_takes_one_slot() {
    let mut owner = dispatcher(&[("a", 1)]);
    assert!(claim(&mut owner, 10, 1, 1, LOW));
    assert!(claim(&mut owner, 11, 1, 1, LOW), "the same answer");
    assert_eq!(used(&owner, 11), 1);
    owner.release_slot(Millis(20), &host(1), key());
    assert_eq!(used(&owner, 20), 0);
}

/// Guards against sums that overflow: peers may state any number.
#[test]
fn absurd_confirmations_and_announcements_overflow_nothing() {
    let absurd = ServerLoad {
        running: u32::MAX,
        prompt_ahead: u32::MAX,
    };
    let mut owner = dispatcher(&[("a", 4)]);
    for seq in 1..4 {
        for number in 1..5 {
            let engines = vec![(key(), absurd); 40];
            let process = (Incarnation(u64::MAX), seq);
            owner.confirm_held_slots(Millis(seq), &host(number), process, u64::MAX, engines.clone());
            let waiting = WaitingCount {
                backend: "guides".parse().expect("a valid name"),
                tier: HIGH,
                count: u32::MAX,
            };
            let load = HostLoad {
                engines,
                waiting: vec![waiting; 20],
            };
            owner.record_peer_load(Millis(seq), &host(number + 10), load);
        }
    }
    assert!(!claim(&mut owner, 5, 9, u64::MAX, HIGH));
    owner.tick(Millis(u64::MAX));
    assert_eq!(used(&owner, u64::MAX), 0);
}

fn zone(number: usize) -> ZoneId {
    format!("zone-{}", number % 3).parse().expect("a valid name")
}

fn owners(hosts: impl Iterator<Item = usize>) -> SlotOwners {
    let hosts: Vec<usize> = hosts.collect();
    let zones: BTreeMap<HostId, ZoneId> = hosts
        .iter()
        .map(|number| (host(*number), zone(*number)))
        .collect();
    SlotOwners::by_zone(zones.keys().cloned().collect(), &zones)
}

fn owner_of(owners: &SlotOwners, server: usize) -> usize {
    let owner = owners
        .owner(&format!("s-{server}"), Some(&zone(server)))
        .expect("an owner");
    owner.as_str()["front-".len()..].parse().expect("a number")
}

/// Guards against owners in other zones, which a partition separates from their servers, and against owners that change
/// though neither they nor the server did.
#[test]
fn the_owner_of_a_server_is_a_host_of_its_zone_and_changes_only_if_lost() {
    let all = owners(0..129);
    let without = owners((0..129).filter(|number| *number != 5));
    for server in 0..300 {
        let owner = owner_of(&all, server);
        assert_eq!(owner % 3, server % 3);
        let next = owner_of(&without, server);
        assert_eq!(next % 3, server % 3);
        assert!(owner == 5 || next == owner);
    }
    let other_zones = owners((0..129).filter(|number| number % 3 != 1));
    assert_ne!(
        owner_of(&other_zones, 1) % 3,
        1,
        "a zone without hosts has owners in others"
    );
    assert!(SlotOwners::default().owner("s-1", Some(&zone(1))).is_none());
    assert!(!SlotOwners::of_any_zone(vec![host(1)]).takes_claims());
}

/// Guards against servers that are overfilled after their owner was lost: the next one learns what is held within half a
/// second.
#[test]
fn the_next_owner_learns_the_slots_that_are_held() {
    let mut next = dispatcher(&[("a", 6)]);
    for number in 1..4 {
        confirm(&mut next, 500, number, (1, 9), 70, 2);
    }
    assert!(!claim(&mut next, 510, 4, 1, LOW));
    next.release_slot(Millis(520), &host(2), key());
    assert!(claim(&mut next, 530, 4, 2, LOW));
}

/// Guards against a new owner that grants slots which peers hold and have not confirmed to it yet.
#[test]
fn the_next_owner_counts_what_the_former_one_measured() {
    let mut next = dispatcher(&[("a", 6)]);
    let measurement = Measurement {
        engine: key(),
        owner: OwnerKey::from(&host(9)),
        version: 1,
        age: Millis(200),
        load: running(5),
    };
    next.record_measurements(Millis(1_000), &[measurement]);
    next.set_owned_slots(|_, _| true);
    assert!(claim(&mut next, 1_010, 1, 1, LOW), "one of six is free");
    assert!(!claim(&mut next, 1_020, 2, 1, LOW));
    next.release_slot(Millis(1_030), &host(3), key());
    assert!(claim(&mut next, 1_040, 2, 2, LOW), "a peer's request has ended");
    confirm(&mut next, 1_400, 4, (1, 1), 70, 1);
    next.tick(Millis(1_700));
    assert_eq!(
        used(&next, 1_700),
        3,
        "the confirmations have replaced the measurement"
    );
}
