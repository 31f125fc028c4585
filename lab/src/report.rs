//! Human-readable results: CSV series, tables, and a self-contained HTML page.

use std::fmt::Write as _;
use std::path::Path;

use gradepaddle_emulator::result::Outcome;

use crate::error::Error;
use crate::experiment::Row;
use crate::plot::{self, Flow, HeatMap, Latency, Worth};
use crate::{file, stats::Estimate};

/// Writes the files of one run into a folder: JSON, CSV, plots and the page.
///
/// # Errors
///
/// The folder or one of the files cannot be written, or a plot cannot be drawn.
pub fn write(folder: &Path, outcome: &Outcome) -> Result<(), Error> {
    file::create_folder(folder)?;
    file::write_json(&folder.join("result.json"), outcome)?;
    draw(folder, outcome)
}

/// Writes CSV, plots and the page of an existing result.
///
/// # Errors
///
/// One of the files cannot be written, or a plot cannot be drawn.
pub fn draw(folder: &Path, outcome: &Outcome) -> Result<(), Error> {
    file::write(&folder.join("seconds.csv"), &seconds_csv(outcome))?;
    file::write(&folder.join("classes.csv"), &classes_csv(outcome))?;
    plot::save(folder, "worth", &Worth(outcome))?;
    plot::save(folder, "flow", &Flow(outcome))?;
    plot::save(folder, "latency", &Latency(outcome))?;
    plot::save(folder, "load", &load(outcome))?;
    plot::save(folder, "warmth", &warmth(outcome))?;
    file::write(&folder.join("report.html"), &page(outcome)?)
}

fn load(outcome: &Outcome) -> HeatMap<'_> {
    let most = outcome.held.iter().flatten().copied().fold(4.0, f32::max).min(40.0);
    HeatMap { title: "requests held for each core, by app server", rows: &outcome.held, most }
}

fn warmth(outcome: &Outcome) -> HeatMap<'_> {
    HeatMap { title: "share of its capacity, by app server", rows: &outcome.warmth, most: 1.0 }
}

/// The totals by second as CSV.
pub fn seconds_csv(outcome: &Outcome) -> String {
    let mut text = "second,asked,worth,earned,attempts,refusals,failures,up\n".to_owned();
    for (at, s) in outcome.seconds.iter().enumerate() {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{at},{},{:.4},{:.4},{},{},{},{}",
            s.asked, s.worth, s.earned, s.attempts, s.refusals, s.failures, s.up
        );
    }
    text
}

/// The totals by class and branch as CSV.
pub fn classes_csv(outcome: &Outcome) -> String {
    let mut text = "part,name,asked,served,late,refused,failed,given_up,worth,earned\n".to_owned();
    let parts = [("class", &outcome.classes), ("branch", &outcome.branches)];
    for (kind, part) in parts.into_iter().flat_map(|(kind, parts)| parts.iter().map(move |part| (kind, part)))
    {
        let _ = writeln!(
            text,
            "{kind},{},{},{},{},{},{},{},{:.4},{:.4}",
            part.name,
            part.asked,
            part.served,
            part.late,
            part.refused,
            part.failed,
            part.given_up,
            part.worth,
            part.earned
        );
    }
    text
}

/// The summary that is printed after a run.
pub fn summary(outcome: &Outcome) -> String {
    let s = &outcome.score;
    let [served, late, refused, failed, given_up] = outcome.endings();
    let mut text = format!(
        "{} under {}, seed {}: {:.1} requests a second, {} balancers, {} app servers\n\
         goal {:.4}   whole {:.4}   worst window {:.4} (from second {})   worst class {:.4}   worst branch {:.4}\n\
         prices: failing late {:.4}, crossing zones {:.4}, waste {:.4}, probes {:.4}\n\
         {} first tries: {served} served in time, {late} late, {refused} refused, {failed} failed, {given_up} given up\n",
        outcome.scenario,
        outcome.policy,
        outcome.seed,
        outcome.rate,
        outcome.balancers,
        outcome.servers,
        s.goal,
        s.whole,
        s.worst_window,
        s.worst_window_at,
        s.worst_class,
        s.worst_branch,
        s.prices[0],
        s.prices[1],
        s.prices[2],
        s.prices[3],
        outcome.asked,
    );
    for times in &outcome.times {
        let _ = writeln!(
            text,
            "{:<12} {:>8} answers   p50 {:>7.1}   p90 {:>7.1}   p99 {:>7.1}   p99.9 {:>7.1} ms",
            times.name, times.count, times.p50, times.p90, times.p99, times.p999
        );
    }
    if outcome.defects > 0 {
        let _ = writeln!(text, "{} actions were not let through by the guard", outcome.defects);
    }
    for (rule, count) in outcome.broken.iter().filter(|(_, count)| *count > 0) {
        let _ = writeln!(text, "BROKEN RULE: {rule}, {count} times");
    }
    if let Some(breach) = outcome.breaches.first() {
        let at = breach.at as f64 / 1e6;
        let _ = writeln!(
            text,
            "the first: {} at {at:.3} s, request {}: {}",
            breach.rule, breach.request, breach.what
        );
        for line in &breach.history {
            let _ = writeln!(text, "  {line}");
        }
    }
    text
}

