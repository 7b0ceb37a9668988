//! What this host believes about configuration, backend servers and peers.

mod keeping;
mod moves;
mod news;
mod peers;
mod registration;
mod state;
mod sync;

pub(crate) use moves::write_decisions;
pub(crate) use peers::{receive, send_beats};
pub(crate) use registration::{HostRecord, register};
pub(crate) use state::{ControlState, Note};
pub(crate) use sync::follow_store;
