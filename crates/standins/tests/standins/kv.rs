//! The key-value service's rules, budget and faults.

use crate::support::{client, get, post, status, try_post};
use carawayseam_external::kv::{
    Conflict, DELETE_PATH, DeleteRequest, Entry, GRANT_PATH, GrantRequest, Lease, LeaseRequest, PUT_PATH,
    PutReply, PutRequest, RANGE_PATH, RENEW_PATH, REVOKE_PATH, Range, WATCH_PATH,
};
use carawayseam_standins::{Faults, Running, STATS_PATH, kv};

async fn store() -> Running {
    kv::serve(kv::Config::local()).await.expect("a free port")
}

async fn range(store: &Running) -> Range {
    get(store, &format!("{RANGE_PATH}?prefix=a/")).await
}

fn create(key: &str) -> PutRequest {
    PutRequest::create(key, "1".to_owned())
}

#[tokio::test]
async fn a_swap_needs_the_revision() {
    let store = store().await;
    let PutReply { revision } = post(&store, PUT_PATH, &create("a/1")).await;
    let refused = try_post(&store, PUT_PATH, &create("a/1"))
        .await
        .expect("the store answers");
    assert_eq!(refused.status(), 409);
    let Conflict { current } = refused.json().await.expect("a conflict");
    assert_eq!(current.map(|entry| entry.revision), Some(revision));
    let swap = PutRequest::swap("a/1", "2".to_owned(), revision);
    assert_eq!(status(&store, PUT_PATH, &swap).await, 200);
    assert_eq!(status(&store, PUT_PATH, &swap).await, 409);
    let delete = DeleteRequest {
        key: "a/1".to_owned(),
        expect: Some(revision),
    };
    assert_eq!(status(&store, DELETE_PATH, &delete).await, 409);
}

#[tokio::test]
async fn entries_go_with_their_lease() {
    let store = store().await;
    let lease: Lease = post(&store, GRANT_PATH, &GrantRequest { ttl_ms: 60_000 }).await;
    let put = PutRequest {
        lease: Some(lease.lease),
        ..create("a/1")
    };
    assert_eq!(status(&store, PUT_PATH, &put).await, 200);
    let named = LeaseRequest { lease: lease.lease };
    assert_eq!(status(&store, RENEW_PATH, &named).await, 200);
    assert_eq!(status(&store, REVOKE_PATH, &named).await, 200);
    assert!(range(&store).await.entries.is_empty());
    assert_eq!(status(&store, RENEW_PATH, &named).await, 404);
    assert_eq!(status(&store, PUT_PATH, &put).await, 404);
}

/// Writes `a/1` so that it lapses by itself; a lease may lapse before the write.
async fn put_lapsing(store: &Running, lease: bool) -> u64 {
    loop {
        let granted: Lease = post(store, GRANT_PATH, &GrantRequest { ttl_ms: 30 }).await;
        let put = PutRequest {
            lease: lease.then_some(granted.lease),
            ttl_ms: (!lease).then_some(30),
            ..create("a/1")
        };
        let answer = try_post(store, PUT_PATH, &put).await.expect("the store answers");
        if answer.status().is_success() {
            return answer.json::<PutReply>().await.expect("a reply").revision;
        }
    }
}

/// Names a case in which a watch hears that an entry lapsed by itself.
macro_rules! lapses {
    ($name:ident, lease: $lease:literal) => {
        #[tokio::test]
        async fn $name() {
            let store = store().await;
            let revision = put_lapsing(&store, $lease).await;
            let path = format!("{WATCH_PATH}?prefix=a/&after={revision}&wait_ms=60000");
            let heard: Range = get(&store, &path).await;
            assert_eq!(heard.deleted, ["a/1"]);
        }
    };
}

lapses!(ttl_lapses, lease: false);
lapses!(lease_lapses, lease: true);

#[tokio::test]
async fn a_watch_hears_a_later_write() {
    let store = store().await;
    let path = format!("{WATCH_PATH}?prefix=a/&after=0&wait_ms=60000");
    let put = create("a/1");
    let (heard, _) = tokio::join!(
        get::<Range>(&store, &path),
        post::<PutReply>(&store, PUT_PATH, &put)
    );
    assert_eq!(heard.entries.len(), 1);
}

