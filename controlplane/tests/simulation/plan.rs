//! The settings of a simulation run.

use gradepaddle_control::InjectedFault;

use super::outage::Outage;
use super::{Micros, SECOND};

/// How a run ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Without a final fault.
    WithoutFaults,
    /// All machines lose power, and this number of disks is lost.
    PowerLoss { wiped: usize },
    /// All processes are killed.
    KillAll,
}

/// The settings of one run of a fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    pub nodes: usize,
    /// The number of nodes with a disk.
    pub cores: usize,
    /// At least one of the seeds of each process is a machine with a disk.
    pub one_seed_has_a_disk: bool,
    /// After the first start all processes have the same seeds, none of which has a disk.
    pub same_seeds_without_disk: bool,
    pub losses: usize,
    pub servers: usize,
    /// The number of faults before the end of the run.
    pub faults: usize,
    pub ending: Ending,
    /// How long a run without faults lasts before it ends.
    pub fault_free_for: Micros,
    /// At the end all nodes have to agree on the state of all servers.
    pub servers_agree: bool,
    /// The checks make no allowances for the faults that `regressions.rs` describes.
    pub strict: bool,
    /// An outage that begins between 8 s and 9 s.
    pub outage: Option<Outage>,
    /// All machines with a disk lose power right after the draining or leaving of a server is acknowledged, once in a
    /// run.
    pub core_loses_power_after_drain: bool,
    /// Revoked keys have to stop working at every node within this time.
    pub revoke_within: Option<Micros>,
    /// A fault that is injected into the replication protocol to check that the invariants detect it.
    pub injected_fault: Option<InjectedFault>,
}

impl Plan {
    pub fn new(nodes: usize, cores: usize, losses: usize) -> Plan {
        Plan {
            nodes,
            cores,
            one_seed_has_a_disk: false,
            same_seeds_without_disk: false,
            losses,
            servers: 6,
            faults: 4,
            ending: Ending::WithoutFaults,
            fault_free_for: 14 * SECOND,
            servers_agree: true,
            strict: true,
            outage: None,
            core_loses_power_after_drain: false,
            revoke_within: None,
            injected_fault: None,
        }
    }
}
