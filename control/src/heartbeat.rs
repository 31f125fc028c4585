//! Heartbeats of the primary and the replies to them, which grant the lease and report the health of each member.

use std::{net::SocketAddrV4, sync::Arc};

use crate::{
    Body, HeartbeatReply, KnownView, Micros, Output, ProposalNumber, Replica, ReplicaId,
    lease::{GrantedLease, PrimaryClock, lease_until},
};

/// The lease that this replica has granted, as a member.
#[derive(Debug)]
pub(crate) struct LeaseGrant {
    pub granted: Option<GrantedLease>,
    /// What is known of the clock of the primary that it was granted to.
    pub primary_clock: Option<PrimaryClock>,
}

impl Replica {
    /// When the lease of this primary expires.
    pub(crate) fn lease_until(&self) -> Option<Micros> {
        let leadership = self.leadership.as_ref()?;
        lease_until(&self.config, &leadership.view, &leadership.peers)
    }

    /// Whether this replica is primary but no longer reaches a majority.
    pub(crate) fn has_lost_quorum(&self) -> bool {
        self.leadership.as_ref().is_some_and(|leadership| leadership.lease_renewals.quorum_lost(self.now()))
    }

    pub(crate) fn maybe_broadcast_heartbeat(&mut self, out: &mut Vec<Output>) {
        let (now, interval) = (self.now(), self.config.heartbeat_interval);
        let lease_until = self.lease_until();
        let Some(leadership) = self.leadership.as_mut().filter(|lead| now >= lead.next_heartbeat) else {
            return;
        };
        leadership.next_heartbeat = now + interval;
        leadership.lease_renewals.record(lease_until);
        // After a one-way partition members may still receive heartbeats: if these continued, they would renew a lease
        // that the primary can't use, and block its successor.
        if leadership.lease_renewals.quorum_lost(now) {
            return;
        }
        let (epoch, view) = (leadership.epoch, Arc::clone(&leadership.view));
        let joiners = leadership.joiners.values().filter(|joiner| joiner.is_requesting(now));
        let joiners: Vec<_> = joiners.map(|joiner| joiner.member.address).collect();
        let members = view.members.iter().filter(|member| member.id != self.id);
        for address in members.map(|member| member.address).chain(joiners) {
            self.send(address, Body::Heartbeat { epoch, sent: now }, out);
        }
        self.notify_removed_members(out);
    }

    /// Notifies removed members that the view no longer depends on them.
    fn notify_removed_members(&mut self, out: &mut Vec<Output>) {
        let now = self.now();
        let Some(leadership) = self.leadership.as_mut() else { return };
        leadership.removed.retain(|_, removed| now < removed.notify_until);
        if leadership.removed.is_empty() || !self.view_change_complete() {
            return;
        }
        let Some(leadership) = &self.leadership else { return };
        let view = KnownView { view: Arc::clone(&leadership.view), active: true };
        for removed in leadership.removed.values() {
            self.send(removed.address, Body::Accept { view: view.clone() }, out);
        }
    }

