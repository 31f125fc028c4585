//! What comes out of a run: one value that is written as JSON, the same to the last digit for equal
//! scenario, seed and build. Nothing in it depends on how fast the run was.

use gradepaddle::Micros;
use serde::{Deserialize, Serialize};

use crate::judge::{Account, Breach, Judge, Part, Rule, Score, Second};
use crate::scenario::{Scenario, TroubleKind};

/// The version of the format: readers refuse another.
pub const SCHEMA: u32 = 2;

/// The result of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// [`SCHEMA`].
    pub schema: u32,
    /// The scenario's name.
    pub scenario: String,
    /// Who chose.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// How many balancers.
    pub balancers: u32,
    /// How many app servers at the start.
    pub servers: u32,
    /// Requests a second that were meant.
    pub rate: f64,
    /// The figures.
    pub score: Score,
    /// First tries that count.
    pub asked: u64,
    /// Attempts that crossed zones.
    pub crossed: u64,
    /// Probes.
    pub probes: u64,
    /// Work asked for and work wasted, in microseconds.
    pub work: [f64; 2],
    /// By class.
    pub classes: Vec<Part>,
    /// Times to the answer by class, in milliseconds.
    pub times: Vec<Times>,
    /// By branch.
    pub branches: Vec<Part>,
    /// Broken rules, the first ones.
    pub breaches: Vec<Breach>,
    /// How often each rule was broken.
    pub broken: Vec<(Rule, u64)>,
    /// Actions that the guard did not let through.
    pub defects: u64,
    /// By second.
    pub seconds: Vec<Second>,
    /// Troubles by name, with when they begin and end, in seconds.
    pub troubles: Vec<(String, f64, f64)>,
    /// Requests held for each core, by row of app servers and by second; below 0 where none is up.
    pub held: Vec<Vec<f32>>,
    /// Share of capacity, in the same way.
    pub warmth: Vec<Vec<f32>>,
    /// How many app servers stand behind a row.
    pub per_row: usize,
}

/// Times to the answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Times {
    /// The class.
    pub name: String,
    /// How many answers.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Half are below.
    pub p50: f64,
    /// Nine of ten.
    pub p90: f64,
    /// Ninety-nine of a hundred.
    pub p99: f64,
    /// All but one of a thousand.
    pub p999: f64,
    /// By share in percent, for a plot of the whole course.
    pub course: Vec<(f64, f64)>,
}

/// What is seen of app servers once a second.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    /// By second, by app server.
    rows: Vec<Vec<Option<(f32, f32)>>>,
}

impl Samples {
    /// One look: requests held for each core and warmth, or none where it is down.
    pub fn add(&mut self, servers: impl Iterator<Item = Option<(f64, f64)>>) {
        self.rows.push(servers.map(|one| one.map(|(held, warm)| (held as f32, warm as f32))).collect());
    }

    /// By row of at most so many, by second: requests held, warmth, and app servers behind a row.
    fn condense(&self, most: usize) -> (Vec<Vec<f32>>, Vec<Vec<f32>>, usize) {
        let servers = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let per_row = servers.div_ceil(most).max(1);
        let mean = |second: &Vec<Option<(f32, f32)>>, row: usize, of: fn(&(f32, f32)) -> f32| {
            let some = second.iter().skip(row * per_row).take(per_row).flatten();
            let (sum, count) = some.map(of).fold((0.0, 0), |(sum, count), x| (sum + x, count + 1));
            // Two digits are enough to be seen.
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
    /// From what was counted.
    pub(crate) fn new(
        scenario: &Scenario,
        policy: &str,
        seed: u64,
        account: Account,
        judge: Judge,
        samples: Samples,
        defects: u64,
    ) -> Self {
        let score = account.score();
        let mut breaches = judge.breaches;
        if judge.followed.is_some()
            && let Some(first) = breaches.first_mut()
        {
            first.history = judge.history;
        }
        let ms = |us: u64| us as f64 / 1000.0;
        let times = account.times.iter().zip(&account.classes).map(|(times, class)| {
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
            asked: account.asked,
            crossed: account.crossed,
            probes: account.probes,
            work: [account.offered, account.wasted],
            times,
            classes: account.classes,
            branches: account.branches,
            breaches,
            broken: Rule::ALL.into_iter().map(|rule| (rule, judge.counts[rule as usize])).collect(),
            defects,
            seconds: account.seconds,
            troubles: scenario.troubles.iter().map(span).collect(),
            held,
            warmth,
            per_row,
        }
    }

    /// How many first tries ended in each way: served in time, served late, refused, failed, given up.
    pub fn endings(&self) -> [u64; 5] {
        let sum = |of: fn(&Part) -> u64| self.classes.iter().map(of).sum();
        [sum(|p| p.served), sum(|p| p.late), sum(|p| p.refused), sum(|p| p.failed), sum(|p| p.given_up)]
    }

    /// Rules broken in all.
    pub fn breaches_in_all(&self) -> u64 {
        self.broken.iter().map(|(_, count)| count).sum()
    }

    /// How long the run was, in microseconds.
    pub fn length(&self) -> Micros {
        self.seconds.len() as Micros * 1_000_000
    }
}
