//! Commands against stand-ins that answer, fail and lose answers.

mod support;

use std::path::PathBuf;

use carawayseam_cli::{CliError, Code, Command, Done, Dump, Refused, run};
use carawayseam_clients::{Http, KvClient};
use carawayseam_config::Document;
use carawayseam_external::kv::PutRequest;
use carawayseam_node::{CurrentDocument, current_document_key, rollouts_prefix};
use carawayseam_rollout::{Cause, Phase, RolloutRecord};
use carawayseam_standins::{Faults, Running};
use carawayseam_types::{Millis, Permille, Revision};
use support::{World, file, name};

fn client(store: &Running) -> KvClient {
    let http = Http::builder().build().expect("the client can be made");
    KvClient::new(http, &store.url())
}

async fn current(world: &World) -> Option<CurrentDocument> {
    let entry = client(&world.store)
        .get(&current_document_key(&name("khao-rang")))
        .await;
    entry
        .expect("the store answers")
        .map(|entry| serde_json::from_str(&entry.value).expect("a record"))
}

/// Puts a document in force whose move has a record of this phase.
async fn with_move(world: &World, phase: Phase) {
    let yaml = world.yaml();
    let document = Document::from_yaml("d.yaml", &yaml).expect("the document is valid");
    let record = RolloutRecord {
        environment: document.environment.clone(),
        spec: document.moves[0].clone(),
        configuration: Revision(1),
        revision: Revision(1),
        started_at: Millis(1),
        deadline: Millis(2),
        phase,
        share: Permille::new(10),
        since: Millis(1),
        cause: Cause::Promoted,
    };
    let current = CurrentDocument {
        revision: Revision(1),
        digest: document.digest,
        yaml,
        nonce: name("7"),
        promoted_at: Millis(1),
        operator: "malee".into(),
    };
    let store = client(&world.store);
    let json = serde_json::to_string(&current).expect("records are JSON");
    let put = PutRequest::create(current_document_key(&document.environment), json);
    store.put(&put).await.expect("the store answers");
    let json = serde_json::to_string(&record).expect("records are JSON");
    let put = PutRequest::create(format!("{}planner", rollouts_prefix(&document.environment)), json);
    store.put(&put).await.expect("the store answers");
}

#[tokio::test]
async fn a_document_is_tried_and_promoted() {
    let world = World::start().await;
    let path = file(&world.plain_yaml());
    let tried = world.trial(path.clone()).await.expect("all engines answer");
    assert!(matches!(tried, Done::TrialPassed { .. }), "{tried:?}");
    let promoted = world
        .promote(path.clone(), "malee")
        .await
        .expect("the trial was passed");
    assert!(
        matches!(
            promoted,
            Done::Accepted {
                revision: Revision(1),
                was_in_force: false,
                ..
            }
        ),
        "{promoted:?}"
    );
    let again = world.promote(path, "somchai").await.expect("it is in force");
    assert!(
        matches!(
            again,
            Done::Accepted {
                revision: Revision(1),
                was_in_force: true,
                ..
            }
        ),
        "{again:?}"
    );
}

#[tokio::test]
async fn a_changed_document_needs_its_own_trial() {
    let world = World::start().await;
    let yaml = world.plain_yaml();
    world.trial(file(&yaml)).await.expect("all engines answer");
    let changed = file(&yaml.replace("share: 45", "share: 46"));
    let error = world
        .promote(changed, "malee")
        .await
        .expect_err("no trial was passed");
    assert_eq!(error.code(), Code::Trial);
    assert!(current(&world).await.is_none());
}

#[tokio::test]
async fn a_lost_answer_is_read_back() {
    let world = World::start().await;
    let path = file(&world.plain_yaml());
    world.trial(path.clone()).await.expect("all engines answer");
    world.store.switch().set(Faults {
        lose_answers_next: 1,
        ..Faults::default()
    });
    let done = world.promote(path, "malee").await.expect("the write took effect");
    assert!(
        matches!(
            done,
            Done::Accepted {
                revision: Revision(1),
                was_in_force: false,
                ..
            }
        ),
        "{done:?}"
    );
}

#[tokio::test]
async fn racing_operators_learn_who_won() {
    let world = World::start().await;
    let (one, two) = (
        file(&world.plain_yaml()),
        file(&world.plain_yaml().replace("share: 45", "share: 46")),
    );
    for path in [&one, &two] {
        world.trial(path.clone()).await.expect("all engines answer");
    }
    let (one, two) = tokio::join!(world.promote(one, "malee"), world.promote(two, "somchai"));
    let in_force = current(&world).await.expect("one was accepted");
    let lost = [&one, &two]
        .into_iter()
        .filter_map(|result| result.as_ref().err());
    for error in lost {
        let CliError::Promotion {
            source: Refused::LostRace { winner },
            difference,
        } = error
        else {
            panic!("{error}");
        };
        assert_eq!(winner.nonce, in_force.nonce);
        let difference = difference.as_ref().expect("both documents are valid");
        let shares = if winner.operator == "malee" {
            "46 -> 45"
        } else {
            "45 -> 46"
        };
        let expected = format!("organisations: changed gate (share {shares})");
        assert_eq!(difference.to_string(), expected);
    }
    let accepted = [one, two].into_iter().flatten().count();
    assert_eq!(in_force.revision, Revision(accepted as u64));
}

