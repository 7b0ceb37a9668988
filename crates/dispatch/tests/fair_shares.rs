//! Which organisation loses requests when the servers of a backend cannot answer all in time.

#[path = "support/organisations.rs"]
mod organisations;
#[path = "support/refusals.rs"]
mod refusals;
mod support;

use carawayseam_dispatch::catalog::Organisation;
use carawayseam_dispatch::fair_shares::{ShareDump, ShareWeights};
use carawayseam_dispatch::{Action, AttemptEnd, CallerTime, Catalog, Configuration, Dispatcher, Job, Ticket};
use carawayseam_types::Millis;
use organisations::{Burst, Usage, assert_ratio, flood, job_of, name, organisation};
use refusals::refused;
use support::{dispatcher, job, started};

/// An organisation gets at least this fraction of what it asks for, or of its share if it asks for more.
const MIN_FRACTION: f64 = 0.9;
const SEEDS: std::ops::Range<u64> = 0..3;
/// Half-life of past work.
const HALF_LIFE_MS: u64 = 3_000;
/// Waiting requests of [`job`] that one slot can serve in time, besides the one that runs.
const QUEUE: usize = 8;

fn weights(quotas: &[(&str, Option<f64>)]) -> ShareWeights {
    let organisations = quotas
        .iter()
        .map(|(text, quota)| organisation(&name(text), *quota));
    ShareWeights::new(&organisations.collect::<Vec<Organisation>>())
}

/// Returns a dispatcher with one server and organisations with these quotas.
fn sharing(slots: u32, quotas: &[(&str, Option<f64>)]) -> Dispatcher {
    let mut dispatcher = dispatcher(&[("s", slots)]);
    dispatcher.set_share_weights(weights(quotas));
    dispatcher
}

const EQUAL: [(&str, Option<f64>); 2] = [("a", Some(100.0)), ("b", Some(100.0))];

/// Returns whether a request was refused because of its organisation's share, if it was refused.
fn over_share(actions: &[Action], wanted: Ticket) -> Option<bool> {
    actions.iter().find_map(|action| match action {
        Action::Refuse {
            ticket,
            is_over_share,
            ..
        } if *ticket == wanted => Some(*is_over_share),
        _ => None,
    })
}

/// Sends requests of one organisation until the queue of one slot is full; returns those that wait.
fn fill(dispatcher: &mut Dispatcher, organisation: &str, tier: u8) -> Vec<Ticket> {
    let sent = (0..=QUEUE).map(|_| {
        let (ticket, actions) = dispatcher.submit(Millis(1), job_of(organisation, 1, tier));
        assert!(refused(&actions).is_empty(), "the queue has room");
        ticket
    });
    sent.skip(1).collect()
}

/// Guards against an organisation that displaces the others because it was first to fill the queue.
#[test]
fn a_late_request_takes_the_turn_of_the_latest_of_the_organisation_with_the_most_work() {
    let mut dispatcher = sharing(1, &EQUAL);
    let waiting = fill(&mut dispatcher, "a", 0);
    let (_, actions) = dispatcher.submit(Millis(2), job_of("b", 2, 0));
    let last = waiting[QUEUE - 1];
    assert_eq!(over_share(&actions, last), Some(true));
    assert_eq!(refused(&actions).len(), 1, "one place is enough");
}

/// Guards against a refusal without a time, or with a time that is promised to another.
#[test]
fn a_displaced_request_is_promised_the_next_place() {
    let promised = |quotas: &[(&str, Option<f64>)]| {
        let mut dispatcher = sharing(1, quotas);
        fill(&mut dispatcher, "a", 0);
        let (_, actions) = dispatcher.submit(Millis(2), job_of("b", 2, 0));
        let (_, next) = dispatcher.submit(Millis(2), job_of("a", 2, 0));
        (refused(&actions)[0].1, refused(&next)[0].1)
    };
    let (first, second) = promised(&EQUAL);
    assert!(first < second);
    assert_eq!((first, second), promised(&EQUAL[..1]), "as without shares");
}

/// Guards against shares that are enforced where fewer than two organisations have a quota.
#[test]
fn shares_are_not_enforced_with_fewer_than_two_quotas() {
    for quotas in [
        vec![],
        vec![("a", None), ("b", None)],
        vec![("a", None), ("b", Some(100.0))],
    ] {
        let mut dispatcher = sharing(1, &quotas);
        fill(&mut dispatcher, "a", 0);
        let (late, actions) = dispatcher.submit(Millis(2), job_of("b", 2, 0));
        assert_eq!(over_share(&actions, late), Some(false), "{quotas:?}");
        assert!(dispatcher.share_dump(Millis(2)).is_empty(), "{quotas:?}");
    }
}

