//! The rules, watched while a run goes on, and the account of what was worth how much.

use std::fmt;

use gradepaddle::Micros;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::scenario::{Goal, Scenario};

/// A rule of the operators' brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A request gets no more than one final answer.
    OneAnswer,
    /// A request that a balancer took, and that lived on, gets its answer in time.
    Answered,
    /// A request that must not run twice does not.
    NoSecondRun,
    /// Nothing new to an app server later than the grace after its balancer was told that it drains or is
    /// gone.
    DrainKept,
    /// No cold app server is pushed over.
    ColdBorne,
    /// A refused request of an unsafe class has not run and does not run.
    HonestRefusal,
}

impl Rule {
    /// All of them.
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
    /// Which.
    pub rule: Rule,
    /// When, in microseconds.
    pub at: Micros,
    /// The request, by the number of its try.
    pub request: u64,
    /// What was seen.
    pub what: String,
    /// What had happened to that request, line by line.
    pub history: Vec<String>,
}

/// Breaches beyond these are counted only.
const KEPT: usize = 50;

/// Watches the rules.
#[derive(Default)]
pub struct Judge {
    /// The first ones.
    pub breaches: Vec<Breach>,
    /// How many of each rule.
    pub counts: [u64; Rule::ALL.len()],
    /// The request whose history is written down.
    pub followed: Option<u64>,
    /// That history.
    pub history: Vec<String>,
}

impl Judge {
    /// A rule was broken.
    pub fn breach(&mut self, rule: Rule, at: Micros, request: u64, what: impl FnOnce() -> String) {
        self.counts[rule as usize] += 1;
        if self.breaches.len() < KEPT {
            self.breaches.push(Breach { rule, at, request, what: what(), history: Vec::new() });
        }
        self.note(request, at, || format!("BROKEN: {rule}"));
    }

    /// Something happened to a request.
    pub fn note(&mut self, request: u64, at: Micros, what: impl FnOnce() -> String) {
        if self.followed == Some(request) {
            self.history.push(format!("{:>12.6} s  {}", at as f64 / 1e6, what()));
        }
    }
}

/// What is counted of one class or branch.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Its name.
    pub name: String,
    /// First tries.
    pub asked: u64,
    /// Of those: served within the aim.
    pub served: u64,
    /// Served, but after the aim.
    pub late: u64,
    /// Ended with a refusal.
    pub refused: u64,
    /// Ended with a failure.
    pub failed: u64,
    /// Given up by the client.
    pub given_up: u64,
    /// Worth asked for, within the branch's share.
    pub worth: f64,
    /// Worth served.
    pub earned: f64,
}

/// How a first try ended, its retries included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served within its aim, or after it.
    Served,
    /// Refused last.
    Refused,
    /// Failed last.
    Failed,
    /// Its client's time was over.
    GivenUp,
}

/// A second of the day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// First tries that came.
    pub asked: u64,
    /// Worth of those.
    pub worth: f64,
    /// Worth of those that were served in time, in the second in which they came.
    pub earned: f64,
    /// Attempts.
    pub attempts: u64,
    /// Refusals, of all tries.
    pub refusals: u64,
    /// Failures, of all tries.
    pub failures: u64,
    /// App servers that are up.
    pub up: u32,
}

/// The account of a run.
pub struct Account {
    goal: Goal,
    warm_up: Micros,
    /// By class.
    pub classes: Vec<Part>,
    /// By branch.
    pub branches: Vec<Part>,
    /// From the first try to the answer that served it, in microseconds, by class.
    pub times: Vec<Histogram<u32>>,
    /// By second.
    pub seconds: Vec<Second>,
    late_fail: f64,
    worth: f64,
    /// First tries that count.
    pub asked: u64,
    /// Attempts that crossed zones.
    pub crossed: u64,
    /// Probes.
    pub probes: u64,
    /// Work that was asked for, and work that brought no answer.
    pub offered: f64,
    /// See `offered`.
    pub wasted: f64,
}

