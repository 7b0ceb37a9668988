//! The control lease of an environment, and the orders that its holder sends to engines.
//!
//! A [`Lease`] is the state machine with which one host competes for an
//! environment's control lease. [`Lease::permit`] reads the clock immediately
//! before each order, so a holder that was paused until after its lease expired
//! sends none. A [`Planner`] determines the orders that bring the engines to
//! their wanted state. Neither does I/O; both handle events with the current
//! time and append actions.
//!
//! ```
//! use carawayseam_lease::{Lease, LeaseAction, LeaseConfig, LeaseEvent, PermitDenied};
//! use carawayseam_types::{Clock, Millis};
//!
//! let clock = Clock::manual(Millis(1_000));
//! let config = LeaseConfig::new("ben-slama".parse()?, "host-a1".parse()?, 7);
//! let mut lease = Lease::new(config);
//! let mut actions = Vec::new();
//! lease.handle(clock.now(), LeaseEvent::Tick, &mut actions);
//! assert!(matches!(actions[0], LeaseAction::Call { .. }));
//! assert_eq!(lease.permit(&clock), Err(PermitDenied::NotHolder));
//! # Ok::<(), carawayseam_types::ParseError>(())
//! ```
//!
//! Limits: the clock rates of store and host may differ by one part in twenty.
//! A clock that steps back ends the lease. A step back cannot be detected if
//! the host was paused for the same length of time.

mod call;
mod config;
mod engine;
mod lease;
mod permit;
mod planner;
mod protocol;
mod state;

pub use call::{CallId, StoreCall, StoreResponse};
pub use config::{DEFAULT_TTL, HolderEntry, LeaseConfig, MAX_DELIVERY_TIME, holder_key};
pub use lease::Lease;
pub use permit::{OrderPermit, PermitDenied};
pub use planner::{EngineDump, OrderOutcome, PlanAction, PlanEvent, Planner, PlannerDump, PlannerLimits};
pub use protocol::{LeaseAction, LeaseDump, LeaseEvent};
pub use state::LapseCause;
