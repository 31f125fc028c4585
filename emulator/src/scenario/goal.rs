//! What balancers may do, and how the score is computed.

use serde::{Deserialize, Serialize};

/// What balancers may do, and the parameters of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// The maximum number of attempts per request.
    pub max_attempts: u32,
    /// Hedging is allowed, where the class allows repeats.
    pub second_copies: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// App servers may be probed.
    pub probes: bool,
    /// Grace period after a balancer was told that an app server drains or is gone; no attempt or probe may
    /// go to it later.
    pub drain_grace_ms: f64,
    /// The least share of its capacity with which a cold app server starts, as balancers are told.
    pub cold_from: f64,
    /// The longest warm-up of a cold app server, as balancers are told.
    pub warm_within_s: f64,
    /// A cold app server that is sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... within a window of this length crashes.
    pub fall_s: f64,
    /// The longest retry delay that a refused client is told.
    pub max_pause_ms: f64,
    /// An answer may come this long after its client gave up before it counts as overdue.
    pub slack_ms: f64,
}

/// The weights and penalties of the score.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Goal {
    /// Weight of the whole day.
    pub whole: f64,
    /// Weight of the worst window.
    pub worst_window: f64,
    /// Weight of the worst-served class.
    pub worst_class: f64,
    /// Weight of the worst-served branch, within its share.
    pub worst_branch: f64,
    /// The length of a window.
    pub window_s: u32,
    /// Penalty if all requests failed after their latency target.
    pub late_fail: f64,
    /// Penalty if each request crossed zones once.
    pub cross_zone: f64,
    /// Penalty if as much work was wasted as was requested.
    pub waste: f64,
    /// Penalty for one probe per request.
    pub probe: f64,
    /// What the worth of a request within a class depends on.
    pub worth_by: WorthBy,
}

/// What the worth of a request within a class depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorthBy {
    /// All requests of a class have the same worth.
    #[default]
    Request,
    /// The worth is proportional to the request's work.
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
