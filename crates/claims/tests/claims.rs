//! Checks that at most one host holds the claim on a request, even if requests to the store or its
//! responses are lost or delayed.

use std::collections::BTreeMap;

use carawayseam_claims::{
    Claim, ClaimState, ClaimValue, ExistingClaim, HostIncarnation, NextStep, Pending, ReadOutcome,
    StoredClaim, WriteOutcome,
};
use carawayseam_types::{Digest, Incarnation, Nonce};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};

const BODY: Digest = Digest(7);
const RNG_SEED: u64 = 20_261_204;
const CASES: u32 = 2_000;

fn owner(number: usize) -> HostIncarnation {
    let host = format!("entry-{number}").parse().expect("valid host name");
    HostIncarnation {
        host,
        incarnation: Incarnation(1),
    }
}

fn claim(number: usize, nonce: u64) -> Claim<Pending> {
    Claim::new("claims/e/o/1".to_owned(), owner(number), Nonce(nonce), BODY)
}

fn stored(value: ClaimValue, revision: u64) -> StoredClaim {
    StoredClaim { value, revision }
}

fn value(number: usize, nonce: u64, state: ClaimState) -> ClaimValue {
    ClaimValue {
        nonce: Nonce(nonce),
        owner: owner(number),
        body: BODY,
        state,
    }
}

/// Defines a test that checks the next step after one outcome of a create.
macro_rules! write_outcome_test {
    ($name:ident, $write_outcome:expr => $next_step:pat) => {
        #[test]
        fn $name() {
            let next_step = claim(1, 5).on_write($write_outcome);
            assert!(matches!(next_step, $next_step), "{next_step:?}");
        }
    };
}

write_outcome_test!(
    committed_create_holds_the_claim,
    WriteOutcome::Committed { revision: 1 } => NextStep::Held(_)
);
write_outcome_test!(unknown_write_outcome_is_read_back, WriteOutcome::Unknown => NextStep::Read(_));
write_outcome_test!(
    own_write_is_recognised_by_its_nonce,
    WriteOutcome::Conflict(Some(stored(value(1, 5, ClaimState::Claimed), 3))) => NextStep::Held(_)
);
write_outcome_test!(
    same_nonce_of_another_host_does_not_hold_the_claim,
    WriteOutcome::Conflict(Some(stored(value(2, 5, ClaimState::Claimed), 3)))
        => NextStep::Settled(ExistingClaim::Claimed(_))
);
write_outcome_test!(
    released_claim_is_taken_over,
    WriteOutcome::Conflict(Some(stored(value(2, 9, ClaimState::Released), 3))) => NextStep::TakeOver(_, 3)
);
write_outcome_test!(
    recorded_response_is_returned,
    WriteOutcome::Conflict(Some(stored(value(2, 9, ClaimState::Completed { response: 4.into() }), 3)))
        => NextStep::Settled(ExistingClaim::Completed(_))
);

#[test]
fn different_body_is_a_conflict() {
    let mut other = value(2, 9, ClaimState::Completed { response: 4.into() });
    other.body = Digest(8);
    let next_step = claim(1, 5).on_write(WriteOutcome::Conflict(Some(stored(other, 3))));
    assert!(
        matches!(next_step, NextStep::Settled(ExistingClaim::Conflict)),
        "{next_step:?}"
    );
}

#[test]
fn claim_is_unconfirmed_when_the_store_never_responds() {
    let mut next_step = NextStep::Create(claim(1, 5));
    for _ in 0..20 {
        next_step = match next_step {
            NextStep::Create(claim) => claim.on_write(WriteOutcome::Unknown),
            NextStep::Read(claim) => claim.on_read(ReadOutcome::Failed),
            other => other,
        };
    }
    assert!(matches!(next_step, NextStep::Unconfirmed), "{next_step:?}");
}

/// The network fault that is injected into a call to the store.
#[derive(Debug, Clone, Copy)]
enum Fault {
    NotInjected,
    RequestLost,
    ResponseLost,
    RequestDelayed,
}

fn faults() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::NotInjected),
        1 => Just(Fault::RequestLost),
        1 => Just(Fault::ResponseLost),
        1 => Just(Fault::RequestDelayed),
    ]
}

