//! Rate limits that backend servers report, kept by all hosts together.
//!
//! A request to a limited server needs a permit from the account that the hosts share.

use carawayseam_types::{EngineId, HostId, Millis, RequestRate};

use crate::accounts::{Accounts, BucketParams};
use crate::group::Group;
use crate::reported_limits::ReportedLimits;
pub use crate::reported_limits::ServerLimit;

/// Lower bound of the rate at which requests are sent to a limited server, also if it reports zero: only
/// the response to a request can end a limit.
const MIN_LIMIT: RequestRate = RequestRate { per_1000_s: 250 };
/// Time over which unused permits accumulate.
const BURST_TIME_S: f64 = 1.5;
/// Number of permits that accumulate beyond this time, so that a group of a few hosts can hold one.
const EXTRA_BURST: f64 = 3.0;
/// Wait for a permit that the account of a small group can never hold.
const NO_PERMIT_WAIT: Millis = Millis::from_secs(1);
/// The rate limits of backend servers, and the accounts of those that this host owns.
#[derive(Debug)]
pub struct ServerLimits {
    reported: ReportedLimits<RequestRate>,
    accounts: Accounts<EngineId>,
}

impl ServerLimits {
    /// Creates the limits of a host without peers.
    #[must_use]
    pub fn new(me: HostId) -> Self {
        Self {
            reported: ReportedLimits::default(),
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
        let limit = self.get(engine).map_or(limit, |known| known.min(limit));
        let params = bucket_params(limit, self.accounts.fraction());
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

fn bucket_params(limit: RequestRate, fraction: f64) -> BucketParams {
    let per_second = limit.max(MIN_LIMIT).per_second();
    BucketParams {
        rate: per_second * fraction,
        capacity: per_second.mul_add(BURST_TIME_S, EXTRA_BURST) * fraction,
        initial: 0.0,
    }
}
