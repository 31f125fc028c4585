//! A simulated machine: its clock, its disk, its process, and how they start, stop and are lost.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use gradepaddle_control::{Input, ProposalId, Replica, ReplicaConfig, ReplicaId};

use super::{Event, World, rounds::Departure};

use crate::simulator::{MILLISECOND, SECOND, disk::Disk};

pub(super) struct Machine {
    pub(super) address: SocketAddrV4,
    pub(super) zone: Arc<str>,
    pub(super) replica: Option<Replica>,
    pub(super) disk: Disk,
    pub(super) incarnation: u64,
    pub(super) suspended: Option<u64>,
    pub(super) deferred: Vec<Event>,
    pub(super) removed: bool,
    pub(super) first_boot: bool,
    pub(super) shutting_down: bool,
    /// The monotonic clock of the machine: it has a start value of its own and a slightly inaccurate rate.
    pub(super) clock_start: u64,
    pub(super) clock_rate: u64,
    pub(super) next_wake: u64,
    pub(super) open_proposals: Vec<ProposalId>,
    /// What happens to the machine around its next write.
    pub(super) write_crash: Option<WriteCrash>,
    /// In a run with rounds: what happens to the machine after its graceful shutdown.
    pub(super) departure: Option<Departure>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteCrash {
    Crash,
    Wipe,
}

impl Machine {
    pub(super) fn local(&self, now: u64) -> u64 {
        self.clock_start + now / 1_000 * self.clock_rate + now % 1_000
    }

    pub(super) fn global(&self, local: u64) -> u64 {
        (local.saturating_sub(self.clock_start)) * 1_000 / self.clock_rate + 1
    }
}

impl World {
    pub(super) fn add_machine(&mut self, node_index: usize, first_boot: bool) -> usize {
        let index = self.machines.len();
        let address =
            SocketAddrV4::new(Ipv4Addr::new(10, 1, (index / 200) as u8, (index % 200) as u8 + 1), 7640);
        let id = self.next_replica_id();
        let clock_start = self.clock_start();
        self.machines.push(Machine {
            address,
            zone: Arc::from(format!("zone-{}", node_index % 3)),
            replica: None,
            disk: Disk::empty(id),
            incarnation: 0,
            suspended: None,
            deferred: Vec::new(),
            removed: false,
            first_boot,
            shutting_down: false,
            clock_start,
            clock_rate: self.random.between(self.plan.clock_rates.slowest, self.plan.clock_rates.fastest),
            next_wake: u64::MAX,
            open_proposals: Vec::new(),
            write_crash: None,
            departure: None,
        });
        index
    }

    /// The start value of a monotonic clock: near 0 or anywhere.
    pub(super) fn clock_start(&mut self) -> u64 {
        let span = [SECOND, 1 << 34][self.random.below(2)];
        self.random.between(0, span)
    }

    pub(super) fn next_replica_id(&mut self) -> ReplicaId {
        self.next_id = self.next_id.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        ReplicaId(self.next_id)
    }

    pub(super) fn suspended(&self, machine: usize) -> bool {
        self.machines[machine].suspended.is_some()
    }

    pub(super) fn start(&mut self, index: usize) {
        let peers: Vec<SocketAddrV4> =
            self.machines.iter().filter(|machine| !machine.removed).map(|machine| machine.address).collect();
        let (now, seed) = (self.now, self.random.next());
        let machine = &mut self.machines[index];
        if machine.removed || machine.replica.is_some() {
            return;
        }
        let config = ReplicaConfig::builder()
            .address(machine.address)
            .zone(Arc::clone(&machine.zone))
            .first_boot(machine.first_boot && machine.incarnation == 0)
            .machine_losses(self.plan.machine_losses)
            .seed(seed)
            .injected_fault(self.plan.injected_fault)
            .build();
        machine.incarnation += 1;
        machine.shutting_down = false;
        machine.next_wake = u64::MAX;
        machine.replica = Some(Replica::new(config, machine.disk.stored.clone(), machine.local(now)));
        if machine.incarnation > 1 || !machine.first_boot {
            let own = machine.address;
            self.input(index, Input::Peers(peers.into_iter().filter(|peer| *peer != own).collect()));
        } else {
            self.input(index, Input::Tick);
        }
    }

    pub(super) fn resume(&mut self, index: usize) {
        let now = self.now;
        let machine = &mut self.machines[index];
        if machine.suspended.is_none_or(|until| until > now) {
            return;
        }
        machine.suspended = None;
        for event in std::mem::take(&mut machine.deferred) {
            self.schedule(self.random.clone().between(1, 300), event);
            self.random.next();
        }
    }

    pub(super) fn crash(&mut self, index: usize) {
        let clock_start = self.clock_start();
        let machine = &mut self.machines[index];
        if machine.replica.take().is_none() {
            return;
        }
        machine.disk.crash(&mut self.random);
        machine.incarnation += 1;
        machine.suspended = None;
        machine.deferred.clear();
        machine.write_crash = None;
        // The monotonic clock may restart with the machine.
        machine.clock_start = clock_start;
        for proposal_id in std::mem::take(&mut machine.open_proposals) {
            self.clients.unanswered(proposal_id);
        }
    }

    pub(super) fn crash_and_restart(&mut self, index: usize) {
        self.crash(index);
        let longest = [80, 3_000][self.random.below(2)];
        let pause = self.random.between(1, longest) * MILLISECOND;
        self.schedule(pause, Event::Start { machine: index });
    }

    pub(super) fn wipe(&mut self, index: usize) {
        self.crash(index);
        let id = if self.plan.wiped_disk_keeps_id {
            self.machines[index].disk.stored.id
        } else {
            self.next_replica_id()
        };
        self.machines[index].disk = Disk::empty(id);
        let pause = self.random.between(20, 2_000) * MILLISECOND;
        self.schedule(pause, Event::Start { machine: index });
    }

    pub(super) fn replace(&mut self, index: usize) {
        self.crash(index);
        self.machines[index].removed = true;
        let added = self.add_machine(index, false);
        let pause = self.random.between(20, 2_000) * MILLISECOND;
        self.schedule(pause, Event::Start { machine: added });
    }

    pub(super) fn exit(&mut self, index: usize) {
        if self.machines[index].departure.is_some() {
            return self.handle_exit(index);
        }
        if self.machines[index].shutting_down {
            self.crash_and_restart(index);
        }
    }

    pub(super) fn running(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|index| self.machines[*index].replica.is_some()).collect()
    }

    pub(super) fn random_machine(&mut self) -> usize {
        let running = self.running();
        if running.is_empty() { 0 } else { running[self.random.below(running.len())] }
    }
}
