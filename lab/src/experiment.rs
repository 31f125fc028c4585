//! Batches of runs over policies and seeds on several threads. The result doesn't depend on the order in
//! which runs finish.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use gradepaddle_emulator::policy::Policy;
use gradepaddle_emulator::result::Outcome;
use gradepaddle_emulator::scenario::Scenario;
use gradepaddle_emulator::{Run, run};
use indicatif::{ProgressBar, ProgressStyle};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, ensure};

use crate::error::{Error, MalformedRangeSnafu, NotANumberSnafu, RangeStepsSnafu};
use crate::stats::Estimate;

/// The parameters of one run.
#[derive(Clone)]
pub struct Job<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// The policy.
    pub policy: Policy,
    /// The seed.
    pub seed: u64,
}

/// Executes all runs on up to `threads` threads. Results are in the order of the jobs.
///
/// # Errors
///
/// The first error, in the order of the jobs: a scenario is invalid, or its run panicked.
pub fn run_all(jobs: &[Job<'_>], threads: usize, show: bool) -> Result<Vec<Run>, Error> {
    let bar = if show { ProgressBar::new(jobs.len() as u64) } else { ProgressBar::hidden() };
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {elapsed} gone, {eta} to go")
    {
        bar.set_style(style);
    }
    let next = AtomicUsize::new(0);
    let (done, results) = mpsc::channel();
    let mut runs: Vec<Option<Result<Run, String>>> = vec![None; jobs.len()];
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, jobs.len().max(1)) {
            let (done, next) = (done.clone(), &next);
            scope.spawn(move || {
                loop {
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    let Some(job) = jobs.get(at) else { return };
                    // The receiver outlives all senders, so sending can't fail.
                    let _ = done.send((at, run(job.scenario, job.policy, job.seed)));
                }
            });
        }
        drop(done);
        for (at, result) in results {
            runs[at] = Some(result);
            bar.inc(1);
        }
    });
    bar.finish_and_clear();
    runs.into_iter()
        .map(|run| run.ok_or(Error::RunPanicked)?.map_err(|reason| Error::RejectedScenario { reason }))
        .collect()
}

/// Results of one policy in one scenario over several seeds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The scenario.
    pub scenario: String,
    /// The policy.
    pub policy: String,
    /// The overall score.
    pub goal: Estimate,
    /// Share of worth served over the whole day.
    pub whole: Estimate,
    /// Share of worth served in the worst window.
    pub worst_window: Estimate,
    /// Share of worth served of the worst-served class.
    pub worst_class: Estimate,
    /// The number of runs in which a rule was broken.
    pub broken: usize,
    /// The number of breaches in all runs.
    pub breaches: u64,
    /// The seed with the lowest score, to reproduce it.
    pub worst_seed: u64,
}

impl Row {
    /// Summarizes the runs of one policy in one scenario.
    pub fn of(outcomes: &[&Outcome]) -> Row {
        let estimate =
            |of: fn(&Outcome) -> f64| Estimate::of(&outcomes.iter().map(|o| of(o)).collect::<Vec<_>>());
        let worst = outcomes.iter().min_by(|a, b| a.score.goal.total_cmp(&b.score.goal));
        Row {
            scenario: outcomes.first().map_or_else(String::new, |o| o.scenario.clone()),
            policy: outcomes.first().map_or_else(String::new, |o| o.policy.clone()),
            goal: estimate(|o| o.score.goal),
            whole: estimate(|o| o.score.whole),
            worst_window: estimate(|o| o.score.worst_window),
            worst_class: estimate(|o| o.score.worst_class),
            broken: outcomes.iter().filter(|o| o.breaches_in_all() > 0).count(),
            breaches: outcomes.iter().map(|o| o.breaches_in_all()).sum(),
            worst_seed: worst.map_or(0, |o| o.seed),
        }
    }
}

/// Runs all policies in one scenario over the same seeds, and so over the same arrivals.
///
/// # Errors
///
/// Those of [`run_all`].
pub fn compare(
    scenario: &Scenario,
    policies: &[Policy],
    seeds: &[u64],
    threads: usize,
    show: bool,
) -> Result<(Vec<Row>, Vec<Outcome>), Error> {
    let jobs: Vec<Job<'_>> = policies
        .iter()
        .flat_map(|policy| seeds.iter().map(|seed| Job { scenario, policy: *policy, seed: *seed }))
        .collect();
    let outcomes: Vec<Outcome> = run_all(&jobs, threads, show)?.into_iter().map(|run| run.outcome).collect();
    let rows = outcomes.chunks(seeds.len().max(1)).map(|some| Row::of(&some.iter().collect::<Vec<_>>()));
    Ok((rows.collect(), outcomes))
}

/// The simulation speed of one run, in wall time on the thread that executed it.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Wall time.
    pub took: Duration,
    /// First tries and retries.
    pub tries: u64,
    /// Events handled.
    pub events: u64,
}

/// Executes one run and measures its duration.
///
/// # Errors
///
/// The scenario is invalid.
pub fn run_timed(scenario: &Scenario, policy: Policy, seed: u64) -> Result<(Run, Speed), Error> {
    let begun = Instant::now();
    let run = run(scenario, policy, seed).map_err(|reason| Error::RejectedScenario { reason })?;
    let speed = Speed { took: begun.elapsed(), tries: run.tries, events: run.events };
    Ok((run, speed))
}

/// Parses the values of a swept parameter: `FROM..TO:STEP`, or a list separated by commas.
///
/// # Errors
///
/// A value is not a number, a range is not `FROM..TO:STEP`, or a range is not ascending in at most 1000
/// steps.
pub fn parse_values(text: &str) -> Result<Vec<f64>, Error> {
    let number = |text: &str| text.trim().parse::<f64>().context(NotANumberSnafu { text });
    let Some((from, rest)) = text.split_once("..") else {
        return text.split(',').map(number).collect();
    };
    let (to, step) = rest.split_once(':').context(MalformedRangeSnafu { text })?;
    let (from, to, step) = (number(from)?, number(to)?, number(step)?);
    ensure!(step > 0.0 && to >= from && (to - from) / step <= 1_000.0, RangeStepsSnafu { text });
    let count = ((to - from) / step + 1e-9).floor() as usize;
    Ok((0..=count).map(|n| from + n as f64 * step).collect())
}

#[cfg(test)]
mod tests;
