//! Clients of the systems outside: store, host list, engines and plain services.
//!
//! Every client switches off what an HTTP library does by itself: resending,
//! following redirects and obeying proxy variables. What an error says about
//! the request is in its type: [`CallError::NotSent`] is certain, and
//! [`CallError::ResponseLost`] means that the other side may have acted.
//!
//! ```no_run
//! use carawayseam_clients::{Http, KvClient};
//! use carawayseam_types::Millis;
//!
//! # async fn read() -> Result<(), Box<dyn std::error::Error>> {
//! let http = Http::builder().timeout(Millis(500)).build()?;
//! let store = KvClient::new(http, "http://127.0.0.1:2379");
//! let entry = store.get("environments/ben-slama/current").await?;
//! # Ok(())
//! # }
//! ```

mod claims;
mod engine;
mod error;
mod hosts;
mod http;
mod kv;
mod service;

pub use claims::{ClaimClient, ClaimOutcome};
pub use engine::{EngineClient, FrameError, FrameStream};
pub use error::CallError;
pub use hosts::HostListClient;
pub use http::{Http, HttpBuilder};
pub use kv::{KvClient, PutOutcome};
pub use service::ServiceClient;
