//! The result of a run, written as JSON. It is identical for the same scenario, seed and build, and nothing
//! in it depends on how long the simulation took.

use gradepaddle::Micros;
use serde::{Deserialize, Serialize};

use crate::evaluation::{Breach, GroupTotals, Metrics, Rule, RuleMonitor, Score, SecondTotals};
use crate::scenario::{Scenario, TroubleKind};

/// The version of the format. Readers reject other versions.
pub const SCHEMA: u32 = 2;

/// The result of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// [`SCHEMA`].
    pub schema: u32,
    /// The scenario's name.
    pub scenario: String,
    /// The policy's name.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// The number of balancers.
    pub balancers: u32,
    /// The number of app servers at the start.
    pub servers: u32,
    /// The configured mean rate, in requests per second.
    pub rate: f64,
    /// The score.
    pub score: Score,
    /// Logical requests after the warm-up.
    pub asked: u64,
    /// Attempts sent to another zone.
    pub crossed: u64,
    /// Probes sent.
    pub probes: u64,
    /// Work of all requests and wasted work, in microseconds on a standard core.
    pub work: [f64; 2],
    /// Totals by class.
    pub classes: Vec<GroupTotals>,
    /// Response times by class, in milliseconds.
    pub times: Vec<Times>,
    /// Totals by branch.
    pub branches: Vec<GroupTotals>,
    /// The first breaches of rules, in detail.
    pub breaches: Vec<Breach>,
    /// The number of breaches of each rule.
    pub broken: Vec<(Rule, u64)>,
    /// Actions of the policy that the guard rejected.
    pub defects: u64,
    /// Totals by second.
    pub seconds: Vec<SecondTotals>,
    /// Troubles: name, start and end in seconds.
    pub troubles: Vec<(String, f64, f64)>,
    /// Requests held per core, by row of app servers and second; negative where none of the row is up.
    pub held: Vec<Vec<f32>>,
    /// Share of full capacity reached in the warm-up, in the same layout.
    pub warmth: Vec<Vec<f32>>,
    /// The number of app servers that a row averages.
    pub per_row: usize,
}

/// Response times of a class, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Times {
    /// The class's name.
    pub name: String,
    /// The number of served requests.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// 50th percentile.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Percentiles for a plot of the distribution: percent, time.
    pub course: Vec<(f64, f64)>,
}

/// Samples of all app servers, taken once a second.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    /// By second and app server: requests held per core and warmth; none where it is down.
    rows: Vec<Vec<Option<(f32, f32)>>>,
}

impl Samples {
    /// Adds one sample of all app servers: requests held per core and warmth, or none where one is down.
    pub fn add(&mut self, servers: impl Iterator<Item = Option<(f64, f64)>>) {
        self.rows.push(servers.map(|one| one.map(|(held, warm)| (held as f32, warm as f32))).collect());
    }

    /// Averages the app servers into at most `most` rows. Returns requests held and warmth by row and second,
    /// and the number of app servers per row.
    fn condense(&self, most: usize) -> (Vec<Vec<f32>>, Vec<Vec<f32>>, usize) {
        let servers = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let per_row = servers.div_ceil(most).max(1);
        let mean = |second: &Vec<Option<(f32, f32)>>, row: usize, of: fn(&(f32, f32)) -> f32| {
            let some = second.iter().skip(row * per_row).take(per_row).flatten();
            let (sum, count) = some.map(of).fold((0.0, 0), |(sum, count), x| (sum + x, count + 1));
            // Two decimal places are enough for a plot.
            if count == 0 { -1.0 } else { (sum / count as f32 * 100.0).round() / 100.0 }
        };
        let table = |of: fn(&(f32, f32)) -> f32| {
            let row = |row| self.rows.iter().map(|second| mean(second, row, of)).collect();
            (0..servers.div_ceil(per_row)).map(row).collect()
        };
        (table(|one| one.0), table(|one| one.1), per_row)
    }
}

const PERCENT: [f64; 16] =
    [1.0, 5.0, 10.0, 20.0, 30.0, 40.0, 50.0, 60.0, 70.0, 80.0, 90.0, 95.0, 98.0, 99.0, 99.5, 99.9];

impl Outcome {
    /// Assembles the result of a run.
    pub(crate) fn new(
        scenario: &Scenario,
        policy: &str,
        seed: u64,
        metrics: Metrics,
        rule_monitor: RuleMonitor,
        samples: Samples,
        defects: u64,
    ) -> Self {
        let score = metrics.score();
        let mut breaches = rule_monitor.breaches;
        if rule_monitor.followed_request.is_some()
            && let Some(first) = breaches.first_mut()
        {
            first.history = rule_monitor.history;
        }
        let ms = |us: u64| us as f64 / 1000.0;
        let times = metrics.times.iter().zip(&metrics.classes).map(|(times, class)| {
            let at = |percent: f64| ms(times.value_at_percentile(percent));
            Times {
                name: class.name.clone(),
                count: times.len(),
                mean: times.mean() / 1000.0,
                p50: at(50.0),
                p90: at(90.0),
                p99: at(99.0),
                p999: at(99.9),
                course: PERCENT.map(|percent| (percent, at(percent))).to_vec(),
            }
        });
        let times = times.collect();
        let (held, warmth, per_row) = samples.condense(100);
        let span = |trouble: &crate::scenario::Trouble| {
            let ends = match trouble.kind {
                TroubleKind::Growth { .. } => trouble.at_s,
                TroubleKind::Shrink { .. } => scenario.day.length_s,
                _ => trouble.at_s + trouble.for_s,
            };
            (trouble.kind.name().to_owned(), trouble.at_s, ends)
        };
        Outcome {
            schema: SCHEMA,
            scenario: scenario.name.clone(),
            policy: policy.to_owned(),
            seed,
            balancers: scenario.balancers.count,
            servers: scenario.fleet.servers,
            rate: scenario.rate(),
            score,
            asked: metrics.asked,
            crossed: metrics.crossed,
            probes: metrics.probes,
            work: [metrics.offered, metrics.wasted],
            times,
            classes: metrics.classes,
            branches: metrics.branches,
            breaches,
            broken: Rule::ALL.into_iter().map(|rule| (rule, rule_monitor.counts[rule as usize])).collect(),
            defects,
            seconds: metrics.seconds,
            troubles: scenario.troubles.iter().map(span).collect(),
            held,
            warmth,
            per_row,
        }
    }

    /// The number of logical requests by ending: served in time, served late, refused, failed, given up.
    pub fn endings(&self) -> [u64; 5] {
        let sum = |of: fn(&GroupTotals) -> u64| self.classes.iter().map(of).sum();
        [sum(|p| p.served), sum(|p| p.late), sum(|p| p.refused), sum(|p| p.failed), sum(|p| p.given_up)]
    }

    /// The number of breaches of all rules.
    pub fn breaches_in_all(&self) -> u64 {
        self.broken.iter().map(|(_, count)| count).sum()
    }

    /// The simulated duration, in microseconds.
    pub fn length(&self) -> Micros {
        self.seconds.len() as Micros * 1_000_000
    }
}
