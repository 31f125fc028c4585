//! Monitors of the operators' rules during a run, and the metrics from which the score is computed.

use std::fmt;

use gradepaddle::Micros;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::scenario::{Goal, Scenario};

/// A rule from the operators' brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A request gets no more than one final answer.
    OneAnswer,
    /// A request that a balancer accepted gets its answer in time, unless the balancer ends.
    Answered,
    /// A request that must not run twice runs at most once.
    NoSecondRun,
    /// No attempt or probe goes to an app server later than the grace period after its balancer was told that
    /// it drains or is gone.
    DrainKept,
    /// No cold app server is overloaded until it crashes.
    ColdBorne,
    /// A refused request of an unsafe class has not run, and does not run later.
    HonestRefusal,
}

impl Rule {
    /// All rules, in the order of `RuleMonitor::counts`.
    pub const ALL: [Rule; 6] = [
        Rule::OneAnswer,
        Rule::Answered,
        Rule::NoSecondRun,
        Rule::DrainKept,
        Rule::ColdBorne,
        Rule::HonestRefusal,
    ];
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::OneAnswer => "one final answer",
            Rule::Answered => "answered in time",
            Rule::NoSecondRun => "no second run",
            Rule::DrainKept => "drains kept",
            Rule::ColdBorne => "no cold app server pushed over",
            Rule::HonestRefusal => "refusals are honest",
        })
    }
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// The time, in microseconds since the start of the day.
    pub at: Micros,
    /// The id of the client's request; 0 for a probe.
    pub request: u64,
    /// What was observed.
    pub what: String,
    /// The events of that request, one per line.
    pub history: Vec<String>,
}

/// Breaches beyond this number are only counted.
const MAX_DETAILED_BREACHES: usize = 50;

/// Records breaches of the rules, and the history of one request.
#[derive(Default)]
pub struct RuleMonitor {
    /// The first `MAX_DETAILED_BREACHES` breaches.
    pub breaches: Vec<Breach>,
    /// The number of breaches of each rule.
    pub counts: [u64; Rule::ALL.len()],
    /// The request whose history is recorded.
    pub followed_request: Option<u64>,
    /// The recorded history.
    pub history: Vec<String>,
}

impl RuleMonitor {
    /// Records a breach of a rule.
    pub fn breach(&mut self, rule: Rule, at: Micros, request: u64, what: impl FnOnce() -> String) {
        self.counts[rule as usize] += 1;
        if self.breaches.len() < MAX_DETAILED_BREACHES {
            self.breaches.push(Breach { rule, at, request, what: what(), history: Vec::new() });
        }
        self.note(request, at, || format!("BROKEN: {rule}"));
    }

    /// Adds a line to the history, if this is the request that is followed.
    pub fn note(&mut self, request: u64, at: Micros, what: impl FnOnce() -> String) {
        if self.followed_request == Some(request) {
            self.history.push(format!("{:>12.6} s  {}", at as f64 / 1e6, what()));
        }
    }
}

/// The totals of one class or branch.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupTotals {
    /// Its name.
    pub name: String,
    /// Logical requests.
    pub asked: u64,
    /// Served within the latency target.
    pub served: u64,
    /// Served, but after the latency target.
    pub late: u64,
    /// Ended with a refusal.
    pub refused: u64,
    /// Ended with a failure.
    pub failed: u64,
    /// Given up by the client.
    pub given_up: u64,
    /// Worth of the requests; for a branch, of those within its share only.
    pub worth: f64,
    /// Worth of the requests served within the latency target.
    pub earned: f64,
}

/// How a logical request ended, after all of its retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served, within the latency target or after it.
    Served,
    /// The last try was refused.
    Refused,
    /// The last try failed.
    Failed,
    /// The client's last time-out expired, or the client disconnected.
    GivenUp,
}