/// Names a case in which a promotion fails over a fault of the store, and nothing is in force.
macro_rules! not_promoted {
    ($name:ident, $faults:expr, $code:expr) => {
        #[tokio::test]
        async fn $name() {
            let world = World::start().await;
            let path = file(&world.plain_yaml());
            world.trial(path.clone()).await.expect("all engines answer");
            world.store.switch().set($faults);
            let error = world
                .promote(path, "malee")
                .await
                .expect_err("the store is down");
            assert_eq!(error.code(), $code, "{error}");
            world.store.switch().set(Faults::default());
            assert!(current(&world).await.is_none());
        }
    };
}

not_promoted!(
    store_answers_503,
    Faults {
        down: true,
        ..Faults::default()
    },
    Code::Unreachable
);
not_promoted!(
    store_closes_connections,
    Faults {
        close_before_reading: true,
        ..Faults::default()
    },
    Code::Unreachable
);
not_promoted!(
    store_loses_requests,
    Faults {
        close_after_reading: true,
        ..Faults::default()
    },
    Code::Unreachable
);
not_promoted!(
    store_redirects,
    Faults {
        redirect_to: Some("/v1/range".to_owned()),
        ..Faults::default()
    },
    Code::Unreachable
);

/// Names a case in which a trial fails.
macro_rules! trial_fails {
    ($name:ident, $from:literal => $to:literal, $message:literal) => {
        #[tokio::test]
        async fn $name() {
            let world = World::start().await;
            let yaml = world.plain_yaml().replace($from, $to);
            let path = file(&yaml);
            let error = world
                .trial(path.clone())
                .await
                .expect_err("an engine is not as declared");
            assert_eq!(error.code(), Code::Trial);
            assert!(error.to_string().contains($message), "{error}");
            let error = world
                .promote(path, "malee")
                .await
                .expect_err("the trial failed");
            assert_eq!(error.code(), Code::Trial);
        }
    };
}

trial_fails!(engine_of_another_name, "name: model-a" => "name: model-z", "calls itself `model-a`");
trial_fails!(service_of_another_version, "version: passes-1" => "version: passes-9", "runs version `passes-1`");

#[tokio::test]
async fn a_silent_engine_fails_the_trial_unless_allowed() {
    let world = World::start().await;
    world.service.switch().set(Faults {
        close_before_reading: true,
        ..Faults::default()
    });
    let path = file(&world.plain_yaml());
    let error = world.trial(path.clone()).await.expect_err("a server is silent");
    assert!(error.to_string().contains("passes-a: does not answer"), "{error}");
    let command = Command::Trial {
        store: world.flags(),
        allow_missing: 1,
        file: path,
    };
    let done = run(command).await.expect("one may be silent");
    let Done::TrialPassed { passed, .. } = done else {
        panic!("{done:?}")
    };
    assert_eq!((passed.engines_checked, passed.missing.len()), (1, 1));
}

fn check(file: PathBuf) -> Command {
    Command::Check {
        strict: false,
        active: None,
        file,
    }
}

/// Names a case in which `check` refuses a document.
macro_rules! check_refuses {
    ($name:ident, $from:literal => $to:literal, $message:literal) => {
        #[tokio::test]
        async fn $name() {
            let world = World::start().await;
            let yaml = world.yaml();
            assert!(yaml.contains($from), "the case no longer fits the document");
            let path = file(&yaml.replacen($from, $to, 1));
            let error = run(check(path.clone()))
                .await
                .expect_err("the document is wrong");
            assert_eq!(error.code(), Code::Document);
            let place = format!("{}:", path.display());
            assert!(error.to_string().starts_with(&place), "{error}");
            assert!(error.to_string().contains($message), "{error}");
        }
    };
}

check_refuses!(broken_yaml, "zones: [" => "zones: {", "document:");
check_refuses!(unknown_field, "share: 45" => "shares: 45", "unknown field");
check_refuses!(undeclared_zone, "zone: saraburi-a" => "zone: sfax-a", "engines[0].zone: `sfax-a` is not declared");
check_refuses!(move_without_engine, "to: planner-2" => "to: planner-3", "moves[0].to: no engine");

#[tokio::test]
async fn a_missing_file_is_named() {
    let error = run(check("no-such.yaml".into()))
        .await
        .expect_err("there is no file");
    assert_eq!(error.code(), Code::Document);
    assert!(error.to_string().contains("no-such.yaml"), "{error}");
}

