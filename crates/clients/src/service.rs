//! Plain services, some of whose calls may not be repeated.

use std::net::SocketAddr;

use carawayseam_external::service::{CALL_PATH, Call, CallResponse};
use carawayseam_types::Millis;

use crate::http::send_json;
use crate::{CallError, Http};

/// A client of plain services' servers.
#[derive(Debug, Clone)]
pub struct ServiceClient {
    fresh: Http,
    pooled: Http,
}

impl ServiceClient {
    /// Makes a client.
    ///
    /// # Errors
    ///
    /// [`CallError`] when the HTTP library cannot be set up.
    pub fn new() -> Result<Self, CallError> {
        let fresh = Http::builder().disable_pooling().build()?;
        let pooled = Http::builder().build()?;
        Ok(Self { fresh, pooled })
    }

    /// Makes one call, once, over a connection of its own unless one may be used again.
    ///
    /// Only an idempotent call may go over a connection that was used before.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] when the call certainly did not run.
    pub async fn call(
        &self,
        server: SocketAddr,
        call: &Call,
        may_reuse: bool,
        timeout: Millis,
    ) -> Result<CallResponse, CallError> {
        let http = if may_reuse { &self.pooled } else { &self.fresh };
        let url = format!("http://{server}{CALL_PATH}");
        send_json(http.post(&url, call).timeout(timeout.to_duration())).await
    }
}
