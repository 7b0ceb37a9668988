//! The state of the control process, as one actor.

mod actor;
mod apply;
mod environment;
mod handle;
mod messages;
mod moves;
mod news;

pub(crate) use actor::start;
pub(crate) use handle::ControlHandle;
pub(crate) use messages::{Note, StateDump};
