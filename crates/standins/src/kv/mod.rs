//! The platform's key-value service: compare-and-swap, leases, watches and a call budget.

mod http;
mod state;

use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::Bpaf;
use serde::{Deserialize, Serialize};

use crate::StandinError;
use crate::server::{Running, run, start};
use crate::switch::FaultSwitch;

const DEFAULT_CALLS_PER_SECOND: f64 = 2_500.0;

/// Settings of a key-value service.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, generate(options))]
pub struct Config {
    /// Where to listen; port 0 lets the kernel choose
    #[bpaf(argument("ADDRESS"))]
    pub listen: SocketAddr,
    /// Calls let through a second; over it, status 429
    #[bpaf(argument("N"), fallback(DEFAULT_CALLS_PER_SECOND), display_fallback)]
    pub calls_per_second: f64,
    /// Seed that draws which answers are lost
    #[bpaf(argument("N"), fallback(0))]
    pub seed: u64,
}

impl Config {
    /// A service on a port from the kernel, with the usual budget.
    #[must_use]
    pub fn local() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            calls_per_second: DEFAULT_CALLS_PER_SECOND,
            seed: 0,
        }
    }
}

/// Calls since the service started, by kind; a waiting watch counts as one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Reads of one entry.
    pub get: u64,
    /// Writes.
    pub put: u64,
    /// Deletions.
    pub delete: u64,
    /// Reads below a prefix.
    pub range: u64,
    /// Watches.
    pub watch: u64,
    /// Leases granted, renewed or revoked.
    pub lease: u64,
    /// Calls refused over the budget.
    pub refused: u64,
    /// Writes whose answers were lost.
    pub lost_answers: u64,
}

/// Runs the process.
#[must_use]
pub fn main() -> ExitCode {
    run("kv", serve(options().run()))
}

/// Starts a key-value service.
///
/// # Errors
///
/// When the address cannot be listened on.
pub async fn serve(cfg: Config) -> Result<Running, StandinError> {
    let switch = FaultSwitch::new(cfg.seed);
    let routes = http::routes(&cfg, &switch);
    start(cfg.listen, switch, routes).await
}
