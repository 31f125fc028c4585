//! Runs of real balancer processes from a scenario file, measured in real time: requests served per second
//! while faults are active, and the time until service recovers.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use gradepaddle_standins::books::{Answer, Books, Fact, Health, Took};
use gradepaddle_standins::fleet::{Fleet, Plan};
use gradepaddle_standins::on_one_thread;
use gradepaddle_standins::relay::{CLEAR, Way};
use gradepaddle_standins::server::Make;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, ensure};
use tokio::time::Instant;

use crate::error::{
    DecodeFleetScenarioSnafu, Error, FleetScenarioSnafu, FleetSnafu, MissingProgramSnafu, OutOfBoundsSnafu,
    UnnamedProgramSnafu,
};

/// The version of the result format.
pub const SCHEMA: u32 = 1;
/// Service has recovered after this many consecutive seconds ...
const RECOVERY_WINDOW_S: usize = 5;
/// ... in which the share served is at most this much below the one before the first fault.
const RECOVERY_TOLERANCE: f64 = 0.02;
/// How long the front takes to detect that a process has died.
const FRONT_DETECTION_DELAY: Duration = Duration::from_millis(1500);

/// A fleet, its load and its faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// A one-line description.
    pub about: String,
    /// Number of balancer processes.
    pub processes: usize,
    /// Number of app servers, assigned to the zones round-robin.
    pub servers: usize,
    /// Number of zones.
    pub zones: usize,
    /// Time that a request takes at an app server.
    pub work_ms: f64,
    /// Concurrent requests in work per app server.
    pub slots: usize,
    /// Queue length per app server.
    pub queue: usize,
    /// Request rate, per second.
    pub per_second: f64,
    /// Duration of the run.
    pub length_s: f64,
    /// Faults, with their times.
    #[serde(rename = "fault")]
    pub faults: Vec<Fault>,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            about: String::new(),
            processes: 3,
            servers: 6,
            zones: 3,
            work_ms: 20.0,
            slots: 8,
            queue: 32,
            per_second: 200.0,
            length_s: 20.0,
            faults: Vec::new(),
        }
    }
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Start time.
    pub at_s: f64,
    /// Duration.
    #[serde(default)]
    pub for_s: f64,
    /// The kind of fault, with its parameters.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// The kinds of faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// A share of the processes is killed, and restarted together at the end of the fault.
    Kill {
        /// The share of processes.
        share: f64,
    },
    /// A share of the processes is paused, and resumed at the end of the fault.
    Pause {
        /// The share of processes.
        share: f64,
    },
    /// Discovery fails every call.
    DiscoveryDown {},
    /// Each process is cut off from a third of the app servers, a different third for neighbouring processes;
    /// optionally in one direction only.
    CutOff {
        /// Requests arrive, but answers are lost.
        #[serde(default)]
        one_way: bool,
    },
    /// All app servers are replaced one after the other over the duration: each drains, and a new one starts.
    Replace {},
}

impl Scenario {
    /// Reads a scenario file. Errors name the line and field.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is not a valid scenario, or has a field out of bounds.
    pub fn read(path: &Path) -> Result<Scenario, Error> {
        Scenario::parse(&crate::file::text(path)?).context(FleetScenarioSnafu { path })
    }

    fn parse(text: &str) -> Result<Scenario, Error> {
        let scenario: Scenario = toml::from_str(text).context(DecodeFleetScenarioSnafu)?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), Error> {
        let within = |field: &str, value: f64, least: f64, most: f64| {
            ensure!((least..=most).contains(&value), OutOfBoundsSnafu { field, value, least, most });
            Ok(())
        };
        within("processes", self.processes as f64, 1.0, 1_000.0)?;
        within("servers", self.servers as f64, 1.0, 1_000.0)?;
        within("zones", self.zones as f64, 1.0, 64.0)?;
        within("work_ms", self.work_ms, 0.0, 10_000.0)?;
        within("slots", self.slots as f64, 1.0, 10_000.0)?;
        within("per_second", self.per_second, 0.1, 20_000.0)?;
        within("length_s", self.length_s, 1.0, 600.0)?;
        for (at, fault) in self.faults.iter().enumerate() {
            within(&format!("fault[{at}].at_s"), fault.at_s, 0.0, self.length_s)?;
            within(&format!("fault[{at}].for_s"), fault.for_s, 0.0, self.length_s)?;
            if let FaultKind::Kill { share } | FaultKind::Pause { share } = fault.kind {
                within(&format!("fault[{at}].share"), share, 0.0, 1.0)?;
            }
        }
        Ok(())
    }
}

