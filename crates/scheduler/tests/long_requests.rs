//! A long request within its organisation's share beside short ones without end.

use std::sync::Arc;

use carawayseam_config::Document;
use carawayseam_scheduler::{Action, Event, Origin, Request, Scheduler, SchedulerConfig};
use carawayseam_types::{AttemptId, Digest, Millis, RequestSeq, Tier, Tokens};

const DOCUMENT: &str = "
environment: flood
zones: [a]
tiers: [gold, silver]
organisations:
  - {name: flooding, share: 40, tiers: [gold, silver]}
  - {name: small, share: 60, tiers: [gold, silver]}
backends: [{name: model, kind: model, version: v1}]
engines:
  - {name: m-1, backend: model, version: v1, zone: a, address: '10.0.0.1:1', max_concurrency: 8}
routes: [{name: ask, backend: model, idempotent: true, max_output: 400, max_deadline: 300s}]
";

/// The test's clock goes in steps of this length.
const STEP: Millis = Millis(100);
/// How long short requests run, in steps.
const SHORT_STEPS: usize = 3;
/// Short requests that come with each step; more than all engines can run.
const SHORT_EACH_STEP: u64 = 20;
/// Short requests may end and be followed by others so often before the long one starts.
const MOST_ROUNDS: usize = 10;
const HIGHEST: RequestSeq = RequestSeq(0);
const LONG: RequestSeq = RequestSeq(1_000_000);
const LATER: Millis = Millis(120_000);

/// An engine fleet under a flood of short requests.
struct Flood {
    scheduler: Scheduler,
    now: Millis,
    next: u64,
    /// Attempts of the last steps, the oldest first.
    running: Vec<Vec<AttemptId>>,
    /// The attempt of the higher tier, which runs all the time.
    highest: Option<AttemptId>,
    long_started: bool,
}

impl Flood {
    fn new() -> Self {
        Self {
            scheduler: scheduler(),
            now: Millis(1_000),
            next: 1,
            running: vec![Vec::new()],
            highest: None,
            long_started: false,
        }
    }

    fn hand_over(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, event, &mut actions);
        for action in actions {
            let Action::Dispatch { attempt, request, .. } = action else {
                continue;
            };
            match request {
                LONG => self.long_started = true,
                HIGHEST => self.highest = Some(attempt),
                _ => self.running.last_mut().expect("a step").push(attempt),
            }
        }
    }

    /// Ends what has run its time, and sends the next short requests.
    fn step(&mut self) {
        self.now += STEP;
        self.running.push(Vec::new());
        if self.running.len() > SHORT_STEPS {
            for attempt in self.running.remove(0) {
                let produced = Tokens(4);
                self.hand_over(Event::FirstToken { attempt });
                self.hand_over(Event::Finished { attempt, produced });
            }
        }
        if let Some(attempt) = self.highest {
            let produced = Tokens(1);
            self.hand_over(Event::Progress { attempt, produced });
        }
        self.hand_over(Event::Tick);
        for _ in 0..SHORT_EACH_STEP {
            let request = short(self.next, self.now);
            self.next += 1;
            self.hand_over(Event::Arrive(request));
        }
    }
}

fn scheduler() -> Scheduler {
    let name = |text: &str| text.parse().expect("a valid name");
    let config = SchedulerConfig::new(name("entry-1"), "a".parse().expect("a valid name")).seed(7);
    let mut scheduler = Scheduler::new(config);
    let document = Document::from_yaml("flood", DOCUMENT).expect("the document is valid");
    let event = Event::Configure(Arc::new(document));
    scheduler.handle(Millis(1), event, &mut Vec::new());
    scheduler
}

/// A request of the organisation that floods; few of them find time.
fn short(seq: u64, now: Millis) -> Request {
    Request {
        organisation: "flooding".parse().expect("a valid name"),
        prompt_tokens: Tokens(20),
        max_output: Tokens(4),
        deadline: now + Millis(5_000),
        ..long(RequestSeq(seq), 1)
    }
}

fn long(seq: RequestSeq, tier: u8) -> Request {
    Request {
        seq,
        origin: Origin::Caller,
        organisation: "small".parse().expect("a valid name"),
        tier: Tier(tier),
        route: "ask".parse().expect("a valid name"),
        backend: "model".parse().expect("a valid name"),
        version: "v1".parse().expect("a valid name"),
        content: Digest(u128::from(seq.0)),
        prefix: Digest(1),
        prefix_tokens: Tokens(0),
        prompt_tokens: Tokens(2_000),
        max_output: Tokens(400),
        delivered: Tokens(0),
        deadline: LATER,
        idempotent: true,
    }
}

#[test]
fn long_request_within_its_share_starts_beside_a_flood_of_short_ones() {
    let mut flood = Flood::new();
    // Work of a higher tier runs all the time, so that room is left to it.
    flood.hand_over(Event::Arrive(long(HIGHEST, 0)));
    for _ in 0..50 {
        flood.step();
    }
    flood.hand_over(Event::Arrive(long(LONG, 1)));
    for _ in 0..MOST_ROUNDS * SHORT_STEPS {
        flood.step();
    }
    assert!(flood.long_started, "it waits beside {} short ones", flood.next);
}
