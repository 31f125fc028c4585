//! What is asked, how often and by whom: rates, classes of requests, branches and clients.

use serde::{Deserialize, Serialize};

/// What is asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// The share of what the fleet can do, counted without warm keys, that is asked for.
    pub of_capacity: f64,
    /// Instead of that: requests a second.
    pub per_second: Option<f64>,
    /// How the rate goes over the day.
    pub shape: Course,
    /// How far it swings round its mean.
    pub swing: f64,
    /// One swing takes so long.
    pub swing_s: f64,
    /// How much more the first zone gets than the last.
    pub zone_skew: f64,
    /// Distinct keys.
    pub keys: u32,
    /// How uneven they are (Zipf's exponent).
    pub key_zipf: f64,
    /// What branches may ask for, as a share of what the fleet can do.
    pub quota_of_capacity: f64,
    /// What a request beyond its branch's share is worth.
    pub over_share_worth: f64,
    /// Clients guess the work of a request, off by this coefficient of variation; without it they don't.
    pub hint_cv: Option<f64>,
}

/// How the rate goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Course {
    /// The same throughout.
    #[default]
    Steady,
    /// From half of its mean to half as much again.
    Ramp,
}

/// What clients do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Retries of their own.
    pub retries: u32,
    /// A try is given up after this share of the class's deadline.
    pub try_share: f64,
    /// They wait so long before they try again.
    pub backoff_ms: f64,
    /// The share that stays away for as long as a refusal asks.
    pub honour: f64,
    /// The share of tries whose client leaves at some moment before it would have given up.
    pub leaves: f64,
}

/// How heavy a tail is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// None: all are the same.
    Fixed,
    /// Lognormal.
    #[default]
    Lognormal,
    /// Exponential, whatever the coefficient of variation.
    Exp,
    /// Pareto.
    Pareto,
}

/// May a class's requests run more than once?
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeats {
    /// Repeats are harmless.
    Safe,
    /// A repeat has no effect within the group of app servers that ran it first, for a while.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// App servers that know of each other's keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Within {
    /// All of them.
    #[default]
    All,
    /// Those of a zone.
    Zone,
    /// Those of a cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassOf {
    /// Its name.
    pub name: String,
    /// Its part of all requests.
    pub share: f64,
    /// What one takes on a standard core, in the mean, without a warm key.
    pub work_ms: f64,
    /// How that is spread.
    #[serde(default)]
    pub shape: Shape,
    /// Its coefficient of variation.
    #[serde(default)]
    pub cv: f64,
    /// That of one attempt beside the next.
    #[serde(default)]
    pub attempt_cv: f64,
    /// One waits on others for so long while it holds its slot.
    #[serde(default)]
    pub io_ms: f64,
    /// Wanted within this.
    pub aim_ms: f64,
    /// Given up after this.
    pub deadline_ms: f64,
    /// What one is worth.
    pub worth: f64,
    /// May it run again?
    pub effect: Repeats,
    /// Where a keyed one may.
    #[serde(default)]
    pub group: Within,
    /// And for how long after its first attempt was sent.
    #[serde(default)]
    pub window_ms: f64,
}

/// A branch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Branch {
    /// Its name.
    pub name: String,
    /// Its share of what the fleet can do.
    pub share: f64,
    /// What it asks for, beside its share.
    #[serde(default = "one")]
    pub usage: f64,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            of_capacity: 0.5,
            per_second: None,
            shape: Course::Steady,
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
pub fn usual_classes() -> Vec<ClassOf> {
    let class =
        |name: &str, share, work_ms, shape, cv, attempt_cv, aim_ms, deadline_ms, worth, effect| ClassOf {
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
            group: Within::All,
            window_ms: 0.0,
        };
    vec![
        class("voorraad", 0.38, 92.0, Shape::Pareto, 2.1, 0.35, 1200.0, 5000.0, 1.0, Repeats::Safe),
        class("bestelling", 0.33, 95.0, Shape::Pareto, 2.1, 0.25, 2000.0, 6000.0, 2.0, Repeats::Unsafe),
        class("afrekening", 0.15, 107.0, Shape::Lognormal, 2.1, 0.37, 2000.0, 6000.0, 5.0, Repeats::Unsafe),
        class("bezorging", 0.14, 190.0, Shape::Lognormal, 2.1, 0.32, 2500.0, 6000.0, 5.0, Repeats::Unsafe),
    ]
}

/// The branches of the operators' brief.
pub fn usual_branches() -> Vec<Branch> {
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