/// The totals of one second, by the time at which requests were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Requests that a process accepted.
    pub asked: u64,
    /// Served requests.
    pub served: u64,
    /// Refused requests.
    pub refused: u64,
    /// Failed requests.
    pub failed: u64,
    /// Requests lost with their process or given up by the client.
    pub lost: u64,
    /// Requests that reached no process.
    pub missed: u64,
}

impl Second {
    fn share(&self) -> f64 {
        self.served as f64 / (self.asked + self.missed).max(1) as f64
    }
}

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResourceUsage {
    /// Resident memory, in MB.
    pub memory_mb: f64,
    /// Open file descriptors.
    pub descriptors: f64,
    /// CPU time, in seconds.
    pub cpu_s: f64,
}

/// The result of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// [`SCHEMA`].
    pub schema: u32,
    /// The scenario of the run.
    pub scenario: Scenario,
    /// Time until all processes were ready.
    pub ready_s: f64,
    /// Totals by second.
    pub seconds: Vec<Second>,
    /// Share of all requests that were served, including those that reached no process.
    pub served: f64,
    /// Time from the end of the last fault until service has recovered; none if it did not recover within the
    /// run or there was no fault.
    pub back_s: Option<f64>,
    /// Attempts at the most loaded app server relative to the mean, in windows of 100 ms: mean and maximum
    /// over the run.
    pub herding: [f64; 2],
    /// Resource usage of the processes: mean and maximum.
    pub takes: [ResourceUsage; 2],
    /// The first breaches of rules, with their histories.
    pub breaches: Vec<String>,
}

/// The balancer program: the given path, or `gradepaddle` in this program's folder.
///
/// # Errors
///
/// The file does not exist, or no path is given and this program's own path is unknown.
pub fn program(named: Option<&Path>) -> Result<PathBuf, Error> {
    let beside = || {
        let own = std::env::current_exe().ok()?;
        Some(own.parent()?.join("gradepaddle"))
    };
    let path = named.map(Path::to_path_buf).or_else(beside).context(UnnamedProgramSnafu)?;
    ensure!(path.is_file(), MissingProgramSnafu { path });
    Ok(path)
}

/// Runs a scenario in real time.
///
/// # Errors
///
/// A process, an app server or a link cannot be started, or a fault cannot be injected.
pub fn run(scenario: &Scenario, program: &Path) -> Result<Outcome, Error> {
    on_one_thread(run_on_fleet(scenario, program)).context(FleetSnafu)
}

fn server_settings(scenario: &Scenario) -> Make {
    let work = Duration::from_secs_f64(scenario.work_ms / 1000.0);
    Make { slots: scenario.slots, queue: scenario.queue, work, ..Make::default() }
}

/// The app servers that a process is cut off from: every third one, shifted by the process's index.
fn unreachable_servers(index: usize, servers: usize) -> impl Iterator<Item = usize> {
    (0..servers).filter(move |server| (server + index).is_multiple_of(3))
}

async fn run_on_fleet(scenario: &Scenario, program: &Path) -> io::Result<Outcome> {
    let cuts = scenario.faults.iter().any(|fault| matches!(fault.kind, FaultKind::CutOff { .. }));
    let links = if cuts {
        (0..scenario.processes)
            .flat_map(|p| unreachable_servers(p, scenario.servers).map(move |s| (p, s)))
            .collect()
    } else {
        Vec::new()
    };
    let plan = Plan {
        program: program.to_owned(),
        processes: scenario.processes,
        servers: scenario.servers,
        zones: scenario.zones,
        make: server_settings(scenario),
        links,
    };
    let started = Instant::now();
    let mut fleet = Fleet::start(plan).await?;
    let ready_s = started.elapsed().as_secs_f64();
    let start = fleet.ledger.now();
    let started = Instant::now();
    let load = fleet.traffic(Duration::from_secs_f64(1.0 / scenario.per_second));
    let mut fault_changes: Vec<(f64, usize, bool)> = Vec::new();
    for (at, fault) in scenario.faults.iter().enumerate() {
        fault_changes.push((fault.at_s, at, true));
        fault_changes.push((fault.at_s + fault.for_s, at, false));
    }
    fault_changes.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (when, at, begins) in fault_changes {
        tokio::time::sleep_until(started + Duration::from_secs_f64(when)).await;
        apply_fault(&mut fleet, scenario, &scenario.faults[at], begins).await?;
    }
    tokio::time::sleep_until(started + Duration::from_secs_f64(scenario.length_s)).await;
    let takes = resource_usage(&fleet);
    load.set(false);
    let breaches: Vec<String> = fleet.verdict().await.iter().take(20).map(ToString::to_string).collect();
    let seconds = fleet.ledger.read(|books| by_second(books, start, scenario.length_s as usize));
    let herding = fleet.ledger.read(|books| herding(books, start, scenario.servers));
    let sum = |of: fn(&Second) -> u64| seconds.iter().map(of).sum::<u64>() as f64;
    let served = sum(|s| s.served) / sum(|s| s.asked + s.missed).max(1.0);
    let back_s = recovery_time(&seconds, &scenario.faults);
    let scenario = scenario.clone();
    Ok(Outcome { schema: SCHEMA, scenario, ready_s, seconds, served, back_s, herding, takes, breaches })
}