#[tokio::test]
async fn a_lost_answer_leaves_the_write_in_force() {
    let store = store().await;
    store.switch().set(Faults {
        lose_answers_next: 1,
        ..Faults::default()
    });
    let lost = try_post(&store, PUT_PATH, &create("a/1")).await;
    assert!(matches!(lost, Err(e) if !e.is_connect()));
    assert_eq!(range(&store).await.entries.len(), 1);
    let stats: kv::Stats = get(&store, STATS_PATH).await;
    assert_eq!((stats.put, stats.lost_answers), (1, 1));
}

#[tokio::test]
async fn calls_over_the_budget_are_refused_and_counted() {
    let cfg = kv::Config {
        calls_per_second: 0.001,
        ..kv::Config::local()
    };
    let store = kv::serve(cfg).await.expect("a free port");
    assert_eq!(status(&store, PUT_PATH, &create("a/1")).await, 200);
    assert_eq!(status(&store, PUT_PATH, &create("a/2")).await, 429);
    let stats: kv::Stats = get(&store, STATS_PATH).await;
    assert_eq!((stats.put, stats.refused), (1, 1));
}

#[tokio::test]
async fn old_values_are_read_until_the_fault_ends() {
    let store = store().await;
    post::<PutReply>(&store, PUT_PATH, &create("a/1")).await;
    store.switch().set(Faults {
        old_values: true,
        ..Faults::default()
    });
    post::<PutReply>(&store, PUT_PATH, &create("a/2")).await;
    assert_eq!(range(&store).await.entries.len(), 1);
    store.switch().set(Faults::default());
    assert_eq!(range(&store).await.entries.len(), 2);
}

#[tokio::test]
async fn a_store_that_refuses_connections_comes_back() {
    let store = store().await;
    let refuse = Faults {
        refuse_ms: 50,
        ..Faults::default()
    };
    let url = format!("{}{RANGE_PATH}?prefix=a/", store.url());
    let mut refused = false;
    loop {
        match client().get(&url).send().await {
            Err(e) => refused |= e.is_connect(),
            Ok(answer) if refused => {
                assert!(answer.status().is_success());
                break;
            }
            // The time may have passed between two calls, so it begins again.
            Ok(_) => store.switch().set(refuse.clone()),
        }
    }
}

/// Names a case in which a fault keeps a write from happening.
macro_rules! not_written {
    ($name:ident, $faults:expr) => {
        #[tokio::test]
        async fn $name() {
            let store = store().await;
            store.switch().set($faults);
            let answer = try_post(&store, PUT_PATH, &create("a/1")).await;
            assert!(answer.is_err() || answer.is_ok_and(|answer| !answer.status().is_success()));
            store.switch().set(Faults::default());
            assert!(range(&store).await.entries.is_empty());
        }
    };
}

not_written!(
    down,
    Faults {
        down: true,
        ..Faults::default()
    }
);
not_written!(
    closed_unread,
    Faults {
        close_before_reading: true,
        ..Faults::default()
    }
);
not_written!(
    closed_unhandled,
    Faults {
        close_after_reading: true,
        ..Faults::default()
    }
);
not_written!(
    redirected,
    Faults {
        redirect_to: Some("/elsewhere".to_owned()),
        ..Faults::default()
    }
);
not_written!(
    always_failing,
    Faults {
        error_rate: 1.0,
        ..Faults::default()
    }
);

#[tokio::test]
async fn faults_are_set_and_shown_over_http() {
    let store = store().await;
    let faults = Faults {
        close_before_reading: true,
        ..Faults::default()
    };
    let shown: Faults = post(&store, "/faults", &faults).await;
    assert_eq!(shown, faults);
    assert_eq!(get::<Faults>(&store, "/faults").await, faults);
    assert_eq!(
        status(&store, "/faults", &serde_json::json!({ "nope": 1 })).await,
        422
    );
}

#[tokio::test]
async fn a_missing_key_is_not_found() {
    let store = store().await;
    let answer = client()
        .get(format!("{}/v1/get?key=a/9", store.url()))
        .send()
        .await;
    assert_eq!(answer.expect("the store answers").status(), 404);
    post::<PutReply>(&store, PUT_PATH, &create("a/9")).await;
    let entry: Entry = get(&store, "/v1/get?key=a/9").await;
    assert_eq!(entry.value, "1");
}