/// Names a case of `take-back`.
macro_rules! take_back {
    ($name:ident, $phase:expr, $environment:literal, $move_id:literal, $code:expr) => {
        #[tokio::test]
        async fn $name() {
            let world = World::start().await;
            with_move(&world, $phase).await;
            let result = world.take_back($environment, $move_id).await;
            let code = result
                .as_ref()
                .map_or_else(CliError::code, |_| Code::Success);
            assert_eq!(code, $code, "{result:?}");
            let recorded = client(&world.store)
                .get("environments/khao-rang/take-back/planner-to-2")
                .await;
            assert_eq!(
                recorded.expect("the store answers").is_some(),
                $code == Code::Success
            );
        }
    };
}

take_back!(
    take_back_of_a_growing_move,
    Phase::Growing,
    "khao-rang",
    "planner-to-2",
    Code::Success
);
take_back!(
    take_back_of_a_finished_move,
    Phase::Finished,
    "khao-rang",
    "planner-to-2",
    Code::NotFound
);
take_back!(
    take_back_of_an_unknown_move,
    Phase::Growing,
    "khao-rang",
    "planner-to-9",
    Code::NotFound
);
take_back!(
    take_back_elsewhere,
    Phase::Growing,
    "ben-slama",
    "planner-to-2",
    Code::NotFound
);

#[tokio::test]
async fn take_back_survives_lost_answers() {
    let world = World::start().await;
    with_move(&world, Phase::Growing).await;
    world.store.switch().set(Faults {
        lose_answers_next: 2,
        ..Faults::default()
    });
    world
        .take_back("khao-rang", "planner-to-2")
        .await
        .expect("the third answer comes");
}

#[tokio::test]
async fn take_back_without_any_answer_is_unknown() {
    let world = World::start().await;
    with_move(&world, Phase::Growing).await;
    world.store.switch().set(Faults {
        lose_answers_rate: 1.0,
        ..Faults::default()
    });
    let error = world
        .take_back("khao-rang", "planner-to-2")
        .await
        .expect_err("no answer comes");
    assert_eq!(error.code(), Code::Unknown, "{error}");
}

/// Names a case of `status --wait` on a move in a phase.
macro_rules! waits {
    ($name:ident, $phase:expr, $code:expr) => {
        #[tokio::test]
        async fn $name() {
            let world = World::start().await;
            with_move(&world, $phase).await;
            let result = world.status(true, Millis::ZERO).await;
            let code = result
                .as_ref()
                .map_or_else(CliError::code, |_| Code::Success);
            assert_eq!(code, $code, "{result:?}");
        }
    };
}

waits!(wait_for_a_finished_move, Phase::Finished, Code::Success);
waits!(wait_for_a_move_taken_back, Phase::RolledBack, Code::TakenBack);
waits!(wait_for_a_move_under_way, Phase::Growing, Code::TimedOut);

#[tokio::test]
async fn wait_hears_of_the_end() {
    let world = World::start().await;
    with_move(&world, Phase::Growing).await;
    let store = client(&world.store);
    let key = format!("{}planner", rollouts_prefix(&name("khao-rang")));
    let entry = store
        .get(&key)
        .await
        .expect("the store answers")
        .expect("the move is recorded");
    let mut record: RolloutRecord = serde_json::from_str(&entry.value).expect("a record");
    record.phase = Phase::Finished;
    let json = serde_json::to_string(&record).expect("records are JSON");
    let put = PutRequest::swap(key, json, entry.revision);
    let (waited, written) = tokio::join!(world.status(true, Millis::from_secs(60)), store.put(&put));
    written.expect("the store answers");
    assert!(waited.is_ok(), "{waited:?}");
}

#[tokio::test]
async fn status_tells_the_move() {
    let world = World::start().await;
    with_move(&world, Phase::Growing).await;
    let status = world
        .status(false, Millis::ZERO)
        .await
        .expect("the store answers")
        .to_string();
    assert!(status.contains("revision 1 by malee"), "{status}");
    assert!(
        status.contains("move planner-to-2 of planner from planner-1 to planner-2: growing, 10‰"),
        "{status}"
    );
}

#[test]
fn a_dump_reads_as_indented_lines() {
    let state = serde_json::json!({"host": "a", "engines": [{"name": "e", "load": null}], "moves": []});
    let lines = "engines:\n  -\n    load: none\n    name: e\nhost: a\nmoves: []";
    assert_eq!(Dump(state).to_string(), lines);
}

#[tokio::test]
async fn a_dump_from_nobody_is_an_error() {
    let world = World::start().await;
    let error = run(Command::Dump {
        address: world.store.address(),
    })
    .await
    .expect_err("it has no dump");
    assert_eq!(error.code(), Code::Unreachable);
}
