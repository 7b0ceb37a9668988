//! The weight store, from which engines load models. It is rate-limited.

use carawayseam_types::{BackendName, VersionId};
use serde::{Deserialize, Serialize};

/// `POST` [`FetchRequest`] returns status 200 once loaded, or 429 above the rate limit.
pub const FETCH_PATH: &str = "/v1/fetch";

/// A request for the weights of a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// The model.
    pub model: BackendName,
    /// The version.
    pub version: VersionId,
}
