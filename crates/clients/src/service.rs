//! A client of plain services, some of whose calls are not idempotent.

use std::net::SocketAddr;

use carawayseam_external::service::{CALL_PATH, Call, CallResponse};
use carawayseam_types::Millis;

use crate::http::send_json;
use crate::{CallError, Http};

/// A client of the backend servers of plain services.
#[derive(Debug, Clone)]
pub struct ServiceClient {
    unpooled: Http,
    pooled: Http,
}

impl ServiceClient {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the HTTP library cannot be initialised.
    pub fn new() -> Result<Self, CallError> {
        let unpooled = Http::builder().disable_pooling().build()?;
        let pooled = Http::builder().build()?;
        Ok(Self { unpooled, pooled })
    }

    /// Calls a service, sending the request once.
    ///
    /// Opens a new connection unless `may_reuse_connection`, which only an
    /// idempotent call may set: the HTTP library resends a request by itself when
    /// a reused connection turns out to be closed.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the call fails; [`CallError::NotSent`] if it certainly did not run.
    pub async fn call(
        &self,
        server: SocketAddr,
        call: &Call,
        may_reuse_connection: bool,
        timeout: Millis,
    ) -> Result<CallResponse, CallError> {
        let http = if may_reuse_connection {
            &self.pooled
        } else {
            &self.unpooled
        };
        let url = format!("http://{server}{CALL_PATH}");
        send_json(http.post(&url, call).timeout(timeout.to_duration())).await
    }
}
