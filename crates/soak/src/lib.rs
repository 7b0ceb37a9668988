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
mod disturbances;
mod exposure;
mod flags;
mod gateway;
mod ledger;
mod limited;
mod metered;
mod operator;
mod recorder;
mod request;
mod run;
mod schedule;
mod servers;
mod world;

pub use broken::Broken;
pub use disturbances::Scope;
pub use flags::{main, print};
pub use ledger::Ledger;
pub use limited::max_in_limited_window;
pub use metered::{METERED_KEY, most_in_window};
pub use request::{Answer, RequestId, Route};
pub use run::{Verdict, run};
pub use schedule::{Entry, Fault, Misbehaviour, Quality, Schedule, Size};
