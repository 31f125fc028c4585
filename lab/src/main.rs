//! `gradepaddle-lab`: the command-line tool for experiments on the emulator.

#![forbid(unsafe_code)]

use std::hint::black_box;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, Parser, Subcommand};
use gradepaddle::{
    Action, Arrival, AttemptEnd, Balancer, Class, Event, Idempotency, ListKind, Outcome, Server, ServerState,
    Settings,
};
use gradepaddle_emulator::policy::Policy;
use gradepaddle_emulator::scenario::Scenario;
use gradepaddle_lab::experiment::{Job, Row, compare, parse_values, run_all, run_timed};
use gradepaddle_lab::plot::{Bars, Line, Lines};
use gradepaddle_lab::stats::Estimate;
use gradepaddle_lab::{Error, file, fleet, plot, report};

/// Runs experiments on the emulator: single runs, comparisons, sweeps and plots.
#[derive(Parser)]
#[command(name = "gradepaddle-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scenario once.
    Simulate {
        /// A scenario file, or the name of one under scenarios/.
        scenario: PathBuf,
        /// Seed; equal seeds give equal runs.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Policy to run.
        #[arg(long, default_value = "module")]
        policy: Policy,
        /// Folder to write JSON, CSV, plots and an HTML page to.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Compare policies on the same arrivals.
    Compare {
        /// Scenario files, or names under scenarios/; all under scenarios/ by default.
        scenarios: Vec<PathBuf>,
        /// Policies to compare.
        #[arg(long, value_delimiter = ',', default_values_t = Policy::ALL.map(|policy| policy.name().to_owned()))]
        policies: Vec<String>,
        #[command(flatten)]
        batch: BatchArgs,
    },
    /// Vary one or two parameters of a scenario.
    Sweep {
        /// A scenario file, or the name of one under scenarios/.
        scenario: PathBuf,
        /// `SECTION.FIELD=FROM..TO:STEP` or `SECTION.FIELD=A,B,C`; give it twice for two parameters.
        #[arg(long = "vary", required = true, num_args = 1)]
        vary: Vec<String>,
        /// Policies to run.
        #[arg(long, value_delimiter = ',', default_value = "module")]
        policies: Vec<String>,
        #[command(flatten)]
        batch: BatchArgs,
    },
    /// Redraw the plots and the page of a result.
    Plot {
        /// The folder that holds result.json.
        folder: PathBuf,
    },
    /// List the scenarios.
    Scenarios {
        /// The folder that holds them.
        #[arg(long, default_value = "scenarios")]
        folder: PathBuf,
    },
    /// Run real processes in real time, with the load and faults of a scenario file.
    Fleet {
        /// A scenario file, such as those under scenarios/fleet/.
        scenario: PathBuf,
        /// Balancer program; by default the one in this program's folder.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Folder to write JSON to.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Start stand-in app servers, discovery, three processes and traffic, and print example requests.
    Demo {
        /// Balancer program; by default the one in this program's folder.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Duration in seconds, unless it is interrupted before.
        #[arg(long, default_value_t = 600)]
        seconds: u64,
    },
    /// Measure the time of a decision and the end of its attempt by number of app servers.
    Cost {
        /// Numbers of app servers.
        #[arg(long, value_delimiter = ',', default_values_t = [10, 30, 100, 300, 1_000, 3_000, 10_000])]
        servers: Vec<u32>,
        /// Folder to write CSV and the plot to.
        #[arg(long)]
        out: Option<PathBuf>,
    },
}

#[derive(Args)]
struct BatchArgs {
    /// Number of seeds, from 1 on.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Number of parallel runs.
    #[arg(long, default_value_t = std::thread::available_parallelism().map_or(1, usize::from))]
    threads: usize,
    /// Folder to write JSON, CSV and plots to.
    #[arg(long)]
    out: Option<PathBuf>,
}

impl BatchArgs {
    fn seeds(&self) -> Vec<u64> {
        (1..=self.seeds.max(1)).collect()
    }
}

fn main() -> ExitCode {
    match run_command(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("gradepaddle-lab: {error}");
            ExitCode::from(2)
        }
    }
}

fn policies(names: &[String]) -> Result<Vec<Policy>, Error> {
    names.iter().map(|name| name.parse().map_err(|reason| Error::UnknownPolicy { reason })).collect()
}

