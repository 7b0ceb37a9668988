//! The report as one table of text.

use std::fmt::Write as _;

use crate::report::{Report, Row, TierRow};

const HEADER: &str = "\
scenario            firm       policy       goodput by tier %      total %  work %  svc %  waste %   refusals by tier    order  crash  double  recov %  beside %   msg/s    KB/s";

/// Writes the table and the verdicts as text.
#[must_use]
pub fn write_table(report: &Report, known_red: &[String]) -> String {
    let mut text = format!("seeds {:?}\n", report.seeds);
    for capacity in &report.capacities {
        let _infallible = writeln!(
            text,
            "{} can carry {} answer tokens/s, and {} after the loss",
            capacity.firm, capacity.whole, capacity.after_loss
        );
    }
    let _infallible = writeln!(text, "{HEADER}");
    for row in &report.rows {
        write_row(&mut text, row);
    }
    text.push('\n');
    for bound in &report.bounds {
        let known = known_red.contains(&bound.name.to_string());
        let verdict = match (bound.pass, known) {
            (true, _) => "pass",
            (false, true) => "KNOWN RED",
            (false, false) => "FAIL",
        };
        let _infallible = writeln!(
            text,
            "{verdict:<9} {:<58} {:>10.3} {} {:.3}",
            bound.name, bound.value, bound.relation, bound.target
        );
    }
    for row in report.rows.iter().filter(|row| row.policy == "product") {
        for note in &row.violation_notes {
            let _infallible = writeln!(text, "order {}/{}: {note}", row.scenario, row.firm);
        }
    }
    text
}

fn write_row(text: &mut String, row: &Row) {
    let joined = |figure: &dyn Fn(&TierRow) -> String| {
        let figures: Vec<String> = row.tiers.iter().map(figure).collect();
        figures.join(" ")
    };
    let goodput = joined(&|tier| format!("{:6.2}", tier.goodput));
    let refusals = joined(&|tier| format!("{:5}", tier.refusals));
    let order: u32 = row.tiers.iter().map(|tier| tier.order_violations).sum();
    let service = row.tiers.iter().map(|tier| tier.service_goodput);
    let service = service.fold(100.0, f64::min);
    let recovered = row
        .recovered
        .map_or_else(|| "-".to_owned(), |share| format!("{share:.2}"));
    let messages = row.announcements_per_s + row.forwards_per_s;
    let _infallible = writeln!(
        text,
        "{:<19} {:<10} {:<12} {goodput:<22} {:>7.2} {:>7.2} {service:>6.2} {:>8.3}   {refusals:<18} {order:>6} {:>6} {:>7} {recovered:>8} {:>9.2} {messages:>7.1} {:>7.2}",
        row.scenario,
        row.firm,
        row.policy,
        row.goodput,
        row.goodput_by_work,
        row.wasted_prefill,
        row.crashes,
        row.double_runs,
        row.beside_flood,
        row.bytes_per_s / 1_000.0,
    );
}
