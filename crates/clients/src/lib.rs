//! Clients of the external systems: store, host list, engines and plain services.
//!
//! Every client disables the automatic behaviour of the HTTP library: retries,
//! redirects and proxy variables of the environment. The variant of an error
//! tells whether the request may have taken effect: after
//! [`CallError::NotSent`] it certainly has not, after
//! [`CallError::ResponseLost`] it may have.
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
