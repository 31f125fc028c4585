//! The plan of a course of events: which faults are injected, and how often.

use gradepaddle_control::InjectedFault;

use super::{SECOND, world::Loss};

/// What a course of events is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    pub replicas: usize,
    pub machine_losses: usize,
    /// How long things go wrong, in microseconds.
    pub length: u64,
    /// A fault strikes about this often, in microseconds.
    pub fault_interval: u64,
    pub injected_fault: Option<InjectedFault>,
    /// An emptied disk keeps its identity: a fault of the harness itself.
    pub emptied_vouches: bool,
    /// Only faults of these kinds; all if empty.
    pub only: Vec<Fault>,
    /// Losses one after the other, by the clock, in place of faults at random.
    pub rounds: Option<Rounds>,
    /// How fast steady clocks run.
    pub clock_rates: ClockRates,
}

impl Plan {
    /// A course of 14 s with any fault about every half second, and nothing broken on purpose.
    pub fn new(replicas: usize, machine_losses: usize) -> Plan {
        Plan {
            replicas,
            machine_losses,
            length: 14 * SECOND,
            fault_interval: 500_000,
            injected_fault: None,
            emptied_vouches: false,
            only: Vec::new(),
            clock_rates: ClockRates::USUAL,
            rounds: None,
        }
    }
}

/// How fast the steady clocks of machines run, in thousandths of the true rate.
#[derive(Debug, Clone, Copy)]
pub struct ClockRates {
    pub slowest: u64,
    /// Not reached.
    pub fastest: u64,
}

impl ClockRates {
    /// As clocks are.
    pub const USUAL: ClockRates = ClockRates { slowest: 995, fastest: 1_006 };
}

/// Successive losses, each as soon as the one before no longer counts.
#[derive(Debug, Clone, Copy)]
pub struct Rounds {
    /// How many there are.
    pub count: usize,
    /// For how long a machine that is back or new still counts as lost, in microseconds.
    pub catch_up: u64,
    /// The whole core may lose power at any moment.
    pub power_losses: bool,
    /// The whole core loses power while members change, about once in a round.
    pub power_losses_at_changes: bool,
    /// Messages are lost and late all the while.
    pub weather: bool,
    /// Disks get full or hang for a while.
    pub disk_trouble: bool,
    /// Only losses of these kinds; all if empty.
    pub only: &'static [Loss],
}

/// A kind of fault. Disks are lost for good only as often as the core bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    Crash,
    CrashLeader,
    CrashAll,
    /// Between the order to write and what comes after it.
    CrashInWrite,
    WipeInWrite,
    WipeLeader,
    WipeAny,
    Replace,
    Add,
    Partition,
    OneWayPartition,
    CutLink,
    Split,
    /// The next change of members parts the candidate and the newcomers from all others as it is announced.
    SplitAtChange,
    HealNetwork,
    Suspend,
    SuspendLeader,
    DiskFull,
    DiskHangs,
    DiskRecovers,
    ShutDown,
    NetworkConditions,
    WipesAndPowerLoss,
}

/// All kinds; those that come often are there more than once.
pub const FAULTS: &[Fault] = &[
    Fault::Crash,
    Fault::CrashLeader,
    Fault::CrashLeader,
    Fault::CrashAll,
    Fault::CrashInWrite,
    Fault::CrashInWrite,
    Fault::WipeInWrite,
    Fault::WipeLeader,
    Fault::WipeLeader,
    Fault::WipeAny,
    Fault::Replace,
    Fault::Add,
    Fault::Partition,
    Fault::OneWayPartition,
    Fault::CutLink,
    Fault::CutLink,
    Fault::Split,
    Fault::SplitAtChange,
    Fault::HealNetwork,
    Fault::HealNetwork,
    Fault::HealNetwork,
    Fault::Suspend,
    Fault::SuspendLeader,
    Fault::DiskFull,
    Fault::DiskHangs,
    Fault::DiskRecovers,
    Fault::ShutDown,
    Fault::ShutDown,
    Fault::NetworkConditions,
    Fault::WipesAndPowerLoss,
];
