//! A request that crashes each server that runs it comes again, while all gateways are killed at the same moment.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carawayseam_platform_standins::engine::{Step, misdirected, response_to};
use carawayseam_platform_standins::{Engine, ReceivedRequest, Store};
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use crate::http::attempt;
use crate::world::{Failed, Gateway, Record, start_gateways, stop_all};

const SERVERS: usize = 3;
const CONTACT_MS: u64 = 3_000;
const ALLOWED_RETRIES: usize = 3;
/// How long a crashed server is away.
const SERVER_PAUSE: Duration = Duration::from_millis(2_500);
/// When the request comes, after the load began: five times, two seconds apart.
const SERIES_AT_S: [u64; 3] = [1, 18, 35];
const SERIES: u64 = 5;
const SERIES_PAUSE_S: u64 = 2;
/// When all gateways are killed, and how long they are away.
const KILLS_AT_S: [u64; 2] = [13, 30];
const DOWN: Duration = Duration::from_millis(1_000);
const END_AT_S: u64 = 47;
const BODY: &str = "{\"panel\":\"deadly\"}";

/// An arrival of the deadly request at a server, which crashes it.
pub struct Crash {
    pub at: u64,
    pub id: String,
}

/// A deadly request, and the gateway that it was sent to.
pub struct Sent {
    pub id: String,
    pub gateway: usize,
}

pub async fn run(root: &Path, tmp: &Path, record: &Record, trouble: bool) -> Result<bool, Failed> {
    let crashes: Arc<Mutex<Vec<Crash>>> = Arc::default();
    let store = Store::start().await;
    for number in 0..SERVERS {
        let id = format!("i-{number:04x}");
        let (engine_id, crashes, record_of) = (id.clone(), Arc::clone(&crashes), record.clone());
        let engine = Engine::start_restarting(SERVER_PAUSE, move |received, _| {
            answer(&engine_id, &crashes, &record_of, received)
        })
        .await;
        tokio::spawn(register(store.clone(), id, engine, number, record.clone()));
    }
    store.put("op/config", configuration().to_string().as_bytes());
    let gateways = start_gateways(root, tmp, &store).await?;
    let mut starts = vec![vec![record.now()]; gateways.len()];
    sleep(Duration::from_millis(CONTACT_MS + 1_000)).await;

    let began = Instant::now();
    let at = |seconds: u64| began + Duration::from_secs(seconds);
    tokio::spawn(ordinary(gateways.clone(), record.clone(), at(END_AT_S)));
    let mut sent = Vec::new();
    for (series, series_at) in SERIES_AT_S.into_iter().enumerate() {
        for number in 0..SERIES {
            sleep_until(at(series_at + number * SERIES_PAUSE_S)).await;
            let gateway = (series + number as usize) % gateways.len();
            let id = format!("deadly-{series}-{number}");
            sent.push(Sent {
                id: id.clone(),
                gateway,
            });
            let answer = attempt(
                gateways[gateway].callers,
                &request(&id, "/puxa403/deadly", BODY),
                Duration::from_secs(2),
            )
            .await;
            record.say(&format!("{id} at {}: {}", gateways[gateway].host, answer.status));
        }
        let Some(kill_at) = KILLS_AT_S.get(series).filter(|_| trouble) else {
            continue;
        };
        sleep_until(at(*kill_at)).await;
        record.say("SIGKILL of all gateways");
        for gateway in &gateways {
            gateway.signal("KILL").await;
        }
        for gateway in &gateways {
            gateway.wait().await;
        }
        sleep(DOWN).await;
        for (ix, gateway) in gateways.iter().enumerate() {
            gateway.spawn().await?;
            starts[ix].push(record.now());
        }
        record.say("all gateways are started again");
    }
    sleep_until(at(END_AT_S)).await;
    stop_all(&gateways).await;
    judge(&crashes.lock().unwrap(), &sent, &starts, record)
}

