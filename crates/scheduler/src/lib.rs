//! Decides which request runs where and when, and which is refused.
//!
//! A [`Scheduler`] is one entry host's. It does no I/O, starts no thread and
//! reads no clock: the caller hands it each [`Event`] with the time, and
//! carries out the [`Action`]s that it appends. The same library serves the
//! entry process, the tests and the benches.
//!
//! ```
//! use carawayseam_scheduler::{Event, Scheduler, SchedulerConfig};
//! use carawayseam_types::Millis;
//!
//! let config = SchedulerConfig::new("entry-a1".parse()?, "zone-a".parse()?).seed(7);
//! let mut scheduler = Scheduler::new(config);
//! let mut actions = Vec::new();
//! scheduler.handle(Millis(1), Event::Tick, &mut actions);
//! assert!(actions.is_empty());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod action;
mod admission;
mod affinity;
mod attempts;
mod budget;
mod config;
mod control;
mod dispatch;
mod dump;
mod engine;
mod event;
mod fleet;
mod index;
mod job;
mod length;
mod limit;
mod outlier;
mod peers;
mod poison;
mod pool;
mod queue;
mod request;
mod retry;
mod scheduler;
mod shed;
mod speed;
mod timers;

pub use action::{Action, Notice};
pub use config::{Coordination, SchedulerConfig};
pub use dump::{EngineDump, PoisonDump, PoolDump, QueueDump, SchedulerDump};
pub use event::{
    AttemptFailure, EngineReport, EngineStanding, Event, Member, PoolLoad, PoolLoadAnnouncement,
};
pub use request::{Origin, Request};
pub use scheduler::Scheduler;
