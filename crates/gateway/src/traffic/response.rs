//! Responses that the gateway generates itself.

use bytes::Bytes;
use carawayseam_types::Millis;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// The error that interrupts a response body.
pub(crate) type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// The body of a response to a caller.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, BodyError>;

/// The reason why the gateway refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Reason {
    #[display("no configuration is known yet")]
    NoConfiguration,
    #[display("the configuration was not confirmed lately")]
    StaleConfiguration,
    #[display("no route for the host and path")]
    NoRoute,
    #[display("unknown key")]
    UnknownKey,
    #[display("the head is too large")]
    HeadTooLarge,
    #[display("the body is too large")]
    BodyTooLarge,
    #[display("the body did not come")]
    BodyIncomplete,
    #[display("the host has no memory left for the body")]
    NoMemory,
    #[display("the organisation's quota is used up")]
    OverQuota,
    #[display("the host is stopping")]
    Stopping,
    #[display("the host is stopping; the request may have run")]
    StoppingMayHaveRun,
    #[display("the backend is busy")]
    Busy,
    #[display("the request crashed backend servers")]
    Poison,
    #[display("a part of the prompt crashed backend servers")]
    PoisonPart,
    #[display("no backend server could be reached")]
    Unreachable,
    #[display("the backend server rejected the request")]
    Rejected,
    #[display("the time is over; the request may have run")]
    DeadlineExceeded,
    #[display("the backend server's answer was lost; the request may have run")]
    ResponseLost,
    #[display("the host failed; the request may have run")]
    Internal,
}

impl Reason {
    /// Returns the HTTP status, which also indicates whether the request may have run.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyIncomplete => StatusCode::BAD_REQUEST,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Self::NoConfiguration
            | Self::StaleConfiguration
            | Self::NoMemory
            | Self::Stopping
            | Self::Busy
            | Self::Poison
            | Self::PoisonPart
            | Self::Unreachable
            | Self::Rejected => StatusCode::SERVICE_UNAVAILABLE,
            Self::DeadlineExceeded | Self::StoppingMayHaveRun => StatusCode::GATEWAY_TIMEOUT,
            Self::ResponseLost | Self::Internal => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the label in metrics.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::StaleConfiguration => "stale-configuration",
            Self::NoRoute => "no-route",
            Self::UnknownKey => "unknown-key",
            Self::HeadTooLarge => "head-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyIncomplete => "body-broken",
            Self::NoMemory => "no-memory",
            Self::OverQuota => "over-quota",
            Self::Stopping => "stopping",
            Self::StoppingMayHaveRun => "stopping-may-have-run",
            Self::Busy => "busy",
            Self::Poison => "poison",
            Self::PoisonPart => "poison-part",
            Self::Unreachable => "unreachable",
            Self::Rejected => "rejected",
            Self::DeadlineExceeded => "time-over",
            Self::ResponseLost => "answer-lost",
            Self::Internal => "internal",
        }
    }
}

/// A final refusal of a request by the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    pub(crate) retry_after: Option<Millis>,
    /// Whether the connection closes because the request's body is not read to its end.
    pub(crate) leaves_body: bool,
}

impl Refusal {
    pub(crate) const fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
            leaves_body: false,
        }
    }

    pub(crate) const fn with_retry_after(reason: Reason, retry_after: Millis) -> Self {
        Self {
            reason,
            retry_after: Some(retry_after),
            leaves_body: false,
        }
    }

    /// Returns the response to the caller.
    pub(crate) fn response(self) -> Response<ResponseBody> {
        let text = format!("{}\n", self.reason);
        let mut response = Response::new(full_body(Bytes::from(text)));
        *response.status_mut() = self.reason.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(after) = self.retry_after {
            let seconds = format!("{:.2}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        // Closes the connection so that bytes of an unread body are not parsed as a request, and so that
        // a caller of a host that cannot serve it reconnects through the load balancer.
        let closes = matches!(
            self.reason,
            Reason::HeadTooLarge
                | Reason::BodyTooLarge
                | Reason::BodyIncomplete
                | Reason::StaleConfiguration
                | Reason::NoConfiguration
                | Reason::Stopping
                | Reason::StoppingMayHaveRun
        );
        if closes || self.leaves_body {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Returns a body of complete content.
pub(crate) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