/// Guards against an order of starts that depends on shares while all requests can be answered.
#[test]
fn nothing_changes_while_all_can_be_answered_in_time() {
    let starts = |quotas: &[(&str, Option<f64>)]| {
        let mut dispatcher = sharing(1, quotas);
        let mut actions = Vec::new();
        for (now, organisation) in (1..).zip(["a", "a", "a", "b", "a", "b", "a"]) {
            // Later requests of the same organisation may have to start earlier.
            let caller = CallerTime::until(Millis(3_000 - 50 * now));
            let job = Job {
                caller,
                ..job_of(organisation, now, 0)
            };
            actions.extend(dispatcher.submit(Millis(now), job).1);
        }
        let mut order: Vec<Ticket> = Vec::new();
        while let Some((ticket, _)) = started(&actions).pop() {
            assert!(refused(&actions).is_empty());
            order.push(ticket);
            let now = 10 + 200 * order.len() as u64;
            actions = dispatcher.record_end(Millis(now), ticket, AttemptEnd::Complete);
        }
        order
    };
    assert_eq!(starts(&EQUAL).len(), 7);
    assert_eq!(starts(&EQUAL), starts(&[]));
}

/// Guards against a higher tier that loses a place to a lower one because of shares.
#[test]
fn a_higher_tier_gives_up_no_place_to_a_lower_one() {
    let mut dispatcher = sharing(1, &EQUAL);
    fill(&mut dispatcher, "a", 0);
    let (late, actions) = dispatcher.submit(Millis(2), job_of("b", 2, 1));
    assert_eq!(over_share(&actions, late), Some(false));
    assert_eq!(refused(&actions).len(), 1);
}

/// Guards against a higher tier that waits for a lower one because its organisation has much work.
#[test]
fn a_higher_tier_of_an_organisation_over_its_share_comes_first() {
    let mut dispatcher = sharing(1, &EQUAL);
    let (running, _) = dispatcher.submit(Millis(1), job_of("a", 1, 1));
    let waiting: Vec<Ticket> = (0..QUEUE)
        .map(|_| dispatcher.submit(Millis(1), job_of("b", 1, 1)).0)
        .collect();
    let (urgent, actions) = dispatcher.submit(Millis(2), job_of("a", 2, 0));
    assert_eq!(over_share(&actions, waiting[QUEUE - 1]), Some(false));
    let actions = dispatcher.record_end(Millis(3), running, AttemptEnd::Complete);
    assert_eq!(started(&actions), [(urgent, "s")]);
}

/// Guards against requests that are refused in vain, for one that is late all the same.
#[test]
fn a_request_that_is_late_without_the_others_displaces_none() {
    let mut dispatcher = sharing(1, &EQUAL);
    fill(&mut dispatcher, "a", 0);
    let late = Job {
        caller: CallerTime::until(Millis(200)),
        ..job_of("b", 2, 0)
    };
    let (ticket, actions) = dispatcher.submit(Millis(2), late);
    assert_eq!(refused(&actions).len(), 1);
    assert_eq!(over_share(&actions, ticket), Some(false));
}

/// Guards against short requests that are refused although refusing a longer one alone is enough.
#[test]
fn no_more_requests_give_way_than_needed() {
    let mut dispatcher = sharing(1, &[("a", Some(100.0)), ("b", Some(100.0)), ("c", Some(100.0))]);
    let long = |organisation| Job {
        expected_events: 60,
        ..job_of(organisation, 1, 0)
    };
    dispatcher.submit(Millis(1), job_of("a", 1, 0));
    let (longest, _) = dispatcher.submit(Millis(1), long("a"));
    // It has more work of its organisation ahead of it, but its place alone is not enough.
    dispatcher.submit(Millis(1), job_of("a", 1, 0));
    dispatcher.submit(Millis(1), long("c"));
    let (_, actions) = dispatcher.submit(Millis(2), job_of("b", 2, 0));
    assert_eq!(over_share(&actions, longest), Some(true), "{actions:?}");
    assert_eq!(refused(&actions).len(), 1, "{actions:?}");
}

/// Guards against equal shares of organisations with different quotas.
#[test]
fn the_weight_of_an_organisation_is_the_rate_of_its_quota() {
    let quotas = [("a", Some(300.0)), ("b", Some(100.0)), ("c", None)];
    let mut dispatcher = sharing(8, &quotas);
    let done = flood(
        &mut dispatcher,
        &[("a", 20, 10), ("b", 20, 10), ("c", 20, 10)],
        1..15_000,
    );
    assert_ratio(&done, "a", "b", 3.0);
    // An organisation without a quota has the mean weight.
    assert_ratio(&done, "c", "b", 2.0);
}

