//! `status`: what the store says of environments and their moves.

use std::collections::BTreeMap;
use std::fmt;

use carawayseam_config::Document;
use carawayseam_external::kv::{Entry, Range};
use carawayseam_node::CurrentDocument;
use carawayseam_rollout::{Cause, Phase, RolloutRecord};
use carawayseam_types::{
    BackendName, Clock, Digest, EnvironmentId, Millis, Permille, Revision, RolloutId, VersionId,
};
use serde::Serialize;

use crate::error::CliError;
use crate::records::ENVIRONMENTS_PREFIX;
use crate::store::Store;

/// One environment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EnvironmentStatus {
    /// Its name.
    pub environment: EnvironmentId,
    /// The revision in force.
    pub revision: Revision,
    /// The digest of its document.
    pub digest: Digest,
    /// Who promoted it.
    pub operator: String,
    /// When.
    pub promoted_at: Millis,
    /// The moves, declared or recorded.
    pub moves: Vec<RolloutSummary>,
}

/// One move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RolloutSummary {
    /// Its name.
    pub name: RolloutId,
    /// The model or service.
    pub backend: BackendName,
    /// The version that served before.
    pub from: VersionId,
    /// The version to move to.
    pub to: VersionId,
    /// Whether the document in force declares it; a record may outlive that.
    pub declared: bool,
    /// How it stands; none before its first record.
    pub progress: Option<Progress>,
}

/// How a move stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// The phase.
    pub phase: Phase,
    /// The new version's share.
    pub share: Permille,
    /// When it must be over.
    pub deadline: Millis,
    /// Why it is in this phase.
    #[serde(flatten)]
    pub cause: Cause,
}

impl RolloutSummary {
    fn is_over(&self) -> bool {
        match &self.progress {
            Some(progress) => progress.phase.is_final(),
            None => !self.declared,
        }
    }
}

/// Everything that the store says.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The environments.
    pub environments: Vec<EnvironmentStatus>,
}

impl Status {
    /// Reads the answer to a range over all environments.
    ///
    /// # Errors
    ///
    /// When an entry cannot be read.
    pub fn read(range: &Range) -> Result<Self, CliError> {
        let mut environments = BTreeMap::new();
        for entry in &range.entries {
            let Some((environment, "current")) = split_key(&entry.key) else {
                continue;
            };
            environments.insert(environment, read_environment(environment, entry)?);
        }
        for entry in &range.entries {
            match split_key(&entry.key) {
                Some((environment, rest)) if rest.starts_with("moves/") => {
                    let status = environments.get_mut(environment);
                    add_record(status, &read(entry)?);
                }
                _ => {}
            }
        }
        Ok(Self {
            environments: environments.into_values().collect(),
        })
    }

    /// Keeps one environment.
    ///
    /// # Errors
    ///
    /// When the store has no configuration for it.
    pub fn only(mut self, environment: &EnvironmentId) -> Result<Self, CliError> {
        self.environments
            .retain(|status| status.environment == *environment);
        if self.environments.is_empty() {
            return Err(CliError::UnknownEnvironment {
                environment: environment.clone(),
            });
        }
        Ok(self)
    }

    fn moves(&self) -> impl Iterator<Item = &RolloutSummary> {
        self.environments
            .iter()
            .flat_map(|environment| &environment.moves)
    }
}

/// Splits `environments/NAME/REST`.
fn split_key(key: &str) -> Option<(&str, &str)> {
    key.strip_prefix(ENVIRONMENTS_PREFIX)?.split_once('/')
}

fn read<T: serde::de::DeserializeOwned>(entry: &Entry) -> Result<T, CliError> {
    serde_json::from_str(&entry.value).map_err(|source| CliError::Corrupt {
        key: entry.key.clone(),
        source,
    })
}

