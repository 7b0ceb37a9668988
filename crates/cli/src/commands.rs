//! The commands: each takes its flags to a typed result.

use std::fmt;
use std::path::{Path, PathBuf};

use carawayseam_config::{Document, DocumentFinding};
use carawayseam_external::kv::PutRequest;
use carawayseam_node::rollouts_prefix;
use carawayseam_rollout::RolloutRecord;
use carawayseam_types::{Clock, Difference, Digest, EngineId, EnvironmentId, Nonce, Revision, RolloutId};
use serde::Serialize;

use crate::check::{self, Comparison};
use crate::dump::{self, Dump};
use crate::error::CliError;
use crate::flags::Command;
use crate::promotion::{Accepted, Promotion, Proposal, Refused};
use crate::records::{TakeBack, Trial, take_back_key, trial_key};
use crate::status::{self, Status};
use crate::store::Store;
use crate::trial::{self, Passed};

/// What a command did.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum Done {
    /// The document is valid and may be sent.
    Valid {
        /// The document.
        #[serde(flatten)]
        summary: Summary,
        /// The warnings.
        findings: Vec<DocumentFinding>,
        /// The comparison with the active version, if one was requested.
        #[serde(skip_serializing_if = "Option::is_none")]
        comparison: Option<Comparison>,
    },
    /// The trial was passed and is recorded.
    TrialPassed {
        /// The document.
        #[serde(flatten)]
        summary: Summary,
        /// What the engines answered.
        #[serde(flatten)]
        passed: Passed,
    },
    /// The document is in force.
    Accepted {
        /// The document.
        #[serde(flatten)]
        summary: Summary,
        /// Its revision.
        revision: Revision,
        /// Whether it was in force before.
        was_in_force: bool,
    },
    /// The wish to take the move back is in the store.
    TakeBackRecorded {
        /// The environment.
        environment: EnvironmentId,
        /// The move.
        #[serde(rename = "move")]
        move_id: RolloutId,
    },
    /// The status.
    Status(Status),
    /// A process's state.
    Dump {
        /// The state.
        state: Dump,
    },
}

/// A document in a few words.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, derive_more::Display)]
#[display("environment {environment}: {engines} engines, {routes} routes, {moves} moves (digest {digest})")]
pub struct Summary {
    file: PathBuf,
    environment: EnvironmentId,
    digest: Digest,
    engines: usize,
    routes: usize,
    moves: usize,
}

impl Summary {
    pub(crate) fn of(file: &Path, document: &Document) -> Self {
        Self {
            file: file.to_owned(),
            environment: document.environment.clone(),
            digest: document.digest,
            engines: document.engines.len(),
            routes: document.routes.len(),
            moves: document.moves.len(),
        }
    }
}

impl fmt::Display for Done {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Valid {
                summary,
                findings,
                comparison,
            } => {
                let separator = if findings.is_empty() { "" } else { "\n" };
                write!(f, "{}", check::lines(findings))?;
                write!(f, "{separator}valid: {summary}")?;
                match comparison {
                    Some(comparison) => write!(f, "\n{comparison}"),
                    None => Ok(()),
                }
            }
            Self::TrialPassed { summary, passed } => {
                write!(
                    f,
                    "trial passed: {summary}; {} engines answered",
                    passed.engines_checked
                )?;
                let parts = [
                    ("will load their version", &passed.to_load),
                    ("silent", &passed.missing),
                ];
                for (what, engines) in parts.into_iter().filter(|(_, engines)| !engines.is_empty()) {
                    let names: Vec<&str> = engines.iter().map(EngineId::as_str).collect();
                    write!(f, "; {what}: {}", names.join(", "))?;
                }
                Ok(())
            }
            Self::Accepted {
                summary,
                revision,
                was_in_force: true,
            } => write!(f, "in force already as revision {revision}: {summary}"),
            Self::Accepted {
                summary, revision, ..
            } => write!(f, "accepted as revision {revision}: {summary}"),
            Self::TakeBackRecorded { environment, move_id } => {
                write!(
                    f,
                    "the take-back of move {move_id} in {environment} is recorded; `status --wait` tells when it is done"
                )
            }
            Self::Status(status) => write!(f, "{status}"),
            Self::Dump { state } => write!(f, "{state}"),
        }
    }
}

/// A document with its text.
struct Loaded {
    text: String,
    document: Document,
    summary: Summary,
}

/// Runs one command.
///
/// # Errors
///
/// [`CliError`], which gives the exit code.
pub async fn run(command: Command) -> Result<Done, CliError> {
    match command {
        Command::Check { strict, active, file } => check::run(&file, strict, active).await,
        Command::Trial {
            store,
            allow_missing,
            file,
        } => run_trial(&Store::new(&store.url, store.retry())?, &file, allow_missing).await,
        Command::Promote {
            store,
            operator,
            file,
        } => promote(&Store::new(&store.url, store.retry())?, &file, operator).await,
        Command::TakeBack {
            store,
            environment,
            operator,
            move_id,
        } => {
            take_back(
                &Store::new(&store.url, store.retry())?,
                environment,
                operator,
                move_id,
            )
            .await
        }
        Command::Status {
            store,
            environment,
            wait,
            timeout,
        } => {
            let store = Store::new(&store.url, store.retry())?;
            let only = environment.as_ref();
            let status = if wait {
                status::wait(&store, only, timeout).await
            } else {
                status::read_once(&store, only).await
            };
            status.map(Done::Status)
        }
        Command::Dump { address } => dump::read(address).await.map(|state| Done::Dump { state }),
    }
}

