//! Answers that are no answers, as callers see them.

use axum::http::StatusCode;
use carawayseam_types::{Bytes, EnvironmentId, Millis, NotRunReason, OrganisationId, RouteName, TierName};
use carawayseam_types::{Refusal, UnknownReason};
use serde::Serialize;

/// A request that is malformed and was not run.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[error(ignore)]
pub(crate) enum InvalidRequest {
    #[display("body: cannot be read as JSON: {_0}")]
    Malformed(String),
    #[display("body: larger than {_0}")]
    TooLarge(Bytes),
    #[display("environment: `{_0}` is not served by this host")]
    UnknownEnvironment(EnvironmentId),
    #[display("environment or route: not a valid name")]
    BadName,
    #[display("route: `{_0}` is not declared; see `routes` of the document")]
    UnknownRoute(RouteName),
    #[display("organisation: `{_0}` is not declared; see `organisations` of the document")]
    UnknownOrganisation(OrganisationId),
    #[display("tier: `{_0}` is not declared; see `tiers` of the document")]
    UnknownTier(TierName),
    #[display("tier: `{_0}` is not among the organisation's tiers")]
    TierNotAllowed(TierName),
    #[display("deadline_ms: missing; say how long the answer may take")]
    NoDeadline,
    #[display("deadline_ms: expected 1 to {}", longest.0)]
    DeadlineOutOfRange { longest: Millis },
    #[display("request_id: missing; a call that may not be repeated needs an id of its own")]
    NoRequestId,
    #[display("prompt: missing or empty")]
    NoPrompt,
}

impl InvalidRequest {
    pub(crate) const fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::UnknownEnvironment(_) | Self::UnknownRoute(_) | Self::BadName => StatusCode::NOT_FOUND,
            Self::UnknownOrganisation(_) | Self::TierNotAllowed(_) => StatusCode::FORBIDDEN,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// The body of an answer that is no answer.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct ErrorBody {
    outcome: &'static str,
    reason: String,
    message: String,
    retry_after_ms: Option<u64>,
}

impl ErrorBody {
    pub(crate) fn invalid(error: &InvalidRequest) -> Self {
        Self {
            outcome: "not-run",
            reason: "invalid".to_owned(),
            message: error.to_string(),
            retry_after_ms: None,
        }
    }

    pub(crate) fn not_run(refusal: &Refusal) -> Self {
        Self {
            outcome: "not-run",
            reason: name_of(&refusal.reason),
            message: refusal.reason.to_string(),
            retry_after_ms: refusal.retry_after.map(|after| after.0),
        }
    }

    pub(crate) fn unknown(reason: UnknownReason, retry_after: Option<Millis>) -> Self {
        Self {
            outcome: "unknown",
            reason: name_of(&reason),
            message: reason.to_string(),
            retry_after_ms: retry_after.map(|after| after.0),
        }
    }

    /// The same, where an earlier attempt of the same request may have run.
    pub(crate) fn doubted(self) -> Self {
        let message = format!("{}; an earlier attempt may have run", self.message);
        Self {
            outcome: "unknown",
            message,
            ..self
        }
    }

    pub(crate) const fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_ms
    }
}

/// The status of a refusal.
pub(crate) const fn not_run_status(reason: NotRunReason) -> StatusCode {
    match reason {
        NotRunReason::Shed | NotRunReason::RetryBudget => StatusCode::TOO_MANY_REQUESTS,
        NotRunReason::Conflict => StatusCode::CONFLICT,
        NotRunReason::Poison => StatusCode::UNPROCESSABLE_ENTITY,
        NotRunReason::Invalid => StatusCode::BAD_REQUEST,
        NotRunReason::DeadlineUnreachable
        | NotRunReason::NoEngine
        | NotRunReason::NoClaim
        | NotRunReason::Stopping
        | NotRunReason::CallerGone => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// The name under which a reason is serialised.
fn name_of<T: Serialize>(reason: &T) -> String {
    match serde_json::to_value(reason) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}
