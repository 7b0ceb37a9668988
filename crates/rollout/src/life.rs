//! The life cycle of a rollout as types, so that invalid transitions do not compile.

use std::marker::PhantomData;

use carawayseam_config::RolloutSpec;
use carawayseam_types::{EnvironmentId, Millis, Permille, Revision};

use crate::{Cause, Phase, RecordError, RolloutRecord};

/// A phase as a type.
pub trait Stage {
    /// The phase in stored form.
    const PHASE: Phase;
}

/// A phase that is not final.
pub trait Open: Stage {}

/// Declares the type of a phase.
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

/// A valid record in a phase known at compile time; each transition returns the next record.
///
/// ```compile_fail
/// # use carawayseam_rollout::{Cause, Finished, Rollout};
/// # use carawayseam_types::Millis;
/// fn undo(done: Rollout<Finished>) {
///     // A finished rollout cannot be rolled back.
///     done.roll_back(Cause::Operator, Millis::ZERO);
/// }
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rollout<S> {
    record: RolloutRecord,
    stage: PhantomData<S>,
}

impl<S: Stage> Rollout<S> {
    /// Returns the record.
    #[must_use]
    pub const fn record(&self) -> &RolloutRecord {
        &self.record
    }

    /// Converts the rollout into its record.
    #[must_use]
    pub fn into_record(self) -> RolloutRecord {
        self.record
    }

    fn transition<T: Stage>(self, share: Permille, cause: Cause, now: Millis) -> Rollout<T> {
        let mut record = self.record;
        record.revision = record.revision.next();
        record.phase = T::PHASE;
        record.share = share;
        // The clock of a new lease holder may lag behind the previous holder's; time must not go back.
        record.since = now.max(record.since);
        record.cause = cause;
        Rollout::from_record(record)
    }

    const fn from_record(record: RolloutRecord) -> Self {
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
            return Err(RecordError::UnexpectedPhase {
                expected: S::PHASE,
                actual: record.phase,
            });
        }
        Ok(Self::from_record(record))
    }
}

impl<S: Open> Rollout<S> {
    /// Returns all traffic to the old version.
    #[must_use]
    pub fn roll_back(self, cause: Cause, now: Millis) -> Rollout<RolledBack> {
        self.transition(Permille::NONE, cause, now)
    }
}

impl Rollout<Preparing> {
    /// Creates the first record of a rollout that a document declares.
    ///
    /// `previous` is the newest record of the same backend, if there is one;
    /// revisions of a backend's records increase across all its rollouts.
    ///
    /// # Errors
    ///
    /// Returns the rule that the declaration violates.
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

    /// Gives the new version its first share, once its engines are ready.
    #[must_use]
    pub fn begin(self, now: Millis) -> Rollout<Canary> {
        let share = self.record.spec.first_share;
        self.transition(share, Cause::EnginesReady, now)
    }
}

impl Rollout<Canary> {
    /// Increases the share for the first time.
    ///
    /// # Errors
    ///
    /// Rejects a share that is not larger than the current one, or that is all traffic.
    pub fn grow(self, share: Permille, cause: Cause, now: Millis) -> Result<Rollout<Growing>, RecordError> {
        increase_share(self, share, cause, now)
    }
}

impl Rollout<Growing> {
    /// Increases the share further.
    ///
    /// # Errors
    ///
    /// Rejects a share that is not larger than the current one, or that is all traffic.
    pub fn grow(self, share: Permille, cause: Cause, now: Millis) -> Result<Self, RecordError> {
        increase_share(self, share, cause, now)
    }

    /// Gives all traffic to the new version.
    #[must_use]
    pub fn complete(self, cause: Cause, now: Millis) -> Rollout<Whole> {
        self.transition(Permille::WHOLE, cause, now)
    }
}

impl Rollout<Whole> {
    /// Finishes the rollout.
    ///
    /// # Errors
    ///
    /// Rejects a time so near the deadline that hosts might not receive the record.
    pub fn finish(self, cause: Cause, now: Millis) -> Result<Rollout<Finished>, RecordError> {
        let done: Rollout<Finished> = self.transition(Permille::WHOLE, cause, now);
        done.record.check()?;
        Ok(done)
    }
}

fn increase_share<S: Stage>(
    current: Rollout<S>,
    share: Permille,
    cause: Cause,
    now: Millis,
) -> Result<Rollout<Growing>, RecordError> {
    let from = current.record.share;
    if share <= from {
        return Err(RecordError::ShareNotIncreased { from, to: share });
    }
    let next: Rollout<Growing> = current.transition(share, cause, now);
    next.record.check()?;
    Ok(next)
}

/// A valid record in any phase.
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
    /// Rolls the rollout back, or returns `None` if it has already ended.
    #[must_use]
    pub fn roll_back(self, cause: Cause, now: Millis) -> Option<Rollout<RolledBack>> {
        match self {
            Self::Preparing(rollout) => Some(rollout.roll_back(cause, now)),
            Self::Canary(rollout) => Some(rollout.roll_back(cause, now)),
            Self::Growing(rollout) => Some(rollout.roll_back(cause, now)),
            Self::Whole(rollout) => Some(rollout.roll_back(cause, now)),
            Self::Finished(_) | Self::RolledBack(_) => None,
        }
    }
}
