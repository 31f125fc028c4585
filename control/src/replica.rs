//! One replica: its state, the inputs it takes, and when it wants to be woken.

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};

use crate::{
    Body, ControlState, Data, InjectedFault, Input, KnownView, LogPosition, Member, Message, Output,
    ProposalNumber, Record, RecoveredState, ReplicaConfig, ReplicaId, Role, SnapshotInstalled, Status, View,
    campaign::{Campaign, DataSent, Poll},
    config::MILLISECOND,
    disk::{Disk, Effect},
    handover::Handover,
    leadership::{Leadership, Proposal},
    lease::{Grant, Lease, PrimaryClock},
};

/// A replica that isn't a member asks to join this often.
const JOIN_EVERY: u64 = 1_000 * MILLISECOND;

/// A replica of the control state.
#[derive(Debug)]
pub struct Replica {
    pub(crate) config: ReplicaConfig,
    pub(crate) id: ReplicaId,
    pub(crate) promised: Option<ProposalNumber>,
    pub(crate) view: Option<KnownView>,
    pub(crate) data: Option<Data>,
    pub(crate) committed: Arc<ControlState>,
    pub(crate) disk: Disk,
    pub(crate) granted: Option<Grant>,
    pub(crate) primary_clock: Option<PrimaryClock>,
    /// The latest candidate that was sent the data with a promise.
    pub(crate) data_sent: Option<DataSent>,
    pub(crate) highest_epoch: u64,
    /// When there was last a sign that somebody leads or is about to.
    pub(crate) last_heard: u64,
    /// How much of its patience after that this replica waives.
    pub(crate) head_start: u64,
    pub(crate) poll: Option<Poll>,
    pub(crate) campaign: Option<Campaign>,
    pub(crate) leadership: Option<Leadership>,
    pub(crate) handover: Option<Handover>,
    pub(crate) queue: Vec<Proposal>,
    pub(crate) random: u64,
    /// The latest campaign was for want of another primary's heartbeats, not asked for by it.
    pub(crate) from_silence: bool,
    announced: Option<u64>,
    peers: Vec<SocketAddrV4>,
    next_join: u64,
    shutting_down: Option<u64>,
    ended: bool,
    now: u64,
}

/// The current state, as long as the lease lasts under which it was read.
#[derive(Debug, Clone, Copy)]
pub struct LeaseRead<'a> {
    /// The lease.
    pub lease: Lease,
    /// The state.
    pub state: &'a ControlState,
}

impl Replica {
    /// A replica that starts at this time with what was on its disk.
    pub fn new(config: ReplicaConfig, recovered: RecoveredState, now: u64) -> Replica {
        let promised = recovered.promised;
        let lease = if config.injected_fault == Some(InjectedFault::GrantsAfterRestart) {
            0
        } else {
            config.lease_duration
        };
        let view_epoch = recovered.view.as_ref().map_or(0, |known| known.view.epoch);
        Replica {
            id: recovered.id,
            promised,
            committed: recovered.data.as_ref().map(|data| Arc::clone(&data.state)).unwrap_or_default(),
            disk: Disk::recovered(promised),
            granted: promised.map(|proposal_number| Grant { proposal_number, until: now + lease }),
            primary_clock: None,
            data_sent: None,
            highest_epoch: promised.map_or(0, |proposal_number| proposal_number.epoch).max(view_epoch),
            last_heard: now,
            head_start: 0,
            poll: None,
            campaign: None,
            leadership: None,
            handover: None,
            queue: Vec::new(),
            random: config.seed ^ recovered.id.0 ^ 0x9E37_79B9_7F4A_7C15,
            from_silence: false,
            announced: None,
            peers: Vec::new(),
            next_join: now,
            shutting_down: None,
            ended: false,
            now,
            view: recovered.view,
            data: recovered.data,
            config,
        }
        .returned()
    }

    /// A primary that comes back needn't wait for silence: its lease bars only others.
    fn returned(mut self) -> Replica {
        if self.view.as_ref().is_some_and(|known| known.view.primary == self.id) {
            self.head_start = self.config.lease_duration;
        }
        self
    }

