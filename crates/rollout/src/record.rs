//! The stored record of a rollout.

use carawayseam_config::RolloutSpec;
use carawayseam_types::{EnvironmentId, HostId, Millis, Permille, Revision, RouteName};
use serde::{Deserialize, Serialize};

use crate::RecordError;

/// The margin between the latest finish and the deadline is the allowed time divided by this.
const FINISH_MARGIN_DIVISOR: u64 = 20;
const MIN_FINISH_MARGIN: Millis = Millis::from_secs(1);
const MAX_FINISH_MARGIN: Millis = Millis::from_secs(15);
/// The largest share, in permille, at which the old version still gets traffic.
const MAX_PARTIAL_SHARE: u16 = 999;

/// The phase of a rollout; it only advances.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Engines load the new version; it gets no traffic.
    #[display("preparing")]
    Preparing,
    /// The new version gets its first share.
    #[display("small share")]
    #[serde(rename = "small-share")]
    Canary,
    /// The share increases in steps.
    #[display("growing")]
    Growing,
    /// All traffic goes to the new version; the old one stays loaded.
    #[display("whole")]
    Whole,
    /// The new version serves; the old one may be released.
    #[display("finished")]
    Finished,
    /// The old version serves; the new one gets no more requests.
    #[display("taken back")]
    #[serde(rename = "taken-back")]
    RolledBack,
}

impl Phase {
    /// Returns whether the rollout has ended.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Finished | Self::RolledBack)
    }
}

/// The reason for a rollout's current phase or share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case", tag = "cause")]
pub enum Cause {
    /// An operator promoted the rollout.
    #[display("promoted")]
    Promoted,
    /// The engines of the new version are ready.
    #[display("engines ready")]
    EnginesReady,
    /// The evidence of the last share was good.
    #[display("evidence good")]
    EvidenceGood,
    /// The new version fails more often than the old one.
    #[display("more failures on route {route}, seen at {host}")]
    MoreFailures {
        /// The route.
        route: RouteName,
        /// The host that detected it first.
        host: HostId,
    },
    /// The new version is slower than the old one.
    #[display("slower on route {route}, seen at {host}")]
    Slower {
        /// The route.
        route: RouteName,
        /// The host that detected it first.
        host: HostId,
    },
    /// The new version leaves responses incomplete.
    #[display("unfinished answers on route {route}, seen at {host}")]
    Unfinished {
        /// The route.
        route: RouteName,
        /// The host that detected it first.
        host: HostId,
    },
    /// The deadline passed before the rollout was finished.
    #[display("deadline")]
    Deadline,
    /// There was too little traffic to evaluate, so the document's rule decided.
    #[display("too little evidence")]
    NoEvidence,
    /// An operator rolled it back.
    #[display("taken back by an operator")]
    Operator,
    /// A newer document no longer declares the rollout.
    #[display("superseded by a newer document")]
    Superseded,
}

/// A rollout as stored and as exchanged between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "MoveRecord")]
pub struct RolloutRecord {
    /// The environment.
    pub environment: EnvironmentId,
    /// The rollout as the document declares it.
    pub spec: RolloutSpec,
    /// The revision of the document that declared it.
    pub configuration: Revision,
    /// Increases with every write; the highest revision takes precedence.
    pub revision: Revision,
    /// When it was promoted.
    pub started_at: Millis,
    /// When it must be finished or rolled back.
    pub deadline: Millis,
    /// The phase.
    pub phase: Phase,
    /// The new version's share of all traffic.
    pub share: Permille,
    /// When the phase or share began.
    pub since: Millis,
    /// Why the rollout is in this phase and share.
    pub cause: Cause,
}

/// Returns the last part of the allowed time, in which a rollout is no longer finished.
pub(crate) fn finish_margin(allowed: Millis) -> Millis {
    Millis(allowed.0 / FINISH_MARGIN_DIVISOR).clamp(MIN_FINISH_MARGIN, MAX_FINISH_MARGIN)
}

impl RolloutRecord {
    /// Returns the latest time at which the rollout may be finished.
    ///
    /// It precedes the deadline by a margin in which all hosts can receive the record.
    #[must_use]
    pub fn finish_by(&self) -> Millis {
        self.deadline - finish_margin(self.deadline.since(self.started_at))
    }

    /// Returns whether `other` is an earlier or later record of the same rollout.
    #[must_use]
    pub fn is_same_rollout(&self, other: &Self) -> bool {
        self.spec == other.spec && self.started_at == other.started_at
    }

    /// Validates this record on its own.
    ///
    /// # Errors
    ///
    /// Returns the first violated rule.
    pub fn check(&self) -> Result<(), RecordError> {
        match self {
            record if record.deadline <= record.started_at => Err(RecordError::DeadlineBeforeStart {
                started_at: record.started_at,
                deadline: record.deadline,
            }),
            record if record.spec.from == record.spec.to => Err(RecordError::SameVersion),
            record if !record.share_matches_phase() => Err(RecordError::ShareOutsidePhase {
                phase: record.phase,
                share: record.share,
            }),
            record if record.phase == Phase::Finished && record.since > record.finish_by() => {
                Err(RecordError::FinishedTooLate {
                    at: record.since,
                    latest: record.finish_by(),
                })
            }
            _ => Ok(()),
        }
    }

    /// Validates that this record may replace `known`, which has a lower revision.
    ///
    /// # Errors
    ///
    /// Returns the first violated rule.
    pub fn check_after(&self, known: &Self) -> Result<(), RecordError> {
        self.check()?;
        match self {
            newer if newer.environment != known.environment => Err(RecordError::EnvironmentMismatch),
            newer
                if newer.is_same_rollout(known) && (newer.phase < known.phase || known.phase.is_final()) =>
            {
                Err(RecordError::InvalidPhaseChange {
                    from: known.phase,
                    to: newer.phase,
                })
            }
            _ => Ok(()),
        }
    }

    fn share_matches_phase(&self) -> bool {
        let share = self.share.get();
        match self.phase {
            Phase::Preparing | Phase::RolledBack => share == 0,
            Phase::Canary => (1..=self.spec.first_share.get()).contains(&share),
            Phase::Growing => (1..=MAX_PARTIAL_SHARE).contains(&share),
            Phase::Whole | Phase::Finished => self.share == Permille::WHOLE,
        }
    }
}
