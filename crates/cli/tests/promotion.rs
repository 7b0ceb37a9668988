//! Promotions over a store that loses requests and answers, without I/O.

use carawayseam_cli::{Accepted, Promotion, Proposal, Refused, Reply, Step, Trial};
use carawayseam_external::kv::{Entry, PutRequest};
use carawayseam_node::CurrentDocument;
use carawayseam_types::{Digest, Millis, Nonce, Revision};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const ATTEMPTS: u32 = 4;

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// It arrives, and its answer too.
    Answered,
    /// It is refused before it leaves.
    NotSent,
    /// It is lost on its way.
    RequestLost,
    /// It takes effect, and its answer is lost.
    AnswerLost,
    /// A read is answered as the key stood before its last write.
    Stale,
}
use Fate::{AnswerLost, Answered, NotSent, RequestLost, Stale};

/// The one key that promotions write, with everything that was ever under it.
#[derive(Debug, Default)]
struct Key {
    writes: Vec<Entry>,
}

impl Key {
    fn current(&self) -> Option<Entry> {
        self.writes.last().cloned()
    }

    fn before_last(&self) -> Option<Entry> {
        self.writes.iter().rev().nth(1).cloned()
    }

    fn put(&mut self, put: &PutRequest) -> Reply {
        let found = self.current().map_or(0, |entry| entry.revision);
        if put.expect != Some(found) {
            return Reply::Conflict(self.current());
        }
        self.writes.push(Entry {
            key: put.key.clone(),
            value: put.value.clone(),
            revision: found + 1,
        });
        Reply::Written
    }

    fn holds(&self, nonce: Nonce) -> bool {
        self.history().iter().any(|current| current.nonce == nonce)
    }

    fn history(&self) -> Vec<CurrentDocument> {
        let read = |entry: &Entry| serde_json::from_str(&entry.value).expect("promotions write records");
        self.writes.iter().map(read).collect()
    }

    /// Carries out one step of `promotion`; gives its end.
    fn step(&mut self, promotion: &mut Promotion, fate: Fate) -> Option<Result<Accepted, Refused>> {
        let reply = match promotion.step() {
            Step::Done(result) => return Some(result),
            _ if fate == NotSent => Reply::NotSent,
            _ if fate == RequestLost => Reply::Lost,
            Step::Read(key) if key.contains("/trials/") => Reply::Found(Some(trial(&key))),
            Step::Read(_) if fate == AnswerLost => Reply::Lost,
            Step::Read(_) if fate == Stale => Reply::Found(self.before_last()),
            Step::Read(_) => Reply::Found(self.current()),
            Step::Put(put) => {
                let reply = self.put(&put);
                if fate == AnswerLost { Reply::Lost } else { reply }
            }
        };
        promotion.handle(reply);
        None
    }

    /// Takes `promotion` to its end; fates past the given ones are [`Answered`].
    fn run(&mut self, promotion: &mut Promotion, fates: &[Fate]) -> Result<Accepted, Refused> {
        let mut fates = fates.iter().copied().chain(std::iter::repeat(Answered));
        loop {
            let fate = fates.next().expect("the fates never end");
            if let Some(result) = self.step(promotion, fate) {
                return result;
            }
        }
    }
}

fn trial(key: &str) -> Entry {
    let digest = key.rsplit('/').next().and_then(|digest| digest.parse().ok());
    let trial = Trial {
        digest: digest.expect("trials are kept by digest"),
        nonce: Nonce(0),
        passed_at: Millis(1),
        engines_checked: 1,
    };
    Entry {
        key: key.to_owned(),
        value: serde_json::to_string(&trial).expect("records are JSON"),
        revision: 1,
    }
}

fn promotion(number: u64) -> Promotion {
    let yaml = format!("document {number}");
    let proposal = Proposal {
        environment: "khao-rang".parse().expect("a valid name"),
        digest: Digest::of(yaml.as_bytes()),
        yaml,
        nonce: Nonce(number),
        at: Millis(number),
        operator: "malee".into(),
    };
    Promotion::new(proposal, ATTEMPTS)
}

/// Names a case in which one promotion follows an accepted one.
macro_rules! ends {
    ($name:ident, [$($fate:expr),*], $result:pat, in_store: $in_store:literal) => {
        #[test]
        fn $name() {
            let mut key = Key::default();
            key.run(&mut promotion(1), &[]).expect("nothing is in the way");
            let result = key.run(&mut promotion(2), &[$($fate),*]);
            assert!(matches!(result, $result), "{result:?}");
            assert_eq!(key.holds(Nonce(2)), $in_store);
        }
    };
}