/// Guards against an organisation with long requests that gets as many as one with short ones.
#[test]
fn shares_are_of_work_and_not_of_requests() {
    let mut dispatcher = sharing(8, &EQUAL);
    let done = flood(&mut dispatcher, &[("a", 20, 40), ("b", 10, 10)], 1..15_000);
    assert_ratio(&done, "a", "b", 1.0);
}

/// Guards against shares that work as caps, so that servers are idle.
#[test]
fn an_organisation_that_is_alone_uses_all_servers() {
    let alone = |quotas: &[(&str, Option<f64>)]| {
        let mut dispatcher = sharing(8, quotas);
        flood(&mut dispatcher, &[("a", 10, 10)], 1..5_000)[&name("a")]
    };
    let used = alone(&EQUAL);
    assert!(used >= 0.9 * 8.0 * 5_000.0, "{used}");
    assert!((used - alone(&[])).abs() < 1.0);
}

/// Guards against a burst that is held against its organisation for long.
#[test]
fn a_burst_is_soon_forgiven() {
    let mut dispatcher = sharing(8, &EQUAL);
    flood(&mut dispatcher, &[("a", 10, 10)], 1..10_000);
    let later = 10_000 + 4 * HALF_LIFE_MS;
    let senders = [("a", 10, 10), ("b", 10, 10)];
    let done = flood(&mut dispatcher, &senders, later..later + 5_000);
    assert_ratio(&done, "a", "b", 1.0);
}

/// Guards against an unused share that is saved up.
#[test]
fn an_idle_organisation_gets_no_more_than_its_share_for_long() {
    let mut dispatcher = sharing(8, &EQUAL);
    flood(&mut dispatcher, &[("a", 10, 10)], 1..30_000);
    let senders = [("a", 10, 10), ("b", 10, 10)];
    let catching_up = 30_000 + 2 * HALF_LIFE_MS;
    flood(&mut dispatcher, &senders, 30_000..catching_up);
    let done = flood(
        &mut dispatcher,
        &senders,
        catching_up + 2_000..catching_up + 10_000,
    );
    assert_ratio(&done, "a", "b", 1.0);
}

fn work_of(dump: &[ShareDump], organisation: &str) -> Option<f64> {
    let of = dump.iter().find(|share| share.organisation == name(organisation));
    of.map(|share| share.work_ms)
}

/// Guards against past work that is lost, or weights that stay, when an operator changes a quota.
#[test]
fn a_changed_quota_changes_the_weight_and_keeps_the_past_work() {
    let mut dispatcher = sharing(8, &EQUAL);
    dispatcher.submit(Millis(1), job_of("a", 1, 0));
    dispatcher.submit(Millis(1), job_of("b", 1, 0));
    let before = dispatcher.share_dump(Millis(1));
    dispatcher.set_share_weights(weights(&[("a", Some(300.0)), ("b", Some(100.0))]));
    let after = dispatcher.share_dump(Millis(1));
    assert_eq!(work_of(&before, "a"), work_of(&after, "a"));
    let entitled: Vec<f64> = after.iter().map(|share| share.weight_share).collect();
    assert_eq!(entitled, [0.75, 0.25]);
    assert!(after.iter().all(|share| (share.work_share - 0.5).abs() < 1e-9));
}

/// Guards against state that grows with organisations that come and go, or with names that are not configured.
#[test]
fn only_organisations_of_the_configuration_have_entries() {
    let mut dispatcher = sharing(100, &[("a", Some(1.0)), ("b", Some(1.0)), ("c", Some(1.0))]);
    for organisation in ["a", "b", "c", "unknown-1", "unknown-2"] {
        dispatcher.submit(Millis(1), job_of(organisation, 1, 0));
    }
    dispatcher.submit(Millis(1), job(1, 0));
    assert_eq!(dispatcher.share_dump(Millis(1)).len(), 3);
    dispatcher.set_share_weights(weights(&EQUAL));
    let dump = dispatcher.share_dump(Millis(1));
    assert_eq!((dump.len(), work_of(&dump, "c")), (2, None));
    dispatcher.set_share_weights(weights(&EQUAL[..1]));
    assert!(
        dispatcher.share_dump(Millis(1)).is_empty(),
        "shares are not enforced"
    );
}

