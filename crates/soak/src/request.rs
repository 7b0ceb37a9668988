//! Requests as callers see them.

/// Numbers requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub struct RequestId(pub u64);

/// A route of the soak's configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Route {
    /// Requests that run once at most.
    #[display("calls")]
    Calls,
    /// Requests that may run again.
    #[display("reads")]
    Reads,
    /// Streams of events.
    #[display("guides")]
    Guides,
    /// Goes to another backend with each configuration; may run again.
    #[display("steps")]
    Steps,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Its own whole answer.
    Success,
    /// A failure that promises nothing.
    Failure(u16),
    /// The word that it has not run and never will.
    Refused {
        /// The status.
        status: u16,
        /// Whether it says when to come back.
        says_when: bool,
    },
    /// The connection ended early.
    Cut,
    /// What came is not the request's own whole answer, though it looks so.
    Wrong(String),
}
