//! Tests that a gate honours share, deadline and contact, and stops a faulty version by itself.

mod support;

use std::sync::Arc;

use carawayseam_rollout::{Cause, GateAction, GateEvent, RolloutRecord, Served};
use carawayseam_types::{Incarnation, Millis, Permille};

use support::{
    Host, NEW, OLD, START, canary, document, finished, growing, host_id, preparing, report, rolled_back,
    whole,
};

const GOOD: (Served, u64) = (Served::Whole, 40);

/// Defines a test that a host applying a record picks the new version for `$min` to `$max` of 1000 requests.
macro_rules! picks {
    ($name:ident, $record:expr, $route:literal, $min:literal..=$max:literal) => {
        #[test]
        fn $name() {
            let mut host = Host::following($record);
            let new = host.count_new($route, 1_000);
            assert!(($min..=$max).contains(&new), "{new} of 1000");
        }
    };
}

picks!(
    picks_none_while_preparing,
    preparing().into_record(),
    "balance",
    0..=0
);
picks!(
    picks_few_in_canary_phase,
    canary().into_record(),
    "balance",
    1..=20
);
picks!(
    no_renewals_before_idempotent_route_is_proven,
    growing(15).into_record(),
    "renew",
    0..=0
);
picks!(
    limited_picks_while_none_complete,
    whole().into_record(),
    "balance",
    8..=8
);
picks!(picks_all_when_finished, finished(), "balance", 1000..=1000);
picks!(picks_all_renewals_when_finished, finished(), "renew", 1000..=1000);
picks!(picks_none_when_rolled_back, rolled_back(), "balance", 0..=0);

/// Defines a test that a host detects a fault of the new version from its own counts.
macro_rules! detects {
    ($name:ident, $serve:expr, $cause:pat) => {
        #[test]
        fn $name() {
            let mut host = Host::following(growing(100).into_record());
            host.serve("balance", 1_500, |version, number| match version {
                OLD => (Served::Whole, 30 + number as u64 % 20),
                _ => $serve(number),
            });
            assert!(
                matches!(host.stop_cause(), Some($cause)),
                "{:?}",
                host.stop_cause()
            );
            assert_eq!(host.count_new("balance", 1_000), 0);
        }
    };
}

detects!(failures, |_| (Served::Failed, 0), Cause::MoreFailures { .. });
detects!(
    failures_after_many_good_responses,
    |number| if number < 900 { GOOD } else { (Served::Failed, 0) },
    Cause::MoreFailures { .. }
);
detects!(
    failures_of_a_third,
    |number| if number % 3 == 0 {
        (Served::Failed, 0)
    } else {
        GOOD
    },
    Cause::MoreFailures { .. }
);
detects!(
    unfinished_responses,
    |_| (Served::Unfinished, 0),
    Cause::Unfinished { .. }
);
detects!(slow_responses, |_| (Served::Whole, 300), Cause::Slower { .. });

/// Defines a test that a problem not caused by the new version does not stop it.
macro_rules! does_not_stop {
    ($name:ident, $serve:expr) => {
        #[test]
        fn $name() {
            let mut host = Host::following(growing(300).into_record());
            let serve: fn(&str, usize) -> (Served, u64) = $serve;
            host.serve("balance", 2_000, serve);
            assert_eq!(host.stop_cause(), None);
        }
    };
}

does_not_stop!(good_responses, |_, _| GOOD);
does_not_stop!(excused_attempts, |version, _| match version {
    NEW => (Served::Excused, 0),
    _ => GOOD,
});
does_not_stop!(rare_failures_of_both, |_, number| {
    if number % 40 == 0 {
        (Served::Failed, 0)
    } else {
        GOOD
    }
});
does_not_stop!(failures_of_both_versions, |_, number| match number {
    1_000..1_200 if number % 4 == 0 => (Served::Failed, 0),
    _ => GOOD,
});
does_not_stop!(slowness_of_both_versions, |_, number| match number {
    1_000..1_200 => (Served::Whole, 400),
    _ => GOOD,
});

#[test]
fn one_request_failing_twice_does_not_stop_rollout() {
    let mut host = Host::following(growing(100).into_record());
    host.serve("balance", 300, |_, _| GOOD);
    for _ in 0..2 {
        host.observe("balance", NEW, Served::Failed, 0);
    }
    host.serve("balance", 100, |_, _| GOOD);
    assert_eq!(host.stop_cause(), None);
}

