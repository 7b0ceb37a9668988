//! Runs whole environments on stand-ins, for the demo and the process tests.
//!
//! A [`Fleet`] starts the stand-ins of every engine that a document declares,
//! then entry and control processes, all on loopback ports that the kernel
//! picks. It ends what it started, by process id, when it is dropped.
//!
//! ```no_run
//! use carawayseam_testbed::{Fleet, Programs};
//!
//! # async fn run() -> Result<(), carawayseam_testbed::TestbedError> {
//! let programs = Programs::beside_this_one()?;
//! let fleet = Fleet::builder(programs, include_str!("../../../examples/ben-slama.yaml"))
//!     .host("entry-a1", "sfax-a")
//!     .start()
//!     .await?;
//! # Ok(())
//! # }
//! ```

mod caller;
mod demo;
mod error;
mod fleet;
mod idle;
mod measure;
mod process;
mod programs;
mod relay;

pub use caller::{Answer, Caller, Reply};
pub use demo::main as demo;
pub use error::TestbedError;
pub use fleet::{EntryHost, Fleet, FleetBuilder};
pub use measure::main as measure;
pub use process::Process;
pub use programs::{Program, Programs};
pub use relay::{Link, Relay};
