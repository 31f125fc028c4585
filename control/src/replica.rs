//! One replica: its state, the inputs that it handles, and when it has to be woken.

use std::{net::SocketAddrV4, sync::Arc};

use crate::{
    Body, ControlState, Input, Lease, LogPosition, Member, Message, Micros, Output, RecoveredState,
    ReplicaConfig, ReplicaId, Role, SnapshotInstalled, Status, View,
    disk::{Disk, Effect},
    durability::StoredState,
    election::ElectionState,
    heartbeat::LeaseGrant,
    joining::{JOIN_INTERVAL, JoinState},
    leadership::Leadership,
    leadership_transfer::LeadershipTransfer,
    lease::GrantedLease,
    proposals::Proposal,
    shutdown::ShutdownState,
    time::MILLISECOND,
};

/// A replica of the control state.
#[derive(Debug)]
pub struct Replica {
    pub(crate) config: ReplicaConfig,
    pub(crate) id: ReplicaId,
    /// Changed by `acceptor.rs`, `known_view.rs`, `snapshot_installation.rs`, `accept_phase.rs` and `replication.rs`.
    pub(crate) stored: StoredState,
    /// Writes on their way; only `durability.rs` starts one.
    pub(crate) disk: Disk,
    /// The state that was last committed as far as is known here; set by `replication.rs` and `leadership.rs`.
    pub(crate) committed: Arc<ControlState>,
    /// Owned by `heartbeat.rs`.
    pub(crate) lease_grant: LeaseGrant,
    /// Owned by `election.rs` and the files of the phases of a campaign.
    pub(crate) election: ElectionState,
    /// Present at the primary of an active view; begun and ended by `leadership.rs`.
    pub(crate) leadership: Option<Leadership>,
    /// Owned by `leadership_transfer.rs`.
    pub(crate) leadership_transfer: Option<LeadershipTransfer>,
    /// Owned by `proposals.rs`.
    pub(crate) queue: Vec<Proposal>,
    /// Owned by `joining.rs`.
    pub(crate) join: JoinState,
    /// Owned by `shutdown.rs`.
    pub(crate) shutdown: ShutdownState,
    /// The epoch in which this replica is primary, as last announced to the caller.
    announced_epoch: Option<u64>,
    now: Micros,
}

/// A linearizable read: the committed state, valid until the lease expires under which it was read.
#[derive(Debug, Clone, Copy)]
pub struct LeaseRead<'a> {
    /// The lease.
    pub lease: Lease,
    /// The state.
    pub state: &'a ControlState,
}

impl Replica {
    /// A replica that starts at this time with the state recovered from its disk.
    pub fn new(config: ReplicaConfig, recovered: RecoveredState, now: Micros) -> Replica {
        let promised = recovered.promised;
        let lease = if config.injected_fault.grants_after_restart() { 0 } else { config.lease_duration };
        let view_epoch = recovered.view.as_ref().map_or(0, |known| known.view.epoch);
        let granted =
            promised.map(|proposal_number| GrantedLease { proposal_number, expires_at: now + lease });
        let committed = recovered.data.as_ref().map(|data| Arc::clone(&data.state)).unwrap_or_default();
        Replica {
            id: recovered.id,
            stored: StoredState { promised, view: recovered.view, data: recovered.data },
            disk: Disk::recovered(promised),
            committed,
            lease_grant: LeaseGrant { granted, primary_clock: None },
            election: ElectionState {
                highest_epoch: promised.map_or(0, |proposal_number| proposal_number.epoch).max(view_epoch),
                last_heard: now,
                waived_timeout: 0,
                pre_vote: None,
                campaign: None,
                campaign_after_timeout: false,
                campaign_timeouts: 0,
                snapshot_sent: None,
                random_state: config.seed ^ recovered.id.0 ^ 0x9E37_79B9_7F4A_7C15,
            },
            leadership: None,
            leadership_transfer: None,
            queue: Vec::new(),
            join: JoinState { addresses: Vec::new(), next_request: now },
            shutdown: ShutdownState::default(),
            announced_epoch: None,
            now,
            config,
        }
        .waive_timeout_of_returning_primary()
    }

