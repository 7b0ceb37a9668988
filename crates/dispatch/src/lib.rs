//! Decides for one host which request runs on which backend server, and when.
//!
//! Request and response bodies are opaque: this crate never reads them. It knows only a
//! request's route, organisation and deadline, and the length and shared prefix of its
//! prompt. Each host decides on its own and takes into account the loads that its peers
//! announce.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`caller_time`] | when a caller leaves, and by when its request has to start |
//! | [`capacity`] | how much load each server of a backend handles well |
//! | [`catalog`] | routes, organisations and keys of one configuration |
//! | [`freshness`] | how old the last confirmation of the configuration may be |
//! | [`rollouts`] | rollouts of a backend's traffic to another version |
//! | [`pace`] | evidence that a new version is slow |
//! | [`outage`] | how long missing entries are kept after an outage of the store |
//! | [`crash_check`] | whether a server that lost a response has crashed |
//! | [`poison`] | requests that crash the servers that run them |
//! | [`poison_parts`] | parts of prompts that crash the servers that begin to answer them |
//! | [`quota`] | an organisation's quota in tokens per second, shared by all hosts |
//! | [`retries`] | the retry budget |
//! | [`engine`] | this host's state of one backend server |
//! | [`group`] | the reachable hosts, and which of them own shared tasks |
//! | [`peers`] | the other hosts' heartbeats, and which of them are live |
//! | [`gossip`] | rounds in which the hosts of a large fleet send to a few others |
//! | [`server_loads`] | loads of servers as measured by the owners of their slots |
//! | [`reach`] | which servers this host reaches directly, through a peer, or not at all |
//! | [`store_tree`] | how the hosts of a fleet share the calls to the store |
//! | [`local_overload`] | whether this host is too busy to judge others by its connections |
//! | [`relay_budget`] | how many connections a host relays for others |
//! | [`hosts`] | the known hosts and their addresses |
//! | [`history`] | the store's latest changes, for peers that follow the store through this host |
//! | [`known_servers`] | the backend servers that the store lists, or listed lately |
//! | [`draining_servers`] | backend servers that reported that they are draining |
//! | [`server_limits`] | rate limits that backend servers reported |
//! | [`warm_up`] | backend servers that bear few requests after their start |
//! | [`evacuation`] | zones whose backend servers are sent nothing |
//! | [`brittle_servers`] | backend servers that bear few rejections |
//! | [`fair_shares`] | which organisation loses requests first when servers are short |
//! | [`load`] | the load that a host reports to peers and operators |
//! | [`dispatcher`] | request queues and backend server selection |
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

mod accounts;
pub mod brittle_servers;
pub mod caller_time;
pub mod capacity;
pub mod catalog;
pub mod crash_check;
pub mod dispatcher;
pub mod draining_servers;
pub mod engine;
pub mod evacuation;
pub mod fair_shares;
pub mod freshness;
pub mod gossip;
pub mod group;
pub mod history;
pub mod hosts;
mod inherited_loads;
mod job;
pub mod known_servers;
pub mod load;
pub mod local_overload;
pub mod outage;
pub mod pace;
mod peer_loads;
pub mod peers;
pub mod poison;
pub mod poison_parts;
mod pool;
pub mod quota;
pub mod reach;
pub mod relay_budget;
mod reported_limits;
pub mod retries;
pub mod rollouts;
mod rotation;
pub mod server_limits;
pub mod server_loads;
mod speed;
pub mod store_tree;
pub mod warm_up;

pub use caller_time::{CallerTime, Work};
pub use catalog::{Catalog, Configuration};
pub use dispatcher::Dispatcher;
pub use engine::{AttemptEnd, EngineEntry};
pub use job::{Action, Job, Ticket};
