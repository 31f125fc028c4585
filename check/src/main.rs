//! `gradepaddle-check`: model checking of small cases, in every order of events.

#![forbid(unsafe_code)]

use std::ops::Range;
use std::process::ExitCode;
use std::time::Instant;

use clap::{Args, Parser, Subcommand, ValueEnum};
use gradepaddle_check::broken::Broken;
use gradepaddle_check::explore::{ChooserKind, Exploration, run_all};
use gradepaddle_check::keepers::{self, Seen};
use gradepaddle_check::listing;
use gradepaddle_check::report;
use gradepaddle_check::sizes::Sizes;

/// Explores the life cycle of transactions in small cases, on the production code.
///
/// Exits with status 1 if a property is violated or a broken version is not caught.
#[derive(Parser)]
#[command(name = "gradepaddle-check", version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    /// Run a version that is broken on purpose, or `all` of them, and print the shortest path to the violation.
    #[arg(long, value_name = "NAME", value_parser = BrokenSelection::parse)]
    broken: Option<BrokenSelection>,
    /// Number of explorations that run concurrently.
    #[arg(long, default_value_t = std::thread::available_parallelism().map_or(1, usize::from), global = true)]
    threads: usize,
}

#[derive(Subcommand)]
enum Command {
    /// Run the full suite, each case completely or to its depth limit.
    All,
    /// Run the full suite with lower depth limits, and check that the broken versions are caught.
    Quick,
    /// Explore the service table's clock in every order of silence, late tables, failures, drains and moves.
    List,
    /// Run the book's keepers under random fault schedules, by seed.
    Book {
        /// Number of schedules; the first has seed 0.
        #[arg(long, default_value_t = 200)]
        seeds: u64,
        /// Run only the schedule with this seed.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Run a custom case under a chooser that may request any action at any time.
    Adversary(CaseArgs),
    /// Run a custom case under the production balancer.
    Module(CaseArgs),
}

#[derive(Args)]
struct CaseArgs {
    #[command(flatten)]
    sizes: Sizes,
    /// Maximum number of steps from the initial state; no limit if omitted, which may take very long.
    #[arg(long)]
    depth: Option<usize>,
}

#[derive(Clone)]
enum BrokenSelection {
    All,
    Version(Broken),
}

impl BrokenSelection {
    fn parse(text: &str) -> Result<BrokenSelection, String> {
        if text == "all" {
            return Ok(BrokenSelection::All);
        }
        let names: Vec<String> = Broken::all().map(Broken::name).collect();
        let found = Broken::from_str(text, false).ok().filter(|broken| *broken != Broken::Nothing);
        found
            .map(BrokenSelection::Version)
            .ok_or_else(|| format!("unknown version {text:?}; expected one of: all, {}", names.join(", ")))
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let holds = match (cli.broken, cli.command) {
        (Some(BrokenSelection::All), _) => check_all_broken_versions(),
        (Some(BrokenSelection::Version(broken)), _) => check_broken_version(broken),
        (None, Some(Command::All)) => {
            run_explorations(&report::full_suite(), cli.threads) && check_list_clock() && check_book(0..200)
        }
        (None, Some(Command::Quick)) => {
            run_explorations(&report::quick_suite(), cli.threads) && check_all_broken_versions()
        }
        (None, Some(Command::List)) => check_list_clock(),
        (None, Some(Command::Book { seeds, seed })) => {
            check_book(seed.map_or(0..seeds, |seed| seed..seed + 1))
        }
        (None, Some(Command::Adversary(args))) => {
            check_custom_case(args, ChooserKind::Adversary, cli.threads)
        }
        (None, Some(Command::Module(args))) => check_custom_case(args, ChooserKind::Production, cli.threads),
        (None, None) => {
            eprintln!("gradepaddle-check: no subcommand given; see --help");
            return ExitCode::from(2);
        }
    };
    if holds { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn check_list_clock() -> bool {
    let found = listing::Case::default().run();
    println!("list's clock: {} distinct states", found.states);
    if let Some(steps) = &found.breach {
        println!("BREACH: {steps:?}");
    }
    found.breach.is_none() && found.learned
}

/// Runs schedules with 3, 5 and 7 keepers in rotation, up to the first violation.
fn check_book(seeds: Range<u64>) -> bool {
    let (started, mut all) = (Instant::now(), Seen::default());
    let count = seeds.end - seeds.start;
    for seed in seeds {
        let keepers = [3, 5, 3, 7][(seed % 4) as usize];
        let run = keepers::Run { seed, keepers, steps: 4_000, broken: keepers::Broken::Nothing };
        match run.execute() {
            Ok(seen) => all.add(seen),
            Err(breach) => {
                println!("BREACH with {keepers} keepers: {breach}");
                return false;
            }
        }
    }
    println!("{count} schedules in {:.1} s: {all:?}", started.elapsed().as_secs_f64());
    true
}

fn check_custom_case(args: CaseArgs, chooser: ChooserKind, threads: usize) -> bool {
    if let Err(error) = args.sizes.check() {
        eprintln!("gradepaddle-check: {error}");
        return false;
    }
    let (name, broken) = ("own case".to_owned(), Broken::Nothing);
    run_explorations(&[Exploration { name, sizes: args.sizes, chooser, depth: args.depth, broken }], threads)
}

fn run_explorations(explorations: &[Exploration], threads: usize) -> bool {
    let started = Instant::now();
    println!("{}", report::summary_header());
    let (mut states, mut holds) = (0, true);
    run_all(explorations, threads, |exploration, found| {
        println!("{}", report::summary_line(exploration, found));
        for breach in &found.breaches {
            print!("{}", report::trace(breach));
        }
        states += found.states;
        holds &= found.breaches.is_empty();
    });
    println!("{states} distinct states in {:.1} s", started.elapsed().as_secs_f64());
    holds
}

/// Prints the shortest path to the violation of a broken version. False if the expected violation is not found.
fn check_broken_version(broken: Broken) -> bool {
    let found = report::broken_version(broken).run();
    match found.breaches.first() {
        Some(breach) => print!("{}: {}", broken.name(), report::trace(breach)),
        None => println!("{}: NOT CAUGHT in {} states", broken.name(), found.states),
    }
    found.breaches.first().map(|breach| breach.property) == broken.expected_breach()
}

fn check_all_broken_versions() -> bool {
    println!("{:<24} {:<24} {:>6}", "broken version", "property", "steps");
    let mut caught = true;
    for broken in Broken::all() {
        let found = report::broken_version(broken).run();
        let breach = found.breaches.first();
        let as_expected = breach.map(|breach| breach.property) == broken.expected_breach();
        let (property, steps) = match breach {
            Some(breach) => (breach.property.name(), breach.steps.len().to_string()),
            None => ("NOT CAUGHT", "-".to_owned()),
        };
        let verdict = if as_expected { "" } else { "  not the expected property" };
        println!("{:<24} {property:<24} {steps:>6}{verdict}", broken.name());
        caught &= as_expected;
    }
    caught
}
