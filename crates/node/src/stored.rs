//! The stored form of documents and rollouts.

use carawayseam_clients::{CallError, KvClient};
use carawayseam_external::kv::Entry;
use carawayseam_types::{BackendName, Digest, EnvironmentId, Millis, Nonce, Revision};
use carawayseam_wire::{Record, RecordKey};
use serde::{Deserialize, Serialize};

/// The stored form of an environment's promoted document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentDocument {
    /// The revision, which increases with each promotion.
    pub revision: Revision,
    /// The digest of the YAML text.
    pub digest: Digest,
    /// The YAML text.
    pub yaml: String,
    /// Identifies the write, so that the promoter recognizes its own.
    pub nonce: Nonce,
    /// The time of the promotion.
    pub promoted_at: Millis,
    /// The operator who promoted the document.
    pub operator: String,
}

/// An error of reading an entry of the store.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum StoredError {
    /// The call to the store failed.
    #[display("the store did not answer")]
    Call(#[error(source)] CallError),
    /// The entry does not match its schema.
    #[display("entry `{key}` cannot be read")]
    Malformed {
        /// The entry's key.
        key: String,
        /// The cause.
        #[error(source)]
        cause: serde_json::Error,
    },
}

/// Returns the key of an environment's document.
#[must_use]
pub fn current_document_key(environment: &EnvironmentId) -> String {
    format!("environments/{environment}/current")
}

/// Returns the key prefix of an environment's rollouts.
#[must_use]
pub fn rollouts_prefix(environment: &EnvironmentId) -> String {
    format!("environments/{environment}/moves/")
}

/// Returns the key of a backend's rollout.
#[must_use]
pub fn rollout_key(environment: &EnvironmentId, backend: &BackendName) -> String {
    format!("environments/{environment}/moves/{backend}")
}

/// Converts an entry under an environment's keys to the record that peers distribute.
///
/// Returns `None` for other entries, such as trials.
///
/// # Errors
///
/// Returns [`StoredError::Malformed`] for an entry that does not match its schema.
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
            let rollout: RolloutHead = serde_json::from_str(&entry.value).map_err(malformed)?;
            let key = RecordKey::Rollout(environment.clone(), backend);
            Ok(Some(Record::new(key, rollout.revision, entry.value.clone())))
        }
        None if entry.key == current_document_key(environment) => {
            let current: CurrentDocument = serde_json::from_str(&entry.value).map_err(malformed)?;
            let key = RecordKey::Configuration(environment.clone());
            Ok(Some(Record::new(key, current.revision, current.yaml)))
        }
        None => Ok(None),
    }
}

/// Reads an environment's document; returns `None` before its first promotion.
///
/// # Errors
///
/// Returns [`StoredError`] if the call fails or the entry is malformed.
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

/// The part of a rollout's record that is needed to distribute it.
#[derive(Deserialize)]
struct RolloutHead {
    revision: Revision,
}
