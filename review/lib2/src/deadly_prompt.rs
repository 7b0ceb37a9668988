//! A model request that crashes each engine that runs it comes again, each time with a last prompt part of its own.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carawayseam_platform_standins::engine::{Step, event, misdirected, stream_head};
use carawayseam_platform_standins::{Engine, ReceivedRequest, Store};
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use crate::deadly::{Crash, Sent, judge};
use crate::http::attempt;
use crate::world::{Failed, Gateway, Record, start_gateways, stop_all};

const ENGINES: usize = 12;
const CONTACT_MS: u64 = 3_000;
/// How long a crashed engine is away.
const ENGINE_PAUSE: Duration = Duration::from_millis(2_500);
const FIRST_TOKEN_MS: u64 = 70;
const EVENTS: u32 = 20;
const EVENT_PAUSE_MS: u64 = 8;
const ORDINARY_PAUSE: Duration = Duration::from_millis(40);
/// The deadly request comes this often, after a second of ordinary load.
const TIMES: usize = 14;
const PAUSE_S: u64 = 2;
const BODY: &str = "{\"ask\":\"deadly\"}";
/// The part that all requests of the kind share.
const SHARED_PART: &str = "5c1e07a2:60";

pub async fn run(root: &Path, tmp: &Path, record: &Record, trouble: bool) -> Result<bool, Failed> {
    let crashes: Arc<Mutex<Vec<Crash>>> = Arc::default();
    let store = Store::start().await;
    for number in 0..ENGINES {
        let id = format!("i-{number:04x}");
        let (engine_id, crashes, record_of) = (id.clone(), Arc::clone(&crashes), record.clone());
        let engine = Engine::start_restarting(ENGINE_PAUSE, move |received, _| {
            answer(&engine_id, &crashes, &record_of, received)
        })
        .await;
        tokio::spawn(register(store.clone(), id, engine, number));
    }
    store.put("op/config", configuration().to_string().as_bytes());
    let gateways = start_gateways(root, tmp, &store).await?;
    let starts = vec![vec![record.now()]; gateways.len()];
    sleep(Duration::from_millis(CONTACT_MS + 1_000)).await;

    let began = Instant::now();
    let until = began + Duration::from_secs(1 + TIMES as u64 * PAUSE_S);
    tokio::spawn(ordinary(gateways.clone(), record.clone(), until));
    let mut sent = Vec::new();
    for number in 0..TIMES {
        sleep_until(began + Duration::from_secs(1 + number as u64 * PAUSE_S)).await;
        let gateway = number % gateways.len();
        let id = format!("deadly-{number}");
        sent.push(Sent {
            id: id.clone(),
            gateway,
        });
        let own_part = if trouble {
            0xdead_0000 + number
        } else {
            0xdead_0000
        };
        let request = request(&id, &format!("{SHARED_PART},{own_part:x}:628"), BODY);
        let answer = attempt(gateways[gateway].callers, &request, Duration::from_secs(4)).await;
        record.say(&format!("{id} at {}: {}", gateways[gateway].host, answer.status));
    }
    sleep_until(until).await;
    stop_all(&gateways).await;
    judge(&crashes.lock().unwrap(), &sent, &starts, record)
}

fn configuration() -> serde_json::Value {
    json!({
        "version": 7,
        "routes": [{"name": "r-828m82t", "host": "ficu95.example", "path_prefix": "/pufi791/", "kind": "streaming",
            "timeout_ms": 12_000, "goal_ms": 250, "priority": 1, "service": "huvo11a", "max_attempts": 1, "public": false,
            "sticky": true, "resumable": false, "gap_aim_ms": 250}],
        "services": [{"name": "huvo11a", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false,
            "engine": {"slots": 13, "kv_capacity": 797_349, "stride": 6, "models": [{"name": "m"}]}}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": [{"name": "hule930", "api_keys": ["i9n73hh2b9wu3fexd9dn"], "priority": 1, "unit": "token_stream",
            "plain_tokens": 200, "rate_per_s": 310_182, "burst": 310_182}],
    })
}

/// Writes the engine's entry, and again with a later start after each crash.
async fn register(store: Store, id: String, engine: Engine, number: usize) {
    let mut starts = 0;
    loop {
        let zone = ["atelier", "depot", "bureau"][number % 3];
        let born = 1_765_000_000_000_u64 + starts as u64 * 10_000;
        let entry = json!({"service": "huvo11a", "address": engine.address.to_string(), "zone": zone, "version": "v1",
            "slots": 13, "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": born});
        store.put(&format!("servers/{id}"), entry.to_string().as_bytes());
        while engine.crashes().len() <= starts {
            sleep(Duration::from_millis(50)).await;
        }
        starts = engine.crashes().len();
        sleep(ENGINE_PAUSE + Duration::from_millis(100)).await;
    }
}

/// A sound engine, but for the request that crashes it at its first token.
fn answer(
    engine: &str,
    crashes: &Mutex<Vec<Crash>>,
    record: &Record,
    received: &ReceivedRequest,
) -> Vec<Step> {
    if received.head.starts_with("GET /healthz") {
        return vec![Step::Write(format!(
            "HTTP/1.1 200 OK\r\nX-Instance-Id: {engine}\r\nContent-Length: 0\r\n\r\n"
        ))];
    }
    if received
        .expected_server()
        .is_some_and(|expected| expected != engine)
    {
        return vec![Step::Write(misdirected(received))];
    }
    if received.body == BODY {
        let id = received.request_id().to_owned();
        record.say(&format!("{id} crashes {engine}"));
        crashes.lock().unwrap().push(Crash { at: record.now(), id });
        return vec![Step::WaitMs(FIRST_TOKEN_MS), Step::Crash];
    }
    let mut steps = vec![Step::WaitMs(FIRST_TOKEN_MS), Step::Write(stream_head(received))];
    for number in 1..=EVENTS {
        steps.push(Step::Write(event(number)));
        steps.push(Step::WaitMs(EVENT_PAUSE_MS));
    }
    steps.push(Step::Write("0\r\n\r\n".to_owned()));
    steps
}

fn request(id: &str, parts: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\nConnection: close\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Count: 688,120\r\nX-Prompt-Prefix: {parts}\r\nX-Deadline-Ms: 12000\r\nX-Credential: i9n73hh2b9wu3fexd9dn\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Ordinary requests of the same caller at all gateways, which share the first part of their prompts.
async fn ordinary(gateways: Vec<Arc<Gateway>>, record: Record, until: Instant) {
    for number in 0_usize.. {
        let gateway = Arc::clone(&gateways[number % gateways.len()]);
        let record = record.clone();
        tokio::spawn(async move {
            let id = format!("ordinary-{number}");
            let body = format!("{{\"ask\":{number}}}");
            let request = request(&id, &format!("{SHARED_PART},{number:x}0:628"), &body);
            let answer = attempt(gateway.callers, &request, Duration::from_secs(4)).await;
            let is_whole = answer.body.ends_with(b"0\r\n\r\n");
            record.line(&format!(
                "{id} at {}: {} whole {is_whole}",
                gateway.host, answer.status
            ));
        });
        sleep(ORDINARY_PAUSE).await;
        if Instant::now() >= until {
            return;
        }
    }
}
