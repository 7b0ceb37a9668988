//! The driver advances a rollout on evidence or on schedule, and rolls back a bad or late one.

mod support;

use carawayseam_config::OnNoEvidence;
use carawayseam_rollout::{Cause, DriverAction, DriverEvent, Phase, RolloutRecord};
use carawayseam_types::{Millis, Revision};

use support::{Holder, canary, finished, growing, host_id, preparing, report, whole};

const SECOND: Millis = Millis::from_secs(1);

/// Drives a rollout to its end with a report each second and returns the last record.
fn drive(record: RolloutRecord, responses_per_minute: u64) -> RolloutRecord {
    let mut holder = Holder::new(record);
    holder.send(DriverEvent::EnginesReady(true));
    let mut last = holder.driver.record().clone();
    for second in 0..4_000 {
        holder.now += SECOND;
        holder.send_report(second * responses_per_minute / 60);
        if holder.written().is_some() {
            last = holder.accept();
        }
    }
    last
}

fn with_rule(rule: OnNoEvidence) -> RolloutRecord {
    let mut record = preparing().into_record();
    record.spec.on_no_evidence = rule;
    record
}

/// Defines a test that drives a rollout with a rule and a rate of responses, and checks how it ends.
macro_rules! rollout_ends {
    ($name:ident, $rule:ident, $responses:literal, $phase:ident, $cause:ident) => {
        #[test]
        fn $name() {
            let last = drive(with_rule(OnNoEvidence::$rule), $responses);
            assert_eq!((last.phase, &last.cause), (Phase::$phase, &Cause::$cause));
            assert!(last.since <= last.finish_by());
        }
    };
}

rollout_ends!(
    good_version_with_much_traffic,
    RollBack,
    600,
    Finished,
    EvidenceGood
);
rollout_ends!(
    good_version_with_little_traffic,
    RollBack,
    1,
    Finished,
    EvidenceGood
);
rollout_ends!(no_traffic_and_rule_finish, Finish, 0, Finished, NoEvidence);
rollout_ends!(no_traffic_and_rule_take_back, RollBack, 0, RolledBack, NoEvidence);

#[test]
fn too_little_traffic_ends_by_the_rule() {
    for (rule, phase) in [
        (OnNoEvidence::Finish, Phase::Finished),
        (OnNoEvidence::RollBack, Phase::RolledBack),
    ] {
        let mut record = whole().into_record();
        record.spec.on_no_evidence = rule;
        let mut holder = Holder::new(record);
        for _ in 0..3_500 {
            holder.now += SECOND;
            holder.send_report(3);
            if holder.written().is_some() {
                holder.accept();
            }
        }
        let last = holder.driver.record();
        assert_eq!((last.phase, &last.cause), (phase, &Cause::NoEvidence));
    }
}

#[test]
fn no_share_before_the_engines_are_ready() {
    let mut holder = Holder::new(preparing().into_record());
    for _ in 0..100 {
        holder.now += SECOND;
        holder.send_report(100);
        assert_eq!(holder.written(), None);
    }
    holder.send(DriverEvent::EnginesReady(true));
    assert_eq!(holder.written().map(|record| record.phase), Some(Phase::Canary));
}

#[test]
fn engines_that_are_never_ready_cause_a_rollback_before_the_deadline() {
    let mut holder = Holder::new(preparing().into_record());
    holder.now = holder.driver.record().finish_by();
    holder.send(DriverEvent::Tick);
    let record = holder.accept();
    assert_eq!((record.phase, record.cause), (Phase::RolledBack, Cause::Deadline));
}

#[test]
fn no_share_grows_while_no_host_reports() {
    let mut holder = Holder::new(canary().into_record());
    holder.send_report(100);
    for _ in 0..2_000 {
        holder.wait(SECOND);
        assert_eq!(holder.written(), None);
    }
}

/// Defines a test in which an event rolls back a rollout in any phase with traffic.
macro_rules! rolls_back {
    ($name:ident, $event:expr, $cause:pat) => {
        #[test]
        fn $name() {
            for record in [
                canary().into_record(),
                growing(15).into_record(),
                whole().into_record(),
            ] {
                let mut holder = Holder::new(record);
                holder.send($event);
                let record = holder.accept();
                assert_eq!(record.phase, Phase::RolledBack);
                assert!(matches!(record.cause, $cause), "{:?}", record.cause);
                holder.send_report(100);
                assert_eq!(holder.written(), None);
            }
        }
    };
}

