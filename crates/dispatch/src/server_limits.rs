//! Rate limits of backend servers, kept by all hosts together.
//!
//! A server reports a limit, or warms up. A request to it needs a permit from the account that the hosts share.

use carawayseam_types::{BackendName, EngineId, HostId, Millis, RequestRate};

use crate::accounts::{Accounts, BucketParams};
use crate::engine::EngineEntry;
use crate::group::Group;
use crate::reported_limits::ReportedLimits;
pub use crate::reported_limits::ServerLimit;
use crate::warm_up::{Refusal, ServerWarmUp, WarmUpLimit, WarmUps};

/// Lower bound of the rate at which requests are sent to a limited server, also if it reports zero: only
/// the response to a request can end a limit.
const MIN_LIMIT: RequestRate = RequestRate { per_1000_s: 250 };
/// Time over which unused permits accumulate.
const BURST_TIME_S: f64 = 1.5;
/// Number of permits that accumulate beyond this time, so that a group of a few hosts can hold one.
const EXTRA_BURST: f64 = 3.0;
/// Time over which unused permits of a server that warms up accumulate: the limit holds in any one second.
const WARM_UP_BURST_TIME_S: f64 = 0.25;
/// Smallest part of all hosts whose account of a server that warms up always has room for one permit, so that a zone
/// that is partitioned from the others gets some. At most 5 such groups exist at once, and the limit of a second
/// allows 5 requests beyond the rate.
const MIN_GROUP_FRACTION: f64 = 0.2;
/// Wait for a permit that the account of a small group can never hold.
const NO_PERMIT_WAIT: Millis = Millis::from_secs(1);
/// The rate limits of backend servers, and the accounts of those that this host owns.
#[derive(Debug)]
pub struct ServerLimits {
    reported: ReportedLimits<RequestRate>,
    warm_ups: WarmUps,
    accounts: Accounts<EngineId>,
}

impl ServerLimits {
    /// Creates the limits of a host without peers.
    #[must_use]
    pub fn new(me: HostId) -> Self {
        Self {
            reported: ReportedLimits::default(),
            warm_ups: WarmUps::default(),
            accounts: Accounts::new(me),
        }
    }

    /// Records the limit in the response to a request that was sent at `sent_at`.
    ///
    /// Returns whether the known limit changed.
    pub fn record_response(
        &mut self,
        now: Millis,
        engine: &EngineId,
        sent_at: Millis,
        reported: Option<RequestRate>,
    ) -> bool {
        self.reported.record_response(now, engine, sent_at, reported)
    }

    /// Records a limit that a peer announced; returns whether the known limit changed.
    pub fn record_peer_update(&mut self, now: Millis, update: ServerLimit) -> bool {
        self.reported.record_peer_update(now, update)
    }

    /// Returns the limit of a server, if it has one.
    #[must_use]
    pub fn get(&self, engine: &EngineId) -> Option<RequestRate> {
        self.reported.get(engine)
    }

    /// Returns the limit that a server has now: the lower one of the limit that it reported and that of its warm-up.
    #[must_use]
    pub fn limit_at(&self, now: Millis, engine: &EngineId) -> Option<RequestRate> {
        let limits = [self.get(engine), self.warm_ups.rate(now, engine)];
        limits.into_iter().flatten().min()
    }

    /// Replaces the warm-up limits of the backends.
    pub fn set_warm_up_limits(&mut self, limits: impl Iterator<Item = (BackendName, WarmUpLimit)>) {
        self.warm_ups.set_limits(limits);
    }

    /// Applies the entries of all servers, which tell which of them warm up.
    pub fn update_servers(&mut self, now: Millis, entries: &[EngineEntry]) {
        self.warm_ups.update(now, entries);
    }

    /// Records that a connection to a server failed, so that it may have started anew when it accepts one.
    pub fn record_refusal(
        &mut self,
        now: Millis,
        engine: &EngineId,
        backend: &BackendName,
        refusal: Refusal,
    ) {
        self.warm_ups.record_refusal(now, engine, backend, refusal);
    }

