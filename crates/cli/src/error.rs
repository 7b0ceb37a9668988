//! Every way in which a command fails, with its exit code.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use carawayseam_clients::CallError;
use carawayseam_config::{DocumentError, DocumentFinding};
use carawayseam_rollout::Phase;
use carawayseam_types::{Difference, EnvironmentId, Millis, Nonce, RolloutId};
use derive_more::{Display, Error, From};
use serde::Serialize;

use crate::check::{self, Comparison};
use crate::promotion::Refused;
use crate::trial::Finding;

/// Exit codes; scripts rely on them, so a number never changes its meaning.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(into = "u8")]
#[repr(u8)]
pub enum Code {
    /// The command did what it was to do.
    Success = 0,
    /// The system failed the command, such as a full disk.
    System = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The document cannot be read or breaks a rule.
    Document = 3,
    /// A trial failed, or none was passed.
    Trial = 4,
    /// Another operator's change came first.
    LostRace = 5,
    /// A write was sent, and nobody can tell whether it took effect.
    Unknown = 6,
    /// The store or process does not answer; nothing was changed.
    Unreachable = 7,
    /// A move that was waited for was taken back.
    TakenBack = 8,
    /// The environment or move does not exist, or is over.
    NotFound = 9,
    /// The time to wait is over.
    TimedOut = 10,
}