    /// Whether the view no longer depends on the previous members: after as many losses as are tolerated at once, a
    /// member still knows that it is active.
    pub(crate) fn view_change_complete(&self) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        let epoch = leadership.epoch;
        let others = leadership.peers.values().filter(|peer| peer.active_epoch_durable == epoch).count();
        let informed = others + usize::from(self.activation_durable());
        informed > self.config.machine_losses.max(1) || informed == leadership.view.members.len()
    }

    pub(crate) fn handle_heartbeat(
        &mut self,
        from: SocketAddrV4,
        sender: ReplicaId,
        epoch: u64,
        sent: Micros,
        out: &mut Vec<Output>,
    ) {
        self.observe_epoch(epoch);
        // A lease is granted only under a durable promise, so that after a restart the member still knows the lease
        // holder.
        let promised = self
            .stored
            .promised
            .filter(|proposal_number| proposal_number.candidate == sender && proposal_number.epoch >= epoch);
        let promise_durable =
            self.disk.durable_promise().is_some_and(|proposal_number| proposal_number.candidate == sender);
        let granted = promised.filter(|_| promise_durable);
        if let Some(proposal_number) = granted {
            let sent_at = self.sent_at(epoch, sent);
            self.grant_lease(proposal_number, sent_at + self.config.lease_duration);
            self.reset_election_timer_at(sent_at);
            if self.view_epoch() == epoch {
                self.activate_view(out);
            }
        }
        let activation_durable = self.activation_durable();
        self.send(from, self.heartbeat_reply(epoch, sent, granted.is_some(), activation_durable), out);
        if granted.is_some()
            && !activation_durable
            && self.stored.view.as_ref().is_some_and(|known| known.active)
        {
            // A second reply, so that the primary needn't wait for its next heartbeat to learn that the activation is
            // durable here.
            let effect = self.reply_once_durable(from, self.heartbeat_reply(epoch, sent, true, true));
            self.persist(Vec::new(), effect, out);
        }
    }

    /// The latest time at which a heartbeat was sent, by this replica's clock. The heartbeat may have been delayed
    /// for a long time and its sender may have failed since, so both sides count the lease from the time of sending.
    fn sent_at(&mut self, epoch: u64, sent: Micros) -> Micros {
        let (now, drift) = (self.now(), self.config.clock_drift());
        let known = self.lease_grant.primary_clock.filter(|clock| clock.epoch == epoch);
        let sent_at = known.map_or(now, |clock| clock.sent_at(sent, drift).min(now));
        if sent_at == now {
            self.lease_grant.primary_clock = Some(PrimaryClock { epoch, sent, heard: now });
        }
        sent_at
    }

    /// Grants a lease, unless a longer one was already granted to the candidate.
    fn grant_lease(&mut self, proposal_number: ProposalNumber, until: Micros) {
        let before = self
            .lease_grant
            .granted
            .filter(|grant| grant.proposal_number.candidate == proposal_number.candidate);
        let until = before.map_or(until, |grant| grant.expires_at.max(until));
        self.lease_grant.granted = Some(GrantedLease { proposal_number, expires_at: until });
        if until > self.now() {
            self.election.pre_vote = None;
        }
    }

    fn heartbeat_reply(&self, epoch: u64, sent: Micros, granted: bool, activation_durable: bool) -> Body {
        Body::HeartbeatReply(HeartbeatReply {
            epoch,
            sent,
            granted,
            promised: self.stored.promised,
            view_epoch: self.view_epoch(),
            healthy: self.healthy(),
            shutting_down: self.is_shutting_down(),
            activation_durable,
        })
    }

    pub(crate) fn handle_heartbeat_reply(
        &mut self,
        from: SocketAddrV4,
        sender: ReplicaId,
        reply: HeartbeatReply,
        out: &mut Vec<Output>,
    ) {
        let HeartbeatReply { epoch, sent, granted, promised, view_epoch, .. } = reply;
        let (now, own_promise) = (self.now(), self.stored.promised);
        self.observe_epoch(promised.map_or(0, |proposal_number| proposal_number.epoch));
        let Some(leadership) = self.leadership.as_mut() else { return };
        let from_this_leadership =
            (leadership.first_epoch..=leadership.epoch).contains(&epoch) && sent <= now;
        if let Some(joiner) = leadership.joiners.get_mut(&sender).filter(|_| from_this_leadership) {
            joiner.record_heartbeat_reply(now, sent, reply.healthy);
        }
        let Some(peer) = leadership.peers.get_mut(&sender).filter(|_| from_this_leadership) else { return };
        peer.last_heard = now;
        peer.has_replied = true;
        peer.healthy = reply.healthy;
        peer.shutting_down = reply.shutting_down;
        if reply.activation_durable {
            peer.active_epoch_durable = peer.active_epoch_durable.max(view_epoch);
        }
        if granted {
            peer.lease_sent = peer.lease_sent.max(Some(sent));
            peer.diverged_since = None;
        } else if promised > own_promise {
            peer.diverged_since = peer.diverged_since.or(Some(now));
        }
        if view_epoch < leadership.epoch {
            let view = KnownView { view: Arc::clone(&leadership.view), active: true };
            self.send(from, Body::Accept { view }, out);
        }
    }
}
