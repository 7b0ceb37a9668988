//! Only one host at a time holds the lease, and a holder paused past its lease gets no permit.

mod store;

use carawayseam_lease::{
    DEFAULT_TTL, LapseCause, Lease, LeaseAction, LeaseConfig, LeaseEvent, PermitDenied, StoreCall,
    StoreResponse,
};
use carawayseam_types::{Clock, FencingToken, Millis};
use store::Store;

const TICK_MS: u64 = 50;

struct Harness {
    store: Store,
    lease: Lease,
    clock: Clock,
    /// The fault of the next calls. The store still executes them unless it is `Down`.
    fault: Fault,
    /// A response held back.
    delayed: Option<LeaseEvent>,
    notifications: Vec<LeaseAction>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    ResponseLost,
    ResponseDelayed,
    Down,
}

impl Harness {
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
            delayed: None,
            notifications: Vec::new(),
        }
    }

    fn holder() -> Self {
        let mut harness = Self::new();
        harness.run(500);
        assert!(harness.is_holder());
        harness
    }

    fn run(&mut self, span_ms: u64) {
        for _ in 0..span_ms / TICK_MS {
            self.clock.set(self.clock.now() + Millis(TICK_MS));
            self.handle(LeaseEvent::Tick);
        }
    }

    fn handle(&mut self, event: LeaseEvent) {
        let mut actions = Vec::new();
        self.lease.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                LeaseAction::Call { call, request } => {
                    let response = self.respond(&request);
                    let event = response.map(|response| LeaseEvent::Response { call, response });
                    match event {
                        Some(event) if self.fault == Fault::ResponseDelayed => self.delayed = Some(event),
                        Some(event) => self.handle(event),
                        None => {}
                    }
                }
                notification => self.notifications.push(notification),
            }
        }
    }

    fn respond(&mut self, request: &StoreCall) -> Option<StoreResponse> {
        match self.fault {
            Fault::None | Fault::ResponseDelayed => Some(self.store.call(self.clock.now().0, request)),
            Fault::ResponseLost => {
                self.store.call(self.clock.now().0, request);
                self.fault = Fault::None;
                None
            }
            Fault::Down => None,
        }
    }

    fn is_holder(&mut self) -> bool {
        self.lease.permit(&self.clock).is_ok()
    }

    fn pause(&self, span_ms: u64) {
        self.clock.set(self.clock.now() + Millis(span_ms));
    }

    fn lapse_cause(&self) -> Option<LapseCause> {
        self.notifications.iter().find_map(|action| match action {
            LeaseAction::Lost { cause, .. } => Some(*cause),
            _ => None,
        })
    }
}

/// Defines a test that starts with a host that holds the lease.
macro_rules! holder_case {
    ($name:ident, $body:expr) => {
        #[test]
        fn $name() {
            let mut harness = Harness::holder();
            let body: fn(&mut Harness) = $body;
            body(&mut harness);
        }
    };
}

holder_case!(holder_renews, |harness| {
    harness.run(60_000);
    assert!(harness.is_holder());
    assert_eq!(harness.lapse_cause(), None);
});

holder_case!(holder_paused_past_its_lease_gets_no_permit, |harness| {
    harness.pause(DEFAULT_TTL.0);
    let denied = harness.lease.permit(&harness.clock);
    assert_eq!(denied, Err(PermitDenied::Lapsed(LapseCause::Expired)));
    harness.handle(LeaseEvent::Tick);
    assert_eq!(harness.lapse_cause(), Some(LapseCause::Expired));
});

holder_case!(holder_paused_within_its_lease_keeps_it, |harness| {
    harness.pause(DEFAULT_TTL.0 / 2);
    assert!(harness.is_holder());
});

holder_case!(permit_ends_before_the_store_ends_the_lease, |harness| {
    harness.fault = Fault::Down;
    let key = harness.lease.dump(harness.clock.now()).key;
    while harness.is_holder() {
        harness.run(TICK_MS);
    }
    assert!(harness.store.entry(harness.clock.now().0, &key).is_some());
});

holder_case!(late_renewal_response_counts_from_its_request, |harness| {
    harness.fault = Fault::ResponseDelayed;
    while harness.delayed.is_none() {
        harness.run(TICK_MS);
    }
    harness.pause(4_000);
    let delayed = harness.delayed.take().expect("a renewal received a response");
    harness.handle(delayed);
    harness.fault = Fault::Down;
    let key = harness.lease.dump(harness.clock.now()).key;
    while harness.is_holder() {
        harness.run(TICK_MS);
    }
    assert!(harness.store.entry(harness.clock.now().0, &key).is_some());
});

