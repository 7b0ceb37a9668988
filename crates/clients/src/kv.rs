//! The platform's key-value service.

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

/// The answer to a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutOutcome {
    /// It took effect.
    Written {
        /// The key's revision since.
        revision: u64,
    },
    /// The key had another revision.
    Conflict(Option<Entry>),
    /// The call budget is spent; the write did not take effect.
    OverBudget,
}

/// A client of the key-value service.
#[derive(Debug, Clone)]
pub struct KvClient {
    http: Http,
    base: String,
}

impl KvClient {
    /// Talks to the service at `base`, such as `http://10.0.0.5:2379`.
    #[must_use]
    pub fn new(http: Http, base: &str) -> Self {
        Self {
            http,
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    /// Reads one entry; none if it does not exist.
    ///
    /// # Errors
    ///
    /// [`CallError`] when no answer came.
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
    /// [`CallError`]; unless [`CallError::is_not_sent`], the write may have taken effect.
    pub async fn put(&self, put: &PutRequest) -> Result<PutOutcome, CallError> {
        let answer = send(self.http.post(&self.url(PUT_PATH), put)).await?;
        match answer.status().as_u16() {
            STATUS_CONFLICT => Ok(PutOutcome::Conflict(read_json::<Conflict>(answer).await?.current)),
            STATUS_TOO_MANY => Ok(PutOutcome::OverBudget),
            status if !answer.status().is_success() => Err(CallError::Status { status }),
            _ => {
                let PutReply { revision } = read_json(answer).await?;
                Ok(PutOutcome::Written { revision })
            }
        }
    }

    /// Reads all entries below a prefix.
    ///
    /// # Errors
    ///
    /// [`CallError`] when no answer came.
    pub async fn range(&self, prefix: &str) -> Result<Range, CallError> {
        send_json(self.http.get(&self.url(RANGE_PATH)).query(&[("prefix", prefix)])).await
    }

    /// Waits until an entry below a prefix changes past a revision of the store.
    ///
    /// # Errors
    ///
    /// [`CallError`] when no answer came within `wait` and the client's own limit.
    pub async fn watch(&self, prefix: &str, after: u64, wait: Millis) -> Result<Range, CallError> {
        let query = [
            ("prefix", prefix.to_owned()),
            ("after", after.to_string()),
            ("wait_ms", wait.0.to_string()),
        ];
        send_json(self.http.get(&self.url(WATCH_PATH)).query(&query)).await
    }

    /// Asks for a lease.
    ///
    /// # Errors
    ///
    /// [`CallError`]; a lease whose answer was lost lapses by itself.
    pub async fn grant(&self, ttl: Millis) -> Result<Lease, CallError> {
        let req = GrantRequest { ttl_ms: ttl.0 };
        send_json(self.http.post(&self.url(GRANT_PATH), &req)).await
    }

    /// Renews a lease; none if it has lapsed.
    ///
    /// # Errors
    ///
    /// [`CallError`] when no answer came.
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

    /// Gives a lease back.
    ///
    /// # Errors
    ///
    /// [`CallError`] when no answer came; the lease then lapses by itself.
    pub async fn revoke(&self, lease: u64) -> Result<(), CallError> {
        send(self.http.post(&self.url(REVOKE_PATH), &LeaseRequest { lease }))
            .await
            .map(drop)
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }
}
