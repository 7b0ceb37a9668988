//! Measures the scheduler beside simple policies, on a manual clock with fixed seeds.
//!
//! A discrete event loop joins open-loop callers, entry hosts that each run a
//! [`Policy`], and fakes of engines. All policies meet the same calls. Nothing
//! here reads the system's clock but the `cost` subcommand, whose figures are
//! not judged.
//!
//! ```
//! use carawayseam_bench_scheduling::{FirmName, PolicyName, Scenario, run};
//!
//! let row = run(Scenario::Poison, FirmName::KhaoRang, PolicyName::RoundRobin, &[1])?;
//! assert!(row.crashes > 0);
//! # Ok::<(), carawayseam_bench_scheduling::BenchError>(())
//! ```

mod bounds;
mod cache;
mod cost;
mod drive;
mod engine;
mod error;
mod firm;
mod fleet;
mod policy;
mod queue;
mod report;
mod scale;
mod scenario;
mod table;
mod tally;
mod workload;
mod world;

pub use bounds::{Bound, BoundName, Relation, judge};
pub use cache::CacheChange;
pub use cost::print_cost;
pub use engine::{Engine, Job, JobKey, Ledger, News, Speed, StepOutput};
pub use error::BenchError;
pub use firm::{
    Class, Firm, FirmName, NEWER, OLDER, PREFILL_PER_DECODE, PromptShape, SERVICE, SERVICE_UNITS,
};
pub use policy::{Policy, PolicyName};
pub use report::{CapacityRow, ClassRow, Report, Row, TierRow, capacities, run};
pub use scale::print_scale;
pub use scenario::{Plan, Scenario, Span};
pub use table::write_table;
pub use tally::{AttemptEnd, Ending, Fate, Outcome, Prefill, Share, Traffic};
pub use workload::{Call, RetryHabit, Stream, call_work, mean_work, tier_name, trace};
pub use world::{Fault, Setup, TimedFault, World};
