//! The control state of the process, on a thread of its own.

mod actor;
mod apply;
mod environment;
mod handle;
mod messages;
mod news;

pub(crate) use actor::start;
pub(crate) use handle::ControlHandle;
pub(crate) use messages::{Assignment, AttemptNews, EngineReading, Signal, StateDump, Submission};
