//! Property test: under random network and clock faults revisions never decrease, and all
//! processes agree once the faults end.

mod network;

use carawayseam_membership::Event;
use network::{Faults, Network, record};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 200;
const PROCESSES: usize = 10;
const ZONES: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    /// A process reads a record from the store, possibly an old one.
    StoreRead {
        process: usize,
        revision: u64,
    },
    Kill {
        process: usize,
    },
    Restart {
        process: usize,
    },
    Partition {
        sides: [u8; ZONES],
    },
    Faults {
        loss_percent: u32,
        duplicate_percent: u32,
        jitter_ms: u64,
    },
    /// The clock of a process steps ahead; a pause of the process has the same effect.
    ClockAhead {
        process: usize,
        ahead_ms: u64,
    },
    ClockBack {
        process: usize,
    },
    Run {
        span: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let process = 0..PROCESSES;
    prop_oneof![
        (process.clone(), 1..30_u64).prop_map(|(process, revision)| Step::StoreRead { process, revision }),
        process.clone().prop_map(|process| Step::Kill { process }),
        process.clone().prop_map(|process| Step::Restart { process }),
        proptest::array::uniform3(0..2_u8).prop_map(|sides| Step::Partition { sides }),
        (0..40_u32, 0..30_u32, 0..500_u64).prop_map(|(loss_percent, duplicate_percent, jitter_ms)| {
            Step::Faults {
                loss_percent,
                duplicate_percent,
                jitter_ms,
            }
        }),
        (process.clone(), 0..100_000_u64)
            .prop_map(|(process, ahead_ms)| Step::ClockAhead { process, ahead_ms }),
        process.prop_map(|process| Step::ClockBack { process }),
        (50..5_000_u64).prop_map(|span| Step::Run { span }),
    ]
}

fn apply(network: &mut Network, step: &Step, incarnation: u64) {
    match *step {
        Step::StoreRead { process, revision } => network.inject(process, Event::Record(record(revision))),
        Step::Kill { process } => network.nodes[process].up = false,
        Step::Restart { process } => network.restart(process, ZONES, incarnation),
        Step::Partition { sides } => {
            for (index, node) in network.nodes.iter_mut().enumerate() {
                node.side = sides[index / 2 % ZONES];
            }
        }
        Step::Faults {
            loss_percent,
            duplicate_percent,
            jitter_ms,
        } => {
            network.faults = Faults {
                loss_percent,
                duplicate_percent,
                jitter_ms,
            };
        }
        Step::ClockAhead { process, ahead_ms } => network.nodes[process].clock_offset += ahead_ms,
        Step::ClockBack { process } => network.nodes[process].clock_offset = 0,
        Step::Run { span } => network.run(span),
    }
}

#[test]
fn revisions_grow_and_processes_converge_after_faults() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 1..40);
    let result = runner.run(&steps, |steps| {
        let mut network = Network::new(PROCESSES, ZONES, 11);
        for (incarnation, step) in steps.iter().enumerate() {
            apply(&mut network, step, incarnation as u64);
            prop_assert!(network.nodes.iter().all(network::Node::never_reverts));
        }
        network.faults = Faults::default();
        for node in &mut network.nodes {
            (node.up, node.side) = (true, 0);
        }
        let newest = network.nodes.iter().filter_map(network::Node::revision).max();
        network.run_until(30_000, |network| {
            network.all_know_all_peers() && network.nodes.iter().all(|node| node.revision() == newest)
        });
        prop_assert!(network.nodes.iter().all(network::Node::never_reverts));
        Ok(())
    });
    result.expect("processes converge after every sequence of faults");
}
