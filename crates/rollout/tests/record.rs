//! Records step forward only, and those that break a rule are refused.

mod support;

use carawayseam_rollout::{AnyRollout, Cause, Finished, Growing, Phase, RecordError, Rollout, RolloutRecord};
use carawayseam_types::{Millis, Permille, Revision};

use support::{START, finished, growing, preparing, small, taken_back, whole};

/// Names a record that is changed so that it breaks a rule.
macro_rules! refused {
    ($name:ident, $record:expr, $change:expr, $error:pat) => {
        #[test]
        fn $name() {
            let mut record: RolloutRecord = $record;
            let change: fn(&mut RolloutRecord) = $change;
            change(&mut record);
            let refused = AnyRollout::try_from(record);
            assert!(matches!(refused, Err($error)), "{refused:?}");
        }
    };
}

refused!(
    deadline_before_start,
    preparing().into_record(),
    |record| record.deadline = START,
    RecordError::DeadlineBeforeStart { .. }
);
refused!(
    move_to_the_same_version,
    preparing().into_record(),
    |record| record.spec.to = record.spec.from.clone(),
    RecordError::SameVersion
);
refused!(
    share_while_preparing,
    preparing().into_record(),
    |record| record.share = Permille::new(1),
    RecordError::ShareOutsidePhase { .. }
);
refused!(
    small_share_beyond_the_first,
    small().into_record(),
    |record| record.share = Permille::new(6),
    RecordError::ShareOutsidePhase { .. }
);
refused!(
    growing_share_of_everything,
    growing(500).into_record(),
    |record| record.share = Permille::WHOLE,
    RecordError::ShareOutsidePhase { .. }
);
refused!(
    whole_with_less_than_everything,
    whole().into_record(),
    |record| record.share = Permille::new(900),
    RecordError::ShareOutsidePhase { .. }
);
refused!(
    share_after_rollback,
    taken_back(),
    |record| record.share = Permille::new(1),
    RecordError::ShareOutsidePhase { .. }
);
refused!(
    finished_just_before_the_deadline,
    finished(),
    |record| record.since = record.deadline,
    RecordError::FinishedTooLate { .. }
);

#[test]
fn each_step_has_the_next_revision() {
    let revisions = [
        preparing().record().revision,
        small().record().revision,
        growing(15).record().revision,
        whole().record().revision,
        finished().revision,
    ];
    assert_eq!(revisions, [1, 2, 3, 4, 5].map(Revision));
}

#[test]
fn revisions_grow_over_the_moves_of_a_backend() {
    let before = taken_back();
    let environment = before.environment.clone();
    let again = Rollout::promote(
        environment,
        before.spec.clone(),
        Revision(2),
        Some(&before),
        START,
    );
    assert!(again.expect("the move is valid").record().revision > before.revision);
}

#[test]
fn finishing_needs_a_margin_before_the_deadline() {
    let mv = whole();
    let latest = mv.record().finish_by();
    assert!(latest < mv.record().deadline);
    let in_time = mv.clone().finish(Cause::EvidenceGood, latest);
    assert_eq!(in_time.map(|mv| mv.record().phase), Ok(Phase::Finished));
    let late = mv.finish(Cause::EvidenceGood, latest + Millis(1));
    assert!(
        matches!(late, Err(RecordError::FinishedTooLate { .. })),
        "{late:?}"
    );
}

#[test]
fn a_share_that_does_not_grow_is_refused() {
    let same = growing(15).grow(Permille::new(15), Cause::EvidenceGood, START);
    assert!(matches!(same, Err(RecordError::ShareNotGrown { .. })), "{same:?}");
}

#[test]
fn a_clock_behind_does_not_make_time_go_back() {
    let back = small().roll_back(Cause::Operator, Millis::ZERO);
    assert_eq!(back.record().since, START);
}

#[test]
fn a_record_of_another_phase_is_not_taken_for_this_one() {
    let other = Rollout::<Finished>::try_from(small().into_record());
    assert!(matches!(other, Err(RecordError::OtherPhase { .. })), "{other:?}");
}

#[test]
fn a_later_record_of_an_earlier_phase_is_refused() {
    let mut older = small().into_record();
    older.revision = Revision(9);
    let refused = older.check_after(whole().record());
    assert!(
        matches!(refused, Err(RecordError::PhaseWentBack { .. })),
        "{refused:?}"
    );
}

#[test]
fn the_stored_form_reads_back() {
    let record = growing(15).into_record();
    let text = serde_json::to_string(&record).expect("a record is written");
    let back: RolloutRecord = serde_json::from_str(&text).expect("a record is read");
    assert_eq!(back, record);
    assert_eq!(Rollout::<Growing>::try_from(back), Ok(growing(15)));
    assert!(text.contains(r#""phase":"growing""#), "{text}");
}

#[test]
fn phases_are_in_the_order_of_a_move() {
    assert!(Phase::Preparing < Phase::Canary && Phase::Whole < Phase::Finished);
}
