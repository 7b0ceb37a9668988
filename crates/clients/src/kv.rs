//! A client of the platform's key-value service.

use carawayseam_external::kv::{
    Conflict, Entry, GET_PATH, GRANT_PATH, GrantRequest, Lease, LeaseRequest, PUT_PATH, PutReply, PutRequest,
    RANGE_PATH, RENEW_PATH, REVOKE_PATH, Range, WATCH_PATH,
};
use carawayseam_types::Millis;

use crate::http::{read_json, send, send_json};
use crate::{CallError, Http};

const STATUS_NOT_FOUND: u16 = 404;
const STATUS_CONFLICT: u16 = 409;
const STATUS_TOO_MANY: u16 = 429;

/// The outcome of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutOutcome {
    /// The write took effect.
    Written {
        /// The new revision of the key.
        revision: u64,
    },
    /// The key had another revision; carries the current entry, if there is one.
    Conflict(Option<Entry>),
    /// The service rejected the call as over its rate limit; the write did not take effect.
    OverBudget,
}

/// A client of the key-value service.
#[derive(Debug, Clone)]
pub struct KvClient {
    http: Http,
    base: String,
}

impl KvClient {
    /// Creates a client of the service at the URL `base`, such as `http://10.0.0.5:2379`.
    #[must_use]
    pub fn new(http: Http, base: &str) -> Self {
        Self {
            http,
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    /// Reads one entry; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the call fails.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, CallError> {
        let req = self.http.get(&self.url(GET_PATH)).query(&[("key", key)]);
        match send_json(req).await {
            Ok(entry) => Ok(Some(entry)),
            Err(CallError::Status {
                status: STATUS_NOT_FOUND,
            }) => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Writes one entry.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the call fails. Unless [`CallError::is_not_sent`], the write may have
    /// taken effect.
    pub async fn put(&self, put: &PutRequest) -> Result<PutOutcome, CallError> {
        let response = send(self.http.post(&self.url(PUT_PATH), put)).await?;
        match response.status().as_u16() {
            STATUS_CONFLICT => Ok(PutOutcome::Conflict(
                read_json::<Conflict>(response).await?.current,
            )),
            STATUS_TOO_MANY => Ok(PutOutcome::OverBudget),
            status if !response.status().is_success() => Err(CallError::Status { status }),
            _ => {
                let PutReply { revision } = read_json(response).await?;
                Ok(PutOutcome::Written { revision })
            }
        }
    }

    /// Reads all entries whose key starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the call fails.
    pub async fn range(&self, prefix: &str) -> Result<Range, CallError> {
        send_json(self.http.get(&self.url(RANGE_PATH)).query(&[("prefix", prefix)])).await
    }

    /// Waits until an entry under `prefix` changes after the store revision `after`.
    ///
    /// Returns an empty range if nothing changes within `wait`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the call fails or exceeds the timeout of the client.
    pub async fn watch(&self, prefix: &str, after: u64, wait: Millis) -> Result<Range, CallError> {
        let query = [
            ("prefix", prefix.to_owned()),
            ("after", after.to_string()),
            ("wait_ms", wait.0.to_string()),
        ];
        send_json(self.http.get(&self.url(WATCH_PATH)).query(&query)).await
    }

    /// Requests a new lease.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the call fails. A lease granted in a lost response expires on its own.
    pub async fn grant(&self, ttl: Millis) -> Result<Lease, CallError> {
        let req = GrantRequest { ttl_ms: ttl.0 };
        send_json(self.http.post(&self.url(GRANT_PATH), &req)).await
    }

    /// Renews a lease; returns `None` if it has expired.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the call fails.
    pub async fn renew(&self, lease: u64) -> Result<Option<Lease>, CallError> {
        let req = self.http.post(&self.url(RENEW_PATH), &LeaseRequest { lease });
        match send_json(req).await {
            Ok(lease) => Ok(Some(lease)),
            Err(CallError::Status {
                status: STATUS_NOT_FOUND,
            }) => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Revokes a lease.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the call fails; the lease then expires on its own.
    pub async fn revoke(&self, lease: u64) -> Result<(), CallError> {
        send(self.http.post(&self.url(REVOKE_PATH), &LeaseRequest { lease }))
            .await
            .map(drop)
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }
}
