//! A move between versions finishes, or is taken back.

use carawayseam_rollout::Phase;
use carawayseam_testbed::{Fleet, FleetBuilder};
use serde_json::{Value, json};

use crate::util::{SMALL, with_document};

fn moving() -> FleetBuilder {
    let moves = "\nmoves:\n  - {name: pay-to-2, backend: pay, from: pay-1, to: pay-2, within: 60s, first_share: \"100\"}\n";
    with_document(&format!("{SMALL}{moves}"))
        .host("entry-a", "zone-a")
        .host("entry-b", "zone-b")
}

async fn phase(fleet: &Fleet) -> Option<(String, Value)> {
    let store = fleet.store_client().ok()?;
    let entry = store.get("environments/small/moves/pay").await.ok()??;
    let record: Value = serde_json::from_str(&entry.value).ok()?;
    let phase = record["phase"].as_str()?.to_owned();
    Some((phase, record["cause"].clone()))
}

async fn send_balances(fleet: &Fleet) {
    for host in &fleet.hosts {
        let reply = fleet
            .caller
            .call(host.callers, "balance", "alpha", "b", &Value::Null, false)
            .await;
        drop(reply);
    }
}

async fn wait_for_phase(fleet: &Fleet, wanted: &[Phase]) -> (String, Value) {
    let wanted: Vec<String> = wanted
        .iter()
        .map(|phase| {
            serde_json::to_value(phase)
                .expect("it encodes")
                .as_str()
                .unwrap_or_default()
                .to_owned()
        })
        .collect();
    let reached = || async {
        send_balances(fleet).await;
        phase(fleet)
            .await
            .is_some_and(|(phase, _)| wanted.contains(&phase))
    };
    fleet
        .wait_for("the move's end", reached)
        .await
        .expect("the move ends");
    phase(fleet).await.expect("the record is read")
}

on_fleet!(good_version_is_finished_before_the_deadline, moving(), |fleet| {
    let (phase, cause) = wait_for_phase(&fleet, &[Phase::Finished, Phase::RolledBack]).await;
    assert_eq!(phase, "finished", "{cause}");
});

/// Names a case in which the new version is bad in one way, and is taken back before the deadline.
macro_rules! taken_back {
    ($name:ident, $bad:expr => $cause:pat) => {
        on_fleet!($name, moving(), |fleet| {
            let faults = json!({"bad_version": $bad});
            fleet.set_faults(&fleet.engines["pay-c"], &faults).await.expect("the fault is set");
            let (phase, cause) = wait_for_phase(&fleet, &[Phase::Finished, Phase::RolledBack]).await;
            assert_eq!(phase, "taken-back", "{cause}");
            assert!(matches!(cause["cause"].as_str(), Some($cause)), "{cause}");
        });
    };
}

taken_back!(version_that_fails_is_taken_back, json!({"kind": "fail"}) => "more-failures");
taken_back!(
    version_that_fails_later_is_taken_back,
    json!({"kind": "fail", "after_requests": 40}) => "more-failures"
);
taken_back!(version_that_is_slow_is_taken_back, json!({"kind": "slow"}) => "slower" | "unfinished");
taken_back!(
    version_that_fails_on_one_route_is_taken_back,
    json!({"kind": "fail", "word": "balance"}) => "more-failures"
);
