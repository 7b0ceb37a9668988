//! A model engine: it batches continuously, caches prefixes, and knows no priorities.

mod batch;
mod cache;
mod http;
mod loadout;
mod process;
mod sequence;

use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::Bpaf;
use carawayseam_types::{BackendName, EngineId, Millis, Permille, TokensPerSecond, VersionId, ZoneId};

pub use batch::Stats;

use crate::StandinError;
use crate::server::{Running, run, start};
use crate::switch::FaultSwitch;

/// Settings of a model engine.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, generate(options))]
pub struct Config {
    /// Where to listen; port 0 lets the kernel choose
    #[bpaf(argument("ADDRESS"))]
    pub listen: SocketAddr,
    /// The engine's name
    #[bpaf(argument("NAME"))]
    pub name: EngineId,
    /// The availability zone
    #[bpaf(argument("NAME"), optional)]
    pub zone: Option<ZoneId>,
    /// The model loaded at start
    #[bpaf(argument("NAME"))]
    pub model: BackendName,
    /// The version loaded at start; none waits for an order
    #[bpaf(argument("NAME"), optional)]
    pub version: Option<VersionId>,
    /// Refuse orders with an old fencing token
    pub checks_fencing: bool,
    /// Prompt tokens prefilled a second, over the whole batch
    #[bpaf(argument("RATE"), fallback(TokensPerSecond(8_000.0)), display_fallback)]
    pub prefill: TokensPerSecond,
    /// Tokens decoded a second, for each stream of a small batch
    #[bpaf(argument("RATE"), fallback(TokensPerSecond(60.0)), display_fallback)]
    pub decode: TokensPerSecond,
    /// The most requests in the batch
    #[bpaf(argument("N"), fallback(32), display_fallback)]
    pub max_batch: usize,
    /// Prompt tokens that the prefix cache holds
    #[bpaf(argument("N"), fallback(50_000), display_fallback)]
    pub cache_tokens: u32,
    /// How late cache events show
    #[bpaf(argument("SPAN"), fallback(Millis(500)), display_fallback)]
    pub cache_lag: Millis,
    /// Thousandths of cache events that are lost
    #[bpaf(argument("N"), fallback(Permille::new(100)), display_fallback)]
    pub cache_loss: Permille,
    /// How late the load report is
    #[bpaf(argument("SPAN"), fallback(Millis(500)), display_fallback)]
    pub load_lag: Millis,
    /// Base URL of the weight store; none loads from memory
    #[bpaf(argument("URL"), optional)]
    pub weights: Option<String>,
    /// The time a load takes after its weights were fetched
    #[bpaf(argument("SPAN"), fallback(Millis(100)), display_fallback)]
    pub load_time: Millis,
}

impl Config {
    /// A fast engine on a port from the kernel, with `version` loaded.
    #[must_use]
    pub const fn local(name: EngineId, model: BackendName, version: VersionId) -> Self {
        Self {
            listen: SocketAddr::V4(std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 0)),
            name,
            zone: None,
            model,
            version: Some(version),
            checks_fencing: false,
            prefill: TokensPerSecond(200_000.0),
            decode: TokensPerSecond(5_000.0),
            max_batch: 32,
            cache_tokens: 50_000,
            cache_lag: Millis(50),
            cache_loss: Permille::NONE,
            load_lag: Millis(50),
            weights: None,
            load_time: Millis(1),
        }
    }
}

/// Runs the process.
#[must_use]
pub fn main() -> ExitCode {
    let cfg = options().run();
    let name = cfg.name.clone();
    run(name.as_str(), serve(cfg))
}

/// Starts a model engine.
///
/// # Errors
///
/// When the address cannot be listened on.
pub async fn serve(cfg: Config) -> Result<Running, StandinError> {
    let listen = cfg.listen;
    let switch = FaultSwitch::new(0);
    let engine = process::Engine::start(cfg, &switch)?;
    start(listen, switch, http::routes(engine)).await
}
