//! Rollouts of new versions: traffic shares, evaluation, deadline and rollback.
//!
//! A [`Gate`] runs on each entry host. It picks the version for each request,
//! counts the outcomes, and stops the new version on its own when the evidence
//! against it is clear. A [`Driver`] runs on the holder of the control lease.
//! It collects the hosts' evidence and writes the next [`RolloutRecord`]. Both
//! enforce the deadline by their own clocks, so a store outage never leaves a
//! rollout open.
//!
//! Neither performs I/O or reads a clock.
//!
//! ```
//! use std::sync::Arc;
//!
//! use carawayseam_config::Document;
//! use carawayseam_rollout::{Gate, GateEvent, Rollout, Pick, Preparing};
//! use carawayseam_types::{Digest, Incarnation, Millis, Revision};
//!
//! let yaml = include_str!("../../../examples/khao-rang.yaml");
//! let document = Document::from_yaml("khao-rang.yaml", yaml)?;
//! let now = Millis::from_secs(1);
//! let spec = document.moves[0].clone();
//! let promoted = Rollout::<Preparing>::promote(document.environment.clone(), spec, Revision(7), None, now)?;
//!
//! let mut gate = Gate::new("entry-a".parse()?, Incarnation(1));
//! let mut actions = Vec::new();
//! gate.handle(now, GateEvent::Configure(Arc::new(document)), &mut actions);
//! gate.handle(now, GateEvent::Record(promoted.begin(now).into_record()), &mut actions);
//! gate.handle(now, GateEvent::Contact, &mut actions);
//! let (backend, route) = ("passes".parse()?, "renew".parse()?);
//! let pick = Pick {
//!     backend: &backend,
//!     route: &route,
//!     idempotent: false,
//!     content: Digest::of(b"renew pass 12"),
//! };
//! // Renewals use the old version until balance checks show that the new one works.
//! assert_eq!(gate.pick(now, &pick), Some("passes-1".parse()?));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod baseline;
mod binomial;
mod driver;
mod error;
mod evidence;
mod exposure;
mod gate;
mod judge;
mod latency;
mod ledger;
mod life;
mod metric;
mod outstanding;
mod protocol;
mod record;
mod schedule;
mod sequential;
mod status;

pub use driver::{Driver, DriverAction, DriverEvent};
pub use error::RecordError;
pub use evidence::{Evidence, Fault, Finding, Observation, RouteEvidence, Served, VersionCounts};
pub use gate::Gate;
pub use judge::RouteJudge;
pub use latency::LATENCY_BUCKETS;
pub use life::{AnyRollout, Canary, Finished, Growing, Open, Preparing, RolledBack, Rollout, Stage, Whole};
pub use protocol::{GateAction, GateDump, GateEvent, Pick, RolloutView};
pub use record::{Cause, Phase, RolloutRecord};
pub use schedule::PlannedSteps;
