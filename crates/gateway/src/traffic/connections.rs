//! A pool of idle connections to backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use carawayseam_types::{EngineId, Millis};

use crate::http_client::Connection;
use crate::shared::lock;

/// The maximum number of idle connections to one server.
const MAX_IDLE_PER_ENGINE: usize = 16;
/// The idle timeout of a connection whose server states none.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(2_500);
/// The maximum idle time. With a pause of the server after it, a connection stays below the limit on its silence.
const MAX_IDLE_TIMEOUT: Millis = Millis(3_000);
/// The share of a server's stated idle timeout that is used, since the server may have started its timer
/// earlier.
const KEEP_ALIVE_SHARE: f64 = 0.5;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Millis,
}

/// Idle connections by server.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections(Mutex<HashMap<(EngineId, SocketAddr), Vec<IdleConnection>>>);

impl IdleConnections {
    /// Takes the most recently used connection that is still usable.
    pub(crate) fn take(&self, now: Millis, engine: &EngineId, address: SocketAddr) -> Option<Connection> {
        let mut idle = lock(&self.0);
        let stack = idle.get_mut(&(engine.clone(), address))?;
        while let Some(last) = stack.pop() {
            if now < last.expires_at && last.connection.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Adds a connection whose response was completely read, unless the pool of its server is full.
    pub(crate) fn put(
        &self,
        now: Millis,
        engine: &EngineId,
        address: SocketAddr,
        connection: Connection,
        keep_alive: Option<Millis>,
    ) {
        let ttl = keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |keep_alive| {
            Millis((keep_alive.0 as f64 * KEEP_ALIVE_SHARE) as u64).min(MAX_IDLE_TIMEOUT)
        });
        let mut idle = lock(&self.0);
        let stack = idle.entry((engine.clone(), address)).or_default();
        if stack.len() < MAX_IDLE_PER_ENGINE {
            stack.push(IdleConnection {
                connection,
                expires_at: now + ttl,
            });
        }
    }

    /// Closes all idle connections to a server whose links may have failed.
    pub(crate) fn close_all(&self, engine: &EngineId, address: SocketAddr) {
        lock(&self.0).remove(&(engine.clone(), address));
    }

    /// Closes expired connections, and those to servers that are no longer listed.
    pub(crate) fn sweep(&self, now: Millis, is_listed: impl Fn(&EngineId) -> bool) {
        let mut idle = lock(&self.0);
        idle.retain(|(engine, _), stack| {
            stack.retain(|idle_connection| {
                now < idle_connection.expires_at && idle_connection.connection.is_ready()
            });
            !stack.is_empty() && is_listed(engine)
        });
    }

    pub(crate) fn idle_count(&self) -> usize {
        lock(&self.0).values().map(Vec::len).sum()
    }
}
