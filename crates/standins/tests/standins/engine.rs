//! The engine's streams, cache, orders and faults.

use futures_util::FutureExt;

use crate::support::{LOCAL, LONG, ask, attempt, engine_with, generate, get, name, post, status, try_post};
use carawayseam_external::engine::{
    CACHE_EVENTS_PATH, CANCEL_PATH, CacheEvents, CancelRequest, EngineLoadout, EngineState, GENERATE_PATH,
    KV_EXPORT_PATH, KvExport, KvExportRequest, LOAD_PATH, LoadReport, ORDER_PATH, Order, Role, STATE_PATH,
    prefix_digest,
};
use carawayseam_external::weights::{FETCH_PATH, FetchRequest};
use carawayseam_standins::engine::Stats;
use carawayseam_standins::{
    Answer, BadKind, BadVersion, Faults, Running, STATS_PATH, answer_length, weights,
};
use carawayseam_types::{FencingToken, Millis, Permille, TokensPerSecond};

fn whole(prompt: &str) -> String {
    Answer::to(prompt).text(0, answer_length(prompt, 400))
}

#[tokio::test]
async fn streams_side_by_side_are_whole_and_their_own() {
    let engine = engine_with(|cfg| cfg.max_batch = 4).await;
    let prompts: Vec<String> = (0..12).map(|n| format!("question {n}")).collect();
    let asks: Vec<_> = prompts
        .iter()
        .enumerate()
        .map(|(at, prompt)| ask(at as u64, prompt))
        .collect();
    let streams = futures_util::future::join_all(asks.iter().map(|ask| generate(&engine, ask))).await;
    for (at, (prompt, stream)) in prompts.iter().zip(&streams).enumerate() {
        assert_eq!(stream.text(at as u64), whole(prompt));
        assert_eq!(stream.end(), Some(answer_length(prompt, 400)));
    }
}

#[tokio::test]
async fn a_resumed_stream_begins_at_its_offset() {
    let engine = engine_with(|_| {}).await;
    let prompt = "a plan #tokens=40";
    let mut rest = ask(1, prompt);
    rest.resume_offset = 25;
    let stream = generate(&engine, &rest).await;
    assert_eq!(stream.text(1), Answer::to(prompt).text(25, 15));
    assert_eq!(stream.end(), Some(40));
}

#[tokio::test]
async fn another_version_is_a_conflict() {
    let engine = engine_with(|_| {}).await;
    let mut other = ask(1, "hello");
    other.version = name("guide-2");
    assert_eq!(status(&engine, GENERATE_PATH, &other).await, 409);
}

#[tokio::test]
async fn a_cancelled_stream_ends_and_wastes_its_prefill() {
    let engine = engine_with(|cfg| cfg.decode = TokensPerSecond(0.001)).await;
    let req = ask(1, "a long plan #tokens=400");
    let mut answer = try_post(&engine, GENERATE_PATH, &req)
        .await
        .expect("the engine answers");
    let cancel = CancelRequest { attempt: attempt(1) };
    assert_eq!(status(&engine, CANCEL_PATH, &cancel).await, 200);
    let chunk = answer
        .chunk()
        .await
        .expect("the stream is whole")
        .expect("it tells its end");
    assert!(String::from_utf8_lossy(&chunk).contains("\"failed\""));
    let stats: Stats = get(&engine, STATS_PATH).await;
    assert_eq!((stats.whole, stats.broken, stats.running), (0, 1, 0));
    assert!((stats.wasted_prefill_tokens - stats.prefill_tokens).abs() < f64::EPSILON);
}

#[tokio::test]
async fn the_cache_saves_a_prefix_until_it_is_evicted() {
    let engine = engine_with(|cfg| cfg.cache_tokens = 400).await;
    let history = "the rider's history; ".repeat(60);
    let prompts = [
        format!("{history} #tokens=1"),
        format!("{history} and more #tokens=1"),
    ];
    for prompt in &prompts {
        generate(&engine, &ask(1, prompt)).await;
    }
    let saved = get::<Stats>(&engine, STATS_PATH).await.saved_tokens;
    assert!(saved >= (history.len() / 4) as u64, "{saved} tokens were saved");
    let other = "another history; ".repeat(60);
    generate(&engine, &ask(2, &format!("{other} #tokens=1"))).await;
    generate(&engine, &ask(3, &prompts[0])).await;
    assert_eq!(get::<Stats>(&engine, STATS_PATH).await.saved_tokens, saved);
}

/// Names a case of the cache's events after one prompt.
macro_rules! cache_events {
    ($name:ident, lag: $lag:expr, loss: $loss:expr, shown: $shown:literal) => {
        #[tokio::test]
        async fn $name() {
            let engine = engine_with(|cfg| {
                cfg.cache_lag = $lag;
                cfg.cache_loss = $loss;
            })
            .await;
            generate(&engine, &ask(1, "hello #tokens=1")).await;
            let events: CacheEvents = get(&engine, &format!("{CACHE_EVENTS_PATH}?after=0")).await;
            let prefixes: Vec<_> = events.events.iter().map(|event| event.prefix).collect();
            let expected = [prefix_digest("hello #tokens=1")];
            assert_eq!(prefixes, expected[..$shown]);
        }
    };
}

