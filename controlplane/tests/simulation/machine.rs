//! A machine, and the process that runs on it while it is up.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use gradepaddle_control::{InjectedFault, Replica, ReplicaConfig};
use gradepaddle_controlplane::CLOCK_START;
use gradepaddle_controlplane::bootstrap::Bootstrap;
use gradepaddle_controlplane::node::{CallId, Node, NodeSetup};
use gradepaddle_controlplane::session_client::SessionClient;
use gradepaddle_controlplane::version_announcement::VersionDeadlines;
use gradepaddle_gossip::{Gossip, GossipConfig};
use gradepaddle_placement::ServerState;
use gradepaddle_proto::Identity;

use super::callers::Caller;
use super::disk::Disk;
use super::random::Random;
use super::{CONNECT_TIME, MS, Micros, SECOND};

/// The zones.
pub const ZONES: [&str; 3] = ["west", "middle", "east"];
/// Interval between heartbeats of a server.
pub const HEARTBEAT_INTERVAL: Micros = 1_200 * MS;
/// The minimum time between orders of two different primaries to one server.
pub const LEASE: Micros = 3 * SECOND;
/// An announced model version has to be loaded within this time.
pub const VERSION_TIMEOUT: Micros = 8 * SECOND;
/// The time of day at the start of a run, in microseconds since the Unix epoch.
const TIME_OF_DAY: Micros = 1_700_000_000 * SECOND;

/// The state that a node has reported to its data plane.
#[derive(Debug, Default)]
pub struct Observed {
    pub configuration: Option<(u64, Arc<[u8]>)>,
    pub peers: BTreeSet<SocketAddrV4>,
    pub servers: BTreeMap<Arc<str>, ServerState>,
    pub leading: Option<u64>,
    pub connected: bool,
    /// Until when the node may accept keys, by its own clock.
    pub keys_until: Micros,
}

/// A running process.
pub struct Process {
    pub node: Node,
    pub started: Micros,
    pub wake_at: Micros,
    /// When the node was last woken; `wakes_now` counts the wakes at that time.
    pub woken: Micros,
    pub wakes_now: u32,
    pub callers: BTreeMap<CallId, Caller>,
    pub last_call_id: u64,
    pub observed: Observed,
    pub leaving: bool,
}

impl Process {
    /// The process's monotonic clock at the time `now` of the simulation.
    pub fn clock(&self, now: Micros) -> Micros {
        CLOCK_START + now - self.started
    }

    /// The time of the simulation at which the process's clock shows `clock`.
    pub fn time_of(&self, clock: Micros) -> Micros {
        self.started + clock.saturating_sub(CLOCK_START)
    }
}

/// A machine.
pub struct Machine {
    pub number: usize,
    pub address: SocketAddrV4,
    pub zone: usize,
    /// It has a disk, so that its loss counts against the fault tolerance.
    pub core: bool,
    pub disk: Disk,
    pub process: Option<Process>,
    /// Rises with each start and end of its process.
    pub incarnation: u64,
    /// It has been replaced and never starts again.
    pub removed: bool,
    pub frozen_until: Micros,
    /// How long its process is frozen after its next decision, before that is carried out; 0 for not at all.
    pub next_stall: Micros,
    /// The times during which it had faults.
    fault_spans: Vec<(Micros, Micros)>,
}

/// The settings with which a process starts.
pub struct Boot {
    pub seeds: Vec<SocketAddrV4>,
    pub first: bool,
    pub losses: usize,
    pub revoke_within: Option<Micros>,
}

/// The settings with which a replica starts.
pub struct ReplicaBoot {
    pub first: bool,
    pub losses: usize,
    pub injected_fault: Option<InjectedFault>,
}

impl Machine {
    pub fn new(number: usize, zone: usize, core: bool, id: u64) -> Machine {
        let [high, low] = [(number / 200) as u8, (number % 200) as u8 + 1];
        Machine {
            number,
            address: SocketAddrV4::new(Ipv4Addr::new(10, zone as u8 + 1, high, low), 7640),
            zone,
            core,
            disk: Disk::empty(id),
            process: None,
            incarnation: 0,
            removed: false,
            frozen_until: 0,
            next_stall: 0,
            fault_spans: Vec::new(),
        }
    }

    pub fn up(&self) -> bool {
        self.process.is_some()
    }

    /// When its process started, in milliseconds.
    pub fn started_at(&self) -> Option<u64> {
        self.process.as_ref().map(|process| process.started / MS)
    }

    /// Records a fault, which may go on into the future.
    pub fn record_fault(&mut self, from: Micros, until: Micros) {
        self.fault_spans.push((from, until));
    }

    /// True if it had no faults from `from` until `until`.
    pub fn without_faults(&self, from: Micros, until: Micros) -> bool {
        self.fault_spans.iter().all(|(begun, ended)| *ended < from || *begun > until)
    }

    /// True if it was connected from `from` until `until`: without faults since [`CONNECT_TIME`] before that.
    pub fn connected(&self, from: Micros, until: Micros) -> bool {
        self.without_faults(from.saturating_sub(CONNECT_TIME), until)
    }

    pub fn start(&mut self, now: Micros, boot: &Boot, random: &mut Random) {
        self.incarnation += 1;
        let node = Node::new(NodeSetup {
            session: SessionClient::new(
                self.identity(now, boot.first, random),
                boot.seeds.clone(),
                CLOCK_START,
            ),
            gossip: Gossip::new(
                GossipConfig::builder().address(self.address).seed(random.next()).build(),
                CLOCK_START,
            ),
            bootstrap: Bootstrap::new(self.address, &boot.seeds, boot.losses, boot.first, CLOCK_START),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            order_lease: LEASE,
            version_deadlines: VersionDeadlines {
                from_publication: VERSION_TIMEOUT,
                from_announcement: None,
            },
            revoke_within: boot.revoke_within,
            machine_losses: boot.losses,
            control_port: 9_100,
            now: CLOCK_START,
        });
        self.process = Some(Process {
            node,
            started: now,
            wake_at: Micros::MAX,
            woken: Micros::MAX,
            wakes_now: 0,
            callers: BTreeMap::new(),
            last_call_id: 0,
            observed: Observed::default(),
            leaving: false,
        });
    }

    /// The identity of a process. Its time of day, and so its incarnation, is off by up to 4 s, differently at each
    /// start.
    fn identity(&self, now: Micros, first_boot: bool, random: &mut Random) -> Identity {
        Identity {
            address: self.address,
            incarnation: TIME_OF_DAY + now + random.between(0, 4 * SECOND),
            name: Arc::from(format!("node-{}", self.number)),
            zone: Arc::from(ZONES[self.zone]),
            replica: None,
            first_boot,
        }
    }

    /// The replica that a process recovers from its disk if it starts now.
    pub fn replica(&self, now: Micros, boot: &ReplicaBoot, random: &mut Random) -> Replica {
        let config = ReplicaConfig::builder()
            .address(self.address)
            .zone(ZONES[self.zone])
            .first_boot(boot.first)
            .machine_losses(boot.losses)
            .seed(random.next())
            .injected_fault(boot.injected_fault)
            .build();
        Replica::new(config, self.disk.recovered(), now)
    }
}