/// The action of one host in one step.
#[derive(Debug, Clone, Copy)]
struct Step {
    host: usize,
    fault: Fault,
    /// Whether a host that holds the claim releases it instead of executing the request.
    releases: bool,
    /// Whether the host restarts and its caller retries the request.
    restarts: bool,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..3_usize, faults(), any::<bool>(), prop::bool::weighted(0.1));
    let step = step.prop_map(|(host, fault, releases, restarts)| Step {
        host,
        fault,
        releases,
        restarts,
    });
    prop::collection::vec(step, 1..60)
}

/// A store with a single key, which is written by compare-and-swap.
#[derive(Debug, Default)]
struct Store {
    current: Option<StoredClaim>,
    revision: u64,
    delayed: Vec<(ClaimValue, u64)>,
}

impl Store {
    fn put(&mut self, value: ClaimValue, expected_revision: u64) -> WriteOutcome {
        let current_revision = self.current.as_ref().map_or(0, |claim| claim.revision);
        if current_revision != expected_revision {
            return WriteOutcome::Conflict(self.current.clone());
        }
        self.revision += 1;
        self.current = Some(stored(value, self.revision));
        WriteOutcome::Committed {
            revision: self.revision,
        }
    }

    fn call(&mut self, value: ClaimValue, expected_revision: u64, fault: Fault) -> WriteOutcome {
        match fault {
            Fault::NotInjected => self.put(value, expected_revision),
            Fault::RequestLost => WriteOutcome::Unknown,
            Fault::ResponseLost => {
                self.put(value, expected_revision);
                WriteOutcome::Unknown
            }
            Fault::RequestDelayed => {
                self.delayed.push((value, expected_revision));
                WriteOutcome::Unknown
            }
        }
    }

    fn deliver_delayed(&mut self) {
        for (value, expected_revision) in std::mem::take(&mut self.delayed) {
            self.put(value, expected_revision);
        }
    }
}

fn check_at_most_one_run(steps: &[Step]) {
    let mut store = Store::default();
    let mut hosts: BTreeMap<usize, NextStep> = BTreeMap::new();
    let mut nonces = 0;
    let mut runs = 0;
    for step in steps {
        let mut new_claim = || {
            nonces += 1;
            NextStep::Create(claim(step.host, nonces))
        };
        let next_step = match hosts.remove(&step.host) {
            Some(next_step) if !step.restarts => next_step,
            _ => new_claim(),
        };
        let next = match next_step {
            NextStep::Create(claim) => {
                let write_outcome = store.call(claim.claimed_value(), 0, step.fault);
                claim.on_write(write_outcome)
            }
            NextStep::TakeOver(claim, revision) => {
                let write_outcome = store.call(claim.claimed_value(), revision, step.fault);
                claim.on_write(write_outcome)
            }
            NextStep::Read(claim) => match step.fault {
                Fault::NotInjected => claim.on_read(ReadOutcome::Read(store.current.clone())),
                _ => claim.on_read(ReadOutcome::Failed),
            },
            NextStep::Held(held) if step.releases => {
                store.call(held.released_value(), held.revision(), step.fault);
                NextStep::Unconfirmed
            }
            NextStep::Held(held) => {
                runs += 1;
                store.call(held.completed_value(runs.into()), held.revision(), step.fault);
                NextStep::Settled(ExistingClaim::Completed(runs.into()))
            }
            other => other,
        };
        hosts.insert(step.host, next);
        if matches!(step.fault, Fault::NotInjected) {
            store.deliver_delayed();
        }
        let holders = hosts
            .values()
            .filter(|next_step| matches!(next_step, NextStep::Held(_)))
            .count();
        assert!(holders <= 1, "{holders} hosts hold the claim");
        assert!(runs <= 1, "the request was executed {runs} times");
    }
}

#[test]
fn at_most_one_run_under_lost_and_late_writes_and_restarts() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(RNG_SEED),
        ..Config::default()
    };
    let outcome = TestRunner::new(config).run(&steps(), |steps| {
        check_at_most_one_run(&steps);
        Ok(())
    });
    outcome.expect("at most one host holds the claim and the request is executed at most once");
}
