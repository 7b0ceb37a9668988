//! Rollout records only advance, and invalid records are rejected.

mod support;

use carawayseam_rollout::{AnyRollout, Cause, Finished, Growing, Phase, RecordError, Rollout, RolloutRecord};
use carawayseam_types::{Millis, Permille, Revision};

use support::{START, canary, finished, growing, preparing, rolled_back, whole};

/// Defines a test that makes a record invalid and checks the error.
macro_rules! rejected {
    ($name:ident, $record:expr, $change:expr, $error:pat) => {
        #[test]
        fn $name() {
            let mut record: RolloutRecord = $record;
            let change: fn(&mut RolloutRecord) = $change;
            change(&mut record);
            let rejected = AnyRollout::try_from(record);
            assert!(matches!(rejected, Err($error)), "{rejected:?}");
        }
    };
}

rejected!(
    deadline_before_start,
    preparing().into_record(),
    |record| record.deadline = START,
    RecordError::DeadlineBeforeStart { .. }
);
rejected!(
    rollout_to_the_same_version,
    preparing().into_record(),
    |record| record.spec.to = record.spec.from.clone(),
    RecordError::SameVersion
);
rejected!(
    share_while_preparing,
    preparing().into_record(),
    |record| record.share = Permille::new(1),
    RecordError::ShareOutsidePhase { .. }
);
rejected!(
    canary_share_above_the_first_share,
    canary().into_record(),
    |record| record.share = Permille::new(6),
    RecordError::ShareOutsidePhase { .. }
);
rejected!(
    growing_share_of_all_traffic,
    growing(500).into_record(),
    |record| record.share = Permille::WHOLE,
    RecordError::ShareOutsidePhase { .. }
);
rejected!(
    whole_with_less_than_all_traffic,
    whole().into_record(),
    |record| record.share = Permille::new(900),
    RecordError::ShareOutsidePhase { .. }
);
rejected!(
    share_after_rollback,
    rolled_back(),
    |record| record.share = Permille::new(1),
    RecordError::ShareOutsidePhase { .. }
);
rejected!(
    finished_just_before_the_deadline,
    finished(),
    |record| record.since = record.deadline,
    RecordError::FinishedTooLate { .. }
);

#[test]
fn each_step_has_the_next_revision() {
    let revisions = [
        preparing().record().revision,
        canary().record().revision,
        growing(15).record().revision,
        whole().record().revision,
        finished().revision,
    ];
    assert_eq!(revisions, [1, 2, 3, 4, 5].map(Revision));
}

#[test]
fn revisions_grow_across_rollouts_of_a_backend() {
    let before = rolled_back();
    let environment = before.environment.clone();
    let again = Rollout::promote(
        environment,
        before.spec.clone(),
        Revision(2),
        Some(&before),
        START,
    );
    assert!(again.expect("the rollout is valid").record().revision > before.revision);
}

#[test]
fn finishing_needs_a_margin_before_the_deadline() {
    let rollout = whole();
    let latest = rollout.record().finish_by();
    assert!(latest < rollout.record().deadline);
    let in_time = rollout.clone().finish(Cause::EvidenceGood, latest);
    assert_eq!(in_time.map(|rollout| rollout.record().phase), Ok(Phase::Finished));
    let late = rollout.finish(Cause::EvidenceGood, latest + Millis(1));
    assert!(
        matches!(late, Err(RecordError::FinishedTooLate { .. })),
        "{late:?}"
    );
}

#[test]
fn a_share_that_does_not_grow_is_rejected() {
    let same = growing(15).grow(Permille::new(15), Cause::EvidenceGood, START);
    assert!(
        matches!(same, Err(RecordError::ShareNotIncreased { .. })),
        "{same:?}"
    );
}

#[test]
fn a_clock_that_lags_does_not_move_time_back() {
    let back = canary().roll_back(Cause::Operator, Millis::ZERO);
    assert_eq!(back.record().since, START);
}

#[test]
fn a_record_of_another_phase_does_not_convert() {
    let other = Rollout::<Finished>::try_from(canary().into_record());
    assert!(
        matches!(other, Err(RecordError::UnexpectedPhase { .. })),
        "{other:?}"
    );
}

#[test]
fn a_later_record_of_an_earlier_phase_is_rejected() {
    let mut older = canary().into_record();
    older.revision = Revision(9);
    let rejected = older.check_after(whole().record());
    assert!(
        matches!(rejected, Err(RecordError::InvalidPhaseChange { .. })),
        "{rejected:?}"
    );
}

#[test]
fn a_record_survives_serialization() {
    let record = growing(15).into_record();
    let text = serde_json::to_string(&record).expect("a record is written");
    let back: RolloutRecord = serde_json::from_str(&text).expect("a record is read");
    assert_eq!(back, record);
    assert_eq!(Rollout::<Growing>::try_from(back), Ok(growing(15)));
    assert!(text.contains(r#""phase":"growing""#), "{text}");
}

#[test]
fn phases_are_ordered() {
    assert!(Phase::Preparing < Phase::Canary && Phase::Whole < Phase::Finished);
}
