//! Paces that the owners of slots learn from the samples of other hosts and publish.

mod support;

use std::collections::BTreeSet;

use carawayseam_dispatch::capacity::{PaceEstimate, PaceReport, SampleMean};
use carawayseam_dispatch::{Dispatcher, EngineEntry};
use carawayseam_types::{EngineKey, HostId, Incarnation, Millis};
use support::{dispatcher, engine, id, job, started};

fn host(ix: usize) -> HostId {
    format!("front-{ix}").parse().expect("a valid name")
}

fn mean(concurrency: u32, event_ms: f64) -> SampleMean {
    SampleMean {
        concurrency,
        event_ms,
        token_ms: None,
        count: 4,
    }
}

/// Returns the host that owns the slots of "a", after other hosts told it of samples with a knee at 3.
fn owner() -> Dispatcher {
    let mut owner = dispatcher(&[("a", 6)]);
    owner.set_owned_slots(|_, _| true);
    for seq in 1..6 {
        let samples = (1..=6).map(|n| {
            (
                EngineKey::from(&id("a")),
                mean(n, 30.0 * (f64::from(n) / 3.0).max(1.0)),
            )
        });
        let samples: Vec<_> = samples.collect();
        let at = Millis(seq * 500);
        assert!(owner.record_peer_samples(at, &host(1), (Incarnation(1), seq), &samples));
    }
    owner
}

fn known(host: &Dispatcher, now: u64) -> Option<PaceEstimate> {
    let estimates = host.pace_estimates(Millis(now)).into_iter();
    estimates.map(|(_, estimate)| estimate).next()
}

/// Guards against hosts that send too few requests to a server to learn its pace, and never hear of it.
#[test]
fn a_host_without_samples_hears_the_pace_from_the_owner() {
    let reports = owner().pace_reports(Millis(3_000), &host(0), false, 8);
    let mut other = dispatcher(&[("a", 6)]);
    assert_eq!(other.record_pace_reports(Millis(3_010), &reports), 1);
    let estimate = known(&other, 3_010).expect("it heard of the pace");
    assert!((29.0..31.0).contains(&estimate.event_ms), "{estimate:?}");
    assert_eq!(estimate.soft_capacity, 3);
    let forwarded = other.pace_reports(Millis(3_110), &host(2), false, 8);
    assert_eq!(forwarded[0].age, Millis(100), "the age since it arrived");
    assert!(other.pace_reports(Millis(4_000), &host(2), false, 8).is_empty());
    assert!(known(&other, 34_000).is_none(), "the owner is lost");
}

/// Guards against replayed, false and outdated messages that change what is known.
#[test]
fn replayed_false_and_outdated_messages_change_nothing() {
    let mut owner = owner();
    let before = known(&owner, 3_000);
    let key = EngineKey::from(&id("a"));
    let replay = (Incarnation(1), 5);
    assert!(!owner.record_peer_samples(Millis(3_000), &host(1), replay, &[(key, mean(2, 500.0))]));
    for (seq, event_ms) in (6..).zip([0.0, -1.0, 1e300, f64::NAN, f64::INFINITY]) {
        let process = (Incarnation(1), seq);
        owner.record_peer_samples(Millis(3_000), &host(1), process, &[(key, mean(2, event_ms))]);
    }
    assert_eq!(known(&owner, 3_000), before);

    let report = owner.pace_reports(Millis(3_000), &host(0), false, 8)[0];
    let mut other = dispatcher(&[("a", 6)]);
    assert_eq!(other.record_pace_reports(Millis(3_000), &[report, report]), 1);
    let with = |event_ms, knee, version, age| PaceReport {
        version,
        age,
        estimate: PaceEstimate {
            event_ms,
            knee,
            ..report.estimate
        },
        ..report
    };
    let false_reports = [
        with(0.0, 3, 9_000, Millis(0)),
        with(f64::NAN, 3, 9_000, Millis(0)),
        with(30.0, 0, 9_000, Millis(0)),
        with(30.0, 3, 9_000, Millis(40_000)),
        with(90.0, 3, 1, Millis(0)),
    ];
    assert_eq!(other.record_pace_reports(Millis(3_050), &false_reports), 0);
    assert_eq!(known(&other, 3_050), Some(report.estimate));

    let restarted = EngineEntry {
        started: Some(2),
        ..engine("a", 6)
    };
    other.set_engines(Millis(3_100), vec![restarted]);
    assert_eq!(
        other.record_pace_reports(Millis(3_200), &[with(30.0, 3, 9_000, Millis(150))]),
        0
    );
    assert!(
        known(&other, 3_200).is_none(),
        "the estimate is from before the restart"
    );
}

/// Guards against samples that are sent twice, or not at all.
#[test]
fn samples_are_taken_once() {
    let mut host = dispatcher(&[("a", 6)]);
    let (_, actions) = host.submit(Millis(5), job(5, 0));
    let (ticket, _) = started(&actions)[0];
    host.record_first_event(Millis(20), ticket);
    host.record_events(Millis(100), ticket, 20.0);
    host.record_events(Millis(200), ticket, 20.0);
    let taken = host.take_samples();
    let [(_, _, samples)] = taken.as_slice() else {
        panic!("expected samples of one server, got {taken:?}");
    };
    assert_eq!((samples[0].concurrency, samples[0].count), (1, 2));
    assert!(host.take_samples().is_empty());
}

/// Guards against estimates that are never told, since others fill each message.
#[test]
fn all_estimates_are_told_in_turn() {
    let names = ["a", "b", "c", "d"];
    let mut owner = dispatcher(&names.map(|name| (name, 6)));
    owner.set_owned_slots(|_, _| true);
    for seq in 1..6 {
        let samples = names.map(|name| (EngineKey::from(&id(name)), mean(1, 30.0)));
        assert!(owner.record_peer_samples(Millis(seq * 500), &host(1), (Incarnation(1), seq), &samples));
    }
    let told: BTreeSet<EngineKey> = (0..2)
        .flat_map(|round| owner.pace_reports(Millis(3_000 + 100 * round), &host(0), false, 2))
        .map(|report| report.engine)
        .collect();
    assert_eq!(told.len(), names.len());
}
