//! One host at a time holds the lease, and a paused holder gives no order.

mod store;

use carawayseam_lease::{
    DEFAULT_TTL, LapseCause, Lease, LeaseAction, LeaseConfig, LeaseEvent, PermitDenied, StoreCall,
    StoreResponse,
};
use carawayseam_types::{Clock, FencingToken, Millis};
use store::Store;

const TICK: u64 = 50;

struct Bench {
    store: Store,
    lease: Lease,
    clock: Clock,
    /// What becomes of the next calls; the store does them all the same unless it is `Down`.
    fault: Fault,
    /// An answer kept back.
    late: Option<LeaseEvent>,
    told: Vec<LeaseAction>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    AnswerLost,
    AnswerLate,
    Down,
}

impl Bench {
    fn new() -> Self {
        let config = LeaseConfig::new(
            "ben-slama".parse().expect("a name"),
            "host-0".parse().expect("a name"),
            3,
        );
        Self {
            store: Store::default(),
            lease: Lease::new(config),
            clock: Clock::manual(Millis(100_000)),
            fault: Fault::None,
            late: None,
            told: Vec::new(),
        }
    }

    fn holder() -> Self {
        let mut bench = Self::new();
        bench.run(500);
        assert!(bench.holds());
        bench
    }

    fn run(&mut self, span: u64) {
        for _ in 0..span / TICK {
            self.clock.set(self.clock.now() + Millis(TICK));
            self.give(LeaseEvent::Tick);
        }
    }

    fn give(&mut self, event: LeaseEvent) {
        let mut actions = Vec::new();
        self.lease.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                LeaseAction::Call { call, request } => {
                    let answer = self.answer(&request);
                    let event = answer.map(|answer| LeaseEvent::Response {
                        call,
                        response: answer,
                    });
                    match event {
                        Some(event) if self.fault == Fault::AnswerLate => self.late = Some(event),
                        Some(event) => self.give(event),
                        None => {}
                    }
                }
                told => self.told.push(told),
            }
        }
    }

    fn answer(&mut self, request: &StoreCall) -> Option<StoreResponse> {
        match self.fault {
            Fault::None | Fault::AnswerLate => Some(self.store.call(self.clock.now().0, request)),
            Fault::AnswerLost => {
                self.store.call(self.clock.now().0, request);
                self.fault = Fault::None;
                None
            }
            Fault::Down => None,
        }
    }

    fn holds(&mut self) -> bool {
        self.lease.permit(&self.clock).is_ok()
    }

    fn pause(&self, span: u64) {
        self.clock.set(self.clock.now() + Millis(span));
    }

    fn lost(&self) -> Option<LapseCause> {
        self.told.iter().find_map(|action| match action {
            LeaseAction::Lost { cause, .. } => Some(*cause),
            _ => None,
        })
    }
}

/// Names a case that begins with a holder.
macro_rules! holder_case {
    ($name:ident, $body:expr) => {
        #[test]
        fn $name() {
            let mut bench = Bench::holder();
            let body: fn(&mut Bench) = $body;
            body(&mut bench);
        }
    };
}

holder_case!(holder_renews, |bench| {
    bench.run(60_000);
    assert!(bench.holds());
    assert_eq!(bench.lost(), None);
});

holder_case!(holder_paused_past_its_lease_gives_no_order, |bench| {
    bench.pause(DEFAULT_TTL.0);
    let denied = bench.lease.permit(&bench.clock);
    assert_eq!(denied, Err(PermitDenied::Lapsed(LapseCause::Expired)));
    bench.give(LeaseEvent::Tick);
    assert_eq!(bench.lost(), Some(LapseCause::Expired));
});

holder_case!(holder_paused_shortly_goes_on, |bench| {
    bench.pause(DEFAULT_TTL.0 / 2);
    assert!(bench.holds());
});

holder_case!(permit_ends_before_the_store_ends_the_lease, |bench| {
    bench.fault = Fault::Down;
    let key = bench.lease.dump(bench.clock.now()).key;
    while bench.holds() {
        bench.run(TICK);
    }
    assert!(bench.store.entry(bench.clock.now().0, &key).is_some());
});

holder_case!(late_answer_to_a_renewal_counts_from_its_request, |bench| {
    bench.fault = Fault::AnswerLate;
    while bench.late.is_none() {
        bench.run(TICK);
    }
    bench.pause(4_000);
    let late = bench.late.take().expect("a renewal was answered");
    bench.give(late);
    bench.fault = Fault::Down;
    let key = bench.lease.dump(bench.clock.now()).key;
    while bench.holds() {
        bench.run(TICK);
    }
    assert!(bench.store.entry(bench.clock.now().0, &key).is_some());
});