fn read_environment(environment: &str, entry: &Entry) -> Result<EnvironmentStatus, CliError> {
    let current: CurrentDocument = read(entry)?;
    let document = Document::from_yaml(&entry.key, &current.yaml)?;
    let declared = document.moves.iter().map(|mv| RolloutSummary {
        name: mv.name.clone(),
        backend: mv.backend.clone(),
        from: mv.from.clone(),
        to: mv.to.clone(),
        declared: true,
        progress: None,
    });
    log::debug!("environment {environment} is at revision {}", current.revision);
    Ok(EnvironmentStatus {
        environment: document.environment.clone(),
        revision: current.revision,
        digest: current.digest,
        operator: current.operator,
        promoted_at: current.promoted_at,
        moves: declared.collect(),
    })
}

fn add_record(status: Option<&mut EnvironmentStatus>, record: &RolloutRecord) {
    let Some(status) = status else {
        return;
    };
    let progress = Some(Progress {
        phase: record.phase,
        share: record.share,
        deadline: record.deadline,
        cause: record.cause.clone(),
    });
    let spec = &record.spec;
    match status.moves.iter_mut().find(|mv| mv.name == spec.name) {
        Some(known) if known.from == spec.from && known.to == spec.to => known.progress = progress,
        // The name was used before, for a move that the document no longer declares.
        Some(_) => {}
        None => status.moves.push(RolloutSummary {
            name: spec.name.clone(),
            backend: spec.backend.clone(),
            from: spec.from.clone(),
            to: spec.to.clone(),
            declared: false,
            progress,
        }),
    }
}

/// Reads the status once.
pub(crate) async fn read_once(store: &Store, only: Option<&EnvironmentId>) -> Result<Status, CliError> {
    let range = store.range(ENVIRONMENTS_PREFIX).await?;
    select(&range, only)
}

/// Waits until every move is over; a store that is down meanwhile is waited for.
pub(crate) async fn wait(
    store: &Store,
    only: Option<&EnvironmentId>,
    timeout: Millis,
) -> Result<Status, CliError> {
    let clock = Clock::system();
    let until = clock.now() + timeout;
    loop {
        let range = store.range(ENVIRONMENTS_PREFIX).await;
        let seen = range.as_ref().map_or(0, |range| range.revision);
        match range.and_then(|range| select(&range, only)) {
            Ok(status) if status.moves().all(RolloutSummary::is_over) => return settled(status),
            Ok(_) => {}
            Err(CliError::Store { source }) => log::warn!("the store does not answer: {source}"),
            Err(e) => return Err(e),
        }
        if clock.now() >= until {
            return Err(CliError::TimedOut { waited: timeout });
        }
        store.watch(ENVIRONMENTS_PREFIX, seen).await;
    }
}

fn select(range: &Range, only: Option<&EnvironmentId>) -> Result<Status, CliError> {
    let status = Status::read(range)?;
    match only {
        Some(environment) => status.only(environment),
        None => Ok(status),
    }
}

/// The status once every move is over; one that was taken back is told as such.
fn settled(status: Status) -> Result<Status, CliError> {
    let declared = status.moves().filter(|mv| mv.declared);
    let ended = declared.filter_map(|mv| mv.progress.as_ref().map(|progress| (mv, progress)));
    let taken_back = ended
        .filter(|(_, progress)| progress.phase == Phase::RolledBack)
        .map(|(mv, progress)| CliError::RolloutRolledBack {
            move_id: mv.name.clone(),
            cause: progress.cause.clone(),
        })
        .next();
    taken_back.map_or(Ok(status), Err)
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.environments.is_empty() {
            return write!(f, "the store has no environment");
        }
        for (at, environment) in self.environments.iter().enumerate() {
            let separator = if at == 0 { "" } else { "\n" };
            write!(f, "{separator}{environment}")?;
        }
        Ok(())
    }
}

impl fmt::Display for EnvironmentStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: revision {} by {} at {} (digest {})",
            self.environment, self.revision, self.operator, self.promoted_at.0, self.digest
        )?;
        for mv in &self.moves {
            write!(f, "\n  {mv}")?;
        }
        Ok(())
    }
}

impl fmt::Display for RolloutSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "move {} of {} from {} to {}: ",
            self.name, self.backend, self.from, self.to
        )?;
        match &self.progress {
            Some(progress) => write!(
                f,
                "{}, {} of traffic, deadline {} ({})",
                progress.phase, progress.share, progress.deadline.0, progress.cause
            ),
            None => write!(f, "not started"),
        }
    }
}