/// Formats a mean with its confidence interval.
pub fn estimate(of: &Estimate) -> String {
    format!("{:.3} ± {:.3}", of.mean, of.half)
}

/// A comparison of policies as a Markdown table.
pub fn table(rows: &[Row]) -> String {
    let mut text =
        "| policy | goal | whole day | worst window | worst class | lowest | runs that break rules |\n\
                    | --- | --- | --- | --- | --- | --- | --- |\n"
            .to_owned();
    for row in rows {
        let broken = format!("{} of {} ({} times)", row.broken, row.goal.count, row.breaches);
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {:.3} (seed {}) | {} |",
            row.policy,
            estimate(&row.goal),
            estimate(&row.whole),
            estimate(&row.worst_window),
            estimate(&row.worst_class),
            row.goal.least,
            row.worst_seed,
            if row.broken > 0 { broken } else { "none".to_owned() },
        );
    }
    text
}

/// Scores of all policies in all scenarios as a Markdown table: mean and confidence interval, with a mark and
/// the number of runs where rules were broken.
pub fn matrix(rows: &[Row]) -> String {
    let mut policies: Vec<&str> = Vec::new();
    let mut scenarios: Vec<&str> = Vec::new();
    for row in rows {
        if !policies.contains(&row.policy.as_str()) {
            policies.push(&row.policy);
        }
        if !scenarios.contains(&row.scenario.as_str()) {
            scenarios.push(&row.scenario);
        }
    }
    let mut text =
        format!("| scenario | {} |\n|{}\n", policies.join(" | "), " --- |".repeat(policies.len() + 1));
    for scenario in scenarios {
        let cell = |policy: &&str| {
            let row = rows.iter().find(|row| row.scenario == scenario && row.policy == *policy);
            row.map_or_else(String::new, |row| {
                let mark = if row.broken > 0 { format!(" !{}", row.broken) } else { String::new() };
                format!("{}{mark}", estimate(&row.goal))
            })
        };
        let cells: Vec<String> = policies.iter().map(cell).collect();
        let _ = writeln!(text, "| {scenario} | {} |", cells.join(" | "));
    }
    text
}

/// Rows as CSV.
pub fn rows_csv(rows: &[Row]) -> String {
    let mut text =
        "scenario,policy,goal,half,whole,worst_window,worst_class,least,worst_seed,runs,broken,breaches\n"
            .to_owned();
    for row in rows {
        let _ = writeln!(
            text,
            "{},{},{:.5},{:.5},{:.5},{:.5},{:.5},{:.5},{},{},{},{}",
            row.scenario,
            row.policy,
            row.goal.mean,
            row.goal.half,
            row.whole.mean,
            row.worst_window.mean,
            row.worst_class.mean,
            row.goal.least,
            row.worst_seed,
            row.goal.count,
            row.broken,
            row.breaches
        );
    }
    text
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn totals_table(title: &str, parts: &[gradepaddle_emulator::evaluation::GroupTotals]) -> String {
    let mut text = format!(
        "<h2>{title}</h2><table><tr><th>name</th><th>asked</th><th>served in time</th><th>late</th>\
         <th>refused</th><th>failed</th><th>given up</th><th>worth served</th></tr>"
    );
    for part in parts {
        let share = if part.worth > 0.0 { 100.0 * part.earned / part.worth } else { 100.0 };
        let _ = write!(
            text,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{share:.1} %</td></tr>",
            escape(&part.name),
            part.asked,
            part.served,
            part.late,
            part.refused,
            part.failed,
            part.given_up,
        );
    }
    text + "</table>"
}

/// The HTML page of one run, with its plots embedded.
///
/// # Errors
///
/// A plot cannot be drawn.
pub fn page(outcome: &Outcome) -> Result<String, Error> {
    let plots = [
        plot::svg(&Worth(outcome))?,
        plot::svg(&Flow(outcome))?,
        plot::svg(&Latency(outcome))?,
        plot::svg(&load(outcome))?,
        plot::svg(&warmth(outcome))?,
    ];
    let style = "body{font-family:sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}\
                 td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}td:first-child{text-align:left}\
                 pre{background:#f5f5f5;padding:1em;overflow:auto}svg{max-width:100%;height:auto}";
    let title = escape(&format!("{} under {}, seed {}", outcome.scenario, outcome.policy, outcome.seed));
    let troubles: Vec<String> =
        outcome.troubles.iter().map(|(name, from, to)| format!("{name} from {from} s to {to} s")).collect();
    let troubles = if troubles.is_empty() { "none".to_owned() } else { troubles.join(", ") };
    Ok(format!(
        "<!doctype html><html><head><meta charset=\"utf-8\"><title>{title}</title><style>{style}</style></head>\
         <body><h1>{title}</h1><pre>{}</pre><p>Troubles: {}</p>{}{}{}</body></html>\n",
        escape(&summary(outcome)),
        escape(&troubles),
        plots.concat(),
        totals_table("Classes", &outcome.classes),
        totals_table("Branches", &outcome.branches),
    ))
}
