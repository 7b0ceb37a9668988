//! A client of the platform's host list.

use carawayseam_external::hosts::{HOSTS_PATH, HostList};

use crate::http::send_json;
use crate::{CallError, Http};

/// A client of the host list.
#[derive(Debug, Clone)]
pub struct HostListClient {
    http: Http,
    url: String,
}

impl HostListClient {
    /// Creates a client of the host list at the URL `base`.
    #[must_use]
    pub fn new(http: Http, base: &str) -> Self {
        Self {
            http,
            url: format!("{}{HOSTS_PATH}", base.trim_end_matches('/')),
        }
    }

    /// Reads the host list.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the call fails.
    pub async fn read(&self) -> Result<HostList, CallError> {
        send_json(self.http.get(&self.url)).await
    }
}
