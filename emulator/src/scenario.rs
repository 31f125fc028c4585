//! The scenario of a run, read from TOML. Each field has its unit in its name and a default from the
//! operators' brief.

mod fleet;
mod goal;
mod load;
mod trouble;
mod validation;

use gradepaddle::{Class, DeduplicationScope, Idempotency, Micros, Settings, Tenant};
use serde::{Deserialize, Serialize};

pub use fleet::{Balancers, Discovery, Fleet, ListMode, MachineKind, Network, Probe, Report, Reporting};
pub use goal::{Goal, Rules, WorthBy};
pub use load::{
    Branch, Clients, DedupScope, Effect, Load, LoadShape, RequestClass, Shape, default_branches,
    default_classes,
};
pub use trouble::{Trouble, TroubleKind};
pub use validation::ScenarioError;

use validation::line_of;

/// A whole scenario.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// The name shown in reports.
    pub name: String,
    /// A one-line description.
    pub about: String,
    /// The duration of the run.
    pub day: Day,
    /// The app servers.
    pub fleet: Fleet,
    /// The balancers.
    pub balancers: Balancers,
    /// The load: rate, keys and quotas.
    pub load: Load,
    /// How clients retry and disconnect.
    pub clients: Clients,
    /// The discovery service.
    pub discovery: Discovery,
    /// The network.
    pub network: Network,
    /// Probes of app servers.
    pub probe: Probe,
    /// Load reports of app servers.
    pub report: Report,
    /// What balancers may do, and the parameters of the rules.
    pub rules: Rules,
    /// How the score is computed.
    pub goal: Goal,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<RequestClass>,
    /// Branches (tenants) and their shares of capacity.
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
    /// Requests arrive for this long.
    pub length_s: f64,
    /// Requests that arrive before this time are served but not counted.
    pub warm_up_s: f64,
}

impl Default for Day {
    fn default() -> Self {
        Day { length_s: 48.0, warm_up_s: 1.0 }
    }
}

impl Scenario {
    /// Parses a scenario. Errors name the line, and the column or field.
    ///
    /// # Errors
    ///
    /// The text is not valid TOML of this format, or a field is invalid ([`Scenario::check`]).
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let mut scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string().trim_end().to_owned())?;
        if scenario.classes.is_empty() {
            scenario.classes = default_classes();
        }
        if scenario.branches.is_empty() {
            scenario.branches = default_branches();
        }
        scenario.check().map_err(|fault| match line_of(text, &fault.field) {
            Some(line) => format!("line {line}: {fault}"),
            None => fault.to_string(),
        })?;
        Ok(scenario)
    }

    /// The deployment of the operators' brief on a day without troubles.
    pub fn standard() -> Scenario {
        Scenario { classes: default_classes(), branches: default_branches(), ..Scenario::default() }
    }

    /// The settings of the balancer with index `me`.
    pub fn settings(&self, me: u32) -> Settings {
        let class = |class: &RequestClass| Class {
            latency_target: millis(class.aim_ms),
            latency_target_per_work: 0.0,
            deadline: millis(class.deadline_ms),
            worth: class.worth,
            late_worth: 0.0,
            idempotency: match class.effect {
                Effect::Safe => Idempotency::Safe,
                Effect::Keyed => {
                    let group = match class.group {
                        DedupScope::All => DeduplicationScope::All,
                        DedupScope::Zone => DeduplicationScope::Zone,
                        DedupScope::Cell => DeduplicationScope::Cell,
                    };
                    Idempotency::Keyed { scope: group, window: millis(class.window_ms) }
                }
                Effect::Unsafe => Idempotency::Unsafe,
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

    /// Mean work of a request in microseconds on a standard core, if its key is not cached.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        self.classes.iter().map(|class| class.share * class.work_ms * 1000.0).sum::<f64>() / shares
    }

    /// Work that the fleet completes per second when warm, in microseconds on a standard core.
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

    /// The rate, in requests per second, that the whole fleet can answer if no key is ever cached, which the
    /// operators' brief calls its capacity. With cached keys it can do up to twice as much.
    pub fn full_rate(&self) -> f64 {
        self.capacity() / self.mean_work()
    }

    /// The mean rate, in requests per second.
    pub fn rate(&self) -> f64 {
        self.load.per_second.unwrap_or(self.load.of_capacity * self.full_rate())
    }

    /// The quota of each branch, in requests per second.
    pub fn quotas(&self) -> Vec<f64> {
        let all = self.load.quota_of_capacity * self.full_rate();
        self.branches.iter().map(|branch| (branch.share * all).max(1.0)).collect()
    }
}

/// Converts milliseconds of a scenario to microseconds.
pub fn millis(ms: f64) -> Micros {
    // The cast saturates: negative and non-finite values become 0.
    (ms * 1000.0).round() as Micros
}

/// Converts seconds of a scenario to microseconds.
pub fn seconds(s: f64) -> Micros {
    millis(s * 1000.0)
}

#[cfg(test)]
mod tests;
