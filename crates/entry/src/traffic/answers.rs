//! The parts of an answer on their way to whoever waits for it.

use carawayseam_rollout::Observation;
use carawayseam_types::{Millis, Refusal, Tokens, UnknownReason, VersionId};
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::SendTimeoutError;

/// Parts that may wait for a slow caller before the engine's stream waits too.
const BUFFERED_PARTS: usize = 64;

/// A caller that takes nothing for so long has a silent connection.
const CALLER_SILENCE: Millis = Millis::from_secs(30);

/// One part of an answer.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Part {
    /// The request still waits.
    Waiting,
    /// An attempt began.
    Started(VersionId),
    /// What became of an attempt, for the host that picked its version.
    Observed(Observation),
    /// Some tokens.
    Tokens {
        offset: Tokens,
        count: Tokens,
        text: String,
    },
    /// The end of a model's answer.
    End { tokens: Tokens },
    /// The whole answer of a plain service.
    Result {
        version: VersionId,
        result: serde_json::Value,
    },
    /// Final: not run.
    NotRun(Refusal),
    /// Final: it may have run.
    Unknown {
        reason: UnknownReason,
        retry_after: Option<Millis>,
    },
}

/// Takes the parts of one answer.
#[derive(Debug, Clone)]
pub(crate) struct Answers(mpsc::Sender<Part>);

/// Gives the parts of one answer.
pub(crate) type Parts = mpsc::Receiver<Part>;

/// The caller no longer waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the caller went away")]
pub(crate) struct CallerGone;

/// Makes the two ends of an answer.
pub(crate) fn channel() -> (Answers, Parts) {
    let (tx, rx) = mpsc::channel(BUFFERED_PARTS);
    (Answers(tx), rx)
}

impl Answers {
    pub(crate) async fn send(&self, part: Part) -> Result<(), CallerGone> {
        match self.0.send_timeout(part, CALLER_SILENCE.to_duration()).await {
            Ok(()) => Ok(()),
            Err(SendTimeoutError::Closed(_) | SendTimeoutError::Timeout(_)) => Err(CallerGone),
        }
    }

    /// Ends once the caller no longer waits.
    pub(crate) async fn closed(&self) {
        self.0.closed().await;
    }
}
