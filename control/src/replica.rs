//! One replica: its state, the inputs it takes, and when it wants to be woken.

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};

use crate::{
    Body, ControlState, Data, Input, KnownView, LogPosition, Member, Message, Output, ProposalNumber, Record,
    RecoveredState, ReplicaConfig, ReplicaId, Role, SnapshotInstalled, Status, View,
    campaign::{Campaign, PreVote, SnapshotSent},
    config::MILLISECOND,
    disk::{Disk, Effect},
    leadership::{Leadership, Proposal},
    leadership_transfer::LeadershipTransfer,
    lease::{GrantedLease, Lease, PrimaryClock},
};

/// A replica that isn't a member asks to join this often.
const JOIN_INTERVAL: u64 = 1_000 * MILLISECOND;

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
    pub(crate) granted_lease: Option<GrantedLease>,
    pub(crate) primary_clock: Option<PrimaryClock>,
    /// The latest candidate that was sent the data with a promise.
    pub(crate) snapshot_sent: Option<SnapshotSent>,
    pub(crate) highest_epoch: u64,
    /// When there was last a sign that somebody leads or is about to.
    pub(crate) last_heard: u64,
    /// How much of its patience after that this replica waives.
    pub(crate) waived_timeout: u64,
    pub(crate) pre_vote: Option<PreVote>,
    pub(crate) campaign: Option<Campaign>,
    pub(crate) leadership: Option<Leadership>,
    pub(crate) leadership_transfer: Option<LeadershipTransfer>,
    pub(crate) queue: Vec<Proposal>,
    pub(crate) random: u64,
    /// The latest campaign was for want of another primary's heartbeats, not asked for by it.
    pub(crate) campaign_after_timeout: bool,
    announced: Option<u64>,
    peers: Vec<SocketAddrV4>,
    next_join: u64,
    shutting_down: Option<u64>,
    exit_announced: bool,
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
        let lease = if config.injected_fault.grants_after_restart() { 0 } else { config.lease_duration };
        let view_epoch = recovered.view.as_ref().map_or(0, |known| known.view.epoch);
        Replica {
            id: recovered.id,
            promised,
            committed: recovered.data.as_ref().map(|data| Arc::clone(&data.state)).unwrap_or_default(),
            disk: Disk::recovered(promised),
            granted_lease: promised
                .map(|proposal_number| GrantedLease { proposal_number, expires_at: now + lease }),
            primary_clock: None,
            snapshot_sent: None,
            highest_epoch: promised.map_or(0, |proposal_number| proposal_number.epoch).max(view_epoch),
            last_heard: now,
            waived_timeout: 0,
            pre_vote: None,
            campaign: None,
            leadership: None,
            leadership_transfer: None,
            queue: Vec::new(),
            random: config.seed ^ recovered.id.0 ^ 0x9E37_79B9_7F4A_7C15,
            campaign_after_timeout: false,
            announced: None,
            peers: Vec::new(),
            next_join: now,
            shutting_down: None,
            exit_announced: false,
            now,
            view: recovered.view,
            data: recovered.data,
            config,
        }
        .waive_timeout_of_returning_primary()
    }

    /// A primary that comes back needn't wait for silence: its lease bars only others.
    fn waive_timeout_of_returning_primary(mut self) -> Replica {
        if self.view.as_ref().is_some_and(|known| known.view.primary == self.id) {
            self.waived_timeout = self.config.lease_duration;
        }
        self
    }

    /// Takes an input and adds what is to be done about it.
    pub fn handle(&mut self, now: u64, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Tick => {}
            Input::Message { from, message } => self.step(from, message, out),
            Input::WriteCompleted { write_id } => {
                for effect in self.disk.complete_write(write_id) {
                    self.apply_effect(effect, out);
                }
            }
            Input::WriteFailed { write_id } => self.disk.fail_write(self.now, write_id),
            Input::Propose { proposal_id, change } => self.propose(proposal_id, change, out),
            Input::Bootstrap { view } => self.bootstrap(view, out),
            Input::Peers(peers) => {
                self.peers = peers;
                self.next_join = self.next_join.min(self.now);
            }
            Input::ShutDown => self.shutting_down = self.shutting_down.or(Some(self.now)),
        }
        self.tick(out);
    }

    /// The time at which the replica wants a [`Input::Tick`] at the latest.
    pub fn next_wake(&self) -> u64 {
        let mut wakes =
            vec![self.disk.next_deadline(self.now), self.primary_deadline(), self.election_deadline()];
        wakes.push(self.leadership_transfer.map(|transfer| transfer.next_send));
        wakes.push(self.queue.first().map(|proposal| proposal.since + self.config.proposal_timeout));
        wakes.push(self.wants_to_join().then_some(self.next_join));
        wakes.push(
            self.shutting_down
                .filter(|_| !self.exit_announced)
                .map(|since| since + self.config.shutdown_timeout),
        );
        let idle = self.now + JOIN_INTERVAL;
        wakes.into_iter().flatten().min().unwrap_or(idle).clamp(self.now + MILLISECOND, idle)
    }

    /// Whether the lead of this replica began with the silence of another primary: the core was not stable then.
    pub fn took_over_after_timeout(&self) -> bool {
        self.leadership.is_some() && self.campaign_after_timeout
    }

    /// The epoch in which this replica leads at this time, if it does. Read the clock just before acting on it.
    pub fn leading(&self, now: u64) -> Option<u64> {
        self.lease(now).map(|lease| lease.epoch)
    }

    /// The lease under which this replica leads at this time, if it does.
    pub fn lease(&self, now: u64) -> Option<Lease> {
        let epoch = self.leadership.as_ref()?.epoch;
        if let Some(lease) = self.config.injected_fault.lease_without_end(epoch) {
            return Some(lease);
        }
        let until = self.lease_until().filter(|until| now < *until)?;
        Some(Lease { epoch, until })
    }

    /// The current state, if this replica leads at this time. Whoever passes it on looks at the lease once more.
    pub fn read(&self, now: u64) -> Option<LeaseRead<'_>> {
        let unbounded = |lead: &Leadership| self.config.injected_fault.read_lease_without_end(lead.epoch);
        let lease = self.leadership.as_ref().and_then(unbounded).or_else(|| self.lease(now))?;
        Some(LeaseRead { lease, state: &self.committed })
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
            disk_healthy: self.disk.is_healthy(self.now),
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

    fn step(&mut self, from: SocketAddrV4, message: Message, out: &mut Vec<Output>) {
        let sender = message.sender;
        if sender == self.id {
            return;
        }
        match message.body {
            Body::Heartbeat { epoch, sent } => self.handle_heartbeat(from, sender, epoch, sent, out),
            Body::HeartbeatReply(reply) => self.handle_heartbeat_reply(from, sender, reply, out),
            Body::PreVote { epoch } => self.handle_pre_vote(from, sender, epoch, out),
            Body::PreVoteReply(reply) => self.handle_pre_vote_reply(sender, reply, out),
            Body::Prepare(prepare) => self.handle_prepare(from, sender, prepare, out),
            Body::Promise(promise) => self.handle_promise(sender, promise, out),
            Body::Reject(reject) => self.handle_reject(sender, reject, out),
            Body::InstallSnapshot(install) => self.handle_install_snapshot(from, sender, install, out),
            Body::SnapshotInstalled(SnapshotInstalled { epoch, complete: true, .. }) => {
                self.handle_snapshot_installed(sender, epoch, out);
            }
            Body::SnapshotInstalled(SnapshotInstalled { epoch, complete: false, attempt }) => {
                self.handle_snapshot_missing(sender, epoch, attempt, out);
            }
            Body::Accept { view } => self.handle_accept(from, view, out),
            Body::Accepted { epoch } => self.handle_accepted(sender, epoch, out),
            Body::Replicate(replicate) => self.handle_replicate(from, sender, replicate, out),
            Body::Replicated { epoch, sequence } => {
                self.handle_replicated(sender, LogPosition { epoch, sequence }, out);
            }
            Body::Join { member, first_boot } => self.handle_join(from, member, first_boot, out),
            Body::TransferLeadership { released } => self.handle_transfer_leadership(released, out),
        }
    }

    fn apply_effect(&mut self, effect: Effect, out: &mut Vec<Output>) {
        match effect {
            Effect::Send { to, message } => out.push(Output::Send { to, message }),
            Effect::BootstrapDurable => self.handle_bootstrap_durable(),
            Effect::OwnPromise { epoch } => self.handle_own_promise(epoch, out),
            Effect::OwnSnapshot { epoch } => self.handle_snapshot_installed(self.id, epoch, out),
            Effect::OwnAccept { epoch } => self.handle_accepted(self.id, epoch, out),
            Effect::OwnChange { position } => self.handle_replicated(self.id, position, out),
        }
    }

    /// Does whatever is due at this time.
    fn tick(&mut self, out: &mut Vec<Output>) {
        if self.disk.is_stale() && self.disk.may_write(self.now) {
            self.persist(Vec::new(), None, out);
        }
        self.tick_primary(out);
        self.tick_election(out);
        self.tick_leadership_transfer(out);
        self.expire_proposals(out);
        self.maybe_request_join(out);
        self.tick_shutdown(out);
        self.maybe_announce_leadership(out);
    }

    fn maybe_announce_leadership(&mut self, out: &mut Vec<Output>) {
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
        let records = if self.disk.is_stale() { self.all_records() } else { records };
        if records.is_empty() {
            if let Some(effect) = effect.and_then(|effect| self.disk.attach_effect(effect)) {
                self.apply_effect(effect, out);
            }
            return;
        }
        if !self.disk.may_write(self.now) {
            self.disk.mark_stale();
            return;
        }
        let write_id = self.disk.start_write(self.now, self.promised, effect);
        out.push(Output::Persist { write_id, records });
    }

    fn all_records(&self) -> Vec<Record> {
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
        self.disk.is_healthy(self.now) && self.shutting_down.is_none()
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutting_down.is_some()
    }

    /// Notes a sign that somebody leads or is about to.
    pub(crate) fn reset_election_timer(&mut self) {
        self.reset_election_timer_at(self.now);
    }

    /// Notes a sign that left its sender at this time.
    pub(crate) fn reset_election_timer_at(&mut self, time: u64) {
        if time >= self.last_heard {
            self.last_heard = time;
            self.waived_timeout = 0;
        }
    }

    pub(crate) fn observe_epoch(&mut self, epoch: u64) {
        self.highest_epoch = self.highest_epoch.max(epoch);
    }

    /// A number from 0 up to the limit.
    pub(crate) fn random_below(&mut self, limit: u64) -> u64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % limit.max(1)
    }

    fn wants_to_join(&self) -> bool {
        let member = self.current_view().is_some_and(|view| view.member(self.id).is_some());
        let anyone_known = self.view.is_some() || !self.peers.is_empty();
        !member && !self.is_shutting_down() && anyone_known
    }

    fn maybe_request_join(&mut self, out: &mut Vec<Output>) {
        if !self.wants_to_join() || self.now < self.next_join {
            return;
        }
        self.next_join = self.now + JOIN_INTERVAL;
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

    fn tick_shutdown(&mut self, out: &mut Vec<Output>) {
        let Some(since) = self.shutting_down.filter(|_| !self.exit_announced) else { return };
        let hasty = self.config.injected_fault.exits_at_once();
        if hasty || !self.is_needed() || self.now >= since + self.config.shutdown_timeout {
            self.exit_announced = true;
            out.push(Output::ReadyToExit);
        }
    }

    /// Whether others count on this replica: it holds data, its view isn't known to be active, or a view with more
    /// members than it was founded with is about to go on without it.
    fn is_needed(&self) -> bool {
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