#[test]
fn missing_responses_count_as_slow() {
    let mut host = Host::following(growing(300).into_record());
    host.serve("balance", 300, |_, _| GOOD);
    while host.count_new("balance", 1) + host.count_new("balance", 1) == 0 {}
    for _ in 0..40 {
        if host.pick("balance") == OLD {
            host.wait(Millis(50));
            host.observe("balance", OLD, Served::Whole, 40);
        }
    }
    host.wait(Millis::from_secs(2));
    host.wait(Millis::from_secs(2));
    assert!(
        matches!(host.stop_cause(), Some(Cause::Slower { .. })),
        "{:?}",
        host.stop_cause()
    );
}

#[test]
fn deadline_ends_rollout_without_finished_record() {
    let mut host = Host::following(whole().into_record());
    host.now = whole().record().deadline;
    host.send(GateEvent::Contact);
    assert_eq!(host.count_new("balance", 100), 0);
    host.now = START;
    host.send(GateEvent::Contact);
    assert_eq!(
        host.count_new("balance", 100),
        0,
        "a clock that steps back does not reopen the rollout"
    );
    host.send(GateEvent::Record(finished()));
    assert_eq!(
        host.count_new("balance", 100),
        100,
        "the finished record applies once received"
    );
}

#[test]
fn no_traffic_to_new_version_without_contact() {
    let mut host = Host::following(growing(500).into_record());
    host.serve("balance", 200, |_, _| GOOD);
    assert!(host.count_new("balance", 20) > 0);
    host.now += Millis::from_secs(3);
    host.send(GateEvent::Tick);
    assert_eq!(host.count_new("balance", 100), 0);
    host.wait(Millis(10));
    host.send(GateEvent::Record(finished()));
    host.now += Millis::from_secs(60);
    assert_eq!(
        host.count_new("balance", 100),
        100,
        "a finished rollout needs no contact"
    );
}

#[test]
fn stop_from_peer_applies_immediately() {
    let mut host = Host::following(growing(500).into_record());
    let cause = Cause::Slower {
        route: "renew".parse().expect("the name is valid"),
        host: host_id("entry-b"),
    };
    let move_id = document().moves[0].name.clone();
    host.send(GateEvent::PeerStopped { move_id, cause });
    assert_eq!(host.count_new("balance", 100), 0);
    host.wait(Millis(10));
    let report = host.last_report().expect("a stop is reported");
    assert!(
        report.stopped && report.finding.is_some(),
        "the report carries the stop and its finding"
    );
}

#[test]
fn stop_received_before_record_is_kept() {
    let mut host = Host::new("entry-a");
    host.send(GateEvent::Contact);
    let move_id = document().moves[0].name.clone();
    let cause = Cause::Operator;
    host.send(GateEvent::PeerStopped { move_id, cause });
    host.send(GateEvent::Record(growing(500).into_record()));
    assert_eq!(host.count_new("balance", 100), 0);
}

#[test]
fn counts_from_peers_are_evidence() {
    let mut host = Host::following(growing(100).into_record());
    host.send(GateEvent::Evidence(report("entry-b", 1, 200, 0)));
    host.wait(Millis(500));
    host.send(GateEvent::Evidence(report("entry-b", 2, 240, 0)));
    host.wait(Millis(500));
    let mut failing = report("entry-b", 3, 240, 12);
    failing.routes[1].old.whole += 60;
    host.send(GateEvent::Evidence(failing));
    assert!(
        matches!(host.stop_cause(), Some(Cause::MoreFailures { .. })),
        "{:?}",
        host.stop_cause()
    );
}

#[test]
fn backlog_after_partition_is_not_evidence() {
    let mut host = Host::following(growing(100).into_record());
    host.send(GateEvent::Evidence(report("entry-b", 1, 200, 0)));
    host.wait(Millis::from_secs(60));
    host.send(GateEvent::Evidence(report("entry-b", 2, 900, 200)));
    assert_eq!(host.stop_cause(), None);
}

#[test]
fn repeated_peer_reports_count_once() {
    let mut host = Host::following(growing(100).into_record());
    for seq in [1, 2, 1, 2, 2, 1] {
        host.send(GateEvent::Evidence(report("entry-b", seq, 10 * seq, 0)));
    }
    let mut restarted = report("entry-b", 1, 5, 0);
    restarted.incarnation = Incarnation(2);
    host.send(GateEvent::Evidence(restarted));
    host.send(GateEvent::Evidence(report("entry-b", 9, 90, 0)));
    let routes = &host.gate.dump().views[0].routes;
    assert!(routes.iter().all(|route| route.new.whole == 25), "{routes:?}");
}

