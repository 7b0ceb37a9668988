//! The promises, as they are found broken.

use carawayseam_types::Millis;

use crate::ledger::ANSWER_LAG;
use crate::request::RequestId;

/// The first promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Broken {
    /// An answer that is not the request's own whole answer.
    #[display("request {request} got a wrong answer: {what}")]
    WrongAnswer {
        /// The request.
        request: RequestId,
        /// What was wrong.
        what: String,
    },
    /// A request that may run once ran again.
    #[display("request {request} ran twice")]
    RanTwice {
        /// The request.
        request: RequestId,
    },
    /// A request was said not to have run, and ran.
    #[display("request {request} was answered {status} and ran")]
    FalseRefusal {
        /// The request.
        request: RequestId,
        /// The status.
        status: u16,
    },
    /// A refusal does not say when to come back.
    #[display("request {request} was answered {status} without a time to come back")]
    NoTimeToComeBack {
        /// The request.
        request: RequestId,
        /// The status.
        status: u16,
    },
    /// A gateway went back to an older configuration.
    #[display("request {request} was handled by configuration {used} after {seen} was in use")]
    SteppedBack {
        /// The request.
        request: RequestId,
        /// The configuration used.
        used: usize,
        /// The one seen before.
        seen: usize,
    },
    /// A configuration was not in force in time.
    #[display("request {request} was handled by configuration {used} though {newest} binds")]
    Outdated {
        /// The request.
        request: RequestId,
        /// The configuration used.
        used: usize,
        /// The one that binds.
        newest: usize,
    },
    /// A key that was taken away worked.
    #[display("request {request} ran with a key that was taken away {ago} before it was sent")]
    RevokedKey {
        /// The request.
        request: RequestId,
        /// How long before.
        ago: Millis,
    },
    /// An organisation got more than its quota.
    #[display("request {request} ran as one of {ran} in one window, of which {most} may run")]
    OverQuota {
        /// The request.
        request: RequestId,
        /// Requests that ran.
        ran: usize,
        /// Requests that may run.
        most: usize,
    },
    /// A leaving server got a request.
    #[display("request {request} ran on server {server} that left {ago} before it was sent")]
    RanOnLeaving {
        /// The request.
        request: RequestId,
        /// The server.
        server: usize,
        /// How long before.
        ago: Millis,
    },
    /// A server got requests though it wants none for a while.
    #[display("request {request} is one of {arrivals} that came to server {server} though it wants none")]
    SentWhileClosed {
        /// The request.
        request: RequestId,
        /// The server.
        server: usize,
        /// How many came.
        arrivals: u32,
    },
    /// A server got more requests than its rate limit allows.
    #[display(
        "request {request} is one of {arrivals} in one window at limited server {server}, of which {most} may come"
    )]
    OverLimit {
        /// The request.
        request: RequestId,
        /// The server.
        server: usize,
        /// Requests that came.
        arrivals: usize,
        /// Requests that may come.
        most: usize,
    },
    /// A planned stop cut a request.
    #[display("request {request} was cut by a planned stop of gateway {gateway}")]
    CutByPlannedStop {
        /// The request.
        request: RequestId,
        /// The gateway.
        gateway: usize,
    },
    /// A planned stop did not end well.
    #[display("gateway {gateway} did not end well when it was asked to stop")]
    NoCleanEnd {
        /// The gateway.
        gateway: usize,
    },
    /// Answers came too late.
    #[display("request {request} is one of {count} whose answers came more than {ANSWER_LAG} late")]
    Late {
        /// The last of them.
        request: RequestId,
        /// How many.
        count: u32,
    },
    /// A bad version got too many requests.
    #[display("a bad version got {bad} of {all} requests")]
    Exposed {
        /// Requests that it got.
        bad: u32,
        /// All requests of its backend meanwhile.
        all: u32,
    },
    /// A move had no end in time.
    #[display("a move stood as {state} after its deadline")]
    RolloutNotEnded {
        /// How it stood.
        state: String,
    },
    /// Too few requests were served in calm.
    #[display("{served} of {sent} requests were served in calm")]
    NotServing {
        /// Requests served.
        served: u32,
        /// Requests sent.
        sent: u32,
    },
}
