//! A tenant asks for more than its quota while the host that keeps the account of the quota is disrupted.

use std::collections::HashMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carawayseam_dispatch::group::Group;
use carawayseam_platform_standins::engine::{Step, event, misdirected, stream_head};
use carawayseam_platform_standins::{Engine, ReceivedRequest, Store};
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use crate::http::attempt_stream;
use crate::world::{Failed, Gateway, HOSTS, Record, start_gateways, stop_all};

const TENANT: &str = "hule930";
const KEY: &str = "i9n73hh2b9wu3fexd9dn";
/// The rate and the burst of the example in `fleetbench wire` for slama-seam.
const RATE: u64 = 310_182;
const BURST: u64 = 310_182;
const QUOTA_WINDOW_MS: u64 = 8_000;
const QUOTA_OVER: f64 = 0.1;
const QUOTA_SLACK: f64 = 140_000.0;

const PROMPT_TOKENS: u64 = 6_670;
const OUTPUT_TOKENS: u64 = 384;
const TOKENS: u64 = PROMPT_TOKENS + OUTPUT_TOKENS;
const ENGINES: usize = 12;
const EVENTS: u32 = 64;
const EVENT_PAUSE_MS: u64 = 8;
const FIRST_EVENT_MS: u64 = 70;
const DEADLINE_MS: u64 = 12_000;
/// Clients abandon a stream after this time without an event: four times the objective of 600 ms.
const MAX_GAP: Duration = Duration::from_millis(2_400);
/// The tenant asks for this many times its rate, which is 5.4 times its usual: a quota is 1.8 times that.
const DEMAND: f64 = 3.0;
/// `hot_tenant` has x = 6.0 for 11 s on the site's day scale-2.
const LOAD_S: u64 = 11;

pub enum Trouble {
    Kill { down_ms: u64 },
    Freeze { for_ms: u64 },
}

impl Trouble {
    /// When it begins, after the tenant's load.
    const fn at_ms(&self) -> u64 {
        match self {
            Self::Kill { .. } => 3_000,
            Self::Freeze { .. } => 2_000,
        }
    }
}

#[derive(Default)]
struct Seen {
    sent: HashMap<String, u64>,
    run: Vec<(u64, String)>,
}

pub async fn run(root: &Path, tmp: &Path, record: &Record, trouble: Option<Trouble>) -> Result<bool, Failed> {
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let store = Store::start().await;
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let id = format!("i-{number:04x}");
        let (engine_id, seen, record) = (id.clone(), Arc::clone(&seen), record.clone());
        let engine = Engine::start(move |received, _| answer(&engine_id, &seen, &record, received)).await;
        let zone = ["atelier", "depot", "bureau"][number % 3];
        let entry = json!({"service": "huvo11a", "address": engine.address.to_string(), "zone": zone, "version": "v1",
            "slots": 13, "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": 1_765_000_000_000_u64});
        store.put(&format!("servers/{id}"), entry.to_string().as_bytes());
        engines.push(engine);
    }
    store.put("op/config", configuration().to_string().as_bytes());
    let gateways = start_gateways(root, tmp, &store).await?;
    sleep(Duration::from_secs(6)).await;
    let owner = owner_of(TENANT);
    record.say(&format!("the account of {TENANT} is at {owner}"));
    let owner = gateways
        .iter()
        .find(|gateway| gateway.host == owner)
        .cloned()
        .ok_or("no owner")?;

    let began = Instant::now();
    // The tenant's clients use the other machines, so that none of them waits for the one that is disrupted.
    let others = gateways.iter().filter(|gateway| gateway.host != owner.host);
    let others: Vec<Arc<Gateway>> = others.cloned().collect();
    let load = tokio::spawn(load(others, Arc::clone(&seen), record.clone(), began));
    sleep_until(began + Duration::from_millis(trouble.as_ref().map_or(0, Trouble::at_ms))).await;
    match trouble {
        Some(Trouble::Kill { down_ms }) => {
            record.say(&format!("SIGKILL of {}", owner.host));
            owner.signal("KILL").await;
            owner.wait().await;
            sleep(Duration::from_millis(down_ms)).await;
            record.say(&format!("{} is started again", owner.host));
            owner.spawn().await?;
        }
        Some(Trouble::Freeze { for_ms }) => {
            record.say(&format!("SIGSTOP of {}", owner.host));
            owner.signal("STOP").await;
            sleep(Duration::from_millis(for_ms)).await;
            record.say(&format!("SIGCONT of {}", owner.host));
            owner.signal("CONT").await;
        }
        None => {}
    }
    load.await.map_err(|e| e.to_string())?;
    sleep(Duration::from_secs(3)).await;
    stop_all(&gateways).await;
    judge(&seen.lock().unwrap(), record)
}

