//! What balancers are allowed, and how a result is counted.

use serde::{Deserialize, Serialize};

/// What balancers are allowed, and the rules in figures.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Attempts for a request.
    pub max_attempts: u32,
    /// A second copy may be out, where the class allows a repeat.
    pub second_copies: bool,
    /// Attempts may be withdrawn.
    pub cancel: bool,
    /// App servers may be probed.
    pub probes: bool,
    /// Nothing new goes to an app server so long after the balancer was told that it drains or is gone.
    pub drain_grace_ms: f64,
    /// What balancers are told of cold app servers: the least they start with.
    pub cold_from: f64,
    /// And the longest that they take.
    pub warm_within_s: f64,
    /// Sent more than this many times what it can do ...
    pub fall_multiple: f64,
    /// ... over this long, a cold app server falls over.
    pub fall_s: f64,
    /// The longest pause that a refused client is told.
    pub max_pause_ms: f64,
    /// An answer may come so long after its client gave up.
    pub slack_ms: f64,
}

/// How a result is counted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Goal {
    /// Weight of the whole day.
    pub whole: f64,
    /// Weight of its worst window.
    pub worst_window: f64,
    /// Weight of the worst-served class.
    pub worst_class: f64,
    /// Weight of the worst-served branch, within its share.
    pub worst_branch: f64,
    /// How long a window is.
    pub window_s: u32,
    /// Price of all failing only after its aim.
    pub late_fail: f64,
    /// Price of each request crossing zones once.
    pub cross_zone: f64,
    /// Price of as much work wasted as was asked for.
    pub waste: f64,
    /// Price of one probe for each request.
    pub probe: f64,
    /// What makes one request of a class worth more than another.
    pub worth_by: WorthBy,
}

/// What makes one request of a class worth more than another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorthBy {
    /// Nothing.
    #[default]
    Request,
    /// Its work.
    Work,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            max_attempts: 6,
            second_copies: true,
            cancel: true,
            probes: false,
            drain_grace_ms: 1000.0,
            cold_from: 0.36,
            warm_within_s: 7.7,
            fall_multiple: 3.0,
            fall_s: 2.0,
            max_pause_ms: 2000.0,
            slack_ms: 70.0,
        }
    }
}

impl Default for Goal {
    fn default() -> Self {
        Goal {
            whole: 0.35,
            worst_window: 0.35,
            worst_class: 0.2,
            worst_branch: 0.1,
            window_s: 10,
            late_fail: 0.05,
            cross_zone: 0.021,
            waste: 0.02,
            probe: 0.01,
            worth_by: WorthBy::Request,
        }
    }
}