/// Runs a command. Returns false if the production policy broke a rule.
fn run_command(command: Command) -> Result<bool, Error> {
    match command {
        Command::Simulate { scenario, seed, policy, out } => {
            let scenario = file::scenario(&scenario)?;
            let (run, speed) = run_timed(&scenario, policy, seed)?;
            print!("{}", report::summary(&run.outcome));
            let seconds = speed.took.as_secs_f64();
            println!(
                "{} tries and {} events in {seconds:.2} s: {:.0} simulated requests a second",
                speed.tries,
                speed.events,
                speed.tries as f64 / seconds
            );
            if let Some(out) = out {
                report::write(&out, &run.outcome)?;
            }
            Ok(policy != Policy::Module || run.outcome.breaches_in_all() == 0)
        }
        Command::Compare { scenarios, policies: names, batch } => {
            compare_policies(&scenarios, &policies(&names)?, &batch)
        }
        Command::Sweep { scenario, vary, policies: names, batch } => {
            sweep(&scenario, &vary, &policies(&names)?, &batch)?;
            Ok(true)
        }
        Command::Plot { folder } => {
            let outcome = file::read(&folder.join("result.json"))?;
            report::draw(&folder, &outcome)?;
            Ok(true)
        }
        Command::Scenarios { folder } => {
            for (path, scenario) in file::all(&folder)? {
                let name =
                    path.file_stem().map_or_else(String::new, |stem| stem.to_string_lossy().into_owned());
                println!("{name:<24} {}", scenario.about);
            }
            Ok(true)
        }
        Command::Fleet { scenario, program, out } => {
            let program = fleet::program(program.as_deref())?;
            let outcome = fleet::run(&fleet::Scenario::read(&scenario)?, &program)?;
            print!("{}", fleet::summary(&outcome));
            if let Some(out) = out {
                file::create_folder(&out)?;
                file::write_json(&out.join("fleet.json"), &outcome)?;
            }
            Ok(outcome.breaches.is_empty())
        }
        Command::Demo { program, seconds } => {
            fleet::demo(&fleet::program(program.as_deref())?, Duration::from_secs(seconds))?;
            Ok(true)
        }
        Command::Cost { servers, out } => {
            cost(&servers, out.as_deref())?;
            Ok(true)
        }
    }
}

fn compare_policies(scenarios: &[PathBuf], policies: &[Policy], batch: &BatchArgs) -> Result<bool, Error> {
    let all: Vec<Scenario> = if scenarios.is_empty() {
        file::all(Path::new("scenarios"))?.into_iter().map(|(_, scenario)| scenario).collect()
    } else {
        scenarios.iter().map(|path| file::scenario(path)).collect::<Result<_, _>>()?
    };
    let mut rows: Vec<Row> = Vec::new();
    for scenario in &all {
        let (some, _) = compare(scenario, policies, &batch.seeds(), batch.threads, true)?;
        println!("{}\n\n{}", scenario.name, report::table(&some));
        if let Some(out) = &batch.out {
            file::create_folder(out)?;
            plot::save(out, &format!("compare-{}", scenario.name), &Bars(&some))?;
        }
        rows.extend(some);
    }
    if all.len() > 1 {
        println!("{}", report::matrix(&rows));
    }
    if let Some(out) = &batch.out {
        file::write_json(&out.join("compare.json"), &rows)?;
        file::write(&out.join("compare.csv"), &report::rows_csv(&rows))?;
        file::write(&out.join("compare.md"), &report::matrix(&rows))?;
    }
    Ok(!rows.iter().any(|row| row.policy == Policy::Module.name() && row.broken > 0))
}

fn sweep(path: &Path, vary: &[String], policies: &[Policy], batch: &BatchArgs) -> Result<(), Error> {
    let text = file::text(path)?;
    let ranges: Vec<(String, Vec<f64>)> = vary
        .iter()
        .map(|one| {
            let (field, range) =
                one.split_once('=').ok_or_else(|| Error::MalformedVariation { text: one.clone() })?;
            Ok((field.to_owned(), parse_values(range)?))
        })
        .collect::<Result<_, Error>>()?;
    let (first, second) = match &ranges[..] {
        [one] => (one, None),
        [one, two] => (one, Some(two)),
        _ => return Err(Error::VariationCount),
    };
    let outer: Vec<Option<f64>> =
        second.map_or(vec![None], |(_, values)| values.iter().copied().map(Some).collect());
    let mut lines = Vec::new();
    let mut csv = format!("policy,{},{},goal,half,least,broken\n", first.0, second.map_or("-", |two| &two.0));
    for policy in policies {
        for other in &outer {
            let set = |text: &str, field: &str, value: f64| file::with_field(text, field, value);
            let base = match (other, second) {
                (Some(value), Some((field, _))) => set(&text, field, *value)?,
                _ => text.clone(),
            };
            let scenarios: Vec<Scenario> = first
                .1
                .iter()
                .map(|value| set(&base, &first.0, *value).and_then(|text| file::parse(&text, path)))
                .collect::<Result<_, _>>()?;
            let seeds = batch.seeds();
            let jobs: Vec<Job<'_>> = scenarios
                .iter()
                .flat_map(|scenario| seeds.iter().map(|seed| Job { scenario, policy: *policy, seed: *seed }))
                .collect();
            let runs = run_all(&jobs, batch.threads, true)?;
            let mut points = Vec::new();
            for (value, some) in first.1.iter().zip(runs.chunks(seeds.len())) {
                let row = Row::of(&some.iter().map(|run| &run.outcome).collect::<Vec<_>>());
                let second = other.map_or_else(|| "-".to_owned(), |value| value.to_string());
                csv += &format!(
                    "{},{value},{second},{:.5},{:.5},{:.5},{}\n",
                    policy.name(),
                    row.goal.mean,
                    row.goal.half,
                    row.goal.least,
                    row.broken
                );
                points.push((*value, row.goal));
            }
            let name = match (other, second) {
                (Some(value), Some((field, _))) => format!("{}, {field} {value}", policy.name()),
                _ => policy.name().to_owned(),
            };
            lines.push(Line { name, points });
        }
    }
    print!("{csv}");
    if let Some(out) = &batch.out {
        file::create_folder(out)?;
        file::write(&out.join("sweep.csv"), &csv)?;
        let title = format!("{} over {}", path.display(), first.0);
        let (x, y) = (first.0.clone(), "the one figure".to_owned());
        plot::save(out, "sweep", &Lines { title, x, y, lines: &lines, logarithmic: false })?;
    }
    Ok(())
}

