//! Stand-ins for the systems that carawayseam meets from outside, and a load generator.
//!
//! Each stand-in is a small HTTP server that keeps the shapes of
//! `carawayseam_external`, runs as a process or inside a test, and does wrong
//! what its [`Faults`] tell it.
//!
//! ```no_run
//! use carawayseam_standins::{Faults, kv};
//!
//! # async fn example() -> Result<(), carawayseam_standins::StandinError> {
//! let store = kv::serve(kv::Config::local()).await?;
//! store.switch().set(Faults { lose_answers_next: 1, ..Faults::default() });
//! println!("{}", store.url());
//! # Ok(())
//! # }
//! ```
//!
//! They keep everything in memory and are no measure of a real engine's speed.

mod answer;
mod bucket;
mod connection;
pub mod engine;
mod error;
mod faults;
pub mod hosts;
pub mod kv;
pub mod loadgen;
mod server;
pub mod service;
mod switch;
pub mod weights;

pub use answer::{Answer, CRASH_MARK, LENGTH_MARK, answer_length, answer_token};
pub use error::StandinError;
pub use faults::{BadKind, BadVersion, FAULTS_PATH, Faults, Occasion, STATS_PATH};
pub use server::Running;
pub use switch::FaultSwitch;