ends!(undisturbed, [], Ok(Accepted { revision: Revision(2), was_in_force: false }), in_store: true);
ends!(answer_to_the_write_lost, [Answered, Answered, AnswerLost], Ok(Accepted { revision: Revision(2), was_in_force: false }), in_store: true);
ends!(write_lost, [Answered, Answered, RequestLost], Ok(Accepted { revision: Revision(2), was_in_force: false }), in_store: true);
ends!(write_not_sent, [Answered, Answered, NotSent], Ok(Accepted { revision: Revision(2), was_in_force: false }), in_store: true);
ends!(answer_lost_then_read_back_lost, [Answered, Answered, AnswerLost, RequestLost], Ok(Accepted { revision: Revision(2), was_in_force: false }), in_store: true);
ends!(answer_lost_then_old_value_read, [Answered, Answered, AnswerLost, Stale], Ok(Accepted { revision: Revision(2), was_in_force: false }), in_store: true);
ends!(store_down_from_the_start, [NotSent, NotSent, NotSent, NotSent], Err(Refused::Unreachable), in_store: false);
ends!(store_down_before_the_write, [Answered, Answered, NotSent, NotSent, NotSent, NotSent], Err(Refused::Unreachable), in_store: false);
ends!(store_down_after_the_write, [Answered, Answered, AnswerLost, NotSent, NotSent, NotSent], Err(Refused::Unknown), in_store: true);
ends!(every_write_lost, [Answered, Answered, RequestLost, Answered, RequestLost, Answered, RequestLost, Answered, RequestLost], Err(Refused::Unknown), in_store: false);
ends!(base_read_from_before, [Answered, Stale], Err(Refused::LostRace { .. }), in_store: false);

#[test]
fn a_lost_race_names_the_winner() {
    let mut key = Key::default();
    let mut slow = promotion(1);
    for _ in 0..2 {
        assert!(key.step(&mut slow, Answered).is_none());
    }
    key.run(&mut promotion(2), &[]).expect("nothing is in the way");
    let Err(Refused::LostRace { winner }) = key.run(&mut slow, &[]) else {
        panic!("the slow promotion overwrote the other");
    };
    assert_eq!((winner.nonce, winner.revision), (Nonce(2), Revision(1)));
}

#[test]
fn a_write_overtaken_after_its_answer_was_lost_is_not_accepted() {
    let mut key = Key::default();
    let mut overtaken = promotion(1);
    for fate in [Answered, Answered, AnswerLost] {
        assert!(key.step(&mut overtaken, fate).is_none());
    }
    key.run(&mut promotion(2), &[]).expect("nothing is in the way");
    let result = key.run(&mut overtaken, &[]);
    assert!(matches!(result, Err(Refused::LostRace { .. })), "{result:?}");
}

/// Three operators, every interleaving and fate drawn from `seed`.
fn race(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut key = Key::default();
    let mut running: Vec<(u64, Promotion)> = (1..=3).map(|number| (number, promotion(number))).collect();
    let mut ended = Vec::new();
    while !running.is_empty() {
        let at = rng.random_range(0..running.len());
        let fates = [Answered, Answered, NotSent, RequestLost, AnswerLost, Stale];
        let fate = fates[rng.random_range(0..fates.len())];
        if let Some(result) = key.step(&mut running[at].1, fate) {
            ended.push((running.remove(at).0, result));
        }
    }
    let history = key.history();
    let revisions: Vec<u64> = history.iter().map(|current| current.revision.0).collect();
    assert!(
        revisions.windows(2).all(|pair| pair[0] < pair[1]),
        "seed {seed}: {revisions:?}"
    );
    for (number, result) in ended {
        let found = history.iter().find(|current| current.nonce == Nonce(number));
        match result {
            Ok(accepted) => assert_eq!(
                found.map(|current| current.revision),
                Some(accepted.revision),
                "seed {seed}"
            ),
            Err(Refused::Unreachable) => assert!(found.is_none(), "seed {seed}: written, but said not to be"),
            Err(_) => {}
        }
    }
}

#[test]
fn racing_operators_keep_the_promises() {
    (0..5_000).for_each(race);
}