/// The indices of the first processes that make up this share.
fn first_processes(fleet: &Fleet, share: f64) -> Vec<usize> {
    (0..(fleet.processes.len() as f64 * share).round() as usize).collect()
}

async fn apply_fault(fleet: &mut Fleet, scenario: &Scenario, fault: &Fault, begins: bool) -> io::Result<()> {
    match (&fault.kind, begins) {
        (FaultKind::Kill { share }, true) => {
            for index in first_processes(fleet, *share) {
                fleet.kill(index, FRONT_DETECTION_DELAY)?;
            }
        }
        (FaultKind::Kill { share }, false) => fleet.start_processes(&first_processes(fleet, *share)).await?,
        (FaultKind::Pause { share }, _) => {
            for process in
                first_processes(fleet, *share).into_iter().filter_map(|index| fleet.processes[index].as_ref())
            {
                if begins {
                    process.pause()?;
                } else {
                    process.resume()?;
                }
            }
        }
        (FaultKind::DiscoveryDown {}, begins) => fleet.discovery.set_up(!begins),
        (FaultKind::CutOff { one_way }, begins) => {
            for (_, link) in &fleet.links {
                match (begins, one_way) {
                    (true, true) => link.set(CLEAR, Way::Silent),
                    (true, false) => link.set(Way::Silent, Way::Silent),
                    (false, _) => link.set(CLEAR, CLEAR),
                }
            }
        }
        (FaultKind::Replace {}, true) => {
            let each = Duration::from_secs_f64(fault.for_s / scenario.servers as f64);
            for old in 0..scenario.servers {
                fleet.add_server(0).await?;
                fleet.list(old, Health::Draining);
                tokio::time::sleep(each).await;
                fleet.list(old, Health::Removed);
            }
        }
        (FaultKind::Replace {}, false) => {}
    }
    Ok(())
}

fn by_second(books: &Books, start: u64, length: usize) -> Vec<Second> {
    let mut seconds = vec![Second::default(); length];
    let mut asked: BTreeMap<u64, usize> = BTreeMap::new();
    for (at, fact) in books.facts() {
        let second = (at.saturating_sub(start) / 1_000_000) as usize;
        match fact {
            Fact::Asked { request, .. } if second < length => {
                seconds[second].asked += 1;
                asked.insert(*request, second);
            }
            // The retry counts as a request of its own.
            Fact::Unread { request } => {
                if let Some(second) = asked.remove(request) {
                    seconds[second].asked -= 1;
                }
            }
            Fact::Missed { .. } if second < length => seconds[second].missed += 1,
            Fact::Heard { request, answer } => {
                let Some(second) = asked.remove(request) else { continue };
                let second = &mut seconds[second];
                match answer {
                    Answer::Served(_) => second.served += 1,
                    Answer::Refused => second.refused += 1,
                    Answer::Failed(_) | Answer::Doubled => second.failed += 1,
                    Answer::Lost | Answer::GivenUp => second.lost += 1,
                }
            }
            _ => {}
        }
    }
    seconds
}

/// Time from the end of the last fault to the first of [`RECOVERY_WINDOW_S`] consecutive seconds served as
/// well as before the first fault.
fn recovery_time(seconds: &[Second], faults: &[Fault]) -> Option<f64> {
    let first = faults.iter().map(|fault| fault.at_s).min_by(f64::total_cmp)?;
    let last = faults.iter().map(|fault| fault.at_s + fault.for_s).max_by(f64::total_cmp)?;
    let before = &seconds[..(first as usize).min(seconds.len())];
    let baseline = before.iter().map(Second::share).sum::<f64>() / before.len().max(1) as f64;
    let from = last.ceil() as usize;
    let full = |run: &[Second]| run.iter().all(|second| second.share() >= baseline - RECOVERY_TOLERANCE);
    let at = seconds.get(from..)?.windows(RECOVERY_WINDOW_S).position(full)?;
    Some((from + at) as f64 - last)
}

