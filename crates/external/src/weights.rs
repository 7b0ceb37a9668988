//! The weight store, from which engines load models; it limits its rate.

use carawayseam_types::{BackendName, VersionId};
use serde::{Deserialize, Serialize};

/// `POST` [`FetchRequest`]: status 200 when loaded, 429 over the rate.
pub const FETCH_PATH: &str = "/v1/fetch";

/// Fetches the weights of a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// The model.
    pub model: BackendName,
    /// The version.
    pub version: VersionId,
}
