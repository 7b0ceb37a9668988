//! What operators' commands keep in the store beside documents and moves, and under which keys.

use carawayseam_types::{Digest, EnvironmentId, Millis, Nonce, RolloutId};
use serde::{Deserialize, Serialize};

/// Everything of all environments is below this prefix.
pub const ENVIRONMENTS_PREFIX: &str = "environments/";

/// A trial that a document passed; stored under [`trial_key`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// The digest of the document's text.
    pub digest: Digest,
    /// Drawn by the trial.
    pub nonce: Nonce,
    /// When it passed, by the operator's clock.
    pub passed_at: Millis,
    /// Engines that answered.
    pub engines_checked: u32,
}

/// An operator's wish to take a move back; stored under [`take_back_key`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeBack {
    /// Drawn by the command.
    pub nonce: Nonce,
    /// Who wishes it.
    pub operator: String,
    /// When, by the operator's clock.
    pub at: Millis,
}

/// The key of a document's trial.
#[must_use]
pub fn trial_key(environment: &EnvironmentId, digest: Digest) -> String {
    format!("{ENVIRONMENTS_PREFIX}{environment}/trials/{digest}")
}

/// The key of an operator's wish to take a move back.
#[must_use]
pub fn take_back_key(environment: &EnvironmentId, move_id: &RolloutId) -> String {
    format!("{ENVIRONMENTS_PREFIX}{environment}/take-back/{move_id}")
}
