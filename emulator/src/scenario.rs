//! What a run is made of: read from TOML, each figure with its unit in its name and a default from the
//! operators' brief.

mod fleet;
mod goal;
mod load;
mod trouble;
mod validation;

use gradepaddle::{Class, DeduplicationScope, Idempotency, Micros, Settings, Tenant};
use serde::{Deserialize, Serialize};

pub use fleet::{Balancers, Discovery, Fleet, Listing, MachineKind, Network, Probe, Report, Reporting};
pub use goal::{Goal, Rules, WorthBy};
pub use load::{
    Branch, ClassOf, Clients, Course, Load, Repeats, Shape, Within, usual_branches, usual_classes,
};
pub use trouble::{Trouble, TroubleKind};
pub use validation::Fault;

use validation::line_of;

/// A whole scenario.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// Its name in reports.
    pub name: String,
    /// What it is about, in a line.
    pub about: String,
    /// How long it lasts.
    pub day: Day,
    /// The app servers.
    pub fleet: Fleet,
    /// The balancers.
    pub balancers: Balancers,
    /// What is asked, and how often.
    pub load: Load,
    /// What clients do.
    pub clients: Clients,
    /// Discovery.
    pub discovery: Discovery,
    /// The network.
    pub network: Network,
    /// Probes of app servers.
    pub probe: Probe,
    /// What app servers tell of their load.
    pub report: Report,
    /// What balancers are allowed, and the rules in figures.
    pub rules: Rules,
    /// How the result is counted.
    pub goal: Goal,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<ClassOf>,
    /// Branches and their shares.
    #[serde(rename = "branch")]
    pub branches: Vec<Branch>,
    /// What goes wrong, and when.
    #[serde(rename = "trouble")]
    pub troubles: Vec<Trouble>,
}

/// How long a run lasts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Day {
    /// Requests come for so long.
    pub length_s: f64,
    /// What comes before this is served but not counted.
    pub warm_up_s: f64,
}

impl Default for Day {
    fn default() -> Self {
        Day { length_s: 48.0, warm_up_s: 1.0 }
    }
}

impl Scenario {
    /// Reads a scenario; faults name line, column and field.
    ///
    /// # Errors
    ///
    /// The text is no TOML of this format, or a field makes no sense ([`Scenario::check`]).
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let mut scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string().trim_end().to_owned())?;
        if scenario.classes.is_empty() {
            scenario.classes = usual_classes();
        }
        if scenario.branches.is_empty() {
            scenario.branches = usual_branches();
        }
        scenario.check().map_err(|fault| match line_of(text, &fault.field) {
            Some(line) => format!("line {line}: {fault}"),
            None => fault.to_string(),
        })?;
        Ok(scenario)
    }

    /// The brief's deployment on an ordinary day.
    pub fn usual() -> Scenario {
        Scenario { classes: usual_classes(), branches: usual_branches(), ..Scenario::default() }
    }

    /// What a balancer is told.
    pub fn settings(&self, me: u32) -> Settings {
        let class = |class: &ClassOf| Class {
            latency_target: millis(class.aim_ms),
            latency_target_per_work: 0.0,
            deadline: millis(class.deadline_ms),
            worth: class.worth,
            late_worth: 0.0,
            idempotency: match class.effect {
                Repeats::Safe => Idempotency::Safe,
                Repeats::Keyed => {
                    let group = match class.group {
                        Within::All => DeduplicationScope::All,
                        Within::Zone => DeduplicationScope::Zone,
                        Within::Cell => DeduplicationScope::Cell,
                    };
                    Idempotency::Keyed { scope: group, window: millis(class.window_ms) }
                }
                Repeats::Unsafe => Idempotency::Unsafe,
            },
            zones: None,
            kinds: None,
        };
        let quotas = self.quotas();
        Settings {
            classes: self.classes.iter().map(class).collect(),
            tenants: quotas.into_iter().map(|quota| Tenant { quota }).collect(),
            over_quota_worth: self.load.over_share_worth,
            worth_by_work: self.goal.worth_by == WorthBy::Work,
            zone: Some(me % self.fleet.zones),
            gateway_index: me,
            gateway_count: self.balancers.count,
            poll_discovery: true,
            max_poll_interval: 10_000_000,
            warm_keys: self.fleet.key_gain > 0.0,
            cancel: self.rules.cancel,
            hedging: self.rules.second_copies,
            probes: self.rules.probes,
            max_attempts: self.rules.max_attempts,
            max_retry_after: millis(self.rules.max_pause_ms),
            initial_capacity_share: self.rules.cold_from,
            max_warm_up_time: seconds(self.rules.warm_within_s),
            cold_overload_factor: self.rules.fall_multiple,
            cold_overload_time: seconds(self.rules.fall_s),
            tick: 0,
            cross_zone_price: self.goal.cross_zone,
            ..Settings::default()
        }
    }

    /// Mean work of a request in microseconds, without a warm key.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        self.classes.iter().map(|class| class.share * class.work_ms * 1000.0).sum::<f64>() / shares
    }

    /// Work a second, in microseconds, that the fleet gets done when warm.
    pub fn capacity(&self) -> f64 {
        let (mut parts, mut shares) = (0.0, 0.0);
        for kind in &self.fleet.kinds {
            parts += kind.share * f64::from(kind.cores) * kind.speed;
            shares += kind.share;
        }
        let cores = if shares > 0.0 { parts / shares } else { f64::from(self.fleet.cores) };
        let speeds = &self.fleet.speeds;
        let given = speeds.iter().sum::<f64>() / speeds.len().max(1) as f64;
        let speed = if speeds.is_empty() { self.fleet.speed } else { given };
        f64::from(self.fleet.servers) * cores * speed * 1e6
    }

    /// Requests a second that the whole fleet could answer if no key were ever warm, which is what the
    /// operators' brief calls its capacity. With warm keys it can do up to twice as much.
    pub fn full_rate(&self) -> f64 {
        self.capacity() / self.mean_work()
    }

    /// Requests a second, in the mean.
    pub fn rate(&self) -> f64 {
        self.load.per_second.unwrap_or(self.load.of_capacity * self.full_rate())
    }

    /// Requests a second within each branch's share.
    pub fn quotas(&self) -> Vec<f64> {
        let all = self.load.quota_of_capacity * self.full_rate();
        self.branches.iter().map(|branch| (branch.share * all).max(1.0)).collect()
    }
}

/// Milliseconds of a scenario.
pub fn millis(ms: f64) -> Micros {
    // The cast saturates: negative and non-finite values become 0.
    (ms * 1000.0).round() as Micros
}

/// Seconds of a scenario.
pub fn seconds(s: f64) -> Micros {
    millis(s * 1000.0)
}

#[cfg(test)]
mod tests;