cache_events!(cache_events_show, lag: Millis::ZERO, loss: Permille::NONE, shown: 1);
cache_events!(cache_events_are_late, lag: LONG, loss: Permille::NONE, shown: 0);
cache_events!(cache_events_are_lost, lag: Millis::ZERO, loss: Permille::WHOLE, shown: 0);

#[tokio::test]
async fn an_exported_state_saves_the_prefill_elsewhere() {
    let (from, to) = (engine_with(|_| {}).await, engine_with(|_| {}).await);
    let prompt = format!("{} #tokens=20", "history ".repeat(50));
    generate(&from, &ask(1, &prompt)).await;
    let export: KvExport = post(&from, KV_EXPORT_PATH, &KvExportRequest { attempt: attempt(1) }).await;
    let mut resumed = ask(2, &prompt);
    resumed.resume_offset = 10;
    resumed.kv = Some(export);
    assert_eq!(generate(&to, &resumed).await.end(), Some(20));
    let stats: Stats = get(&to, STATS_PATH).await;
    assert!(stats.prefill_tokens < f64::EPSILON, "{stats:?}");
    let unknown = KvExportRequest { attempt: attempt(9) };
    assert_eq!(status(&to, KV_EXPORT_PATH, &unknown).await, 404);
}

#[tokio::test]
async fn the_load_report_lags() {
    let engine = engine_with(|cfg| {
        cfg.load_lag = LONG;
        cfg.decode = TokensPerSecond(0.001);
    })
    .await;
    let running = try_post(&engine, GENERATE_PATH, &ask(1, "a long plan")).await;
    let load: LoadReport = get(&engine, LOAD_PATH).await;
    assert_eq!((load.running, load.waiting), (0, 0));
    drop(running);
}

fn order(fencing: u64, version: &str) -> Order {
    Order {
        fencing: FencingToken(fencing),
        wanted: EngineLoadout {
            model: name("guide"),
            version: name(version),
            adapters: Vec::new(),
            role: Role::PrefillAndDecode,
        },
    }
}

/// Waits until an engine serves `version`.
async fn loaded(engine: &Running, version: &str) -> EngineState {
    loop {
        let state: EngineState = get(engine, STATE_PATH).await;
        if state
            .loaded
            .as_ref()
            .is_some_and(|loaded| loaded.version == name(version))
        {
            return state;
        }
    }
}

/// Names a case in which an order with an older token follows one with a newer.
macro_rules! older_order {
    ($name:ident, checks: $checks:literal, status: $status:literal, serves: $serves:literal) => {
        #[tokio::test]
        async fn $name() {
            let engine = engine_with(|cfg| cfg.checks_fencing = $checks).await;
            assert_eq!(status(&engine, ORDER_PATH, &order(7, "guide-2")).await, 200);
            loaded(&engine, "guide-2").await;
            assert_eq!(
                status(&engine, ORDER_PATH, &order(6, "guide-3")).await,
                $status
            );
            let state = loaded(&engine, $serves).await;
            assert_eq!(state.fencing, $checks.then_some(FencingToken(7)));
        }
    };
}

older_order!(older_order_is_refused, checks: true, status: 409, serves: "guide-2");
older_order!(older_order_is_obeyed, checks: false, status: 200, serves: "guide-3");

async fn weight_store() -> Running {
    let cfg = weights::Config {
        listen: LOCAL,
        rate: 0.001,
        fetch_time: Millis::ZERO,
    };
    weights::serve(cfg).await.expect("a free port")
}

#[tokio::test]
async fn the_weight_store_limits_its_rate() {
    let store = weight_store().await;
    let fetch = FetchRequest {
        model: name("guide"),
        version: name("guide-2"),
    };
    assert_eq!(status(&store, FETCH_PATH, &fetch).await, 200);
    assert_eq!(status(&store, FETCH_PATH, &fetch).await, 429);
    let stats: weights::Stats = get(&store, STATS_PATH).await;
    assert_eq!((stats.fetched, stats.refused), (1, 1));
}

#[tokio::test]
async fn a_load_waits_for_the_weight_store() {
    let store = weight_store().await;
    store.switch().set(Faults {
        down: true,
        ..Faults::default()
    });
    let engine = engine_with(|cfg| cfg.weights = Some(store.url())).await;
    let state: EngineState = post(&engine, ORDER_PATH, &order(1, "guide-2")).await;
    assert_eq!(state.loading, Some(order(1, "guide-2").wanted));
    assert_eq!(state.loaded, Some(order(1, "guide-1").wanted));
    store.switch().set(Faults::default());
    assert_eq!(loaded(&engine, "guide-2").await.loading, None);
}

