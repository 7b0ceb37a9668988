//! Registers this host in the store, where the other hosts look up its address.

use std::net::SocketAddr;
use std::sync::Arc;

use carawayseam_types::{Incarnation, Millis, ZoneId};
use carawayseam_wire::encode;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::platform::{Lease, PutCondition, Store, StoreError, StoreKeys};
use crate::shared::Shared;
use crate::stopping::Phase;

const RETRY_INTERVAL: Millis = Millis(600);

/// A host's entry in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HostRecord {
    /// Where the host receives heartbeats.
    pub(crate) address: SocketAddr,
    /// Identifies the start of the host's process.
    pub(crate) incarnation: Incarnation,
    /// The host's availability zone.
    pub(crate) zone: ZoneId,
}

/// Keeps this host registered until it begins to shut down.
pub(crate) async fn register<S: Store>(
    shared: Arc<Shared>,
    mut store: S,
    keys: StoreKeys,
    record: HostRecord,
) {
    let key = format!("{}{}", keys.host_prefix, shared.settings.host);
    let value = match encode(&record) {
        Ok(value) => value,
        Err(e) => {
            log::error!(error:% = e; "the registration was not encoded");
            return;
        }
    };
    let mut phase = shared.phase.subscribe();
    let mut era = shared.store_era.subscribe();
    let mut registration = shared.registration.subscribe();
    let mut terms = *registration.borrow_and_update();
    let mut lease = None;
    loop {
        let (new_lease, delay) = match renew_or_register(&mut store, lease, terms.lease, &key, &value).await {
            Ok(lease) => (Some(lease), terms.renew_interval),
            Err(StoreError::NoSuchLease) => (None, Millis::ZERO),
            Err(e) => {
                log::debug!("the registration was not renewed: {e}");
                (lease, RETRY_INTERVAL)
            }
        };
        lease = new_lease;
        tokio::select! {
            () = sleep(delay.to_duration()) => {}
            // A restored store may have lost the registration.
            Ok(()) = era.changed() => {}
            // The size of the fleet calls for another lease. The entry moves to it, and the present lease ends unused.
            Ok(()) = registration.changed() => {
                terms = *registration.borrow_and_update();
                log::info!(lease_ms = terms.lease.0, renew_ms = terms.renew_interval.0; "registration changed");
                lease = None;
            }
            _ = phase.wait_for(|phase| *phase != Phase::Serving) => break,
        }
    }
    if let Some(lease) = lease
        && let Err(e) = unregister(&mut store, lease).await
    {
        log::debug!("the registration was not ended: {e}");
    }
}

/// Ends a registration, unless its lease was granted before the store was restored.
async fn unregister<S: Store>(store: &mut S, lease: Lease) -> Result<(), StoreError> {
    store.renew_lease(lease).await?;
    store.revoke_lease(lease).await
}

async fn renew_or_register<S: Store>(
    store: &mut S,
    lease: Option<Lease>,
    ttl: Millis,
    key: &str,
    value: &[u8],
) -> Result<Lease, StoreError> {
    if let Some(lease) = lease {
        store.renew_lease(lease).await?;
        return Ok(lease);
    }
    let lease = store.grant_lease(ttl).await?;
    store.put(key, value, PutCondition::Always, Some(lease)).await?;
    Ok(lease)
}
