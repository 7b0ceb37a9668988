//! The plain service counts runs truly, whatever became of the answers.

use crate::support::{LOCAL, LONG, client, get, name, post, status, try_post};
use carawayseam_external::hosts::{HOSTS_PATH, Host, HostList, HostState};
use carawayseam_external::service::{CALL_PATH, COUNTS_PATH, Call, CallResponse, Counts};
use carawayseam_standins::{BadKind, BadVersion, Faults, Running, hosts, service};
use carawayseam_types::Millis;

async fn passes() -> Running {
    let cfg = service::Config {
        listen: LOCAL,
        name: name("passes-a"),
        zone: None,
        version: name("passes-1"),
        service_time: Millis(1),
    };
    service::serve(cfg).await.expect("a free port")
}

fn renew(id: &str) -> Call {
    Call {
        organisation: name("gate"),
        request_id: name(id),
        operation: "renew".to_owned(),
        body: serde_json::json!({ "card": 4 }),
    }
}

async fn runs(server: &Running) -> Vec<(String, u32)> {
    get::<Counts>(server, COUNTS_PATH).await.runs
}

#[tokio::test]
async fn a_double_run_shows() {
    let server = passes().await;
    let answer: CallResponse = post(&server, CALL_PATH, &renew("r1")).await;
    let expected = serde_json::json!({ "operation": "renew", "echo": { "card": 4 } });
    assert_eq!((answer.version, answer.result), (name("passes-1"), expected));
    post::<CallResponse>(&server, CALL_PATH, &renew("r1")).await;
    assert_eq!(runs(&server).await, [("gate/r1".to_owned(), 2)]);
    assert_eq!(get::<service::Stats>(&server, "/stats").await.double_runs, 1);
}

/// Names a case of a call that fails, and whether it ran.
macro_rules! fails {
    ($name:ident, $faults:expr, ran: $ran:literal) => {
        #[tokio::test]
        async fn $name() {
            let server = passes().await;
            server.switch().set($faults);
            let answer = try_post(&server, CALL_PATH, &renew("r1")).await;
            assert!(answer.is_err() || answer.is_ok_and(|answer| !answer.status().is_success()));
            server.switch().set(Faults::default());
            let expected = [("gate/r1".to_owned(), 1)];
            assert_eq!(runs(&server).await, expected[..usize::from($ran)]);
        }
    };
}

const FAILING: BadVersion = BadVersion {
    kind: BadKind::Fail,
    version: None,
    after_requests: 0,
    above_concurrency: 0,
    word: None,
};

fails!(closed_unread, Faults { close_before_reading: true, ..Faults::default() }, ran: false);
fails!(closed_unhandled, Faults { close_after_reading: true, ..Faults::default() }, ran: false);
fails!(closed_after_running, Faults { close_after_running: true, ..Faults::default() }, ran: true);
fails!(redirected, Faults { redirect_to: Some(CALL_PATH.to_owned()), ..Faults::default() }, ran: false);
fails!(bad_version, Faults { bad_version: Some(FAILING), ..Faults::default() }, ran: false);

#[tokio::test]
async fn a_bad_version_fails_one_operation_only() {
    let server = passes().await;
    let bad = BadVersion {
        word: Some("renew".into()),
        ..FAILING
    };
    server.switch().set(Faults {
        bad_version: Some(bad),
        ..Faults::default()
    });
    let balance = Call {
        operation: "balance".to_owned(),
        ..renew("r2")
    };
    assert_eq!(status(&server, CALL_PATH, &renew("r1")).await, 500);
    assert_eq!(status(&server, CALL_PATH, &balance).await, 200);
}

/// Names a case of a change of the host list.
macro_rules! host_list {
    ($name:ident, lag: $lag:expr, shown: $shown:literal) => {
        #[tokio::test]
        async fn $name() {
            let cfg = hosts::Config {
                listen: LOCAL,
                lag: $lag,
            };
            let server = hosts::serve(cfg).await.expect("a free port");
            let leaving = Host {
                host: name("entry-1"),
                zone: name("saraburi-a"),
                state: HostState::Leaving,
            };
            let list = HostList {
                hosts: vec![leaving],
            };
            let url = format!("{}{HOSTS_PATH}", server.url());
            client()
                .put(url)
                .json(&list)
                .send()
                .await
                .expect("the list answers");
            let shown: HostList = get(&server, HOSTS_PATH).await;
            assert_eq!(shown.hosts, list.hosts[..$shown]);
        }
    };
}

host_list!(hosts_show_at_once, lag: Millis::ZERO, shown: 1);
host_list!(hosts_show_late, lag: LONG, shown: 0);