    /// Takes an input and adds what is to be done about it.
    pub fn handle(&mut self, now: u64, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Tick => {}
            Input::Message { from, message } => self.receive(from, message, out),
            Input::WriteCompleted { write_id } => {
                for effect in self.disk.persisted(write_id) {
                    self.run(effect, out);
                }
            }
            Input::WriteFailed { write_id } => self.disk.failed(self.now, write_id),
            Input::Propose { proposal_id, change } => self.propose(proposal_id, change, out),
            Input::Bootstrap { view } => self.found(view, out),
            Input::Peers(peers) => {
                self.peers = peers;
                self.next_join = self.next_join.min(self.now);
            }
            Input::ShutDown => self.shutting_down = self.shutting_down.or(Some(self.now)),
        }
        self.advance(out);
    }

    /// The time at which the replica wants a [`Input::Tick`] at the latest.
    pub fn next_wake(&self) -> u64 {
        let mut wakes = vec![self.disk.wake(self.now), self.lead_wake(), self.election_wake()];
        wakes.push(self.handover.map(|handover| handover.next_send));
        wakes.push(self.queue.first().map(|proposal| proposal.since + self.config.proposal_timeout));
        wakes.push(self.wants_to_join().then_some(self.next_join));
        wakes.push(
            self.shutting_down.filter(|_| !self.ended).map(|since| since + self.config.shutdown_timeout),
        );
        let idle = self.now + JOIN_EVERY;
        wakes.into_iter().flatten().min().unwrap_or(idle).clamp(self.now + MILLISECOND, idle)
    }

    /// Whether the lead of this replica began with the silence of another primary: the core was not stable then.
    pub fn took_over_after_timeout(&self) -> bool {
        self.leadership.is_some() && self.from_silence
    }

    /// The epoch in which this replica leads at this time, if it does. Read the clock just before acting on it.
    pub fn leading(&self, now: u64) -> Option<u64> {
        self.lease(now).map(|lease| lease.epoch)
    }

    /// The lease under which this replica leads at this time, if it does.
    pub fn lease(&self, now: u64) -> Option<Lease> {
        let epoch = self.leadership.as_ref()?.epoch;
        if self.config.injected_fault == Some(InjectedFault::LeadsForever) {
            return Some(Lease { epoch, until: u64::MAX });
        }
        let until = self.lease_until().filter(|until| now < *until)?;
        Some(Lease { epoch, until })
    }

    /// The current state, if this replica leads at this time. Whoever passes it on looks at the lease once more.
    pub fn read(&self, now: u64) -> Option<LeaseRead<'_>> {
        let mut lease = self.lease(now);
        if self.config.injected_fault == Some(InjectedFault::ReadsWithoutLease) {
            lease = self.leadership.as_ref().map(|lead| Lease { epoch: lead.epoch, until: u64::MAX });
        }
        Some(LeaseRead { lease: lease?, state: &self.committed })
    }

    /// The state that was last committed as far as this replica knows; current only while it leads.
    pub fn state(&self) -> &ControlState {
        &self.committed
    }

    /// The internal address of the primary of the view that is known here.
    pub fn primary_address(&self) -> Option<SocketAddrV4> {
        let view = &self.view.as_ref()?.view;
        view.member(view.primary).map(|member| member.address)
    }

    /// The identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// This replica as a member.
    pub fn member(&self) -> Member {
        Member { id: self.id, address: self.config.address, zone: Arc::clone(&self.config.zone) }
    }

    /// A glance at this replica.
    pub fn status(&self) -> Status {
        Status {
            id: self.id,
            role: self.role(),
            view: self.view.clone(),
            leading: self.leading(self.now),
            lease_until: self.lease_until(),
            sequence: self.data.as_ref().map(|data| data.position.sequence),
            disk_healthy: self.disk.well(self.now),
        }
    }

    fn role(&self) -> Role {
        match self.current_view() {
            _ if self.leadership.is_some() => Role::Primary,
            Some(view) if view.member(self.id).is_none() => Role::NonMember,
            None => Role::NonMember,
            Some(_) if self.campaign.is_some() => Role::Candidate,
            Some(view) if view.backups.contains(&self.id) => Role::Backup,
            Some(_) => Role::Witness,
        }
    }

    fn receive(&mut self, from: SocketAddrV4, message: Message, out: &mut Vec<Output>) {
        let sender = message.sender;
        if sender == self.id {
            return;
        }
        match message.body {
            Body::Heartbeat { epoch, sent } => self.on_heartbeat(from, sender, epoch, sent, out),
            Body::HeartbeatReply(reply) => self.on_echo(from, sender, reply, out),
            Body::PreVote { epoch } => self.on_poll(from, sender, epoch, out),
            Body::PreVoteReply(reply) => self.on_poll_reply(sender, reply, out),
            Body::Prepare(prepare) => self.on_prepare(from, sender, prepare, out),
            Body::Promise(promise) => self.on_promise(sender, promise, out),
            Body::Reject(reject) => self.on_refuse(sender, reject, out),
            Body::InstallSnapshot(install) => self.on_install(from, sender, install, out),
            Body::SnapshotInstalled(SnapshotInstalled { epoch, complete: true, .. }) => {
                self.on_installed(sender, epoch, out);
            }
            Body::SnapshotInstalled(SnapshotInstalled { epoch, complete: false, attempt }) => {
                self.on_incomplete(sender, epoch, attempt, out);
            }
            Body::Accept { view } => self.on_accept(from, view, out),
            Body::Accepted { epoch } => self.on_accepted(sender, epoch, out),
            Body::Replicate(replicate) => self.on_replicate(from, sender, replicate, out),
            Body::Replicated { epoch, sequence } => {
                self.on_replicated(sender, LogPosition { epoch, sequence }, out);
            }
            Body::Join { member, first_boot } => self.on_join(from, member, first_boot, out),
            Body::TransferLeadership { released } => self.on_take_over(released, out),
        }
    }

    fn run(&mut self, effect: Effect, out: &mut Vec<Output>) {
        match effect {
            Effect::Send { to, message } => out.push(Output::Send { to, message }),
            Effect::Founded => self.on_founded(),
            Effect::OwnPromise { epoch } => self.on_own_promise(epoch, out),
            Effect::OwnInstall { epoch } => self.on_installed(self.id, epoch, out),
            Effect::OwnAccept { epoch } => self.on_accepted(self.id, epoch, out),
            Effect::OwnWrite { position } => self.on_replicated(self.id, position, out),
        }
    }

    /// Does whatever is due at this time.
    fn advance(&mut self, out: &mut Vec<Output>) {
        if self.disk.stale() && self.disk.may_try(self.now) {
            self.persist(Vec::new(), None, out);
        }
        self.advance_lead(out);
        self.advance_election(out);
        self.advance_handover(out);
        self.expire_queue(out);
        self.ask_to_join(out);
        self.advance_leaving(out);
        self.announce(out);
    }

    fn announce(&mut self, out: &mut Vec<Output>) {
        let leading = self.leading(self.now);
        if leading == self.announced {
            return;
        }
        self.announced = leading;
        match leading {
            Some(epoch) => {
                out.push(Output::BecamePrimary { epoch });
                out.push(Output::Committed { state: Arc::clone(&self.committed) });
            }
            None => out.push(Output::SteppedDown),
        }
    }

    /// Makes records durable that are in memory already, and then brings about the effect.
    ///
    /// With no records, the effect waits for whatever is under way. After a failure everything is written anew.
    pub(crate) fn persist(&mut self, records: Vec<Record>, effect: Option<Effect>, out: &mut Vec<Output>) {
        let records = if self.disk.stale() { self.everything() } else { records };
        if records.is_empty() {
            if let Some(effect) = effect.and_then(|effect| self.disk.attach(effect)) {
                self.run(effect, out);
            }
            return;
        }
        if !self.disk.may_try(self.now) {
            self.disk.spoil();
            return;
        }
        let write_id = self.disk.issue(self.now, self.promised, effect);
        out.push(Output::Persist { write_id, records });
    }

    fn everything(&self) -> Vec<Record> {
        let mut records: Vec<Record> = self.promised.map(Record::Promise).into_iter().collect();
        records.extend(self.view.clone().map(Record::View));
        records.push(self.data.clone().map_or(Record::SnapshotDiscarded, Record::Snapshot));
        records
    }

    pub(crate) fn send(&self, to: SocketAddrV4, body: Body, out: &mut Vec<Output>) {
        out.push(Output::Send { to, message: self.message(body) });
    }

    pub(crate) fn message(&self, body: Body) -> Message {
        Message { sender: self.id, body }
    }

    pub(crate) fn reply_once_durable(&self, to: SocketAddrV4, body: Body) -> Option<Effect> {
        Some(Effect::Send { to, message: self.message(body) })
    }

    pub(crate) fn now(&self) -> u64 {
        self.now
    }

    pub(crate) fn current_view(&self) -> Option<&Arc<View>> {
        self.view.as_ref().map(|known| &known.view)
    }

    pub(crate) fn view_epoch(&self) -> u64 {
        self.current_view().map_or(0, |view| view.epoch)
    }

    pub(crate) fn promised_epoch(&self) -> u64 {
        self.promised.map_or(0, |proposal_number| proposal_number.epoch)
    }

    /// Whether this replica may hold data for others.
    pub(crate) fn healthy(&self) -> bool {
        self.disk.well(self.now) && self.shutting_down.is_none()
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutting_down.is_some()
    }

    /// Notes a sign that somebody leads or is about to.
    pub(crate) fn hear(&mut self) {
        self.hear_at(self.now);
    }

    /// Notes a sign that left its sender at this time.
    pub(crate) fn hear_at(&mut self, time: u64) {
        if time >= self.last_heard {
            self.last_heard = time;
            self.head_start = 0;
        }
    }

    pub(crate) fn note_epoch(&mut self, epoch: u64) {
        self.highest_epoch = self.highest_epoch.max(epoch);
    }

    /// A number from 0 up to the limit.
    pub(crate) fn draw(&mut self, limit: u64) -> u64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % limit.max(1)
    }

    fn wants_to_join(&self) -> bool {
        let member = self.current_view().is_some_and(|view| view.member(self.id).is_some());
        let anyone_known = self.view.is_some() || !self.peers.is_empty();
        !member && !self.is_shutting_down() && anyone_known
    }

    fn ask_to_join(&mut self, out: &mut Vec<Output>) {
        if !self.wants_to_join() || self.now < self.next_join {
            return;
        }
        self.next_join = self.now + JOIN_EVERY;
        let mut addresses: BTreeMap<SocketAddrV4, ()> = self.peers.iter().map(|peer| (*peer, ())).collect();
        if let Some(view) = self.current_view() {
            addresses.extend(view.members.iter().map(|member| (member.address, ())));
        }
        addresses.remove(&self.config.address);
        // One that knows a view was left out of it: it takes a place again and enlarges nothing for good.
        let first_boot = self.config.first_boot && self.view.is_none();
        let join = Body::Join { member: self.member(), first_boot };
        for address in addresses.into_keys() {
            self.send(address, join.clone(), out);
        }
    }

    fn advance_leaving(&mut self, out: &mut Vec<Output>) {
        let Some(since) = self.shutting_down.filter(|_| !self.ended) else { return };
        let hasty = self.config.injected_fault == Some(InjectedFault::EndsAtOnce);
        if hasty || !self.needed() || self.now >= since + self.config.shutdown_timeout {
            self.ended = true;
            out.push(Output::ReadyToExit);
        }
    }

    /// Whether others count on this replica: it holds data, its view isn't known to be active, or a view with more
    /// members than it was founded with is about to go on without it.
    fn needed(&self) -> bool {
        let counted_on = self.view.as_ref().is_some_and(|known| {
            let surplus = known.view.members.len() > known.view.target_size;
            let goes = surplus && known.view.member(self.id).is_some();
            !known.active || goes || known.view.holds_data(self.id)
        });
        self.leadership.is_some() || self.campaign.is_some() || counted_on
    }

    /// Whether this replica would know after a restart that its view is active.
    pub(crate) fn activation_durable(&self) -> bool {
        self.disk.all_durable() && self.view.as_ref().is_some_and(|known| known.active)
    }
}
