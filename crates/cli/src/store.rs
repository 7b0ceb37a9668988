//! Calls of the store, repeated within bounds.

use carawayseam_clients::{CallError, Http, KvClient, PutOutcome};
use carawayseam_external::kv::{Entry, PutRequest, Range};
use carawayseam_types::{Millis, Nonce};

use crate::error::CliError;
use crate::promotion::{Accepted, Promotion, Refused, Reply, Step};

/// How long one call may take, beyond the time that a watch waits.
const CALL_TIMEOUT: Millis = Millis(3_000);
/// How long a watch waits for a change.
const WATCH_WAIT: Millis = Millis(2_000);
const DEFAULT_ATTEMPTS: u32 = 8;
const DEFAULT_FIRST_WAIT: Millis = Millis(100);
const LONGEST_WAIT: Millis = Millis(2_000);

/// How often, and after which waits, a call is repeated.
#[derive(Debug, Clone, Copy)]
pub struct Retry {
    /// Calls that may fail before a command gives up.
    pub attempts: u32,
    /// The wait after the first failure; it doubles with each.
    pub first_wait: Millis,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            attempts: DEFAULT_ATTEMPTS,
            first_wait: DEFAULT_FIRST_WAIT,
        }
    }
}

impl Retry {
    /// The wait after so many failures.
    #[must_use]
    pub fn wait(&self, failures: u32) -> Millis {
        let doubled = 1_u64.checked_shl(failures.saturating_sub(1)).unwrap_or(u64::MAX);
        self.first_wait.times(doubled).min(LONGEST_WAIT)
    }
}

/// The store, as commands use it.
#[derive(Debug, Clone)]
pub(crate) struct Store {
    kv: KvClient,
    retry: Retry,
}

impl Store {
    pub(crate) fn new(url: &str, retry: Retry) -> Result<Self, CliError> {
        let http = Http::builder().timeout(CALL_TIMEOUT + WATCH_WAIT).build();
        let http = http.map_err(|source| CliError::Client { source })?;
        Ok(Self {
            kv: KvClient::new(http, url),
            retry,
        })
    }

    pub(crate) async fn get(&self, key: &str) -> Result<Option<Entry>, CliError> {
        let mut failures = 0;
        loop {
            match self.kv.get(key).await {
                Ok(found) => return Ok(found),
                Err(source) => failures = self.wait_after(failures, source).await?,
            }
        }
    }

    pub(crate) async fn range(&self, prefix: &str) -> Result<Range, CliError> {
        let mut failures = 0;
        loop {
            match self.kv.range(prefix).await {
                Ok(range) => return Ok(range),
                Err(source) => failures = self.wait_after(failures, source).await?,
            }
        }
    }

    /// Waits for a change below `prefix`, for a bounded time.
    ///
    /// A failed watch counts as one without a change, since its caller reads
    /// everything again in either case.
    pub(crate) async fn watch(&self, prefix: &str, after: u64) {
        if let Err(e) = self.kv.watch(prefix, after, WATCH_WAIT).await {
            log::debug!("the watch broke: {e}");
            tokio::time::sleep(self.retry.first_wait.to_duration()).await;
        }
    }

    /// Writes blindly, and repeats it until it is known to have taken effect.
    pub(crate) async fn put_until_known(&self, put: &PutRequest, nonce: Nonce) -> Result<(), CliError> {
        let mut failures = 0;
        let mut lost = None;
        while failures < self.retry.attempts {
            match self.kv.put(put).await {
                Ok(PutOutcome::Written { .. }) => return Ok(()),
                Err(source)
                    if source.is_not_sent() && lost.is_none() && failures + 1 == self.retry.attempts =>
                {
                    return Err(CliError::Store { source });
                }
                Err(source) if !source.is_not_sent() => lost = Some(source),
                _ => {}
            }
            failures += 1;
            tokio::time::sleep(self.retry.wait(failures).to_duration()).await;
        }
        match lost {
            Some(source) => Err(CliError::WriteUnknown { nonce, source }),
            None => Err(CliError::OverBudget),
        }
    }

    /// Takes a promotion to its end.
    pub(crate) async fn drive(&self, mut promotion: Promotion) -> Result<Accepted, Refused> {
        let mut failures = 0;
        loop {
            let reply = match promotion.step() {
                Step::Done(result) => return result,
                Step::Read(key) => self.kv.get(&key).await.map_or_else(|e| failed(&e), Reply::Found),
                Step::Put(put) => self.kv.put(&put).await.map_or_else(|e| failed(&e), written),
            };
            if matches!(reply, Reply::Lost | Reply::NotSent) {
                failures += 1;
                tokio::time::sleep(self.retry.wait(failures).to_duration()).await;
            }
            promotion.handle(reply);
        }
    }

    pub(crate) const fn attempts(&self) -> u32 {
        self.retry.attempts
    }

    async fn wait_after(&self, failures: u32, source: CallError) -> Result<u32, CliError> {
        let failures = failures + 1;
        if failures >= self.retry.attempts {
            return Err(CliError::Store { source });
        }
        log::debug!("the store does not answer: {source}");
        tokio::time::sleep(self.retry.wait(failures).to_duration()).await;
        Ok(failures)
    }
}

fn written(outcome: PutOutcome) -> Reply {
    match outcome {
        PutOutcome::Written { .. } => Reply::Written,
        PutOutcome::Conflict(current) => Reply::Conflict(current),
        PutOutcome::OverBudget => Reply::NotSent,
    }
}

fn failed(error: &CallError) -> Reply {
    log::debug!("the store does not answer: {error}");
    if error.is_not_sent() {
        Reply::NotSent
    } else {
        Reply::Lost
    }
}
