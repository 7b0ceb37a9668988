//! A soak: gateway processes on loopback under faults drawn from a seed.
//!
//! The soak starts real gateway processes against the platform's stand-ins. A
//! [`Schedule`] says when connections are delayed, cut or reset, when processes
//! are frozen, killed or stopped, when the store and the backend servers misbehave, and what
//! the operator changes. Callers and servers report what they see to a [`Ledger`],
//! which holds it against the promises and names the first that is broken.
//!
//! The same seed gives the same schedule, not the same interleaving of processes.

mod broken;
mod callers;
mod flags;
mod gateway;
mod ledger;
mod metered;
mod operator;
mod proxy;
mod recorder;
mod run;
mod schedule;
mod servers;
mod world;

pub use broken::Broken;
pub use flags::{main, print};
pub use ledger::{Answer, Ledger, RequestId, Route, Scope};
pub use metered::{METERED_KEY, most_in_window};
pub use run::{Verdict, run};
pub use schedule::{Entry, Fault, Misbehaviour, Quality, Schedule, Size};
