//! Takes a request's tokens from its organisation's quota.

use carawayseam_dispatch::catalog::TokenQuota;
use carawayseam_dispatch::quota::Source;
use carawayseam_types::{HostId, Millis, OrganisationId};
use carawayseam_wire::{PeerMessage, PeerResponse, QuotaOutcome, QuotaRequest};
use tokio::time::sleep;

use super::answer::{Reason, Refusal};
use super::exchange::Exchange;
use crate::request_log;
use crate::shared::{Shared, lock};

/// The part of a request's objective for which it may wait for its organisation's quota.
const PATIENCE_PART: f64 = 0.6;
/// An ask that is not answered for so long is sent once more.
const ASK_LIMIT: Millis = Millis(40);
const ASKS: u32 = 2;

/// Tokens that were taken for a request.
#[derive(Debug)]
pub(crate) struct TakenTokens {
    tokens: f64,
    holder: Holder,
}

/// Whose tokens they were.
#[derive(Debug)]
enum Holder {
    /// This host's own part, or an account that it keeps.
    Here(Source),
    /// An account that another host keeps.
    Keeper(HostId),
}

impl TakenTokens {
    /// Gives the tokens back: the request was not sent.
    pub(crate) fn give_back(self, shared: &Shared, organisation: &OrganisationId) {
        match self.holder {
            Holder::Here(source) => {
                let mut dispatch = lock(&shared.dispatch);
                dispatch.quotas.give_back(organisation, source, self.tokens);
            }
            Holder::Keeper(keeper) => {
                let message = PeerMessage::QuotaReturn {
                    organisation: organisation.clone(),
                    tokens: self.tokens as u32,
                };
                shared.peers.send(&keeper, &message);
            }
        }
    }
}

impl Exchange {
    /// Takes the request's tokens from its organisation's quota, and waits a little for them.
    pub(super) async fn take_quota(&mut self) -> Result<(), Refusal> {
        let organisation = self.place.organisation.clone();
        let Some((organisation, quota)) = organisation.and_then(|org| Some((org.name.clone(), org.quota?)))
        else {
            return Ok(());
        };
        let tokens = self.tokens(quota);
        let patience = Millis((self.place.route.objective.0 as f64 * PATIENCE_PART) as u64);
        let taken = take(&self.shared, &organisation, quota, tokens, patience).await;
        let (wait, holder) = taken.map_err(|wait| {
            request_log::over_quota(self, tokens, wait);
            Refusal::later(Reason::OverQuota, wait)
        })?;
        self.quota_taken = Some(TakenTokens { tokens, holder });
        if wait > Millis::ZERO {
            sleep(wait.to_duration()).await;
        }
        Ok(())
    }

    /// What the request counts for.
    fn tokens(&self, quota: TokenQuota) -> f64 {
        match &self.head.prompt {
            Some(prompt) => f64::from(prompt.tokens) + f64::from(prompt.max_output),
            None => f64::from(quota.plain.0),
        }
    }
}

/// Takes tokens from this host's own part, else from the account; gives the time until they are there.
async fn take(
    shared: &Shared,
    organisation: &OrganisationId,
    quota: TokenQuota,
    tokens: f64,
    patience: Millis,
) -> Result<(Millis, Holder), Millis> {
    let keeper = {
        let now = shared.now();
        let quotas = &mut lock(&shared.dispatch).quotas;
        if quotas.take_own(now, organisation, quota, tokens) {
            return Ok((Millis::ZERO, Holder::Here(Source::Own)));
        }
        match quotas.take_pooled(now, organisation, quota, tokens, patience) {
            Ok(wait) => return Ok((wait, Holder::Here(Source::Pooled))),
            Err(Some(wait)) => return Err(wait),
            Err(None) => quotas.host_to_ask(organisation).cloned(),
        }
    };
    if let Some(keeper) = keeper {
        let asked = |request_id| {
            PeerMessage::QuotaRequest(QuotaRequest {
                host: shared.settings.host.clone(),
                request_id,
                organisation: organisation.clone(),
                tokens: tokens as u32,
                max_wait: patience,
            })
        };
        let outcome = match shared.peers.request(&keeper, ASK_LIMIT, ASKS, asked).await {
            Some(PeerResponse::Quota(outcome)) => Some(outcome),
            _ => None,
        };
        shared.metrics.count("quota_asks", outcome_label(outcome));
        match outcome {
            Some(QuotaOutcome::Granted(wait)) => return Ok((wait, Holder::Keeper(keeper))),
            Some(QuotaOutcome::Refused(wait)) => return Err(wait),
            Some(QuotaOutcome::NotOwner) | None => {}
        }
    }
    let mut dispatch = lock(&shared.dispatch);
    let taken = dispatch
        .quotas
        .take_alone(shared.now(), organisation, quota, tokens, patience);
    taken.map(|wait| (wait, Holder::Here(Source::Own)))
}

const fn outcome_label(outcome: Option<QuotaOutcome>) -> &'static str {
    match outcome {
        Some(QuotaOutcome::Granted(_)) => "granted",
        Some(QuotaOutcome::Refused(_)) => "refused",
        Some(QuotaOutcome::NotOwner) => "not-kept",
        None => "unanswered",
    }
}
