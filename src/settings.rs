//! The settings object as operators write it, and its conversion into [`Settings`]. The simulator's
//! adapter gets it in the first message of an instance, the daemon in its configuration file.

use serde::Deserialize;

use crate::api::{Class, DeduplicationScope, Idempotency, Micros, Settings, Tenant};

/// The settings object; unknown fields are ignored.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Config {
    categories: Vec<Category>,
    #[serde(default)]
    realms: Vec<Realm>,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    extra: Extra,
    #[serde(default)]
    failure_domains: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    limits: Limits,
    rules: Rules,
    #[serde(default)]
    fees: Fees,
    #[serde(default)]
    me: u32,
    my_zone: Option<String>,
    #[serde(default = "one")]
    over_share_worth: f64,
    #[serde(default = "one_gateway")]
    peers_total: u32,
    #[serde(default = "one")]
    tick_ms: f64,
    #[serde(default)]
    value_by: String,
    #[serde(default)]
    report: Report,
}

pub(crate) fn one() -> f64 {
    1.0
}

fn usual_conn_idle() -> f64 {
    5_000.0
}

fn usual_dial_timeout() -> f64 {
    250.0
}

fn usual_grace() -> f64 {
    1_000.0
}

fn one_gateway() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Category {
    name: String,
    aim_ms: f64,
    #[serde(default)]
    aim_stretch: f64,
    deadline_ms: f64,
    #[serde(default = "one")]
    points: f64,
    #[serde(default)]
    late_worth: f64,
    effect: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    window_ms: f64,
    failure_domains_only: Option<Vec<String>>,
    runs_on: Option<Vec<String>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Realm {
    name: String,
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct Extra {
    #[serde(default)]
    warm_keys: bool,
}

#[derive(Deserialize, Default)]
struct Report {
    #[serde(default)]
    via: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct Fees {
    #[serde(default)]
    cross_zone: f64,
    #[serde(default)]
    handshake: f64,
    #[serde(default)]
    connection: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    peers: bool,
    #[serde(default)]
    second_copies: bool,
    try_limit: Option<u32>,
    max_retry_after_ms: Option<f64>,
    #[serde(default = "usual_conn_idle")]
    conn_idle_ms: f64,
    #[serde(default = "usual_dial_timeout")]
    dial_timeout_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    cold_from: Option<f64>,
    warm_within_ms: Option<f64>,
    fall_multiple: Option<f64>,
    tip_after_ms: Option<f64>,
    ask_within_ms: Option<f64>,
    #[serde(default = "usual_grace")]
    drain_grace_ms: f64,
    #[serde(default)]
    dropped_stay_open: bool,
}

/// Converts milliseconds, as settings and server lists give them, into microseconds.
pub fn micros_from_ms(ms: f64) -> Micros {
    // The cast saturates: negative and non-finite values become 0.
    (ms * 1000.0).round() as Micros
}

/// The settings of a balancer, with the names behind its indices and the settings of its surroundings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
    /// The settings of the [`crate::Balancer`].
    pub settings: Settings,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the tenants, by index.
    pub tenants: Vec<String>,
    /// Names of the zones, by index; server lists may add to them.
    pub zones: Vec<String>,
    /// Names of the machine types, by index; server lists may add to them.
    pub kinds: Vec<String>,
    /// Servers close a connection that has been idle for this long.
    pub connection_idle_timeout: Micros,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Micros,
    /// How long after a server is reported as draining or gone new requests may still be sent to it.
    pub drain_grace: Micros,
    /// Whether servers report their load.
    pub reports: bool,
    /// Whether balancers may communicate with each other.
    pub peers: bool,
}

impl Config {
    /// Validates and converts the object. A zone or machine type that only a class names is added to
    /// the names.
    ///
    /// # Errors
    ///
    /// The first invalid field, by its name in the object.
    pub fn deployment(&self) -> Result<Deployment, String> {
        let (mut zones, mut kinds) = (self.failure_domains.clone(), self.kinds.clone());
        let limits = &self.limits;
        Ok(Deployment {
            settings: settings(self, &mut zones, &mut kinds)?,
            classes: self.categories.iter().map(|c| c.name.clone()).collect(),
            tenants: self.realms.iter().map(|r| r.name.clone()).collect(),
            zones,
            kinds,
            connection_idle_timeout: micros_from_ms(limits.conn_idle_ms),
            connect_timeout: micros_from_ms(limits.dial_timeout_ms),
            drain_grace: micros_from_ms(self.rules.drain_grace_ms),
            reports: !matches!(self.report.via.as_str(), "" | "off"),
            peers: limits.peers,
        })
    }
}

fn settings(config: &Config, zones: &mut Vec<String>, kinds: &mut Vec<String>) -> Result<Settings, String> {
    let base = Settings::default();
    let places = |list: &Option<Vec<String>>, names: &mut Vec<String>| {
        list.as_ref().map(|l| l.iter().map(|n| intern_name(names, n)).collect())
    };
    let mut classes = Vec::new();
    for c in &config.categories {
        let group = match c.group.as_str() {
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Cell,
            "" | "all" => DeduplicationScope::All,
            other => return Err(format!("config.categories: unknown group {other}")),
        };
        let effect = match c.effect.as_str() {
            "safe" => Idempotency::Safe,
            "keyed" => Idempotency::Keyed { scope: group, window: micros_from_ms(c.window_ms) },
            "unsafe" => Idempotency::Unsafe,
            other => return Err(format!("config.categories: unknown effect {other}")),
        };
        if c.aim_ms < 0.0 || c.deadline_ms < 0.0 || c.window_ms < 0.0 {
            return Err(format!("config.categories: {} has a negative time", c.name));
        }
        classes.push(Class {
            latency_target: micros_from_ms(c.aim_ms),
            latency_target_per_work: c.aim_stretch,
            deadline: micros_from_ms(c.deadline_ms),
            worth: c.points,
            late_worth: c.late_worth,
            idempotency: effect,
            zones: places(&c.failure_domains_only, zones),
            kinds: places(&c.runs_on, kinds),
        });
    }
    let (limits, rules) = (&config.limits, &config.rules);
    let span = |ms: Option<f64>, usual: Micros| ms.map_or(usual, micros_from_ms);
    Ok(Settings {
        classes,
        tenants: config.realms.iter().map(|r| Tenant { quota: r.quota_per_s }).collect(),
        over_quota_worth: config.over_share_worth,
        worth_by_work: config.value_by == "work",
        zone: config.my_zone.as_ref().map(|z| intern_name(zones, z)),
        gateway_index: config.me,
        gateway_count: config.peers_total,
        poll_discovery: config.discovery == "on_request",
        max_poll_interval: span(rules.ask_within_ms, base.max_poll_interval),
        warm_keys: config.extra.warm_keys,
        cancel: limits.cancel,
        hedging: limits.second_copies,
        probes: limits.probes,
        max_attempts: limits.try_limit.unwrap_or(base.max_attempts),
        // Applies even if clients may not honour it: a rejection always carries a retry delay.
        max_retry_after: limits.max_retry_after_ms.map_or(base.max_retry_after, micros_from_ms),
        initial_capacity_share: rules.cold_from.unwrap_or(base.initial_capacity_share),
        max_warm_up_time: span(rules.warm_within_ms, base.max_warm_up_time),
        cold_overload_factor: rules.fall_multiple.unwrap_or(base.cold_overload_factor),
        cold_overload_time: span(rules.tip_after_ms, base.cold_overload_time),
        keep_gone_servers: rules.dropped_stay_open,
        tick: micros_from_ms(config.tick_ms),
        cross_zone_price: config.fees.cross_zone,
        handshake_price: config.fees.handshake,
        connection_price: config.fees.connection,
    })
}

/// The index of a name, which is added if it is new.
pub fn intern_name(names: &mut Vec<String>, name: &str) -> u32 {
    let at = names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });
    at as u32
}
