//! A machine, and the process that may run on it.

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
/// Servers say something this often.
pub const HEARTBEAT_INTERVAL: Micros = 1_200 * MS;
/// Two holders of the driver must not take turns within this.
pub const LEASE: Micros = 3 * SECOND;
/// An announced model version has to be loaded within this.
pub const VERSION_WITHIN: Micros = 8 * SECOND;
/// Times of day start here.
const TIME_OF_DAY: Micros = 1_700_000_000 * SECOND;

/// What the data plane of a process has learned.
#[derive(Debug, Default)]
pub struct Observed {
    pub configuration: Option<(u64, Arc<[u8]>)>,
    pub peers: BTreeSet<SocketAddrV4>,
    pub servers: BTreeMap<Arc<str>, ServerState>,
    pub leading: Option<u64>,
    pub connected: bool,
    /// Until when it may act on keys, by its clock.
    pub keys_until: Micros,
}

/// A running process.
pub struct Process {
    pub node: Node,
    pub started: Micros,
    pub wake_at: Micros,
    /// When it was last woken, and how often at that moment.
    pub woken: Micros,
    pub wakes_now: u32,
    pub callers: BTreeMap<CallId, Caller>,
    pub last_call_id: u64,
    pub observed: Observed,
    pub leaving: bool,
}

impl Process {
    /// Its steady clock.
    pub fn clock(&self, now: Micros) -> Micros {
        CLOCK_START + now - self.started
    }

    /// The time at which its clock shows this.
    pub fn time_of(&self, clock: Micros) -> Micros {
        self.started + clock.saturating_sub(CLOCK_START)
    }
}

/// A machine.
pub struct Machine {
    pub number: usize,
    pub address: SocketAddrV4,
    pub zone: usize,
    /// It has a disk whose loss counts.
    pub core: bool,
    pub disk: Disk,
    pub process: Option<Process>,
    /// Rises with each start and end of its process.
    pub incarnation: u64,
    /// It never comes back.
    pub removed: bool,
    pub frozen_until: Micros,
    /// For how long it stands still after it has decided something next; 0: it goes on.
    pub stalls_for: Micros,
    /// Spans of faults.
    trouble: Vec<(Micros, Micros)>,
}

/// What a process starts with.
pub struct Boot {
    pub seeds: Vec<SocketAddrV4>,
    pub first: bool,
    pub losses: usize,
    pub revoke_within: Option<Micros>,
}

/// What a replica starts with.
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
            stalls_for: 0,
            trouble: Vec::new(),
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
    pub fn note_fault(&mut self, from: Micros, until: Micros) {
        self.trouble.push((from, until));
    }

    /// Whether it was without faults in the whole span.
    pub fn calm(&self, from: Micros, until: Micros) -> bool {
        self.trouble.iter().all(|(begun, ended)| *ended < from || *begun > until)
    }

    /// Whether it was connected from the first time on, until the second.
    pub fn connected(&self, from: Micros, until: Micros) -> bool {
        self.calm(from.saturating_sub(CONNECT_TIME), until)
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
            version_deadlines: VersionDeadlines { from_publication: VERSION_WITHIN, from_announcement: None },
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

    /// The time of day may be off by seconds, and by others at each start.
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

    /// The replica that a process started now finds on its disk.
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
