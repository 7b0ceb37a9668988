//! At most one host holds a request, whatever the store loses or delays.

use std::collections::BTreeMap;

use carawayseam_claims::{
    Claim, ClaimState, ClaimValue, ExistingClaim, HostIncarnation, NextStep, Pending, ReadOutcome,
    StoredClaim, WriteOutcome,
};
use carawayseam_types::{Digest, Incarnation, Nonce};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};

const BODY: Digest = Digest(7);
const SEED: u64 = 20_261_204;
const CASES: u32 = 2_000;

fn owner(number: usize) -> HostIncarnation {
    let host = format!("entry-{number}").parse().expect("a name");
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

/// Names a case in which a create's answer leads to one kind of progress.
macro_rules! create {
    ($name:ident, $reply:expr => $progress:pat) => {
        #[test]
        fn $name() {
            let progress = claim(1, 5).on_write($reply);
            assert!(matches!(progress, $progress), "{progress:?}");
        }
    };
}

create!(created, WriteOutcome::Committed { revision: 1 } => NextStep::Held(_));
create!(lost_answer_is_read_back, WriteOutcome::Unknown => NextStep::Read(_));
create!(
    own_write_is_known_again,
    WriteOutcome::Conflict(Some(stored(value(1, 5, ClaimState::Claimed), 3))) => NextStep::Held(_)
);
create!(
    same_nonce_of_another_host_is_not_ours,
    WriteOutcome::Conflict(Some(stored(value(2, 5, ClaimState::Claimed), 3))) => NextStep::Settled(ExistingClaim::Claimed(_))
);
create!(
    released_claim_is_taken_over,
    WriteOutcome::Conflict(Some(stored(value(2, 9, ClaimState::Released), 3))) => NextStep::TakeOver(_, 3)
);
create!(
    recorded_answer_is_given,
    WriteOutcome::Conflict(Some(stored(value(2, 9, ClaimState::Completed { response: 4.into() }), 3)))
        => NextStep::Settled(ExistingClaim::Completed(_))
);

#[test]
fn other_body_is_a_conflict() {
    let mut other = value(2, 9, ClaimState::Completed { response: 4.into() });
    other.body = Digest(8);
    let progress = claim(1, 5).on_write(WriteOutcome::Conflict(Some(stored(other, 3))));
    assert!(
        matches!(progress, NextStep::Settled(ExistingClaim::Conflict)),
        "{progress:?}"
    );
}

#[test]
fn store_that_answers_nothing_proves_nothing() {
    let mut progress = NextStep::Create(claim(1, 5));
    for _ in 0..20 {
        progress = match progress {
            NextStep::Create(claim) => claim.on_write(WriteOutcome::Unknown),
            NextStep::Read(claim) => claim.on_read(ReadOutcome::Failed),
            other => other,
        };
    }
    assert!(matches!(progress, NextStep::Unconfirmed), "{progress:?}");
}

/// What the network does to one call.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    LostBefore,
    LostAfter,
    Delayed,
}

fn fates() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Answered),
        1 => Just(Fate::LostBefore),
        1 => Just(Fate::LostAfter),
        1 => Just(Fate::Delayed),
    ]
}

/// What a host does at its turn.
#[derive(Debug, Clone, Copy)]
struct Turn {
    host: usize,
    fate: Fate,
    /// Whether a holder gives the request up rather than running it.
    releases: bool,
    /// Whether the host restarts and its caller sends the request again.
    restarts: bool,
}

fn turns() -> impl Strategy<Value = Vec<Turn>> {
    let turn = (0..3_usize, fates(), any::<bool>(), prop::bool::weighted(0.1));
    let turn = turn.prop_map(|(host, fate, releases, restarts)| Turn {
        host,
        fate,
        releases,
        restarts,
    });
    prop::collection::vec(turn, 1..60)
}

/// A store of one key with compare-and-swap.
#[derive(Debug, Default)]
struct Store {
    current: Option<StoredClaim>,
    revision: u64,
    delayed: Vec<(ClaimValue, u64)>,
}

impl Store {
    fn put(&mut self, value: ClaimValue, expect: u64) -> WriteOutcome {
        let found = self.current.as_ref().map_or(0, |claim| claim.revision);
        if found != expect {
            return WriteOutcome::Conflict(self.current.clone());
        }
        self.revision += 1;
        self.current = Some(stored(value, self.revision));
        WriteOutcome::Committed {
            revision: self.revision,
        }
    }

    fn call(&mut self, value: ClaimValue, expect: u64, fate: Fate) -> WriteOutcome {
        match fate {
            Fate::Answered => self.put(value, expect),
            Fate::LostBefore => WriteOutcome::Unknown,
            Fate::LostAfter => {
                self.put(value, expect);
                WriteOutcome::Unknown
            }
            Fate::Delayed => {
                self.delayed.push((value, expect));
                WriteOutcome::Unknown
            }
        }
    }

    fn deliver_delayed(&mut self) {
        for (value, expect) in std::mem::take(&mut self.delayed) {
            self.put(value, expect);
        }
    }
}

fn run(turns: &[Turn]) {
    let mut store = Store::default();
    let mut hosts: BTreeMap<usize, NextStep> = BTreeMap::new();
    let mut nonces = 0;
    let mut runs = 0;
    for turn in turns {
        let mut begin = || {
            nonces += 1;
            NextStep::Create(claim(turn.host, nonces))
        };
        let progress = match hosts.remove(&turn.host) {
            Some(progress) if !turn.restarts => progress,
            _ => begin(),
        };
        let next = match progress {
            NextStep::Create(claim) => {
                let reply = store.call(claim.claimed_value(), 0, turn.fate);
                claim.on_write(reply)
            }
            NextStep::TakeOver(claim, revision) => {
                let reply = store.call(claim.claimed_value(), revision, turn.fate);
                claim.on_write(reply)
            }
            NextStep::Read(claim) => match turn.fate {
                Fate::Answered => claim.on_read(ReadOutcome::Read(store.current.clone())),
                _ => claim.on_read(ReadOutcome::Failed),
            },
            NextStep::Held(held) if turn.releases => {
                store.call(held.released_value(), held.revision(), turn.fate);
                NextStep::Unconfirmed
            }
            NextStep::Held(held) => {
                runs += 1;
                store.call(held.completed_value(runs.into()), held.revision(), turn.fate);
                NextStep::Settled(ExistingClaim::Completed(runs.into()))
            }
            other => other,
        };
        hosts.insert(turn.host, next);
        if matches!(turn.fate, Fate::Answered) {
            store.deliver_delayed();
        }
        let holders = hosts
            .values()
            .filter(|progress| matches!(progress, NextStep::Held(_)))
            .count();
        assert!(holders <= 1, "{holders} hosts hold the request");
        assert!(runs <= 1, "the request ran {runs} times");
    }
}

#[test]
fn at_most_one_run_under_lost_and_late_writes_and_restarts() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    let outcome = TestRunner::new(config).run(&turns(), |turns| {
        run(&turns);
        Ok(())
    });
    outcome.expect("at most one run");
}
