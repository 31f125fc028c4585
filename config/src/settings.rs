//! Settings of a process: the TOML file that the platform writes for it.
//!
//! Fields that aren't known are ignored. Who and where the process is has no default; the rest has one, so that
//! a field that a site leaves out doesn't keep a process from starting.

mod bounds;
mod reader;

pub use bounds::{FaultTolerance, TimeBounds};

use crate::finding::{Finding, Findings, Problem, WHOLE_DOCUMENT};
use crate::number::{Milliseconds, NonNegative, UnsignedInteger};
use reader::Reader;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

const DEFAULT_INTERNAL_PORTS: (u16, u16) = (7640, 7655);
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const DEFAULT_CPU_SHARE: f64 = 1.0;
const DEFAULT_CPU_CORES: f64 = 1.0;
const DEFAULT_MEMORY_MB: u64 = 160;
const DEFAULT_OPEN_FILES: u64 = 1024;
const DEFAULT_LINK_MBPS: f64 = 100.0;

/// What a process is told at its start, and again when the file changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the machine.
    pub node_name: String,
    /// Role of the process, as `deploy/system.toml` names it.
    pub role: String,
    /// Class of the machine.
    pub machine_class: String,
    /// Who may call the process from outside (`edge`, `control`).
    pub serves: Vec<String>,
    /// Address of the machine.
    pub ip: Ipv4Addr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// First and last port that are free for what processes say among themselves.
    pub internal_ports: (u16, u16),
    /// Control addresses of a few machines, to find the others; they may be down.
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time, on empty disks.
    pub first_boot: bool,
    /// Whether the loss of this machine counts towards [`FaultTolerance::machine_losses`].
    pub loss_counts: bool,
    /// Folder of the disk, where there is one.
    pub data_path: Option<PathBuf>,
    /// Time between two heartbeats of a server.
    pub heartbeat_interval: Duration,
    /// Names of the parts of the rules that are in force.
    pub guarantees: Vec<String>,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// What the machine and the process have.
    pub limits: MachineLimits,
    /// What may be lost at once.
    pub fault_tolerance: FaultTolerance,
    /// Figures of the rules.
    pub bounds: TimeBounds,
}

/// Addresses to listen on; absent ones aren't served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Listen {
    /// Requests of clients.
    pub front: Option<SocketAddrV4>,
    /// Readiness checks of the platform.
    pub readiness: Option<SocketAddrV4>,
    /// Calls of servers and of the operator.
    pub control: Option<SocketAddrV4>,
}

/// What the machine and the process have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineLimits {
    /// Share of a core, above 0, at most 1 as a rule.
    pub cpu_share: f64,
    /// Speed of that core as a multiple of a usual one.
    pub cpu_cores: f64,
    /// Memory of the process in MB; beyond it the process is killed.
    pub memory_mb: u64,
    /// Descriptors of the process.
    pub open_files: u64,
    /// Bandwidth of the machine's link in Mbit/s.
    pub link_mbps: f64,
    /// Size of the disk in MB, where there is one.
    pub disk_mb: Option<u64>,
}

impl Settings {
    /// Reads the text of a settings file.
    ///
    /// # Errors
    /// The text isn't TOML, or values in it are missing or can't be read: all of these together.
    pub fn read(text: &str) -> Result<Self, Findings> {
        let mut reader = Reader::new(text)?;
        let settings = Self::from_reader(&mut reader);
        check_ports(settings.internal_ports, &mut reader);
        Findings::or(reader.findings, || settings)
    }

    /// Reads a settings file.
    ///
    /// # Errors
    /// The file can't be read, or its text isn't right, as in [`Settings::read`].
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Findings> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path).map_err(|error| {
            Finding::unreadable(WHOLE_DOCUMENT, format_args!("{}: {error}", path.display()))
        })?;
        Self::read(&text)
    }

    /// Whether a part of the rules is in force.
    pub fn has_guarantee(&self, part: &str) -> bool {
        self.guarantees.iter().any(|name| name == part)
    }

    fn from_reader(reader: &mut Reader) -> Self {
        Self {
            node_name: reader.required("nodeName", String::new()),
            role: reader.optional("role").unwrap_or_default(),
            machine_class: reader.optional("machineClass").unwrap_or_default(),
            serves: reader.optional("serves").unwrap_or_default(),
            ip: reader.required("ip", Ipv4Addr::UNSPECIFIED),
            zone: reader.required("zone", String::new()),
            region: reader.optional("region").unwrap_or_default(),
            internal_ports: reader.optional("internalPorts").unwrap_or(DEFAULT_INTERNAL_PORTS),
            seed_nodes: reader.optional("seedNodes").unwrap_or_default(),
            first_boot: reader.optional("firstBoot").unwrap_or_default(),
            loss_counts: reader.optional("lossCounts").unwrap_or_default(),
            data_path: reader.text("dataPath").map(PathBuf::from),
            heartbeat_interval: reader
                .optional("beatEveryMs")
                .map_or(DEFAULT_HEARTBEAT_INTERVAL, |Milliseconds(interval)| interval),
            guarantees: reader.optional("guarantees").unwrap_or_default(),
            zones: reader.optional("zones").unwrap_or_default(),
            listen: Listen::from_reader(reader),
            limits: MachineLimits::from_reader(reader),
            fault_tolerance: FaultTolerance::from_reader(reader),
            bounds: TimeBounds::from_reader(reader),
        }
    }
}

impl Listen {
    fn from_reader(reader: &mut Reader) -> Self {
        Self {
            front: reader.address("listenOn.front"),
            readiness: reader.address("listenOn.readiness"),
            control: reader.address("listenOn.controlPlane"),
        }
    }
}

impl MachineLimits {
    fn from_reader(reader: &mut Reader) -> Self {
        Self {
            cpu_share: reader
                .optional("limits.cpuShare")
                .map_or(DEFAULT_CPU_SHARE, |NonNegative(share)| share),
            cpu_cores: reader
                .optional("limits.cpuCores")
                .map_or(DEFAULT_CPU_CORES, |NonNegative(cores)| cores),
            memory_mb: reader
                .optional("limits.memoryMb")
                .map_or(DEFAULT_MEMORY_MB, |UnsignedInteger(size)| size),
            open_files: reader
                .optional("limits.openFiles")
                .map_or(DEFAULT_OPEN_FILES, |UnsignedInteger(count)| count),
            link_mbps: reader.optional("limits.linkMbps").map_or(DEFAULT_LINK_MBPS, |NonNegative(rate)| rate),
            disk_mb: reader.optional("limits.diskMb").map(|UnsignedInteger(size)| size),
        }
    }
}

fn check_ports((first, last): (u16, u16), reader: &mut Reader) {
    if last < first {
        reader.findings.push(Finding::new("internalPorts", Problem::ReversedPortRange { first, last }));
    }
}
