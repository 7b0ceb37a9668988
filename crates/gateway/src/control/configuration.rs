//! Takes a later configuration from a peer, for a host that does not get it from the store.
//!
//! A store that was restored from a copy may lack the configuration that is in force on the hosts that had
//! read it, until the operator has written it again.

use std::sync::Arc;

use carawayseam_dispatch::Catalog;
use carawayseam_types::{HostId, Millis};
use carawayseam_wire::ConfigurationVersion;
use kameo::actor::ActorRef;
use tokio::sync::mpsc::UnboundedReceiver;

use super::state::{ControlState, Event};
use super::updates;
use crate::platform::Platform;
use crate::shared::{Shared, lock};

/// Time for which a peer has a later configuration before it is requested: the store usually brings it sooner.
pub(super) const MAX_LAG: Millis = Millis(1_000);

/// A peer with a later configuration than this host's.
#[derive(Debug, Clone)]
pub(crate) struct LaterConfiguration {
    pub(super) host: HostId,
    pub(super) version: ConfigurationVersion,
    /// When this host heard of it, or last requested it.
    pub(super) since: Millis,
}

/// Returns the version of the configuration in force, for the heartbeat.
pub(super) fn announced(shared: &Shared) -> Option<ConfigurationVersion> {
    let revision = shared.catalog()?.revision;
    let item = lock(&shared.configuration_item).as_ref()?.revision;
    Some(ConfigurationVersion { revision, item })
}

/// Fetches the configurations that this host lacks, until the control state ends.
pub(crate) async fn fetch_configurations<P: Platform>(
    shared: Arc<Shared>,
    platform: Arc<P>,
    control: ActorRef<ControlState>,
    mut lagging: UnboundedReceiver<LaterConfiguration>,
) {
    let key = platform.keys().configuration_key;
    while let Some(LaterConfiguration { host, version, .. }) = lagging.recv().await {
        let Some(item) =
            updates::fetch_item(&shared, &host, &key, version.item, updates::MAX_ITEM_BYTES).await
        else {
            log::debug!(peer:% = host, version:% = version.revision; "the peer's configuration was not received");
            continue;
        };
        match platform.decode_configuration(&item.value) {
            Ok(configuration) => {
                log::info!(peer:% = host, version:% = version.revision; "configuration received from a peer");
                shared.metrics.count("configurations", "from-peer");
                let catalog = Arc::new(Catalog::new(configuration));
                if let Err(e) = control.tell(Event::Configuration { catalog, item }).try_send() {
                    log::error!("the control state has ended: {e}");
                }
            }
            Err(e) => log::error!(peer:% = host; "the peer's configuration cannot be read: {e}"),
        }
    }
}
