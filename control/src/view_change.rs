//! Replicas that ask to join, and the primary's wish for another view.

use std::{net::SocketAddrV4, sync::Arc};

use crate::{
    Body, InjectedFault, KnownView, Member, Output, Replica,
    leadership::VIEW_PAUSE,
    membership::{Joiner, LIVE_WITHIN, Outlook, Wanted},
};

impl Replica {
    pub(crate) fn on_join(
        &mut self,
        from: SocketAddrV4,
        member: Member,
        first_boot: bool,
        out: &mut Vec<Output>,
    ) {
        let now = self.now();
        let Some(leadership) = self.leadership.as_mut() else {
            let fresh = from == member.address && member.address != self.config.address;
            let primary = self.other_primary().filter(|address| fresh && *address != member.address);
            if let Some(primary) = primary {
                self.send_join_on(primary, member, first_boot, out);
            }
            return;
        };
        if leadership.view.member(member.id).is_some() {
            let view = KnownView { view: Arc::clone(&leadership.view), active: true };
            return self.send(member.address, Body::Accept { view }, out);
        }
        if !leadership.gone.contains(&member.id) && member.address != self.config.address {
            leadership
                .joiners
                .retain(|id, joiner| *id == member.id || joiner.member.address != member.address);
            let joiner = leadership.joiners.entry(member.id).or_insert_with(|| Joiner::new(&member, now));
            joiner.first_boot = first_boot;
            joiner.seen = now;
            let epoch = leadership.epoch;
            // Its word may be old: only an answer to this shows that it is there.
            if !leadership.renewals.lost_contact(now) {
                self.send(member.address, Body::Heartbeat { epoch, sent: now }, out);
            }
        }
    }

    fn send_join_on(&self, to: SocketAddrV4, member: Member, first_boot: bool, out: &mut Vec<Output>) {
        let sender = member.id;
        let message = crate::Message { sender, body: Body::Join { member, first_boot } };
        out.push(Output::Send { to, message });
    }

    pub(crate) fn change_view_if_wanted(&mut self, out: &mut Vec<Output>) {
        let now = self.now();
        let Some(leadership) = &self.leadership else { return };
        if self.campaign.is_some() || now < leadership.next_view_change || self.leading(now).is_none() {
            return;
        }
        // An own try that led to nothing has bound members to its epoch: it has to be made good.
        let broken_off = self.promised != Some(leadership.view.proposal_number());
        let Some(wanted) = self.wanted() else {
            if broken_off {
                self.change_view(None, out);
            }
            return;
        };
        self.change_view(Some(wanted), out);
    }

    fn wanted(&self) -> Option<Wanted> {
        let leadership = self.leadership.as_ref()?;
        let outlook = Outlook {
            now: self.now(),
            view: &leadership.view,
            contacts: &leadership.contacts,
            joiners: &leadership.joiners,
            change_waits: leadership.pending.is_some(),
            losses: self.config.machine_losses.max(1),
            view_change_complete: self.view_change_complete(),
            leaves: self.is_shutting_down(),
            grows_at_once: self.config.injected_fault == Some(InjectedFault::GrowsAtOnce),
        };
        outlook.wanted()
    }

    fn change_view(&mut self, wanted: Option<Wanted>, out: &mut Vec<Output>) {
        let now = self.now();
        let Some(leadership) = self.leadership.as_mut() else { return };
        leadership.next_view_change = now + VIEW_PAUSE;
        if let Some(wanted) = &wanted {
            let kept = |member: &&Member| wanted.members.iter().any(|other| other.id == member.id);
            let left = leadership.view.members.iter().filter(|member| !kept(member));
            let replaced =
                left.filter(|member| wanted.members.iter().any(|other| other.address == member.address));
            leadership.gone.extend(replaced.map(|member| member.id));
        }
        self.begin_campaign(None, wanted, out);
    }

    /// The best backup to take over: live, fit, bound to this view.
    pub(crate) fn successor(&self) -> Option<SocketAddrV4> {
        let leadership = self.leadership.as_ref()?;
        let ready = leadership.view.backups.iter().filter_map(|id| {
            let contact = leadership.contacts.get(id)?;
            (contact.healthy && contact.live(self.now(), LIVE_WITHIN)).then_some((contact.heard, *id))
        });
        let (_, best) = ready.max()?;
        leadership.view.member(best).map(|member| member.address)
    }
}