/// The totals of one second of the day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondTotals {
    /// Logical requests that arrived.
    pub asked: u64,
    /// Worth of those requests.
    pub worth: f64,
    /// Worth of those served within the latency target, counted in the second of their arrival.
    pub earned: f64,
    /// Attempts sent to app servers.
    pub attempts: u64,
    /// Refusals, counting every try.
    pub refusals: u64,
    /// Failures, counting every try.
    pub failures: u64,
    /// App servers up at the start of the second.
    pub up: u32,
}

/// The metrics of a run.
pub struct Metrics {
    goal: Goal,
    warm_up: Micros,
    /// By class.
    pub classes: Vec<GroupTotals>,
    /// By branch.
    pub branches: Vec<GroupTotals>,
    /// Time from the first try to the answer that served it, in microseconds, by class.
    pub times: Vec<Histogram<u32>>,
    /// By second.
    pub seconds: Vec<SecondTotals>,
    late_fail: f64,
    worth: f64,
    /// Logical requests after the warm-up.
    pub asked: u64,
    /// Attempts sent to another zone.
    pub crossed: u64,
    /// Probes sent.
    pub probes: u64,
    /// Work of all logical requests, in microseconds on a standard core.
    pub offered: f64,
    /// Work done by app servers for attempts whose answer was not used.
    pub wasted: f64,
}

/// The attributes of a logical request that the metrics depend on.
#[derive(Clone, Copy, Debug)]
pub struct RequestInfo {
    /// The index of its class.
    pub class: u16,
    /// The index of its branch.
    pub branch: u16,
    /// When it arrived.
    pub arrived: Micros,
    /// Within its branch's share.
    pub in_share: bool,
    /// Its worth if served in time.
    pub worth: f64,
    /// The latency target.
    pub aim: Micros,
}

/// The score of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Score {
    /// The overall score: the weighted shares of worth served, minus the penalties.
    pub goal: f64,
    /// Share of worth served over the whole day.
    pub whole: f64,
    /// Share of worth served in the worst window.
    pub worst_window: f64,
    /// When the worst window begins, in seconds.
    pub worst_window_at: u32,
    /// Share of worth served of the worst-served class.
    pub worst_class: f64,
    /// Share of worth served of the worst-served branch, counting requests within its share.
    pub worst_branch: f64,
    /// Penalties for late failures, cross-zone attempts, wasted work and probes.
    pub prices: [f64; 4],
}

impl Metrics {
    /// Empty metrics for a scenario.
    ///
    /// # Panics
    ///
    /// Never: the histogram's bounds are constants that its constructor accepts.
    pub fn new(scenario: &Scenario) -> Self {
        let part = |name: &String| GroupTotals { name: name.clone(), ..GroupTotals::default() };
        // 1 µs to 1 h with two significant digits; values outside are clamped to these bounds.
        let times = || Histogram::new_with_bounds(1, 3_600_000_000, 2).expect("bounds that make sense");
        Metrics {
            goal: scenario.goal.clone(),
            warm_up: crate::scenario::seconds(scenario.day.warm_up_s),
            classes: scenario.classes.iter().map(|class| part(&class.name)).collect(),
            branches: scenario.branches.iter().map(|branch| part(&branch.name)).collect(),
            times: scenario.classes.iter().map(|_| times()).collect(),
            seconds: Vec::new(),
            late_fail: 0.0,
            worth: 0.0,
            asked: 0,
            crossed: 0,
            probes: 0,
            offered: 0.0,
            wasted: 0.0,
        }
    }

    /// The totals of the second that contains this time.
    pub fn second(&mut self, at: Micros) -> &mut SecondTotals {
        let at = (at / 1_000_000) as usize;
        if self.seconds.len() <= at {
            self.seconds.resize(at + 1, SecondTotals::default());
        }
        &mut self.seconds[at]
    }

    /// Whether a request that arrives at this time is counted: it is after the warm-up.
    pub fn is_counted(&self, at: Micros) -> bool {
        at >= self.warm_up
    }

