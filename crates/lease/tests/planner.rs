//! The planner repeats orders until the engines report their wanted state, and limits the number
//! of engines that load at the same time.

use std::collections::VecDeque;
use std::sync::Arc;

use carawayseam_config::Document;
use carawayseam_external::engine::{EngineLoadout, EngineState};
use carawayseam_lease::{OrderOutcome, PlanAction, PlanEvent, Planner, PlannerLimits};
use carawayseam_types::{EngineId, FencingToken, Millis, VersionId};

const TICK_MS: u64 = 50;
const HANDOVER: Millis = Millis(15_000);
const LOAD_TIME_MS: u64 = 3_000;

struct Engine {
    state: EngineState,
    loaded_at: u64,
}

/// A planner with simulated engines, which respond at once and take `LOAD_TIME_MS` to load.
struct Harness {
    planner: Planner,
    engines: Vec<Engine>,
    now: u64,
    orders: Vec<(u64, EngineId, VersionId)>,
    ready: Vec<(VersionId, bool)>,
    max_loading: usize,
    /// Number of orders still to be lost before they reach the engine.
    orders_to_drop: usize,
    unreachable_engine: Option<EngineId>,
}

fn document() -> Arc<Document> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/ben-slama.yaml");
    let text = std::fs::read_to_string(path).expect("the example is there");
    Arc::new(Document::from_yaml("ben-slama.yaml", &text).expect("the example is valid"))
}

impl Harness {
    fn new(loaded: Option<&str>) -> Self {
        let document = document();
        let model = document
            .engines
            .iter()
            .filter(|spec| spec.backend.as_str() == "guide");
        let engine = |spec: &carawayseam_config::EngineSpec| Engine {
            state: EngineState {
                engine: spec.name.clone(),
                loaded: loaded.map(|version| loadout(spec.backend.as_str(), version)),
                loading: None,
                fencing: spec.checks_fencing.then_some(FencingToken(0)),
            },
            loaded_at: 0,
        };
        let engines = model.map(engine).collect();
        let limits = PlannerLimits::default()
            .max_concurrent_loads(2)
            .handover(HANDOVER);
        let mut harness = Self {
            planner: Planner::new(limits),
            engines,
            now: 1_000,
            orders: Vec::new(),
            ready: Vec::new(),
            max_loading: 0,
            orders_to_drop: 0,
            unreachable_engine: None,
        };
        harness.handle(PlanEvent::Document(document));
        harness
    }

    fn run(&mut self, span_ms: u64) {
        for _ in 0..span_ms / TICK_MS {
            self.now += TICK_MS;
            let now = self.now;
            for engine in self.engines.iter_mut().filter(|engine| engine.loaded_at <= now) {
                if let Some(loading) = engine.state.loading.take() {
                    engine.state.loaded = Some(loading);
                }
            }
            let loading = self
                .engines
                .iter()
                .filter(|engine| engine.state.loading.is_some())
                .count();
            self.max_loading = self.max_loading.max(loading);
            self.handle(PlanEvent::Tick);
        }
    }

    fn handle(&mut self, event: PlanEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.planner.handle(Millis(self.now), event, &mut actions);
            for action in actions {
                match action {
                    PlanAction::ReadState(engine) => events.push_back(self.read(engine)),
                    PlanAction::Order { engine, wanted } => events.push_back(self.order(engine, wanted)),
                    PlanAction::Ready { version, ready, .. } => self.ready.push((version, ready)),
                }
            }
        }
    }

    fn read(&self, engine: EngineId) -> PlanEvent {
        if self.unreachable_engine.as_ref() == Some(&engine) {
            return PlanEvent::StateFailed(engine);
        }
        let found = self.engines.iter().find(|known| known.state.engine == engine);
        PlanEvent::State(found.expect("the engine is known").state.clone())
    }

    fn order(&mut self, engine: EngineId, wanted: EngineLoadout) -> PlanEvent {
        self.orders
            .push((self.now, engine.clone(), wanted.version.clone()));
        if self.orders_to_drop > 0 {
            self.orders_to_drop -= 1;
            return PlanEvent::Ordered {
                engine,
                outcome: OrderOutcome::NoResponse,
            };
        }
        let found = self.engines.iter_mut().find(|known| known.state.engine == engine);
        let found = found.expect("the engine is known");
        found.state.loading = Some(wanted);
        found.loaded_at = self.now + LOAD_TIME_MS;
        let outcome = OrderOutcome::Accepted(found.state.clone());
        PlanEvent::Ordered { engine, outcome }
    }

    fn are_all_settled(&self) -> bool {
        let document = document();
        self.engines.iter().all(|engine| {
            let wanted = &document
                .engine(&engine.state.engine)
                .expect("the engine is declared")
                .version;
            engine
                .state
                .loaded
                .as_ref()
                .is_some_and(|loaded| loaded.version == *wanted)
        })
    }
}

