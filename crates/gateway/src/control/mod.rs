//! The control state of this host: configuration, backend servers, peers and rollouts.

mod capacity;
mod configuration;
mod gossip;
mod loads;
mod members;
mod overload;
mod ownership;
mod peers;
mod poison_contents;
mod poison_parts;
mod reach;
mod registration;
mod rollout_pace;
mod rollout_routes;
mod rollouts;
mod server_limits;
mod state;
mod store_copy;
mod store_follower;
mod updates;
mod warm_ups;

pub(crate) use configuration::fetch_configurations;
pub(crate) use gossip::decode_claimed;
pub(crate) use overload::measure_overload;
pub(crate) use peers::{receive, send_heartbeats};
pub(crate) use registration::{HostRecord, register};
pub(crate) use rollouts::write_rollout_decisions;
pub(crate) use state::{ControlState, Event};
pub(crate) use store_follower::follow_store;