fn configuration() -> serde_json::Value {
    json!({
        "version": 7,
        "routes": [{"name": "r-nr26tta", "host": "ficu95.example", "path_prefix": "/lohu930/", "kind": "streaming",
            "timeout_ms": 12_000, "goal_ms": 600, "priority": 0, "service": "huvo11a", "max_attempts": 2, "public": false,
            "sticky": true, "resumable": true, "gap_aim_ms": 250}],
        "services": [{"name": "huvo11a", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false,
            "engine": {"slots": 13, "kv_capacity": 797_349, "stride": 6, "models": [{"name": "m"}]}}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1, "unit": "token_stream", "plain_tokens": 200,
            "rate_per_s": RATE, "burst": BURST}],
    })
}

/// Returns the host that keeps the account while all four hosts hear each other.
fn owner_of(tenant: &str) -> String {
    let hosts = HOSTS
        .iter()
        .map(|(host, _)| host.parse().expect("a host's name"))
        .collect();
    let group = Group {
        known: 4,
        live: 4,
        reachable: hosts,
    };
    group.owner(tenant).expect("hosts").to_string()
}

/// A sound model engine: a stream with a first event after the prompt has been read.
fn answer(engine: &str, seen: &Mutex<Seen>, record: &Record, received: &ReceivedRequest) -> Vec<Step> {
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
    let id = received.request_id().to_owned();
    let now = record.now();
    record.line(&format!("run {id} at {engine}"));
    seen.lock().unwrap().run.push((now, id));
    let mut steps = vec![Step::Write(stream_head(received)), Step::WaitMs(FIRST_EVENT_MS)];
    for number in received.last_event_id().unwrap_or(0) + 1..=EVENTS {
        steps.push(Step::Write(event(number)));
        steps.push(Step::WaitMs(EVENT_PAUSE_MS));
    }
    steps.push(Step::Write("0\r\n\r\n".to_owned()));
    steps
}

/// Sends the tenant's requests at an even pace, in turn to each host.
async fn load(gateways: Vec<Arc<Gateway>>, seen: Arc<Mutex<Seen>>, record: Record, began: Instant) {
    let pause = Duration::from_secs_f64(TOKENS as f64 / (RATE as f64 * DEMAND));
    let mut clients = Vec::new();
    let mut at = began;
    let mut number = 0_usize;
    while at < began + Duration::from_secs(LOAD_S) {
        sleep_until(at).await;
        let gateway = Arc::clone(&gateways[number % gateways.len()]);
        clients.push(tokio::spawn(client(
            gateway,
            number,
            Arc::clone(&seen),
            record.clone(),
        )));
        number += 1;
        at += pause;
    }
    for client in clients {
        let _ = client.await;
    }
}

/// One request, with one more attempt after a refusal that says when to return within a third of the time left.
async fn client(gateway: Arc<Gateway>, number: usize, seen: Arc<Mutex<Seen>>, record: Record) {
    let began = Instant::now();
    for attempt_number in 0..2 {
        let id = format!("{number:08x}{attempt_number:08x}");
        let left = DEADLINE_MS.saturating_sub(began.elapsed().as_millis() as u64);
        let request = format!(
            "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nConnection: close\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
             X-Token-Count: {PROMPT_TOKENS},{OUTPUT_TOKENS}\r\nX-Prompt-Prefix: 5c1e07a2:60,{number:x}a5:6610\r\n\
             X-Deadline-Ms: {left}\r\nX-Credential: {KEY}\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        seen.lock().unwrap().sent.insert(id.clone(), record.now());
        record.line(&format!("send {id} to {}", gateway.host));
        let answer = attempt_stream(gateway.callers, &request, Duration::from_millis(left), MAX_GAP).await;
        record.line(&format!(
            "answer {id} {} retry-after {:?}",
            answer.status,
            answer.header("retry-after")
        ));
        let again = match (answer.status, answer.retry_after_ms()) {
            (429 | 503, Some(after)) if after <= left / 3 => after,
            _ => return,
        };
        sleep(Duration::from_millis(again)).await;
    }
}

/// QUOTA: requests that are both sent and arrive in some window.
fn judge(seen: &Seen, record: &Record) -> Result<bool, Failed> {
    let limit = ((RATE * QUOTA_WINDOW_MS / 1_000 + BURST) as f64) * (1.0 + QUOTA_OVER) + QUOTA_SLACK;
    let mut runs: Vec<(u64, u64)> = Vec::new();
    let mut ids: Vec<&String> = Vec::new();
    for (run, id) in &seen.run {
        if !ids.contains(&id) {
            ids.push(id);
            runs.push((seen.sent[id], *run));
        }
    }
    if runs.len() < 200 {
        return Err(format!("only {} requests ran", runs.len()));
    }
    let last = runs.iter().map(|(_, run)| *run).max().unwrap_or(0);
    let mut most = (0, 0);
    let mut from = 0;
    while from + QUOTA_WINDOW_MS <= last {
        let inside = runs
            .iter()
            .filter(|(sent, run)| *sent >= from && *run < from + QUOTA_WINDOW_MS)
            .count() as u64;
        most = most.max((inside * TOKENS, from));
        from += 50;
    }
    let (tokens, from) = most;
    record.say(&format!(
        "{} requests ran; most tokens in {QUOTA_WINDOW_MS} ms: {tokens}, from {from} ms on; the rule allows {limit:.0}",
        runs.len()
    ));
    Ok(tokens as f64 <= limit)
}
