//! Carries a claim's reads and writes to the store.

use carawayseam_claims::{
    Claim, ClaimValue, ExistingClaim, Held, HostIncarnation, NextStep, Pending, ReadOutcome, StoredClaim,
    WriteOutcome, claim_key,
};
use carawayseam_external::kv::{Entry, PutRequest};
use carawayseam_types::{Digest, EnvironmentId, Millis, Nonce, OrganisationId, RequestId};

use crate::{CallError, KvClient, PutOutcome};

/// Writes tried to record an answer before it is given up.
const MAX_RECORDS: u8 = 4;

/// Makes claims for one life of one host.
#[derive(Debug, Clone)]
pub struct ClaimClient {
    store: KvClient,
    owner: HostIncarnation,
}

/// Where a claim led.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// It is ours: dispatch.
    Held(Claim<Held>),
    /// Someone else's claim settles the request.
    Settled(ExistingClaim),
    /// Nothing can be proved: do not dispatch.
    Unprovable,
}

impl ClaimClient {
    /// Claims in the name of `owner`.
    #[must_use]
    pub const fn new(store: KvClient, owner: HostIncarnation) -> Self {
        Self { store, owner }
    }

    /// Claims a request, reading back each write whose answer was lost.
    pub async fn claim(
        &self,
        environment: &EnvironmentId,
        organisation: &OrganisationId,
        request: &RequestId,
        body: Digest,
        nonce: Nonce,
        ttl: Millis,
    ) -> ClaimOutcome {
        let key = claim_key(environment, organisation, request);
        let claim = Claim::new(key, self.owner.clone(), nonce, body);
        let mut progress = NextStep::Create(claim);
        loop {
            progress = match progress {
                NextStep::Create(claim) => self.write(claim, 0, ttl).await,
                NextStep::TakeOver(claim, revision) => self.write(claim, revision, ttl).await,
                NextStep::Read(claim) => self.read(claim).await,
                NextStep::Held(claim) => return ClaimOutcome::Held(claim),
                NextStep::Settled(settled) => return ClaimOutcome::Settled(settled),
                NextStep::Unconfirmed => return ClaimOutcome::Unprovable,
            };
        }
    }

    /// Reads what became of a request that someone else claimed.
    ///
    /// # Errors
    ///
    /// [`CallError`] when no answer came.
    pub async fn read_claim(
        &self,
        environment: &EnvironmentId,
        organisation: &OrganisationId,
        request: &RequestId,
    ) -> Result<Option<ClaimValue>, CallError> {
        let entry = self
            .store
            .get(&claim_key(environment, organisation, request))
            .await?;
        entry
            .map(|entry| parse(&entry).map(|claim| claim.value))
            .transpose()
    }

    /// Records the service's answer, so that a repeat gets it too.
    ///
    /// # Errors
    ///
    /// The last [`CallError`]; a repeat then hears that the outcome is unknown.
    pub async fn record(
        &self,
        claim: &Claim<Held>,
        answer: serde_json::Value,
        ttl: Millis,
    ) -> Result<(), CallError> {
        self.settle(claim, &claim.completed_value(answer), ttl).await
    }

    /// Releases a claim of which no byte was sent.
    ///
    /// # Errors
    ///
    /// The last [`CallError`]; a repeat then hears that the outcome is unknown.
    pub async fn release(&self, claim: &Claim<Held>, ttl: Millis) -> Result<(), CallError> {
        self.settle(claim, &claim.released_value(), ttl).await
    }

    async fn settle(&self, claim: &Claim<Held>, value: &ClaimValue, ttl: Millis) -> Result<(), CallError> {
        let put = put_of(claim.key(), value, claim.revision(), ttl)?;
        let mut tries = 1;
        loop {
            match self.store.put(&put).await {
                // A conflict means that an earlier try took effect: nobody else writes a held claim.
                Ok(PutOutcome::Written { .. } | PutOutcome::Conflict(_)) => return Ok(()),
                Ok(PutOutcome::OverBudget) | Err(_) if tries < MAX_RECORDS => tries += 1,
                Ok(PutOutcome::OverBudget) => return Err(CallError::Status { status: 429 }),
                Err(e) => return Err(e),
            }
        }
    }

    async fn write(&self, claim: Claim<Pending>, expect: u64, ttl: Millis) -> NextStep {
        let Ok(put) = put_of(claim.key(), &claim.claimed_value(), expect, ttl) else {
            return NextStep::Unconfirmed;
        };
        match self.store.put(&put).await {
            Ok(PutOutcome::Written { revision }) => claim.on_write(WriteOutcome::Committed { revision }),
            Ok(PutOutcome::Conflict(None)) => claim.on_write(WriteOutcome::Conflict(None)),
            Ok(PutOutcome::Conflict(Some(entry))) => match parse(&entry) {
                Ok(found) => claim.on_write(WriteOutcome::Conflict(Some(found))),
                Err(_) => NextStep::Unconfirmed,
            },
            Ok(PutOutcome::OverBudget) | Err(CallError::NotSent(_)) => NextStep::Unconfirmed,
            Err(_) => claim.on_write(WriteOutcome::Unknown),
        }
    }

    async fn read(&self, claim: Claim<Pending>) -> NextStep {
        match self.store.get(claim.key()).await {
            Ok(None) => claim.on_read(ReadOutcome::Read(None)),
            Ok(Some(entry)) => match parse(&entry) {
                Ok(found) => claim.on_read(ReadOutcome::Read(Some(found))),
                Err(_) => NextStep::Unconfirmed,
            },
            Err(_) => claim.on_read(ReadOutcome::Failed),
        }
    }
}

fn put_of(key: &str, value: &ClaimValue, expect: u64, ttl: Millis) -> Result<PutRequest, CallError> {
    let value = serde_json::to_string(value).map_err(CallError::MalformedResponse)?;
    let mut put = PutRequest::swap(key, value, expect);
    put.ttl_ms = Some(ttl.0);
    Ok(put)
}

fn parse(entry: &Entry) -> Result<StoredClaim, CallError> {
    let value = serde_json::from_str(&entry.value).map_err(CallError::MalformedResponse)?;
    Ok(StoredClaim {
        value,
        revision: entry.revision,
    })
}
