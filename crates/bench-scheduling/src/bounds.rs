//! The bounds that CI judges; each is a target of the project, never a figure measured.

use serde::{Serialize, Serializer};

use crate::report::Row;
use crate::scenario::Scenario;

const TOP_TIER_GOODPUT: f64 = 99.0;
const GOODPUT_OVER_BASELINE: f64 = 1.1;
const WASTED_PREFILL: f64 = 2.0;
const WASTED_OVER_BASELINE: f64 = 0.5;
const POISON_CRASHES: f64 = 3.0;
const RECOVERED_GOODPUT: f64 = 95.0;
const LOST_BESIDE_FLOOD: f64 = 2.0;

/// Names a bound, as KNOWN-RED.txt does.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("{scenario}/{firm}-{what}")]
pub struct BoundName {
    scenario: String,
    firm: String,
    what: &'static str,
}

impl Serialize for BoundName {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// How a value has to stand to its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Relation {
    /// At least the target.
    #[display(">=")]
    AtLeast,
    /// At most the target.
    #[display("<=")]
    AtMost,
}

/// A bound with its verdict.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Bound {
    /// Its name.
    pub name: BoundName,
    /// The value measured.
    pub value: f64,
    /// How it has to stand to the target.
    pub relation: Relation,
    /// The target.
    pub target: f64,
    /// Whether it does.
    pub pass: bool,
}

impl Bound {
    fn new(row: &Row, what: &'static str, value: f64, relation: Relation, target: f64) -> Self {
        let name = BoundName {
            scenario: row.scenario.clone(),
            firm: row.firm.clone(),
            what,
        };
        let pass = match relation {
            Relation::AtLeast => value >= target,
            Relation::AtMost => value <= target,
        };
        Self {
            name,
            value,
            relation,
            target,
            pass,
        }
    }
}

/// Judges each run of the product, beside the baselines in the same report.
#[must_use]
pub fn judge(rows: &[Row]) -> Vec<Bound> {
    let products = rows.iter().filter(|row| row.policy == "product");
    products.flat_map(|row| judge_row(row, rows)).collect()
}

fn judge_row(row: &Row, rows: &[Row]) -> Vec<Bound> {
    let mut bounds = always(row);
    match row.scenario.parse() {
        Ok(Scenario::EngineLoss) => {
            bounds.push(top_tier(row));
            bounds.push(total_over_baselines(row, rows));
            bounds.extend(wasted(row, rows));
        }
        Ok(Scenario::SlowEngine) => bounds.push(top_tier(row)),
        Ok(Scenario::Poison) => {
            let crashes = f64::from(row.crashes);
            bounds.push(Bound::new(
                row,
                "crashes",
                crashes,
                Relation::AtMost,
                POISON_CRASHES,
            ));
        }
        Ok(Scenario::RetryCrowd) => {
            let recovered = row.recovered.unwrap_or(0.0);
            let relation = Relation::AtLeast;
            bounds.push(Bound::new(
                row,
                "recovered-goodput",
                recovered,
                relation,
                RECOVERED_GOODPUT,
            ));
            bounds.extend(wasted(row, rows));
        }
        Ok(Scenario::OrganisationFlood) => {
            bounds.extend(lost_beside_flood(row, rows));
            bounds.extend(wasted(row, rows));
        }
        Ok(Scenario::OrganisationCalm) | Err(_) => {}
    }
    bounds
}

/// What must hold in every scenario.
fn always(row: &Row) -> Vec<Bound> {
    let order: u32 = row.tiers.iter().map(|tier| tier.order_violations).sum();
    let none = |what, count: u32| Bound::new(row, what, f64::from(count), Relation::AtMost, 0.0);
    vec![
        none("order-violations", order),
        none("double-runs", row.double_runs),
        none("broken-answers", row.broken_answers),
    ]
}

fn top_tier(row: &Row) -> Bound {
    let top = row.tiers.first();
    let value = top.map_or(0.0, |tier| tier.goodput.min(tier.service_goodput));
    Bound::new(
        row,
        "top-tier-goodput",
        value,
        Relation::AtLeast,
        TOP_TIER_GOODPUT,
    )
}

fn baselines<'a>(row: &'a Row, rows: &'a [Row]) -> impl Iterator<Item = &'a Row> {
    rows.iter()
        .filter(|other| other.scenario == row.scenario && other.firm == row.firm)
        .filter(|other| other.policy != "product" && other.policy != "announced")
}

fn total_over_baselines(row: &Row, rows: &[Row]) -> Bound {
    let best = baselines(row, rows).map(|other| other.good).fold(0.0, f64::max);
    let ratio = if best > 0.0 { row.good / best } else { 0.0 };
    Bound::new(
        row,
        "total-over-best-baseline",
        ratio,
        Relation::AtLeast,
        GOODPUT_OVER_BASELINE,
    )
}

fn wasted(row: &Row, rows: &[Row]) -> [Bound; 2] {
    let wasted = row.wasted_prefill;
    let least = baselines(row, rows).map(|other| other.wasted_prefill);
    let least = least.fold(f64::INFINITY, f64::min) * WASTED_OVER_BASELINE;
    [
        Bound::new(row, "wasted-prefill", wasted, Relation::AtMost, WASTED_PREFILL),
        Bound::new(
            row,
            "wasted-prefill-beside-baseline",
            wasted,
            Relation::AtMost,
            least,
        ),
    ]
}

/// The goodput that the others in the tier lose to the flood, in points.
fn lost_beside_flood(row: &Row, rows: &[Row]) -> Option<Bound> {
    let calm = Scenario::OrganisationCalm.to_string();
    let alike = |other: &&Row| other.firm == row.firm && other.policy == row.policy;
    let calm = rows.iter().filter(alike).find(|other| other.scenario == calm)?;
    let lost = calm.beside_flood - row.beside_flood;
    Some(Bound::new(
        row,
        "lost-beside-flood",
        lost,
        Relation::AtMost,
        LOST_BESIDE_FLOOD,
    ))
}
