//! Control survives freezes, kills and outages.

use carawayseam_testbed::{Fleet, Reply};
use carawayseam_types::{Clock, Revision};
use serde_json::{Value, json};

use crate::util::two_hosts;

/// The place of the host whose control process holds the lease, and its token.
async fn holder(fleet: &Fleet) -> Option<(usize, u64)> {
    for (place, host) in fleet.hosts.iter().enumerate() {
        let Some(control) = &host.control else { continue };
        let Ok(admin) = control.address("admin") else {
            continue;
        };
        let read = tokio::time::timeout(std::time::Duration::from_millis(500), fleet.read(admin, "/dump"));
        let Ok(Ok(dump)) = read.await else { continue };
        let lease = &dump["environments"][0]["lease"];
        if lease["state"] == "holder" {
            return Some((place, lease["token"].as_u64().unwrap_or(0)));
        }
    }
    None
}

async fn wait_for_holder(fleet: &Fleet, but: Option<usize>) -> (usize, u64) {
    let held = || async { holder(fleet).await.is_some_and(|(place, _)| Some(place) != but) };
    fleet
        .wait_for("a lease holder", held)
        .await
        .expect("a host takes the lease");
    holder(fleet).await.expect("it is held")
}

/// The times of log lines with this message.
fn times_of(log: &str, message: &str) -> Vec<u64> {
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let told = lines.filter(|line| {
        line["message"]
            .as_str()
            .is_some_and(|text| text.contains(message))
    });
    told.filter_map(|line| line["time_ms"].as_u64()).collect()
}

on_fleet!(
    holder_frozen_past_its_lease_gives_no_order,
    two_hosts(),
    |fleet| {
        let (old, old_token) = wait_for_holder(&fleet, None).await;
        fleet.hosts[old].control.as_ref().expect("control runs").freeze();
        let (new, new_token) = wait_for_holder(&fleet, Some(old)).await;
        assert!(new_token > old_token, "tokens grow: {old_token}, {new_token}");
        let changed = fleet
            .document
            .replace("version: chat-2, zone: zone-a", "version: chat-3, zone: zone-a");
        assert_ne!(changed, fleet.document);
        fleet
            .promote_directly(&changed, Revision(2))
            .await
            .expect("it is promoted");
        let woken_at = Clock::system().now();
        fleet.hosts[old].control.as_ref().expect("control runs").wake();
        let engine = fleet.engines["chat-a2"].address("listening").expect("it listens");
        let has_loaded = || async {
            let state = fleet.read(engine, "/v1/state").await.unwrap_or_default();
            state["loaded"]["version"] == "chat-3" && state["fencing"].as_u64() == Some(new_token)
        };
        fleet
            .wait_for("the new version under the new token", has_loaded)
            .await
            .expect("the new holder orders it");
        let log = fleet.log(&format!("{}-control", fleet.hosts[old].name));
        let late: Vec<u64> = times_of(&log, "order given")
            .into_iter()
            .filter(|time| *time >= woken_at.0)
            .collect();
        assert!(
            late.is_empty(),
            "the old holder ordered at {late:?}, woken at {woken_at}"
        );
        assert_eq!(holder(&fleet).await.map(|(place, _)| place), Some(new));
    }
);

/// Promotes a move, and waits for its first share.
///
/// The hosts are up by then, so the first share is seen however long their start took.
async fn begin_move(fleet: &Fleet, within: &str) {
    let moves = format!(
        "\nmoves:\n  - {{name: pay-to-2, backend: pay, from: pay-1, to: pay-2, within: {within}, first_share: \"100\"}}\n"
    );
    fleet
        .promote_directly(&format!("{}{moves}", fleet.document), Revision(2))
        .await
        .expect("it is promoted");
    let begun = || async { move_record(fleet).await["phase"] == "small-share" };
    fleet
        .wait_for("the move's first share", begun)
        .await
        .expect("the move begins");
}

async fn move_record(fleet: &Fleet) -> Value {
    let Ok(store) = fleet.store_client() else {
        return Value::Null;
    };
    let entry = store.get("environments/small/moves/pay").await.ok().flatten();
    entry
        .and_then(|entry| serde_json::from_str(&entry.value).ok())
        .unwrap_or_default()
}

async fn balance(fleet: &Fleet, host: usize) -> Reply {
    fleet
        .caller
        .call(
            fleet.hosts[host].callers,
            "balance",
            "alpha",
            "b",
            &Value::Null,
            false,
        )
        .await
}

on_fleet!(
    move_goes_on_under_a_new_holder_when_the_holder_is_killed,
    two_hosts(),
    |fleet| {
        begin_move(&fleet, "60s").await;
        let (old, _) = wait_for_holder(&fleet, None).await;
        fleet.hosts[old]
            .control
            .as_mut()
            .expect("control runs")
            .kill()
            .await
            .expect("it is killed");
        let ended = || async {
            for host in 0..2 {
                drop(balance(&fleet, host).await);
            }
            matches!(
                move_record(&fleet).await["phase"].as_str(),
                Some("finished" | "taken-back")
            )
        };
        fleet
            .wait_for("the move's end", ended)
            .await
            .expect("the move ends");
        assert_eq!(move_record(&fleet).await["phase"], "finished");
    }
);

on_fleet!(
    deadline_in_an_outage_is_honoured_by_every_host_alone,
    two_hosts(),
    |fleet| {
        begin_move(&fleet, "15s").await;
        let deadline = move_record(&fleet).await["deadline"]
            .as_u64()
            .expect("a deadline");
        fleet
            .set_faults(&fleet.store, &json!({"down": true}))
            .await
            .expect("the fault is set");
        let is_over = || async { Clock::system().now().0 > deadline };
        fleet
            .wait_for("the deadline", is_over)
            .await
            .expect("time passes");
        for number in 0..40 {
            let reply = balance(&fleet, number % 2).await;
            let Reply::Ran(answer) = reply else {
                panic!("{reply:?}")
            };
            assert_eq!(answer.version.as_deref(), Some("pay-1"));
        }
    }
);

on_fleet!(operator_takes_a_move_back, two_hosts(), |fleet| {
    begin_move(&fleet, "60s").await;
    let file = fleet
        .write_document("document.yaml", &fleet.document)
        .expect("it is written");
    let (code, printed) = fleet
        .operate(&["take-back", "--environment=small", "--operator=nour", "pay-to-2"])
        .await
        .expect("it runs");
    assert_eq!(code, Some(0), "{printed} {file}");
    let ended = || async { move_record(&fleet).await["phase"] == "taken-back" };
    fleet
        .wait_for("the move's end", ended)
        .await
        .expect("the move ends");
    assert_eq!(move_record(&fleet).await["cause"]["cause"], "operator");
});
