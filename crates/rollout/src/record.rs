//! What the store holds of a move.

use carawayseam_config::RolloutSpec;
use carawayseam_types::{EnvironmentId, HostId, Millis, Permille, Revision, RouteName};
use serde::{Deserialize, Serialize};

use crate::RecordError;

/// The part of the time allowed that lies between the last "finished" and the deadline.
const FINISH_MARGIN_PARTS: u64 = 20;
const MIN_FINISH_MARGIN: Millis = Millis::from_secs(1);
const MAX_FINISH_MARGIN: Millis = Millis::from_secs(15);
/// The largest share of a phase that is not the whole.
const LARGEST_PARTIAL_SHARE: u16 = 999;

/// The phase of a move; it only goes forward.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Engines load the new version; it gets no traffic.
    #[display("preparing")]
    Preparing,
    /// The new version gets its first, small share.
    #[display("small share")]
    #[serde(rename = "small-share")]
    Canary,
    /// The share grows step by step.
    #[display("growing")]
    Growing,
    /// All traffic goes to the new version; the old one stands ready.
    #[display("whole")]
    Whole,
    /// The new version serves; the old one may be released.
    #[display("finished")]
    Finished,
    /// The old version serves; the new one gets nothing more.
    #[display("taken back")]
    #[serde(rename = "taken-back")]
    RolledBack,
}

impl Phase {
    /// Whether the move is over.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Finished | Self::RolledBack)
    }
}

/// Why a move is in its phase.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case", tag = "cause")]
pub enum Cause {
    /// The move was promoted by an operator.
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
        /// The host that saw it first.
        host: HostId,
    },
    /// The new version is slower than the old one.
    #[display("slower on route {route}, seen at {host}")]
    Slower {
        /// The route.
        route: RouteName,
        /// The host that saw it first.
        host: HostId,
    },
    /// The new version leaves answers unfinished.
    #[display("unfinished answers on route {route}, seen at {host}")]
    Unfinished {
        /// The route.
        route: RouteName,
        /// The host that saw it first.
        host: HostId,
    },
    /// The deadline came before the move was whole.
    #[display("deadline")]
    Deadline,
    /// Too little traffic to judge, settled by the document's rule.
    #[display("too little evidence")]
    NoEvidence,
    /// An operator took it back.
    #[display("taken back by an operator")]
    Operator,
    /// A newer document no longer declares the move.
    #[display("superseded by a newer document")]
    Superseded,
}

/// A move as the store holds it, and as hosts spread it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "MoveRecord")]
pub struct RolloutRecord {
    /// The environment.
    pub environment: EnvironmentId,
    /// What the document declares.
    pub spec: RolloutSpec,
    /// The revision of the document that started it.
    pub configuration: Revision,
    /// Grows with every write; the highest wins everywhere.
    pub revision: Revision,
    /// When it was promoted.
    pub started_at: Millis,
    /// When it must be finished or taken back.
    pub deadline: Millis,
    /// The phase.
    pub phase: Phase,
    /// The new version's share of all traffic.
    pub share: Permille,
    /// When the phase or share began.
    pub since: Millis,
    /// Why.
    pub cause: Cause,
}

impl RolloutRecord {
    /// The latest time at which the move may still be finished.
    ///
    /// It lies before the deadline by the time that hosts need to hear of it.
    #[must_use]
    pub fn finish_by(&self) -> Millis {
        let allowed = self.deadline.since(self.started_at);
        let margin = Millis(allowed.0 / FINISH_MARGIN_PARTS);
        self.deadline - margin.clamp(MIN_FINISH_MARGIN, MAX_FINISH_MARGIN)
    }

    /// Whether `other` is a record of the same move, earlier or later.
    #[must_use]
    pub fn is_same_rollout(&self, other: &Self) -> bool {
        self.spec == other.spec && self.started_at == other.started_at
    }

    /// Checks the rules that hold for every record.
    ///
    /// # Errors
    ///
    /// Gives the first rule that the record breaks.
    pub fn check(&self) -> Result<(), RecordError> {
        match self {
            record if record.deadline <= record.started_at => Err(RecordError::DeadlineBeforeStart {
                started_at: record.started_at,
                deadline: record.deadline,
            }),
            record if record.spec.from == record.spec.to => Err(RecordError::SameVersion),
            record if !record.has_share_of_phase() => Err(RecordError::ShareOutsidePhase {
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

    /// Checks that this record may replace `known`, which has a lower revision.
    ///
    /// # Errors
    ///
    /// Gives the first rule that this record breaks.
    pub fn check_after(&self, known: &Self) -> Result<(), RecordError> {
        self.check()?;
        match self {
            newer if newer.environment != known.environment => Err(RecordError::OtherEnvironment),
            newer
                if newer.is_same_rollout(known) && (newer.phase < known.phase || known.phase.is_final()) =>
            {
                Err(RecordError::PhaseWentBack {
                    from: known.phase,
                    to: newer.phase,
                })
            }
            _ => Ok(()),
        }
    }

    fn has_share_of_phase(&self) -> bool {
        let share = self.share.get();
        match self.phase {
            Phase::Preparing | Phase::RolledBack => share == 0,
            Phase::Canary => (1..=self.spec.first_share.get()).contains(&share),
            Phase::Growing => (1..=LARGEST_PARTIAL_SHARE).contains(&share),
            Phase::Whole | Phase::Finished => self.share == Permille::WHOLE,
        }
    }
}