    /// Records that a connection to a server succeeded; returns whether the server warms up from now on.
    pub fn record_connection(&mut self, now: Millis, engine: &EngineId) -> bool {
        self.warm_ups.record_connection(now, engine)
    }

    /// Records that a peer observed a restart; returns whether the server is cold for longer than was known.
    pub fn record_peer_warm_up(&mut self, now: Millis, update: &ServerWarmUp) -> bool {
        self.warm_ups.record_peer_update(now, update)
    }

    /// Returns the restarts to announce to peers.
    pub fn warm_up_updates(&mut self, now: Millis, has_new_peer: bool) -> Vec<ServerWarmUp> {
        self.warm_ups.gossip_updates(now, has_new_peer)
    }

    /// Returns whether a server warms up.
    #[must_use]
    pub fn is_warming_up(&self, now: Millis, engine: &EngineId) -> bool {
        self.warm_ups.rate(now, engine).is_some()
    }

    /// Returns the servers that have warmed up since the last call.
    pub fn take_warmed_up(&mut self, now: Millis) -> Vec<EngineId> {
        self.warm_ups.take_ended(now)
    }

    /// Returns the limits to announce to peers.
    pub fn gossip_updates(&mut self, now: Millis, has_new_peer: bool) -> Vec<ServerLimit> {
        self.reported.gossip_updates(now, has_new_peer)
    }

    /// Updates the group of known hosts; accounts that this host newly owns start empty.
    pub fn set_group(&mut self, now: Millis, group: Group) {
        self.accounts.set_group(now, group);
    }

    /// Returns the remote owner of a server's permits; `None` if this host owns them.
    #[must_use]
    pub fn remote_owner(&self, engine: &EngineId) -> Option<&HostId> {
        self.accounts.remote_owner(engine)
    }

    /// Takes a permit to send a request to a limited server, if this host owns the server's permits.
    ///
    /// `limit` is the limit that the requesting host knows; the lower of it and this host's is kept.
    ///
    /// # Errors
    ///
    /// Returns the time until a permit could be available, or `None` if another host owns the permits.
    pub fn take_permit(
        &mut self,
        now: Millis,
        engine: &EngineId,
        limit: RequestRate,
    ) -> Result<(), Option<Millis>> {
        // The requesting host may know of a warm-up that this host has not learned of yet.
        let is_unknown = self.get(engine) != Some(limit);
        let may_be_cold = is_unknown
            && self
                .warm_ups
                .rate_if_cold(engine)
                .is_some_and(|cold| limit <= cold);
        let limit = self.limit_at(now, engine).map_or(limit, |known| known.min(limit));
        let fraction = self.accounts.fraction();
        let params = if may_be_cold || self.is_warming_up(now, engine) {
            warm_up_params(limit, fraction)
        } else {
            bucket_params(limit, fraction)
        };
        let bucket = self.accounts.owned(now, engine).ok_or(None)?;
        match bucket.try_take(now, params, 1.0) {
            true => Ok(()),
            false if params.capacity < 1.0 => Err(Some(NO_PERMIT_WAIT)),
            false => Err(Some(bucket.wait_for(params, 1.0))),
        }
    }

    /// Returns the permit of a request that was not sent.
    pub fn refund_permit(&mut self, engine: &EngineId) {
        self.accounts.refund(engine, 1.0);
    }
}

fn warm_up_params(limit: RequestRate, fraction: f64) -> BucketParams {
    let per_second = limit.max(MIN_LIMIT).per_second();
    let capacity = (per_second * WARM_UP_BURST_TIME_S).max(1.0) * fraction;
    let min_capacity = if fraction >= MIN_GROUP_FRACTION { 1.0 } else { 0.0 };
    BucketParams {
        rate: per_second * fraction,
        capacity: capacity.max(min_capacity),
        initial: 0.0,
    }
}

fn bucket_params(limit: RequestRate, fraction: f64) -> BucketParams {
    let per_second = limit.max(MIN_LIMIT).per_second();
    BucketParams {
        rate: per_second * fraction,
        capacity: per_second.mul_add(BURST_TIME_S, EXTRA_BURST) * fraction,
        initial: 0.0,
    }
}