pub(crate) fn read_file(file: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(file).map_err(|source| CliError::ReadFile {
        path: file.to_owned(),
        source,
    })
}

fn load(file: &Path) -> Result<Loaded, CliError> {
    let text = read_file(file)?;
    let document = Document::from_yaml(&file.to_string_lossy(), &text)?;
    let summary = Summary::of(file, &document);
    Ok(Loaded {
        text,
        document,
        summary,
    })
}

async fn run_trial(store: &Store, file: &Path, allow_missing: u32) -> Result<Done, CliError> {
    let Loaded {
        document, summary, ..
    } = load(file)?;
    let passed = trial::run(&document, allow_missing).await?;
    let record = Trial {
        digest: document.digest,
        nonce: draw_nonce(),
        passed_at: Clock::system().now(),
        engines_checked: passed.engines_checked,
    };
    let key = trial_key(&document.environment, document.digest);
    store
        .put_until_known(&blind_put(key, &record), record.nonce)
        .await?;
    Ok(Done::TrialPassed { summary, passed })
}

async fn promote(store: &Store, file: &Path, operator: String) -> Result<Done, CliError> {
    let Loaded {
        text,
        document,
        summary,
    } = load(file)?;
    let proposal = Proposal {
        environment: document.environment.clone(),
        digest: document.digest,
        yaml: text,
        nonce: draw_nonce(),
        at: Clock::system().now(),
        operator,
    };
    match store.drive(Promotion::new(proposal, store.attempts())).await {
        Ok(Accepted {
            revision,
            was_in_force,
        }) => Ok(Done::Accepted {
            summary,
            revision,
            was_in_force,
        }),
        Err(source) => Err(CliError::Promotion {
            difference: race_difference(&document, &source).map(Box::new),
            source,
        }),
    }
}

/// What the winner of a race has otherwise than the document that lost.
fn race_difference(document: &Document, refused: &Refused) -> Option<Difference> {
    match refused {
        Refused::LostRace { winner } => {
            let winner = Document::from_yaml("winner", &winner.yaml).ok()?;
            Some(Difference::between(document, &winner))
        }
        _ => None,
    }
}

async fn take_back(
    store: &Store,
    environment: EnvironmentId,
    operator: String,
    move_id: RolloutId,
) -> Result<Done, CliError> {
    require_open_move(store, &environment, &move_id).await?;
    let record = TakeBack {
        nonce: draw_nonce(),
        operator,
        at: Clock::system().now(),
    };
    let put = blind_put(take_back_key(&environment, &move_id), &record);
    store.put_until_known(&put, record.nonce).await?;
    Ok(Done::TakeBackRecorded { environment, move_id })
}

/// Refuses a move that is over, or that is neither recorded nor declared.
async fn require_open_move(
    store: &Store,
    environment: &EnvironmentId,
    move_id: &RolloutId,
) -> Result<(), CliError> {
    for entry in store.range(&rollouts_prefix(environment)).await?.entries {
        match serde_json::from_str::<RolloutRecord>(&entry.value) {
            Ok(record) if record.spec.name != *move_id => {}
            Ok(record) if record.phase.is_final() => {
                return Err(CliError::RolloutOver {
                    move_id: move_id.clone(),
                    phase: record.phase,
                });
            }
            Ok(_) => return Ok(()),
            Err(source) => {
                return Err(CliError::Corrupt {
                    key: entry.key,
                    source,
                });
            }
        }
    }
    require_declared_move(store, environment, move_id).await
}

async fn require_declared_move(
    store: &Store,
    environment: &EnvironmentId,
    move_id: &RolloutId,
) -> Result<(), CliError> {
    let unknown = || CliError::UnknownEnvironment {
        environment: environment.clone(),
    };
    let (_, document) = check::read_active(store, environment)
        .await?
        .ok_or_else(unknown)?;
    if document.moves.iter().any(|mv| mv.name == *move_id) {
        return Ok(());
    }
    Err(CliError::UnknownRollout {
        environment: environment.clone(),
        move_id: move_id.clone(),
    })
}

fn blind_put<T: Serialize>(key: String, record: &T) -> PutRequest {
    PutRequest {
        key,
        value: serde_json::to_string(record).expect("a record of texts and numbers is always JSON"),
        expect: None,
        lease: None,
        ttl_ms: None,
    }
}

fn draw_nonce() -> Nonce {
    Nonce(rand::random())
}
