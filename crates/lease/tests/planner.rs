//! Orders state the wanted state, are repeated until read back, and load a few engines at once.

use std::collections::VecDeque;
use std::sync::Arc;

use carawayseam_config::Document;
use carawayseam_external::engine::{EngineLoadout, EngineState};
use carawayseam_lease::{OrderOutcome, PlanAction, PlanEvent, Planner, PlannerLimits};
use carawayseam_types::{EngineId, FencingToken, Millis, VersionId};

const TICK: u64 = 50;
const HANDOVER: Millis = Millis(15_000);
const LOAD_TIME: u64 = 3_000;

struct Engine {
    state: EngineState,
    done_at: u64,
}

/// Engines that load for a while, and answer at once.
struct Bench {
    planner: Planner,
    engines: Vec<Engine>,
    now: u64,
    orders: Vec<(u64, EngineId, VersionId)>,
    ready: Vec<(VersionId, bool)>,
    loading_peak: usize,
    /// Orders whose answer is lost before they take effect.
    orders_to_drop: usize,
    dead: Option<EngineId>,
}

fn document() -> Arc<Document> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/ben-slama.yaml");
    let text = std::fs::read_to_string(path).expect("the example is there");
    Arc::new(Document::from_yaml("ben-slama.yaml", &text).expect("the example is valid"))
}

impl Bench {
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
            done_at: 0,
        };
        let engines = model.map(engine).collect();
        let limits = PlannerLimits::default()
            .max_concurrent_loads(2)
            .handover(HANDOVER);
        let mut bench = Self {
            planner: Planner::new(limits),
            engines,
            now: 1_000,
            orders: Vec::new(),
            ready: Vec::new(),
            loading_peak: 0,
            orders_to_drop: 0,
            dead: None,
        };
        bench.give(PlanEvent::Document(document));
        bench
    }

    fn run(&mut self, span: u64) {
        for _ in 0..span / TICK {
            self.now += TICK;
            let now = self.now;
            for engine in self.engines.iter_mut().filter(|engine| engine.done_at <= now) {
                if let Some(loading) = engine.state.loading.take() {
                    engine.state.loaded = Some(loading);
                }
            }
            let loading = self
                .engines
                .iter()
                .filter(|engine| engine.state.loading.is_some())
                .count();
            self.loading_peak = self.loading_peak.max(loading);
            self.give(PlanEvent::Tick);
        }
    }

    fn give(&mut self, event: PlanEvent) {
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
        if self.dead.as_ref() == Some(&engine) {
            return PlanEvent::StateFailed(engine);
        }
        let found = self.engines.iter().find(|known| known.state.engine == engine);
        PlanEvent::State(found.expect("it is known").state.clone())
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
        let found = found.expect("it is known");
        found.state.loading = Some(wanted);
        found.done_at = self.now + LOAD_TIME;
        let outcome = OrderOutcome::Accepted(found.state.clone());
        PlanEvent::Ordered { engine, outcome }
    }

    fn all_settled(&self) -> bool {
        let document = document();
        self.engines.iter().all(|engine| {
            let wanted = &document
                .engine(&engine.state.engine)
                .expect("it is declared")
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
        role: carawayseam_external::engine::Role::Whole,
    }
}

/// Names a case: what the engines have loaded, and what happens to the holder's planner.
macro_rules! planner_case {
    ($name:ident, $loaded:expr, $body:expr) => {
        #[test]
        fn $name() {
            let mut bench = Bench::new($loaded);
            let body: fn(&mut Bench) = $body;
            body(&mut bench);
        }
    };
}

planner_case!(no_order_without_the_lease, None, |bench| {
    bench.run(30_000);
    assert!(bench.orders.is_empty());
});

planner_case!(all_engines_load_a_few_at_once, None, |bench| {
    bench.give(PlanEvent::Acquired);
    bench.run(60_000);
    assert!(bench.all_settled());
    assert_eq!(bench.loading_peak, 2);
    assert_eq!(bench.orders.len(), 12);
    assert!(bench.ready.contains(&("guide-2".parse().expect("a name"), true)));
});

planner_case!(
    engines_that_ignore_fencing_wait_for_the_old_lease,
    None,
    |bench| {
        let acquired_at = bench.now;
        bench.give(PlanEvent::Acquired);
        bench.run(60_000);
        let not_fencing = bench.planner.dump().not_fencing;
        assert_eq!(not_fencing.len(), 6);
        for (at, engine, _) in &bench.orders {
            assert!(!not_fencing.contains(engine) || *at >= acquired_at + HANDOVER.0);
        }
    }
);

planner_case!(late_order_of_an_old_holder_is_undone, Some("guide-1"), |bench| {
    bench.give(PlanEvent::Acquired);
    bench.run(5_000);
    // The third engine checks no fencing token.
    bench.engines[2].state.loaded = Some(loadout("guide", "guide-0"));
    bench.run(40_000);
    assert!(bench.all_settled());
});

planner_case!(settled_engines_get_no_order, Some("guide-1"), |bench| {
    bench.give(PlanEvent::Acquired);
    bench.run(40_000);
    assert!(
        bench
            .orders
            .iter()
            .all(|(_, _, version)| version.as_str() == "guide-2")
    );
    assert_eq!(bench.orders.len(), 3);
});

planner_case!(lost_orders_are_repeated_until_read_back, None, |bench| {
    bench.orders_to_drop = 5;
    bench.give(PlanEvent::Acquired);
    bench.run(90_000);
    assert!(bench.all_settled());
    assert_eq!(bench.orders.len(), 17);
});

planner_case!(dead_engine_holds_up_no_version, Some("guide-1"), |bench| {
    bench.dead = Some("model-a1".parse().expect("a name"));
    bench.give(PlanEvent::Acquired);
    bench.run(40_000);
    let last = bench
        .ready
        .iter()
        .rfind(|(version, _)| version.as_str() == "guide-1");
    assert!(last.is_some_and(|(_, ready)| *ready));
});

planner_case!(released_engines_take_the_new_version, Some("guide-1"), |bench| {
    bench.give(PlanEvent::Acquired);
    bench.run(40_000);
    let [backend, from, to] = ["guide", "guide-1", "guide-2"];
    bench.give(PlanEvent::Released {
        backend: backend.parse().expect("a name"),
        from: from.parse().expect("a name"),
        to: to.parse().expect("a name"),
    });
    bench.run(60_000);
    let moved = |engine: &Engine| {
        engine
            .state
            .loaded
            .as_ref()
            .is_some_and(|it| it.version.as_str() == to)
    };
    assert!(bench.engines.iter().all(moved));
});

planner_case!(fenced_planner_stops, None, |bench| {
    bench.give(PlanEvent::Acquired);
    bench.run(TICK);
    let engine = "model-a1".parse().expect("a name");
    bench.give(PlanEvent::Ordered {
        engine,
        outcome: OrderOutcome::Fenced,
    });
    let before = bench.orders.len();
    bench.run(30_000);
    assert_eq!(bench.orders.len(), before);
    assert!(!bench.planner.dump().holds);
});
