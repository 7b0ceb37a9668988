//! Reserves a request's tokens from its organisation's quota.

use carawayseam_dispatch::catalog::TokenQuota;
use carawayseam_dispatch::quota::AccountKind;
use carawayseam_types::{HostId, Millis, OrganisationId};
use carawayseam_wire::{PeerMessage, PeerResponse, QuotaOutcome, QuotaRequest};
use tokio::time::sleep;

use super::exchange::Exchange;
use super::response::{Reason, Refusal};
use crate::request_log;
use crate::shared::{Shared, lock};

/// A request to the owner that gets no response within this time is sent again.
const REQUEST_TIMEOUT: Millis = Millis(40);
const MAX_REQUESTS: u32 = 2;

/// Tokens that were reserved for a request.
#[derive(Debug)]
pub(crate) struct ReservedTokens {
    tokens: f64,
    token_source: TokenSource,
}

/// The source of reserved tokens.
#[derive(Debug)]
enum TokenSource {
    /// This host's own share, or an account that it owns.
    Local(AccountKind),
    /// An account that another host owns.
    Owner(HostId),
}

impl ReservedTokens {
    /// Returns the tokens of a request that was not sent.
    pub(crate) fn release(self, shared: &Shared, organisation: &OrganisationId) {
        match self.token_source {
            TokenSource::Local(account_kind) => {
                let mut dispatch = lock(&shared.dispatch);
                dispatch.quotas.refund(organisation, account_kind, self.tokens);
            }
            TokenSource::Owner(owner) => {
                let message = PeerMessage::QuotaReturn {
                    organisation: organisation.clone(),
                    tokens: self.tokens as u32,
                };
                shared.peers.send(&owner, &message);
            }
        }
    }
}

impl Exchange {
    /// Reserves the request's tokens from its organisation's quota, and waits until they are available.
    ///
    /// It waits no longer than its caller can be answered afterwards.
    pub(super) async fn reserve_quota(&mut self) -> Result<(), Refusal> {
        let organisation = self.route_match.organisation.clone();
        let Some((organisation, quota)) = organisation.and_then(|org| Some((org.name.clone(), org.quota?)))
        else {
            return Ok(());
        };
        let tokens = self.tokens(quota);
        let max_wait = self.latest_start().since(self.shared.now());
        let reserved = acquire_tokens(&self.shared, &organisation, quota, tokens, max_wait).await;
        let (wait, token_source) = reserved.map_err(|wait| {
            request_log::record_over_quota(self, tokens, wait);
            Refusal::with_retry_after(Reason::OverQuota, wait)
        })?;
        self.reserved_tokens = Some(ReservedTokens { tokens, token_source });
        if wait > Millis::ZERO {
            sleep(wait.to_duration()).await;
        }
        Ok(())
    }

    /// Returns the number of tokens that the request is charged.
    fn tokens(&self, quota: TokenQuota) -> f64 {
        match &self.head.prompt {
            Some(prompt) => f64::from(prompt.tokens) + f64::from(prompt.max_output),
            None => f64::from(quota.default_cost.0),
        }
    }
}

/// Takes tokens from this host's own share, or else from the organisation's account.
///
/// Returns the time until the tokens are available. If they are refused, the error is the retry delay.
async fn acquire_tokens(
    shared: &Shared,
    organisation: &OrganisationId,
    quota: TokenQuota,
    tokens: f64,
    max_wait: Millis,
) -> Result<(Millis, TokenSource), Millis> {
    let owner = {
        let now = shared.now();
        let quotas = &mut lock(&shared.dispatch).quotas;
        if quotas.take_local(now, organisation, quota, tokens) {
            return Ok((Millis::ZERO, TokenSource::Local(AccountKind::Local)));
        }
        match quotas.take_shared(now, organisation, quota, tokens, max_wait) {
            Ok(wait) => return Ok((wait, TokenSource::Local(AccountKind::Shared))),
            Err(Some(wait)) => return Err(wait),
            Err(None) => quotas.remote_owner(organisation).cloned(),
        }
    };
    if let Some(owner) = owner {
        let build_request = |request_id| {
            PeerMessage::QuotaRequest(QuotaRequest {
                host: shared.settings.host.clone(),
                request_id,
                organisation: organisation.clone(),
                tokens: tokens as u32,
                max_wait,
            })
        };
        let outcome = match shared
            .peers
            .request(&owner, REQUEST_TIMEOUT, MAX_REQUESTS, build_request)
            .await
        {
            Some(PeerResponse::Quota(outcome)) => Some(outcome),
            _ => None,
        };
        shared.metrics.count("quota_asks", outcome_label(outcome));
        match outcome {
            Some(QuotaOutcome::Granted(wait)) => return Ok((wait, TokenSource::Owner(owner))),
            Some(QuotaOutcome::Refused(wait)) => return Err(wait),
            Some(QuotaOutcome::NotOwner) | None => {}
        }
    }
    let mut dispatch = lock(&shared.dispatch);
    let reserved = dispatch
        .quotas
        .take_local_or_wait(shared.now(), organisation, quota, tokens, max_wait);
    reserved.map(|wait| (wait, TokenSource::Local(AccountKind::Local)))
}

const fn outcome_label(outcome: Option<QuotaOutcome>) -> &'static str {
    match outcome {
        Some(QuotaOutcome::Granted(_)) => "granted",
        Some(QuotaOutcome::Refused(_)) => "refused",
        Some(QuotaOutcome::NotOwner) => "not-kept",
        None => "unanswered",
    }
}