holder_case!(clock_that_steps_back_ends_the_lease, |harness| {
    let now = harness.clock.now();
    harness.clock.set(now - Millis(1_000));
    assert_eq!(
        harness.lease.permit(&harness.clock),
        Err(PermitDenied::Lapsed(LapseCause::ClockBack))
    );
    harness.handle(LeaseEvent::Tick);
    assert_eq!(harness.lapse_cause(), Some(LapseCause::ClockBack));
});

holder_case!(short_outage_does_not_end_the_lease, |harness| {
    harness.fault = Fault::Down;
    harness.run(5_000);
    harness.fault = Fault::None;
    harness.run(30_000);
    assert_eq!(harness.lapse_cause(), None);
});

holder_case!(resigning_releases_the_lease_immediately, |harness| {
    harness.handle(LeaseEvent::Resign);
    let key = harness.lease.dump(harness.clock.now()).key;
    assert_eq!(harness.store.entry(harness.clock.now().0, &key), None);
    harness.run(20_000);
    assert!(!harness.is_holder());
});

holder_case!(late_deletion_event_of_an_earlier_holder_is_ignored, |harness| {
    harness.handle(LeaseEvent::HolderGone);
    harness.run(1_000);
    assert_eq!(harness.lapse_cause(), None);
});

holder_case!(holder_whose_entry_was_deleted_loses_the_lease, |harness| {
    let key = harness.lease.dump(harness.clock.now()).key;
    harness.store.delete(&key);
    harness.handle(LeaseEvent::HolderGone);
    harness.run(100);
    assert_eq!(harness.lapse_cause(), Some(LapseCause::Gone));
});

holder_case!(order_carries_the_lease_as_fencing_token, |harness| {
    let permit = harness
        .lease
        .permit(&harness.clock)
        .expect("the host holds the lease");
    let token = harness
        .lease
        .dump(harness.clock.now())
        .token
        .expect("the host holds the lease");
    let wanted = carawayseam_external::engine::EngineLoadout {
        model: "guide".parse().expect("a name"),
        version: "guide-1".parse().expect("a name"),
        adapters: Vec::new(),
        role: carawayseam_external::engine::Role::PrefillAndDecode,
    };
    assert_eq!(permit.order(wanted).fencing, token);
});

/// The response to the first, second or third call is lost; the host must still acquire the lease.
#[test]
fn lease_is_acquired_despite_a_lost_response() {
    for lost_call in 0..3 {
        let mut harness = Harness::new();
        for _ in 0..lost_call {
            harness.run(TICK_MS);
        }
        harness.fault = Fault::ResponseLost;
        harness.run(40_000);
        assert!(harness.is_holder(), "call {lost_call}");
    }
}

#[test]
fn entry_written_without_a_response_is_recognised_by_its_nonce() {
    let mut harness = Harness::new();
    let mut lease_calls = Vec::new();
    let mut pending = vec![LeaseEvent::Tick];
    while let Some(event) = pending.pop() {
        let mut actions = Vec::new();
        harness.lease.handle(harness.clock.now(), event, &mut actions);
        for action in actions {
            let LeaseAction::Call { call, request } = action else {
                continue;
            };
            let response = harness.store.call(harness.clock.now().0, &request);
            let is_put = matches!(request, StoreCall::Put(_));
            let response = if is_put {
                StoreResponse::NoResponse
            } else {
                response
            };
            lease_calls.push(request);
            pending.push(LeaseEvent::Response { call, response });
        }
    }
    assert!(harness.is_holder());
    assert!(matches!(lease_calls.last(), Some(StoreCall::Get { .. })));
    assert_eq!(lease_calls.len(), 4);
}

#[test]
fn follower_takes_over_after_the_lapse_with_a_higher_token() {
    let mut first = Harness::holder();
    let old = first.lease.dump(first.clock.now()).token;
    let mut second = Harness::new();
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
    assert!(second.is_holder());
    assert!(second.lease.dump(second.clock.now()).token > old);
    assert!(!first.is_holder());
    assert_ne!(old, None::<FencingToken>);
}
