//! Writes decisions on rollouts to the store.

use std::sync::Arc;

use carawayseam_dispatch::rollouts::Decision;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::platform::{Platform, PutCondition, RolloutStatus, Store, StoreError};
use crate::shared::Shared;

/// Writes rollout decisions to the store as they are made, until the control state ends.
///
/// Each write expects the revision that the decision was based on. If two hosts decide at the same
/// time, the second write fails with a conflict. A decision takes effect only when it is read back
/// from the store.
pub(crate) async fn write_rollout_decisions<P: Platform>(
    shared: Arc<Shared>,
    platform: Arc<P>,
    mut decisions: UnboundedReceiver<Decision>,
) {
    let mut store = platform.store(shared.settings.store);
    let keys = platform.keys();
    while let Some(decision) = decisions.recv().await {
        let key = format!("{}{}", keys.rollout_status_prefix, decision.backend);
        let status = RolloutStatus {
            backend: decision.backend,
            to: decision.order.to,
            state: decision.state,
        };
        let value = platform.encode_rollout_status(&status);
        let condition = decision
            .expected
            .map_or(PutCondition::IsMissing, PutCondition::HasRevision);
        let outcome = match store.put(&key, &value, condition, None).await {
            Ok(_) => "written".to_owned(),
            Err(StoreError::Conflict) => "another host wrote first".to_owned(),
            Err(e) => e.to_string(),
        };
        log::info!(
            backend:% = status.backend,
            version:% = status.to,
            state:% = status.state,
            expected_revision = decision.expected.map(|revision| revision.to_string()),
            finding = decision.finding.map(|finding| finding.to_string()),
            outcome = outcome.as_str();
            "rollout decided"
        );
    }
}
