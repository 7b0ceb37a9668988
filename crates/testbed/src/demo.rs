//! Both example firms on stand-ins, with one request of each kind.

use std::process::ExitCode;

use carawayseam_types::Millis;
use serde_json::json;
use tokio::runtime::Runtime;

use crate::{Fleet, Programs, Reply, TestbedError};

const DEADLINE: Millis = Millis::from_secs(10);

/// One firm's demo.
struct Firm {
    name: &'static str,
    document: &'static str,
    hosts: [(&'static str, &'static str); 4],
    long: Ask,
    short: Ask,
    unrepeatable: CallTo,
    idempotent: CallTo,
}

struct Ask {
    route: &'static str,
    organisation: &'static str,
    prompt: &'static str,
    max_output: u32,
}

struct CallTo {
    route: &'static str,
    organisation: &'static str,
}

const BEN_SLAMA: Firm = Firm {
    name: "Menuiserie Ben Slama & Fils",
    document: include_str!("../../../examples/ben-slama.yaml"),
    hosts: [
        ("entry-a1", "sfax-a"),
        ("entry-a2", "sfax-a"),
        ("entry-b1", "sfax-b"),
        ("entry-b2", "sfax-b"),
    ],
    long: Ask {
        route: "fitting-guide",
        organisation: "sfax-fitters",
        prompt: "Fitting guide for a three-panel sliding door, rail S2, wall of 2.7 m #tokens=200",
        max_output: 2_400,
    },
    short: Ask {
        route: "dealer-tag",
        organisation: "dealers",
        prompt: "Tag this dealer message: the left panel came scratched #tokens=6",
        max_output: 24,
    },
    unrepeatable: CallTo {
        route: "reserve",
        organisation: "sfax-fitters",
    },
    idempotent: CallTo {
        route: "stock-level",
        organisation: "sfax-showroom",
    },
};

const KHAO_RANG: Firm = Firm {
    name: "Khao Rang Lift Pass Co.",
    document: include_str!("../../../examples/khao-rang.yaml"),
    hosts: [
        ("entry-a1", "saraburi-a"),
        ("entry-a2", "saraburi-a"),
        ("entry-b1", "saraburi-b"),
        ("entry-b2", "saraburi-b"),
    ],
    long: Ask {
        route: "trip-plan",
        organisation: "khao-rang-gate",
        prompt: "Trip plan for a family of four, two dawn rides and a market day #tokens=240",
        max_output: 3_000,
    },
    short: Ask {
        route: "complaint-tag",
        organisation: "complaints",
        prompt: "Tag this complaint: the turnstile stayed shut at dawn #tokens=5",
        max_output: 24,
    },
    unrepeatable: CallTo {
        route: "renew",
        organisation: "khao-rang-gate",
    },
    idempotent: CallTo {
        route: "balance",
        organisation: "ticket-desk",
    },
};

/// Runs the demo.
#[must_use]
pub fn main() -> ExitCode {
    let outcome = Runtime::new().map(|runtime| runtime.block_on(run()));
    match outcome {
        Ok(Ok(true)) => ExitCode::SUCCESS,
        Ok(Ok(false)) => ExitCode::FAILURE,
        Ok(Err(e)) => fail(&e),
        Err(e) => fail(&e),
    }
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("carawayseam-demo: {error}");
    let mut cause = error.source();
    while let Some(error) = cause {
        eprintln!("  because: {error}");
        cause = error.source();
    }
    ExitCode::FAILURE
}

async fn run() -> Result<bool, TestbedError> {
    let programs = Programs::beside_this_one()?;
    let ben_slama = run_firm(&programs, &BEN_SLAMA).await?;
    let khao_rang = run_firm(&programs, &KHAO_RANG).await?;
    Ok(ben_slama && khao_rang)
}

