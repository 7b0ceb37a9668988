//! The life cycle of a move as types: only allowed steps can be written down.

use std::marker::PhantomData;

use carawayseam_config::RolloutSpec;
use carawayseam_types::{EnvironmentId, Millis, Permille, Revision};

use crate::{Cause, Phase, RecordError, RolloutRecord};

/// A phase as a type.
pub trait Stage {
    /// The phase as it is stored.
    const PHASE: Phase;
}

/// A phase in which the move is not over.
pub trait Open: Stage {}

/// Declares a phase's type.
macro_rules! stage {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum $name {}

        impl Stage for $name {
            const PHASE: Phase = Phase::$name;
        }
    };
    ($(#[$doc:meta])* $name:ident: Open) => {
        stage!($(#[$doc])* $name);

        impl Open for $name {}
    };
}

stage!(
    /// See [`Phase::Preparing`].
    Preparing: Open
);
stage!(
    /// See [`Phase::Canary`].
    Canary: Open
);
stage!(
    /// See [`Phase::Growing`].
    Growing: Open
);
stage!(
    /// See [`Phase::Whole`].
    Whole: Open
);
stage!(
    /// See [`Phase::Finished`].
    Finished
);
stage!(
    /// See [`Phase::RolledBack`].
    RolledBack
);

/// A checked record in a known phase; each step gives the next record.
///
/// ```compile_fail
/// # use carawayseam_rollout::{Cause, Finished, Rollout};
/// # use carawayseam_types::Millis;
/// fn undo(done: Rollout<Finished>) {
///     // A finished move cannot be taken back.
///     done.roll_back(Cause::Operator, Millis::ZERO);
/// }
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rollout<S> {
    record: RolloutRecord,
    stage: PhantomData<S>,
}

impl<S: Stage> Rollout<S> {
    /// The stored form.
    #[must_use]
    pub const fn record(&self) -> &RolloutRecord {
        &self.record
    }

    /// Gives the stored form away.
    #[must_use]
    pub fn into_record(self) -> RolloutRecord {
        self.record
    }

    fn step<T: Stage>(self, share: Permille, cause: Cause, now: Millis) -> Rollout<T> {
        let mut record = self.record;
        record.revision = record.revision.next();
        record.phase = T::PHASE;
        record.share = share;
        // A holder whose clock is behind the one before must not make time go back.
        record.since = now.max(record.since);
        record.cause = cause;
        Rollout::of(record)
    }

    const fn of(record: RolloutRecord) -> Self {
        Self {
            record,
            stage: PhantomData,
        }
    }
}

impl<S: Stage> TryFrom<RolloutRecord> for Rollout<S> {
    type Error = RecordError;

    fn try_from(record: RolloutRecord) -> Result<Self, RecordError> {
        record.check()?;
        if record.phase != S::PHASE {
            return Err(RecordError::OtherPhase {
                wanted: S::PHASE,
                found: record.phase,
            });
        }
        Ok(Self::of(record))
    }
}

impl<S: Open> Rollout<S> {
    /// The old version serves again.
    #[must_use]
    pub fn roll_back(self, cause: Cause, now: Millis) -> Rollout<RolledBack> {
        self.step(Permille::NONE, cause, now)
    }
}

impl Rollout<Preparing> {
    /// The first record of a move that a document declares.
    ///
    /// `previous` is the newest record of the same backend, if there is one;
    /// revisions of a backend's records grow over all its moves.
    ///
    /// # Errors
    ///
    /// Gives the rule that the declaration breaks.
    pub fn promote(
        environment: EnvironmentId,
        spec: RolloutSpec,
        configuration: Revision,
        previous: Option<&RolloutRecord>,
        now: Millis,
    ) -> Result<Self, RecordError> {
        let revision = previous.map_or(Revision::default(), |record| record.revision);
        let deadline = now + spec.within;
        Self::try_from(RolloutRecord {
            environment,
            spec,
            configuration,
            revision: revision.next(),
            started_at: now,
            deadline,
            phase: Phase::Preparing,
            share: Permille::NONE,
            since: now,
            cause: Cause::Promoted,
        })
    }

    /// The engines are ready, and the new version gets its first share.
    #[must_use]
    pub fn begin(self, now: Millis) -> Rollout<Canary> {
        let share = self.record.spec.first_share;
        self.step(share, Cause::EnginesReady, now)
    }
}

impl Rollout<Canary> {
    /// The share grows for the first time.
    ///
    /// # Errors
    ///
    /// Refuses a share that does not grow or is the whole.
    pub fn grow(self, share: Permille, cause: Cause, now: Millis) -> Result<Rollout<Growing>, RecordError> {
        grown(self, share, cause, now)
    }
}

impl Rollout<Growing> {
    /// The share grows again.
    ///
    /// # Errors
    ///
    /// Refuses a share that does not grow or is the whole.
    pub fn grow(self, share: Permille, cause: Cause, now: Millis) -> Result<Self, RecordError> {
        grown(self, share, cause, now)
    }

    /// All traffic goes to the new version.
    #[must_use]
    pub fn complete(self, cause: Cause, now: Millis) -> Rollout<Whole> {
        self.step(Permille::WHOLE, cause, now)
    }
}

impl Rollout<Whole> {
    /// The move is finished.
    ///
    /// # Errors
    ///
    /// Refuses a time so near the deadline that hosts might not hear of it.
    pub fn finish(self, cause: Cause, now: Millis) -> Result<Rollout<Finished>, RecordError> {
        let done: Rollout<Finished> = self.step(Permille::WHOLE, cause, now);
        done.record.check()?;
        Ok(done)
    }
}

fn grown<S: Stage>(
    before: Rollout<S>,
    share: Permille,
    cause: Cause,
    now: Millis,
) -> Result<Rollout<Growing>, RecordError> {
    let from = before.record.share;
    if share <= from {
        return Err(RecordError::ShareNotGrown { from, to: share });
    }
    let next: Rollout<Growing> = before.step(share, cause, now);
    next.record.check()?;
    Ok(next)
}

/// A checked record in any phase.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::From)]
pub enum AnyRollout {
    /// See [`Phase::Preparing`].
    Preparing(Rollout<Preparing>),
    /// See [`Phase::Canary`].
    Canary(Rollout<Canary>),
    /// See [`Phase::Growing`].
    Growing(Rollout<Growing>),
    /// See [`Phase::Whole`].
    Whole(Rollout<Whole>),
    /// See [`Phase::Finished`].
    Finished(Rollout<Finished>),
    /// See [`Phase::RolledBack`].
    RolledBack(Rollout<RolledBack>),
}

impl TryFrom<RolloutRecord> for AnyRollout {
    type Error = RecordError;

    fn try_from(record: RolloutRecord) -> Result<Self, RecordError> {
        Ok(match record.phase {
            Phase::Preparing => Self::Preparing(record.try_into()?),
            Phase::Canary => Self::Canary(record.try_into()?),
            Phase::Growing => Self::Growing(record.try_into()?),
            Phase::Whole => Self::Whole(record.try_into()?),
            Phase::Finished => Self::Finished(record.try_into()?),
            Phase::RolledBack => Self::RolledBack(record.try_into()?),
        })
    }
}

impl AnyRollout {
    /// Takes the move back; none if it is over already.
    #[must_use]
    pub fn roll_back(self, cause: Cause, now: Millis) -> Option<Rollout<RolledBack>> {
        match self {
            Self::Preparing(mv) => Some(mv.roll_back(cause, now)),
            Self::Canary(mv) => Some(mv.roll_back(cause, now)),
            Self::Growing(mv) => Some(mv.roll_back(cause, now)),
            Self::Whole(mv) => Some(mv.roll_back(cause, now)),
            Self::Finished(_) | Self::RolledBack(_) => None,
        }
    }
}
