//! The outcome of a request: not run, ran, or unknown.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// Why a request was not run; reported only when it certainly did not run.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// The capacity goes to higher tiers, or to other callers' fair shares in the same tier.
    #[display("shed under load")]
    Shed,
    /// The deadline cannot be met, or passed before dispatch.
    #[display("the deadline cannot be met")]
    DeadlineUnreachable,
    /// No engine for the route is known to be live.
    #[display("no engine is available")]
    NoEngine,
    /// Earlier requests with the same content crashed engines.
    #[display("the request crashed engines and is blocked")]
    Poison,
    /// The store did not answer, so the host could not prove that it holds the claim on the request id.
    #[display("no claim on the request id could be proved")]
    NoClaim,
    /// The request id was already used with another body.
    #[display("the request id was used with another body")]
    Conflict,
    /// The host is shutting down and accepts no new requests.
    #[display("the host is stopping")]
    Stopping,
    /// The request is malformed.
    #[display("the request is invalid")]
    Invalid,
    /// The retry budget is spent.
    #[display("the retry budget is spent")]
    RetryBudget,
    /// The caller closed its connection before dispatch.
    #[display("the caller went away")]
    CallerGone,
}

/// Why it is not known whether a request ran.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// Another host claimed the request id and recorded no response.
    #[display("another host claimed the request and recorded no answer")]
    ClaimedElsewhere,
    /// The connection broke when the request may already have been sent.
    #[display("the connection broke after the request was sent")]
    ConnectionLost,
    /// No response arrived before the deadline.
    #[display("no answer came before the deadline")]
    TimedOut,
    /// The backend server failed while running the request.
    #[display("the backend server failed while it ran the request")]
    EngineFailed,
    /// The response stream broke off and could not be resumed.
    #[display("the stream was cut and could not be resumed")]
    StreamCut,
}

/// The refusal of a request: it was not run, and the caller may be able to retry later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[display("not run: {reason}")]
pub struct Refusal {
    /// Why the request was not run.
    pub reason: NotRunReason,
    /// How long the caller should wait before it retries; none if a retry cannot succeed.
    pub retry_after: Option<Millis>,
}

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome<A> {
    /// The request did not run.
    NotRun(Refusal),
    /// The request ran; holds its complete response.
    Ran(A),
    /// The request may have run; a retry could run it twice.
    Unknown {
        /// Why the outcome is not known.
        reason: UnknownReason,
    },
}
