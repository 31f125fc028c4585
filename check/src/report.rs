//! The suites of explorations, and the format in which their results are printed.

use std::fmt::Write as _;

use crate::broken::Broken;
use crate::explore::{Breach, ChooserKind, Exploration, Found};
use crate::sizes::{Kind, Sizes};

fn exploration(name: &str, chooser: ChooserKind, depth: Option<usize>, sizes: Sizes) -> Exploration {
    Exploration { name: name.into(), sizes, chooser, depth, broken: Broken::Nothing }
}

/// The full suite: the difficult cases, each small enough to be explored completely under the adversary, a larger one
/// under the adversary to a depth limit, and cases under the production balancer to a depth limit. The slowest
/// explorations come first.
pub fn full_suite() -> Vec<Exploration> {
    let base = Sizes { deadline: 2, attempts: 2, leaves: 0, drains: 0, ..Sizes::default() };
    let one = Sizes { transactions: 1, ..base.clone() };
    let (order, look) = (vec![Kind::Unsafe], vec![Kind::Safe]);
    let adversary = |name, sizes| exploration(name, ChooserKind::Adversary, None, sizes);
    let production = |name, depth, sizes| exploration(name, ChooserKind::Production, Some(depth), sizes);
    vec![
        production(
            "decisions: orders, crash and replacement",
            9,
            Sizes { classes: order.clone(), crashes: 1, replacements: 1, drains: 1, ..Sizes::default() },
        ),
        production("decisions: look and order, drain and leave", 10, Sizes::default()),
        production(
            "decisions: orders that flow, ban and its end, leave",
            9,
            Sizes { classes: order.clone(), flows: true, bans: 1, drains: 0, ..Sizes::default() },
        ),
        exploration(
            "look and order, three attempts, drain",
            ChooserKind::Adversary,
            Some(8),
            Sizes::default(),
        ),
        adversary(
            "one order, drain, leave",
            Sizes { classes: order.clone(), drains: 1, leaves: 1, ..one.clone() },
        ),
        adversary(
            "one look, second copies, drain",
            Sizes { classes: look.clone(), drains: 1, ..one.clone() },
        ),
        adversary(
            "one look, no second copies, drain",
            Sizes { classes: look.clone(), drains: 1, second_copies: false, ..one.clone() },
        ),
        adversary(
            "one order, an app server replaced",
            Sizes { classes: order.clone(), replacements: 1, ..one.clone() },
        ),
        adversary(
            "two orders, crash, then the first list",
            Sizes { classes: order.clone(), crashes: 1, drains: 1, attempts: 1, servers: 1, ..base.clone() },
        ),
        adversary(
            "one order, list fails, then an old one",
            Sizes { classes: order.clone(), old_lists: 1, drains: 1, attempts: 1, ..one.clone() },
        ),
        adversary(
            "one order, a ban and its end, a drain, a list that fails",
            Sizes {
                classes: order.clone(),
                bans: 1,
                drains: 1,
                old_lists: 1,
                attempts: 1,
                deadline: 1,
                ..one.clone()
            },
        ),
        adversary(
            "two orders, a ban, crash, then the first list",
            Sizes { classes: order.clone(), crashes: 1, bans: 1, attempts: 1, servers: 1, ..base.clone() },
        ),
        adversary(
            "one order that flows, drain, leave",
            Sizes { classes: order.clone(), flows: true, drains: 1, leaves: 1, ..one.clone() },
        ),
        adversary(
            "one keyed report, three app servers in two zones, drain",
            Sizes { classes: vec![Kind::Keyed], servers: 3, drains: 1, ..one.clone() },
        ),
        adversary(
            "one report that nothing names, three app servers in two zones, drain",
            Sizes { classes: vec![Kind::Nameless], servers: 3, drains: 1, ..one.clone() },
        ),
        production(
            "decisions: keyed reports in two zones, drain and leave",
            9,
            Sizes { classes: vec![Kind::Keyed, Kind::Nameless], servers: 3, drains: 1, ..Sizes::default() },
        ),
        adversary(
            "one order, ends told twice",
            Sizes { classes: order.clone(), late_ends: 1, ..one.clone() },
        ),
        adversary(
            "two orders with one id, leave",
            Sizes { classes: order, same_ids: true, leaves: 1, attempts: 1, servers: 1, deadline: 1, ..base },
        ),
    ]
}

/// The full suite with lower depth limits, fast enough to run with every build.
pub fn quick_suite() -> Vec<Exploration> {
    let shrink = |mut exploration: Exploration| {
        exploration.depth = Some(match exploration.chooser {
            ChooserKind::Adversary => 9.min(exploration.depth.unwrap_or(9)),
            ChooserKind::Production => 7,
        });
        exploration
    };
    full_suite().into_iter().map(shrink).collect()
}

/// The exploration that must catch a broken version: the smallest case that contains what the violation needs.
pub fn broken_version(broken: Broken) -> Exploration {
    Exploration {
        name: broken.name(),
        sizes: broken.sizes(),
        chooser: ChooserKind::Adversary,
        depth: None,
        broken,
    }
}

/// A one-line summary of an exploration.
pub fn summary_line(exploration: &Exploration, found: &Found) -> String {
    let depth = if found.cut { format!("{} (cut)", found.depth) } else { format!("{} (all)", found.depth) };
    let seconds = found.elapsed.as_secs_f64();
    let verdict = match found.breaches.first() {
        None => "holds".to_owned(),
        Some(breach) => format!("BROKEN: {}", breach.property),
    };
    format!("{:<52} {:>10} {:>10} {seconds:>8.1}  {verdict}", exploration.name, found.states, depth)
}

/// The header of the summary lines.
pub fn summary_header() -> String {
    format!("{:<52} {:>10} {:>10} {:>8}  verdict", "exploration", "states", "depth", "seconds")
}

/// The path to a violation as numbered steps.
pub fn trace(breach: &Breach) -> String {
    let mut text = format!("{}: {}\n", breach.property, breach.property.description());
    for (at, (time, step)) in breach.steps.iter().enumerate() {
        // Writing to a `String` cannot fail.
        let _ = writeln!(text, "{:>4}. at {time}: {step}", at + 1);
    }
    text
}