fn configuration() -> serde_json::Value {
    json!({
        "version": 7,
        "routes": [{"name": "r-stock", "host": "ficu95.example", "path_prefix": "/puxa403/", "kind": "non_idempotent",
            "timeout_ms": 1_500, "goal_ms": 100, "priority": 2, "service": "wuno96b", "max_attempts": 2, "public": false}],
        "services": [{"name": "wuno96b", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": [{"name": "hule930", "api_keys": ["i9n73hh2b9wu3fexd9dn"], "priority": 1, "unit": "token_stream",
            "plain_tokens": 200, "rate_per_s": 310_182, "burst": 310_182}],
    })
}

/// Writes the server's entry, and again with a later start after each crash.
async fn register(store: Store, id: String, engine: Engine, number: usize, record: Record) {
    let mut seen = 0;
    write_entry(&store, &id, &engine, number, 0);
    loop {
        sleep(Duration::from_millis(50)).await;
        let crashes = engine.crashes().len();
        if crashes > seen {
            seen = crashes;
            sleep(SERVER_PAUSE + Duration::from_millis(100)).await;
            write_entry(&store, &id, &engine, number, seen);
            record.line(&format!("{id} is back"));
        }
    }
}

fn write_entry(store: &Store, id: &str, engine: &Engine, number: usize, starts: usize) {
    let zone = ["atelier", "depot", "bureau"][number % 3];
    let born = 1_765_000_000_000_u64 + starts as u64 * 10_000;
    let entry = json!({"service": "wuno96b", "address": engine.address.to_string(), "zone": zone, "version": "v1", "slots": 6,
        "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": born});
    store.put(&format!("servers/{id}"), entry.to_string().as_bytes());
}

/// A sound server, but for the request that crashes it.
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
        return vec![Step::Crash];
    }
    vec![
        Step::WaitMs(15),
        Step::Write(response_to(received, "200 OK", "whole")),
    ]
}

fn request(id: &str, path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nConnection: close\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\
         X-Credential: i9n73hh2b9wu3fexd9dn\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Ordinary requests at all gateways.
async fn ordinary(gateways: Vec<Arc<Gateway>>, record: Record, until: Instant) {
    for number in 0_usize.. {
        let gateway = &gateways[number % gateways.len()];
        let id = format!("ordinary-{number}");
        let body = format!("{{\"panel\":{number}}}");
        let answer = attempt(
            gateway.callers,
            &request(&id, "/puxa403/2f", &body),
            Duration::from_secs(2),
        )
        .await;
        record.line(&format!("{id} at {}: {}", gateway.host, answer.status));
        sleep(Duration::from_millis(50)).await;
        if Instant::now() >= until {
            return;
        }
    }
}

/// BUDGET: retries that reach servers later than `contact_ms` after the third crash, sent by gateways in touch.
pub fn judge(crashes: &[Crash], sent: &[Sent], starts: &[Vec<u64>], record: &Record) -> Result<bool, Failed> {
    let Some(third) = crashes.get(2) else {
        return Err(format!("only {} crashes", crashes.len()));
    };
    let is_in_touch = |crash: &Crash| {
        let gateway = sent
            .iter()
            .find(|sent| sent.id == crash.id)
            .map(|sent| sent.gateway);
        let started = gateway.and_then(|ix| starts[ix].iter().rev().find(|start| **start <= crash.at));
        started.is_some_and(|start| crash.at > start + CONTACT_MS)
    };
    let mut ids: Vec<&str> = Vec::new();
    for crash in crashes {
        let counts = crash.at > third.at + CONTACT_MS && is_in_touch(crash);
        if counts && !ids.contains(&crash.id.as_str()) {
            ids.push(&crash.id);
        }
    }
    record.say(&format!(
        "{} crashes; {} retries later than {CONTACT_MS} ms after the third, by gateways in touch; {ALLOWED_RETRIES} are allowed",
        crashes.len(),
        ids.len()
    ));
    Ok(ids.len() <= ALLOWED_RETRIES)
}
