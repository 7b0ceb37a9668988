//! What can go wrong in the testbed itself.

use std::path::PathBuf;

/// The testbed could not do what was asked.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum TestbedError {
    /// A program is not where it is expected.
    #[display("no program at {}: build the workspace first", path.display())]
    #[error(ignore)]
    NoProgram {
        /// Where it was expected.
        path: PathBuf,
    },
    /// A process or file could not be handled.
    #[display("{what}: {cause}")]
    Io {
        /// What was tried.
        what: &'static str,
        /// Why it failed.
        #[error(source)]
        cause: std::io::Error,
    },
    /// A process ended before it told where it listens.
    #[display("{name} ended before it listened")]
    #[error(ignore)]
    Ended {
        /// The process.
        name: String,
    },
    /// A process printed something else than where it listens.
    #[display("{name} printed an unexpected line: {line}")]
    #[error(ignore)]
    BadLine {
        /// The process.
        name: String,
        /// The line.
        line: String,
    },
    /// A call failed.
    #[display("a call failed")]
    Http(#[error(source)] reqwest::Error),
    /// The store refused a write.
    #[display("the store refused a write")]
    Store,
    /// A client of the platform failed.
    #[display("a client failed")]
    Client(#[error(source)] carawayseam_clients::CallError),
    /// A document is not valid.
    #[display("the document is not valid")]
    Document(#[error(source)] carawayseam_config::DocumentError),
    /// A name is not valid.
    #[display("a name is not valid")]
    Name(#[error(source)] carawayseam_types::ParseError),
    /// A value could not be encoded.
    #[display("a value could not be encoded")]
    Json(#[error(source)] serde_json::Error),
    /// An event did not come in time.
    #[display("{what} did not come about")]
    #[error(ignore)]
    Never {
        /// What was waited for.
        what: String,
    },
    /// A command of the operators' line failed.
    #[display("`carawayseam {command}` failed: {output}")]
    #[error(ignore)]
    Command {
        /// Its arguments.
        command: String,
        /// What it printed.
        output: String,
    },
}

impl From<reqwest::Error> for TestbedError {
    fn from(error: reqwest::Error) -> Self {
        Self::Http(error)
    }
}

impl From<carawayseam_clients::CallError> for TestbedError {
    fn from(error: carawayseam_clients::CallError) -> Self {
        Self::Client(error)
    }
}

impl From<carawayseam_config::DocumentError> for TestbedError {
    fn from(error: carawayseam_config::DocumentError) -> Self {
        Self::Document(error)
    }
}

impl From<carawayseam_types::ParseError> for TestbedError {
    fn from(error: carawayseam_types::ParseError) -> Self {
        Self::Name(error)
    }
}

impl From<serde_json::Error> for TestbedError {
    fn from(error: serde_json::Error) -> Self {
        Self::Json(error)
    }
}

/// Names what was tried when an I/O call fails.
pub(crate) fn io(what: &'static str) -> impl FnOnce(std::io::Error) -> TestbedError {
    move |cause| TestbedError::Io { what, cause }
}