#[tokio::test]
async fn a_cut_stream_has_no_end() {
    let engine = engine_with(|_| {}).await;
    engine.switch().set(Faults {
        cut_after_tokens: Some(5),
        ..Faults::default()
    });
    let stream = generate(&engine, &ask(1, "a plan #tokens=50")).await;
    assert!(!stream.closed);
    assert_eq!(stream.end(), None);
    assert!(whole("a plan #tokens=50").starts_with(&stream.text(1)));
}

#[tokio::test]
async fn crossed_frames_carry_another_attempt() {
    let engine = engine_with(|_| {}).await;
    engine.switch().set(Faults {
        crossed_frames: true,
        ..Faults::default()
    });
    let prompt = "a plan #tokens=50";
    let stream = generate(&engine, &ask(5, prompt)).await;
    assert_eq!(stream.text(5), whole(prompt));
    assert_eq!(stream.text(4), whole(prompt).to_uppercase());
}

#[tokio::test]
async fn an_open_stream_goes_silent_while_new_ones_work() {
    let engine = engine_with(|_| {}).await;
    let frozen = Faults {
        freeze: true,
        ..Faults::default()
    };
    engine.switch().set(frozen.clone());
    let req = ask(1, "hello #tokens=9");
    let mut open = try_post(&engine, GENERATE_PATH, &req)
        .await
        .expect("the engine answers");
    engine.switch().set(Faults {
        silence_open: true,
        ..frozen
    });
    engine.switch().set(Faults::default());
    // The later answer is longer, so the open stream's was computed before it ended.
    let later = generate(&engine, &ask(2, "hello #tokens=99")).await;
    assert_eq!(later.end(), Some(99));
    assert_eq!(get::<Stats>(&engine, STATS_PATH).await.whole, 2);
    assert!(open.chunk().now_or_never().is_none(), "the silent stream went on");
}

/// Names a case of a bad version: which of three requests in turn end whole.
macro_rules! bad_version {
    ($name:ident, $bad:expr, $prompts:expr, whole: $whole:expr) => {
        #[tokio::test]
        async fn $name() {
            let engine = engine_with(|_| {}).await;
            engine.switch().set(Faults {
                bad_version: Some($bad),
                ..Faults::default()
            });
            for (at, (prompt, whole)) in $prompts.into_iter().zip($whole).enumerate() {
                let answer = try_post(&engine, GENERATE_PATH, &ask(at as u64, prompt)).await;
                let text = answer
                    .expect("the engine answers")
                    .text()
                    .await
                    .unwrap_or_default();
                assert_eq!(text.contains("\"end\""), whole, "request {at}");
            }
        }
    };
}

const fn bad(kind: BadKind) -> BadVersion {
    BadVersion {
        kind,
        version: None,
        after_requests: 0,
        above_concurrency: 0,
        word: None,
    }
}

const PROMPTS: [&str; 3] = ["tag #tokens=9", "plan #tokens=9", "tag two #tokens=9"];

bad_version!(fails_at_once, bad(BadKind::Fail), PROMPTS, whole: [false, false, false]);
bad_version!(leaves_answers_unfinished, bad(BadKind::Unfinished), PROMPTS, whole: [false, false, false]);
bad_version!(is_slow_and_whole, bad(BadKind::Slow), PROMPTS, whole: [true, true, true]);
bad_version!(fails_on_one_word, BadVersion { word: Some("tag".into()), ..bad(BadKind::Fail) }, PROMPTS, whole: [false, true, false]);
bad_version!(fails_under_load_only, BadVersion { above_concurrency: 1, ..bad(BadKind::Fail) }, PROMPTS, whole: [true, true, true]);
bad_version!(fails_as_another_version_only, BadVersion { version: Some(name("guide-2")), ..bad(BadKind::Fail) }, PROMPTS, whole: [true, true, true]);
bad_version!(fails_later, BadVersion { after_requests: 2, ..bad(BadKind::Fail) }, PROMPTS, whole: [true, true, false]);

#[test]
fn lengths_are_a_hundredfold_apart() {
    let lengths: Vec<u32> = (0..2_000)
        .map(|n| answer_length(&format!("prompt {n}"), 10_000))
        .collect();
    let (shortest, longest) = (lengths.iter().min(), lengths.iter().max());
    assert!(
        shortest <= Some(&9) && longest >= Some(&700),
        "{shortest:?} to {longest:?}"
    );
    assert_eq!(answer_length("x #tokens=77", 10_000), 77);
    assert_eq!(answer_length("x #tokens=77", 10), 10);
}

#[tokio::test]
async fn a_frozen_engine_goes_on_when_thawed() {
    let engine = engine_with(|_| {}).await;
    engine.switch().set(Faults {
        freeze: true,
        ..Faults::default()
    });
    let req = ask(1, "hello #tokens=3");
    let open = try_post(&engine, GENERATE_PATH, &req)
        .await
        .expect("the engine answers");
    let stats: Stats = get(&engine, STATS_PATH).await;
    assert_eq!((stats.requests, stats.decoded_tokens), (1, 0));
    engine.switch().set(Faults::default());
    let text = open.text().await.expect("the stream is whole");
    assert!(text.contains("\"end\""), "{text}");
}
