//! Replicas that ask to join, and the primary's wish for another view.

use std::{net::SocketAddrV4, sync::Arc};

use crate::{
    Body, KnownView, Member, Output, Replica,
    leadership::VIEW_CHANGE_INTERVAL,
    membership::{Joiner, LIVENESS_TIMEOUT, Membership, MembershipPlanner},
};

impl Replica {
    pub(crate) fn handle_join(
        &mut self,
        from: SocketAddrV4,
        member: Member,
        first_boot: bool,
        out: &mut Vec<Output>,
    ) {
        let now = self.now();
        let Some(leadership) = self.leadership.as_mut() else {
            let fresh = from == member.address && member.address != self.config.address;
            let primary = self.other_primary_address().filter(|address| fresh && *address != member.address);
            if let Some(primary) = primary {
                self.forward_join(primary, member, first_boot, out);
            }
            return;
        };
        if leadership.view.member(member.id).is_some() {
            let view = KnownView { view: Arc::clone(&leadership.view), active: true };
            return self.send(member.address, Body::Accept { view }, out);
        }
        if !leadership.replaced.contains(&member.id) && member.address != self.config.address {
            leadership
                .joiners
                .retain(|id, joiner| *id == member.id || joiner.member.address != member.address);
            let joiner = leadership.joiners.entry(member.id).or_insert_with(|| Joiner::new(&member, now));
            joiner.first_boot = first_boot;
            joiner.last_request = now;
            let epoch = leadership.epoch;
            // Its word may be old: only an answer to this shows that it is there.
            if !leadership.lease_renewals.quorum_lost(now) {
                self.send(member.address, Body::Heartbeat { epoch, sent: now }, out);
            }
        }
    }

    fn forward_join(&self, to: SocketAddrV4, member: Member, first_boot: bool, out: &mut Vec<Output>) {
        let sender = member.id;
        let message = crate::Message { sender, body: Body::Join { member, first_boot } };
        out.push(Output::Send { to, message });
    }

    pub(crate) fn maybe_change_view(&mut self, out: &mut Vec<Output>) {
        let now = self.now();
        let Some(leadership) = &self.leadership else { return };
        if self.campaign.is_some() || now < leadership.next_view_change || self.leading(now).is_none() {
            return;
        }
        // An own try that led to nothing has bound members to its epoch: it has to be made good.
        let broken_off = self.promised != Some(leadership.view.proposal_number());
        let Some(membership) = self.planned_membership() else {
            if broken_off {
                self.change_view(None, out);
            }
            return;
        };
        self.change_view(Some(membership), out);
    }

    fn planned_membership(&self) -> Option<Membership> {
        let leadership = self.leadership.as_ref()?;
        let planner = MembershipPlanner {
            now: self.now(),
            view: &leadership.view,
            peers: &leadership.peers,
            joiners: &leadership.joiners,
            change_waits: leadership.pending.is_some(),
            losses: self.config.machine_losses.max(1),
            view_change_complete: self.view_change_complete(),
            primary_shutting_down: self.is_shutting_down(),
            grows_at_once: self.config.injected_fault.grows_at_once(),
        };
        planner.next_membership()
    }

    fn change_view(&mut self, membership: Option<Membership>, out: &mut Vec<Output>) {
        let now = self.now();
        let Some(leadership) = self.leadership.as_mut() else { return };
        leadership.next_view_change = now + VIEW_CHANGE_INTERVAL;
        if let Some(membership) = &membership {
            let kept = |member: &&Member| membership.members.iter().any(|other| other.id == member.id);
            let departed = leadership.view.members.iter().filter(|member| !kept(member));
            let replaced = departed
                .filter(|member| membership.members.iter().any(|other| other.address == member.address));
            leadership.replaced.extend(replaced.map(|member| member.id));
        }
        self.start_campaign(None, membership, out);
    }

    /// The best backup to take over: live, fit, bound to this view.
    pub(crate) fn transfer_target(&self) -> Option<SocketAddrV4> {
        let leadership = self.leadership.as_ref()?;
        let ready = leadership.view.backups.iter().filter_map(|id| {
            let peer = leadership.peers.get(id)?;
            (peer.healthy && peer.is_live(self.now(), LIVENESS_TIMEOUT)).then_some((peer.last_heard, *id))
        });
        let (_, best) = ready.max()?;
        leadership.view.member(best).map(|member| member.address)
    }
}
