//! Gossip membership: detects live processes and spreads records and published values among them.
//!
//! Failure detection follows SWIM: each process probes random peers, directly
//! and then through others, and a suspected peer can refute before it is
//! declared dead. A [`Membership`] is the state of one process. It does no I/O
//! and reads no clock: it handles [`Event`]s with the time and appends
//! [`Action`]s. A record is replaced only by one of a higher revision, from
//! whichever source it comes, so that no process reverts to an older one.
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
//! Limits: published values are refused above 1 kB if they go to all processes,
//! and above 16 kB otherwise. While the host list is missing or stale,
//! datagrams from unknown hosts are accepted.

mod budget;
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
mod zone_contact;

pub use budget::SendLimit;
pub use config::{MembershipConfig, Timing};
pub use dump::{MembershipDump, RefusalCounts};
pub use membership::Membership;
pub use protocol::{Action, Event, Refusal};
pub use rendezvous::{rendezvous, watchers};
pub use watch::{WatchAction, WatchEvent, WatchGuard};