holder_case!(clock_that_steps_back_ends_the_lease, |bench| {
    let now = bench.clock.now();
    bench.clock.set(now - Millis(1_000));
    assert_eq!(
        bench.lease.permit(&bench.clock),
        Err(PermitDenied::Lapsed(LapseCause::ClockBack))
    );
    bench.give(LeaseEvent::Tick);
    assert_eq!(bench.lost(), Some(LapseCause::ClockBack));
});

holder_case!(short_outage_does_not_end_the_lease, |bench| {
    bench.fault = Fault::Down;
    bench.run(5_000);
    bench.fault = Fault::None;
    bench.run(30_000);
    assert_eq!(bench.lost(), None);
});

holder_case!(resigning_frees_the_lease_at_once, |bench| {
    bench.give(LeaseEvent::Resign);
    let key = bench.lease.dump(bench.clock.now()).key;
    assert_eq!(bench.store.entry(bench.clock.now().0, &key), None);
    bench.run(20_000);
    assert!(!bench.holds());
});

holder_case!(late_word_of_an_earlier_holder_changes_nothing, |bench| {
    bench.give(LeaseEvent::HolderGone);
    bench.run(1_000);
    assert_eq!(bench.lost(), None);
});

holder_case!(holder_whose_entry_was_deleted_stops, |bench| {
    let key = bench.lease.dump(bench.clock.now()).key;
    bench.store.delete(&key);
    bench.give(LeaseEvent::HolderGone);
    bench.run(100);
    assert_eq!(bench.lost(), Some(LapseCause::Gone));
});

holder_case!(order_carries_the_lease_as_fencing_token, |bench| {
    let permit = bench.lease.permit(&bench.clock).expect("it holds");
    let token = bench.lease.dump(bench.clock.now()).token.expect("it holds");
    let wanted = carawayseam_external::engine::EngineLoadout {
        model: "guide".parse().expect("a name"),
        version: "guide-1".parse().expect("a name"),
        adapters: Vec::new(),
        role: carawayseam_external::engine::Role::Whole,
    };
    assert_eq!(permit.order(wanted).fencing, token);
});

/// The answers to the first, second and third call are lost in turn.
#[test]
fn lost_answers_are_read_back() {
    for lost_call in 0..3 {
        let mut bench = Bench::new();
        for _ in 0..lost_call {
            bench.run(TICK);
        }
        bench.fault = Fault::AnswerLost;
        bench.run(40_000);
        assert!(bench.holds(), "call {lost_call}");
    }
}

#[test]
fn lost_answer_to_the_entry_write_is_known_by_its_nonce() {
    let mut bench = Bench::new();
    let mut lease_calls = Vec::new();
    let mut pending = vec![LeaseEvent::Tick];
    while let Some(event) = pending.pop() {
        let mut actions = Vec::new();
        bench.lease.handle(bench.clock.now(), event, &mut actions);
        for action in actions {
            let LeaseAction::Call { call, request } = action else {
                continue;
            };
            let answer = bench.store.call(bench.clock.now().0, &request);
            let is_put = matches!(request, StoreCall::Put(_));
            let answer = if is_put { StoreResponse::NoResponse } else { answer };
            lease_calls.push(request);
            pending.push(LeaseEvent::Response {
                call,
                response: answer,
            });
        }
    }
    assert!(bench.holds());
    assert!(matches!(lease_calls.last(), Some(StoreCall::Get { .. })));
    assert_eq!(lease_calls.len(), 4);
}

#[test]
fn follower_takes_over_after_the_lapse_with_a_higher_token() {
    let mut first = Bench::holder();
    let old = first.lease.dump(first.clock.now()).token;
    let mut second = Bench::new();
    second.store = std::mem::take(&mut first.store);
    second.clock = first.clock.clone();
    second.lease = Lease::new(LeaseConfig::new(
        "ben-slama".parse().expect("a name"),
        "host-1".parse().expect("a name"),
        4,
    ));
    second.run(5_000);
    assert_eq!(second.lease.permit(&second.clock), Err(PermitDenied::NotHolder));
    second.run(10_000);
    assert!(second.holds());
    assert!(second.lease.dump(second.clock.now()).token > old);
    assert!(!first.holds());
    assert_ne!(old, None::<FencingToken>);
}
