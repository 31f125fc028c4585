//! Validation of a scenario's fields, and the line on which an invalid field is written.

use std::fmt;

use super::{Effect, Scenario, Trouble, TroubleKind};

/// An invalid field of a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// The field, as in `fleet.servers`.
    pub field: String,
    /// Why it is invalid.
    pub why: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.why)
    }
}

impl std::error::Error for ScenarioError {}

impl Scenario {
    /// Validates the scenario.
    ///
    /// # Errors
    ///
    /// The first field that is out of bounds or contradicts another one.
    pub fn check(&self) -> Result<(), ScenarioError> {
        self.check_fleet_and_load()?;
        self.check_rules()?;
        self.check_classes()?;
        self.troubles.iter().enumerate().try_for_each(|(at, trouble)| self.check_trouble(at, trouble))
    }

    fn check_fleet_and_load(&self) -> Result<(), ScenarioError> {
        let (fleet, load) = (&self.fleet, &self.load);
        within_bounds("day.length_s", self.day.length_s, 1.0, 86_400.0)?;
        within_bounds("day.warm_up_s", self.day.warm_up_s, 0.0, self.day.length_s)?;
        within_bounds("fleet.servers", f64::from(fleet.servers), 1.0, 50_000.0)?;
        within_bounds("fleet.zones", f64::from(fleet.zones), 1.0, 64.0)?;
        within_bounds("fleet.cores", f64::from(fleet.cores), 1.0, 1_024.0)?;
        within_bounds("fleet.speed", fleet.speed, 1e-3, 1e3)?;
        fleet.speeds.iter().try_for_each(|speed| within_bounds("fleet.speeds", *speed, 1e-3, 1e3))?;
        within_bounds("fleet.slots_per_core", f64::from(fleet.slots_per_core), 1.0, 1e4)?;
        within_bounds("fleet.cold_from", fleet.cold_from, 1e-3, 1.0)?;
        within_bounds("fleet.key_gain", fleet.key_gain, 0.0, 0.99)?;
        within_bounds("fleet.error_rate", fleet.error_rate, 0.0, 1.0)?;
        within_bounds("balancers.count", f64::from(self.balancers.count), 1.0, 1_000.0)?;
        within_bounds("load.of_capacity", load.of_capacity, 1e-3, 20.0)?;
        if let Some(rate) = load.per_second {
            within_bounds("load.per_second", rate, 1e-3, 1e7)?;
        }
        within_bounds("load.swing", load.swing, 0.0, 1.0)?;
        within_bounds("load.keys", f64::from(load.keys), 1.0, 1e7)?;
        within_bounds("load.key_zipf", load.key_zipf, 0.0, 5.0)?;
        if let Some(cv) = load.hint_cv {
            within_bounds("load.hint_cv", cv, 0.0, 100.0)?;
        }
        Ok(())
    }

    fn check_rules(&self) -> Result<(), ScenarioError> {
        within_bounds("clients.retries", f64::from(self.clients.retries), 0.0, 100.0)?;
        within_bounds("clients.try_share", self.clients.try_share, 0.01, 1.0)?;
        within_bounds("clients.honour", self.clients.honour, 0.0, 1.0)?;
        within_bounds("probe.work_us", self.probe.work_us, 0.0, 1e9)?;
        within_bounds("probe.timeout_ms", self.probe.timeout_ms, 1e-3, 1e6)?;
        within_bounds("report.period_ms", self.report.period_ms, 1e-3, 1e6)?;
        within_bounds("report.delay_ms", self.report.delay_ms, 0.0, 1e6)?;
        within_bounds("report.noise", self.report.noise, 0.0, 10.0)?;
        within_bounds("rules.max_attempts", f64::from(self.rules.max_attempts), 1.0, 100.0)?;
        within_bounds("discovery.calls_per_s", self.discovery.calls_per_s, 1e-3, 1e6)
    }

