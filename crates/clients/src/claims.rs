//! Reads and writes claims in the store.

use carawayseam_claims::{
    Claim, ClaimValue, ExistingClaim, Held, HostIncarnation, NextStep, Pending, ReadOutcome, StoredClaim,
    WriteOutcome, claim_key,
};
use carawayseam_external::kv::{Entry, PutRequest};
use carawayseam_types::{Digest, EnvironmentId, Millis, Nonce, OrganisationId, RequestId};

use crate::{CallError, KvClient, PutOutcome};

/// Limits the attempts to write the final state of a claim.
const MAX_WRITE_ATTEMPTS: u8 = 4;

/// Claims requests on behalf of one incarnation of one host.
#[derive(Debug, Clone)]
pub struct ClaimClient {
    store: KvClient,
    owner: HostIncarnation,
}

/// The outcome of an attempt to claim a request.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// This host holds the claim and may dispatch the request.
    Held(Claim<Held>),
    /// The claim of another attempt decides the request.
    Settled(ExistingClaim),
    /// Whether the claim is held cannot be proved; the request must not be dispatched.
    Unprovable,
}

impl ClaimClient {
    /// Creates a client that claims on behalf of `owner`.
    #[must_use]
    pub const fn new(store: KvClient, owner: HostIncarnation) -> Self {
        Self { store, owner }
    }

    /// Claims a request. After a write whose response was lost, reads the claim back.
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
                NextStep::Create(claim) => self.write_claim(claim, 0, ttl).await,
                NextStep::TakeOver(claim, revision) => self.write_claim(claim, revision, ttl).await,
                NextStep::Read(claim) => self.read_back(claim).await,
                NextStep::Held(claim) => return ClaimOutcome::Held(claim),
                NextStep::Settled(settled) => return ClaimOutcome::Settled(settled),
                NextStep::Unconfirmed => return ClaimOutcome::Unprovable,
            };
        }
    }

    /// Reads the claim on a request that another attempt claimed; returns `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the call fails.
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
            .map(|entry| parse_claim(&entry).map(|claim| claim.value))
            .transpose()
    }

    /// Records the response of the service, so that a retry by the caller receives it too.
    ///
    /// # Errors
    ///
    /// Returns the last [`CallError`]; a retry by the caller then receives an unknown outcome.
    pub async fn record(
        &self,
        claim: &Claim<Held>,
        response: serde_json::Value,
        ttl: Millis,
    ) -> Result<(), CallError> {
        self.write_final_state(claim, &claim.completed_value(response), ttl)
            .await
    }

    /// Releases a claim on a request of which no byte was sent.
    ///
    /// # Errors
    ///
    /// Returns the last [`CallError`]; a retry by the caller then receives an unknown outcome.
    pub async fn release(&self, claim: &Claim<Held>, ttl: Millis) -> Result<(), CallError> {
        self.write_final_state(claim, &claim.released_value(), ttl).await
    }

    async fn write_final_state(
        &self,
        claim: &Claim<Held>,
        value: &ClaimValue,
        ttl: Millis,
    ) -> Result<(), CallError> {
        let put = put_request(claim.key(), value, claim.revision(), ttl)?;
        let mut attempts = 1;
        loop {
            match self.store.put(&put).await {
                // On a conflict an earlier attempt took effect, since only this client writes a held claim.
                Ok(PutOutcome::Written { .. } | PutOutcome::Conflict(_)) => return Ok(()),
                Ok(PutOutcome::OverBudget) | Err(_) if attempts < MAX_WRITE_ATTEMPTS => attempts += 1,
                Ok(PutOutcome::OverBudget) => return Err(CallError::Status { status: 429 }),
                Err(e) => return Err(e),
            }
        }
    }

    async fn write_claim(&self, claim: Claim<Pending>, expect: u64, ttl: Millis) -> NextStep {
        let Ok(put) = put_request(claim.key(), &claim.claimed_value(), expect, ttl) else {
            return NextStep::Unconfirmed;
        };
        match self.store.put(&put).await {
            Ok(PutOutcome::Written { revision }) => claim.on_write(WriteOutcome::Committed { revision }),
            Ok(PutOutcome::Conflict(None)) => claim.on_write(WriteOutcome::Conflict(None)),
            Ok(PutOutcome::Conflict(Some(entry))) => match parse_claim(&entry) {
                Ok(stored) => claim.on_write(WriteOutcome::Conflict(Some(stored))),
                Err(_) => NextStep::Unconfirmed,
            },
            Ok(PutOutcome::OverBudget) | Err(CallError::NotSent(_)) => NextStep::Unconfirmed,
            Err(_) => claim.on_write(WriteOutcome::Unknown),
        }
    }

    async fn read_back(&self, claim: Claim<Pending>) -> NextStep {
        match self.store.get(claim.key()).await {
            Ok(None) => claim.on_read(ReadOutcome::Read(None)),
            Ok(Some(entry)) => match parse_claim(&entry) {
                Ok(stored) => claim.on_read(ReadOutcome::Read(Some(stored))),
                Err(_) => NextStep::Unconfirmed,
            },
            Err(_) => claim.on_read(ReadOutcome::Failed),
        }
    }
}

fn put_request(key: &str, value: &ClaimValue, expect: u64, ttl: Millis) -> Result<PutRequest, CallError> {
    let value = serde_json::to_string(value).map_err(CallError::MalformedResponse)?;
    let mut put = PutRequest::swap(key, value, expect);
    put.ttl_ms = Some(ttl.0);
    Ok(put)
}

fn parse_claim(entry: &Entry) -> Result<StoredClaim, CallError> {
    let value = serde_json::from_str(&entry.value).map_err(CallError::MalformedResponse)?;
    Ok(StoredClaim {
        value,
        revision: entry.revision,
    })
}
