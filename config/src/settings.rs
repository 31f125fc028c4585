//! Settings of a process, from the TOML file that the platform writes for it (`DEPLOY.md`).
//!
//! Unknown fields are ignored. `nodeName`, `ip` and `zone` are required; all others have a default, so that a process also
//! starts on sites that omit fields.

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

/// The settings of a process. The platform may change the file while the process runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the machine (`nodeName`); required.
    pub node_name: String,
    /// Role of the process, as `deploy/system.toml` names it; empty by default.
    pub role: String,
    /// Class of the machine (`machineClass`); empty by default.
    pub machine_class: String,
    /// Kinds of external callers that may call the process (`edge`, `control`); none by default.
    pub serves: Vec<String>,
    /// IP address of the machine; required.
    pub ip: Ipv4Addr,
    /// Zone of the machine; required.
    pub zone: String,
    /// Region of the zone; empty by default.
    pub region: String,
    /// First and last port of the range for connections between processes (`internalPorts`); 7640 to 7655 by default.
    pub internal_ports: (u16, u16),
    /// Control addresses of a few machines, by which the others are discovered (`seedNodes`); they may be down. None by
    /// default.
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Whether the complete system starts for the first time, on empty disks (`firstBoot`); `false` by default.
    pub first_boot: bool,
    /// Whether the loss of this machine counts towards [`FaultTolerance::machine_losses`] (`lossCounts`); `false` by
    /// default.
    pub loss_counts: bool,
    /// Directory on the disk (`dataPath`), if there is one.
    pub data_path: Option<PathBuf>,
    /// Time between two heartbeats of a server (`beatEveryMs`); 1 s by default.
    pub heartbeat_interval: Duration,
    /// Names of the parts of the rules (`RULES.md`) that are in force; none by default.
    pub guarantees: Vec<String>,
    /// Region by zone; empty by default.
    pub zones: BTreeMap<String, String>,
    /// Addresses to listen on (`listenOn`).
    pub listen: Listen,
    /// Resources of the machine and the process (`limits`).
    pub limits: MachineLimits,
    /// Simultaneous losses that must be tolerated (`survive`).
    pub fault_tolerance: FaultTolerance,
    /// Time bounds and other limits of the rules (`timeBounds`).
    pub bounds: TimeBounds,
}

/// Addresses to listen on; each is `None` unless the file has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Listen {
    /// Requests of clients (`front`).
    pub front: Option<SocketAddrV4>,
    /// Readiness checks of the platform (`readiness`).
    pub readiness: Option<SocketAddrV4>,
    /// API calls of servers and of the operator (`controlPlane`).
    pub control: Option<SocketAddrV4>,
}

/// Resources of the machine and the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineLimits {
    /// Share of a core, above 0 and usually at most 1 (`cpuShare`); 1 by default.
    pub cpu_share: f64,
    /// Speed of that core as a multiple of a reference core (`cpuCores`); 1 by default.
    pub cpu_cores: f64,
    /// Memory limit of the process in MB, beyond which it is killed (`memoryMb`); 160 by default.
    pub memory_mb: u64,
    /// Limit of open file descriptors (`openFiles`); 1024 by default.
    pub open_files: u64,
    /// Bandwidth of the machine's link in Mbit/s (`linkMbps`); 100 by default.
    pub link_mbps: f64,
    /// Size of the disk in MB (`diskMb`), if there is one.
    pub disk_mb: Option<u64>,
}

impl Settings {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// [`Problem::Unreadable`] if the text isn't TOML; otherwise all values that are [`Problem::Missing`] or
    /// [`Problem::Unreadable`], and a [`Problem::ReversedPortRange`], together.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        let mut reader = Reader::new(text)?;
        let settings = Self::from_reader(&mut reader);
        check_ports(settings.internal_ports, &mut reader);
        Findings::ok_if_empty(reader.findings, || settings)
    }

    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// [`Problem::Unreadable`] with the path of the file if it can't be read; otherwise as [`Settings::parse`].
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Findings> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path).map_err(|error| {
            Finding::unreadable(WHOLE_DOCUMENT, format_args!("{}: {error}", path.display()))
        })?;
        Self::parse(&text)
    }

    /// Whether a part of the rules is in force, by its name.
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