#[test]
fn reports_are_rate_limited_and_ordered() {
    let mut host = Host::following(growing(100).into_record());
    host.serve("balance", 100, |_, _| GOOD);
    let reports: Vec<_> = host
        .actions
        .iter()
        .filter_map(|action| match action {
            GateAction::Report(report) => Some(report),
            _ => None,
        })
        .collect();
    assert!((10..=30).contains(&reports.len()), "{} in 10 s", reports.len());
    assert!(reports.windows(2).all(|pair| pair[0].seq < pair[1].seq));
}

#[test]
fn clock_stepping_back_does_not_suppress_reports() {
    let mut host = Host::following(growing(100).into_record());
    host.serve("balance", 10, |_, _| GOOD);
    host.now = START - Millis::from_secs(3_600);
    host.actions.clear();
    host.serve("balance", 10, |_, _| GOOD);
    assert!(host.last_report().is_some());
}

/// Defines a test that a host in phase `whole` ignores a record.
macro_rules! ignored {
    ($name:ident, $record:expr) => {
        #[test]
        fn $name() {
            let mut host = Host::following(whole().into_record());
            let record: RolloutRecord = $record;
            host.send(GateEvent::Record(record));
            assert_eq!(host.gate.dump().moves, [whole().into_record()]);
        }
    };
}

ignored!(older_record, growing(15).into_record());

#[test]
fn older_share_is_not_restored() {
    let newer = growing(15).grow(Permille::new(45), Cause::EvidenceGood, START);
    let newer = newer.expect("the share grows").into_record();
    let mut host = Host::following(newer.clone());
    host.send(GateEvent::Record(growing(15).into_record()));
    assert_eq!(host.gate.dump().moves, [newer]);
}

ignored!(newer_record_of_earlier_phase, {
    let mut record = canary().into_record();
    record.revision = finished().revision;
    record
});
ignored!(invalid_record, {
    let mut record = finished();
    record.since = record.deadline;
    record
});
ignored!(record_of_another_environment, {
    let mut record = finished();
    record.environment = "ben-slama".parse().expect("the name is valid");
    record
});

#[test]
fn document_without_rollout_supersedes_it() {
    let mut host = Host::following(growing(500).into_record());
    let mut newer = document();
    newer.moves.clear();
    host.send(GateEvent::Configure(Arc::new(newer)));
    assert_eq!(host.count_new("balance", 100), 0);
    let last = host.actions.last();
    let is_superseded = |action: &GateAction| {
        matches!(
            action,
            GateAction::Settled {
                cause: Cause::Superseded,
                ..
            }
        )
    };
    assert!(last.is_some_and(is_superseded), "{last:?}");
    let backend = "passes".parse().expect("the name is valid");
    assert_eq!(host.gate.confirmed(&backend), None);
}

#[test]
fn changed_time_limit_does_not_supersede_rollout() {
    let mut host = Host::following(finished());
    let mut newer = document();
    newer.moves[0].within = Millis::from_secs(60);
    host.send(GateEvent::Configure(Arc::new(newer)));
    assert_eq!(host.count_new("balance", 100), 100);
}

#[test]
fn share_applies_to_traffic_of_all_hosts() {
    let mut new = 0;
    for name in ["entry-a", "entry-b", "entry-c", "entry-d"] {
        let mut host = Host::new(name);
        host.send(GateEvent::Contact);
        host.send(GateEvent::Record(growing(100).into_record()));
        host.serve("balance", 1_000, |_, _| GOOD);
        new += host.gate.dump().views[0].routes[0].new.dispatched;
    }
    assert!((340..=460).contains(&new), "{new} of 4000 at a tenth");
}

#[test]
fn retry_after_failure_keeps_other_request_in_flight() {
    let mut host = Host::following(canary().into_record());
    let first = host.pick("balance");
    let second = host.pick("balance");
    assert_eq!([first.as_str(), second.as_str()], [OLD, OLD]);
    host.observe("balance", OLD, Served::Failed, 10);
    host.send(GateEvent::Dispatched {
        backend: "passes".parse().expect("a name"),
        route: "balance".parse().expect("a name"),
        version: OLD.parse().expect("a name"),
    });
    host.observe("balance", OLD, Served::Whole, 10);
    let dump = host.gate.dump();
    let counts = &dump.views[0].routes[0].old;
    assert_eq!(counts.in_flight(), 1, "{counts:?}");
}
