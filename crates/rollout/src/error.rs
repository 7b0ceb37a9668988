//! Errors of invalid rollout records.

use carawayseam_types::{Millis, Permille};
use derive_more::{Display, Error};

use crate::Phase;

/// An invalid record, or an invalid transition between two records.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum RecordError {
    /// The deadline is not after the start.
    #[display("deadline {deadline} is not after the start {started_at}")]
    DeadlineBeforeStart {
        /// The start.
        started_at: Millis,
        /// The deadline.
        deadline: Millis,
    },
    /// Old and new version are the same.
    #[display("rollout has the same old and new version")]
    SameVersion,
    /// The share does not belong to the phase.
    #[display("share {share} is not valid in phase `{phase}`")]
    ShareOutsidePhase {
        /// The phase.
        phase: Phase,
        /// The share.
        share: Permille,
    },
    /// The new share is not larger than the current one.
    #[display("new share {to} is not larger than the current share {from}")]
    ShareNotIncreased {
        /// The current share.
        from: Permille,
        /// The requested share.
        to: Permille,
    },
    /// It is too late to finish: hosts might not receive the record before the deadline.
    #[display("finish time {at} is later than the latest permitted time {latest}")]
    FinishedTooLate {
        /// The requested finish time.
        at: Millis,
        /// The latest permitted finish time.
        latest: Millis,
    },
    /// The record is not in the phase that the caller expects.
    #[display("rollout is in phase `{actual}`, expected `{expected}`")]
    UnexpectedPhase {
        /// The expected phase.
        expected: Phase,
        /// The actual phase.
        actual: Phase,
    },
    /// A newer record has an earlier phase of the same rollout, or follows a final one.
    #[display("invalid phase change from `{from}` to `{to}`")]
    InvalidPhaseChange {
        /// The phase of the known record.
        from: Phase,
        /// The phase of the newer record.
        to: Phase,
    },
    /// The record belongs to another environment.
    #[display("record belongs to another environment")]
    EnvironmentMismatch,
}
