//! How the store holds documents and moves.

use carawayseam_clients::{CallError, KvClient};
use carawayseam_external::kv::Entry;
use carawayseam_types::{BackendName, Digest, EnvironmentId, Millis, Nonce, Revision};
use carawayseam_wire::{Record, RecordKey};
use serde::{Deserialize, Serialize};

/// The promoted document of an environment, as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentDocument {
    /// Grows with every promotion.
    pub revision: Revision,
    /// The digest of the YAML text.
    pub digest: Digest,
    /// The YAML text.
    pub yaml: String,
    /// By which the promoter knows its own write again.
    pub nonce: Nonce,
    /// When it was promoted.
    pub promoted_at: Millis,
    /// Who promoted it.
    pub operator: String,
}

/// An entry of the store that cannot be used.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum StoredError {
    /// The store did not answer.
    #[display("the store did not answer")]
    Call(#[error(source)] CallError),
    /// The entry does not have its shape.
    #[display("entry `{key}` cannot be read")]
    Malformed {
        /// The entry's key.
        key: String,
        /// Why.
        #[error(source)]
        cause: serde_json::Error,
    },
}

/// The key of an environment's document.
#[must_use]
pub fn current_document_key(environment: &EnvironmentId) -> String {
    format!("environments/{environment}/current")
}

/// The prefix of an environment's moves.
#[must_use]
pub fn rollouts_prefix(environment: &EnvironmentId) -> String {
    format!("environments/{environment}/moves/")
}

/// The key of a backend's move.
#[must_use]
pub fn rollout_key(environment: &EnvironmentId, backend: &BackendName) -> String {
    format!("environments/{environment}/moves/{backend}")
}

/// Turns an entry of an environment's keys into the record that peers spread.
///
/// Entries that are no records, such as trials, give none.
///
/// # Errors
///
/// [`StoredError::Malformed`] for an entry of the wrong shape.
pub fn record_from_entry(environment: &EnvironmentId, entry: &Entry) -> Result<Option<Record>, StoredError> {
    let malformed = |cause| StoredError::Malformed {
        key: entry.key.clone(),
        cause,
    };
    let prefix = rollouts_prefix(environment);
    match entry.key.strip_prefix(&prefix) {
        Some(backend) => {
            let Ok(backend) = backend.parse::<BackendName>() else {
                return Ok(None);
            };
            let mv: MoveHead = serde_json::from_str(&entry.value).map_err(malformed)?;
            let key = RecordKey::Rollout(environment.clone(), backend);
            Ok(Some(Record::new(key, mv.revision, entry.value.clone())))
        }
        None if entry.key == current_document_key(environment) => {
            let current: CurrentDocument = serde_json::from_str(&entry.value).map_err(malformed)?;
            let key = RecordKey::Configuration(environment.clone());
            Ok(Some(Record::new(key, current.revision, current.yaml)))
        }
        None => Ok(None),
    }
}

/// Reads an environment's document; none before its first promotion.
///
/// # Errors
///
/// [`StoredError`].
pub async fn read_current_document(
    store: &KvClient,
    environment: &EnvironmentId,
) -> Result<Option<Record>, StoredError> {
    match store.get(&current_document_key(environment)).await {
        Ok(Some(entry)) => record_from_entry(environment, &entry),
        Ok(None) => Ok(None),
        Err(e) => Err(StoredError::Call(e)),
    }
}

/// The part of a move's record that the spread needs.
#[derive(Deserialize)]
struct MoveHead {
    revision: Revision,
}
