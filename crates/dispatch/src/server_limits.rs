//! Rate limits that backend servers report in their responses.
//!
//! A limit holds from the first response that reports it until a response that no longer does.
//! Responses arrive out of order, so only the response to a request that was sent after this host
//! learned of the limit can end it.

use std::collections::BTreeMap;

use carawayseam_types::{EngineId, Millis, RequestRate};

/// Limit of servers kept; beyond it the least recently changed are evicted.
const MAX_SERVERS: usize = 4_096;

/// What is known of one server's limit.
#[derive(Debug, Clone, Copy)]
struct Entry {
    /// The limit; `None` after it ended.
    limit: Option<RequestRate>,
    changed_at: Millis,
}

/// The rate limits of backend servers.
#[derive(Debug, Default)]
pub struct ServerLimits {
    entries: BTreeMap<EngineId, Entry>,
}

impl ServerLimits {
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
        let known = self.entries.get(engine);
        let is_change = match (known, reported) {
            (None, reported) => reported.is_some(),
            (Some(known), Some(_)) => known.limit != reported,
            (Some(known), None) => known.limit.is_some() && sent_at >= known.changed_at,
        };
        if is_change {
            let entry = Entry {
                limit: reported,
                changed_at: now,
            };
            self.entries.insert(engine.clone(), entry);
            self.evict_oldest();
        }
        is_change
    }

    /// Returns the limit of a server, if it has one.
    #[must_use]
    pub fn get(&self, engine: &EngineId) -> Option<RequestRate> {
        self.entries.get(engine)?.limit
    }

    fn evict_oldest(&mut self) {
        while self.entries.len() > MAX_SERVERS {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.changed_at);
            let Some(engine) = oldest.map(|(engine, _)| engine.clone()) else {
                return;
            };
            self.entries.remove(&engine);
        }
    }
}
