//! `gradepaddle-check`: every order of events in small cases.

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

/// Explores the life of transactions in small cases, on the code that is in service.
///
/// Exits with 1 if a promise is broken, or if a broken version is not caught.
#[derive(Parser)]
#[command(name = "gradepaddle-check", version)]
struct Cli {
    #[command(subcommand)]
    what: Option<What>,
    /// Run a version that is broken on purpose, or `all` of them, and print the shortest way to the breach.
    #[arg(long, value_name = "NAME", value_parser = Wanted::parse)]
    broken: Option<Wanted>,
    /// Explorations that run at a time.
    #[arg(long, default_value_t = std::thread::available_parallelism().map_or(1, usize::from), global = true)]
    threads: usize,
}

#[derive(Subcommand)]
enum What {
    /// The hard cases, each to its end or to its stated depth.
    All,
    /// The same, cut to fit a build.
    Quick,
    /// The list's clock in every order of silence, late lists, failures, drains and moves.
    List,
    /// Keepers of the book under random faults, by seed.
    Book {
        /// How many schedules; seed 0 is the first.
        #[arg(long, default_value_t = 200)]
        seeds: u64,
        /// Play this one alone.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// One case of your own under a chooser that may ask for any action at any time.
    Adversary(One),
    /// One case of your own under the decisions in service.
    Module(One),
}

#[derive(Args)]
struct One {
    #[command(flatten)]
    sizes: Sizes,
    /// Steps from the start; all that there are if left out, which may take very long.
    #[arg(long)]
    depth: Option<usize>,
}

#[derive(Clone)]
enum Wanted {
    All,
    One(Broken),
}

impl Wanted {
    fn parse(text: &str) -> Result<Wanted, String> {
        if text == "all" {
            return Ok(Wanted::All);
        }
        let names: Vec<String> = Broken::all().map(Broken::name).collect();
        let found = Broken::from_str(text, false).ok().filter(|broken| *broken != Broken::Nothing);
        found.map(Wanted::One).ok_or_else(|| format!("{text:?} is none of: all, {}", names.join(", ")))
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let holds = match (cli.broken, cli.what) {
        (Some(Wanted::All), _) => catch_all(),
        (Some(Wanted::One(broken)), _) => catch(broken),
        (None, Some(What::All)) => run(&report::all(), cli.threads) && list() && book(0..200),
        (None, Some(What::Quick)) => run(&report::quick(), cli.threads) && catch_all(),
        (None, Some(What::List)) => list(),
        (None, Some(What::Book { seeds, seed })) => book(seed.map_or(0..seeds, |seed| seed..seed + 1)),
        (None, Some(What::Adversary(one))) => own(one, ChooserKind::Adversary, cli.threads),
        (None, Some(What::Module(one))) => own(one, ChooserKind::Production, cli.threads),
        (None, None) => {
            eprintln!("gradepaddle-check: say what to explore; --help lists it");
            return ExitCode::from(2);
        }
    };
    if holds { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn list() -> bool {
    let found = listing::Case::default().run();
    println!("list's clock: {} distinct states", found.states);
    if let Some(steps) = &found.breach {
        println!("BREACH: {steps:?}");
    }
    found.breach.is_none() && found.learned
}

/// Schedules of 3, 5 and 7 keepers in turn; the first breach ends it.
fn book(seeds: Range<u64>) -> bool {
    let (begun, mut all) = (Instant::now(), Seen::default());
    let count = seeds.end - seeds.start;
    for seed in seeds {
        let keepers = [3, 5, 3, 7][(seed % 4) as usize];
        let run = keepers::Run { seed, keepers, steps: 4_000, broken: keepers::Broken::Nothing };
        match run.play() {
            Ok(seen) => all.add(seen),
            Err(breach) => {
                println!("BREACH with {keepers} keepers: {breach}");
                return false;
            }
        }
    }
    println!("{count} schedules in {:.1} s: {all:?}", begun.elapsed().as_secs_f64());
    true
}

fn own(one: One, chooser: ChooserKind, threads: usize) -> bool {
    if let Err(fault) = one.sizes.check() {
        eprintln!("gradepaddle-check: {fault}");
        return false;
    }
    let (name, broken) = ("own case".to_owned(), Broken::Nothing);
    run(&[Exploration { name, sizes: one.sizes, chooser, depth: one.depth, broken }], threads)
}

fn run(explorations: &[Exploration], threads: usize) -> bool {
    let begun = Instant::now();
    println!("{}", report::head());
    let (mut states, mut holds) = (0, true);
    run_all(explorations, threads, |exploration, found| {
        println!("{}", report::line(exploration, found));
        for breach in &found.breaches {
            print!("{}", report::trace(breach));
        }
        states += found.states;
        holds &= found.breaches.is_empty();
    });
    println!("{states} distinct states in {:.1} s", begun.elapsed().as_secs_f64());
    holds
}

/// The shortest way to what a broken version breaks; false if it is not caught.
fn catch(broken: Broken) -> bool {
    let found = report::broken(broken).run();
    match found.breaches.first() {
        Some(breach) => print!("{}: {}", broken.name(), report::trace(breach)),
        None => println!("{}: NOT CAUGHT in {} states", broken.name(), found.states),
    }
    found.breaches.first().map(|breach| breach.property) == broken.expected_breach()
}

fn catch_all() -> bool {
    println!("{:<24} {:<24} {:>6}", "broken version", "property", "steps");
    let mut caught = true;
    for broken in Broken::all() {
        let found = report::broken(broken).run();
        let breach = found.breaches.first();
        let as_meant = breach.map(|breach| breach.property) == broken.expected_breach();
        let (property, steps) = match breach {
            Some(breach) => (breach.property.name(), breach.steps.len().to_string()),
            None => ("NOT CAUGHT", "-".to_owned()),
        };
        let verdict = if as_meant { "" } else { "  not as meant" };
        println!("{:<24} {property:<24} {steps:>6}{verdict}", broken.name());
        caught &= as_meant;
    }
    caught
}
