//! Moves between versions: good ones finished, bad ones taken back.

mod baseline;
mod case;
mod firm;
mod policy;
mod project;
mod table;
mod world;

use std::num::NonZero;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use self::baseline::{Baseline, Judging};
use self::case::{Case, cases};
use self::project::Project;
use self::table::Tried;
use self::world::World;
use crate::report::Row;

/// More threads than this gain little, and others use the machine, too.
const MAX_THREADS: usize = 4;

/// Who decides on versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PolicyName {
    Project,
    FixedThreshold,
    TimerOnly,
}

impl PolicyName {
    const fn name(self) -> &'static str {
        match self {
            Self::Project => "carawayseam",
            Self::FixedThreshold => "fixed threshold",
            Self::TimerOnly => "timer only",
        }
    }
}

/// Runs the part and gives its rows.
pub(crate) fn run() -> Vec<Row> {
    let cases = cases();
    let mut tried = in_threads(&cases);
    tried.sort_by_key(|tried| tried.number);
    table::rows(&cases, &tried)
}

/// Tries each case; which thread takes which case changes nothing in its figures.
fn in_threads(cases: &[Case]) -> Vec<Tried> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut tried = Vec::new();
        while let Some((number, case)) = take_next(&next, cases) {
            tried.extend(try_case(number, case));
        }
        tried
    };
    let threads = thread::available_parallelism().map_or(1, NonZero::get);
    thread::scope(|scope| {
        let workers: Vec<_> = (0..threads.min(MAX_THREADS)).map(|_| scope.spawn(work)).collect();
        let joined = workers.into_iter().map(thread::ScopedJoinHandle::join);
        joined
            .flat_map(|tried| tried.expect("a case does not panic"))
            .collect()
    })
}

fn take_next<'a>(next: &AtomicUsize, cases: &'a [Case]) -> Option<(usize, &'a Case)> {
    let number = next.fetch_add(1, Ordering::Relaxed);
    cases.get(number).map(|case| (number, case))
}

fn try_case(number: usize, case: &Case) -> Vec<Tried> {
    let tried = |policy, tally| Tried {
        number,
        policy,
        tally,
    };
    let project = World::new(case).run(&mut Project::new(case));
    let mut all = vec![tried(PolicyName::Project, project)];
    if case.compared {
        let baselines = [
            (PolicyName::FixedThreshold, Judging::FixedThreshold),
            (PolicyName::TimerOnly, Judging::Never),
        ];
        for (policy, judging) in baselines {
            let tally = World::new(case).run(&mut Baseline::new(case, judging));
            all.push(tried(policy, tally));
        }
    }
    all
}