impl From<Code> for u8 {
    fn from(code: Code) -> Self {
        code as Self
    }
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CliError {
    /// A file cannot be read.
    #[display("cannot read {}", path.display())]
    #[from(skip)]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The document is wrong.
    #[display("{_0}")]
    Document(#[error(not(source))] DocumentError),
    /// The check of a document forbids sending it.
    #[display("{}{}", check::lines(findings), compared(comparison.as_ref()))]
    #[from(skip)]
    Findings {
        /// All findings.
        #[error(not(source))]
        findings: Vec<DocumentFinding>,
        /// The comparison with the active version, if one was requested and the document has no errors.
        #[error(not(source))]
        comparison: Option<Comparison>,
    },
    /// Engines did not answer as the document declares them.
    #[display("the trial failed: {}", list(findings))]
    #[from(skip)]
    TrialFailed {
        /// What was found.
        #[error(not(source))]
        findings: Vec<Finding>,
    },
    /// A promotion was not accepted.
    #[display("not accepted: {source}{}", differing(difference.as_deref()))]
    #[from(skip)]
    Promotion {
        /// Why.
        #[error(not(source))]
        source: Refused,
        /// What the winner of a race has otherwise than this document.
        difference: Option<Box<Difference>>,
    },
    /// A write was sent, and nobody can tell whether it took effect.
    #[display("the store does not tell whether the write with nonce {nonce} took effect")]
    #[from(skip)]
    WriteUnknown {
        /// The write's nonce.
        nonce: Nonce,
        /// The last failure.
        source: CallError,
    },
    /// The store does not answer.
    #[display("the store does not answer")]
    #[from(skip)]
    Store {
        /// The last failure.
        source: CallError,
    },
    /// The store's call budget is spent.
    #[display("the store refuses calls over its budget; nothing was written")]
    #[from(skip)]
    OverBudget,
    /// An entry of the store cannot be read.
    #[display("the store's entry `{key}` cannot be read")]
    #[from(skip)]
    Corrupt {
        /// The key.
        key: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A process does not answer.
    #[display("{address} gives no state dump")]
    #[from(skip)]
    Dump {
        /// The address asked.
        address: SocketAddr,
        /// The last failure.
        source: reqwest::Error,
    },
    /// The environment has no configuration.
    #[display("environment `{environment}` has no configuration in the store")]
    #[from(skip)]
    UnknownEnvironment {
        /// The environment.
        #[error(not(source))]
        environment: EnvironmentId,
    },
    /// No such move is declared or recorded.
    #[display("environment `{environment}` has no move `{move_id}`")]
    #[from(skip)]
    UnknownRollout {
        /// The environment.
        environment: EnvironmentId,
        /// The move.
        move_id: RolloutId,
    },
    /// The move is over.
    #[display("move `{move_id}` is over: {phase}")]
    #[from(skip)]
    RolloutOver {
        /// The move.
        move_id: RolloutId,
        /// How it ended.
        phase: Phase,
    },
    /// A move that was waited for was taken back.
    #[display("move `{move_id}` was taken back: {cause}")]
    #[from(skip)]
    RolloutRolledBack {
        /// The move.
        move_id: RolloutId,
        /// Why.
        cause: carawayseam_rollout::Cause,
    },
    /// The time to wait is over.
    #[display("not all moves are over after {waited}")]
    #[from(skip)]
    TimedOut {
        /// How long it waited.
        #[error(not(source))]
        waited: Millis,
    },
    /// The HTTP library cannot be set up.
    #[display("the HTTP client cannot be made")]
    #[from(skip)]
    Client {
        /// The library's reason.
        source: CallError,
    },
    /// The runtime cannot be started.
    #[display("the runtime cannot be started")]
    #[from(skip)]
    Runtime {
        /// The system's reason.
        source: std::io::Error,
    },
    /// The result cannot be written out.
    #[display("the result cannot be written out")]
    #[from(skip)]
    Print {
        /// The system's reason.
        source: std::io::Error,
    },
}

fn list(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

fn compared(comparison: Option<&Comparison>) -> String {
    comparison.map_or_else(String::new, |comparison| format!("\n{comparison}"))
}

fn differing(difference: Option<&Difference>) -> String {
    difference.map_or_else(String::new, |difference| {
        format!("; it differs from this document in {difference}")
    })
}

impl CliError {
    /// The exit code.
    #[must_use]
    pub const fn code(&self) -> Code {
        match self {
            Self::ReadFile { .. } | Self::Document(_) | Self::Findings { .. } => Code::Document,
            Self::TrialFailed { .. } => Code::Trial,
            Self::Promotion { source, .. } => refusal_code(source),
            Self::WriteUnknown { .. } => Code::Unknown,
            Self::Store { .. } | Self::OverBudget | Self::Dump { .. } => Code::Unreachable,
            Self::UnknownEnvironment { .. } | Self::UnknownRollout { .. } | Self::RolloutOver { .. } => {
                Code::NotFound
            }
            Self::RolloutRolledBack { .. } => Code::TakenBack,
            Self::TimedOut { .. } => Code::TimedOut,
            Self::Corrupt { .. } | Self::Client { .. } | Self::Runtime { .. } | Self::Print { .. } => {
                Code::System
            }
        }
    }

    /// What the operator can do next.
    #[must_use]
    pub const fn advice(&self) -> &'static str {
        match self.code() {
            Code::Success => "nothing",
            Code::System => "mend what is named, and run the command again",
            Code::Usage => "run the command with --help",
            Code::Document => "correct the document, and run `check` again",
            Code::Trial => "run `trial` with this document until it passes, then `promote`",
            Code::LostRace => "take the other change into this document, then `trial` and `promote` again",
            Code::Unknown => "run `status`; running the same command again is safe",
            Code::Unreachable => "run the command again once the address answers",
            Code::TakenBack => "the old version serves; `status` shows the cause",
            Code::NotFound => "run `status` to see environments and moves",
            Code::TimedOut => "run `status --wait` again; the moves go on",
        }
    }

    /// The error as `--json` prints it, under a message that names its causes too.
    #[must_use]
    pub fn report(&self, message: String) -> ErrorReport<'_> {
        ErrorReport {
            result: "error",
            exit_code: self.code(),
            message,
            advice: self.advice(),
            winner: self.winner(),
            difference: self.difference(),
            findings: self.findings(),
            comparison: self.comparison(),
        }
    }

    fn winner(&self) -> Option<Winner<'_>> {
        match self {
            Self::Promotion {
                source: Refused::LostRace { winner },
                ..
            } => Some(Winner {
                revision: winner.revision.0,
                operator: winner.operator.as_str(),
                promoted_at: winner.promoted_at.0,
            }),
            _ => None,
        }
    }

    const fn findings(&self) -> Option<&Vec<DocumentFinding>> {
        match self {
            Self::Findings { findings, .. } => Some(findings),
            _ => None,
        }
    }

    const fn comparison(&self) -> Option<&Comparison> {
        match self {
            Self::Findings { comparison, .. } => comparison.as_ref(),
            _ => None,
        }
    }

    fn difference(&self) -> Option<&Difference> {
        match self {
            Self::Promotion { difference, .. } => difference.as_deref(),
            _ => None,
        }
    }
}

const fn refusal_code(refused: &Refused) -> Code {
    match refused {
        Refused::NoTrial { .. } => Code::Trial,
        Refused::LostRace { .. } | Refused::Removed => Code::LostRace,
        Refused::Corrupt { .. } => Code::System,
        Refused::Unreachable => Code::Unreachable,
        Refused::Unknown => Code::Unknown,
    }
}

/// An error in JSON.
#[derive(Debug, Serialize)]
pub struct ErrorReport<'a> {
    result: &'static str,
    exit_code: Code,
    message: String,
    advice: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    winner: Option<Winner<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    difference: Option<&'a Difference>,
    #[serde(skip_serializing_if = "Option::is_none")]
    findings: Option<&'a Vec<DocumentFinding>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    comparison: Option<&'a Comparison>,
}

/// The promotion that came first.
#[derive(Debug, Serialize)]
struct Winner<'a> {
    revision: u64,
    operator: &'a str,
    promoted_at: u64,
}