/// Guards against work that is held against an organisation although no server did it.
#[test]
fn unused_work_of_an_attempt_is_given_back() {
    let used_after = |end, elapsed: u64| {
        let mut dispatcher = sharing(8, &EQUAL);
        let (ticket, _) = dispatcher.submit(Millis(1), job_of("a", 1, 0));
        dispatcher.record_end(Millis(1 + elapsed), ticket, end);
        work_of(&dispatcher.share_dump(Millis(1 + elapsed)), "a").expect("an entry")
    };
    let complete = used_after(AttemptEnd::Complete, 100);
    assert!((255.0..268.0).contains(&complete), "{complete}");
    for end in [AttemptEnd::Cancelled, AttemptEnd::Unresponsive] {
        let used = used_after(end, 100);
        assert!((95.0..=100.0).contains(&used), "{end}: {used}");
    }
    for end in [AttemptEnd::NoSlot, AttemptEnd::Rejected, AttemptEnd::Unreachable] {
        let used = used_after(end, 100);
        assert!(used < 0.1, "{end}: {used}");
    }
    // More was used than expected.
    assert!(used_after(AttemptEnd::Cancelled, 1_000) > 200.0);
}

/// Guards against waiting requests that count for their organisation after they have gone.
#[test]
fn a_request_that_was_withdrawn_or_refused_counts_nothing() {
    let mut dispatcher = sharing(1, &EQUAL);
    for ticket in fill(&mut dispatcher, "a", 0) {
        dispatcher.withdraw(ticket);
    }
    let work = work_of(&dispatcher.share_dump(Millis(1)), "a");
    assert_eq!(work, Some(268.0), "the one that runs");
}

/// Guards against requests of public routes that displace organisations without limit.
#[test]
fn requests_without_an_organisation_share_like_one_of_mean_weight() {
    let mut dispatcher = sharing(1, &EQUAL);
    for _ in 0..=QUEUE {
        let (_, actions) = dispatcher.submit(Millis(1), job(1, 0));
        assert!(refused(&actions).is_empty());
    }
    let (late, actions) = dispatcher.submit(Millis(2), job_of("b", 2, 0));
    assert_eq!(over_share(&actions, late), None);
    assert_eq!(refused(&actions).len(), 1);
}

/// Guards against weights that leave out an organisation whose keys were taken away.
#[test]
fn a_configuration_gives_the_weights_of_all_its_organisations() {
    let mut without_keys = organisation(&name("b"), Some(50.0));
    without_keys.keys.clear();
    let organisations = vec![organisation(&name("a"), Some(100.0)), without_keys];
    let catalog = Catalog::new(Configuration {
        organisations: Some(organisations.clone()),
        ..Configuration::default()
    });
    assert!(catalog.share_weights().is_enabled());
    assert_eq!(*catalog.share_weights(), ShareWeights::new(&organisations));
}

fn configure(dispatcher: &mut Dispatcher, organisations: &[Organisation]) {
    dispatcher.set_share_weights(ShareWeights::new(organisations));
}

/// Checks what each organisation gets during a burst, and that the servers stay in use.
fn check_burst(burst: &Burst) {
    for seed in SEEDS {
        let usage = organisations::run(seed, burst.clone(), configure);
        let total: f64 = usage.iter().map(|organisation| organisation.served).sum();
        for (number, Usage { asked, served, share }) in usage.iter().enumerate() {
            println!(
                "seed {seed}, org-{number}: asked {:.2}, served {:.2} of its share; {:.1}% of the work",
                asked / share,
                served / share,
                100.0 * served / total
            );
        }
        for (number, Usage { asked, served, share }) in usage.iter().enumerate() {
            let fraction = served / asked.min(*share);
            assert!(
                fraction >= MIN_FRACTION,
                "seed {seed}, org-{number}: {fraction:.3}"
            );
        }
        let (asked, share) = usage.iter().fold((0.0, 0.0), |(asked, share), organisation| {
            (asked + organisation.asked, share + organisation.share)
        });
        let used = total / share.min(asked);
        assert!(
            used >= MIN_FRACTION,
            "seed {seed}: {used:.3} of the servers are used"
        );
    }
}

/// Guards against a large organisation that displaces the others in proportion to what it sends.
#[test]
fn a_burst_of_one_large_organisation_displaces_no_others() {
    check_burst(&Burst {
        span: 4_000..24_000,
        factor: |number| if number == 0 { 6.0 } else { 1.0 },
        is_of_long_kind: false,
    });
}

/// Guards against small organisations that displace the others together, each by a short burst.
#[test]
fn a_short_burst_of_several_small_organisations_displaces_no_others() {
    check_burst(&Burst {
        span: 4_000..9_000,
        factor: |number| if number >= 10 { 7.5 } else { 1.0 },
        is_of_long_kind: false,
    });
}

/// Guards against a burst of long responses that displaces organisations whose requests are short.
#[test]
fn a_burst_of_one_kind_of_request_leaves_each_organisation_its_share() {
    check_burst(&Burst {
        span: 4_000..12_000,
        factor: |number| match number {
            0 | 3 => 7.5,
            1 | 4 | 5 => 5.0,
            _ => 1.0,
        },
        is_of_long_kind: true,
    });
}
