//! The plan of a simulation run: which faults are injected, and how often.

use gradepaddle_control::InjectedFault;

use super::{SECOND, world::Loss};

/// The plan of a simulation run.
#[derive(Debug, Clone)]
pub struct Plan {
    pub replicas: usize,
    pub machine_losses: usize,
    /// How long faults are injected, in microseconds.
    pub length: u64,
    /// A fault is injected about this often, in microseconds.
    pub fault_interval: u64,
    pub injected_fault: Option<InjectedFault>,
    /// A replica keeps its identity when its disk is wiped: a fault of the simulated machine, not of the protocol.
    pub wiped_disk_keeps_id: bool,
    /// Only faults of these kinds; all if empty.
    pub only: Vec<Fault>,
    /// Successive losses at times by the clock, instead of random faults.
    pub rounds: Option<Rounds>,
    /// The rates of the monotonic clocks.
    pub clock_rates: ClockRates,
}

impl Plan {
    /// A run of 14 s with a fault of any kind about every half second, and no fault in the protocol.
    pub fn new(replicas: usize, machine_losses: usize) -> Plan {
        Plan {
            replicas,
            machine_losses,
            length: 14 * SECOND,
            fault_interval: 500_000,
            injected_fault: None,
            wiped_disk_keeps_id: false,
            only: Vec::new(),
            clock_rates: ClockRates::USUAL,
            rounds: None,
        }
    }
}

/// The range of the rates of the machines' monotonic clocks, in thousandths of the true rate.
#[derive(Debug, Clone, Copy)]
pub struct ClockRates {
    pub slowest: u64,
    /// Exclusive.
    pub fastest: u64,
}

impl ClockRates {
    /// The rates of ordinary clocks.
    pub const USUAL: ClockRates = ClockRates { slowest: 995, fastest: 1_006 };
}

/// Successive losses, each as soon as the one before no longer counts as a loss.
#[derive(Debug, Clone, Copy)]
pub struct Rounds {
    /// How many there are.
    pub count: usize,
    /// For how long a machine that has come back, or is new, still counts as lost, in microseconds.
    pub catch_up: u64,
    /// All machines may lose power at once, at any time.
    pub power_losses: bool,
    /// All machines lose power at once while members change, about once in a round.
    pub power_losses_at_changes: bool,
    /// Messages are lost and delayed during the whole run.
    pub unreliable_links: bool,
    /// Disks are full or hang temporarily.
    pub disk_faults: bool,
    /// Only losses of these kinds; all if empty.
    pub only: &'static [Loss],
}

/// A kind of fault. Disks are lost for good only as often as the cluster tolerates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    Crash,
    CrashLeader,
    CrashAll,
    /// A crash between the start of a write and shortly after its completion.
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
    /// When the next change of members is announced, the candidate and the new members are partitioned from all others.
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

/// All kinds; frequent ones are listed more than once.
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
