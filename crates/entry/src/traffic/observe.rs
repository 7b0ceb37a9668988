//! What an attempt says of the version that served it.

use carawayseam_rollout::{Observation, Served};
use carawayseam_scheduler::{AttemptFailure, Origin};
use carawayseam_types::{Millis, Tokens};

use super::Traffic;
use super::answers::{Answers, Part};
use super::job::Job;
use crate::state::Assignment;

const MICROS_PER_MILLI: u64 = 1_000;

/// Times one attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stopwatch {
    started: Millis,
    first: Option<Millis>,
    resumed_at: Tokens,
}

impl Stopwatch {
    pub(super) const fn start(now: Millis, resumed_at: Tokens) -> Self {
        Self {
            started: now,
            first: None,
            resumed_at,
        }
    }

    /// Notes a token, and says whether it is the first.
    pub(super) const fn note_first(&mut self, now: Millis) -> bool {
        let is_first = self.first.is_none();
        if is_first {
            self.first = Some(now);
        }
        is_first
    }

    /// What the attempt says of its version, now that it is over.
    pub(super) fn observe(
        &self,
        now: Millis,
        job: &Job,
        assignment: &Assignment,
        served: Served,
        produced: Tokens,
    ) -> Observation {
        Observation {
            route: job.route.clone(),
            version: assignment.version.clone(),
            served,
            first: Some(self.first.unwrap_or(now).since(self.started)),
            gap_micros: self.mean_gap(now, produced),
        }
    }

    fn mean_gap(&self, now: Millis, produced: Tokens) -> Option<u32> {
        let first = self.first?;
        let tokens = produced.0.saturating_sub(self.resumed_at.0);
        let gaps = u64::from(tokens.checked_sub(1).filter(|gaps| *gaps > 0)?);
        Some((now.since(first).0 * MICROS_PER_MILLI / gaps) as u32)
    }
}

/// Sorts a failure by whether it speaks against the version.
pub(super) const fn judge_failure(failure: AttemptFailure, produced: Tokens) -> Served {
    match failure {
        // The engine is gone or full, whatever it runs.
        AttemptFailure::NotSent | AttemptFailure::EngineRefused => Served::Excused,
        AttemptFailure::DeadlinePassed => Served::Unfinished,
        AttemptFailure::ConnectionLost | AttemptFailure::Silent if produced.0 > 0 => Served::Unfinished,
        AttemptFailure::ConnectionLost | AttemptFailure::Silent | AttemptFailure::EngineFailed => {
            Served::Failed
        }
    }
}

impl Traffic {
    /// Tells the gate of the host that picked the version.
    pub(super) async fn observe(&self, job: &Job, answers: &Answers, observation: Observation) {
        if job.origin == Origin::Caller {
            self.control
                .observed(job.environment.clone(), job.seq, observation);
        } else if answers.send(Part::Observed(observation)).await.is_err() {
            log::debug!(request:% = job.request_id; "the host that picked the version went away");
        }
    }
}