/// Mean and maximum of the attempts at the most loaded app server relative to the mean, over windows of 100
/// ms. Windows with fewer than two attempts per app server are too small to tell and are left out.
fn herding(books: &Books, start: u64, servers: usize) -> [f64; 2] {
    let mut windows: BTreeMap<u64, BTreeMap<usize, u64>> = BTreeMap::new();
    for (at, fact) in books.facts() {
        if let Fact::Came { server, took: Took::Begun(_), .. } = fact {
            *windows.entry(at.saturating_sub(start) / 100_000).or_default().entry(*server).or_default() += 1;
        }
    }
    let ratios: Vec<f64> = windows
        .values()
        .filter(|window| window.values().sum::<u64>() >= 2 * servers as u64)
        .map(|window| {
            let most = window.values().copied().max().unwrap_or(0) as f64;
            most * servers as f64 / window.values().sum::<u64>() as f64
        })
        .collect();
    let mean = ratios.iter().sum::<f64>() / ratios.len().max(1) as f64;
    [mean, ratios.iter().copied().fold(0.0, f64::max)]
}

/// Reads the resource usage of the running processes from `/proc`.
fn resource_usage(fleet: &Fleet) -> [ResourceUsage; 2] {
    let of = |id: i32| -> Option<ResourceUsage> {
        let folder = PathBuf::from(format!("/proc/{id}"));
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let memory_mb = memory.trim().trim_end_matches(" kB").parse::<f64>().ok()? / 1024.0;
        let descriptors = std::fs::read_dir(folder.join("fd")).ok()?.count() as f64;
        let stat = std::fs::read_to_string(folder.join("stat")).ok()?;
        // The process name may contain any character, so fields are counted from the last closing
        // parenthesis. One clock tick is 10 ms.
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        Some(ResourceUsage { memory_mb, descriptors, cpu_s: ticks / 100.0 })
    };
    let all: Vec<ResourceUsage> =
        fleet.processes.iter().flatten().filter_map(|process| of(process.id())).collect();
    let mean =
        |field: fn(&ResourceUsage) -> f64| all.iter().map(field).sum::<f64>() / all.len().max(1) as f64;
    let most = |field: fn(&ResourceUsage) -> f64| all.iter().map(field).fold(0.0, f64::max);
    let both = |of: &dyn Fn(fn(&ResourceUsage) -> f64) -> f64| ResourceUsage {
        memory_mb: of(|t| t.memory_mb),
        descriptors: of(|t| t.descriptors),
        cpu_s: of(|t| t.cpu_s),
    };
    [both(&mean), both(&most)]
}

/// The summary that is printed after a run.
pub fn summary(outcome: &Outcome) -> String {
    let Outcome { scenario, seconds, takes: [mean, most], .. } = outcome;
    let mut text = format!(
        "{}\n{} processes, {} app servers, {} requests a second; ready after {:.2} s\n\
         served {:.4}; back to full service {}; herding {:.2}, at most {:.2}\n\
         a process: {:.1} MB, {:.0} descriptors, {:.2} s of CPU; at most {:.1}, {:.0}, {:.2}\n\
         second   asked  served refused failed   lost missed\n",
        scenario.about,
        scenario.processes,
        scenario.servers,
        scenario.per_second,
        outcome.ready_s,
        outcome.served,
        outcome.back_s.map_or("not seen".to_owned(), |s| format!("after {s:.0} s")),
        outcome.herding[0],
        outcome.herding[1],
        mean.memory_mb,
        mean.descriptors,
        mean.cpu_s,
        most.memory_mb,
        most.descriptors,
        most.cpu_s,
    );
    for (at, s) in seconds.iter().enumerate() {
        let Second { asked, served, refused, failed, lost, missed } = s;
        text += &format!("{at:>6} {asked:>7} {served:>7} {refused:>7} {failed:>6} {lost:>6} {missed:>6}\n");
    }
    for breach in &outcome.breaches {
        text += &format!("BROKEN {breach}\n");
    }
    text
}

/// Runs three processes with app servers, discovery and traffic until it is interrupted or the time is over.
///
/// # Errors
///
/// A process or an app server cannot be started.
pub fn demo(program: &Path, length: Duration) -> Result<(), Error> {
    let scenario = Scenario::default();
    let plan = Plan {
        program: program.to_owned(),
        processes: scenario.processes,
        servers: scenario.servers,
        zones: scenario.zones,
        make: server_settings(&scenario),
        links: Vec::new(),
    };
    let shows = async {
        let fleet = Fleet::start(plan).await?;
        for (_, address) in fleet.alive() {
            println!("curl -i -H 'X-Correlation-Id: 1000000000' -b user=u1 http://{address}/status");
        }
        let load: Rc<Cell<bool>> = fleet.traffic(Duration::from_millis(20));
        let mut ticks = tokio::time::interval(Duration::from_secs(1));
        let ends = Instant::now() + length;
        while Instant::now() < ends {
            tokio::select! {
                _ = ticks.tick() => println!("{}", fleet.ledger.read(Books::summary)),
                _ = tokio::signal::ctrl_c() => break,
            }
        }
        load.set(false);
        io::Result::Ok(())
    };
    on_one_thread(shows).context(FleetSnafu)
}

#[cfg(test)]
mod tests;