    /// Counts the arrival of a logical request.
    pub fn record_arrival(&mut self, request: &RequestInfo) {
        if !self.is_counted(request.arrived) {
            return;
        }
        self.asked += 1;
        self.worth += request.worth;
        let second = self.second(request.arrived);
        second.asked += 1;
        second.worth += request.worth;
        let class = &mut self.classes[request.class as usize];
        class.asked += 1;
        class.worth += request.worth;
        if let Some(branch) = self.branches.get_mut(request.branch as usize) {
            branch.asked += 1;
            branch.worth += if request.in_share { request.worth } else { 0.0 };
        }
    }

    /// Counts the end of a logical request.
    pub fn record_ending(&mut self, request: &RequestInfo, now: Micros, ending: Ending) {
        if !self.is_counted(request.arrived) {
            return;
        }
        let took = now - request.arrived;
        let in_time = ending == Ending::Served && took <= request.aim;
        if !in_time && took > request.aim {
            self.late_fail += request.worth;
        }
        if ending == Ending::Served {
            self.times[request.class as usize].saturating_record(took.max(1));
        }
        let earned = if in_time { request.worth } else { 0.0 };
        self.second(request.arrived).earned += earned;
        let (class, branch) =
            (&mut self.classes[request.class as usize], self.branches.get_mut(request.branch as usize));
        let branch = branch.map(|part| (part, if request.in_share { earned } else { 0.0 }));
        for (part, earned) in [(class, earned)].into_iter().chain(branch) {
            match ending {
                Ending::Served if in_time => part.served += 1,
                Ending::Served => part.late += 1,
                Ending::Refused => part.refused += 1,
                Ending::Failed => part.failed += 1,
                Ending::GivenUp => part.given_up += 1,
            }
            part.earned += earned;
        }
    }

    /// Computes the score.
    pub fn score(&self) -> Score {
        let share = |earned: f64, worth: f64| if worth > 0.0 { earned / worth } else { 1.0 };
        let worst = |parts: &[GroupTotals]| {
            let asked = parts.iter().filter(|part| part.worth > 0.0);
            asked.map(|part| share(part.earned, part.worth)).fold(1.0, f64::min)
        };
        let whole =
            share(self.seconds.iter().map(|s| s.earned).sum(), self.seconds.iter().map(|s| s.worth).sum());
        let from = (self.warm_up.div_ceil(1_000_000) as usize).min(self.seconds.len());
        let until = self.seconds.iter().rposition(|second| second.asked > 0).map_or(0, |last| last + 1);
        let counted = &self.seconds[from..until.max(from)];
        let window = (self.goal.window_s as usize).clamp(1, counted.len().max(1));
        let window_share = |seconds: &[SecondTotals]| {
            share(seconds.iter().map(|s| s.earned).sum(), seconds.iter().map(|s| s.worth).sum())
        };
        let windows =
            counted.windows(window).enumerate().map(|(at, seconds)| (window_share(seconds), at + from));
        let (worst_window, at) = windows.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((whole, from));
        let (worst_class, worst_branch) = (worst(&self.classes), worst(&self.branches));
        let goal = &self.goal;
        let late = goal.late_fail * self.late_fail / self.worth.max(1e-9);
        let prices = [
            late,
            goal.cross_zone * self.crossed as f64 / self.asked.max(1) as f64,
            goal.waste * self.wasted / self.offered.max(1.0),
            goal.probe * self.probes as f64 / self.asked.max(1) as f64,
        ];
        let sum = goal.whole * whole
            + goal.worst_window * worst_window
            + goal.worst_class * worst_class
            + goal.worst_branch * worst_branch;
        Score {
            goal: sum - prices.iter().sum::<f64>(),
            whole,
            worst_window,
            worst_window_at: at as u32,
            worst_class,
            worst_branch,
            prices,
        }
    }
}
