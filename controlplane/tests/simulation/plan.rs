//! What is simulated.

use gradepaddle_control::InjectedFault;

use super::outage::Outage;
use super::{Micros, SECOND};

/// How a day ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// In calm.
    Calm,
    /// All machines lose power, and so many disks are lost.
    PowerLoss { wiped: usize },
    /// All processes are killed.
    KillAll,
}

/// A day of a fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    pub nodes: usize,
    /// How many of them have a disk.
    pub cores: usize,
    /// Among the seeds of a process is a machine with a disk.
    pub a_seed_has_a_disk: bool,
    /// After the first start all processes have the same seeds, none of which has a disk.
    pub same_seeds_without_disk: bool,
    pub losses: usize,
    pub servers: usize,
    /// How many faults there are before the end.
    pub faults: usize,
    pub ending: Ending,
    /// Without any fault, for this long.
    pub calm_for: Micros,
    /// At the end all nodes have to tell the same of all servers.
    pub servers_agree: bool,
    /// Without allowances for the faults that `found.rs` shows.
    pub strict: bool,
    /// Machines without contact for a while, from 8 s on.
    pub outage: Option<Outage>,
    /// All machines with a disk lose power the moment that a server's end has been acknowledged, once a day.
    pub core_loses_power_after_drain: bool,
    /// Keys that are taken away have to stop working at every node within this.
    pub revoke_within: Option<Micros>,
    /// A fault of the protocol that is built in on purpose.
    pub injected_fault: Option<InjectedFault>,
}

impl Plan {
    pub fn new(nodes: usize, cores: usize, losses: usize) -> Plan {
        Plan {
            nodes,
            cores,
            a_seed_has_a_disk: false,
            same_seeds_without_disk: false,
            losses,
            servers: 6,
            faults: 4,
            ending: Ending::Calm,
            calm_for: 14 * SECOND,
            servers_agree: true,
            strict: true,
            outage: None,
            core_loses_power_after_drain: false,
            revoke_within: None,
            injected_fault: None,
        }
    }
}