/// What a request is, as far as it is counted.
#[derive(Clone, Copy, Debug)]
pub struct Counted {
    /// Its class's position.
    pub class: u16,
    /// Its branch's position.
    pub branch: u16,
    /// When it came.
    pub arrived: Micros,
    /// Within its branch's share.
    pub in_share: bool,
    /// What it is worth.
    pub worth: f64,
    /// Wanted within this.
    pub aim: Micros,
}

/// The figures that a day is judged by.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Score {
    /// Worth served over worth asked for, less the prices: the one figure.
    pub goal: f64,
    /// The whole day.
    pub whole: f64,
    /// Its worst window.
    pub worst_window: f64,
    /// When that began, in seconds.
    pub worst_window_at: u32,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served branch, within its share.
    pub worst_branch: f64,
    /// What came off for failing late, for crossing zones, for work wasted and for probes.
    pub prices: [f64; 4],
}

impl Account {
    /// An empty one.
    ///
    /// # Panics
    ///
    /// Never: the histogram's bounds are constants that its constructor accepts.
    pub fn new(scenario: &Scenario) -> Self {
        let part = |name: &String| Part { name: name.clone(), ..Part::default() };
        // 1 µs to an hour at two digits; values outside are held at the ends.
        let times = || Histogram::new_with_bounds(1, 3_600_000_000, 2).expect("bounds that make sense");
        Account {
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

    /// The second in which this happens.
    pub fn second(&mut self, at: Micros) -> &mut Second {
        let at = (at / 1_000_000) as usize;
        if self.seconds.len() <= at {
            self.seconds.resize(at + 1, Second::default());
        }
        &mut self.seconds[at]
    }

    /// Does what comes at this time count?
    pub fn counts(&self, at: Micros) -> bool {
        at >= self.warm_up
    }

    /// A first try comes.
    pub fn asked(&mut self, of: &Counted) {
        if !self.counts(of.arrived) {
            return;
        }
        self.asked += 1;
        self.worth += of.worth;
        let second = self.second(of.arrived);
        second.asked += 1;
        second.worth += of.worth;
        let class = &mut self.classes[of.class as usize];
        class.asked += 1;
        class.worth += of.worth;
        if let Some(branch) = self.branches.get_mut(of.branch as usize) {
            branch.asked += 1;
            branch.worth += if of.in_share { of.worth } else { 0.0 };
        }
    }

    /// A first try ends.
    pub fn ended(&mut self, of: &Counted, now: Micros, ending: Ending) {
        if !self.counts(of.arrived) {
            return;
        }
        let took = now - of.arrived;
        let in_time = ending == Ending::Served && took <= of.aim;
        if !in_time && took > of.aim {
            self.late_fail += of.worth;
        }
        if ending == Ending::Served {
            self.times[of.class as usize].saturating_record(took.max(1));
        }
        let earned = if in_time { of.worth } else { 0.0 };
        self.second(of.arrived).earned += earned;
        let (class, branch) =
            (&mut self.classes[of.class as usize], self.branches.get_mut(of.branch as usize));
        let branch = branch.map(|part| (part, if of.in_share { earned } else { 0.0 }));
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

    /// The figures.
    pub fn score(&self) -> Score {
        let share = |earned: f64, worth: f64| if worth > 0.0 { earned / worth } else { 1.0 };
        let worst = |parts: &[Part]| {
            let asked = parts.iter().filter(|part| part.worth > 0.0);
            asked.map(|part| share(part.earned, part.worth)).fold(1.0, f64::min)
        };
        let whole =
            share(self.seconds.iter().map(|s| s.earned).sum(), self.seconds.iter().map(|s| s.worth).sum());
        let from = (self.warm_up.div_ceil(1_000_000) as usize).min(self.seconds.len());
        let until = self.seconds.iter().rposition(|second| second.asked > 0).map_or(0, |last| last + 1);
        let counted = &self.seconds[from..until.max(from)];
        let window = (self.goal.window_s as usize).clamp(1, counted.len().max(1));
        let of = |seconds: &[Second]| {
            share(seconds.iter().map(|s| s.earned).sum(), seconds.iter().map(|s| s.worth).sum())
        };
        let windows = counted.windows(window).enumerate().map(|(at, seconds)| (of(seconds), at + from));
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