rolls_back!(operator, DriverEvent::TakeBack, Cause::Operator);
rolls_back!(newer_document, DriverEvent::Superseded, Cause::Superseded);
rolls_back!(
    finding_of_a_host,
    {
        let mut report = report("entry-b", 1, 10, 0);
        report.stopped = true;
        report.finding = Some(carawayseam_rollout::Finding {
            fault: carawayseam_rollout::Fault::Slow,
            route: "renew".parse().expect("the name is valid"),
            host: host_id("entry-b"),
        });
        DriverEvent::Evidence(report)
    },
    Cause::Slower { .. }
);
rolls_back!(
    stopped_host_without_a_finding,
    {
        let mut report = report("entry-b", 1, 10, 0);
        report.stopped = true;
        DriverEvent::Evidence(report)
    },
    Cause::Operator
);

#[test]
fn a_write_whose_result_is_lost_is_repeated() {
    let mut holder = Holder::new(whole().into_record());
    holder.send(DriverEvent::TakeBack);
    let first = holder.written().cloned().expect("a record is written");
    holder.wait(SECOND);
    assert_eq!(holder.written(), None, "the result is still outstanding");
    holder.wait(Millis::from_secs(2));
    let again = holder.written().expect("the write is repeated");
    assert_eq!((again.revision, again.phase), (first.revision, first.phase));
    holder.send(DriverEvent::Record(first));
    holder.wait(Millis::from_secs(5));
    assert_eq!(holder.written(), None);
}

#[test]
fn a_rollback_does_not_wait_for_the_result_of_another_write() {
    let mut holder = Holder::new(preparing().into_record());
    holder.send_report(10);
    holder.send(DriverEvent::EnginesReady(true));
    assert_eq!(holder.written().map(|record| record.phase), Some(Phase::Canary));
    holder.send(DriverEvent::TakeBack);
    assert_eq!(
        holder.written().map(|record| record.phase),
        Some(Phase::RolledBack)
    );
}

#[test]
fn a_record_of_another_holder_is_adopted() {
    let mut holder = Holder::new(canary().into_record());
    holder.send(DriverEvent::Record(whole().into_record()));
    holder.send(DriverEvent::Record(growing(15).into_record()));
    assert_eq!(holder.driver.record(), whole().record());
    holder.send(DriverEvent::TakeBack);
    let next = whole().record().revision.next();
    assert_eq!(holder.written().map(|record| record.revision), Some(next));
}

#[test]
fn a_new_holder_does_not_evaluate_a_backlog() {
    let mut holder = Holder::new(growing(100).into_record());
    holder.send(DriverEvent::Evidence(report("entry-a", 40, 500, 200)));
    assert_eq!(holder.written(), None);
}

#[test]
fn a_host_that_does_not_report_keeps_a_rollout_open() {
    let mut holder = Holder::new(whole().into_record());
    holder.send(DriverEvent::Hosts(vec![host_id("entry-a"), host_id("entry-b")]));
    for second in 0..3_000 {
        holder.now += SECOND;
        holder.send_report(second);
        assert_eq!(holder.written(), None);
    }
}

#[test]
fn the_old_version_is_released_once_every_live_host_confirmed() {
    let record = finished();
    let mut holder = Holder::new(record.clone());
    let confirm = |host: &str, revision| DriverEvent::Confirmed {
        host: host_id(host),
        revision,
    };
    holder.send(confirm("entry-a", record.revision));
    assert_eq!(holder.actions, [], "the live hosts are not known");
    holder.send(DriverEvent::Hosts(vec![host_id("entry-a"), host_id("entry-b")]));
    holder.send(confirm("entry-b", Revision(record.revision.0 - 1)));
    assert_eq!(holder.actions, []);
    holder.send(confirm("entry-b", record.revision));
    assert_eq!(holder.actions, [DriverAction::ReleaseOld]);
    holder.wait(SECOND);
    assert_eq!(holder.actions, []);
}

#[test]
fn a_clock_that_steps_back_does_not_reopen_a_deadline() {
    let mut holder = Holder::new(growing(15).into_record());
    let finish_by = holder.driver.record().finish_by();
    holder.now = finish_by - SECOND.times(100);
    while holder.now < finish_by {
        holder.send_report(1_000);
        holder.now += SECOND;
    }
    holder.send_report(1_000);
    assert_eq!(
        holder.written().map(|record| record.phase),
        Some(Phase::RolledBack)
    );
    holder.now = finish_by - SECOND;
    holder.send_report(2_000);
    assert!(
        holder
            .written()
            .is_none_or(|record| record.phase == Phase::RolledBack)
    );
}
