//! Who is alive, and what is the newest record and news: spread between processes.
//!
//! A [`Membership`] is one process's. It does no I/O and reads no clock: it
//! takes [`Event`]s with the time and appends [`Action`]s. Records only grow
//! in revision, from whatever source they come, so nothing ever reverts.
//!
//! ```
//! use carawayseam_membership::{Action, Event, Membership, MembershipConfig};
//! use carawayseam_types::{Incarnation, Millis};
//! use carawayseam_wire::PeerRole;
//!
//! let address = "10.20.1.1:7400".parse()?;
//! let config = MembershipConfig::new(
//!     "host-a1".parse()?,
//!     PeerRole::Entry,
//!     "sfax-a".parse()?,
//!     address,
//!     Incarnation(1),
//! );
//! let seeds = vec!["10.20.2.1:7400".parse()?];
//! let mut membership = Membership::new(config.seeds(seeds).seed(7));
//! let mut actions = Vec::new();
//! membership.handle(Millis(0), Event::Tick, &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { .. })));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! Limits: values for everyone are refused beyond a kilobyte, others beyond
//! sixteen; a host list that is missing or stale keeps no newcomer out.

mod config;
mod dump;
mod incoming;
mod items;
mod limits;
mod membership;
mod outgoing;
mod parts;
mod peers;
mod prober;
mod protocol;
mod push;
mod records;
mod rendezvous;
mod rotation;
mod updates;
mod watch;

pub use config::MembershipConfig;
pub use dump::{MembershipDump, RefusalCounts};
pub use membership::Membership;
pub use protocol::{Action, Event, Refusal};
pub use rendezvous::{rendezvous, watchers};
pub use watch::{WatchAction, WatchEvent, WatchGuard};