/// Time of one decision and the end of its attempt, in microseconds: the mean of the middle five of nine
/// rounds.
fn decision_cost(servers: u32) -> Result<Estimate, Error> {
    const HOUR: u64 = 3_600_000_000;
    let base = Settings::default().classes.remove(0);
    let class = Class { latency_target: HOUR, deadline: HOUR, idempotency: Idempotency::Safe, ..base };
    let settings = Settings { classes: vec![class], gateway_count: 3, ..Settings::default() };
    let mut balancer = Balancer::new(settings, 7).map_err(|source| Error::Settings { source })?;
    let server = |n: u32| Server {
        id: format!("s{n}").into(),
        zone: n % 3,
        kind: 0,
        cell: n / 6,
        state: ServerState::Ready,
        weight: 1.0,
        started: None,
    };
    let mut out: Vec<Action> = Vec::new();
    let list = Event::List { kind: ListKind::Full, servers: (0..servers).map(server).collect() };
    balancer.handle(1, list, &mut out);
    let (mut now, mut number) = (1_000_000, 0u64);
    let mut round = |count: u64| {
        let begun = Instant::now();
        for _ in 0..count {
            number += 1;
            now += 50;
            let (id, key) = (format!("r{number}"), format!("k{}", number * 2_654_435_761 % 1_000));
            out.clear();
            let arrival = Arrival {
                id: id.as_str().into(),
                class: 0,
                tenant: None,
                ttl: HOUR,
                work_hint: None,
                key: Some(&key),
                run_once: false,
            };
            balancer.handle(now, Event::Request(arrival), &mut out);
            black_box(&out);
            let outcome = Outcome::Ok;
            let ended = AttemptEnd {
                request: &id,
                attempt: 0,
                outcome,
                took: 40,
                request_finished: true,
                report: None,
            };
            balancer.handle(now + 40, Event::AttemptEnded(ended), &mut out);
        }
        begun.elapsed().as_secs_f64() * 1e6 / count as f64
    };
    let count = (2_000_000 / u64::from(servers.max(10))).clamp(200, 50_000);
    round(count);
    let mut rounds: Vec<f64> = (0..9).map(|_| round(count)).collect();
    rounds.sort_by(f64::total_cmp);
    // The middle rounds only: interference from the system makes a round longer, never shorter.
    Ok(Estimate::of(&rounds[2..7]))
}

fn cost(servers: &[u32], out: Option<&Path>) -> Result<(), Error> {
    let mut csv = "servers,us_per_decision,half\n".to_owned();
    let mut points = Vec::new();
    for count in servers {
        let cost = decision_cost(*count)?;
        csv += &format!("{count},{:.3},{:.3}\n", cost.mean, cost.half);
        points.push((f64::from(*count), cost));
    }
    print!("{csv}");
    if let Some(out) = out {
        file::create_folder(out)?;
        file::write(&out.join("cost.csv"), &csv)?;
        let lines = [Line { name: "one decision with its end".into(), points }];
        let title = "cost of a decision against the number of app servers".to_owned();
        let (x, y) = ("app servers".to_owned(), "microseconds".to_owned());
        plot::save(out, "cost", &Lines { title, x, y, lines: &lines, logarithmic: true })?;
    }
    Ok(())
}