fn loadout(model: &str, version: &str) -> EngineLoadout {
    EngineLoadout {
        model: model.parse().expect("a name"),
        version: version.parse().expect("a name"),
        adapters: Vec::new(),
        role: carawayseam_external::engine::Role::PrefillAndDecode,
    }
}

/// Defines a test from the version that the engines have loaded and the steps of the test.
macro_rules! planner_case {
    ($name:ident, $loaded:expr, $body:expr) => {
        #[test]
        fn $name() {
            let mut harness = Harness::new($loaded);
            let body: fn(&mut Harness) = $body;
            body(&mut harness);
        }
    };
}

planner_case!(no_order_without_the_lease, None, |harness| {
    harness.run(30_000);
    assert!(harness.orders.is_empty());
});

planner_case!(concurrent_loads_stay_within_the_limit, None, |harness| {
    harness.handle(PlanEvent::Acquired);
    harness.run(60_000);
    assert!(harness.are_all_settled());
    assert_eq!(harness.max_loading, 2);
    assert_eq!(harness.orders.len(), 12);
    assert!(
        harness
            .ready
            .contains(&("guide-2".parse().expect("a name"), true))
    );
});

planner_case!(
    engines_that_ignore_fencing_get_orders_after_the_handover,
    None,
    |harness| {
        let acquired_at = harness.now;
        harness.handle(PlanEvent::Acquired);
        harness.run(60_000);
        let not_fencing = harness.planner.dump().not_fencing;
        assert_eq!(not_fencing.len(), 6);
        for (at, engine, _) in &harness.orders {
            assert!(!not_fencing.contains(engine) || *at >= acquired_at + HANDOVER.0);
        }
    }
);

planner_case!(
    late_order_of_an_earlier_holder_is_reverted,
    Some("guide-1"),
    |harness| {
        harness.handle(PlanEvent::Acquired);
        harness.run(5_000);
        // The third engine does not check fencing tokens.
        harness.engines[2].state.loaded = Some(loadout("guide", "guide-0"));
        harness.run(40_000);
        assert!(harness.are_all_settled());
    }
);

planner_case!(settled_engines_get_no_order, Some("guide-1"), |harness| {
    harness.handle(PlanEvent::Acquired);
    harness.run(40_000);
    assert!(
        harness
            .orders
            .iter()
            .all(|(_, _, version)| version.as_str() == "guide-2")
    );
    assert_eq!(harness.orders.len(), 3);
});

planner_case!(lost_orders_are_repeated, None, |harness| {
    harness.orders_to_drop = 5;
    harness.handle(PlanEvent::Acquired);
    harness.run(90_000);
    assert!(harness.are_all_settled());
    assert_eq!(harness.orders.len(), 17);
});

planner_case!(
    unreachable_engine_does_not_block_a_version,
    Some("guide-1"),
    |harness| {
        harness.unreachable_engine = Some("model-a1".parse().expect("a name"));
        harness.handle(PlanEvent::Acquired);
        harness.run(40_000);
        let last = harness
            .ready
            .iter()
            .rfind(|(version, _)| version.as_str() == "guide-1");
        assert!(last.is_some_and(|(_, ready)| *ready));
    }
);

planner_case!(
    released_engines_load_the_new_version,
    Some("guide-1"),
    |harness| {
        harness.handle(PlanEvent::Acquired);
        harness.run(40_000);
        let [backend, from, to] = ["guide", "guide-1", "guide-2"];
        harness.handle(PlanEvent::Released {
            backend: backend.parse().expect("a name"),
            from: from.parse().expect("a name"),
            to: to.parse().expect("a name"),
        });
        harness.run(60_000);
        let serves_new_version = |engine: &Engine| {
            engine
                .state
                .loaded
                .as_ref()
                .is_some_and(|it| it.version.as_str() == to)
        };
        assert!(harness.engines.iter().all(serves_new_version));
    }
);

planner_case!(planner_sends_no_order_after_it_was_fenced, None, |harness| {
    harness.handle(PlanEvent::Acquired);
    harness.run(TICK_MS);
    let engine = "model-a1".parse().expect("a name");
    harness.handle(PlanEvent::Ordered {
        engine,
        outcome: OrderOutcome::Fenced,
    });
    let before = harness.orders.len();
    harness.run(30_000);
    assert_eq!(harness.orders.len(), before);
    assert!(!harness.planner.dump().holds);
});
