//! Backend servers that said of themselves that they leave.
//!
//! A server's own word goes before the store's list, which may still hold an entry of before.
//! It ends only with a new start of that server.

use std::collections::BTreeMap;

use carawayseam_types::{EngineId, Millis};

/// Peers are told of a server for so long after it said so.
const TOLD_FOR: Millis = Millis::from_secs(3);
/// Peers that have just started are told of a server for so long.
const RETOLD_FOR: Millis = Millis::from_secs(120);
/// Servers that a host tells its peers of at most, the latest first.
const MOST_TOLD: usize = 24;
/// Servers remembered at most.
const MOST_KEPT: usize = 4_096;

/// One start of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainingServer {
    /// The server.
    pub engine: EngineId,
    /// When it started, if it is known.
    pub started: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Mark {
    started: Option<u64>,
    at: Millis,
    /// Whether this host heard it from the server itself.
    is_own: bool,
}

/// The servers that leave.
#[derive(Debug, Default)]
pub struct DrainingServers(BTreeMap<EngineId, Mark>);

impl DrainingServers {
    /// Notes that a server leaves, as it or a peer said; true if that is news.
    pub fn record(&mut self, now: Millis, draining: DrainingServer, is_own: bool) -> bool {
        let DrainingServer { engine, started } = draining;
        let known = self.0.get(&engine);
        let is_news = known.is_none_or(|known| known.started < started);
        if is_news {
            let mark = Mark {
                started,
                at: now,
                is_own,
            };
            self.0.insert(engine, mark);
            self.forget_oldest();
        }
        is_news
    }

    /// Whether this start of a server leaves.
    #[must_use]
    pub fn contains(&self, engine: &EngineId, started: Option<u64>) -> bool {
        self.0.get(engine).is_some_and(|mark| started <= mark.started)
    }

    /// What peers should be told: servers that told this host lately that they leave.
    ///
    /// A peer that has just started knows of none, and is told what others said before, too.
    #[must_use]
    pub fn gossip_updates(&self, now: Millis, has_new_peer: bool) -> Vec<DrainingServer> {
        let is_told = |mark: &Mark| {
            let age = now.since(mark.at);
            (mark.is_own && age <= TOLD_FOR) || (has_new_peer && age <= RETOLD_FOR)
        };
        let mut fresh: Vec<_> = self.0.iter().filter(|(_, mark)| is_told(mark)).collect();
        fresh.sort_by_key(|(_, mark)| std::cmp::Reverse(mark.at));
        let told = fresh.into_iter().take(MOST_TOLD);
        told.map(|(engine, mark)| DrainingServer {
            engine: engine.clone(),
            started: mark.started,
        })
        .collect()
    }

    fn forget_oldest(&mut self) {
        while self.0.len() > MOST_KEPT {
            let oldest = self.0.iter().min_by_key(|(_, mark)| mark.at);
            let Some(engine) = oldest.map(|(engine, _)| engine.clone()) else {
                return;
            };
            self.0.remove(&engine);
        }
    }
}
