//! Decides for one host which opaque request runs on which backend server, and when.
//!
//! The bodies and answers of these requests are bytes that nobody here reads.
//! What is known of a request is its route, its organisation, its deadline, and the
//! length and shared beginning of its prompt. Each host decides alone and heeds the
//! loads that its peers announce.
//!
//! | module | job |
//! | --- | --- |
//! | [`catalog`] | routes, organisations and keys of one configuration |
//! | [`freshness`] | how old the knowledge of the configuration may be |
//! | [`rollouts`] | moves of traffic between versions |
//! | [`outage`] | which entries may come back after an outage of the store |
//! | [`poison`] | requests that crash the servers that run them |
//! | [`quota`] | an organisation's tokens a second, shared by all hosts |
//! | [`retries`] | the budget for sending a request once more |
//! | [`engine`] | one backend server as this host knows it |
//! | [`group`] | hosts that hear each other, and who of them does what for all |
//! | [`history`] | the store's latest changes, for peers that follow it through this host |
//! | [`draining_servers`] | servers that said of themselves that they leave |
//! | [`load`] | what a host tells of its load |
//! | [`dispatcher`] | queues, and the choice of a backend server |
//!
//! Nothing here does I/O, starts a thread or reads a clock.
//!
//! ```
//! use carawayseam_dispatch::freshness::Freshness;
//! use carawayseam_types::Millis;
//!
//! let mut freshness = Freshness::new(Millis(3_600));
//! freshness.confirm(Millis(10_000));
//! assert!(freshness.is_fresh(Millis(13_000)));
//! assert!(!freshness.is_fresh(Millis(13_601)));
//! ```

pub mod catalog;
pub mod dispatcher;
pub mod draining_servers;
pub mod engine;
pub mod freshness;
pub mod group;
pub mod history;
pub mod hosts;
mod job;
pub mod load;
pub mod outage;
mod peer_loads;
pub mod poison;
mod pool;
pub mod quota;
pub mod retries;
pub mod rollouts;
mod speed;

pub use catalog::{Catalog, Configuration};
pub use dispatcher::Dispatcher;
pub use engine::{AttemptEnd, EngineEntry};
pub use job::{Action, Job, Ticket};