async fn run_firm(programs: &Programs, firm: &Firm) -> Result<bool, TestbedError> {
    let mut builder = Fleet::builder(programs.clone(), firm.document);
    for (host, zone) in firm.hosts {
        builder = builder.host(host, zone);
    }
    let fleet = builder.start().await?;
    println!("{}", firm.name);
    println!(
        "  {} backend servers, {} entry hosts in two availability zones",
        fleet.engines.len(),
        fleet.hosts.len()
    );
    println!(
        "  {:<14} {:<10} {:<28} whole and its own",
        "route", "host", "answer"
    );
    let mut all_good = promote(&fleet).await?;
    for (ask, streams, host) in [(&firm.long, true, 0), (&firm.short, false, 3)] {
        all_good &= run_ask(&fleet, ask, streams, host).await;
    }
    all_good &= run_unrepeatable(&fleet, &firm.unrepeatable).await?;
    all_good &= run_idempotent(&fleet, &firm.idempotent).await;
    println!();
    Ok(all_good)
}

/// Puts a reviewed document in force as operators do: trial, then promotion.
async fn promote(fleet: &Fleet) -> Result<bool, TestbedError> {
    let file = fleet.write_document("reviewed.yaml", &format!("# Reviewed.\n{}", fleet.document))?;
    let (trial, _) = fleet.operate(&["trial", &file]).await?;
    let (promotion, _) = fleet.operate(&["promote", "--operator=demo", &file]).await?;
    let good = trial == Some(0) && promotion == Some(0);
    fleet.wait_for_revision(2).await?;
    print_row("promotion", "all", "trial passed, in force", good);
    Ok(good)
}

async fn run_ask(fleet: &Fleet, ask: &Ask, streams: bool, host: usize) -> bool {
    let host = &fleet.hosts[host];
    let reply = if streams {
        fleet
            .caller
            .stream(host.callers, ask.route, ask.organisation, ask.prompt, DEADLINE)
            .await
    } else {
        fleet
            .caller
            .ask(host.callers, ask.route, ask.organisation, ask.prompt, DEADLINE)
            .await
    };
    let good = reply.answers(ask.prompt, ask.max_output);
    print_row(ask.route, &host.name, &describe(&reply), good);
    good
}

/// Sends an unrepeatable call, and the same again through another host: one run, one answer.
async fn run_unrepeatable(fleet: &Fleet, call: &CallTo) -> Result<bool, TestbedError> {
    let body = json!({"item": "kit-7", "quantity": 1});
    let (first, second) = (&fleet.hosts[1], &fleet.hosts[2]);
    let reply = fleet
        .caller
        .call(
            first.callers,
            call.route,
            call.organisation,
            "demo-1",
            &body,
            false,
        )
        .await;
    let good = matches!(reply, Reply::Ran(_));
    print_row(call.route, &first.name, &describe(&reply), good);
    let again = fleet
        .caller
        .call(
            second.callers,
            call.route,
            call.organisation,
            "demo-1",
            &body,
            true,
        )
        .await;
    let runs = fleet.runs().await?;
    let once = runs.values().copied().eq([1]);
    let same = again == reply && once;
    print_row(
        call.route,
        &second.name,
        &format!("{}, sent again", describe(&again)),
        same,
    );
    Ok(good && same)
}

async fn run_idempotent(fleet: &Fleet, call: &CallTo) -> bool {
    let host = &fleet.hosts[2];
    let reply = fleet
        .caller
        .call(
            host.callers,
            call.route,
            call.organisation,
            "demo-2",
            &json!({"pass": 41}),
            false,
        )
        .await;
    let good = matches!(reply, Reply::Ran(_));
    print_row(call.route, &host.name, &describe(&reply), good);
    good
}

fn describe(reply: &Reply) -> String {
    match reply {
        Reply::Ran(answer) if answer.tokens > 0 => format!("{} tokens", answer.tokens),
        Reply::Ran(_) => "ran".to_owned(),
        Reply::NotRun { reason, .. } => format!("not run: {reason}"),
        Reply::Unknown { reason } => format!("unknown: {reason}"),
        Reply::Broken => "broken".to_owned(),
    }
}

fn print_row(route: &str, host: &str, answer: &str, good: bool) {
    let good = if good { "yes" } else { "NO" };
    println!("  {route:<14} {host:<10} {answer:<28} {good}");
}
