//! The load: rates, classes of requests, branches and clients.

use serde::{Deserialize, Serialize};

/// The load: rate, keys and quotas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// The mean rate as a share of the fleet's capacity, counted without cached keys.
    pub of_capacity: f64,
    /// Replaces `of_capacity`: the mean rate in requests per second.
    pub per_second: Option<f64>,
    /// The course of the rate over the day.
    pub shape: LoadShape,
    /// Amplitude of the rate's sine wave, relative to the mean.
    pub swing: f64,
    /// Period of that wave.
    pub swing_s: f64,
    /// How much more traffic the first zone gets than the last, relative to the mean.
    pub zone_skew: f64,
    /// Number of distinct keys.
    pub keys: u32,
    /// Zipf exponent of the keys' popularity.
    pub key_zipf: f64,
    /// The sum of the branches' quotas, as a share of the fleet's capacity.
    pub quota_of_capacity: f64,
    /// Factor on the worth of a request beyond its branch's quota.
    pub over_share_worth: f64,
    /// Coefficient of variation of the clients' work hints; no hints if absent.
    pub hint_cv: Option<f64>,
}

/// The course of the rate over the day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadShape {
    /// Constant.
    #[default]
    Steady,
    /// Rises linearly from 0.5 to 1.5 times the mean.
    Ramp,
}

/// How clients retry and disconnect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Maximum number of client retries.
    pub retries: u32,
    /// Time-out of a try, as a share of the class's deadline.
    pub try_share: f64,
    /// Delay before a retry.
    pub backoff_ms: f64,
    /// The share of clients that wait for the retry delay of a refusal.
    pub honour: f64,
    /// The share of tries whose client disconnects at a random time before its time-out.
    pub leaves: f64,
}

/// The distribution of the work of a class's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// Constant.
    Fixed,
    /// Lognormal.
    #[default]
    Lognormal,
    /// Exponential, whatever the coefficient of variation.
    Exp,
    /// Pareto.
    Pareto,
}

/// Whether requests of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// A repeat has no effect within the group of app servers that ran the request first, for a limited time.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// The app servers that share idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DedupScope {
    /// All app servers.
    #[default]
    All,
    /// The app servers of a zone.
    Zone,
    /// The app servers of a cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// Its share of all requests.
    pub share: f64,
    /// Mean work on a standard core, if the key is not cached.
    pub work_ms: f64,
    /// The distribution of the work.
    #[serde(default)]
    pub shape: Shape,
    /// Coefficient of variation of the work.
    #[serde(default)]
    pub cv: f64,
    /// Coefficient of variation of the work between attempts of a request.
    #[serde(default)]
    pub attempt_cv: f64,
    /// Time that a request waits on I/O while it holds its slot.
    #[serde(default)]
    pub io_ms: f64,
    /// The latency target.
    pub aim_ms: f64,
    /// The client's deadline.
    pub deadline_ms: f64,
    /// Worth of a request.
    pub worth: f64,
    /// Whether a request may run more than once.
    pub effect: Effect,
    /// For keyed requests: the app servers on which a repeat has no second effect.
    #[serde(default)]
    pub group: DedupScope,
    /// For keyed requests: how long a repeat has no second effect, from when the first attempt was sent.
    #[serde(default)]
    pub window_ms: f64,
}

/// A branch: one of the tenants that share the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Branch {
    /// Its name.
    pub name: String,
    /// Its quota, as a share of `Load::quota_of_capacity`.
    pub share: f64,
    /// Its traffic relative to its share.
    #[serde(default = "one")]
    pub usage: f64,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            of_capacity: 0.5,
            per_second: None,
            shape: LoadShape::Steady,
            swing: 0.28,
            swing_s: 20.0,
            zone_skew: 0.17,
            keys: 1300,
            key_zipf: 1.0,
            quota_of_capacity: 0.8,
            over_share_worth: 0.05,
            hint_cv: None,
        }
    }
}

impl Default for Clients {
    fn default() -> Self {
        Clients { retries: 3, try_share: 0.48, backoff_ms: 200.0, honour: 0.2, leaves: 0.0 }
    }
}

/// The classes of the operators' brief.
pub fn default_classes() -> Vec<RequestClass> {
    let class = |name: &str, share, work_ms, shape, cv, attempt_cv, aim_ms, deadline_ms, worth, effect| {
        RequestClass {
            name: name.into(),
            share,
            work_ms,
            shape,
            cv,
            attempt_cv,
            aim_ms,
            deadline_ms,
            worth,
            effect,
            io_ms: 0.0,
            group: DedupScope::All,
            window_ms: 0.0,
        }
    };
    vec![
        class("voorraad", 0.38, 92.0, Shape::Pareto, 2.1, 0.35, 1200.0, 5000.0, 1.0, Effect::Safe),
        class("bestelling", 0.33, 95.0, Shape::Pareto, 2.1, 0.25, 2000.0, 6000.0, 2.0, Effect::Unsafe),
        class("afrekening", 0.15, 107.0, Shape::Lognormal, 2.1, 0.37, 2000.0, 6000.0, 5.0, Effect::Unsafe),
        class("bezorging", 0.14, 190.0, Shape::Lognormal, 2.1, 0.32, 2500.0, 6000.0, 5.0, Effect::Unsafe),
    ]
}

/// The branches of the operators' brief.
pub fn default_branches() -> Vec<Branch> {
    let shares = [
        ("utrecht", 0.44),
        ("amersfoort", 0.10),
        ("zwolle", 0.09),
        ("arnhem", 0.08),
        ("apeldoorn", 0.08),
        ("deventer", 0.07),
        ("ede", 0.07),
        ("hilversum", 0.07),
    ];
    shares.into_iter().map(|(name, share)| Branch { name: name.into(), share, usage: 1.0 }).collect()
}

fn one() -> f64 {
    1.0
}
