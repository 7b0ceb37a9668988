//! Store calls by which control leases are held and waited for.

use carawayseam_external::kv::{Entry, Lease as Granted, PutReply};
use carawayseam_lease::{Lease, LeaseAction, LeaseConfig, LeaseEvent, StoreCall, StoreResponse};
use carawayseam_types::Millis;

use crate::report::{Bound, Row};

const TICK: Millis = Millis(50);
const SPAN: Millis = Millis(120_000);
const NODES: usize = 420;
const ENVIRONMENTS: usize = 100;
/// Control processes that wait for the lease of one environment.
const CANDIDATES: usize = 3;
const TARGET_CALLS_PER_SECOND: f64 = 200.0;

pub(super) fn run() -> Vec<Row> {
    let holder = calls_per_second(true);
    let follower = calls_per_second(false);
    let with = |followers: usize| ENVIRONMENTS as f64 * (holder + followers as f64 * follower);
    let row = |policy, value, bound| Row {
        scenario: format!("{NODES} nodes, {ENVIRONMENTS} leases"),
        policy,
        figure: "store calls, by slope",
        value,
        unit: "1/s",
        bound,
    };
    vec![
        row(
            "few candidates",
            with(CANDIDATES - 1),
            Bound::AtMost(TARGET_CALLS_PER_SECOND),
        ),
        row("all stand", with(NODES - 1), Bound::Unbounded),
    ]
}

/// Runs one host's part in a lease that it holds, or that another holds.
fn calls_per_second(holds: bool) -> f64 {
    let [environment, host] = ["environment-0", "host-0"];
    let environment = environment.parse().expect("it is a name");
    let host = host.parse().expect("it is a name");
    let mut lease = Lease::new(LeaseConfig::new(environment, host, 1));
    let mut calls = 0_u64;
    let mut now = Millis(1_000_000);
    let end = now + SPAN;
    while now < end {
        now += TICK;
        let mut events = vec![LeaseEvent::Tick];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            lease.handle(now, event, &mut actions);
            for action in actions {
                if let LeaseAction::Call { call, request } = action {
                    calls += 1;
                    let answer = answer(&request, holds);
                    events.push(LeaseEvent::Response {
                        call,
                        response: answer,
                    });
                }
            }
        }
    }
    calls as f64 / SPAN.as_secs_f64()
}

fn answer(request: &StoreCall, is_free: bool) -> StoreResponse {
    match request {
        StoreCall::Grant(grant) => StoreResponse::Granted(Granted {
            lease: 1,
            ttl_ms: grant.ttl_ms,
        }),
        StoreCall::Put(_) => StoreResponse::Written(PutReply { revision: 1 }),
        StoreCall::Get { .. } if is_free => StoreResponse::Entry(None),
        StoreCall::Get { key } => StoreResponse::Entry(Some(Entry {
            key: key.clone(),
            value: r#"{"host":"host-1","nonce":1}"#.to_owned(),
            revision: 1,
        })),
        StoreCall::Renew(request) => StoreResponse::Renewed(Granted {
            lease: request.lease,
            ttl_ms: 10_000,
        }),
        StoreCall::Revoke(_) => StoreResponse::LeaseGone,
    }
}
