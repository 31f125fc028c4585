//! Inputs of the replicas, and their outputs carried out on the simulated network and disks.

use std::net::SocketAddrV4;

use gradepaddle_control::{Body, Input, Message, Output, Record};

use super::{Event, World};

use crate::simulator::MILLISECOND;

impl World {
    pub(super) fn input(&mut self, index: usize, input: Input) {
        let now = self.now;
        let machine = &mut self.machines[index];
        let local = machine.local(now);
        let Some(replica) = machine.replica.as_mut() else { return };
        let mut out = Vec::new();
        replica.handle(local, input, &mut out);
        let wake = replica.next_wake();
        let wake = machine.global(wake).max(now + 1);
        if wake < machine.next_wake {
            machine.next_wake = wake;
            let incarnation = machine.incarnation;
            self.schedule(wake - now, Event::Wake { machine: index, incarnation });
        }
        self.carry_out(index, out);
        self.check(index);
    }

    pub(super) fn carry_out(&mut self, index: usize, out: Vec<Output>) {
        let leading = self.leading(index).is_some();
        for output in &out {
            if let Output::Committed { state } = output {
                self.checker.committed(state, leading);
            }
        }
        for output in out {
            match output {
                Output::Send { to, message } => self.send(index, to, message),
                Output::Persist { write_id, records } => self.persist(index, write_id, records),
                Output::Answer { proposal_id, outcome } => self.answered(index, proposal_id, outcome),
                Output::BecamePrimary { epoch } => {
                    self.highest_epoch = self.highest_epoch.max(epoch);
                    let id = self.machines[index].disk.stored.id;
                    if self.trace {
                        eprintln!("{:>10} {} leads {epoch}", self.now, self.machines[index].address);
                    }
                    self.checker.leads(epoch, id);
                }
                Output::ReadyToExit => self.exit(index),
                Output::Committed { .. } | Output::SteppedDown => {}
            }
        }
    }

    pub(super) fn send(&mut self, index: usize, to: SocketAddrV4, message: Message) {
        let from = self.machines[index].address;
        self.maybe_split_at_view_change(index, &message);
        self.maybe_lose_power_at_view_change(&message);
        for delay in self.network.deliveries(from, to, &mut self.random) {
            self.schedule(delay, Event::Deliver { to, from, message: message.clone() });
        }
    }

    pub(super) fn maybe_split_at_view_change(&mut self, index: usize, message: &Message) {
        let Body::Accept { view } = &message.body else { return };
        if !self.split_armed || view.active || view.view.previous_members.is_empty() || self.healed.is_some()
        {
            return;
        }
        self.split_armed = false;
        self.network.heal();
        let own = self.machines[index].address;
        let old =
            |address: SocketAddrV4| view.view.previous_members.iter().any(|member| member.address == address);
        let new = |address: SocketAddrV4| view.view.members.iter().any(|member| member.address == address);
        let beside = |address: SocketAddrV4| address == own || (new(address) && !old(address));
        let addresses: Vec<SocketAddrV4> = self.machines.iter().map(|machine| machine.address).collect();
        for from in &addresses {
            for to in addresses.iter().filter(|to| beside(*from) != beside(**to)) {
                self.network.cut(*from, *to);
            }
        }
    }

    pub(super) fn persist(
        &mut self,
        index: usize,
        write_id: gradepaddle_control::WriteId,
        records: Vec<Record>,
    ) {
        if self.trace {
            eprintln!("{:>10} {} writes {write_id:?} {records:?}", self.now, self.machines[index].address);
        }
        let duration = self.random.between(300, self.longest_write);
        let now = self.now;
        let machine = &mut self.machines[index];
        let done = (now + duration).max(machine.disk.busy_until + 1).max(machine.disk.hangs_until);
        machine.disk.busy_until = done;
        machine.disk.begin(write_id, records);
        let incarnation = machine.incarnation;
        let write_crash = machine.write_crash.take();
        self.schedule(done - now, Event::DiskDone { machine: index, incarnation });
        if let Some(write_crash) = write_crash {
            let after = self.random.between(1, 2 * (done - now) + MILLISECOND);
            self.schedule(after, Event::WriteCrash { machine: index, incarnation, write_crash });
        }
    }

    pub(super) fn disk_done(&mut self, index: usize, incarnation: u64) {
        let now = self.now;
        let machine = &mut self.machines[index];
        if machine.incarnation != incarnation {
            return;
        }
        if machine.disk.hangs_until > now {
            let pause = machine.disk.hangs_until - now;
            return self.schedule(pause, Event::DiskDone { machine: index, incarnation });
        }
        if machine.suspended.is_some() {
            return machine.deferred.push(Event::DiskDone { machine: index, incarnation });
        }
        if let Some((write_id, durable)) = machine.disk.finish() {
            self.input(
                index,
                if durable { Input::WriteCompleted { write_id } } else { Input::WriteFailed { write_id } },
            );
        }
    }
}