    fn check_classes(&self) -> Result<(), ScenarioError> {
        for (at, class) in self.classes.iter().enumerate() {
            let field = |name: &str| format!("class[{at}].{name}");
            within_bounds(&field("share"), class.share, 0.0, 1e6)?;
            within_bounds(&field("work_ms"), class.work_ms, 1e-3, 1e6)?;
            within_bounds(&field("aim_ms"), class.aim_ms, 1e-3, 1e6)?;
            within_bounds(&field("deadline_ms"), class.deadline_ms, class.aim_ms, 1e6)?;
            within_bounds(&field("worth"), class.worth, 0.0, 1e6)?;
            within_bounds(&field("io_ms"), class.io_ms, 0.0, 1e6)?;
            let least = if class.effect == Effect::Keyed { 1e-3 } else { 0.0 };
            within_bounds(&field("window_ms"), class.window_ms, least, 1e6)?;
        }
        if self.classes.iter().map(|class| class.share).sum::<f64>() <= 0.0 {
            return Err(ScenarioError { field: "class".into(), why: "no class has a share above 0".into() });
        }
        Ok(())
    }

    fn check_trouble(&self, at: usize, trouble: &Trouble) -> Result<(), ScenarioError> {
        let field = |name: &str| format!("trouble[{at}].{name}");
        within_bounds(&field("at_s"), trouble.at_s, 0.0, self.day.length_s)?;
        within_bounds(&field("for_s"), trouble.for_s, 0.0, self.day.length_s)?;
        let zone = |name, zone: u32| {
            within_bounds(&field(name), f64::from(zone), 0.0, f64::from(self.fleet.zones - 1))
        };
        match &trouble.kind {
            TroubleKind::ZoneCut { zone: z } | TroubleKind::ZoneRestart { zone: z } => zone("zone", *z)?,
            TroubleKind::LinkLost { from, to } => zone("from", *from).and_then(|()| zone("to", *to))?,
            TroubleKind::HotKey { share, .. }
            | TroubleKind::DiscoveryWrong { share }
            | TroubleKind::BalancerCrash { share }
            | TroubleKind::BalancerRestart { share }
            | TroubleKind::Errors { rate: share, .. }
            | TroubleKind::Resets { rate: share } => {
                within_bounds(&field("share or rate"), *share, 0.0, 1.0)?;
            }
            TroubleKind::Shrink { to, .. } => within_bounds(&field("to"), *to, 0.01, 1.0)?,
            TroubleKind::Slow { factor, .. } | TroubleKind::Surge { factor } => {
                within_bounds(&field("factor"), *factor, 0.01, 1_000.0)?;
            }
            TroubleKind::Neighbour { takes, every_s, .. } => {
                within_bounds(&field("takes"), *takes, 0.0, 0.99)?;
                within_bounds(&field("every_s"), *every_s, 0.01, 86_400.0)?;
            }
            TroubleKind::HeavyTail { class, share, factor } => {
                within_bounds(&field("share"), *share, 0.0, 1.0)?;
                within_bounds(&field("factor"), *factor, 0.01, 1_000.0)?;
                if !self.classes.iter().any(|of| of.name == *class) {
                    return Err(ScenarioError {
                        field: field("class"),
                        why: format!("no class is called {class:?}"),
                    });
                }
            }
            _ => {}
        }
        Ok(())
    }
}

/// Checks that a field lies within its bounds.
fn within_bounds(field: &str, value: f64, least: f64, most: f64) -> Result<(), ScenarioError> {
    if value.is_finite() && (least..=most).contains(&value) {
        return Ok(());
    }
    Err(ScenarioError { field: field.into(), why: format!("{value} is not from {least} to {most}") })
}

/// The line on which a field such as `fleet.servers` or `class[1].share` is written, if it is.
pub(super) fn line_of(text: &str, field: &str) -> Option<usize> {
    let (section, key) = field.rsplit_once('.')?;
    let (name, nth) = match section.split_once('[') {
        Some((name, rest)) => (name, rest.trim_end_matches(']').parse::<usize>().ok()?),
        None => (section, 0),
    };
    let (single, many) = (format!("[{name}]"), format!("[[{name}]]"));
    let mut seen = 0;
    let mut inside = false;
    for (at, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            inside = line == single || (line == many && seen == nth);
            seen += usize::from(line == many);
        }
        let named =
            line.split('=').next().is_some_and(|name| key.split(" or ").any(|key| name.trim() == key));
        if inside && named {
            return Some(at + 1);
        }
    }
    None
}