    /// Handles an input and appends the outputs that the caller has to carry out.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Tick => {}
            Input::Message { from, message } => self.step(from, message, out),
            Input::WriteCompleted { write_id } => {
                for effect in self.disk.complete_write(self.now, write_id) {
                    self.apply_effect(effect, out);
                }
            }
            Input::WriteFailed { write_id } => self.disk.fail_write(self.now, write_id),
            Input::Propose { proposal_id, change } => self.propose(proposal_id, change, out),
            Input::Bootstrap { view } => self.bootstrap(view, out),
            Input::Peers(peers) => {
                self.join.addresses = peers;
                self.join.next_request = self.join.next_request.min(self.now);
            }
            Input::ShutDown => self.shutdown.requested_at = self.shutdown.requested_at.or(Some(self.now)),
        }
        self.tick(out);
    }

    /// The latest time at which the replica needs an [`Input::Tick`].
    pub fn next_wake(&self) -> Micros {
        let mut deadlines =
            vec![self.disk.next_deadline(self.now), self.primary_deadline(), self.election_deadline()];
        deadlines.push(self.leadership_transfer.map(|transfer| transfer.next_send));
        deadlines.push(self.queue.first().map(|proposal| proposal.since + self.config.proposal_timeout));
        deadlines.push(self.wants_to_join().then_some(self.join.next_request));
        deadlines.push(
            self.shutdown
                .requested_at
                .filter(|_| !self.shutdown.exit_announced)
                .map(|since| since + self.config.shutdown_timeout),
        );
        let idle = self.now + JOIN_INTERVAL;
        deadlines.into_iter().flatten().min().unwrap_or(idle).clamp(self.now + MILLISECOND, idle)
    }

    /// Whether this replica became primary because another primary timed out, and not by a leadership transfer.
    pub fn took_over_after_timeout(&self) -> bool {
        self.leadership.is_some() && self.election.campaign_after_timeout
    }

    /// The epoch in which this replica is primary at this time, if it is. Read the clock just before acting on the
    /// result.
    pub fn leading(&self, now: Micros) -> Option<u64> {
        self.lease(now).map(|lease| lease.epoch)
    }

    /// The lease under which this replica is primary at this time, if it is.
    pub fn lease(&self, now: Micros) -> Option<Lease> {
        let epoch = self.leadership.as_ref()?.epoch;
        if let Some(lease) = self.config.injected_fault.lease_without_end(epoch) {
            return Some(lease);
        }
        let until = self.lease_until().filter(|until| now < *until)?;
        Some(Lease { epoch, until })
    }

    /// The current state, if this replica is primary at this time. Check the lease again before passing the state on.
    pub fn read(&self, now: Micros) -> Option<LeaseRead<'_>> {
        let unbounded = |lead: &Leadership| self.config.injected_fault.read_lease_without_end(lead.epoch);
        let lease = self.leadership.as_ref().and_then(unbounded).or_else(|| self.lease(now))?;
        Some(LeaseRead { lease, state: &self.committed })
    }

    /// The last committed state that this replica knows; it is current only while this replica is primary.
    pub fn state(&self) -> &ControlState {
        &self.committed
    }

    /// The last committed state, shared.
    pub fn shared_state(&self) -> Arc<ControlState> {
        Arc::clone(&self.committed)
    }

    /// The internal address of the primary of the latest known view.
    pub fn primary_address(&self) -> Option<SocketAddrV4> {
        let view = &self.stored.view.as_ref()?.view;
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

    /// The status of this replica.
    pub fn status(&self) -> Status {
        Status {
            id: self.id,
            role: self.role(),
            view: self.stored.view.clone(),
            leading: self.leading(self.now),
            lease_until: self.lease_until(),
            sequence: self.stored.data.as_ref().map(|data| data.position.sequence),
            disk_healthy: self.disk.is_healthy(self.now),
        }
    }

    fn role(&self) -> Role {
        match self.current_view() {
            _ if self.leadership.is_some() => Role::Primary,
            Some(view) if view.member(self.id).is_none() => Role::NonMember,
            None => Role::NonMember,
            Some(_) if self.election.campaign.is_some() => Role::Candidate,
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
            Body::PreVote { round } => self.handle_pre_vote(from, sender, round, out),
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

    pub(crate) fn apply_effect(&mut self, effect: Effect, out: &mut Vec<Output>) {
        match effect {
            Effect::Send { to, message } => out.push(Output::Send { to, message }),
            Effect::BootstrapDurable => self.handle_bootstrap_durable(),
            Effect::OwnPromise { epoch } => self.handle_own_promise(epoch, out),
            Effect::OwnSnapshot { epoch } => self.handle_snapshot_installed(self.id, epoch, out),
            Effect::OwnAccept { epoch } => self.handle_accepted(self.id, epoch, out),
            Effect::OwnChange { position } => self.handle_replicated(self.id, position, out),
        }
    }

    /// Runs everything that is due at this time.
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
        if leading == self.announced_epoch {
            return;
        }
        self.announced_epoch = leading;
        match leading {
            Some(epoch) => {
                out.push(Output::BecamePrimary { epoch });
                out.push(Output::Committed { state: Arc::clone(&self.committed) });
            }
            None => out.push(Output::SteppedDown),
        }
    }

    pub(crate) fn send(&self, to: SocketAddrV4, body: Body, out: &mut Vec<Output>) {
        out.push(Output::Send { to, message: self.message(body) });
    }

    pub(crate) fn message(&self, body: Body) -> Message {
        Message { sender: self.id, body }
    }

    pub(crate) fn now(&self) -> u64 {
        self.now
    }

    pub(crate) fn current_view(&self) -> Option<&Arc<View>> {
        self.stored.view.as_ref().map(|known| &known.view)
    }

    pub(crate) fn view_epoch(&self) -> u64 {
        self.current_view().map_or(0, |view| view.epoch)
    }

    pub(crate) fn promised_epoch(&self) -> u64 {
        self.stored.promised.map_or(0, |proposal_number| proposal_number.epoch)
    }
}
